"""Read settings files, and merge an overlay into a base.

Objects are merged recursively by name. Any other value of the overlay, lists included,
replaces that of the base. `null` in the overlay removes an entry of the base.
"""

import re
from collections.abc import Mapping
from pathlib import Path as FilePath
from typing import Any, NamedTuple

import json5
from deepmerge import Merger
from deepmerge.strategy.core import STRATEGY_END
from returns.result import Failure, Result, Success

from bergamotdrift.config.positions import Duplicate, Positions, find_positions
from bergamotdrift.config.problems import (
    Path,
    Problem,
    format_path,
    parent_path,
)

_JSON5_POSITION = re.compile(r"^<string>:\d+ ")
MAX_FILE_BYTES = 1024 * 1024


class Place(NamedTuple):
    """Identify a line of a file."""

    file: str
    line: int


class Source(NamedTuple):
    """Hold merged settings, and the file and line of each value by formatted path."""

    mapping: dict[str, Any]
    places: dict[str, Place]

    def locate(self, problem: Problem) -> Problem:
        """Add the file and line of the value, or of its nearest known parent."""
        path = problem.path
        while path and path not in self.places:
            path = parent_path(path)
        place = self.places.get(path, Place("", 0))
        return problem._replace(file=place.file, line=place.line)


def read_file(file: str) -> Result[Source, list[Problem]]:
    """Read and parse one settings file."""
    text = _read_text(file)
    if isinstance(text, Problem):
        return Failure([text])
    try:
        value, error, position = json5.parse(text, allow_duplicate_keys=False)
        positions = find_positions(text) if _is_syntax_valid(error) else None
    except (RecursionError, ValueError) as exc:
        reason = "nested too deeply" if isinstance(exc, RecursionError) else str(exc)
        return Failure([Problem(file, "", 0, f"can't be read as JSON: {reason}")])
    if positions is not None and positions.duplicates:
        return Failure(_duplicate_problems(file, positions.duplicates))
    if error is not None or positions is None:
        line = text.count("\n", 0, position) + 1
        return Failure([
            Problem(file, "", line, f"invalid JSON: {_syntax_error_message(error)}")
        ])
    if not isinstance(value, dict):
        return Failure([Problem(file, "", 1, "must contain an object")])
    return Success(Source(value, _find_places(file, positions)))


def read_merged(base: str, overlay: str | None) -> Result[Source, list[Problem]]:
    """Read a base file and merge an overlay into it."""
    base_source = read_file(base)
    if overlay is None:
        return base_source
    overlay_source = read_file(overlay)
    problems = [*base_source.swap().value_or([]), *overlay_source.swap().value_or([])]
    if problems:
        return Failure(problems)
    return _merge(base_source.unwrap(), overlay_source.unwrap())


def _merge(base: Source, overlay: Source) -> Result[Source, list[Problem]]:
    problems = _unused_removals(base.mapping, overlay.mapping, ())
    if problems:
        return Failure([overlay.locate(problem) for problem in problems])
    merger = Merger([(dict, [_remove_nulls, "merge"])], "override", "override")
    mapping = merger.merge(base.mapping, overlay.mapping)
    return Success(Source(mapping, base.places | overlay.places))


def _remove_nulls(merger: Merger, path: list, base: dict, overlay: dict) -> Any:
    """Remove the entries that are null in the overlay, then continue the merge."""
    for name in [name for name, value in overlay.items() if value is None]:
        base.pop(name)
        overlay.pop(name)
    return STRATEGY_END


def _unused_removals(
    base: Mapping[str, Any], overlay: Mapping[str, Any], path: Path
) -> list[Problem]:
    """Return a problem for each null without an entry in the base to remove."""
    problems = []
    for name, value in overlay.items():
        entry_path = (*path, name)
        base_value = base.get(name)
        if value is None and name not in base:
            message = "null removes an entry, but the base has no entry with this name"
            problems.append(Problem("", format_path(entry_path), 0, message))
        elif isinstance(value, dict):
            base_value = base_value if isinstance(base_value, dict) else {}
            problems.extend(_unused_removals(base_value, value, entry_path))
    return problems


def _read_text(file: str) -> str | Problem:
    try:
        with FilePath(file).open("rb") as stream:
            data = stream.read(MAX_FILE_BYTES + 1)
    except (OSError, ValueError) as exc:
        reason = getattr(exc, "strerror", None) or str(exc)
        return Problem(file, "", 0, f"can't be read: {reason}")
    if len(data) > MAX_FILE_BYTES:
        return Problem(file, "", 0, f"is larger than {MAX_FILE_BYTES} bytes")
    try:
        return data.decode("utf-8-sig")
    except UnicodeDecodeError as exc:
        line = data.count(b"\n", 0, exc.start) + 1
        return Problem(file, "", line, "is not UTF-8 text")


def _is_syntax_valid(error: str | None) -> bool:
    return error is None or error.startswith("Duplicate key")


def _syntax_error_message(error: str | None) -> str:
    """Return the message of json5 without its placeholder file name and line."""
    return _JSON5_POSITION.sub("", error or "empty")


def _duplicate_problems(file: str, duplicates: list[Duplicate]) -> list[Problem]:
    paths = {dup.path for dup in duplicates}
    return [
        Problem(
            file,
            format_path(dup.path),
            dup.line,
            f"duplicate name, first on line {dup.first_line}",
        )
        for dup in duplicates
        # Values within a duplicate object are covered by the problem of the object.
        if not any(dup.path[:n] in paths for n in range(1, len(dup.path)))
    ]


def _find_places(file: str, positions: Positions) -> dict[str, Place]:
    return {
        format_path(path): Place(file, line) for path, line in positions.lines.items()
    }
