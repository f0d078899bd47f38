"""Times after which refused callers are asked to come back.

Load: all callers of a busy upstream are refused within the same moment. If they came
back together, they would find it as full as before.
"""

import random

# Part of the remaining time up to which callers honor Retry-After is a third; the
# rest covers the time that the refusal takes to reach them.
MAX_RETRY_PART = 0.3
# Parts of the remaining time over which callers refused together are spread.
_SPREAD_PART = 0.15
_UNKNOWN_FROM_PART = 0.1


def retry_after_ms(
    room_in_ms: float | None, left_ms: float, rng: random.Random
) -> float:
    """Return when a caller with `left_ms` of time may come back.

    `room_in_ms` is when there will be room, or None if that is not known. A room that
    comes too late for the caller is stated as the latest time that it honors.
    """
    left_ms = max(0.0, left_ms)
    latest_ms = MAX_RETRY_PART * left_ms
    spread_ms = _SPREAD_PART * left_ms
    if room_in_ms is None:
        return rng.uniform(_UNKNOWN_FROM_PART * left_ms, latest_ms)
    earliest_ms = min(max(0.0, room_in_ms), latest_ms - spread_ms)
    return earliest_ms + rng.uniform(0.0, spread_ms)
