"""Choice of an upstream by a single entry, from its own view of all upstreams."""

import random
from collections.abc import Callable, Collection
from enum import StrEnum
from typing import NamedTuple

from bergamotdrift.cold_start_share import ColdShare
from bergamotdrift.config.schema import ServiceKind, ServiceSettings
from bergamotdrift.direct_load import DirectLoad
from bergamotdrift.messages import (
    PartitionState,
    RangeRow,
    Role,
    UpstreamSpeed,
    UpstreamState,
)
from bergamotdrift.request import RoutedRequest
from bergamotdrift.routing_key import key_number
from bergamotdrift.tables import Tables, UpstreamId

# Costs of leaving the entry's availability zone, in units of a usual answer's time.
ZONE_COST = 0.8
ZONE_COST_PER_KB = 0.03
# A body sent in chunks does not state its length; it is taken to be this large.
CHUNKED_BODY_BYTES = 64 * 1024
_NOISE = 0.05
_HANDOVER_USUAL_MS = 400.0
# A change of an upstream's speed by this part is reported.
_SPEED_CHANGE = 0.25


class Patience(StrEnum):
    """Tell for how long a request that can't be sent should wait."""

    NONE = "none"
    # The obstacle may last for seconds.
    SHORT = "short"
    # The obstacle passes soon.
    LONG = "long"


class Blocked(NamedTuple):
    """Tell why a request can't be sent now, and how long to wait for a change."""

    reason: str
    patience: Patience = Patience.LONG


class Chosen(NamedTuple):
    """Hold the upstream chosen for a request, and the range that holds its key."""

    load: DirectLoad
    held: RangeRow | None = None


