"""The `apply` command: replace the running settings with settings files."""

import getpass
from dataclasses import dataclass
from typing import Annotated, Any

import cappa
from returns.result import Failure

from bergamotdrift.commands.arguments import (
    ControlOptions,
    JsonOption,
    SiteFiles,
    usage_error,
)
from bergamotdrift.commands.check import report_problems
from bergamotdrift.commands.reports import (
    changes_data,
    format_changes,
    format_problems,
    report_failure,
)
from bergamotdrift.config.diff import diff_sites
from bergamotdrift.config.loader import SiteFile, inspect_files
from bergamotdrift.console import Console, ExitCode
from bergamotdrift.operator_api import Change
from bergamotdrift.operator_client import (
    CallFailure,
    CallFailureKind,
    OperatorClient,
    new_request_id,
)

# Control rejects longer request ids and authors.
MAX_NAME_CHARS = 128


@cappa.command(name="apply", help="Replace the running settings with settings files.")
@dataclass
class Apply:
    """Hold the arguments of the `apply` command."""

    files: cappa.Destructured[SiteFiles]
    control: cappa.Destructured[ControlOptions]
    output: cappa.Destructured[JsonOption]
    base_revision: Annotated[
        int | None,
        cappa.Arg(
            long=True,
            help="Revision that the change replaces. Default: the running revision.",
        ),
    ] = None
    request: Annotated[
        str,
        cappa.Arg(
            long=True,
            help="Request id; a change resent with the same id is applied only once. "
            "Default: a new id.",
        ),
    ] = ""
    author: Annotated[
        str,
        cappa.Arg(long=True, help="Author of the change. Default: current user."),
    ] = ""
    dry_run: Annotated[
        bool, cappa.Arg(long=True, help="Show the change without applying it.")
    ] = False

    def __call__(self) -> ExitCode:
        """Run the command and return its exit code."""
        console = Console(self.output.json)
        site_file = inspect_files(self.files.base, self.files.overlay)
        if site_file.settings is None:
            report_problems(console, site_file)
            return ExitCode.REFUSED
        if site_file.problems:
            console.print_note(format_problems(site_file.problems))
        client = self.control.create_client(needs_key=not self.dry_run)
        if self.dry_run:
            return self._preview(console, client, site_file)
        return self._apply(console, client, site_file)

    def _preview(
        self, console: Console, client: OperatorClient, site_file: SiteFile
    ) -> ExitCode:
        running = client.current_settings()
        if isinstance(running, Failure):
            return report_failure(console, running.failure())
        current = running.unwrap()
        changes = diff_sites(current.settings, site_file.mapping)
        base = current.revision if self.base_revision is None else self.base_revision
        is_conflict = base != current.revision
        data = {
            "dry_run": True,
            "base_revision": base,
            "running_revision": current.revision,
            "author": current.author,
            "conflict": is_conflict,
            "changes": changes_data(changes),
        }
        lines = [f"would replace revision {base}:", format_changes(changes)]
        if is_conflict:
            author = current.author or "unknown"
            lines.append(f"would be refused: revision {current.revision} by {author}")
        console.print_result(data, "\n".join(lines))
        return ExitCode.REFUSED if is_conflict else ExitCode.OK

    def _apply(
        self, console: Console, client: OperatorClient, site_file: SiteFile
    ) -> ExitCode:
        author = self.author or _current_user()
        if max(len(author), len(self.request)) > MAX_NAME_CHARS:
            limit = f"at most {MAX_NAME_CHARS} characters"
            raise usage_error(f"--author and --request must have {limit}")
        base = self.base_revision
        if base is None:
            running = client.current_settings()
            if isinstance(running, Failure):
                return report_failure(console, running.failure())
            base = running.unwrap().revision
        change = Change(
            self.request or new_request_id(), base, author, site_file.mapping
        )
        # Printed before the call, so that the request id is known even if it fails.
        console.print_note(f"request {change.request} replaces revision {base}")
        outcome = client.apply(change)
        if isinstance(outcome, Failure):
            return _report_failure(console, outcome.failure(), change)
        accepted = outcome.unwrap()
        data: dict[str, Any] = {
            "outcome": accepted.outcome,
            "revision": accepted.revision,
            "request": change.request,
        }
        detail = f" is {accepted.outcome}" if accepted.outcome else ""
        console.print_result(data, f"revision {accepted.revision}{detail}")
        return ExitCode.OK


def _report_failure(console: Console, failure: CallFailure, change: Change) -> ExitCode:
    code = report_failure(console, failure)
    if failure.kind is CallFailureKind.OUTCOME_UNKNOWN:
        console.print_note(
            "the change may have been applied; to see its outcome, repeat the command "
            f"with --request {change.request} --base-revision {change.base_revision} "
            f"--author {change.author}"
        )
    return code


def _current_user() -> str:
    try:
        return getpass.getuser()
    except (OSError, KeyError, ImportError) as exc:
        raise usage_error("the current user is unknown: use --author") from exc
