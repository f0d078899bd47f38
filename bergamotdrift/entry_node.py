"""Setup of an entry: session, arbiter client, pipeline and servers."""

import contextlib
import secrets

import gevent

from bergamotdrift.admin_apps import admin_app
from bergamotdrift.admission import Admission
from bergamotdrift.arbiter_client import ArbiterClient
from bergamotdrift.arbiter_messages import (
    ConnectionDropped,
    KeptConnections,
    PermitRelease,
    RecordRow,
    Revoke,
    RunningPermit,
    TokensSpent,
)
from bergamotdrift.attempts import AttemptRegistry, RunningAttempt
from bergamotdrift.clock import Clock
from bergamotdrift.config.schema import CallerLimits, Dispatch, EntrySettings
from bergamotdrift.control_client import ControlClient
from bergamotdrift.dialect import NATIVE, Dialect
from bergamotdrift.direct_dispatch import DirectDispatch
from bergamotdrift.entry_server import EntryApp
from bergamotdrift.feed_signal import FeedSignal
from bergamotdrift.feed_tables import FeedTables
from bergamotdrift.http_input import HttpLimits
from bergamotdrift.http_server import HttpServer
from bergamotdrift.local_records import LocalRecords
from bergamotdrift.log import log_event
from bergamotdrift.messages import (
    FeedUpdate,
    Hello,
    NodeRow,
    Role,
)
from bergamotdrift.pipeline import Pipeline
from bergamotdrift.route_split import RouteSplits
from bergamotdrift.settings_view import SettingsView
from bergamotdrift.shard_view import is_workspace_shard
from bergamotdrift.stages.claim import ClaimStage, NoClaims
from bergamotdrift.stages.forward import ForwardStage
from bergamotdrift.stages.permit import PermitStage
from bergamotdrift.stages.stages import Stages
from bergamotdrift.token_cache import spent_window_ms
from bergamotdrift.token_client import TokenClient
from bergamotdrift.upstream_connections import UpstreamConnectionPool

_WATCH_INTERVAL_S = 0.05
_SWEEP_INTERVAL_S = 0.5
# A load balancer probes about once a second. Until it notices the failing readiness
# check, new requests are refused as "not run" instead of hitting a closed port.
_UNREADY_GRACE_S = 1.0
_DRAIN_POLL_S = 0.02
# Time after the drain in which the last answers are sent.
_LAST_ANSWERS_S = 0.3
# A caller may use a connection until just before its idle timeout ends, and its request
# or its close may be on its way for longer than a second on a slow link.
_IDLE_MARGIN_S = 3.0


