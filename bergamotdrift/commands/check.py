"""The `check` command: check settings files, and compare with running settings."""

from dataclasses import dataclass
from typing import Annotated

import cappa
from returns.result import Failure

from bergamotdrift.commands.arguments import ControlOptions, JsonOption, SiteFiles
from bergamotdrift.commands.reports import (
    changes_data,
    format_changes,
    format_problems,
    problems_data,
    report_failure,
)
from bergamotdrift.config.diff import diff_sites
from bergamotdrift.config.loader import SiteFile, inspect_files
from bergamotdrift.console import Console, ExitCode


@cappa.command(name="check", help="Check settings files and report all problems.")
@dataclass
class Check:
    """Hold the arguments of the `check` command."""

    files: cappa.Destructured[SiteFiles]
    control: cappa.Destructured[ControlOptions]
    output: cappa.Destructured[JsonOption]
    diff: Annotated[
        bool, cappa.Arg(long=True, help="Compare with the running settings.")
    ] = False

    def __call__(self) -> ExitCode:
        """Run the command and return its exit code."""
        console = Console(self.output.json)
        site_file = inspect_files(self.files.base, self.files.overlay)
        if site_file.settings is None:
            report_problems(console, site_file)
            return ExitCode.REFUSED
        if self.diff:
            return self._compare(console, site_file)
        report_problems(console, site_file)
        return ExitCode.OK

    def _compare(self, console: Console, site_file: SiteFile) -> ExitCode:
        running = self.control.create_client().current_settings()
        if isinstance(running, Failure):
            return report_failure(console, running.failure())
        current = running.unwrap()
        changes = diff_sites(current.settings, site_file.mapping)
        heading = f"compared with revision {current.revision}:"
        lines = [format_problems(site_file.problems), heading, format_changes(changes)]
        data = {
            "ok": True,
            "problems": problems_data(site_file.problems),
            "running_revision": current.revision,
            "changes": changes_data(changes),
        }
        console.print_result(data, "\n".join(line for line in lines if line))
        return ExitCode.OK


def report_problems(console: Console, site_file: SiteFile) -> None:
    """Print the problems of settings files and whether they are valid."""
    ok = site_file.settings is not None
    lines = [format_problems(site_file.problems)] if site_file.problems else []
    lines.append("the settings are valid" if ok else "the settings are refused")
    data = {"ok": ok, "problems": problems_data(site_file.problems)}
    console.print_result(data, "\n".join(lines))
