"""Latency and errors of an upstream as its own requests showed them."""

import math
from typing import NamedTuple

from bergamotdrift.arbiter_messages import AttemptOutcome
from bergamotdrift.messages import UpstreamState

_FAST_MS = 1000.0
_SLOW_MS = 30_000.0
# A fast mean this many times the slow one is a latency jump.
_JUMP_FACTOR = 4.0
# Fewer samples than this say nothing about an upstream.
_MIN_SAMPLES = 3.0
# A request in three refused within the fast window counts as refusing.
_REFUSING_RATIO = 0.3
# Reports lag; an observation that is younger than this counts instead.
FRESH_MS = 2000.0

_TIMED = frozenset({
    AttemptOutcome.ANSWERED,
    AttemptOutcome.SERVER_ERROR,
    AttemptOutcome.TIMEOUT,
})
_REFUSED = frozenset({
    AttemptOutcome.SHED,
    AttemptOutcome.CONNECT_FAILED,
})
_FAILED = _REFUSED | {
    AttemptOutcome.SERVER_ERROR,
    AttemptOutcome.TIMEOUT,
    AttemptOutcome.BROKEN,
}


class DecayingMean:
    """Average values with weights that halve as they age."""

    __slots__ = ("_at_ms", "_span_ms", "_sum", "_weight")

    def __init__(self, span_ms: float):
        self._span_ms = span_ms
        self._at_ms = 0.0
        self._sum = 0.0
        self._weight = 0.0

    def add(self, value: float, now_ms: float) -> None:
        """Add a value seen now."""
        keep = math.exp((self._at_ms - now_ms) / self._span_ms)
        self._sum = self._sum * keep + value
        self._weight = self._weight * keep + 1.0
        self._at_ms = now_ms

    def mean(self) -> float:
        """Return the weighted mean, or 0 without values."""
        return self._sum / self._weight if self._weight > 0 else 0.0

    def blend(self, other: float, now_ms: float) -> float:
        """Return the mean, moved towards `other` as its values grow few or old."""
        weight = self.weight(now_ms)
        return (self.mean() * weight + other) / (weight + 1.0)

    def weight(self, now_ms: float) -> float:
        """Return how many recent values stand behind the mean."""
        return self._weight * math.exp((self._at_ms - now_ms) / self._span_ms)


class LoadHint(NamedTuple):
    """Hold a lagging load report of an upstream."""

    in_flight: int
    slots: int
    state: UpstreamState
    seen_at_ms: float


class Observations:
    """Remember what recent requests and load reports showed of one upstream."""

    __slots__ = ("_errors", "_fast", "_refusals", "_seen_at_ms", "_slow", "hint")

    def __init__(self) -> None:
        self._fast = DecayingMean(_FAST_MS)
        self._slow = DecayingMean(_SLOW_MS)
        self._errors = DecayingMean(_FAST_MS)
        self._refusals = DecayingMean(_FAST_MS)
        self._seen_at_ms = float("-inf")
        self.hint: LoadHint | None = None

    def record(self, outcome: AttemptOutcome, latency_ms: float, now_ms: float) -> None:
        """Count an attempt that ended now."""
        if outcome is AttemptOutcome.CANCELLED:
            return
        self._errors.add(float(outcome in _FAILED), now_ms)
        self._refusals.add(float(outcome in _REFUSED), now_ms)
        if outcome in _TIMED:
            self._fast.add(latency_ms, now_ms)
            self._slow.add(latency_ms, now_ms)
            self._seen_at_ms = now_ms

    def has_fresh_latency(self, now_ms: float) -> bool:
        """Tell whether a request ended so recently that reports count less."""
        return now_ms - self._seen_at_ms < FRESH_MS

    def latency_ms(self) -> float:
        """Return the recent mean latency, or 0 if nothing was observed."""
        return self._fast.mean()

    def expected_latency_ms(self, pool_ms: float, now_ms: float) -> float:
        """Return the latency to expect now, near the pool's when little is known."""
        return self._fast.blend(pool_ms, now_ms)

    def usual_latency_ms(self) -> float:
        """Return the mean latency over a longer time, or 0."""
        return self._slow.mean()

    def error_ratio(self) -> float:
        """Return the recent part of attempts that failed."""
        return self._errors.mean()

    def has_jumped_while_refusing(self, now_ms: float) -> bool:
        """Tell whether latency jumped together with refusals: a cold start."""
        if self._fast.weight(now_ms) < _MIN_SAMPLES:
            return False
        jumped = self._fast.mean() > _JUMP_FACTOR * self._slow.mean()
        return jumped and self._refusals.mean() > _REFUSING_RATIO

    def has_enough_samples(self, now_ms: float) -> bool:
        """Tell whether enough requests ended recently to judge the upstream."""
        return self._fast.weight(now_ms) >= _MIN_SAMPLES

    def usable_hint(self, now_ms: float) -> LoadHint | None:
        """Return the last report unless fresh observations overrule it."""
        hint = self.hint
        if hint is None or self.has_fresh_latency(now_ms):
            return None
        return hint if now_ms - hint.seen_at_ms < FRESH_MS else None
