"""Recognition of a flood of requests by what one entry has in flight itself.

Load: after a power loss all callers return within moments. Each entry sends every
upstream a request or two before the first answer states a load, and all entries
together many times what the upstreams can queue.
"""

import math
from typing import NamedTuple

from bergamotdrift.finish_time import QUEUE_PLACES

# Answers tell the load of a service for this time.
_STATED_DECAY_MS = 400.0
# An entry with fewer requests in flight can't tell a flood from chance.
_MIN_REQUESTS = 8
# Standard deviations of a count of random requests by which an entry may have more in
# flight than the others, and a margin for callers that are spread unevenly.
_NOISE_MARGIN = 2.0
_MARGIN = 1.25


class _Stated(NamedTuple):
    mean: float
    weight: float
    at_ms: float


class RequestFlood:
    """Keep the load that a service's answers state; callers pass the time."""

    def __init__(self) -> None:
        self._stated: dict[str, _Stated] = {}

    def record_answer(self, service: str, requests: int, now_ms: float) -> None:
        """Record the running and waiting requests stated in an answer."""
        known = self._stated.get(service, _Stated(0.0, 0.0, now_ms))
        weight = known.weight * math.exp((known.at_ms - now_ms) / _STATED_DECAY_MS)
        mean = (known.mean * weight + requests) / (weight + 1.0)
        self._stated[service] = _Stated(mean, weight + 1.0, now_ms)

    def is_flooded(
        self,
        service: str,
        own: int,
        entries_per_upstream: float,
        slots: int,
        now_ms: float,
    ) -> bool:
        """Return whether the upstreams of a service can't hold one more request.

        `own` are this entry's requests in flight; all entries are taken to have about
        as many. Answers that state a low load disprove it.
        """
        if own < _MIN_REQUESTS:
            return False
        places = slots + QUEUE_PLACES
        likely = own - _NOISE_MARGIN * math.sqrt(own)
        if likely * entries_per_upstream < _MARGIN * places:
            return False
        stated = self._stated.get(service)
        if stated is None or now_ms - stated.at_ms >= _STATED_DECAY_MS:
            return True
        return stated.mean >= places / 2
