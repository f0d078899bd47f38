"""Slow start: ramp of the in-flight request limit of a warming upstream."""

from bergamotdrift.config.schema import ServiceSettings

# Requests shed within this window have one cause and halve the limit only once.
_SHED_WINDOW_MS = 250.0
# After shedding, the limit grows at this part of the initial ramp's speed.
_RECOVERY_SPEED = 0.5


class ColdStart:
    """Limit the in-flight requests of one upstream over all entries."""

    __slots__ = ("_level", "_service", "_shed_at_ms", "_since_ms", "_speed")

    def __init__(self, service: ServiceSettings, since_ms: float):
        self._service = service
        self._shed_at_ms = float("-inf")
        self.restart(since_ms)

    def restart(self, since_ms: float) -> None:
        """Restart the ramp from `initial_slots`."""
        self._level = float(self._service.cold_start.initial_slots)
        self._since_ms = since_ms
        self._speed = 1.0

    def raise_to(self, level: float, now_ms: float) -> None:
        """Continue the ramp from at least `level` requests."""
        self._level = max(level, self._current(now_ms))
        self._since_ms = now_ms

    def on_shed(self, now_ms: float) -> None:
        """Halve the limit and let it recover slowly."""
        if now_ms - self._shed_at_ms < _SHED_WINDOW_MS:
            return
        self._level = max(1.0, self.allowed(now_ms) / 2)
        self._since_ms = now_ms
        self._shed_at_ms = now_ms
        self._speed = _RECOVERY_SPEED

    def configure(self, service: ServiceSettings, now_ms: float) -> None:
        """Continue from the current limit with changed settings."""
        if service == self._service:
            return
        self._level = self._current(now_ms)
        self._since_ms = now_ms
        self._service = service

    def allowed(self, now_ms: float) -> int:
        """Return how many requests may be in flight now, at least 1."""
        if self._level >= self._service.slots:
            return self._service.slots
        return max(1, int(self._current(now_ms)))

    def has_ended(self, now_ms: float) -> bool:
        """Return whether the ramp has reached the upstream's slots."""
        return self._current(now_ms) >= self._service.slots

    def _current(self, now_ms: float) -> float:
        slots = float(self._service.slots)
        if self._level >= slots:
            return slots
        cold = self._service.cold_start
        if cold.ramp_s <= 0:
            return slots
        rise = max(1.0, slots - cold.initial_slots) / (cold.ramp_s * 1000.0)
        grown = self._level + rise * self._speed * (now_ms - self._since_ms)
        if grown >= slots:
            # Skips the computation from now on.
            self._level = slots
        return min(slots, grown)
