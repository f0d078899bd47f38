"""Membership changes of the group, proposed by the leader one voter at a time."""

from collections.abc import Iterable

from bergamotdrift.exceptions import ErrorKind, Refusal
from bergamotdrift.raft import Raft
from bergamotdrift.raft_leader import Leader
from bergamotdrift.raft_messages import JoinRequest, Member, voters_of

# Longer than any election, so that a member asks to join only if it was left out of
# the group, not merely while there is no leader.
_LOST_CONTACT_MS = 2000.0


class JoinMonitor:
    """Decide when a replica must send a join request.

    It must if it is not a member, if its address has changed, or if it has known no
    leader for `_LOST_CONTACT_MS`.
    """

    def __init__(self, raft: Raft, address: str, now_ms: float):
        self._raft = raft
        self._address = address
        self._leader_seen_ms = now_ms

    def should_request_join(self, now_ms: float) -> bool:
        """Return whether to send a join request now; call it a few times a second."""
        state = self._raft.state
        if state.leader:
            self._leader_seen_ms = now_ms
        own = [m for m in state.log.members if m.replica == state.replica]
        if not own:
            return True
        if own[0].address != self._address and state.leader != state.replica:
            return True
        return now_ms - self._leader_seen_ms > _LOST_CONTACT_MS


