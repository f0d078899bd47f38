"""Request rates of numeric keys, from the entries' reports."""

import math
from collections.abc import Iterable
from typing import NamedTuple

from bergamotdrift.messages import KeyLoad

# Rates follow a change to two thirds within this time.
SMOOTHING_MS = 1800.0
# Keys below this rate are forgotten.
_LEAST_PER_S = 0.02
_REBASE_INTERVAL_MS = 2000.0


class KeyRate(NamedTuple):
    """Hold a key and its requests per second."""

    key: int
    per_s: float


class KeyLoads:
    """Hold the decaying request rates of one service's keys.

    Counts are kept as of a base time, later requests count more than one each. So a
    report costs by the keys that it names, not by all that are known.
    """

    def __init__(self) -> None:
        self._counts: dict[int, float] = {}
        self._base_ms = 0.0

    def add(self, loads: Iterable[KeyLoad], now_ms: float) -> None:
        """Count requests for keys."""
        weight = 1.0 / self._decay(now_ms)
        for item in loads:
            if item.requests > 0:
                counted = item.requests * weight
                self._counts[item.key] = self._counts.get(item.key, 0.0) + counted

    def rates(self, now_ms: float) -> list[KeyRate]:
        """Return the rates of all known keys, in the order of the keys."""
        scale = self._decay(now_ms) * 1000.0 / SMOOTHING_MS
        return [KeyRate(key, self._counts[key] * scale) for key in sorted(self._counts)]

    def _decay(self, now_ms: float) -> float:
        """Return which part of the counts is left, after moving an old base time."""
        passed_ms = max(0.0, now_ms - self._base_ms)
        share = math.exp(-passed_ms / SMOOTHING_MS)
        if passed_ms <= _REBASE_INTERVAL_MS:
            return share
        least = _LEAST_PER_S * SMOOTHING_MS / 1000.0
        self._base_ms = now_ms
        self._counts = {
            key: count * share
            for key, count in self._counts.items()
            if count * share > least
        }
        return 1.0
