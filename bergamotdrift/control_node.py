"""The wiring of a control replica: the replicated log, its state and its servers."""

import random
import secrets

import gevent
from gevent.event import Event

from bergamotdrift.clock import Clock
from bergamotdrift.config.check import check_site
from bergamotdrift.config.schema import ControlSettings
from bergamotdrift.control_server import ControlServer
from bergamotdrift.control_state import ControlState
from bergamotdrift.http_server import HttpServer, admin_app
from bergamotdrift.log import log_event
from bergamotdrift.messages import (
    Hello,
    Role,
)
from bergamotdrift.replica import Replica
from bergamotdrift.streams import StreamServer

_HAND_OVER_MS = 1000.0


class Control:
    """Run a replica with its servers."""

    def __init__(self, cfg: ControlSettings, clock: Clock):
        self._cfg = cfg
        node = cfg.node
        self.state = ControlState()
        address = _address_for_others(cfg)
        self.replica = Replica(cfg, self.state, clock, random.Random(), address)
        hello = Hello(node.cluster, node.node, Role.CONTROL, secrets.token_hex(8))
        self.server = ControlServer(
            cfg, hello, self.state, self.replica, clock, check_site, self.replica
        )
        self.streams = StreamServer(cfg.listen, hello, self.server)
        self.admin = HttpServer(node.admin_listen, admin_app(self.server.is_ready))
        if not cfg.open_group:
            self.replica.follow_allowed(self._listed_replicas)

    def start(self) -> None:
        """Start to take part in the group and to serve; raises StorageError."""
        self.replica.start()
        self.streams.start()
        self.server.start()
        self.admin.start()
        log_event("started", listen=self._cfg.listen)

    def stop(self) -> None:
        """Hand the leadership over and stop to serve."""
        self.server.stop()
        self.replica.stop(_HAND_OVER_MS)
        self.streams.stop()
        self.admin.stop()
        log_event("stopped")

    def _listed_replicas(self) -> list[str] | None:
        """Return the names of the listed replicas, once there are settings."""
        current = self.state.settings.current
        if current is None:
            return None
        return [item.replica for item in current.replicas or self._cfg.voters]


def _address_for_others(cfg: ControlSettings) -> str:
    """Return where other processes reach this replica, which may be a forwarder."""
    named = {voter.replica: voter.address for voter in cfg.voters}
    return named.get(cfg.node.node, cfg.listen)


def wait_for_end(stop: Event, failed: Event) -> bool:
    """Return True at a planned stop, and False when the replica failed."""
    gevent.wait([stop, failed], count=1)
    return not failed.is_set()
