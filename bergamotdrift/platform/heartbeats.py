"""What the platform's upstreams say of themselves, as announcements."""

from typing import Any

from bergamotdrift.messages import (
    Announcement,
    UpstreamState,
)
from bergamotdrift.platform.decoding import WireError, duration_ms, text, whole
from bergamotdrift.platform.site_config import parse_json

_STATES = {"ready": UpstreamState.READY, "draining": UpstreamState.LEAVING}


def decode_heartbeat(upstream: str, body: bytes) -> Announcement:
    """Return the announcement in a heartbeat, or raise WireError."""
    fields = parse_json(body)
    state = _STATES.get(fields.get("state", ""))
    if state is None:
        raise WireError("unknown state")
    # What is left of the slow time after a start; 0 once the upstream is warm.
    cold_ms = int(duration_ms(fields.get("warmup_left", "0ms")))
    if state is UpstreamState.READY and cold_ms > 0:
        state = UpstreamState.COLD
    born_ms = _born_ms(fields)
    return Announcement(
        text(fields.get("service"), "service"),
        upstream,
        text(fields.get("address"), "address"),
        text(fields.get("zone"), "zone"),
        str(born_ms),
        state,
        slots=whole(fields.get("slots"), "slots", 1),
        born_ms=born_ms,
        sequence=whole(fields.get("seq"), "seq"),
        cold_ms=cold_ms,
    )


def decode_departure(body: bytes) -> int | None:
    """Return the start time of the upstream that leaves, None if it is not stated."""
    if not body:
        return None
    fields = parse_json(body)
    return _born_ms(fields) if "born" in fields else None


def _born_ms(fields: dict[str, Any]) -> int:
    # Without a start time, runs under one id can't be told apart.
    return whole(fields.get("born", 1), "born", 1)
