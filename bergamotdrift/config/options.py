"""Typed options: each checks one value and reports every problem in it.

`check` returns the valid part of a value, so that rules across several options still
run when another option is invalid. `build` converts a value without errors to the
settings object.
"""

import difflib
import ipaddress
import re
from collections.abc import Iterable, Mapping
from enum import StrEnum
from typing import Any

from bergamotdrift.config.problems import Path, Report

REQUIRED: Any = object()
NAME_PATTERN = r"[a-z][a-z0-9-]{0,62}"
DIGEST_PATTERN = r"sha256:[0-9a-f]{64}"
_MAX_VALUE_CHARS = 40
# Python raises ValueError when it formats an integer of more than 4300 digits.
_MAX_PRINTED_INTEGER = 10**30
# The time of a comparison grows with the length, and valid names are short.
_MAX_COMPARED_CHARS = 64
_UNIT_NAMES = {
    "ms": "milliseconds",
    "s": "seconds",
    "bytes": "bytes",
    "per_s": "requests per second",
}


def format_value(value: Any) -> str:
    """Format a value as short text for an error message."""
    if isinstance(value, Mapping):
        return "an object"
    if isinstance(value, (list, tuple)):
        return "a list"
    if value is None:
        return "null"
    if isinstance(value, bool):
        return "true" if value else "false"
    if isinstance(value, int) and abs(value) > _MAX_PRINTED_INTEGER:
        return "a number that is too large"
    text = ascii(value)
    return text if len(text) <= _MAX_VALUE_CHARS else text[:_MAX_VALUE_CHARS] + "..."


def closest_match(name: str, known: Iterable[str]) -> str:
    """Return the known name most similar to `name`, or an empty string."""
    matches = difflib.get_close_matches(name[:_MAX_COMPARED_CHARS], list(known), n=1)
    return matches[0] if matches else ""


def unknown_name_message(name: str, known: Iterable[str]) -> str:
    """Return the error message for an unknown name, with the closest match if any."""
    match = closest_match(name, known)
    hint = f"; did you mean {match!r}?" if match else ""
    return f"unknown name {format_value(name)}{hint}"


class Option:
    """Check one value; `default` is REQUIRED if the option has no default."""

    kind = "any value"

    def __init__(self, *, default: Any = REQUIRED):
        self.default = default

    @property
    def required(self) -> bool:
        """Return whether the option has no default."""
        return self.default is REQUIRED

    def describe(self) -> str:
        """Describe the accepted values for messages and the settings reference."""
        return self.kind

    def check(self, value: Any, path: Path, report: Report) -> Any:
        """Return the valid part of a value, or None after reporting a problem."""
        raise NotImplementedError

    def build(self, value: Any) -> Any:
        """Return the settings object for a value without errors."""
        return value

    def report_invalid(self, value: Any, path: Path, report: Report) -> None:
        """Report a value that the option does not accept."""
        report.error(path, f"must be {self.describe()}, not {format_value(value)}")


class Scalar(Option):
    """Check a value that contains no other values."""

    def accepts(self, value: Any) -> bool:
        """Return whether the value is valid."""
        raise NotImplementedError

    def convert(self, value: Any) -> Any:
        """Convert the value to its type in the settings object."""
        return value

    def check(self, value: Any, path: Path, report: Report) -> Any:
        """Return the value, or None after reporting a problem."""
        if self.accepts(value):
            return self.convert(value)
        self.report_invalid(value, path, report)
        return None


class Integer(Scalar):
    """Accept an integer within inclusive bounds."""

    def __init__(self, minimum: int, maximum: int, unit: str = "", **kwargs: Any):
        super().__init__(**kwargs)
        self._minimum = minimum
        self._maximum = maximum
        self._unit = unit

    def describe(self) -> str:
        """Describe the bounds and the unit."""
        unit = f" of {_UNIT_NAMES[self._unit]}" if self._unit else ""
        return f"a whole number{unit} from {self._minimum} to {self._maximum}"

    def accepts(self, value: Any) -> bool:
        """Return whether the value is an integer within the bounds."""
        if isinstance(value, bool) or not isinstance(value, int):
            return False
        return self._minimum <= value <= self._maximum


