"""Pending proposals, from being queued until their outcome is known."""

from collections import deque

from gevent.event import AsyncResult

from bergamotdrift.exceptions import CallError, ErrorKind, Refusal

MAX_PENDING_PROPOSALS = 4096


class Proposal:
    """Hold a command and a future of its outcome; `log_index` is 0 until appended."""

    def __init__(self, command: bytes):
        self.command = command
        self.outcome: AsyncResult = AsyncResult()
        self.log_index = 0
        self.term = 0

    def fail(self, kind: ErrorKind, detail: str) -> None:
        """Complete the proposal with a CallError of the given kind."""
        self.outcome.set_exception(CallError(Refusal(kind, detail)))


class ProposalTracker:
    """Match pending proposals with the log entries that are applied."""

    def __init__(self) -> None:
        self._queued: deque[Proposal] = deque()
        self._appended: dict[int, Proposal] = {}

    def add(self, command: bytes) -> Proposal:
        """Queue a command; raises CallError with QUEUE_FULL."""
        if len(self._queued) + len(self._appended) >= MAX_PENDING_PROPOSALS:
            raise CallError(Refusal(ErrorKind.QUEUE_FULL, "too many pending proposals"))
        proposal = Proposal(command)
        self._queued.append(proposal)
        return proposal

    def take_queued(self) -> list[Proposal]:
        """Return all queued proposals and clear the queue."""
        queued = list(self._queued)
        self._queued.clear()
        return queued

    def mark_appended(self, proposals: list[Proposal], first: int, term: int) -> None:
        """Record the term and the log indexes at which proposals were appended."""
        for number, proposal in enumerate(proposals):
            proposal.log_index = first + number
            proposal.term = term
            self._appended[proposal.log_index] = proposal

    def complete(self, index: int, term: int, outcome: bytes) -> None:
        """Complete the proposal of an applied entry with its outcome."""
        proposal = self._appended.pop(index, None)
        if proposal is None:
            return
        if proposal.term == term:
            proposal.outcome.set(outcome)
        else:
            # An entry of another term is committed at this index, so the proposal's own
            # entry was overwritten and can never be committed.
            proposal.fail(ErrorKind.NOT_LEADER, "entry overwritten by a later leader")

    def fail_through(self, index: int) -> None:
        """Fail the proposals up to the last index of a restored snapshot."""
        for covered in [i for i in self._appended if i <= index]:
            proposal = self._appended.pop(covered)
            proposal.fail(ErrorKind.NO_QUORUM, "entry covered by a restored snapshot")

    def abandon(self, proposal: Proposal) -> CallError:
        """Remove a proposal that timed out and return the error to raise."""
        if proposal.log_index:
            self._appended.pop(proposal.log_index, None)
            refusal = Refusal(ErrorKind.NO_QUORUM, "not committed before the timeout")
        else:
            if proposal in self._queued:
                self._queued.remove(proposal)
            refusal = Refusal(ErrorKind.NOT_LEADER, "not appended before the timeout")
        return CallError(refusal)

    def fail_all(self, detail: str) -> None:
        """Fail all pending proposals when the replica stops or fails."""
        for proposal in self.take_queued():
            proposal.fail(ErrorKind.NOT_LEADER, detail)
        appended, self._appended = self._appended, {}
        for proposal in appended.values():
            proposal.fail(ErrorKind.NO_QUORUM, detail)
