"""Measured loads of partitions and hot keys, from the arbiters' reports."""

import math
from typing import NamedTuple

from bergamotdrift.messages import LoadReport

# Rates follow a change to two thirds within this time; hot keys change in minutes.
SMOOTHING_MS = 3000.0
HOT_KEY_MIN_PER_S = 20.0
# A key that takes this share of an upstream's fair load gets its own partition.
HOT_KEY_SHARE = 0.25
COOL_KEY_SHARE = 0.05
KEYS_KEPT = 256
# An idle partition still counts, so that idle services are spread by number.
_IDLE_WEIGHT = 0.2
_WINDOW_MAX_MS = 60_000


class Rate(NamedTuple):
    """Hold a smoothed rate per second and when it was last reported."""

    per_s: float
    at_ms: float

    def at(self, now_ms: float) -> float:
        """Return the rate, decayed for the time without a report."""
        silent_ms = max(0.0, now_ms - self.at_ms)
        return self.per_s * math.exp(-silent_ms / SMOOTHING_MS)


class PartitionLoads:
    """Hold the smoothed rates of one keyed service."""

    def __init__(self) -> None:
        self._partitions: dict[int, Rate] = {}
        self._keys: dict[int, Rate] = {}

    def add(self, report: LoadReport, now_ms: float) -> None:
        """Take in a report; counts outside sane bounds are ignored."""
        if not 0 < report.window_ms <= _WINDOW_MAX_MS:
            return
        for item in report.partitions:
            if item.requests >= 0:
                _update(self._partitions, item.partition, item.requests, report, now_ms)
        for key in report.hot_keys:
            if key.requests >= 0:
                _update(self._keys, key.key_hash, key.requests, report, now_ms)
        self._bound_keys(now_ms)

    def forget_partition(self, partition: int) -> None:
        """Drop the rate of a partition that no longer exists."""
        self._partitions.pop(partition, None)

    def rate_of(self, partition: int, now_ms: float) -> float:
        """Return a partition's requests per second."""
        rate = self._partitions.get(partition)
        return rate.at(now_ms) if rate is not None else 0.0

    def total(self, now_ms: float) -> float:
        """Return the requests per second of all partitions."""
        return sum(rate.at(now_ms) for rate in self._partitions.values())

    def weights(self, partitions: list[int], now_ms: float) -> dict[int, float]:
        """Return weights with a mean of about 1; equal ones if nothing is known."""
        rates = {number: self.rate_of(number, now_ms) for number in partitions}
        total = sum(rates.values())
        if total <= len(partitions) * 0.01:
            return dict.fromkeys(partitions, 1.0)
        scale = (1.0 - _IDLE_WEIGHT) * len(partitions) / total
        return {number: _IDLE_WEIGHT + rate * scale for number, rate in rates.items()}

    def hot_keys(self, upstreams: int, now_ms: float) -> list[int]:
        """Return hashes of keys that deserve their own partition, hottest first."""
        bound = self._hot_bound(upstreams, now_ms)
        rates = {key: rate.at(now_ms) for key, rate in self._keys.items()}
        hot = [key for key, rate in rates.items() if rate >= bound]
        return sorted(hot, key=lambda key: (-rates[key], key))

    def is_cool(self, partition: int, upstreams: int, now_ms: float) -> bool:
        """Tell whether an isolated partition no longer deserves to be one."""
        ratio = COOL_KEY_SHARE / HOT_KEY_SHARE
        bound = self._hot_bound(upstreams, now_ms) * ratio
        return self.rate_of(partition, now_ms) < bound

    def _hot_bound(self, upstreams: int, now_ms: float) -> float:
        fair = self.total(now_ms) / max(1, upstreams)
        return max(HOT_KEY_MIN_PER_S, fair * HOT_KEY_SHARE)

    def _bound_keys(self, now_ms: float) -> None:
        if len(self._keys) <= KEYS_KEPT:
            return
        order = sorted(self._keys, key=lambda key: -self._keys[key].at(now_ms))
        self._keys = {key: self._keys[key] for key in order[: KEYS_KEPT // 2]}


def _update(
    rates: dict[int, Rate], key: int, requests: int, report: LoadReport, now_ms: float
) -> None:
    per_s = requests * 1000.0 / report.window_ms
    old = rates.get(key)
    if old is None:
        rates[key] = Rate(per_s, now_ms)
        return
    share = math.exp(-report.window_ms / SMOOTHING_MS)
    rates[key] = Rate(old.per_s * share + per_s * (1 - share), now_ms)
