"""Upstream selection by one entry, based on its local view of the upstreams."""

import random
from collections.abc import Callable, Collection, Mapping, Sequence
from enum import StrEnum
from typing import NamedTuple

from bergamotdrift.config.schema import ServiceKind, ServiceSettings
from bergamotdrift.deadline_admission import Reason
from bergamotdrift.direct_load import DirectLoad
from bergamotdrift.feed_tables import FeedTables, UpstreamId
from bergamotdrift.leader_pace_client import LeaderPaceClient
from bergamotdrift.messages import (
    PartitionState,
    RangeRow,
    Role,
    UpstreamReport,
    UpstreamSpeed,
    UpstreamState,
)
from bergamotdrift.overload import (
    OVERLOAD_MIN_ENTRIES,
    Draw,
    GateDecision,
    OverloadGate,
)
from bergamotdrift.request import RoutedRequest
from bergamotdrift.routing_key import key_number
from bergamotdrift.upstream_statements import UpstreamStatements
from bergamotdrift.version_share import VersionShare

# Cost of an upstream in another availability zone, as a multiple of the usual
# response time.
ZONE_COST = 0.8
ZONE_COST_PER_KB = 0.03
# Assumed size of a chunked body, whose length is unknown in advance.
CHUNKED_BODY_BYTES = 64 * 1024
_JITTER = 0.05
_TYPICAL_HANDOVER_MS = 400.0
# Relative change of an upstream's response time that is reported.
_MIN_SPEED_CHANGE = 0.25


class QueueWait(StrEnum):
    """How long to queue a request for which no upstream is available."""

    NONE = "none"
    # The condition may last for seconds.
    SHORT = "short"
    # The condition clears soon.
    LONG = "long"
    # The control leader says when it may clear, within a round trip.
    PACE = "pace"


class Blocked(NamedTuple):
    """Reason why no upstream is available, and how long to queue the request."""

    reason: str
    queue_wait: QueueWait = QueueWait.LONG
    # Before this time no request is sent, or None if that is not known.
    free_at_ms: float | None = None
    # Set if the request is refused by the admission control.
    cause: Reason | None = None
    # The cold upstream that a token of the control leader is missing for.
    cold: UpstreamId | None = None


class Chosen(NamedTuple):
    """Upstream selected for a request, and the key range it was selected by, if any."""

    load: DirectLoad
    key_range: RangeRow | None = None


