"""Commands that give key ranges their owners and take them away."""

from collections.abc import Collection, Iterable, Sequence
from functools import cached_property
from typing import NamedTuple, Protocol

from bergamotdrift import commands_log as cmd
from bergamotdrift.config.schema import ServiceKind, ServiceSettings
from bergamotdrift.control_state import ControlState
from bergamotdrift.key_loads import KeyLoads
from bergamotdrift.messages import (
    LAST_KEY,
    KeyLoad,
    Message,
    PartitionState,
    RangeRow,
    UpstreamRow,
    UpstreamSpeed,
    UpstreamState,
)
from bergamotdrift.range_balance import RowLoad, choose_cuts, loads_of
from bergamotdrift.range_leases import RangeLeases, UpstreamRun, run_of
from bergamotdrift.tables import UpstreamId

# Upstreams that start together share the keys if the first one waits for them.
FIRST_PLACEMENT_DELAY_MS = 1500.0
BALANCE_INTERVAL_MS = 500.0
# A moved range stays for this long, so that noise in loads does not move it back.
REST_MS = 2500.0
MOVES_PER_BALANCE = 5
# A large service moves one range for this many upstreams at a time.
_UPSTREAMS_PER_MOVE = 8
# Among many upstreams some ranges always change; a small service waits for all.
_UPSTREAMS_PER_CHANGE = 16
# Bounds of what a few slow or quick answers may make of an upstream.
_BUSY_MIN_MS = 5.0
_BUSY_MAX_MS = 2000.0
_BUSY_UNKNOWN_MS = 100.0
# Each range is renewed by a call of its own, so their number is bounded.
RANGES_PER_UPSTREAM = 12
# Announcements come about every second, and may be late.
RECENT_MS = 4000.0
# The keys of an upstream that leaves go to this many others at the most.
_PIECES = 4


class Presence(Protocol):
    """Tell when upstreams were last heard of."""

    def last_seen_ms(self, row: UpstreamRow) -> float:
        """Return when an upstream announced itself last."""
        ...


class _Moved(NamedTuple):
    service: str
    first: int


class RangePlanner:
    """Plan the next steps of all ranged services; pure, with the time passed in."""

    def __init__(self, state: ControlState, presence: Presence, opened_at_ms: float):
        self._state = state
        self._presence = presence
        self.leases = RangeLeases(opened_at_ms)
        self._loads: dict[str, KeyLoads] = {}
        self._first_seen_ms: dict[str, float] = {}
        self._moved_ms: dict[_Moved, float] = {}
        self._takers: dict[_Moved, str] = {}
        self._speeds: dict[UpstreamId, dict[str, float]] = {}
        self._balanced_ms = opened_at_ms

    def add_loads(self, loads: Sequence[KeyLoad], now_ms: float) -> None:
        """Take in an entry's report of requests by key."""
        for name in {item.service for item in loads}:
            known = self._loads.setdefault(name, KeyLoads())
            known.add((item for item in loads if item.service == name), now_ms)

    def add_speeds(self, node: str, speeds: Sequence[UpstreamSpeed]) -> None:
        """Take in how long upstreams take, as one entry sees it."""
        for item in speeds:
            of_nodes = self._speeds.setdefault(
                UpstreamId(item.service, item.upstream), {}
            )
            of_nodes[node] = min(max(item.busy_ms, _BUSY_MIN_MS), _BUSY_MAX_MS)

    def busy_share(self, key: UpstreamId) -> float:
        """Return which part of an upstream one request per second keeps busy."""
        row = self._state.rows.upstreams.get(key)
        slots = max(1, row.slots) if row is not None else 1
        busy_ms = _median_of(self._speeds.get(key, {}).values())
        busy_ms = busy_ms or self._usual_busy_ms()
        return busy_ms / 1000.0 / slots

    def _usual_busy_ms(self) -> float:
        """Return what is usual for all upstreams, for one that is not known yet."""
        known = [_median_of(of_nodes.values()) for of_nodes in self._speeds.values()]
        return _median_of(known) or _BUSY_UNKNOWN_MS

    def commands(self, now_ms: float) -> list[Message]:
        """Return the changes of ranges that are due."""
        commands: list[Message] = []
        balance = now_ms - self._balanced_ms >= BALANCE_INTERVAL_MS
        if balance:
            self._balanced_ms = now_ms
        for service in self._services():
            steps = _Steps(self, service, now_ms)
            due = steps.due()
            commands += due
            if balance:
                commands += steps.balance(len(due))
        self._forget(now_ms)
        return commands

    def is_lost(self, run: UpstreamRun, now_ms: float) -> bool:
        """Tell whether the grants of an upstream are no longer renewed."""
        row = self.row_of(run)
        if row is None:
            return True
        seen_ms = self._presence.last_seen_ms(row)
        return self.leases.is_failing(run, seen_ms, now_ms)

    def row_of(self, run: UpstreamRun) -> UpstreamRow | None:
        """Return the row of a registered run of an upstream, or None."""
        key = UpstreamId(run.service, run.upstream)
        row = self._state.rows.upstreams.get(key)
        return row if row is not None and row.incarnation == run.incarnation else None

    def was_replaced(self, run: UpstreamRun) -> bool:
        """Tell whether a later run of the same upstream is registered."""
        key = UpstreamId(run.service, run.upstream)
        row = self._state.rows.upstreams.get(key)
        return row is not None and row.incarnation != run.incarnation

    def _services(self) -> list[ServiceSettings]:
        current = self._state.settings.current
        services = current.services if current is not None else ()
        return [s for s in services if s.kind is ServiceKind.RANGED]

    def _forget(self, now_ms: float) -> None:
        rows = set(self._state.rows.ranges.rows())
        self.leases.forget(rows, {run_of(row) for row in rows})
        known = self._state.rows.upstreams
        self._speeds = {key: of for key, of in self._speeds.items() if key in known}
        self._moved_ms = {
            key: at for key, at in self._moved_ms.items() if now_ms - at < REST_MS
        }


