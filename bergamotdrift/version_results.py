"""Counts of requests by version and route, and their comparison.

An entry counts what it sends during a rollout, and the control leader adds up the
counts of all entries. The functions have no side effects.
"""

import math
from collections.abc import Iterable, Mapping
from itertools import zip_longest
from typing import NamedTuple

from bergamotdrift.messages import VersionResult

# Latencies are counted in buckets that are a factor of the square root of 2 wide. The
# last one holds all latencies above 46 s.
LATENCY_BUCKETS = 32
_BUCKETS_PER_OCTAVE = 2
# Probability of a difference that a good version may show by chance. Each rollout is
# checked some hundreds of times, for a few routes.
_MAX_CHANCE = 2e-5
# Fewer bad responses may have a cause other than the version.
_MIN_FAILURES = 4
_MIN_SLOW = 6
# An upstream that is lost takes its requests with it, also one of a good version.
_MIN_LOST = 12
# Assumed least part of bad responses of any version.
_FAILURE_FLOOR = 0.005
_SLOW_FLOOR = 0.01
# A response is slow if at most this part of the old version's responses took longer,
# and more than a bucket longer: upstreams of one version differ in speed as well.
_SLOW_QUANTILE = 0.05
# Fewer responses of the old version don't show how long responses take.
_MIN_OLD_RESPONSES = 20


class Tally(NamedTuple):
    """Count requests: sent, server errors, lost, and responses by latency bucket.

    Attempts that timed out count as responses of the latency at which they ended.
    """

    sent: int = 0
    failures: int = 0
    lost: int = 0
    latencies: tuple[int, ...] = ()

    @property
    def ended(self) -> int:
        """Number of attempts whose outcome tells something of the upstream."""
        return self.failures + self.lost + sum(self.latencies)


class Fault(NamedTuple):
    """Describe how a version is worse than another; `kind` is a fixed word."""

    kind: str
    route: str
    bad: int
    of: int
    expected: float


def latency_bucket(latency_ms: float) -> int:
    """Return the bucket of a latency."""
    octaves = math.log2(max(1.0, latency_ms))
    return min(LATENCY_BUCKETS - 1, int(_BUCKETS_PER_OCTAVE * octaves))


def bucket_ms(bucket: int) -> float:
    """Return a typical latency of a bucket."""
    return 2.0 ** ((bucket + 0.5) / _BUCKETS_PER_OCTAVE)


def tally_of(result: VersionResult) -> Tally:
    """Return the counts of an entry's report."""
    return Tally(
        result.sent,
        result.failures,
        result.lost,
        tuple(result.latencies[:LATENCY_BUCKETS]),
    )


def total(items: Iterable[Tally]) -> Tally:
    """Return the sum of counts."""
    sent = failures = lost = 0
    latencies = [0] * LATENCY_BUCKETS
    for item in items:
        sent += item.sent
        failures += item.failures
        lost += item.lost
        for bucket, count in enumerate(item.latencies):
            latencies[bucket] += count
    return Tally(sent, failures, lost, tuple(latencies))


def difference(later: Tally, earlier: Tally) -> Tally:
    """Return what was counted between two counts, at least 0."""
    pairs = zip_longest(later.latencies, earlier.latencies, fillvalue=0)
    return Tally(
        max(0, later.sent - earlier.sent),
        max(0, later.failures - earlier.failures),
        max(0, later.lost - earlier.lost),
        tuple(max(0, a - b) for a, b in pairs),
    )


def mean_latency_ms(tally: Tally) -> float:
    """Return the mean latency of the responses, 0 without any."""
    count = sum(tally.latencies)
    if not count:
        return 0.0
    return sum(bucket_ms(b) * n for b, n in enumerate(tally.latencies)) / count


def find_fault(new: Mapping[str, Tally], old: Mapping[str, Tally]) -> Fault | None:
    """Return how the new version is worse than the old one by route, or None.

    Failures are compared in total as well. Latencies are not, as routes differ in work
    and versions may get them in different proportions.
    """
    pairs = [(name, new[name], old.get(name, Tally())) for name in sorted(new)]
    for name, mine, other in pairs:
        fault = _failure_fault(name, mine, other) or _latency_fault(name, mine, other)
        if fault is not None:
            return fault
    return _failure_fault("", total(new.values()), total(old.values()))


def _failure_fault(route: str, new: Tally, old: Tally) -> Fault | None:
    for kind, bad, old_bad, minimum in (
        ("failures", new.failures, old.failures, _MIN_FAILURES),
        ("lost", new.lost, old.lost, _MIN_LOST),
    ):
        part = max(_FAILURE_FLOOR, (old_bad + 0.5) / (old.ended + 1.0))
        expected = part * new.ended
        if bad >= minimum and poisson_tail(bad, expected) < _MAX_CHANCE:
            return Fault(kind, route, bad, new.ended, expected)
    return None


def _latency_fault(route: str, new: Tally, old: Tally) -> Fault | None:
    old_count, count = sum(old.latencies), sum(new.latencies)
    if old_count < _MIN_OLD_RESPONSES:
        return None
    first_slow = _slow_bucket(old)
    old_slow = sum(old.latencies[first_slow:])
    slow = sum(new.latencies[first_slow:])
    expected = max(_SLOW_FLOOR, (old_slow + 0.5) / (old_count + 1.0)) * count
    if slow >= _MIN_SLOW and poisson_tail(slow, expected) < _MAX_CHANCE:
        return Fault("latency", route, slow, count, expected)
    return None


def _slow_bucket(old: Tally) -> int:
    """Return the first bucket of responses that are slow for the old version."""
    allowed = _SLOW_QUANTILE * sum(old.latencies)
    above = 0
    for bucket in range(len(old.latencies) - 1, -1, -1):
        above += old.latencies[bucket]
        if above > allowed:
            # This bucket is usual; the next one is within the usual differences.
            return bucket + 2
    return 0


def poisson_tail(count: int, expected: float) -> float:
    """Return the probability of at least `count` events if `expected` are usual."""
    if expected <= 0.0:
        return 0.0 if count > 0 else 1.0
    if count <= expected:
        return 1.0
    # Sums the tail itself; 1 minus the rest would lose small probabilities.
    term = math.exp(count * math.log(expected) - expected - math.lgamma(count + 1))
    result = 0.0
    for number in range(count + 1, count + 1000):
        result += term
        term *= expected / number
        if term < result * 1e-9:
            break
    return min(1.0, result)
