"""Part of each rank in the recent requests of a service at one entry.

Load: an upstream is offered more than it can serve, by requests of several ranks. What
it can serve is divided by these parts.
"""

import math

_DECAY_MS = 4000.0


class RankMix:
    """Hold decaying counts of requests by service and rank; callers pass the time."""

    def __init__(self) -> None:
        self._counts: dict[str, dict[int, float]] = {}
        self._at_ms: dict[str, float] = {}

    def add(self, service: str, rank: int, weight: float, now_ms: float) -> None:
        """Count a request that stands for `weight` requests."""
        factor = math.exp((self._at_ms.get(service, now_ms) - now_ms) / _DECAY_MS)
        counts = self._counts.setdefault(service, {})
        for known in counts:
            counts[known] *= factor
        counts[rank] = counts.get(rank, 0.0) + weight
        self._at_ms[service] = now_ms

    def parts(self, service: str) -> dict[int, float]:
        """Return the part of each rank in the requests of a service."""
        counts = self._counts.get(service, {})
        total = sum(counts.values())
        return {rank: count / total for rank, count in counts.items()} if total else {}