class DirectSelector:
    """Select upstreams according to the tables of the feed."""

    def __init__(
        self, node: str, zone: str, rng: random.Random, paces: LeaderPaceClient
    ):
        self._zone = zone
        self._rng = rng
        self.paces = paces
        self.statements = UpstreamStatements(node, rng)
        self.overloads = OverloadGate(rng)
        self.versions = VersionShare(node)
        self.loads: dict[UpstreamId, DirectLoad] = {}
        self._by_service: dict[str, list[DirectLoad]] = {}
        self._entries = 1
        # Live entries in this entry's availability zone, itself included.
        self._zone_entries = 1
        self._evacuated: frozenset[str] = frozenset()
        # Ranges that are being handed over, and when this entry first saw that.
        self._handover_since_ms: dict[RangeRow, float] = {}
        self._ranged_services: frozenset[str] = frozenset()
        # Whether requests are admitted by deadline: in sites without workspaces.
        self.uses_admission = False
        self._reported_speeds: dict[UpstreamId, float] = {}

    def update(self, tables: FeedTables, now_ms: float) -> None:
        """Apply changed tables."""
        entries = list(tables.nodes_of(Role.ENTRY))
        in_zone = sum(row.zone == self._zone for row in entries)
        self._entries = max(1, len(entries))
        self._zone_entries = max(1, in_zone)
        members = frozenset(row.node for row in entries)
        self.statements.share.set_members(members)
        self._update_upstreams(tables, now_ms)
        self._update_evacuations(tables, now_ms)
        self.uses_admission = (
            tables.settings is not None and not tables.settings.workspaces
        )
        services = tables.settings.services if tables.settings else ()
        self._ranged_services = frozenset(
            s.name for s in services if s.kind is ServiceKind.RANGED
        )
        self._reported_speeds = {
            key: speed
            for key, speed in self._reported_speeds.items()
            if key in self.loads
        }
        self.paces.update(members, set(self.loads))
        upstreams = {key.upstream for key in self.loads}
        self.statements.share.retain(upstreams)
        self._handover_since_ms = {
            row: self._handover_since_ms.get(row, now_ms)
            for row in tables.ranges.values()
            if row.state is not PartitionState.OWNED
        }
        self._by_service = {}
        for key, load in self.loads.items():
            self._by_service.setdefault(key.service, []).append(load)

    def _update_upstreams(self, tables: FeedTables, now_ms: float) -> None:
        for key in self.loads.keys() - tables.upstreams.keys():
            del self.loads[key]
        for key, row in tables.upstreams.items():
            service = tables.settings.service(key.service) if tables.settings else None
            if service is None:
                continue
            load = self.loads.get(key)
            if load is None:
                self.loads[key] = DirectLoad(row, service.slots)
            elif load.row != row:
                load.replace_row(row, cold_start_ms(service), now_ms)

    def _update_evacuations(self, tables: FeedTables, now_ms: float) -> None:
        """Treat upstreams of a zone as cold once its evacuation ends; they may be."""
        returned = self._evacuated - tables.evacuated
        self._evacuated = tables.evacuated
        for key, load in self.loads.items():
            service = tables.settings.service(key.service) if tables.settings else None
            if load.row.zone in returned and service is not None:
                load.mark_maybe_cold(cold_start_ms(service), now_ms)

    def changed_speeds(self) -> list[UpstreamSpeed]:
        """Return the response times of ranged upstreams that changed since reported."""
        changed = []
        for key, load in self.loads.items():
            reported = self._reported_speeds.get(key, 0.0)
            if key.service not in self._ranged_services or not load.busy_ms:
                continue
            if abs(load.busy_ms - reported) > _MIN_SPEED_CHANGE * reported:
                self._reported_speeds[key] = load.busy_ms
                changed.append(UpstreamSpeed(*key, round(load.busy_ms)))
        return changed

    def due_reports(self, now_ms: float) -> list[UpstreamReport]:
        """Return what upstreams have stated and the leader should know."""
        return self.statements.due_reports(self.loads, now_ms)

    def select(
        self,
        routed: RoutedRequest,
        tables: FeedTables,
        excluded: Collection[str],
        now_ms: float,
    ) -> Chosen | Blocked:
        """Return the upstream for a request, or why none is available now."""
        if routed.service.kind is ServiceKind.RANGED:
            return self._select_key_owner(routed, tables, now_ms)
        return self._select_from_pool(routed, excluded, now_ms)

    def overloaded(
        self, routed: RoutedRequest, tables: FeedTables, now_ms: float
    ) -> Blocked | None:
        """Return why a new request for a key is refused at once, or None."""
        if self._entries < OVERLOAD_MIN_ENTRIES:
            return None
        row = tables.range_of(routed.service.name, int(routed.routing_key))
        if row is None or row.state is not PartitionState.OWNED:
            return None
        owner = UpstreamId(row.service, row.upstream)
        if not self.overloads.refuses(owner, now_ms):
            return None
        left_ms = routed.deadline_ms - now_ms
        free_at_ms = now_ms + 1000.0 * self.overloads.retry_after_s(left_ms)
        reason = f"full: {row.upstream} is offered more than it can serve"
        return Blocked(reason, QueueWait.NONE, free_at_ms)

    def gate(
        self,
        routed: RoutedRequest,
        draw: Draw,
        mix: Mapping[int, float],
        tables: FeedTables,
        now_ms: float,
    ) -> tuple[str, GateDecision]:
        """Return a key's upstream, and whether a new request for it may be sent.

        An upstream that was just seen idle is never held to be overloaded.
        """
        row = tables.range_of(routed.service.name, int(routed.routing_key))
        is_owned = row is not None and row.state is PartitionState.OWNED
        if row is None or not is_owned or self._entries < OVERLOAD_MIN_ENTRIES:
            return "", GateDecision(True)
        owner = UpstreamId(row.service, row.upstream)
        decision = self.overloads.decide(owner, draw, mix, now_ms)
        load = self.loads.get(owner)
        if not decision.admitted and load is not None and load.has_free_slot(now_ms):
            return row.upstream, decision._replace(admitted=True)
        return row.upstream, decision

    def own_requests(self, service: str, now_ms: float) -> int:
        """Return this entry's requests in flight that may still be answered."""
        loads = self._by_service.get(service, ())
        return sum(load.answerable(now_ms) for load in loads if load.in_flight)

    def entries_per_upstream(self, service: str) -> float:
        """Return how many entries there are for each upstream, 0 for a small fleet."""
        if self._entries < OVERLOAD_MIN_ENTRIES:
            return 0.0
        return self._entries / max(1, len(self._by_service.get(service, ())))

    def _select_key_owner(
        self, routed: RoutedRequest, tables: FeedTables, now_ms: float
    ) -> Chosen | Blocked:
        row = tables.range_of(routed.service.name, int(routed.routing_key))
        if row is None:
            return Blocked("no upstream holds the key", QueueWait.SHORT)
        if row.state is not PartitionState.OWNED:
            return self._blocked_by_handover(row, now_ms)
        load = self.loads.get(UpstreamId(row.service, row.upstream))
        if load is None or load.row.incarnation != row.incarnation:
            return Blocked("the upstream that holds the key is gone", QueueWait.SHORT)
        if self.versions.bars_owner(load.row.service, load.row.version):
            return Blocked("the upstream that holds the key is of a barred version")
        reason = self._blocking_reason(load, routed.service, now_ms)
        if not reason:
            return Chosen(load, row)
        blocked = _blocked_by_all({reason}, [load])
        blocked = self._with_pace(blocked, [load] if reason == "cold" else [])
        return blocked._replace(reason=f"{reason} at {load.describe(now_ms)}")

    def _blocked_by_handover(self, row: RangeRow, now_ms: float) -> Blocked:
        """Queue for a handover, more briefly if it takes longer than usual."""
        since_ms = self._handover_since_ms.setdefault(row, now_ms)
        is_late = now_ms - since_ms > _TYPICAL_HANDOVER_MS
        queue_wait = QueueWait.SHORT if is_late else QueueWait.LONG
        return Blocked("the key is changing its upstream", queue_wait)

    def _select_from_pool(
        self, routed: RoutedRequest, excluded: Collection[str], now_ms: float
    ) -> Chosen | Blocked:
        known = self._by_service.get(routed.service.name, [])
        if not known:
            return Blocked("no upstream is known", QueueWait.NONE)
        *preferred, last = self.versions.groups(routed.service.name, known)
        for group in preferred:
            others = [load for load in group if load.row.upstream not in excluded]
            found = self._select_among(others, routed, (), now_ms)
            if isinstance(found, Chosen):
                return found
        return self._select_among(last, routed, excluded, now_ms)

    def _select_among(
        self,
        known: Sequence[DirectLoad],
        routed: RoutedRequest,
        excluded: Collection[str],
        now_ms: float,
    ) -> Chosen | Blocked:
        """Select from the upstreams that a request may go to, as of their version."""
        if not known:
            return Blocked("no upstream of a version in use", QueueWait.SHORT)
        others = [load for load in known if load.row.upstream not in excluded]
        reasons: set[str] = set()
        free = []
        cold = []
        for load in others or known:
            reason = self._blocking_reason(load, routed.service, now_ms)
            if not reason:
                free.append(load)
                continue
            reasons.add(reason)
            if reason == "cold":
                cold.append(load)
        cost = self._cost(routed, now_ms)
        if not free:
            return self._with_pace(_blocked_by_all(reasons, others or known), cold)
        best = min([*free, *cold], key=cost)
        if best in free:
            return Chosen(best)
        # The next request may find a token there.
        self.paces.note_demand(key_of(best))
        return Chosen(min(free, key=cost))

    def _with_pace(self, blocked: Blocked, cold: Collection[DirectLoad]) -> Blocked:
        """Add the upstream to ask a token for, and when there may be one."""
        if not cold:
            return blocked
        times = {key_of(load): self.paces.free_at_ms(key_of(load)) for load in cold}
        first = min(times, key=lambda key: times[key] or 0.0)
        if blocked.queue_wait is not QueueWait.PACE:
            # A full upstream may have room before then.
            return blocked._replace(cold=first)
        return blocked._replace(free_at_ms=times[first], cold=first)

    def has_upstream_in_zone(
        self, service: ServiceSettings, routing_key: str, tables: FeedTables
    ) -> bool:
        """Return whether an upstream in the entry's zone can serve a request."""
        if service.kind is not ServiceKind.RANGED:
            known = self._by_service.get(service.name, ())
            return any(self._is_available_in_zone(load) for load in known)
        key = key_number(routing_key)
        if key is None:
            return False
        row = tables.range_of(service.name, key)
        if row is None or row.state is not PartitionState.OWNED:
            return False
        load = self.loads.get(UpstreamId(row.service, row.upstream))
        return load is not None and self._is_available_in_zone(load)

    def _is_available_in_zone(self, load: DirectLoad) -> bool:
        in_open_zone = load.row.zone == self._zone and self._zone not in self._evacuated
        is_leaving = _is_leaving(load)
        return in_open_zone and not is_leaving and not load.is_down

    def has_alternative(self, service: str, upstream: str) -> bool:
        """Return whether a pool has another upstream that can serve requests."""
        *_, usable = self.versions.groups(service, self._by_service.get(service, ()))
        return any(
            load.row.upstream != upstream
            and not load.is_down
            and not _is_leaving(load)
            and load.row.zone not in self._evacuated
            for load in usable
        )

    def _cost(
        self, routed: RoutedRequest, now_ms: float
    ) -> Callable[[DirectLoad], float]:
        length = routed.req.body.length
        size = CHUNKED_BODY_BYTES if length is None else length
        remote_cost = ZONE_COST + ZONE_COST_PER_KB * size / 1024.0

        def cost(load: DirectLoad) -> float:
            jitter = 1.0 + _JITTER * self._rng.random()
            zone_cost = remote_cost if load.row.zone != self._zone else 0.0
            return load.expected_cost(now_ms) * jitter + zone_cost

        return cost

    def _blocking_reason(
        self, load: DirectLoad, service: ServiceSettings, now_ms: float
    ) -> str:
        """Return why an upstream can't accept a request now, or an empty string."""
        owns_key = service.kind is ServiceKind.RANGED
        if load.row.state is UpstreamState.LEAVING or self.statements.leaves(
            load, owns_key, now_ms
        ):
            return "leaving"
        if load.row.zone in self._evacuated:
            return "evacuated"
        if now_ms < load.paused_until_ms:
            return "paused"
        has_room = load.may_take if self.uses_admission else load.has_room
        if not has_room(self._sharing_entries(load, service), now_ms):
            return "down" if load.is_down else "full"
        if is_paced(load, service, now_ms) and not self.paces.has_token(
            key_of(load), service
        ):
            return "cold"
        if not self.statements.has_room(load, now_ms):
            return "limited"
        return ""

    def _sharing_entries(self, load: DirectLoad, service: ServiceSettings) -> int:
        """Return how many entries share the capacity of an upstream.

        A pool's upstreams are mainly used by entries in the same availability zone.
        """
        in_zone = load.row.zone == self._zone
        if service.kind is ServiceKind.POOL and in_zone:
            return self._zone_entries
        return self._entries


