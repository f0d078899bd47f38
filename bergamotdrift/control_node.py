"""Assembly of a control replica: the replicated log, its state and its servers."""

import random
import secrets

import gevent
from gevent.event import Event

from bergamotdrift.admin_apps import admin_app
from bergamotdrift.clock import Clock
from bergamotdrift.config.check import check_site
from bergamotdrift.config.schema import ControlSettings
from bergamotdrift.control_server import ControlServer
from bergamotdrift.control_state import ControlState
from bergamotdrift.http_server import HttpServer
from bergamotdrift.log import log_event
from bergamotdrift.messages import (
    Hello,
    Role,
)
from bergamotdrift.replica import Replica
from bergamotdrift.streams import StreamServer

_TRANSFER_TIMEOUT_MS = 1000.0


class ControlNode:
    """Run a control replica with its servers."""

    def __init__(self, cfg: ControlSettings, clock: Clock):
        self._cfg = cfg
        node = cfg.node
        self.state = ControlState()
        address = _advertised_address(cfg)
        self.replica = Replica(cfg, self.state, clock, random.Random(), address)
        hello = Hello(
            node.cluster, node.node, Role.CONTROL, secrets.token_hex(8), node.zone
        )
        self.server = ControlServer(
            cfg, hello, self.state, self.replica, clock, check_site, self.replica
        )
        self.streams = StreamServer(cfg.listen, hello, self.server)
        self.admin = HttpServer(node.admin_listen, admin_app(self.server.is_ready))
        if not cfg.open_group:
            self.replica.set_allowed_names_source(self._configured_replica_names)

    def start(self) -> None:
        """Start the replica and its servers; raises StorageError."""
        self.replica.start()
        self.streams.start()
        self.server.start()
        self.admin.start()
        log_event("started", listen=self._cfg.listen)

    def stop(self) -> None:
        """Transfer leadership and stop the replica and its servers."""
        self.server.stop()
        self.replica.stop(_TRANSFER_TIMEOUT_MS)
        self.streams.stop()
        self.admin.stop()
        log_event("stopped")

    def _configured_replica_names(self) -> list[str] | None:
        """Return the replica names in the settings, or None without settings."""
        current = self.state.settings.current
        if current is None:
            return None
        return [item.replica for item in current.replicas or self._cfg.voters]


def _advertised_address(cfg: ControlSettings) -> str:
    """Return the address for other processes, which may be that of a forwarder."""
    named = {voter.replica: voter.address for voter in cfg.voters}
    return named.get(cfg.node.node, cfg.listen)


def wait_for_shutdown(stop: Event, failed: Event) -> bool:
    """Wait for a stop or a failure; return False if the replica failed."""
    gevent.wait([stop, failed], count=1)
    return not failed.is_set()
