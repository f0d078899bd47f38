"""Decoders of single values in the platform's bodies and settings."""

import re
from typing import Any

_DURATION = re.compile(r"(\d+(?:\.\d+)?)(ms|s)")
_VERSION_MAX_CHARS = 128
_MS_PER_UNIT = {"ms": 1.0, "s": 1000.0}


class WireError(ValueError):
    """Report a malformed or invalid value."""


def duration_ms(value: Any) -> float:
    """Convert a duration such as `1500ms` or `2.5s` to ms, or raise WireError."""
    match = _DURATION.fullmatch(value) if isinstance(value, str) else None
    if match is None:
        raise WireError(f"{value!r} is not a duration")
    return float(match.group(1)) * _MS_PER_UNIT[match.group(2)]


def non_empty_string(value: Any, name: str) -> str:
    """Return the value if it is a non-empty string, or raise WireError."""
    if not isinstance(value, str) or not value:
        raise WireError(f"{name} must be a non-empty string")
    return value


def integer(value: Any, name: str, minimum: int = 0) -> int:
    """Return the value if it is an integer >= `minimum`, or raise WireError."""
    if isinstance(value, bool) or not isinstance(value, int) or value < minimum:
        raise WireError(f"{name} must be an integer of at least {minimum}")
    return value


def non_negative_number(value: Any, name: str) -> float:
    """Return the value as a float if it is 0 or greater, or raise WireError."""
    if isinstance(value, bool) or not isinstance(value, (int, float)) or value < 0:
        raise WireError(f"{name} must be a number of at least 0")
    return float(value)


def version_text(value: Any, name: str) -> str:
    """Return the value if it is a short printable text, or raise WireError."""
    text = non_empty_string(value, name)
    if len(text) > _VERSION_MAX_CHARS or not text.isprintable():
        raise WireError(f"{name} must be at most {_VERSION_MAX_CHARS} printable chars")
    return text


def boolean(value: Any, name: str) -> bool:
    """Return a boolean, False for null, or raise WireError."""
    if value is None:
        return False
    if not isinstance(value, bool):
        raise WireError(f"{name} must be true or false")
    return value
