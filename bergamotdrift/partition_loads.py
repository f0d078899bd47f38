"""Smoothed request rates of partitions and hot keys, from the arbiters' reports."""

import math
from typing import NamedTuple

from bergamotdrift.messages import LoadReport

# Time constant of the exponential smoothing: about two thirds of a change show after
# this time. Hot keys change in minutes.
SMOOTHING_MS = 3000.0
HOT_KEY_MIN_PER_S = 20.0
# A key with at least this share of the mean load per upstream is isolated in its own
# partition.
HOT_KEY_SHARE = 0.25
COOL_KEY_SHARE = 0.05
KEYS_MAX = 256
# Idle partitions keep this weight, so that idle services are spread by partition count.
_IDLE_WEIGHT = 0.2
_WINDOW_MAX_MS = 60_000


class Rate(NamedTuple):
    """Hold a smoothed rate per second and the time of its last report."""

    per_s: float
    at_ms: float

    def decayed_at(self, now_ms: float) -> float:
        """Return the rate after exponential decay since its last report."""
        idle_ms = max(0.0, now_ms - self.at_ms)
        return self.per_s * math.exp(-idle_ms / SMOOTHING_MS)


class PartitionLoads:
    """Hold the smoothed request rates of one keyed service."""

    def __init__(self) -> None:
        self._partitions: dict[int, Rate] = {}
        self._keys: dict[int, Rate] = {}

    def add(self, report: LoadReport, now_ms: float) -> None:
        """Add a report; windows out of range and negative counts are ignored."""
        if not 0 < report.window_ms <= _WINDOW_MAX_MS:
            return
        for item in report.partitions:
            if item.requests >= 0:
                _update_rate(
                    self._partitions, item.partition, item.requests, report, now_ms
                )
        for key in report.hot_keys:
            if key.requests >= 0:
                _update_rate(self._keys, key.key_hash, key.requests, report, now_ms)
        self._evict_keys(now_ms)

    def remove_partition(self, partition: int) -> None:
        """Remove the rate of a partition that no longer exists."""
        self._partitions.pop(partition, None)

    def rate_of(self, partition: int, now_ms: float) -> float:
        """Return a partition's requests per second."""
        rate = self._partitions.get(partition)
        return rate.decayed_at(now_ms) if rate is not None else 0.0

    def total(self, now_ms: float) -> float:
        """Return the requests per second of all partitions."""
        return sum(rate.decayed_at(now_ms) for rate in self._partitions.values())

    def weights(self, partitions: list[int], now_ms: float) -> dict[int, float]:
        """Return weights with a mean of about 1; all are 1 if no load is known."""
        rates = {number: self.rate_of(number, now_ms) for number in partitions}
        total = sum(rates.values())
        if total <= len(partitions) * 0.01:
            return dict.fromkeys(partitions, 1.0)
        scale = (1.0 - _IDLE_WEIGHT) * len(partitions) / total
        return {number: _IDLE_WEIGHT + rate * scale for number, rate in rates.items()}

    def hot_keys(self, upstreams: int, now_ms: float) -> list[int]:
        """Return the hashes of the keys to isolate, hottest first."""
        threshold = self._hot_threshold(upstreams, now_ms)
        rates = {key: rate.decayed_at(now_ms) for key, rate in self._keys.items()}
        hot = [key for key, rate in rates.items() if rate >= threshold]
        return sorted(hot, key=lambda key: (-rates[key], key))

    def has_cooled(self, partition: int, upstreams: int, now_ms: float) -> bool:
        """Return whether the load of an isolated key's partition has dropped."""
        ratio = COOL_KEY_SHARE / HOT_KEY_SHARE
        threshold = self._hot_threshold(upstreams, now_ms) * ratio
        return self.rate_of(partition, now_ms) < threshold

    def _hot_threshold(self, upstreams: int, now_ms: float) -> float:
        fair_per_s = self.total(now_ms) / max(1, upstreams)
        return max(HOT_KEY_MIN_PER_S, fair_per_s * HOT_KEY_SHARE)

    def _evict_keys(self, now_ms: float) -> None:
        if len(self._keys) <= KEYS_MAX:
            return
        hottest_first = sorted(
            self._keys, key=lambda key: -self._keys[key].decayed_at(now_ms)
        )
        self._keys = {key: self._keys[key] for key in hottest_first[: KEYS_MAX // 2]}


def _update_rate(
    rates: dict[int, Rate], key: int, requests: int, report: LoadReport, now_ms: float
) -> None:
    per_s = requests * 1000.0 / report.window_ms
    previous = rates.get(key)
    if previous is None:
        rates[key] = Rate(per_s, now_ms)
        return
    decay = math.exp(-report.window_ms / SMOOTHING_MS)
    rates[key] = Rate(previous.per_s * decay + per_s * (1 - decay), now_ms)
