"""The control leader's loop, which runs while this replica leads."""

import time
from collections import Counter
from collections.abc import Sequence
from typing import Protocol

import gevent
from gevent.event import Event

from bergamotdrift import control_commands as cmd
from bergamotdrift import messages
from bergamotdrift.clock import Clock
from bergamotdrift.config.schema import (
    STATED_RATE,
    ColdBound,
    RangeGrants,
    RolloutBounds,
)
from bergamotdrift.control_log_events import PLANNING_TIME, log_command
from bergamotdrift.control_state import ControlState
from bergamotdrift.exceptions import CallError
from bergamotdrift.leader_state import LeaderState
from bergamotdrift.log import log_event
from bergamotdrift.messages import Message
from bergamotdrift.replication import Replicator

ROUND_INTERVAL_MS = 50
PROPOSE_TIMEOUT_MS = 1000
# A round with many commands is interrupted this often for registrations, state changes
# of upstreams and the nodes that wait for them.
ROUND_SLICE_MS = 100
# No lease could be renewed during a longer stall of this process, so all holders get
# a new time-to-live after it.
MAX_STALL_MS = 500
# Planning that takes this long is logged. It is a quarter of the leader's lease, which
# lapses if the event loop is blocked for as long as it lasts.
_SLOW_PLANNING_MS = 75
# Commands that are proposed together share a sync of the log; waiting for each one took
# seconds when the ranges of an availability zone got new owners.
_COMMANDS_PER_BATCH = 32
# Delay before the term is opened again after a failed round.
_ROUND_RETRY_DELAY_S = 0.2


class RoundObserver(Protocol):
    """Receive notifications of rounds and of the loss of leadership."""

    def on_round(self, changed: bool) -> None:
        """React to a finished round of commands."""
        ...

    def on_leadership_lost(self) -> None:
        """React to the end of this replica's leadership."""
        ...


