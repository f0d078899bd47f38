"""The `audit` command: show the audit trail."""

from dataclasses import dataclass
from datetime import UTC, datetime
from typing import Annotated, Any

import cappa
from returns.result import Failure

from bergamotdrift.commands.arguments import ControlOptions, JsonOption, usage_error
from bergamotdrift.commands.reports import report_failure
from bergamotdrift.console import Console, ExitCode, format_table

_COLUMNS = ["number", "time", "author", "outcome", "replaced", "revision"]
_COLUMNS += ["request", "changes"]

# The JSON output has the full text of longer changes.
_MAX_CHANGES_CHARS = 100


@cappa.command(name="audit", help="Show entries of the audit trail.")
@dataclass
class Audit:
    """Hold the arguments of the `audit` command."""

    control: cappa.Destructured[ControlOptions]
    output: cappa.Destructured[JsonOption]
    after: Annotated[
        int, cappa.Arg(long=True, help="Show entries after this number.")
    ] = 0
    limit: Annotated[int, cappa.Arg(long=True, help="Maximum number of entries.")] = 50

    def __call__(self) -> ExitCode:
        """Run the command and return its exit code."""
        if self.after < 0 or self.limit < 1:
            raise usage_error("--after must be at least 0 and --limit at least 1")
        console = Console(self.output.json)
        audit = self.control.create_client().audit(self.after, self.limit)
        if isinstance(audit, Failure):
            return report_failure(console, audit.failure())
        data = audit.unwrap()
        console.print_result(data, _format_audit(data))
        return ExitCode.OK


def _format_audit(data: dict[str, Any]) -> str:
    rows = [_row_cells(row) for row in data.get("rows") or [] if isinstance(row, dict)]
    return format_table(rows, _COLUMNS) if rows else "no entries"


def _row_cells(row: dict[str, Any]) -> list[Any]:
    outcome = row.get("kind") or "accepted"
    changes = "; ".join(map(str, row.get("changes") or [])) or str(row.get("detail"))
    if len(changes) > _MAX_CHANGES_CHARS:
        changes = changes[:_MAX_CHANGES_CHARS] + "..."
    return [
        row.get("number"),
        _format_time(row.get("at_ms")),
        row.get("author"),
        outcome,
        row.get("base_revision"),
        row.get("revision"),
        row.get("request"),
        changes,
    ]


def _format_time(at_ms: Any) -> str:
    try:
        at = datetime.fromtimestamp(at_ms / 1000, UTC)
    except (TypeError, ValueError, OverflowError, OSError):
        return ""
    return at.strftime("%Y-%m-%d %H:%M:%SZ")
