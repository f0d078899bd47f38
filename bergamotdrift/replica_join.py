"""How a replica finds its group, or founds one from the bootstrap voters."""

import secrets
from collections.abc import Iterable
from typing import Protocol

import gevent

from bergamotdrift.clock import Clock
from bergamotdrift.config.schema import ControlSettings
from bergamotdrift.log import log_event
from bergamotdrift.messages import NotLeader
from bergamotdrift.raft import Raft
from bergamotdrift.raft_membership import Contact
from bergamotdrift.raft_messages import JoinReply, JoinRequest, Member
from bergamotdrift.replica_peers import ReplicaPeers

_ROUND_S = 0.25


class GroupObserver(Protocol):
    """Learn that a group was founded."""

    def on_founded(self) -> None:
        """Act on the new log entry."""
        ...


class GroupJoiner:
    """Ask the leader to join until this replica is a member.

    A group is founded only by the first name among the bootstrap voters, and only
    once every one of them answers that it knows of no group: a lost disk must not
    found a second group beside the first.
    """

    def __init__(
        self,
        cfg: ControlSettings,
        raft: Raft,
        peers: ReplicaPeers,
        address: str,
        clock: Clock,
        observer: GroupObserver,
    ):
        self._cfg = cfg
        self._raft = raft
        self._peers = peers
        self._address = address
        self._clock = clock
        self._observer = observer
        self._contact = Contact(raft, address, clock.now_ms())
        self._listed = tuple({*cfg.node.control, *(v.address for v in cfg.voters)})
        self._hint = ""

    def add_candidates(self, addresses: Iterable[str]) -> None:
        """Look for the group at further addresses too."""
        self._listed = tuple(dict.fromkeys((*self._listed, *addresses)))

    @property
    def candidates(self) -> tuple[str, ...]:
        """Return the addresses at which the group may be found."""
        return (*self._listed, self._hint) if self._hint else self._listed

    def run(self) -> None:
        """Ask again and again, whenever this replica is not a member in contact."""
        while True:
            if self._contact.must_ask(self._clock.now_ms()):
                self._ask_all()
            gevent.sleep(_ROUND_S)

    def _ask_all(self) -> None:
        self._peers.set_members(self._raft.state.log.members, self.candidates)
        name = self._cfg.node.node
        req = JoinRequest(self._raft.state.replica, name, self._address)
        addresses = [a for a in self.candidates if a != self._address]
        jobs = [gevent.spawn(self._peers.call, a, req) for a in addresses]
        gevent.joinall(jobs)
        answers = [job.value for job in jobs]
        hints = [a.hint for a in answers if isinstance(a, NotLeader) and a.hint]
        self._hint = hints[0] if hints else ""
        self._found_group([a for a in answers if isinstance(a, JoinReply)])

    def _found_group(self, replies: list[JoinReply]) -> None:
        """Found the group if this replica is the one to do it."""
        names = sorted(v.replica for v in self._cfg.voters)
        if not names or names[0] != self._cfg.node.node or self._raft.is_initialised:
            return
        own = JoinReply(self._raft.state.replica, names[0], "")
        unfounded = {r.name: r.replica for r in [own, *replies] if not r.group}
        if any(r.group for r in replies) or not unfounded.keys() >= set(names):
            return
        members = [
            Member(unfounded[v.replica], v.replica, v.address, voter=True)
            for v in self._cfg.voters
        ]
        group = secrets.token_hex(4)
        self._raft.bootstrap(group, members)
        log_event("group_founded", group=group, voters=len(members))
        self._observer.on_founded()
