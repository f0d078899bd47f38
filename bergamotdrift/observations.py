"""Latency and error statistics of an upstream from observed requests."""

import math
from typing import NamedTuple

from bergamotdrift.arbiter_messages import AttemptOutcome
from bergamotdrift.messages import UpstreamState

_FAST_MS = 1000.0
_SLOW_MS = 30_000.0
# The short-term mean exceeding the long-term mean by this factor is a latency jump.
_JUMP_FACTOR = 4.0
# Minimum weight of recent samples to evaluate an upstream.
_MIN_SAMPLES = 3.0
# Above this ratio of refused requests in the short window, an upstream is refusing.
_REFUSING_RATIO = 0.3
# Load reports lag; observations younger than this take precedence.
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
    """Exponentially decaying mean with time constant `span_ms`."""

    __slots__ = ("_at_ms", "_span_ms", "_sum", "_weight")

    def __init__(self, span_ms: float):
        self._span_ms = span_ms
        self._at_ms = 0.0
        self._sum = 0.0
        self._weight = 0.0

    def add(self, value: float, now_ms: float) -> None:
        """Add a sample observed now."""
        keep = math.exp((self._at_ms - now_ms) / self._span_ms)
        self._sum = self._sum * keep + value
        self._weight = self._weight * keep + 1.0
        self._at_ms = now_ms

    def mean(self) -> float:
        """Return the weighted mean, or 0 without samples."""
        return self._sum / self._weight if self._weight > 0 else 0.0

    def blend(self, other: float, now_ms: float) -> float:
        """Return the mean, moved towards `other` as samples get fewer or older."""
        weight = self.weight(now_ms)
        return (self.mean() * weight + other) / (weight + 1.0)

    def weight(self, now_ms: float) -> float:
        """Return the effective number of recent samples."""
        return self._weight * math.exp((self._at_ms - now_ms) / self._span_ms)


class LoadHint(NamedTuple):
    """Load report of an upstream, possibly outdated."""

    in_flight: int
    slots: int
    state: UpstreamState
    seen_at_ms: float


class Observations:
    """Collect statistics of recent requests and the last load report of an upstream."""

    __slots__ = ("_errors", "_fast", "_refusals", "_seen_at_ms", "_slow", "hint")

    def __init__(self) -> None:
        self._fast = DecayingMean(_FAST_MS)
        self._slow = DecayingMean(_SLOW_MS)
        self._errors = DecayingMean(_FAST_MS)
        self._refusals = DecayingMean(_FAST_MS)
        self._seen_at_ms = float("-inf")
        self.hint: LoadHint | None = None

    def record(self, outcome: AttemptOutcome, latency_ms: float, now_ms: float) -> None:
        """Record an attempt that ended now."""
        if outcome is AttemptOutcome.CANCELLED:
            return
        self._errors.add(float(outcome in _FAILED), now_ms)
        self._refusals.add(float(outcome in _REFUSED), now_ms)
        if outcome in _TIMED:
            self._fast.add(latency_ms, now_ms)
            self._slow.add(latency_ms, now_ms)
            self._seen_at_ms = now_ms

    def has_fresh_latency(self, now_ms: float) -> bool:
        """Return whether a request ended recently enough to overrule load reports."""
        return now_ms - self._seen_at_ms < FRESH_MS

    def latency_ms(self) -> float:
        """Return the recent mean latency, or 0 if nothing was observed."""
        return self._fast.mean()

    def expected_latency_ms(self, pool_ms: float, now_ms: float) -> float:
        """Return the expected latency, close to `pool_ms` with few recent samples."""
        return self._fast.blend(pool_ms, now_ms)

    def long_term_latency_ms(self) -> float:
        """Return the long-term mean latency, or 0 if nothing was observed."""
        return self._slow.mean()

    def error_ratio(self) -> float:
        """Return the recent ratio of failed attempts."""
        return self._errors.mean()

    def has_latency_jump_with_refusals(self, now_ms: float) -> bool:
        """Return whether latency jumped along with refusals, as in a cold start."""
        if self._fast.weight(now_ms) < _MIN_SAMPLES:
            return False
        jumped = self._fast.mean() > _JUMP_FACTOR * self._slow.mean()
        return jumped and self._refusals.mean() > _REFUSING_RATIO

    def has_enough_samples(self, now_ms: float) -> bool:
        """Return whether enough requests ended recently to evaluate the upstream."""
        return self._fast.weight(now_ms) >= _MIN_SAMPLES

    def usable_hint(self, now_ms: float) -> LoadHint | None:
        """Return the last load report if it is fresh and no observation is fresher."""
        hint = self.hint
        if hint is None or self.has_fresh_latency(now_ms):
            return None
        return hint if now_ms - hint.seen_at_ms < FRESH_MS else None