class Leadership:
    """Open each term that this replica leads and propose its commands in rounds."""

    def __init__(
        self,
        state: ControlState,
        replicator: Replicator,
        clock: Clock,
        observer: RoundObserver,
        upstream_ttl_ms: float | None = None,
        range_grants: RangeGrants = RangeGrants.CALLED,
        cold_bound: ColdBound = STATED_RATE,
        rollout: RolloutBounds | None = None,
    ):
        self._state = state
        self._replicator = replicator
        self._clock = clock
        self._observer = observer
        self._upstream_ttl_ms = upstream_ttl_ms
        self._range_grants = range_grants
        self._cold_bound = cold_bound
        self._rollout = rollout
        self._leader_state: LeaderState | None = None
        self._term = 0
        self._replica = ""
        self._last_progress_ms = 0.0
        self._lapse_logged = False
        self._yielded_ms = 0.0
        self._greenlet: gevent.Greenlet | None = None
        self._wake = Event()

    def start(self) -> None:
        """Start the loop in the background."""
        self._greenlet = gevent.spawn(self._run)

    def stop(self) -> None:
        """Stop the loop; this replica no longer replies as leader."""
        if self._greenlet is not None:
            self._greenlet.kill()
        self._leader_state = None

    def wake(self) -> None:
        """Start the next round without waiting for the interval."""
        self._wake.set()

    def leader_state(self) -> LeaderState | None:
        """Return the leader state while this replica leads the term it belongs to."""
        return self.open_state() if self._replicator.is_leader() else None

    def open_state(self) -> LeaderState | None:
        """Return the leader state of the open term, even if the lease has lapsed."""
        if not self._replicator.leads_term():
            return None
        return self._leader_state if self._replicator.term() == self._term else None

    def term(self) -> int:
        """Return the term that was opened last."""
        return self._term

    def replica(self) -> str:
        """Return this replica's identity as of the term that was opened last."""
        return self._replica

    def propose(self, command: Message) -> Message:
        """Propose a command and return its outcome.

        Raises CallError with NOT_LEADER (never takes effect) or NO_QUORUM (unknown).
        """
        reply = self._replicator.propose(messages.encode(command), PROPOSE_TIMEOUT_MS)
        outcome = messages.decode(reply)
        log_command(command, outcome)
        return outcome

    def _run(self) -> None:
        while True:
            self._wake.wait(ROUND_INTERVAL_MS / 1000.0)
            self._wake.clear()
            try:
                self._step_if_leading()
            except CallError as exc:
                log_event("command_not_confirmed", reason=str(exc))
            except Exception as exc:
                # A leader that still replied to nodes, but ran no rounds, would expire
                # no sessions.
                log_event("leader_round_failed", term=self._term, error=repr(exc))
                self._close_term("a round failed")
                gevent.sleep(_ROUND_RETRY_DELAY_S)
            # Lets streams and heartbeats run between consecutive rounds.
            gevent.sleep(0)

    def _step_if_leading(self) -> None:
        if not self._replicator.leads_term():
            self._close_term("the leadership was lost")
            return
        if not self._replicator.is_leader():
            self._log_lapse()
            return
        self._lapse_logged = False
        now_ms = self._clock.now_ms()
        if (
            self._leader_state is not None
            and now_ms - self._last_progress_ms > MAX_STALL_MS
        ):
            self._close_term("the process stalled")
        if self._leader_state is None or self._replicator.term() != self._term:
            self._open_term()
        self._last_progress_ms = self._clock.now_ms()
        if self._leader_state is not None:
            self._run_round(self._leader_state)

    def _log_lapse(self) -> None:
        """Log once that the lease has lapsed; the term stays open meanwhile."""
        if self._leader_state is not None and not self._lapse_logged:
            self._lapse_logged = True
            log_event("leader_lease_lapsed", term=self._term)

    def _open_term(self) -> None:
        status = self._replicator.status()
        self._leader_state = None
        # Once this is applied, all commands of earlier terms are applied here too.
        self.propose(cmd.OpenTerm(status.replica, status.term))
        if self._replicator.term() != status.term:
            return
        self._term = status.term
        self._replica = status.replica
        self._leader_state = LeaderState(
            self._state,
            self._clock.now_ms(),
            self._yield_to_loop,
            self._upstream_ttl_ms,
            self._range_grants,
            self._cold_bound,
            self._rollout,
            time.time() * 1000.0 - self._clock.now_ms(),
        )
        log_event("leadership_opened", term=self._term, replica=status.replica)

    def _close_term(self, reason: str) -> None:
        if self._leader_state is None:
            return
        self._leader_state = None
        log_event("leadership_closed", term=self._term, reason=reason)
        self._observer.on_leadership_lost()

    def _run_round(self, state: LeaderState) -> None:
        commands = self._plan_round(state)
        slice_started_ms = self._clock.now_ms()
        try:
            for start in range(0, len(commands), _COMMANDS_PER_BATCH):
                self._propose_batch(commands[start : start + _COMMANDS_PER_BATCH])
                if self._last_progress_ms - slice_started_ms >= ROUND_SLICE_MS:
                    self._end_slice(state)
                    slice_started_ms = self._clock.now_ms()
        finally:
            self._observer.on_round(bool(commands))
        if commands:
            self._wake.set()

    def _plan_round(self, state: LeaderState) -> Sequence[Message]:
        """Return the commands of a round, and log planning that took long.

        The time in which planning let other greenlets run does not count.
        """
        started_ms = self._clock.now_ms()
        self._yielded_ms = 0.0
        commands = state.commands(started_ms)
        took_ms = self._clock.now_ms() - started_ms - self._yielded_ms
        PLANNING_TIME.observe(took_ms / 1000.0)
        if took_ms >= _SLOW_PLANNING_MS:
            kinds = Counter(type(command).__name__ for command in commands)
            log_event(
                "round_planning_slow",
                term=self._term,
                took_ms=round(took_ms),
                commands=len(commands),
                kinds=",".join(f"{kind}:{count}" for kind, count in kinds.items()),
            )
        return commands

    def _yield_to_loop(self) -> None:
        started_ms = self._clock.now_ms()
        gevent.sleep(0)
        self._yielded_ms += self._clock.now_ms() - started_ms

    def _end_slice(self, state: LeaderState) -> None:
        """Propose what came up during a round, and tell the observer."""
        self._propose_batch(state.session_commands(self._clock.now_ms()))
        self._observer.on_round(True)

    def _propose_batch(self, commands: Sequence[Message]) -> None:
        """Propose commands that are logged in this order, and wait for all of them.

        Raises the first error, after the outcome of each command is known.
        """
        proposals = [gevent.spawn(self._proposal_error, item) for item in commands]
        gevent.joinall(proposals)
        self._last_progress_ms = self._clock.now_ms()
        errors = [proposal.get() for proposal in proposals]
        for error in filter(None, errors):
            raise error

    def _proposal_error(self, command: Message) -> CallError | None:
        """Propose a command and return its error, as greenlets print raised ones."""
        try:
            self.propose(command)
        except CallError as exc:
            return exc
        return None
