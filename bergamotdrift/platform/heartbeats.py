"""Decoders of the heartbeats and deregistrations that the platform's upstreams send."""

from typing import Any

from bergamotdrift.messages import (
    Announcement,
    UpstreamState,
)
from bergamotdrift.platform.decoding import (
    WireError,
    duration_ms,
    integer,
    non_empty_string,
)
from bergamotdrift.platform.site_config import parse_json

_STATES = {"ready": UpstreamState.READY, "draining": UpstreamState.LEAVING}


def decode_heartbeat(upstream: str, body: bytes) -> Announcement:
    """Decode a heartbeat to an announcement, or raise WireError."""
    fields = parse_json(body)
    state = _STATES.get(fields.get("state", ""))
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
    )


def decode_deregistration(body: bytes) -> int | None:
    """Return the start time in a deregistration, or None if it is not stated."""
    if not body:
        return None
    fields = parse_json(body)
    return _born_ms(fields) if "born" in fields else None


def _born_ms(fields: dict[str, Any]) -> int:
    # Without a start time, incarnations under the same id can't be distinguished.
    return integer(fields.get("born", 1), "born", 1)
