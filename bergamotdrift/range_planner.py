"""Planning of the commands that assign and release key ranges."""

from collections.abc import Callable, Iterable, Mapping, Sequence
from functools import cached_property
from typing import Protocol

from bergamotdrift import control_commands as cmd
from bergamotdrift.config.schema import ServiceKind, ServiceSettings
from bergamotdrift.control_state import ControlState
from bergamotdrift.feed_tables import UpstreamId
from bergamotdrift.first_placement import FirstPlacement
from bergamotdrift.key_loads import KeyLoads
from bergamotdrift.load_ranking import LoadRanking
from bergamotdrift.messages import (
    LAST_KEY,
    KeyLoad,
    Message,
    PartitionState,
    RangeRow,
    RolloutRow,
    UpstreamOverload,
    UpstreamRow,
    UpstreamState,
)
from bergamotdrift.overload import (
    OPEN_SITE_LIMITS,
    OVERLOAD_SMOOTHING_MS,
    overloads_of,
)
from bergamotdrift.planned_moves import PlannedMoves
from bergamotdrift.range_balance import (
    RangeMove,
    RowLoad,
    choose_range_moves,
    hot_keys,
    load_by_range,
)
from bergamotdrift.range_layout import (
    choose_compacting_moves,
    count_release_parts,
    join_ranges,
    joinable_ranges,
    max_ranges,
    split_by_load,
    split_off,
)
from bergamotdrift.range_leases import RangeLeases, UpstreamProcess, owner_process
from bergamotdrift.range_move_limits import changes_allowed, max_moves, noise_margin
from bergamotdrift.rollout_orders import is_barred
from bergamotdrift.rollout_ranges import (
    choose_returning_moves,
    choose_trial_moves,
    is_in_trial,
    may_be_balanced,
)
from bergamotdrift.upstream_speeds import UpstreamSpeeds

BALANCE_INTERVAL_MS = 500.0
# Announcements arrive about once per second, and may be late.
MAX_ANNOUNCEMENT_AGE_MS = 4000.0
# Planning yields to the event loop after this many ranges, about 1 ms of work.
_RANGES_PER_YIELD = 64


class Presence(Protocol):
    """Provide the time of the last announcement of upstreams."""

    def last_seen_ms(self, row: UpstreamRow) -> float:
        """Return the time of an upstream's last announcement, in clock milliseconds."""
        ...


