"""Numeric routing keys of services that are divided into ranges."""

import re

from bergamotdrift.messages import LAST_KEY

_NUMERIC_KEY = re.compile(r"[0-9]{1,5}")


def key_number(text: str) -> int | None:
    """Return the key from 0 to `LAST_KEY` that a text states, or None."""
    if not _NUMERIC_KEY.fullmatch(text):
        return None
    number = int(text)
    return number if number <= LAST_KEY else None