class Membership:
    """Derive the next membership change from the names that may be members.

    Operators list replicas by name. An identity belongs to one data folder, so a
    replica whose disk was lost joins under a new identity, as a learner. Once it has
    caught up, the earlier identity is removed and then the learner is promoted. In
    the reverse order, losing the learner between both steps would leave two failed
    voters of four, and so no quorum.

    An unresponsive voter of another name may still have its disk. Of an odd number of
    voters, it is removed after the learner is promoted, since a group of one voter
    less would not survive the loss of as many other disks.
    """

    def __init__(
        self,
        raft: Raft,
        bootstrap: Iterable[str],
        address: str,
        is_open: bool = False,
    ):
        self._raft = raft
        # An open group has no list of names: any replica may join, and a learner that
        # has caught up replaces an unresponsive voter.
        self._is_open = is_open
        self._address = address
        self._allowed = frozenset(bootstrap)
        self._can_remove = False
        self._pending_joins: dict[str, JoinRequest] = {}
        self._pending_removals: set[str] = set()
        self._replaced: set[str] = set()

    def set_allowed(self, names: Iterable[str]) -> None:
        """Set the names of the replicas that may be members.

        Until the first call, the bootstrap voters may join and no member is removed.
        """
        self._allowed = frozenset(names)
        self._can_remove = True

    def request_join(self, req: JoinRequest, now_ms: float) -> Refusal | None:
        """Queue a join request for the next change, or return why it is refused."""
        lead = self._raft.leadership
        if lead is None:
            return Refusal(ErrorKind.NOT_LEADER)
        if not self._is_open and req.name not in self._allowed:
            return Refusal(ErrorKind.FORBIDDEN, f"replica {req.name!r} is not listed")
        for member in self._raft.state.log.members:
            if member.name != req.name or member.replica == req.replica:
                continue
            if not lead.is_unresponsive(member.replica, now_ms):
                detail = f"replica {req.name!r} is in use by {member.replica}"
                return Refusal(ErrorKind.FORBIDDEN, detail)
        self._pending_joins[req.name] = req
        return None

    def request_removal(self, replica: str) -> None:
        """Queue the removal of an identity."""
        self._pending_removals.add(replica)

    def step(self, now_ms: float) -> None:
        """Propose the next membership change, if one is due and safe."""
        lead = self._raft.leadership
        if lead is None:
            self._pending_joins.clear()
            self._pending_removals.clear()
            self._replaced.clear()
            return
        if not lead.may_change_members():
            return
        members = self._next_members(lead, now_ms)
        if members is not None:
            self._raft.propose_members(members, now_ms)
        else:
            self._transfer_if_removed(lead, now_ms)

    def _next_members(self, lead: Leader, now_ms: float) -> list[Member] | None:
        members = self._raft.state.log.members
        joined = self._with_pending_joins(self._with_own_address(members))
        if joined != members:
            return joined
        self._prune_replaced(lead, members, now_ms)
        changes = [*self._promotions(lead, members, now_ms), *self._removals(members)]
        for changed in changes:
            if _preserves_quorum(members, changed, lead, now_ms):
                return changed
        return None

    def _with_own_address(self, members: list[Member]) -> list[Member]:
        own = self._raft.state.replica
        return [
            m._replace(address=self._address) if m.replica == own else m
            for m in members
        ]

    def _with_pending_joins(self, members: list[Member]) -> list[Member]:
        """Return the members with queued learners and addresses; voters are kept."""
        for req in self._pending_joins.values():
            known = any(m.replica == req.replica for m in members)
            members = [
                m._replace(address=req.address) if m.replica == req.replica else m
                for m in members
                if m.voter or m.name != req.name or m.replica == req.replica
            ]
            if not known:
                learner = Member(req.replica, req.name, req.address, voter=False)
                members = [*members, learner]
        self._pending_joins.clear()
        return members

    def _promotions(
        self, lead: Leader, members: list[Member], now_ms: float
    ) -> list[list[Member]]:
        """Return one change for each learner that has caught up."""
        commit = self._raft.state.commit
        return [
            self._with_promoted(lead, members, m, now_ms)
            for m in members
            if not m.voter
            and self._is_listed(m)
            and lead.match_of(m.replica) >= commit
            and lead.is_active(m.replica, now_ms)
        ]

    def _with_promoted(
        self, lead: Leader, members: list[Member], learner: Member, now_ms: float
    ) -> list[Member]:
        """Return the members with a learner promoted.

        If the voter that it replaces must be removed first, return them without it.
        """
        others = [m for m in members if m is not learner]
        promoted = [*others, learner._replace(voter=True)]
        replaced = self._voter_to_replace(lead, members, learner, now_ms)
        if replaced is None:
            return promoted
        if replaced.name != learner.name and len(voters_of(members)) % 2 == 1:
            self._replaced.add(replaced.replica)
            return promoted
        return [m for m in members if m is not replaced]

    def _voter_to_replace(
        self, lead: Leader, members: list[Member], learner: Member, now_ms: float
    ) -> Member | None:
        """Return the voter of a learner's name, else an unresponsive one, if any."""
        own = self._raft.state.replica
        voters = [m for m in members if m.voter and m.replica != own]
        namesakes = [m for m in voters if m.name == learner.name]
        lost = [
            m
            for m in voters
            if self._is_evictable(m) and lead.is_unresponsive(m.replica, now_ms)
        ]
        return next(iter([*namesakes, *lost]), None)

    def _prune_replaced(
        self, lead: Leader, members: list[Member], now_ms: float
    ) -> None:
        """Keep the replaced voters that are still members and unresponsive."""
        self._replaced = {
            m.replica
            for m in members
            if m.replica in self._replaced and lead.is_unresponsive(m.replica, now_ms)
        }

    def _is_evictable(self, member: Member) -> bool:
        if self._is_open:
            return True
        return self._can_remove and not self._is_listed(member)

    def _is_listed(self, member: Member) -> bool:
        return self._is_open or member.name in self._allowed

    def _removals(self, members: list[Member]) -> list[list[Member]]:
        """Return one change for each member to remove, except this replica."""
        return [
            [m for m in members if m is not removed]
            for removed in self._members_to_remove(members)
            if removed.replica != self._raft.state.replica
        ]

    def _members_to_remove(self, members: list[Member]) -> list[Member]:
        # An unlisted voter is removed only after every listed replica is a voter.
        all_listed_vote = self._allowed <= {m.name for m in members if m.voter}
        # The learner of a replaced voter may not have been promoted yet.
        replaced = self._replaced if len(voters_of(members)) % 2 == 0 else set()
        return [
            m
            for m in members
            if m.replica in self._pending_removals | replaced
            or (
                not self._is_open
                and self._is_evictable(m)
                and (all_listed_vote or not m.voter)
            )
        ]

    def _transfer_if_removed(self, lead: Leader, now_ms: float) -> None:
        """Transfer leadership to a listed voter, which can then remove this replica."""
        state = self._raft.state
        members = state.log.members
        if not any(
            m.replica == state.replica for m in self._members_to_remove(members)
        ):
            return
        remaining = [m for m in members if m.replica != state.replica]
        if _preserves_quorum(members, remaining, lead, now_ms):
            listed = [m.replica for m in remaining if self._is_listed(m)]
            self._raft.transfer_leadership(listed, now_ms)


def _preserves_quorum(
    members: list[Member], changed: list[Member], lead: Leader, now_ms: float
) -> bool:
    """Return whether a change keeps a quorum even if one more voter has just failed.

    A failure is detected only after an election timeout. Removing voters that are
    already unresponsive never reduces availability, so it needs no such margin, and
    neither does promoting a learner if it is known which voters have failed.
    """
    voters = voters_of(changed)
    active = {v for v in voters if lead.is_active(v, now_ms)}
    quorum = len(voters) // 2 + 1
    removed = set(voters_of(members)) - set(voters)
    failed = removed or set(voters) - active
    if failed and all(lead.is_unresponsive(v, now_ms) for v in failed):
        return len(active) >= quorum
    return len(active) == len(voters) or len(active) - 1 >= quorum
