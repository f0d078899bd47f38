"""Request rates of numeric keys, from the entries' reports."""

import math
from collections.abc import Iterable
from typing import NamedTuple

from bergamotdrift.messages import KeyLoad

# Rates follow a change to two thirds within this time.
SMOOTHING_MS = 1800.0
# Keys below this rate are forgotten.
_LEAST_PER_S = 0.02
_TRIM_INTERVAL_MS = 2000.0


class KeyRate(NamedTuple):
    """Hold a key and its requests per second."""

    key: int
    per_s: float


class KeyLoads:
    """Hold the decaying request rates of one service's keys."""

    def __init__(self) -> None:
        self._counts: dict[int, float] = {}
        self._at_ms = 0.0
        self._trimmed_ms = 0.0

    def add(self, loads: Iterable[KeyLoad], now_ms: float) -> None:
        """Count requests for keys."""
        self._decay(now_ms)
        for item in loads:
            if item.requests > 0:
                self._counts[item.key] = self._counts.get(item.key, 0) + item.requests

    def rates(self, now_ms: float) -> list[KeyRate]:
        """Return the rates of all known keys, in the order of the keys."""
        self._decay(now_ms)
        scale = 1000.0 / SMOOTHING_MS
        return [KeyRate(key, self._counts[key] * scale) for key in sorted(self._counts)]

    def _decay(self, now_ms: float) -> None:
        share = math.exp(-max(0.0, now_ms - self._at_ms) / SMOOTHING_MS)
        self._at_ms = now_ms
        least = 0.0
        if now_ms - self._trimmed_ms > _TRIM_INTERVAL_MS:
            self._trimmed_ms = now_ms
            least = _LEAST_PER_S * SMOOTHING_MS / 1000.0
        self._counts = {
            key: count * share
            for key, count in self._counts.items()
            if count * share > least
        }
