"""Limits on the requests that all entries together send a cold upstream.

The code here does no I/O.
"""

import math
from functools import lru_cache
from typing import NamedTuple

from bergamotdrift.config.schema import ColdBound, ColdStartSettings
from bergamotdrift.pace import PaceRange

# Requests that are sent within a second may arrive within a shorter time.
_WINDOW_S = 1.15
# Part of the bound that the rate may use up; the rest is for the burst.
_RATE_PART = 0.65
# Tokens that were used count as leased until the entry says so in its next ping. A
# burst below this time of the rate, plus two, would hold back the rate itself.
_BURST_S = 0.4
_BURST_MIN = 2.0
# The pace falls no further than this part of the stated rate.
_FLOOR_PART = 0.125


class PaceLimits(NamedTuple):
    """Bound the pace of a cold upstream, in requests per second.

    At most `burst` tokens are leased or ready at a time. `unleased` is the number of
    requests in a second that the bound has left for entries without a leader.
    """

    rates: PaceRange
    burst: float
    unleased: int


@lru_cache(maxsize=256)
def pace_limits(cold: ColdStartSettings, bound: ColdBound) -> PaceLimits:
    """Return the limits that keep an upstream within its bound in any second.

    With tokens at a rate `r` of which at most `b` are ready or leased, at most
    b + r x t are used in a time t. Requests are whole, so below n + 1 means n.
    """
    most = max(1, math.floor(cold.per_s * bound.overage + bound.slack)) + 0.99
    ceiling = min(
        cold.per_s * bound.overage, _RATE_PART * most, (most - 1.0) / _WINDOW_S
    )
    left = most - _WINDOW_S * ceiling
    burst = min(left, _BURST_MIN + _BURST_S * ceiling)
    floor = min(ceiling, _FLOOR_PART * cold.per_s)
    rise = math.inf
    if cold.ramp_s > 0:
        rise = (ceiling - floor) / (cold.ramp_s * 1000.0)
    rates = PaceRange(floor, min(cold.per_s, ceiling), ceiling, rise)
    unleased = min(int(cold.per_s), int(left - burst))
    return PaceLimits(rates, burst, unleased)
