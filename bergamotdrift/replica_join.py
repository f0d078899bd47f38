"""Joining a group, or bootstrapping a new one from the configured voters."""

import secrets
from collections.abc import Iterable
from typing import Protocol

import gevent

from bergamotdrift.clock import Clock
from bergamotdrift.config.schema import ControlSettings
from bergamotdrift.log import log_event
from bergamotdrift.messages import NotLeader
from bergamotdrift.raft import Raft
from bergamotdrift.raft_membership import JoinMonitor
from bergamotdrift.raft_messages import JoinReply, JoinRequest, Member
from bergamotdrift.replica_peers import ReplicaPeers

_JOIN_INTERVAL_S = 0.25


class GroupObserver(Protocol):
    """Receive a notification when a group is bootstrapped."""

    def on_group_bootstrapped(self) -> None:
        """Sync the first log entry of the new group."""
        ...


class GroupJoiner:
    """Send join requests until this replica is a member of its group.

    Only the bootstrap voter whose name sorts first bootstraps a group, and only once
    every bootstrap voter has replied that it belongs to no group. Otherwise a replica
    that lost its disk could bootstrap a second group beside the existing one.
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
        self._contact = JoinMonitor(raft, address, clock.now_ms())
        self._configured_addresses = tuple({
            *cfg.node.control,
            *(v.address for v in cfg.voters),
        })
        self._leader_hint = ""

    def add_join_addresses(self, addresses: Iterable[str]) -> None:
        """Add addresses to which join requests are sent."""
        self._configured_addresses = tuple(
            dict.fromkeys((*self._configured_addresses, *addresses))
        )

    @property
    def join_addresses(self) -> tuple[str, ...]:
        """Return the addresses to which join requests are sent."""
        return (
            (*self._configured_addresses, self._leader_hint)
            if self._leader_hint
            else self._configured_addresses
        )

    def run(self) -> None:
        """Send join requests while this replica is no member or hears no leader."""
        while True:
            if self._contact.should_request_join(self._clock.now_ms()):
                self._send_join_requests()
            gevent.sleep(_JOIN_INTERVAL_S)

    def _send_join_requests(self) -> None:
        self._peers.set_members(self._raft.state.log.members, self.join_addresses)
        name = self._cfg.node.node
        req = JoinRequest(self._raft.state.replica, name, self._address)
        addresses = [a for a in self.join_addresses if a != self._address]
        greenlets = [gevent.spawn(self._peers.call, a, req) for a in addresses]
        gevent.joinall(greenlets)
        answers = [greenlet.value for greenlet in greenlets]
        hints = [a.hint for a in answers if isinstance(a, NotLeader) and a.hint]
        self._leader_hint = hints[0] if hints else ""
        self._bootstrap_group([a for a in answers if isinstance(a, JoinReply)])

    def _bootstrap_group(self, replies: list[JoinReply]) -> None:
        """Bootstrap the group if this replica is responsible for it."""
        names = sorted(v.replica for v in self._cfg.voters)
        if not names or names[0] != self._cfg.node.node or self._raft.is_initialised:
            return
        own = JoinReply(self._raft.state.replica, names[0], "")
        ungrouped = {r.name: r.replica for r in [own, *replies] if not r.group}
        if any(r.group for r in replies) or not ungrouped.keys() >= set(names):
            return
        members = [
            Member(ungrouped[v.replica], v.replica, v.address, voter=True)
            for v in self._cfg.voters
        ]
        group = secrets.token_hex(4)
        self._raft.bootstrap(group, members)
        log_event("group_founded", group=group, voters=len(members))
        self._observer.on_group_bootstrapped()
