"""Conversion of named tuples to built-in types for JSON."""

from enum import Enum
from typing import Any


def plain(value: Any) -> Any:
    """Convert named tuples to mappings and enum members to values, recursively."""
    if hasattr(value, "_asdict"):
        return {name: plain(item) for name, item in value._asdict().items()}
    if isinstance(value, (list, tuple)):
        return [plain(item) for item in value]
    return value.value if isinstance(value, Enum) else value
