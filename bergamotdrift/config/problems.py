"""Problems found in settings, and the paths of the affected values."""

import json
import re
from enum import StrEnum
from typing import NamedTuple

Path = tuple[str | int, ...]

_UNQUOTED_NAME = re.compile(r"[A-Za-z0-9_-]+")


class Severity(StrEnum):
    """List the severities of a problem; only an error makes the settings invalid."""

    ERROR = "error"
    WARNING = "warning"


class Problem(NamedTuple):
    """Describe one problem; `file` is empty and `line` 0 if unknown."""

    file: str
    path: str
    line: int
    message: str
    severity: Severity = Severity.ERROR

    def __str__(self) -> str:
        location = f"{self.file}:{self.line}" if self.line else self.file
        return ": ".join(
            part for part in (location, self.severity, self.path, self.message) if part
        )


def format_path(path: Path) -> str:
    """Format a path, such as `routes.case-status.methods[0]`."""
    text = ""
    for component in path:
        if isinstance(component, int):
            text += f"[{component}]"
        else:
            name = (
                component
                if _UNQUOTED_NAME.fullmatch(component)
                else json.dumps(component)
            )
            text += f".{name}" if text else name
    return text


def parent_path(path: str) -> str:
    """Return a formatted path without its last component."""
    if not path.endswith('"'):
        return path[: max(path.rfind("."), path.rfind("["), 0)]
    # Quotes within a quoted name follow a backslash, the opening quote a dot.
    start = path.rfind('"', 0, -1)
    while start > 0 and path[start - 1] != ".":
        start = path.rfind('"', 0, start)
    return path[: max(start - 1, 0)]


class Report:
    """Collect the problems of a settings check."""

    def __init__(self) -> None:
        self.problems: list[Problem] = []

    def error(self, path: Path, message: str) -> None:
        """Add a problem that makes the settings invalid."""
        self.problems.append(Problem("", format_path(path), 0, message))

    def warning(self, path: Path, message: str) -> None:
        """Add a problem that leaves the settings valid."""
        self.problems.append(
            Problem("", format_path(path), 0, message, Severity.WARNING)
        )

    @property
    def has_errors(self) -> bool:
        """Return whether any problem is an error."""
        return any(p.severity is Severity.ERROR for p in self.problems)
