"""Early refusal of requests for keys whose upstream is offered more than it can serve.

An entry of a large fleet sends an upstream too few requests to notice in time that it
is full. The leader knows what all entries are asked for, and tells them which part of
the requests an upstream can serve.
"""

import random
from collections.abc import Iterable, Mapping

from bergamotdrift.feed_tables import UpstreamId
from bergamotdrift.messages import UpstreamOverload

# With fewer entries, each one sees enough of an upstream's answers to know its queue.
OVERLOAD_MIN_ENTRIES = 24
# Offered load, as a multiple of an upstream's capacity, from which on it counts as
# overloaded. Its queue absorbs less.
OVERLOADED_FROM = 1.15
# Admitted load. Above the capacity the queue stays full, and all answers are late.
ADMITTED_LOAD = 0.95
# An entry that hears no more of an overload ignores it after this time.
OVERLOAD_TTL_MS = 1500.0
# Parts of the time that is left after which callers are asked to come back. They are
# spread, since all callers of a hot key are refused at the same time.
_RETRY_FROM = 0.1
_RETRY_UNTIL = 0.3


def overloads_of(service: str, loads: Mapping[str, float]) -> list[UpstreamOverload]:
    """Return the overloaded upstreams of a service; a load of 1.0 is the capacity."""
    return [
        UpstreamOverload(service, upstream, round(1000.0 * ADMITTED_LOAD / load))
        for upstream, load in sorted(loads.items())
        if load >= OVERLOADED_FROM
    ]


class OverloadGate:
    """Decide at one entry which requests are refused before they are sent."""

    def __init__(self, rng: random.Random):
        self._rng = rng
        self._admitted: dict[UpstreamId, float] = {}
        self._expires_ms = 0.0

    def update(self, items: Iterable[UpstreamOverload], now_ms: float) -> None:
        """Replace what is known of overloaded upstreams."""
        self._admitted = {
            UpstreamId(item.service, item.upstream): item.admitted_permille / 1000.0
            for item in items
        }
        self._expires_ms = now_ms + OVERLOAD_TTL_MS

    def refuses(self, upstream: UpstreamId, now_ms: float) -> bool:
        """Return whether to refuse a request; call it once for each request."""
        if now_ms >= self._expires_ms:
            return False
        admitted = self._admitted.get(upstream)
        return admitted is not None and self._rng.random() >= admitted

    def retry_after_s(self, left_ms: float) -> float:
        """Return when a refused caller with `left_ms` of time may come back."""
        return self._rng.uniform(_RETRY_FROM, _RETRY_UNTIL) * max(0.0, left_ms) / 1000.0
