"""Load and health of one upstream as tracked by its arbiter."""

import math

from bergamotdrift.arbiter_messages import AttemptOutcome
from bergamotdrift.config.schema import ServiceSettings
from bergamotdrift.connection_count import ConnectionCount
from bergamotdrift.messages import (
    UpstreamRow,
    UpstreamState,
)
from bergamotdrift.observations import LoadHint, Observations
from bergamotdrift.pace import Pace, PaceRange
from bergamotdrift.probe_backoff import ProbeBackoff

# A single timeout may be due to the request; two in a row mark the upstream as down.
_FAILURES_UNTIL_DOWN = 2

_UNREACHABLE = frozenset({AttemptOutcome.CONNECT_FAILED})
_NO_RESPONSE = frozenset({AttemptOutcome.TIMEOUT, AttemptOutcome.BROKEN})


class UpstreamLoad:
    """Slots, cold start ramp, connections and health of an upstream."""

    __slots__ = (
        "_failures",
        "_may_have_restarted",
        "_pause",
        "connections",
        "expected_ms",
        "in_flight",
        "is_closed",
        "observed",
        "ramp",
        "row",
        "started_ms",
    )

    def __init__(self, row: UpstreamRow, service: ServiceSettings, since_ms: float):
        self.row = row
        self.ramp = Pace(in_flight_range(service), since_ms)
        self.connections = ConnectionCount(service)
        self.observed = Observations()
        self.in_flight = 0
        # Grant time of each running permit, oldest first.
        self.started_ms: dict[str, float] = {}
        # Expected latency of a request without concurrent requests.
        self.expected_ms = 1.0
        self.is_closed = False
        self._failures = 0
        self._may_have_restarted = False
        self._pause = ProbeBackoff()

    @property
    def is_down(self) -> bool:
        """Whether the upstream is down and receives only single probe requests."""
        return self._pause.is_down

    def replace_row(self, row: UpstreamRow, now_ms: float) -> bool:
        """Apply a changed row and return whether the upstream restarted."""
        before, self.row = self.row, row
        restarted = row.incarnation != before.incarnation
        turned_cold = (
            row.state is UpstreamState.COLD and before.state is not UpstreamState.COLD
        )
        if restarted:
            self.observed = Observations()
            self._mark_up()
        if restarted or turned_cold:
            self.ramp.restart(now_ms)
        return restarted

    def configure(self, service: ServiceSettings, now_ms: float) -> None:
        """Apply changed service settings."""
        self.ramp.configure(in_flight_range(service), now_ms)
        self.connections.configure(service)

    def free_slots(self, now_ms: float) -> int:
        """Return how many more requests the upstream may receive now."""
        if self.is_closed:
            return 0
        if self._pause.is_down:
            return 1 - self.in_flight if self._pause.may_probe(now_ms) else 0
        return self.ramp.allowed(now_ms) - self.in_flight

    def oldest_age_ms(self, now_ms: float) -> float:
        """Return the age of the oldest running request, or 0."""
        return now_ms - next(iter(self.started_ms.values()), now_ms)

    def record(self, outcome: AttemptOutcome, latency_ms: float, now_ms: float) -> None:
        """Record the result of an attempt that ended now."""
        self.observed.record(outcome, latency_ms, now_ms)
        if outcome is AttemptOutcome.ANSWERED:
            self._on_response(now_ms)
            return
        if outcome is AttemptOutcome.SHED:
            self._on_response(now_ms)
            self.ramp.on_unsound(now_ms)
        elif outcome in _UNREACHABLE:
            self._may_have_restarted = True
            self._pause.mark_down(now_ms)
        elif outcome in _NO_RESPONSE:
            if not self.ramp.has_ended(now_ms):
                self.ramp.on_unsound(now_ms)
            self._failures += 1
            if self._failures >= _FAILURES_UNTIL_DOWN:
                self._pause.mark_down(now_ms)
        if self.observed.has_latency_jump_with_refusals(now_ms):
            self.ramp.restart(now_ms)

    def on_load_report(self, hint: LoadHint | None, now_ms: float) -> None:
        """Record a load report, or None if the upstream did not respond."""
        if hint is None:
            return
        if self.is_down:
            # The upstream responds again, so a request may probe it at once.
            self._pause.probe_now(now_ms)
        before = self.observed.hint
        self.observed.hint = hint
        was_cold = before is not None and before.state is UpstreamState.COLD
        if hint.state is UpstreamState.COLD and not was_cold:
            self._restart_on_hint(now_ms)

    def _restart_on_hint(self, now_ms: float) -> None:
        if self.observed.usable_hint(now_ms) is not None:
            self.ramp.restart(now_ms)

    def _on_response(self, now_ms: float) -> None:
        """Mark the upstream as up; restart the ramp if it refused connections.

        A new incarnation may respond before its announcement arrives.
        """
        if self.is_down and self._may_have_restarted:
            self.ramp.restart(now_ms)
        self._mark_up()

    def _mark_up(self) -> None:
        self._failures = 0
        self._may_have_restarted = False
        self._pause.mark_up()


def in_flight_range(service: ServiceSettings) -> PaceRange:
    """Return the bounds of the requests in flight at an upstream that is warming up."""
    cold, slots = service.cold_start, float(service.slots)
    rise = math.inf
    if cold.ramp_s > 0:
        rise = max(1.0, slots - cold.initial_slots) / (cold.ramp_s * 1000.0)
    return PaceRange(1.0, float(cold.initial_slots), slots, rise)
