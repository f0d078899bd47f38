"""The rules by which the leader changes the members, one step at a time."""

from collections.abc import Iterable

from bergamotdrift.exceptions import ErrorKind, Refusal
from bergamotdrift.raft import Raft
from bergamotdrift.raft_leader import Leadership
from bergamotdrift.raft_messages import JoinRequest, Member

# Longer than any election, so that a member asks only if it was left out.
_LOST_CONTACT_MS = 2000.0


class Contact:
    """Tell when a replica must ask to join: it is no member, or hears no leader."""

    def __init__(self, raft: Raft, address: str, now_ms: float):
        self._raft = raft
        self._address = address
        self._heard_ms = now_ms

    def must_ask(self, now_ms: float) -> bool:
        """Tell whether to ask now; to be called a few times a second."""
        state = self._raft.state
        if state.leader:
            self._heard_ms = now_ms
        mine = [m for m in state.log.members if m.replica == state.replica]
        if not mine:
            return True
        if mine[0].address != self._address and state.leader != state.replica:
            return True
        return now_ms - self._heard_ms > _LOST_CONTACT_MS


class Membership:
    """Hold who may be a member, and derive the next change from it.

    Only names matter to operators. An identity is one data folder's memory: a
    replica whose disk was lost joins anew as a learner. Once that has caught up,
    the earlier identity is removed and the learner gets its vote. In the other
    order, losing the learner between both steps would leave two dead votes of four.
    """

    def __init__(
        self,
        raft: Raft,
        bootstrap: Iterable[str],
        address: str,
        is_open: bool = False,
    ):
        self._raft = raft
        # An open group lists no names: any replica may join it, and one that caught
        # up takes the place of a voter that is silent.
        self._is_open = is_open
        self._address = address
        self._allowed = frozenset(bootstrap)
        self._may_remove = False
        self._joining: dict[str, JoinRequest] = {}
        self._removing: set[str] = set()

    def set_allowed(self, names: Iterable[str]) -> None:
        """Set the names of the replicas that may be members.

        Until then, the bootstrap voters may join, but nobody is removed.
        """
        self._allowed = frozenset(names)
        self._may_remove = True

    def request_join(self, req: JoinRequest, now_ms: float) -> Refusal | None:
        """Note a replica that wants to join, or refuse it."""
        lead = self._raft.leadership
        if lead is None:
            return Refusal(ErrorKind.NOT_LEADER)
        if not self._is_open and req.name not in self._allowed:
            return Refusal(ErrorKind.FORBIDDEN, f"replica {req.name!r} is not listed")
        for member in self._raft.state.log.members:
            if member.name != req.name or member.replica == req.replica:
                continue
            if not lead.is_silent(member.replica, now_ms):
                detail = f"replica {req.name!r} is in use by {member.replica}"
                return Refusal(ErrorKind.FORBIDDEN, detail)
        self._joining[req.name] = req
        return None

    def request_removal(self, replica: str) -> None:
        """Note an identity that is to be removed."""
        self._removing.add(replica)

    def step(self, now_ms: float) -> None:
        """Propose the next change, if one is due and safe."""
        lead = self._raft.leadership
        if lead is None:
            self._joining.clear()
            self._removing.clear()
            return
        if not lead.may_change_members():
            return
        members = self._next_members(lead, now_ms)
        if members is not None:
            self._raft.propose_members(members, now_ms)
        else:
            self._leave_if_unwanted(lead, now_ms)

    def _next_members(self, lead: Leadership, now_ms: float) -> list[Member] | None:
        members = self._raft.state.log.members
        joined = self._with_joining(self._with_own_address(members))
        if joined != members:
            return joined
        changes = [*self._promotions(lead, members, now_ms), *self._removals(members)]
        for changed in changes:
            if _is_safe(members, changed, lead, now_ms):
                return changed
        return None

    def _with_own_address(self, members: list[Member]) -> list[Member]:
        own = self._raft.state.replica
        return [
            m._replace(address=self._address) if m.replica == own else m
            for m in members
        ]

    def _with_joining(self, members: list[Member]) -> list[Member]:
        """Return the members with new learners and addresses; votes stay."""
        for req in self._joining.values():
            known = any(m.replica == req.replica for m in members)
            members = [
                m._replace(address=req.address) if m.replica == req.replica else m
                for m in members
                if m.voter or m.name != req.name or m.replica == req.replica
            ]
            if not known:
                learner = Member(req.replica, req.name, req.address, voter=False)
                members = [*members, learner]
        self._joining.clear()
        return members

    def _promotions(
        self, lead: Leadership, members: list[Member], now_ms: float
    ) -> list[list[Member]]:
        """Return the changes that learners which caught up call for."""
        commit = self._raft.state.commit
        return [
            self._with_vote(lead, members, m, now_ms)
            for m in members
            if not m.voter
            and self._is_listed(m)
            and lead.match_of(m.replica) >= commit
            and lead.is_active(m.replica, now_ms)
        ]

    def _with_vote(
        self, lead: Leadership, members: list[Member], learner: Member, now_ms: float
    ) -> list[Member]:
        """Return the members without a vote that a learner replaces, or with its."""
        for member in members:
            if not member.voter or member.replica == self._raft.state.replica:
                continue
            gone = lead.is_silent(member.replica, now_ms)
            if member.name == learner.name or (gone and self._is_barred(member)):
                return [m for m in members if m is not member]
        others = [m for m in members if m is not learner]
        return [*others, learner._replace(voter=True)]

    def _is_barred(self, member: Member) -> bool:
        if self._is_open:
            return True
        return self._may_remove and not self._is_listed(member)

    def _is_listed(self, member: Member) -> bool:
        return self._is_open or member.name in self._allowed

    def _removals(self, members: list[Member]) -> list[list[Member]]:
        """Return the members without one that is no longer wanted, for each."""
        return [
            [m for m in members if m is not unwanted]
            for unwanted in self._unwanted(members)
            if unwanted.replica != self._raft.state.replica
        ]

    def _unwanted(self, members: list[Member]) -> list[Member]:
        # A voter that lives leaves only after every listed replica has its vote.
        complete = self._allowed <= {m.name for m in members if m.voter}
        return [
            m
            for m in members
            if m.replica in self._removing
            or (not self._is_open and self._is_barred(m) and (complete or not m.voter))
        ]

    def _leave_if_unwanted(self, lead: Leadership, now_ms: float) -> None:
        """Let a listed voter lead, which can then remove this replica."""
        state = self._raft.state
        members = state.log.members
        if not any(m.replica == state.replica for m in self._unwanted(members)):
            return
        remaining = [m for m in members if m.replica != state.replica]
        if _is_safe(members, remaining, lead, now_ms):
            listed = [m.replica for m in remaining if self._is_listed(m)]
            self._raft.transfer(listed, now_ms)


def _is_safe(
    members: list[Member], changed: list[Member], lead: Leadership, now_ms: float
) -> bool:
    """Tell whether a change keeps a quorum, even if one more voter just died.

    A loss goes unnoticed for an election timeout. Removing a voter that is silent
    already never makes things worse, so it needs no such margin.
    """
    voters = [m for m in changed if m.voter]
    active = sum(lead.is_active(m.replica, now_ms) for m in voters)
    quorum = len(voters) // 2 + 1
    removed = [m for m in members if m.voter and m not in changed]
    if all(lead.is_silent(m.replica, now_ms) for m in removed) and removed:
        return active >= quorum
    return active == len(voters) or active - 1 >= quorum