def _is_leaving(load: DirectLoad) -> bool:
    """Return whether an upstream announced or said that it leaves."""
    return load.row.state is UpstreamState.LEAVING or load.leaves_since_ms is not None


def _blocked_by_all(reasons: set[str], loads: Collection[DirectLoad]) -> Blocked:
    """Combine the reasons of a pool; full and cold upstreams free up soon.

    A share of a limit frees up only after seconds, so its requests are refused at once.
    Upstreams that all want nothing for a while say until when.
    """
    if reasons == {"paused"}:
        free_at_ms = min(load.paused_until_ms for load in loads)
        return Blocked("paused", QueueWait.LONG, free_at_ms)
    passing = reasons & {"full", "cold"}
    queue_wait = QueueWait.LONG if passing else QueueWait.SHORT
    if reasons == {"limited"}:
        queue_wait = QueueWait.NONE
    elif reasons == {"cold"}:
        queue_wait = QueueWait.PACE
    return Blocked("; ".join(sorted(reasons)), queue_wait)


def key_of(load: DirectLoad) -> UpstreamId:
    """Return the key of an upstream in the tables."""
    return UpstreamId(load.row.service, load.row.upstream)


def is_paced(load: DirectLoad, service: ServiceSettings, now_ms: float) -> bool:
    """Return whether each request to an upstream needs a token."""
    return service.cold_start.per_s > 0 and load.is_cold(now_ms)


def cold_start_ms(service: ServiceSettings) -> float:
    """Return the cold start duration of a service's upstreams, in milliseconds."""
    return service.cold_start.ramp_s * 1000.0