class Number(Scalar):
    """Accept a finite number within inclusive bounds."""

    def __init__(self, minimum: float, maximum: float, unit: str = "", **kwargs: Any):
        super().__init__(**kwargs)
        self._minimum = minimum
        self._maximum = maximum
        self._unit = unit

    def describe(self) -> str:
        """Describe the bounds and the unit."""
        unit = f" of {_UNIT_NAMES[self._unit]}" if self._unit else ""
        return f"a number{unit} from {self._minimum:g} to {self._maximum:.10g}"

    def accepts(self, value: Any) -> bool:
        """Return whether the value is a number within the bounds."""
        if isinstance(value, bool) or not isinstance(value, (int, float)):
            return False
        # The comparison is also false for NaN.
        return self._minimum <= value <= self._maximum

    def convert(self, value: Any) -> float:
        """Convert the number to a float."""
        return float(value)


class Boolean(Scalar):
    """Accept true or false."""

    kind = "true or false"

    def accepts(self, value: Any) -> bool:
        """Return whether the value is a boolean."""
        return isinstance(value, bool)


class Choice(Scalar):
    """Accept one value of an enum."""

    def __init__(self, choices: type[StrEnum], **kwargs: Any):
        super().__init__(**kwargs)
        self._choices = choices

    def describe(self) -> str:
        """Describe the values of the enum."""
        return "one of " + ", ".join(repr(c.value) for c in self._choices)

    def accepts(self, value: Any) -> bool:
        """Return whether the value is one of the enum's values."""
        return isinstance(value, str) and value in list(self._choices)

    def convert(self, value: Any) -> StrEnum:
        """Convert the value to its enum member."""
        return self._choices(value)


class Text(Scalar):
    """Accept a string that matches a pattern; `kind` describes the string."""

    def __init__(self, kind: str, pattern: str, **kwargs: Any):
        super().__init__(**kwargs)
        self.kind = kind
        self._pattern = re.compile(pattern, re.ASCII)

    def accepts(self, value: Any) -> bool:
        """Return whether the value is a string that matches the pattern."""
        return isinstance(value, str) and bool(self._pattern.fullmatch(value))


class Name(Text):
    """Accept a name of lowercase letters, digits and hyphens."""

    def __init__(self, **kwargs: Any):
        kind = "a name of up to 63 small letters, digits and hyphens"
        super().__init__(kind, NAME_PATTERN, **kwargs)


class Digest(Text):
    """Accept a key digest; messages omit the value, since it may be a plain key."""

    def __init__(self, **kwargs: Any):
        super().__init__("'sha256:' and 64 hex digits", DIGEST_PATTERN, **kwargs)

    def report_invalid(self, value: Any, path: Path, report: Report) -> None:
        """Report an invalid digest without its value."""
        hint = "; settings must contain the digest of a key, never the key"
        report.error(path, f"must be {self.kind}" + hint * isinstance(value, str))


class Address(Scalar):
    """Accept `IPv4:port`, with port 0 only for a listen address.

    An advertised address must not be 0.0.0.0, since other processes connect to it.
    """

    kind = "an address 'IPv4:port'"

    def __init__(self, *, listen: bool = False, advertised: bool = True, **kwargs: Any):
        super().__init__(**kwargs)
        self._min_port = 0 if listen else 1
        self._advertised = advertised

    def describe(self) -> str:
        """Describe the format of the address."""
        return f"{self.kind}, not 0.0.0.0" if self._advertised else self.kind

    def accepts(self, value: Any) -> bool:
        """Return whether the value is an address with a port in range."""
        if not isinstance(value, str):
            return False
        host, _, port = value.rpartition(":")
        if not re.fullmatch(r"[0-9]{1,5}", port, re.ASCII):
            return False
        try:
            ip = ipaddress.IPv4Address(host)
        except ValueError:
            return False
        if self._advertised and ip.is_unspecified:
            return False
        return self._min_port <= int(port) <= 65535