class EntryNode:
    """Set up and run an entry."""

    def __init__(self, cfg: EntrySettings, clock: Clock, dialect: Dialect = NATIVE):
        self._cfg = cfg
        self._dialect = dialect
        self._clock = clock
        node = cfg.node
        run = secrets.token_hex(8)
        hello = Hello(node.cluster, node.node, Role.ENTRY, run, node.zone)
        self._hello = hello
        self._view: SettingsView | None = None
        self._splits = RouteSplits()
        self._feed = FeedSignal()
        self._admission = Admission(cfg, clock)
        self.registry = AttemptRegistry()
        self._book = LocalRecords(clock)
        self._connections = UpstreamConnectionPool(clock, self._on_connections_dropped)
        self._direct: DirectDispatch | None = None
        if cfg.dispatch is Dispatch.DIRECT:
            self._direct = DirectDispatch(
                cfg,
                lambda: self.control.tables,
                self.registry,
                clock,
                lambda: self.control.settings_age_ms(),
            )
            self._splits = RouteSplits(self._direct)
        self.control = ControlClient(
            cfg.node.control, hello, self._node_row, clock, self, self._direct
        )
        self.arbiters = ArbiterClient(
            hello, lambda: self.control.tables, self, self._on_revoke
        )
        self._tokens = TokenClient(self.arbiters, clock, self._rate_of)
        self._pipeline = self._new_pipeline()
        self.app = EntryApp(self._pipeline, clock, dialect, self._current_view)
        limits = HttpLimits(
            cfg.header_timeout_s,
            cfg.body_timeout_s,
            cfg.idle_timeout_s,
            cfg.max_connections,
            idle_margin_s=_IDLE_MARGIN_S,
        )
        self.server = HttpServer(cfg.listen, self.app, limits, self.app.is_idempotent)
        self.admin = HttpServer(cfg.node.admin_listen, admin_app(self.is_ready))
        self._greenlets: list[gevent.Greenlet] = []

    def start(self) -> None:
        """Start serving; requests are refused until the settings are current."""
        self.admin.start()
        self.server.start()
        self.control.start()
        self._tokens.start()
        self._greenlets = [
            gevent.spawn(self._watch_loop),
            gevent.spawn(self._sweep_loop),
        ]
        log_event("entry_started", listen=self.server.address, admin=self.admin.address)

    def stop(self) -> None:
        """Drain in-flight requests for up to `drain_s`, then shut down.

        Requests that are left then are refused: as not run if they wait to be sent, and
        with an unknown outcome if their upstream has not answered.
        """
        self._admission.stopping = True
        self.server.drain()
        log_event("entry_draining", running=self.app.running)
        end_ms = self._clock.now_ms() + self._cfg.drain_s * 1000.0
        gevent.sleep(min(self._cfg.unready_s, self._cfg.drain_s))
        self._admission.closed = True
        gevent.sleep(min(_UNREADY_GRACE_S, self._remaining_s(end_ms)))
        drained = self._wait_until_idle(self._remaining_s(end_ms))
        self.server.stop()
        if not drained:
            self._pipeline.refuse_waiting()
            count = self.registry.cancel_unanswered("the entry is stopping")
            log_event("drain_timed_out", running=self.app.running, cancelled=count)
        left_s = min(_UNREADY_GRACE_S, self._remaining_s(end_ms))
        self.server.wait_closed(max(_LAST_ANSWERS_S, left_s))
        gevent.killall(self._greenlets)
        self._tokens.stop()
        self._connections.close_all()
        # Lets queued permit releases and token returns go out before streams close.
        gevent.sleep(_WATCH_INTERVAL_S)
        self.control.stop()
        self.arbiters.stop()
        self.admin.stop()
        self.app.log_unfinished()
        log_event("entry_stopped", drained=drained)

    def abort(self) -> None:
        """Stop immediately, without draining."""
        self._admission.stopping = True
        self.server.stop()
        gevent.killall(self._greenlets)
        self._tokens.stop()
        self._connections.close_all()
        self.control.stop()
        self.arbiters.stop()
        self.admin.stop()

    def is_ready(self) -> bool:
        """Return True if the load balancer should send new requests."""
        return self.control.ready.is_set() and self._admission.is_ready(
            self.control.settings_age_ms()
        )

    def on_tables_changed(self, update: FeedUpdate) -> None:
        """Apply an update of the feed tables."""
        tables = self.control.tables
        settings = tables.settings
        if settings is not None and (
            self._view is None or self._view.revision != tables.revision
        ):
            self._view = SettingsView(
                tables.revision, settings, self._dialect, self._splits
            )
            self._admission.apply_settings(settings)
            if settings.limits is not None:
                self.server.set_limits(_http_limits(settings.limits, self._cfg))
            log_event("settings_applied", revision=tables.revision)
        if self._direct is not None:
            self._direct.on_tables_changed(update)
        else:
            self.arbiters.on_tables_changed(update)
        if update.full or update.upstreams or update.removed:
            addresses = {row.address for row in tables.upstreams.values()}
            self._connections.close_unlisted(addresses)
        self._feed.notify()

    def running_permits(self, shard: str) -> list[RunningPermit]:
        """Return the permits of a shard that are in use."""
        return self.registry.running(shard)

    def kept_connections(self, shard: str) -> list[KeptConnections]:
        """Return the idle connections of a shard."""
        return self._connections.idle_counts(shard)

    def records(self, shard: str) -> list[RecordRow]:
        """Return the idempotency records of a shard."""
        return self._book.rows_of_shard(shard)

    def tokens_spent(self, shard: str) -> TokensSpent | None:
        """Return the rate tokens that a workspace used in its bucket's refill time.

        Returns None for other shards and for workspaces whose use is not tracked.
        """
        settings = self.control.tables.settings
        if settings is None or not is_workspace_shard(shard):
            return None
        limits = settings.workspace(shard.partition(":")[2])
        window_ms = spent_window_ms(limits) if limits is not None else None
        if limits is None or window_ms is None:
            return None
        return self._tokens.spent(limits.name, window_ms)

    def _new_pipeline(self) -> Pipeline:
        return Pipeline(
            self._stages(),
            self._admission,
            self._current_view,
            self.control.settings_age_ms,
            self._feed,
            self._clock,
            self._direct.new_budget if self._direct is not None else None,
            self._dialect,
        )

    def _stages(self) -> Stages:
        forward = ForwardStage(
            self._connections,
            self._release,
            self._clock,
            f"1.1 {self._cfg.node.node}",
            self._may_send,
            self._dialect,
        )
        if self._direct is not None:
            self._direct.tokens.request_ping = self.control.ping_now
            self._direct.paces.request_ping = self.control.ping_after
            return Stages(
                self._direct.tokens, NoClaims(), self._direct.permits, forward
            )

        def tables() -> FeedTables:
            return self.control.tables

        claims = ClaimStage(
            self.arbiters,
            self._book,
            tables,
            self._feed,
            self._clock,
            self._cfg.node.vm,
        )
        permits = PermitStage(
            tables, self.arbiters, self.registry, self._feed, self._clock
        )
        return Stages(self._tokens, claims, permits, forward)

    def _current_view(self) -> SettingsView | None:
        return self._view if self.control.ready.is_set() else None

    def _rate_of(self, workspace: str) -> float:
        view = self._view
        found = view.settings.workspace(workspace) if view is not None else None
        return found.rate_per_s if found is not None else 1.0

    def _node_row(self) -> NodeRow:
        node = self._cfg.node
        return NodeRow(
            node.node, Role.ENTRY, self._hello.incarnation, node.vm, node.zone, ""
        )

    def _release(self, running: RunningAttempt, msg: PermitRelease) -> None:
        if self._direct is not None:
            self._direct.permits.release(running, msg)
            return
        self.registry.remove(running)
        self.arbiters.send(msg.shard, msg)

    def _on_connections_dropped(self, shard: str, upstream: str, count: int) -> None:
        self.arbiters.send(shard, ConnectionDropped(shard, upstream, count))

    def _on_revoke(self, msg: Revoke) -> None:
        count = self.registry.cancel(msg.shard, "revoked", msg.upstream)
        self._connections.close_idle(msg.shard, msg.upstream)
        log_event("revoked", shard=msg.shard, upstream=msg.upstream, attempts=count)

    def _may_send(self, shard: str) -> bool:
        """Return True if a request may be sent now under a permit of a shard."""
        if self._direct is not None:
            return not self._admission.is_stale(self.control.settings_age_ms())
        return self._holds_permits(shard)

    def _holds_permits(self, shard: str) -> bool:
        """Return True if this entry certainly still holds the permits of a shard."""
        if self._direct is not None:
            return True
        return self.control.session_is_valid() or self.arbiters.is_reachable(shard)

    def _watch_loop(self) -> None:
        """Cancel attempts whose permits may have been granted to other entries."""
        while True:
            gevent.sleep(self._watch_pause_s())
            for shard in self.registry.shards():
                if self._holds_permits(shard):
                    continue
                count = self.registry.cancel(shard, "the entry lost its session")
                log_event("attempts_cancelled", shard=shard, attempts=count)

    def _watch_pause_s(self) -> float:
        """Return the time until the next check, at most until the session ends."""
        left_s = self.control.session.remaining_ms(self._clock.now_ms()) / 1000.0
        return min(_WATCH_INTERVAL_S, left_s) if left_s > 0 else _WATCH_INTERVAL_S

    def _sweep_loop(self) -> None:
        while True:
            gevent.sleep(_SWEEP_INTERVAL_S)
            self._connections.close_stale()

    def _remaining_s(self, end_ms: float) -> float:
        return max(0.0, end_ms - self._clock.now_ms()) / 1000.0

    def _wait_until_idle(self, limit_s: float) -> bool:
        with contextlib.suppress(gevent.Timeout), gevent.Timeout(limit_s):
            while self.app.running:
                gevent.sleep(_DRAIN_POLL_S)
        return not self.app.running


def _http_limits(limits: CallerLimits, cfg: EntrySettings) -> HttpLimits:
    """Return the limits of the server under the settings."""
    return HttpLimits(
        limits.header_timeout_s,
        cfg.body_timeout_s,
        limits.idle_timeout_s,
        cfg.max_connections,
        limits.max_header_bytes,
        idle_margin_s=_IDLE_MARGIN_S,
    )