class RangePlanner:
    """Plan the next changes of all ranged services.

    It does no I/O and reads no clock; callers pass the time.
    """

    def __init__(
        self,
        state: ControlState,
        presence: Presence,
        opened_at_ms: float,
        yield_to_loop: Callable[[], None] = lambda: None,
        new_leases: Callable[[float], RangeLeases] = RangeLeases,
    ):
        self._state = state
        self._presence = presence
        self._yield_to_loop = yield_to_loop
        self.leases = new_leases(opened_at_ms)
        self._loads: dict[str, KeyLoads] = {}
        self._first_placements: dict[str, FirstPlacement] = {}
        self._moves = PlannedMoves()
        self.speeds = UpstreamSpeeds()
        self._balanced_at_ms = opened_at_ms
        self._overloads: list[UpstreamOverload] | None = None
        # As `_loads`, with a shorter memory, for sites without workspaces.
        self._recent_loads: dict[str, KeyLoads] = {}

    def add_loads(self, loads: Sequence[KeyLoad], now_ms: float) -> None:
        """Add an entry's report of requests per key."""
        for name in {item.service for item in loads}:
            known = self._loads.setdefault(name, KeyLoads())
            known.add((item for item in loads if item.service == name), now_ms)
            if self.admits_by_deadline:
                recent = self._recent_loads.setdefault(
                    name, KeyLoads(OVERLOAD_SMOOTHING_MS)
                )
                recent.add((item for item in loads if item.service == name), now_ms)

    @property
    def admits_by_deadline(self) -> bool:
        """Whether entries admit requests by deadline: in sites without workspaces."""
        current = self._state.settings.current
        return current is not None and not current.workspaces

    def take_overloads(self) -> list[UpstreamOverload] | None:
        """Return the overloaded upstreams, or None if they were not planned anew."""
        overloads, self._overloads = self._overloads, None
        return overloads

    def commands(self, now_ms: float) -> list[Message]:
        """Return the range changes that are due."""
        commands: list[Message] = []
        is_balance_due = now_ms - self._balanced_at_ms >= BALANCE_INTERVAL_MS
        if is_balance_due:
            self._balanced_at_ms = now_ms
            self._overloads = []
        for service in self._services():
            plan = _ServicePlan(self, service, now_ms)
            due = plan.due_changes()
            commands += due
            if self._overloads is not None and is_balance_due:
                commands += plan.balancing_moves(len(due))
                self._overloads += plan.overloads()
        self._prune(now_ms)
        return commands

    def is_lost(self, process: UpstreamProcess, now_ms: float) -> bool:
        """Return whether the grants of an upstream are no longer renewed."""
        row = self.upstream_row(process)
        if row is None:
            return True
        seen_ms = self._presence.last_seen_ms(row)
        return self.leases.is_failing(process, seen_ms, now_ms)

    def upstream_row(self, process: UpstreamProcess) -> UpstreamRow | None:
        """Return the row of a registered upstream process, or None."""
        key = UpstreamId(process.service, process.upstream)
        row = self._state.rows.upstreams.get(key)
        return (
            row if row is not None and row.incarnation == process.incarnation else None
        )

    def must_release(self, process: UpstreamProcess, now_ms: float) -> bool:
        """Return whether a process owns ranges that it is about to release."""
        row = self.upstream_row(process)
        if row is None or not self.leases.earlier_grants_expired(now_ms):
            return False
        owned = {
            item
            for item in self._state.rows.ranges_owned(*process)
            if item.state is PartitionState.OWNED
        }
        if self.must_drain(row):
            return bool(owned)
        planned = self._moves.rows_to_release(process.service)
        return bool(owned & planned) and self.leases.may_release(process)

    def has_untold_release(self, process: UpstreamProcess) -> bool:
        """Return whether a range is under release and its owner does not know it."""
        return any(
            row.state is PartitionState.RELEASING and not self.leases.is_told(row)
            for row in self._state.rows.ranges_owned(*process)
        )

    def owners_before(self, process: UpstreamProcess) -> list[UpstreamProcess]:
        """Return the owners of the ranges that are about to move to a process."""
        releasing = [
            row
            for row in self._state.rows.ranges_of(process.service)
            if row.state is PartitionState.RELEASING
        ]
        return self._moves.owners_before(process, releasing)

    def must_drain(self, row: UpstreamRow) -> bool:
        """Return whether an upstream must give up all its ranges."""
        leaving = row.state is UpstreamState.LEAVING
        barred = is_barred(self.rollout(row.service), row.version)
        return leaving or barred or row.zone in self._state.evacuations.zones

    def rollout(self, service: str) -> RolloutRow | None:
        """Return the last rollout of a service, or None."""
        return self._state.rows.rollouts.get(service)

    def was_replaced(self, process: UpstreamProcess) -> bool:
        """Return whether another process of the same upstream is registered."""
        key = UpstreamId(process.service, process.upstream)
        row = self._state.rows.upstreams.get(key)
        return row is not None and row.incarnation != process.incarnation

    def _services(self) -> list[ServiceSettings]:
        current = self._state.settings.current
        services = current.services if current is not None else ()
        return [s for s in services if s.kind is ServiceKind.RANGED]

    def _prune(self, now_ms: float) -> None:
        rows = set(self._state.rows.ranges.rows())
        self.leases.retain(rows, {owner_process(row) for row in rows})
        self.speeds.retain(set(self._state.rows.upstreams.list_keys()))
        self._moves.prune(now_ms)


