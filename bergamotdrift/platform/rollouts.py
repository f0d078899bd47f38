"""Decoder of the orders by which the platform's operators start rollouts."""

from typing import NamedTuple

from bergamotdrift.platform.decoding import (
    WireError,
    duration_ms,
    non_empty_string,
    version_text,
)
from bergamotdrift.platform.site_config import parse_json

# A longer rollout is a mistake in the unit.
_DURATION_MAX_MS = 24 * 3600 * 1000.0


class RolloutOrder(NamedTuple):
    """Hold an order to roll out a version of a service."""

    service: str
    target: str
    duration_ms: int


def decode_order(body: bytes) -> RolloutOrder:
    """Decode an order, or raise WireError."""
    fields = parse_json(body)
    duration = duration_ms(fields.get("duration"))
    if not 1.0 <= duration <= _DURATION_MAX_MS:
        raise WireError("duration must be from 1 ms to 24 h")
    return RolloutOrder(
        non_empty_string(fields.get("service"), "service"),
        version_text(fields.get("target"), "target"),
        int(duration),
    )