class _Steps:
    """Plan one service in one round."""

    def __init__(self, planner: RangePlanner, service: ServiceSettings, now_ms: float):
        self._planner = planner
        self._state = planner._state
        self._service = service.name
        self._now_ms = now_ms
        self._rows = self._state.rows.ranges_of(service.name)
        # Loads given to upstreams in this round.
        self._assigned: dict[str, float] = {}
        self._able = self._able_upstreams()

    @cached_property
    def _loads(self) -> dict[RangeRow, RowLoad]:
        """Return the load of each range; most rounds need none."""
        known = self._planner._loads.setdefault(self._service, KeyLoads())
        return loads_of(self._rows, known.rates(self._now_ms))

    def due(self) -> list[Message]:
        """Return first placements, forced releases and next owners."""
        if not self._able:
            return []
        if not self._rows:
            return self._first_placement()
        commands: list[Message] = []
        for row in self._rows:
            commands += self._step(row)
        return commands

    def balance(self, due: int) -> list[Message]:
        """Return releases of keys that should move to less loaded upstreams.

        `due` counts the other changes of this round.
        """
        changing = sum(row.state is not PartitionState.OWNED for row in self._rows)
        if not self._able or changing + due > len(self._able) // _UPSTREAMS_PER_CHANGE:
            return []
        owned: dict[str, list[RowLoad]] = {name: [] for name in self._able}
        for row in self._rows:
            owner = self._next_owner(row)
            if owner in owned:
                owned[owner].append(self._loads[row])
        moved = self._planner._moved_ms
        leases = self._planner.leases
        resting = frozenset(
            row
            for row in self._rows
            if row.state is not PartitionState.OWNED
            or _Moved(row.service, row.first) in moved
            or leases.is_given_up(row)
            or not leases.is_settled(row, self._now_ms)
        )
        room = RANGES_PER_UPSTREAM * len(self._able) - len(self._rows)
        most = max(MOVES_PER_BALANCE, len(self._able) // _UPSTREAMS_PER_MOVE)
        limit = min(most, room // 2)
        commands: list[Message] = []
        shares = {
            name: self._planner.busy_share(UpstreamId(self._service, name))
            for name in owned
        }
        for cut in choose_cuts(owned, shares, limit, resting):
            key = _Moved(self._service, cut.first)
            self._planner._takers[key] = cut.taker
            self._planner._moved_ms[key] = self._now_ms
            commands.append(self._replace(cut.row, _cut_out(cut.row, *cut[1:3])))
        return commands

    def _next_owner(self, row: RangeRow) -> str:
        """Return who is to own a range once it is released, else its owner."""
        if row.state is not PartitionState.RELEASING:
            return row.upstream
        key = _Moved(row.service, row.first)
        return self._planner._takers.get(key, row.upstream)

    def _first_placement(self) -> list[Message]:
        first_ms = self._planner._first_seen_ms.setdefault(self._service, self._now_ms)
        if self._now_ms - first_ms < FIRST_PLACEMENT_DELAY_MS:
            return []
        rows = []
        count = len(self._able)
        # Spreading by zone keeps neighbouring ranges in different zones.
        owners = sorted(self._able.values(), key=lambda row: (row.upstream, row.zone))
        for number, owner in enumerate(owners):
            first = number * (LAST_KEY + 1) // count
            last = (number + 1) * (LAST_KEY + 1) // count - 1
            rows.append(self._owned(first, last, owner, ""))
        return [cmd.ReplaceRanges(self._service, [], rows)]

    def _step(self, row: RangeRow) -> list[Message]:
        planner = self._planner
        if not row.upstream or planner.leases.is_given_up(row):
            return [self._assign(row, "")]
        if row.state is PartitionState.RELEASING:
            if self._has_ended(row):
                return [self._assign(row, planner.leases.handover_of(row) or "")]
            return []
        owner = planner.row_of(run_of(row))
        if owner is None or planner.is_lost(run_of(row), self._now_ms):
            if not self._has_ended(row):
                return []
            planner.leases.give_up(row)
            return [self._assign(row, "")]
        if row.state is PartitionState.VACANT:
            if not planner.leases.is_accepted(row):
                return []
            return [self._replace(row, [row._replace(state=PartitionState.OWNED)])]
        # Keys that are released earlier would have no owner until then.
        if self._must_leave(owner) and planner.leases.knows_grants(self._now_ms):
            return [self._replace(row, self._pieces(row))]
        return []

    def _has_ended(self, row: RangeRow) -> bool:
        if self._planner.was_replaced(run_of(row)):
            # The earlier run of the process is over, and its grants with it.
            return True
        return self._planner.leases.has_ended(row, self._now_ms)

    def _assign(self, row: RangeRow, handover: str) -> Message:
        key = _Moved(row.service, row.first)
        wanted = self._planner._takers.pop(key, "")
        owner = self._able.get(wanted) or self._least_loaded()
        self._planner._moved_ms[key] = self._now_ms
        self._assigned[owner.upstream] = self._assigned.get(
            owner.upstream, 0.0
        ) + self._weight(row)
        return self._replace(row, [self._owned(row.first, row.last, owner, handover)])

    def _least_loaded(self) -> UpstreamRow:
        return min(
            self._able.values(),
            key=lambda up: (self._load_of(up.upstream), up.upstream),
        )

    def _load_of(self, upstream: str) -> float:
        owned = [row for row in self._rows if row.upstream == upstream]
        releasing = PartitionState.RELEASING
        own = sum(self._weight(row) for row in owned if row.state is not releasing)
        share = self._planner.busy_share(UpstreamId(self._service, upstream))
        return (own + self._assigned.get(upstream, 0.0)) * share

    def _weight(self, row: RangeRow) -> float:
        """Return the load of a range; idle keys count a little, by their number."""
        span = (row.last - row.first + 1) / (LAST_KEY + 1)
        return self._loads[row].per_s + span

    def _pieces(self, row: RangeRow) -> list[RangeRow]:
        """Return a range under release, in pieces of about equal load."""
        rates = self._loads[row].rates
        count = min(_PIECES, len(self._able), row.last - row.first + 1)
        total = self._loads[row].per_s
        if count < 2 or total <= 0.0:
            return [row._replace(state=PartitionState.RELEASING)]
        starts = [row.first]
        sent = 0.0
        for rate in rates:
            sent += rate.per_s
            due = len(starts) * total / count
            if sent >= due and len(starts) < count and rate.key < row.last:
                starts.append(rate.key + 1)
        ends = [start - 1 for start in starts[1:]] + [row.last]
        return [
            row._replace(first=first, last=last, state=PartitionState.RELEASING)
            for first, last in zip(starts, ends, strict=True)
        ]

    def _replace(self, row: RangeRow, rows: Iterable[RangeRow]) -> Message:
        return cmd.ReplaceRanges(self._service, [row], list(rows))

    def _owned(
        self, first: int, last: int, owner: UpstreamRow, handover: str
    ) -> RangeRow:
        return RangeRow(
            self._service,
            first,
            last,
            owner.upstream,
            owner.incarnation,
            0,
            # Requests are sent to it only once it has accepted the grant.
            PartitionState.VACANT,
            handover,
        )

    def _must_leave(self, owner: UpstreamRow) -> bool:
        leaving = owner.state is UpstreamState.LEAVING
        return leaving or owner.zone in self._state.evacuated

    def _able_upstreams(self) -> dict[str, UpstreamRow]:
        """Return the upstreams that may get keys, cold ones only if all are."""
        rows = [
            row
            for row in self._state.rows.upstreams.rows()
            if row.service == self._service
            and not self._must_leave(row)
            and not self._planner.is_lost(
                UpstreamRun(row.service, row.upstream, row.incarnation), self._now_ms
            )
            and self._is_recent(row)
        ]
        warm = [row for row in rows if row.state is UpstreamState.READY]
        return {row.upstream: row for row in sorted(warm or rows)}

    def _is_recent(self, row: UpstreamRow) -> bool:
        seen_ms = self._planner._presence.last_seen_ms(row)
        return self._now_ms - seen_ms < RECENT_MS


def _median_of(values: Collection[float]) -> float:
    """Return the lower median, or 0 without values.

    An answer that was lost at one entry does not make an upstream look slow.
    """
    return sorted(values)[(len(values) - 1) // 2] if values else 0.0


def _cut_out(row: RangeRow, first: int, last: int) -> list[RangeRow]:
    """Return a range with the keys `first` to `last` under release."""
    rows = [row._replace(first=first, last=last, state=PartitionState.RELEASING)]
    if row.first < first:
        rows.append(row._replace(last=first - 1))
    if last < row.last:
        rows.append(row._replace(first=last + 1))
    return rows