class _ServicePlan:
    """Plan the changes of one service in one round."""

    def __init__(self, planner: RangePlanner, service: ServiceSettings, now_ms: float):
        self._planner = planner
        self._state = planner._state
        self._service = service.name
        self._now_ms = now_ms
        self._rows = self._state.rows.ranges_of(service.name)
        self._rollout = planner.rollout(self._service)
        # Upstreams of a version that is on trial get their keys only as its share.
        self._on_trial: dict[str, UpstreamRow] = {}
        self._eligible = self._eligible_upstreams()
        self._free_ranges = max_ranges(len(self._eligible)) - len(self._rows)

    @cached_property
    def _loads(self) -> dict[RangeRow, RowLoad]:
        """Return the load of each range, computed lazily as few rounds use it."""
        known = self._planner._loads.setdefault(self._service, KeyLoads())
        return load_by_range(self._rows, known.rates(self._now_ms))

    @cached_property
    def _total_per_s(self) -> float:
        """Return the requests per second of the service."""
        return sum(load.per_s for load in self._loads.values())

    @cached_property
    def _load_per_rps(self) -> Mapping[str, float]:
        """Return the fraction of its capacity that each upstream uses per request/s."""
        return self._planner.speeds.load_per_rps(self._eligible.values())

    @cached_property
    def _ranking(self) -> LoadRanking:
        """Return the upstreams with the loads of their ranges."""
        loads = dict.fromkeys(self._eligible, 0.0)
        for row in self._rows:
            if row.upstream in loads and row.state is not PartitionState.RELEASING:
                loads[row.upstream] += self._load_of(row, row.upstream)
        return LoadRanking(loads)

    def due_changes(self) -> list[Message]:
        """Return initial placements, required releases and new owners."""
        if not self._eligible:
            return []
        if not self._rows:
            return self._initial_placement()
        commands = self._planned_releases()
        for count, row in enumerate(self._rows, 1):
            commands += self._next_changes(row)
            if count % _RANGES_PER_YIELD == 0:
                self._planner._yield_to_loop()
        return commands

    def balancing_moves(self, due_count: int) -> list[Message]:
        """Return joins of ranges, and releases of keys that should move.

        Keys move to less loaded upstreams, or to the owner of adjacent keys if there
        are too many ranges. `due_count` is the number of other changes in this round.
        """
        moves = self._planner._moves
        planned = moves.rows(self._service)
        changing = sum(row.state is not PartitionState.OWNED for row in self._rows)
        changing += len(planned)
        allowed = changes_allowed(len(self._eligible))
        if not self._eligible or changing + due_count > allowed:
            return []
        pinned = self._pinned_ranges(planned)
        groups = joinable_ranges(self._rows, lambda row: row not in pinned)
        joins: list[Message] = [
            cmd.ReplaceRanges(self._service, group, [join_ranges(group)])
            for group in groups
        ]
        pinned = pinned.union(*groups)
        for move in self._trial_moves(pinned) or self._choose_moves(pinned):
            moves.add(move, self._now_ms)
        return joins + self._planned_releases()

    def _pinned_ranges(self, planned: set[RangeRow]) -> frozenset[RangeRow]:
        """Return the ranges that must not be moved or joined now."""
        moves, leases = self._planner._moves, self._planner.leases
        return frozenset(
            row
            for row in self._rows
            if row in planned
            or row.state is not PartitionState.OWNED
            or moves.moved_recently(row)
            or leases.is_reassigning(row)
            or not leases.is_settled(row, self._now_ms)
        )

    def _trial_moves(self, pinned: frozenset[RangeRow]) -> list[RangeMove]:
        """Return the moves that give a version on trial its share of the keys."""
        if self._rollout is None or not is_in_trial(self._rollout):
            return []
        owners = {row: self._next_owner(row) for row in self._rows}
        known = self._rollout, self._rows, self._loads, owners, self._on_trial, pinned
        others = self._ranking.by_load() if self._eligible else []
        return choose_returning_moves(*known, others) or choose_trial_moves(
            *known, len(self._eligible)
        )

    def _choose_moves(self, pinned: frozenset[RangeRow]) -> list[RangeMove]:
        owned: dict[str, list[RowLoad]] = {name: [] for name in self._eligible}
        for row in self._rows:
            owner = self._next_owner(row)
            if owner in owned:
                owned[owner].append(self._loads[row])
        count = len(self._eligible)
        found = choose_range_moves(
            owned,
            self._load_per_rps,
            min(max_moves(count), self._free_ranges // 2),
            pinned,
            noise_margin(count),
        )
        if found:
            return found
        return choose_compacting_moves(
            self._rows,
            self._loads,
            self._load_per_rps,
            max_moves(count),
            lambda row: row not in pinned,
        )

    def _planned_releases(self) -> list[Message]:
        """Return the releases of planned moves whose owners can be told now."""
        moves = self._planner._moves
        if not moves.rows(self._service):
            return []
        due = moves.take_due(
            self._service,
            set(self._rows),
            self._planner.leases.may_release,
            self._now_ms,
        )
        return [
            self._replace(move.row, split_off(move.row, move.first, move.last))
            for move in due
        ]

    def overloads(self) -> list[UpstreamOverload]:
        """Return the upstreams that are offered more requests than they can serve."""
        if not self._planner.admits_by_deadline:
            return overloads_of(self._service, self._upstream_loads(self._loads))
        recent = self._planner._recent_loads.get(self._service, KeyLoads())
        by_row = load_by_range(self._rows, recent.rates(self._now_ms))
        loads = self._upstream_loads(by_row)
        return overloads_of(self._service, loads, OPEN_SITE_LIMITS, hot_keys(by_row))

    def _upstream_loads(self, by_row: Mapping[RangeRow, RowLoad]) -> dict[str, float]:
        loads = dict.fromkeys(self._load_per_rps, 0.0)
        for row in self._rows:
            if row.upstream in loads and row.state is PartitionState.OWNED:
                load = by_row[row].per_s * self._load_per_rps[row.upstream]
                loads[row.upstream] += load
        return loads

    def _next_owner(self, row: RangeRow) -> str:
        """Return the planned owner of a range under release, else the current owner."""
        if row.state is not PartitionState.RELEASING:
            return row.upstream
        return self._planner._moves.target_of(row) or row.upstream

    def _initial_placement(self) -> list[Message]:
        placement = self._planner._first_placements.setdefault(
            self._service, FirstPlacement(self._now_ms)
        )
        if not placement.is_due(self._eligible, self._now_ms):
            return []
        rows = []
        count = len(self._eligible)
        # Spreading by zone keeps neighbouring ranges in different zones.
        owners = sorted(
            self._eligible.values(), key=lambda row: (row.upstream, row.zone)
        )
        for number, owner in enumerate(owners):
            first = number * (LAST_KEY + 1) // count
            last = (number + 1) * (LAST_KEY + 1) // count - 1
            rows.append(self._assigned_row(first, last, owner, ""))
        return [cmd.ReplaceRanges(self._service, [], rows)]

    def _next_changes(self, row: RangeRow) -> list[Message]:
        planner = self._planner
        if not row.upstream or planner.leases.is_reassigning(row):
            return [self._assign(row, "")]
        if row.state is PartitionState.RELEASING:
            if self._ownership_ended(row):
                return [self._assign(row, planner.leases.handover_of(row) or "")]
            return []
        owner = planner.upstream_row(owner_process(row))
        if owner is None or planner.is_lost(owner_process(row), self._now_ms):
            return self._reassign_lost(row)
        if row.state is PartitionState.VACANT:
            if not planner.leases.is_accepted(row):
                return []
            return [self._replace(row, [row._replace(state=PartitionState.OWNED)])]
        # Keys that are released earlier would have no owner until the grants of earlier
        # leaders expire.
        if (
            planner.must_drain(owner)
            and planner.leases.earlier_grants_expired(self._now_ms)
            and planner.leases.may_release(owner_process(row))
        ):
            return [self._replace(row, self._split_for_release(row))]
        return []

    def _reassign_lost(self, row: RangeRow) -> list[Message]:
        if self._ownership_ended(row):
            self._planner.leases.mark_reassigning(row)
            return [self._assign(row, "")]
        successor = self._successor_of(row)
        return [self._assign_to(row, successor, "")] if successor is not None else []

    def _successor_of(self, row: RangeRow) -> UpstreamRow | None:
        """Return the restarted process of a lost owner, or None.

        No other upstream can hold the keys, so it need not wait for grants to expire.
        """
        replaced = self._planner.was_replaced(owner_process(row))
        if not replaced or not self._planner.leases.is_settled(row, self._now_ms):
            return None
        return self._eligible.get(row.upstream)

    def _ownership_ended(self, row: RangeRow) -> bool:
        leases = self._planner.leases
        replaced = self._planner.was_replaced(owner_process(row))
        # Until a restarted process registers, it may be granted its predecessor's keys.
        if replaced and leases.end_with_process:
            return True
        return leases.ownership_ended(row, self._now_ms)

    def _assign(self, row: RangeRow, handover: str) -> Message:
        moves = self._planner._moves
        target = moves.take_target(row) or ""
        owner = self._eligible.get(target) or self._on_trial.get(target)
        return self._assign_to(row, owner or self._least_loaded(), handover)

    def _assign_to(self, row: RangeRow, owner: UpstreamRow, handover: str) -> Message:
        self._planner._moves.record_moved(row, self._now_ms)
        if owner.upstream in self._eligible:
            self._ranking.add(owner.upstream, self._load_of(row, owner.upstream))
        return self._replace(
            row, [self._assigned_row(row.first, row.last, owner, handover)]
        )

    def _least_loaded(self) -> UpstreamRow:
        return self._eligible[self._ranking.least_loaded()]

    def _load_of(self, row: RangeRow, upstream: str) -> float:
        """Return the part of an upstream's capacity that a range needs there."""
        return self._range_load(row) * self._load_per_rps[upstream]

    def _range_load(self, row: RangeRow) -> float:
        """Return the load of a range, plus a small weight for its number of keys."""
        span = (row.last - row.first + 1) / (LAST_KEY + 1)
        return self._loads[row].per_s + span

    def _split_for_release(self, row: RangeRow) -> list[RangeRow]:
        """Return a range under release, split into parts of about equal load."""
        count = count_release_parts(
            self._loads[row].per_s,
            self._total_per_s,
            len(self._eligible),
            self._free_ranges,
        )
        parts = split_by_load(self._loads[row], count)
        self._free_ranges -= len(parts) - 1
        return [part._replace(state=PartitionState.RELEASING) for part in parts]

    def _replace(self, row: RangeRow, rows: Iterable[RangeRow]) -> Message:
        return cmd.ReplaceRanges(self._service, [row], list(rows))

    def _assigned_row(
        self, first: int, last: int, owner: UpstreamRow, handover: str
    ) -> RangeRow:
        return RangeRow(
            self._service,
            first,
            last,
            owner.upstream,
            owner.incarnation,
            0,
            # Requests are sent to the owner only after it has accepted the grant.
            PartitionState.VACANT,
            handover,
        )

    def _eligible_upstreams(self) -> dict[str, UpstreamRow]:
        """Return the upstreams that may be assigned keys.

        Cold upstreams are included only if no upstream is ready.
        """
        rows = [
            row
            for row in self._state.rows.upstreams.rows()
            if row.service == self._service
            and not self._planner.must_drain(row)
            and not self._planner.is_lost(
                UpstreamProcess(row.service, row.upstream, row.incarnation),
                self._now_ms,
            )
            and self._is_recent(row)
        ]
        self._on_trial = {
            row.upstream: row
            for row in rows
            if row.state is UpstreamState.READY
            and not may_be_balanced(self._rollout, row)
        }
        rows = [row for row in rows if may_be_balanced(self._rollout, row)]
        warm = [row for row in rows if row.state is UpstreamState.READY]
        return {row.upstream: row for row in sorted(warm or rows)}

    def _is_recent(self, row: UpstreamRow) -> bool:
        seen_ms = self._planner._presence.last_seen_ms(row)
        return self._now_ms - seen_ms < MAX_ANNOUNCEMENT_AGE_MS
