"""Numeric routing keys of range-partitioned services."""

import re

from bergamotdrift.messages import LAST_KEY

_NUMERIC_KEY = re.compile(r"[0-9]{1,5}")


def key_number(text: str) -> int | None:
    """Parse a key from 0 to `LAST_KEY`; return None for any other text."""
    if not _NUMERIC_KEY.fullmatch(text):
        return None
    number = int(text)
    return number if number <= LAST_KEY else None
