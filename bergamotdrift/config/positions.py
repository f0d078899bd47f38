"""Line numbers of the values in a JSON5 text, by path."""

import re
from typing import NamedTuple

import json5

from bergamotdrift.config.problems import Path

_TOKEN = re.compile(
    r"""
    (?P<skip>\s+|//[^\n\r\u2028\u2029]*|/\*.*?\*/)
    |(?P<text>"(?:\\.|[^"\\])*"|'(?:\\.|[^'\\])*')
    |(?P<mark>[{}\[\]:,])
    |(?P<word>(?:[^\s{}\[\]:,"'/]|/(?![/*]))+)
    """,
    re.VERBOSE | re.DOTALL,
)


class Token(NamedTuple):
    """Hold a token and the line where it starts."""

    text: str
    line: int
    is_punctuation: bool


class Duplicate(NamedTuple):
    """Describe a duplicate name in an object, with the lines of both definitions."""

    path: Path
    first_line: int
    line: int


class Positions(NamedTuple):
    """Hold the line of each value, and the duplicate names."""

    lines: dict[Path, int]
    duplicates: list[Duplicate]


class _OpenContainer:
    """Track the current position in an object or list that is not closed yet."""

    def __init__(self, path: Path, is_list: bool):
        self.path = path
        self.is_list = is_list
        self.index = 0
        self.name: str | None = None

    def child_path(self) -> Path:
        return (*self.path, self.index if self.is_list else self.name or "")


def find_positions(text: str) -> Positions:
    """Return the lines of all values in a text that json5 accepts."""
    positions = Positions({}, [])
    stack: list[_OpenContainer] = []
    for token in _tokenize(text):
        if token.is_punctuation:
            _handle_punctuation(token, stack, positions)
        elif stack and not stack[-1].is_list and stack[-1].name is None:
            stack[-1].name = _parse_name(token.text)
            _record_line(positions, stack[-1].child_path(), token.line)
        elif stack and stack[-1].is_list:
            _record_line(positions, stack[-1].child_path(), token.line)
    return positions


def _tokenize(text: str) -> list[Token]:
    tokens = []
    line = 1
    for match in _TOKEN.finditer(text):
        if match.lastgroup != "skip":
            tokens.append(Token(match.group(), line, match.lastgroup == "mark"))
        line += match.group().count("\n")
    return tokens


def _handle_punctuation(
    token: Token, stack: list[_OpenContainer], positions: Positions
) -> None:
    if token.text in "{[":
        path = stack[-1].child_path() if stack else ()
        if not stack or stack[-1].is_list:
            _record_line(positions, path, token.line)
        stack.append(_OpenContainer(path, token.text == "["))
    elif token.text in "}]":
        stack.pop()
    elif token.text == ",":
        stack[-1].index += 1
        stack[-1].name = None


def _record_line(positions: Positions, path: Path, line: int) -> None:
    first_line = positions.lines.get(path)
    if first_line is not None and isinstance(path[-1], str):
        positions.duplicates.append(Duplicate(path, first_line, line))
    positions.lines.setdefault(path, line)


def _parse_name(token: str) -> str:
    """Parse a quoted or unquoted name."""
    if token[0] in "\"'":
        return str(json5.loads(token))
    if "\\" in token:
        return str(next(iter(json5.loads("{" + token + ":0}"))))
    return token
