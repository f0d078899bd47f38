"""Reading of single values in the platform's bodies and settings."""

import re
from typing import Any

_DURATION = re.compile(r"(\d+(?:\.\d+)?)(ms|s)")
_MS_PER_UNIT = {"ms": 1.0, "s": 1000.0}


class WireError(ValueError):
    """Report a value that can't be read."""


def duration_ms(value: Any) -> float:
    """Return a time such as `1500ms` or `2.5s` in milliseconds, or raise WireError."""
    match = _DURATION.fullmatch(value) if isinstance(value, str) else None
    if match is None:
        raise WireError(f"{value!r} is no time")
    return float(match.group(1)) * _MS_PER_UNIT[match.group(2)]


def text(value: Any, what: str) -> str:
    """Return a text that is not empty, or raise WireError."""
    if not isinstance(value, str) or not value:
        raise WireError(f"{what} must be a text")
    return value


def whole(value: Any, what: str, least: int = 0) -> int:
    """Return a whole number of at least `least`, or raise WireError."""
    if isinstance(value, bool) or not isinstance(value, int) or value < least:
        raise WireError(f"{what} must be a whole number of at least {least}")
    return value


def number(value: Any, what: str) -> float:
    """Return a number of at least 0, or raise WireError."""
    if isinstance(value, bool) or not isinstance(value, (int, float)) or value < 0:
        raise WireError(f"{what} must be a number of at least 0")
    return float(value)


def flag(value: Any, what: str) -> bool:
    """Return true or false, false for null, or raise WireError."""
    if value is None:
        return False
    if not isinstance(value, bool):
        raise WireError(f"{what} must be true or false")
    return value