class DirectChoice:
    """Follow the tables and choose upstreams."""

    def __init__(self, node: str, zone: str, rng: random.Random):
        self._zone = zone
        self._rng = rng
        self.cold = ColdShare(node)
        self.loads: dict[UpstreamId, DirectLoad] = {}
        self._by_service: dict[str, list[DirectLoad]] = {}
        self._entries = 1
        # Live entries in this entry's availability zone, itself included.
        self._entries_near = 1
        self._evacuated: frozenset[str] = frozenset()
        # Ranges without a settled owner, and since when this entry knows.
        self._changing_since_ms: dict[RangeRow, float] = {}
        self._ranged: frozenset[str] = frozenset()
        self._stated_speeds: dict[UpstreamId, float] = {}

    def update(self, tables: Tables, now_ms: float) -> None:
        """Take changed tables."""
        entries = list(tables.nodes_of(Role.ENTRY))
        near = sum(row.zone == self._zone for row in entries)
        self._entries = max(1, len(entries))
        self._entries_near = max(1, near)
        self.cold.set_members(frozenset(row.node for row in entries))
        self._take_upstreams(tables, now_ms)
        self._take_evacuations(tables, now_ms)
        services = tables.settings.services if tables.settings else ()
        self._ranged = frozenset(
            s.name for s in services if s.kind is ServiceKind.RANGED
        )
        self._stated_speeds = {
            key: speed
            for key, speed in self._stated_speeds.items()
            if key in self.loads
        }
        self.cold.forget({key.upstream for key in self.loads})
        self._changing_since_ms = {
            row: self._changing_since_ms.get(row, now_ms)
            for row in tables.ranges.values()
            if row.state is not PartitionState.OWNED
        }
        self._by_service = {}
        for key, load in self.loads.items():
            self._by_service.setdefault(key.service, []).append(load)

    def _take_upstreams(self, tables: Tables, now_ms: float) -> None:
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
                load.replace_row(row, cold_ms(service), now_ms)

    def _take_evacuations(self, tables: Tables, now_ms: float) -> None:
        """Treat upstreams of a zone that is taken back as cold, which they may be."""
        returned = self._evacuated - tables.evacuated
        self._evacuated = tables.evacuated
        for key, load in self.loads.items():
            service = tables.settings.service(key.service) if tables.settings else None
            if load.row.zone in returned and service is not None:
                load.suspect_cold(cold_ms(service), now_ms)

    def changed_speeds(self) -> list[UpstreamSpeed]:
        """Return the speeds of keyed upstreams that differ from what was stated."""
        changed = []
        for key, load in self.loads.items():
            stated = self._stated_speeds.get(key, 0.0)
            if key.service not in self._ranged or not load.busy_ms:
                continue
            if abs(load.busy_ms - stated) > _SPEED_CHANGE * stated:
                self._stated_speeds[key] = load.busy_ms
                changed.append(UpstreamSpeed(*key, round(load.busy_ms)))
        return changed

    def choose(
        self,
        routed: RoutedRequest,
        tables: Tables,
        excluded: Collection[str],
        now_ms: float,
    ) -> Chosen | Blocked:
        """Return an upstream for a request, or why none may get it now."""
        if routed.service.kind is ServiceKind.RANGED:
            return self._choose_holder(routed, tables, now_ms)
        return self._choose_free(routed, excluded, now_ms)

    def _choose_holder(
        self, routed: RoutedRequest, tables: Tables, now_ms: float
    ) -> Chosen | Blocked:
        row = tables.range_of(routed.service.name, int(routed.routing_key))
        if row is None:
            return Blocked("no upstream holds the key", Patience.SHORT)
        if row.state is not PartitionState.OWNED:
            return self._changing(row, now_ms)
        load = self.loads.get(UpstreamId(row.service, row.upstream))
        if load is None or load.row.incarnation != row.incarnation:
            return Blocked("the upstream that holds the key is gone", Patience.SHORT)
        reason = self._obstacle(load, routed.service, now_ms)
        if not reason:
            return Chosen(load, row)
        blocked = _blocked({reason})
        return blocked._replace(reason=f"{reason} at {load.describe(now_ms)}")

    def _changing(self, row: RangeRow, now_ms: float) -> Blocked:
        """Wait for a hand-over, unless it already takes longer than one does."""
        since_ms = self._changing_since_ms.setdefault(row, now_ms)
        is_late = now_ms - since_ms > _HANDOVER_USUAL_MS
        patience = Patience.SHORT if is_late else Patience.LONG
        return Blocked("the key is changing its upstream", patience)

    def _choose_free(
        self, routed: RoutedRequest, excluded: Collection[str], now_ms: float
    ) -> Chosen | Blocked:
        known = self._by_service.get(routed.service.name, [])
        if not known:
            return Blocked("no upstream is known", Patience.NONE)
        others = [load for load in known if load.row.upstream not in excluded]
        reasons: set[str] = set()
        free = []
        for load in others or known:
            reason = self._obstacle(load, routed.service, now_ms)
            if reason:
                reasons.add(reason)
            else:
                free.append(load)
        if not free:
            return _blocked(reasons)
        return Chosen(min(free, key=self._cost(routed, now_ms)))

    def is_near(
        self, service: ServiceSettings, routing_key: str, tables: Tables
    ) -> bool:
        """Tell whether an upstream of the entry's zone would run a request."""
        if service.kind is not ServiceKind.RANGED:
            known = self._by_service.get(service.name, ())
            return any(self._may_run_near(load) for load in known)
        key = key_number(routing_key)
        if key is None:
            return False
        row = tables.range_of(service.name, key)
        if row is None or row.state is not PartitionState.OWNED:
            return False
        load = self.loads.get(UpstreamId(row.service, row.upstream))
        return load is not None and self._may_run_near(load)

    def _may_run_near(self, load: DirectLoad) -> bool:
        open_here = load.row.zone == self._zone and self._zone not in self._evacuated
        leaves = load.row.state is UpstreamState.LEAVING
        return open_here and not leaves and not load.is_down

    def has_other(self, service: str, upstream: str) -> bool:
        """Tell whether another upstream of a pool may run requests."""
        return any(
            load.row.upstream != upstream
            and not load.is_down
            and load.row.state is not UpstreamState.LEAVING
            and load.row.zone not in self._evacuated
            for load in self._by_service.get(service, ())
        )

    def _cost(
        self, routed: RoutedRequest, now_ms: float
    ) -> Callable[[DirectLoad], float]:
        length = routed.req.body.length
        size = CHUNKED_BODY_BYTES if length is None else length
        away = ZONE_COST + ZONE_COST_PER_KB * size / 1024.0

        def cost(load: DirectLoad) -> float:
            noise = 1.0 + _NOISE * self._rng.random()
            far = away if load.row.zone != self._zone else 0.0
            return load.expected(now_ms) * noise + far

        return cost

    def _obstacle(
        self, load: DirectLoad, service: ServiceSettings, now_ms: float
    ) -> str:
        """Return why an upstream may not get a request now, or an empty string."""
        if load.row.state is UpstreamState.LEAVING:
            return "leaving"
        if load.row.zone in self._evacuated:
            return "evacuated"
        if not load.has_room(self._sharers(load, service), now_ms):
            return "down" if load.is_down else "full"
        if load.is_cold(now_ms) and service.cold_start.per_s > 0:
            per_s = service.cold_start.per_s
            if not self.cold.has_room(load.row.upstream, per_s, now_ms):
                return "cold"
        return ""

    def _sharers(self, load: DirectLoad, service: ServiceSettings) -> int:
        """Return how many entries share the places of an upstream.

        Those of a pool are mainly used by the entries of their own availability zone.
        """
        is_near = load.row.zone == self._zone
        if service.kind is ServiceKind.POOL and is_near:
            return self._entries_near
        return self._entries


def _blocked(reasons: set[str]) -> Blocked:
    """Return why no upstream can get a request; full and cold ones soon can."""
    soon = reasons & {"full", "cold"}
    patience = Patience.LONG if soon else Patience.SHORT
    return Blocked("; ".join(sorted(reasons)), patience)


def cold_ms(service: ServiceSettings) -> float:
    """Return how long an upstream of a service stays cold."""
    return service.cold_start.ramp_s * 1000.0
