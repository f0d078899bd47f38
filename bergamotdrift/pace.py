"""Pace of one upstream that starts or recovers, as found from its responses.

The load it responds to is the load it controls: the level rises while responses are
sound and falls fast when they are not. An arbiter counts the level in requests in
flight, the control leader in requests per second. The code here does no I/O.
"""

import math
from typing import NamedTuple

# Responses that are not sound within this window have one cause and lower the level
# only once.
FALL_WINDOW_MS = 250.0
# Part of the level that is left after a shed, failed or missing response.
FALL = 0.5
# Part of the level that is left after a late response, which still has its value.
LATE_FALL = 0.75
# After a fall, the level rises at this part of its initial speed.
_RECOVERY_SPEED = 0.5


class PaceRange(NamedTuple):
    """Bound a level; it begins at `start`.

    With an infinite `rise_per_ms` the level is always the ceiling.
    """

    floor: float
    start: float
    ceiling: float
    rise_per_ms: float


class Pace:
    """Keep one level between a floor and a ceiling.

    A sound response lets the level rise for `sound_for_ms`; by default it rises all
    the time. So the level is still the same after a gap without responses.
    """

    __slots__ = (
        "_fell_at_ms",
        "_level",
        "_range",
        "_since_ms",
        "_sound_for_ms",
        "_sound_until_ms",
        "_speed",
    )

    def __init__(
        self, limits: PaceRange, now_ms: float, sound_for_ms: float = math.inf
    ):
        self._range = limits
        self._sound_for_ms = sound_for_ms
        self._fell_at_ms = -math.inf
        self.restart(now_ms)

    def restart(self, now_ms: float) -> None:
        """Begin again at the start of the range."""
        self._level = self._range.start
        self._since_ms = now_ms
        self._speed = 1.0
        endless = math.isinf(self._sound_for_ms)
        self._sound_until_ms = math.inf if endless else now_ms

    def raise_to(self, level: float, now_ms: float) -> None:
        """Continue from at least `level`."""
        self._set(max(level, self.level(now_ms)), now_ms)

    def on_sound(self, now_ms: float) -> None:
        """Let the level rise, since a response was sound."""
        self._set(self.level(now_ms), now_ms)
        self._sound_until_ms = now_ms + self._sound_for_ms

    def on_unsound(self, now_ms: float, remaining: float = FALL) -> bool:
        """Lower the level to a part of it, and let it recover slowly.

        Returns False if it was lowered for the same cause just before.
        """
        if now_ms - self._fell_at_ms < FALL_WINDOW_MS:
            return False
        self._set(max(self._range.floor, self.level(now_ms) * remaining), now_ms)
        self._fell_at_ms = now_ms
        self._speed = _RECOVERY_SPEED
        if not math.isinf(self._sound_for_ms):
            self._sound_until_ms = now_ms
        return True

    def configure(self, limits: PaceRange, now_ms: float) -> None:
        """Continue from the current level within a changed range."""
        if limits == self._range:
            return
        self._set(self.level(now_ms), now_ms)
        self._range = limits

    def level(self, now_ms: float) -> float:
        """Return the level now."""
        limits = self._range
        if self._level >= limits.ceiling or math.isinf(limits.rise_per_ms):
            return limits.ceiling
        rising_ms = max(0.0, min(now_ms, self._sound_until_ms) - self._since_ms)
        level = self._level + limits.rise_per_ms * self._speed * rising_ms
        if level >= limits.ceiling:
            # Skips the computation from now on.
            self._level = limits.ceiling
        return min(limits.ceiling, level)

    def allowed(self, now_ms: float) -> int:
        """Return the level in whole requests, at least 1."""
        return max(1, int(self.level(now_ms)))

    def has_ended(self, now_ms: float) -> bool:
        """Return whether the level has reached the ceiling."""
        return self.level(now_ms) >= self._range.ceiling

    def _set(self, level: float, now_ms: float) -> None:
        self._level = level
        self._since_ms = now_ms
