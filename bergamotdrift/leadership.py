"""Runs the duties of the control leader while this replica leads."""

from typing import Protocol

import gevent
from gevent.event import Event

from bergamotdrift import commands_log as cmd
from bergamotdrift import messages
from bergamotdrift.clock import Clock
from bergamotdrift.control_log_events import log_command
from bergamotdrift.control_state import ControlState
from bergamotdrift.exceptions import CallError
from bergamotdrift.leader_duties import LeaderDuties
from bergamotdrift.log import log_event
from bergamotdrift.messages import Message
from bergamotdrift.replication import Replicator

TICK_MS = 50
PROPOSE_TIMEOUT_MS = 1000
# After a longer stall of this process nothing could renew its lease here, so all
# holders get a fresh time-to-live.
STALL_MS = 500
# The duties of the term are opened anew after this pause.
_FAILED_PAUSE_S = 0.2


class RoundObserver(Protocol):
    """Learn of changes that the leader's commands made."""

    def on_round(self, changed: bool) -> None:
        """React to a finished round of commands."""
        ...

    def on_leadership_lost(self) -> None:
        """React to the end of this replica's leadership."""
        ...


class Leadership:
    """Open a term, then log the commands that its duties call for."""

    def __init__(
        self,
        state: ControlState,
        replicator: Replicator,
        clock: Clock,
        observer: RoundObserver,
        upstream_ttl_ms: float | None = None,
    ):
        self._state = state
        self._replicator = replicator
        self._clock = clock
        self._observer = observer
        self._upstream_ttl_ms = upstream_ttl_ms
        self._duties: LeaderDuties | None = None
        self._term = 0
        self._replica = ""
        self._last_step_ms = 0.0
        self._greenlet: gevent.Greenlet | None = None
        self._wake = Event()

    def start(self) -> None:
        """Start the rounds in the background."""
        self._greenlet = gevent.spawn(self._run)

    def stop(self) -> None:
        """Stop the rounds; this replica answers nobody as leader any more."""
        if self._greenlet is not None:
            self._greenlet.kill()
        self._duties = None

    def wake(self) -> None:
        """Start the next round at once."""
        self._wake.set()

    def duties(self) -> LeaderDuties | None:
        """Return the duties if this replica leads their term right now."""
        duties = self._duties
        if duties is None or not self._replicator.is_leader():
            return None
        return duties if self._replicator.term() == self._term else None

    def term(self) -> int:
        """Return the term whose duties were opened last."""
        return self._term

    def replica(self) -> str:
        """Return this replica's identity in the term that was opened last."""
        return self._replica

    def propose(self, command: Message) -> Message:
        """Return the outcome of a command.

        Raises CallError with NOT_LEADER (not logged) or NO_QUORUM (unknown).
        """
        answer = self._replicator.propose(messages.encode(command), PROPOSE_TIMEOUT_MS)
        outcome = messages.decode(answer)
        log_command(command, outcome)
        return outcome

    def _run(self) -> None:
        while True:
            self._wake.wait(TICK_MS / 1000.0)
            self._wake.clear()
            try:
                self._step()
            except CallError as exc:
                log_event("command_not_confirmed", reason=str(exc))
            except Exception as exc:
                # A leader without rounds would go on to answer and expire nobody.
                log_event("leader_round_failed", term=self._term, error=repr(exc))
                self._close("a round failed")
                gevent.sleep(_FAILED_PAUSE_S)
            # Lets streams and heartbeats run between rounds that follow at once.
            gevent.sleep(0)

    def _step(self) -> None:
        if not self._replicator.is_leader():
            self._close("the leadership was lost")
            return
        now_ms = self._clock.now_ms()
        if self._duties is not None and now_ms - self._last_step_ms > STALL_MS:
            self._close("the process stalled")
        if self._duties is None or self._replicator.term() != self._term:
            self._open()
        self._last_step_ms = self._clock.now_ms()
        if self._duties is not None:
            self._round(self._duties)

    def _open(self) -> None:
        status = self._replicator.status()
        self._duties = None
        # Its outcome shows that the commands of earlier terms are applied here.
        self.propose(cmd.OpenTerm(status.replica, status.term))
        if self._replicator.term() != status.term:
            return
        self._term = status.term
        self._replica = status.replica
        self._duties = LeaderDuties(
            self._state,
            self._clock.now_ms(),
            lambda: gevent.sleep(0),
            self._upstream_ttl_ms,
        )
        log_event("leadership_opened", term=self._term, replica=status.replica)

    def _close(self, reason: str) -> None:
        if self._duties is None:
            return
        self._duties = None
        log_event("leadership_closed", term=self._term, reason=reason)
        self._observer.on_leadership_lost()

    def _round(self, duties: LeaderDuties) -> None:
        commands = duties.commands(self._clock.now_ms())
        try:
            for command in commands:
                self.propose(command)
                self._last_step_ms = self._clock.now_ms()
        finally:
            self._observer.on_round(bool(commands))
        if commands:
            self._wake.set()
