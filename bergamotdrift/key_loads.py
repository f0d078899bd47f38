"""Smoothed request rates of numeric keys, from the entries' reports."""

import math
from collections.abc import Iterable
from typing import NamedTuple

from bergamotdrift.messages import KeyLoad

# Time constant of the exponential decay: about two thirds of a change show after this
# time.
SMOOTHING_MS = 1800.0
# Keys below this rate are removed.
_MIN_PER_S = 0.02
_REBASE_INTERVAL_MS = 2000.0


class KeyRate(NamedTuple):
    """Hold a key and its requests per second."""

    key: int
    per_s: float


class KeyLoads:
    """Hold the exponentially decaying request rates of one service's keys.

    Counts are scaled to a base time: a later request adds more than 1, instead of all
    counts decaying. So a report costs time for the keys that it names, not for all
    known keys.
    """

    def __init__(self, smoothing_ms: float = SMOOTHING_MS) -> None:
        self._smoothing_ms = smoothing_ms
        self._counts: dict[int, float] = {}
        self._base_ms = 0.0

    def add(self, loads: Iterable[KeyLoad], now_ms: float) -> None:
        """Add the request counts of a report."""
        weight = 1.0 / self._decay_factor(now_ms)
        for item in loads:
            if item.requests > 0:
                counted = item.requests * weight
                self._counts[item.key] = self._counts.get(item.key, 0.0) + counted

    def rates(self, now_ms: float) -> list[KeyRate]:
        """Return the rates of all known keys, sorted by key."""
        scale = self._decay_factor(now_ms) * 1000.0 / self._smoothing_ms
        return [KeyRate(key, self._counts[key] * scale) for key in sorted(self._counts)]

    def _decay_factor(self, now_ms: float) -> float:
        """Return the decay since the base time, after rebasing if that is long ago."""
        elapsed_ms = max(0.0, now_ms - self._base_ms)
        factor = math.exp(-elapsed_ms / self._smoothing_ms)
        if elapsed_ms <= _REBASE_INTERVAL_MS:
            return factor
        min_count = _MIN_PER_S * self._smoothing_ms / 1000.0
        self._base_ms = now_ms
        self._counts = {
            key: count * factor
            for key, count in self._counts.items()
            if count * factor > min_count
        }
        return 1.0
