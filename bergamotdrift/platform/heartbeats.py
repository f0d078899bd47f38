"""Decoders of the heartbeats and deregistrations that the platform's upstreams send."""

from typing import Any

from bergamotdrift.messages import (
    LAST_KEY,
    UNSTATED_BORN_MS,
    Announcement,
    HeldRange,
    ReleasedRange,
    UpstreamState,
)
from bergamotdrift.platform.decoding import (
    WireError,
    duration_ms,
    integer,
    non_empty_string,
    version_text,
)
from bergamotdrift.platform.site_config import parse_json

_STATES = {"ready": UpstreamState.READY, "draining": UpstreamState.LEAVING}


def decode_heartbeat(upstream: str, body: bytes) -> Announcement:
    """Decode a heartbeat to an announcement, or raise WireError."""
    fields = parse_json(body)
    state = _STATES.get(non_empty_string(fields.get("state"), "state"))
    if state is None:
        raise WireError("state must be ready or draining")
    # `warmup_left` is the rest of the slow start; 0 once the upstream is warm.
    cold_ms = int(duration_ms(fields.get("warmup_left", "0ms")))
    if state is UpstreamState.READY and cold_ms > 0:
        state = UpstreamState.COLD
    born_ms = _born_ms(fields)
    return Announcement(
        non_empty_string(fields.get("service"), "service"),
        upstream,
        non_empty_string(fields.get("address"), "address"),
        non_empty_string(fields.get("zone"), "zone"),
        str(born_ms),
        state,
        slots=integer(fields.get("slots"), "slots", 1),
        born_ms=born_ms,
        sequence=integer(fields.get("seq"), "seq"),
        cold_ms=cold_ms,
        held_ranges=[
            HeldRange(*_key_span(row), integer(row[2], "the fence in holds", 1))
            for row in _rows_of_three(fields, "holds")
        ],
        released_ranges=[
            ReleasedRange(*_key_span(row), _state_token(row[2]))
            for row in _rows_of_three(fields, "released")
        ],
        version=_version(fields),
    )


def _version(fields: dict[str, Any]) -> str:
    value = fields.get("version")
    return "" if value is None or value == "" else version_text(value, "version")


def _rows_of_three(fields: dict[str, Any], name: str) -> list[list[Any]]:
    rows = fields.get(name)
    if rows is None:
        return []
    if not isinstance(rows, list):
        raise WireError(f"{name} must be a list")
    if not all(isinstance(row, list) and len(row) == 3 for row in rows):
        raise WireError(f"a row of {name} must have three values")
    return rows


def _key_span(row: list[Any]) -> tuple[int, int]:
    first, last = integer(row[0], "a first key"), integer(row[1], "a last key")
    if not first <= last <= LAST_KEY:
        raise WireError(f"{first} to {last} is not a range of keys")
    return first, last


def _state_token(value: Any) -> str:
    if not isinstance(value, str):
        raise WireError("a state token must be a string")
    return value


def decode_deregistration(body: bytes) -> int | None:
    """Return the start time in a deregistration, or None if it is not stated."""
    if not body:
        return None
    fields = parse_json(body)
    return _born_ms(fields) if "born" in fields else None


def _born_ms(fields: dict[str, Any]) -> int:
    return integer(fields.get("born", UNSTATED_BORN_MS), "born", 1)
