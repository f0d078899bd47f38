"""Request targets in the forms that HTTP defines (RFC 9112, section 3.2)."""

import re

_SCHEME_AND_HOST = re.compile(r"https?://[^/?#]*", re.IGNORECASE)


def origin_form(target: str) -> str:
    """Return the path and query of a target in absolute form, else the target."""
    match = _SCHEME_AND_HOST.match(target)
    if match is None:
        return target
    rest = target[match.end() :]
    return rest if rest.startswith("/") else f"/{rest}"
