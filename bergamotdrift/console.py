"""Output of the operator command line as text or JSON, and its exit codes."""

import json
import sys
from collections.abc import Iterable, Mapping, Sequence
from enum import IntEnum
from typing import Any

from tabulate import tabulate


class ExitCode(IntEnum):
    """List the exit codes, which are stable for scripts."""

    OK = 0
    REFUSED = 1
    USAGE = 2
    UNREACHABLE = 3


def escape_control_characters(text: str) -> str:
    """Escape all control characters of a text except newlines."""
    return "".join(
        ch if ch.isprintable() or ch == "\n" else ch.encode("unicode_escape").decode()
        for ch in text
    )


def format_table(rows: Iterable[Sequence[Any]], headers: Sequence[str]) -> str:
    """Format rows as a text table, without reformatting numbers."""
    cells = [[_format_cell(value) for value in row] for row in rows]
    return tabulate(cells, headers, tablefmt="simple", disable_numparse=True)


def format_sections(data: Mapping[str, Any]) -> str:
    """Format scalar values as one table, and each list of objects as another."""
    values, tables = _split_tables(data, "")
    parts = [format_table(values, ["name", "value"])] if values else []
    parts += [f"{name}:\n{format_rows(rows)}" for name, rows in tables]
    return "\n\n".join(parts)


def format_rows(rows: list[dict[str, Any]]) -> str:
    """Format objects as a text table with one column per name."""
    names = list(dict.fromkeys(name for row in rows for name in row))
    return format_table([[row.get(name) for name in names] for row in rows], names)


def _split_tables(data: Mapping[str, Any], prefix: str) -> tuple[list, list]:
    values, tables = [], []
    for name, value in data.items():
        if isinstance(value, dict):
            inner_values, inner_tables = _split_tables(value, f"{prefix}{name}.")
            values += inner_values
            tables += inner_tables
        elif isinstance(value, list) and value and isinstance(value[0], dict):
            tables.append((prefix + name, [r for r in value if isinstance(r, dict)]))
        else:
            values.append((prefix + name, value))
    return values, tables


class Console:
    """Print results as text or JSON."""

    def __init__(self, as_json: bool):
        self._as_json = as_json

    def print_result(self, data: Any, text: str) -> None:
        """Print `data` in JSON mode, else `text`."""
        if self._as_json:
            print(json.dumps(data, indent=2))
        elif text:
            print(escape_control_characters(text))

    @staticmethod
    def print_note(text: str) -> None:
        """Print a note to stderr."""
        print(escape_control_characters(text), file=sys.stderr, flush=True)


def _format_cell(value: Any) -> str:
    if isinstance(value, bool):
        return "yes" if value else "no"
    if value is None:
        return ""
    if isinstance(value, (list, tuple)):
        return ", ".join(_format_cell(item) for item in value)
    if isinstance(value, dict):
        return ", ".join(f"{name}={_format_cell(item)}" for name, item in value.items())
    # A newline within a cell would look like the start of another row.
    return str(value).replace("\n", "\\n")
