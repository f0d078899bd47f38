"""Text and JSON output of problems, changes and failed calls."""

from collections.abc import Iterable
from typing import Any

from bergamotdrift.config.diff import ValueChange
from bergamotdrift.config.problems import Problem
from bergamotdrift.console import Console, ExitCode
from bergamotdrift.exceptions import ErrorKind
from bergamotdrift.operator_client import CallFailure, CallFailureKind


def format_problems(problems: Iterable[Problem]) -> str:
    """Format problems as text, one per line."""
    return "\n".join(str(problem) for problem in problems)


def problems_data(problems: Iterable[Problem]) -> list[dict[str, Any]]:
    """Convert problems for JSON output."""
    return [problem._asdict() for problem in problems]


def format_changes(changes: Iterable[ValueChange]) -> str:
    """Format changes as text, one per line."""
    return "\n".join(str(change) for change in changes) or "no difference"


def changes_data(changes: Iterable[ValueChange]) -> list[dict[str, Any]]:
    """Convert changes for JSON output."""
    return [change._asdict() for change in changes]


def report_failure(console: Console, failure: CallFailure) -> ExitCode:
    """Print why a call failed, and return the exit code."""
    data: dict[str, Any] = {
        "error": failure.kind.value,
        "message": failure.message,
    }
    if failure.refusal is not None:
        data["kind"] = failure.refusal.error
        data["problems"] = [
            {"path": p.path, "message": p.message} for p in failure.refusal.problems
        ]
    if _is_conflict(failure):
        assert failure.refusal is not None
        data["revision"] = failure.refusal.revision
        data["author"] = failure.refusal.author
    console.print_result(data, _format_failure(failure))
    if failure.kind is CallFailureKind.REFUSED:
        return ExitCode.REFUSED
    return ExitCode.UNREACHABLE


def _is_conflict(failure: CallFailure) -> bool:
    refusal = failure.refusal
    return refusal is not None and refusal.is_kind(ErrorKind.REVISION_CONFLICT)


def _format_failure(failure: CallFailure) -> str:
    refusal = failure.refusal
    if refusal is None or failure.kind is not CallFailureKind.REFUSED:
        return f"{failure.kind}: {failure.message}"
    if _is_conflict(failure):
        return (
            f"refused: revision {refusal.revision} by {refusal.author or 'unknown'} "
            "is already applied; compare with `check --diff` and apply again"
        )
    lines = [f"refused: {refusal.error}: {failure.message}"]
    lines += [f"{p.path}: {p.message}" for p in refusal.problems]
    return "\n".join(lines)
