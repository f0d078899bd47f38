"""Leader election with pre-vote, and vote refusal during a leader's lease."""

import random

from bergamotdrift.raft_messages import (
    PreVoteReply,
    PreVoteRequest,
    RaftTimings,
    VoteReply,
    VoteRequest,
    has_quorum,
)
from bergamotdrift.raft_state import RaftRole, RaftState


class Election:
    """Handle election timeouts, campaigns, and requests for votes and pre-votes."""

    def __init__(
        self,
        state: RaftState,
        timings: RaftTimings,
        rng: random.Random,
        now_ms: float,
    ):
        self._state = state
        self._timings = timings
        self._rng = rng
        self._granted_by: set[str] = set()
        self.deadline_ms = 0.0
        # The time of the last heartbeat is lost in a restart. The leader's lease may
        # still rely on this replica, so a restart counts as leader contact.
        self._leader_contact_ms = now_ms
        self.reset_timeout(now_ms)

    def reset_timeout(self, now_ms: float) -> None:
        """Restart the election timer with a full randomised timeout."""
        low, high = self._timings.election_min_ms, self._timings.election_max_ms
        self.deadline_ms = now_ms + self._rng.uniform(low, high)

    def _set_retry_deadline(self, now_ms: float) -> None:
        """Set a short timer for the next pre-vote.

        A voter whose last contact with the leader was slightly later refuses the first
        pre-vote. With a full timeout before the next one, one election in a hundred
        took 1.3 s.
        """
        pause_ms = self._timings.heartbeat_ms
        self.deadline_ms = now_ms + self._rng.uniform(pause_ms, 2 * pause_ms)

    def on_leader_contact(self, now_ms: float) -> None:
        """Record a message from the leader of the current term."""
        self._leader_contact_ms = now_ms
        self.reset_timeout(now_ms)

    def is_in_lease(self, now_ms: float) -> bool:
        """Return whether a leader's lease may still rely on this replica."""
        return now_ms < self._leader_contact_ms + self._timings.election_min_ms

    def start_pre_vote(self, now_ms: float) -> bool:
        """Request pre-votes; return whether this replica alone is a quorum."""
        state = self._state
        state.role = RaftRole.PRE_CANDIDATE
        state.leader = ""
        self._set_retry_deadline(now_ms)
        self._granted_by = {state.replica}
        log = state.log
        for voter in self._other_voters():
            head = state.head(voter, state.term + 1)
            state.send(PreVoteRequest(head, log.last_index, log.last_term))
        return self._has_vote_quorum()

    def campaign(self, transfer: bool, now_ms: float) -> None:
        """Request votes in a new term; its own vote counts once it is synced."""
        state = self._state
        state.role = RaftRole.CANDIDATE
        state.leader = ""
        state.set_term(state.term + 1, state.replica)
        # A split vote is retried before a full timeout, since there is no leader to
        # wait for. The lower bound still leaves time for two syncs of a slow disk.
        low, high = self._timings.election_min_ms / 2, self._timings.election_max_ms
        self.deadline_ms = now_ms + self._rng.uniform(low, high)
        self._granted_by = set()
        log = state.log
        for voter in self._other_voters():
            request = VoteRequest(
                state.head(voter), log.last_index, log.last_term, transfer
            )
            state.send_durable(request)
        state.send_durable(VoteReply(state.head(state.replica), True))

    def on_pre_vote_request(self, msg: PreVoteRequest, now_ms: float) -> None:
        """Reply whether a vote would be granted, without changing term or vote."""
        state = self._state
        granted = (
            msg.head.term > state.term
            and not self.is_in_lease(now_ms)
            and self._is_up_to_date(msg.last_index, msg.last_term)
            and not self._wins_tie(msg)
        )
        if granted:
            # Leaves the sender time to campaign. Its next pre-vote comes later than
            # this pause ends, so a sender that receives no replies delays nobody.
            pause_ms = self._timings.heartbeat_ms / 2
            self.deadline_ms = max(self.deadline_ms, now_ms + pause_ms)
        term = msg.head.term if granted else state.term
        state.send_durable(PreVoteReply(state.head(msg.head.sender, term), granted))

    def on_vote_request(self, msg: VoteRequest, now_ms: float) -> None:
        """Grant at most one vote per term, and reply once it is synced."""
        state = self._state
        sender = msg.head.sender
        granted = (
            state.vote in ("", sender)
            and not state.leader
            and self._is_up_to_date(msg.last_index, msg.last_term)
        )
        if granted:
            state.set_term(state.term, sender)
            self.reset_timeout(now_ms)
        state.send_durable(VoteReply(state.head(sender), granted))

    def on_pre_vote_reply(self, msg: PreVoteReply) -> bool:
        """Count a pre-vote; return whether a quorum allows a campaign."""
        state = self._state
        if state.role is not RaftRole.PRE_CANDIDATE or not msg.granted:
            return False
        if msg.head.term != state.term + 1:
            return False
        self._granted_by.add(msg.head.sender)
        return self._has_vote_quorum()

    def on_vote_reply(self, msg: VoteReply) -> bool:
        """Count a vote; return whether the election is won."""
        if self._state.role is not RaftRole.CANDIDATE or not msg.granted:
            return False
        self._granted_by.add(msg.head.sender)
        return self._has_vote_quorum()

    def _wins_tie(self, msg: PreVoteRequest) -> bool:
        """Return whether this pre-candidate takes precedence by its higher identity.

        Two pre-candidates with equal logs that grant each other a pre-vote would split
        the votes.
        """
        state = self._state
        is_pre_candidate = state.role is RaftRole.PRE_CANDIDATE
        log = state.log
        is_tie = (msg.last_term, msg.last_index) == (log.last_term, log.last_index)
        return is_pre_candidate and is_tie and msg.head.sender < state.replica

    def _has_vote_quorum(self) -> bool:
        return has_quorum(self._state.voters, self._granted_by)

    def _other_voters(self) -> list[str]:
        return [v for v in self._state.voters if v != self._state.replica]

    def _is_up_to_date(self, last_index: int, last_term: int) -> bool:
        log = self._state.log
        return (last_term, last_index) >= (log.last_term, log.last_index)
