"""Times and shares of a rollout before everything moves to the new version.

The functions have no side effects.
"""

from typing import NamedTuple

from bergamotdrift.config.schema import RolloutBounds
from bergamotdrift.messages import FULL_SHARE_PERMILLE

# Responses of the new version that a step up needs.
MIN_RESPONSES = 20
# Responses that the small share should bring, if the bounds allow it.
_WANTED_RESPONSES = 30
# Time for which the new version must serve everything before the rollout is completed,
# two pings of each entry.
MIN_FULL_MS = 500.0
# A rollout that has not moved this long before its end is rolled back.
END_RESERVE_MS = 300.0
# The small share stays below these parts of the bound, in rate and over the whole
# rollout. The rest is for the time from the first bad response under full load until
# all entries have stopped.
_SMALL_SHARE_OF_BOUND = 0.8
_SMALL_COUNT_OF_BOUND = 0.35
_LOAD_COUNT_OF_BOUND = 0.6
# Where the slack exceeds the share, the small share may be larger.
_SMALL_SHARE_MAX = 0.3
_LOAD_SHARE = 0.25
# The small share no longer changes this long before the larger one: what little is left
# of its count would make it jump.
_SETTLED_MS = 2000.0
# Reports of the first second show how many requests there are.
_DEMAND_KNOWN_MS = 1500.0


class RolloutSchedule(NamedTuple):
    """Hold the times of a rollout after its order.

    From `load_at_ms` on, the new version gets a larger share, and everything at
    `full_at_ms`, or by `latest_at_ms` with less evidence.
    """

    load_at_ms: float
    full_at_ms: float
    latest_at_ms: float
    end_ms: float


class Demand(NamedTuple):
    """Count the requests to the new and to other versions since the order."""

    new_sent: int
    new_ended: int
    old_sent: int

    @property
    def sent(self) -> int:
        """Number of requests to any version."""
        return self.new_sent + self.old_sent


def schedule_of(duration_ms: float, is_ranged: bool) -> RolloutSchedule:
    """Return the times of a rollout.

    Once everything moves, what runs at the old version must end, which takes a second
    or two under load. Ranges also need two or three announcements of their upstreams.
    """
    if is_ranged:
        lead_ms = min(0.6 * duration_ms, max(4500.0, min(0.35 * duration_ms, 10_000.0)))
    else:
        lead_ms = min(0.5 * duration_ms, max(2200.0, min(0.18 * duration_ms, 6000.0)))
    full_at_ms = duration_ms - lead_ms
    load_ms = max(600.0, min(0.08 * duration_ms, 3000.0))
    return RolloutSchedule(
        max(0.0, full_at_ms - load_ms),
        full_at_ms,
        full_at_ms + lead_ms / 2.0,
        duration_ms,
    )


def initial_share(bounds: RolloutBounds) -> int:
    """Return the share in permille with which a rollout starts."""
    return max(1, round(FULL_SHARE_PERMILLE * bounds.exposure_share / 2.0))


def share_before_full(
    bounds: RolloutBounds, times: RolloutSchedule, demand: Demand, elapsed_ms: float
) -> int | None:
    """Return the share in permille that is due, or None while that is not known."""
    if elapsed_ms < _DEMAND_KNOWN_MS or not demand.sent:
        return None
    if times.load_at_ms - _SETTLED_MS < elapsed_ms < times.load_at_ms:
        return None
    per_ms = demand.sent / elapsed_ms
    bound = bounds.exposure_share * per_ms * times.end_ms + bounds.exposure_slack
    if elapsed_ms < times.load_at_ms:
        share = _small_share(bounds, times, demand, elapsed_ms, bound)
    else:
        left = max(1.0, per_ms * (times.latest_at_ms - elapsed_ms))
        share = (_LOAD_COUNT_OF_BOUND * bound - demand.new_sent) / left
        share = min(_LOAD_SHARE, share)
    return max(1, round(FULL_SHARE_PERMILLE * share))


def _small_share(
    bounds: RolloutBounds,
    times: RolloutSchedule,
    demand: Demand,
    elapsed_ms: float,
    bound: float,
) -> float:
    left = max(1.0, demand.sent / elapsed_ms * (times.load_at_ms - elapsed_ms))
    by_count = (_SMALL_COUNT_OF_BOUND * bound - demand.new_sent) / left
    by_evidence = (_WANTED_RESPONSES - demand.new_sent) / left
    by_rate = _SMALL_SHARE_OF_BOUND * bounds.exposure_share
    return min(by_count, max(by_rate, by_evidence), _SMALL_SHARE_MAX)
