"""One upstream as its arbiter sees it: slots, ramp, connections and health."""

from bergamotdrift.arbiter_messages import AttemptOutcome
from bergamotdrift.cold_start import ColdStart
from bergamotdrift.config.schema import ServiceSettings
from bergamotdrift.connection_count import ConnectionCount
from bergamotdrift.messages import (
    UpstreamRow,
    UpstreamState,
)
from bergamotdrift.observations import LoadHint, Observations
from bergamotdrift.probe_backoff import ProbePause

# One timeout may be the request's own; two in a row without an answer are silence.
_SILENT_TIMEOUTS = 2

_UNREACHABLE = frozenset({AttemptOutcome.CONNECT_FAILED})
_SILENT = frozenset({AttemptOutcome.TIMEOUT, AttemptOutcome.BROKEN})


class UpstreamLoad:
    """Hold what bounds and describes the requests sent to one upstream."""

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
        self.ramp = ColdStart(service, since_ms)
        self.connections = ConnectionCount(service)
        self.observed = Observations()
        self.in_flight = 0
        # When each running request was permitted, the oldest first.
        self.started_ms: dict[str, float] = {}
        # What one request is expected to take when nothing else runs.
        self.expected_ms = 1.0
        self.is_closed = False
        self._failures = 0
        self._may_have_restarted = False
        self._pause = ProbePause()

    @property
    def is_down(self) -> bool:
        """Tell whether the upstream gets at most single probing requests."""
        return self._pause.is_down

    def replace_row(self, row: UpstreamRow, now_ms: float) -> bool:
        """Take a changed row and tell whether the upstream was restarted."""
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
        self.ramp.configure(service, now_ms)
        self.connections.configure(service)

    def free_slots(self, now_ms: float) -> int:
        """Return how many more requests the upstream may get now."""
        if self.is_closed:
            return 0
        if self._pause.is_down:
            return 1 - self.in_flight if self._pause.may_probe(now_ms) else 0
        return self.ramp.allowed(now_ms) - self.in_flight

    def oldest_age_ms(self, now_ms: float) -> float:
        """Return for how long the oldest running request runs, or 0."""
        return now_ms - next(iter(self.started_ms.values()), now_ms)

    def record(self, outcome: AttemptOutcome, latency_ms: float, now_ms: float) -> None:
        """Learn from an attempt that ended now."""
        self.observed.record(outcome, latency_ms, now_ms)
        if outcome is AttemptOutcome.ANSWERED:
            self._return(now_ms)
            return
        if outcome is AttemptOutcome.SHED:
            self._return(now_ms)
            self.ramp.shed(now_ms)
        elif outcome in _UNREACHABLE:
            self._may_have_restarted = True
            self._pause.mark_down(now_ms)
        elif outcome in _SILENT:
            self._failures += 1
            if self._failures >= _SILENT_TIMEOUTS:
                self._pause.mark_down(now_ms)
        if self.observed.has_jumped_while_refusing(now_ms):
            self.ramp.restart(now_ms)

    def probed(self, hint: LoadHint | None, now_ms: float) -> None:
        """Take a load report, or None if the upstream did not answer."""
        if hint is None:
            return
        if self.is_down:
            # The answer ends the pause, and one request then tries the upstream.
            self._pause.end(now_ms)
        before = self.observed.hint
        self.observed.hint = hint
        was_cold = before is not None and before.state is UpstreamState.COLD
        if hint.state is UpstreamState.COLD and not was_cold:
            self._restart_on_hint(now_ms)

    def _restart_on_hint(self, now_ms: float) -> None:
        if self.observed.usable_hint(now_ms) is not None:
            self.ramp.restart(now_ms)

    def _return(self, now_ms: float) -> None:
        """Take note of an answer, and ramp up what refused connections before.

        The announcement of a new incarnation may come after its first answers.
        """
        if self.is_down and self._may_have_restarted:
            self.ramp.restart(now_ms)
        self._mark_up()

    def _mark_up(self) -> None:
        self._failures = 0
        self._may_have_restarted = False
        self._pause.mark_up()
