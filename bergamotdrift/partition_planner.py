"""Plans partition ownership: initial placement, rebalancing and hot key isolation."""

from collections.abc import Callable, Collection, Iterator, Sequence
from typing import Any, NamedTuple

from bergamotdrift import control_commands as cmd
from bergamotdrift.config.schema import Fencing, ServiceKind, ServiceSettings
from bergamotdrift.control_state import ControlState
from bergamotdrift.feed_tables import PartitionId, UpstreamId
from bergamotdrift.handover import Acknowledged, Handover
from bergamotdrift.messages import (
    IsolatedKeyRow,
    LoadReport,
    Message,
    PartitionRef,
    PartitionRow,
    PartitionState,
    UpstreamRow,
    UpstreamState,
)
from bergamotdrift.partition_changes import MAX_ISOLATED_KEYS_PER_SERVICE
from bergamotdrift.partition_loads import PartitionLoads
from bergamotdrift.placement import Candidate, WeightedPartition, choose_moves, place
from bergamotdrift.reply_gate import ReplyGate
from bergamotdrift.upstream_sessions import UpstreamSessions

BALANCE_INTERVAL_MS = 1000
# Interval while the feed index is unchanged: only measured loads, which change slowly,
# can then alter the balance.
STEADY_BALANCE_INTERVAL_MS = 5000
# A moved partition isn't moved again within this time, so that noise in the measured
# loads doesn't move it back.
MOVE_COOLDOWN_MS = 10_000
# Delays the first placement, so that upstreams that start together all get partitions.
FIRST_PLACEMENT_DELAY_MS = 1000
# Keys that cooled down return to their hash partition only while more keys than this
# are isolated.
RESTORE_THRESHOLD = MAX_ISOLATED_KEYS_PER_SERVICE * 3 // 4
_ITEMS_PER_COMMAND = 1000


class _PlannedOwner(NamedTuple):
    epoch: int
    upstream: str


class PartitionPlanner:
    """Plan assignments and releases of the partitions of all keyed services."""

    def __init__(
        self,
        state: ControlState,
        upstreams: UpstreamSessions,
        handover: Handover,
        opened_at_ms: float,
        pause: Callable[[], None],
    ):
        self._state = state
        self._upstreams = upstreams
        self._handover = handover
        self._pause = pause
        self._loads: dict[str, PartitionLoads] = {}
        self._moved_at_ms: dict[PartitionId, float] = {}
        self._first_seen_ms: dict[str, float] = {}
        self._reply_gate = ReplyGate()
        # Owners of partitions whose assignment waits for the owner's next announcement.
        self._planned_owners: dict[PartitionId, _PlannedOwner] = {}
        self._planned_moves: list[PartitionRef] = []
        self._balanced_at_ms = opened_at_ms
        self._balanced_feed_index = 0

    def add_loads(self, report: LoadReport, now_ms: float) -> None:
        """Add an arbiter's load report; it is ignored unless its service is keyed."""
        service = self._state.service(report.service)
        if service is not None and service.kind is ServiceKind.KEYED:
            self._loads.setdefault(service.name, PartitionLoads()).add(report, now_ms)

    def commands(self, acknowledged: Acknowledged, now_ms: float) -> list[Message]:
        """Return the assignments and releases that are due."""
        self._reply_gate.begin_round()
        commands: list[Message] = []
        releases = [*self._forced_releases(), *self._due_moves()]
        commands += _batched_commands(cmd.ReleasePartitions, releases)
        ready: dict[str, list[PartitionRow]] = {}
        for row in self._handover.ready(acknowledged, now_ms):
            ready.setdefault(row.service, []).append(row)
        for service in self._keyed_services():
            rows = ready.get(service.name, [])
            commands += self._owner_commands(service, rows, now_ms)
        if self._balance_is_due(now_ms):
            blocked = self._handover.unsettled(acknowledged, now_ms)
            commands += self._rebalance(blocked, now_ms)
        self._reply_gate.end_round()
        return commands

    def holds_reply(self, upstream: UpstreamId) -> bool:
        """Return whether the reply to an upstream must wait for the next round."""
        return self._reply_gate.hold(upstream)

    def _may_change_grants(self, service: ServiceSettings, upstream: str) -> bool:
        """Return whether an upstream's grants may change in this round."""
        if service.fencing is Fencing.NONE:
            return True
        return self._reply_gate.passes(UpstreamId(service.name, upstream))

    def _balance_is_due(self, now_ms: float) -> bool:
        changed = self._state.feed_index != self._balanced_feed_index
        interval_ms = BALANCE_INTERVAL_MS if changed else STEADY_BALANCE_INTERVAL_MS
        if now_ms - self._balanced_at_ms < interval_ms:
            return False
        self._balanced_feed_index = self._state.feed_index
        self._balanced_at_ms = now_ms
        return True

    def _keyed_services(self) -> list[ServiceSettings]:
        settings = self._state.settings.current
        services = settings.services if settings is not None else ()
        return [service for service in services if service.kind is ServiceKind.KEYED]

    def _forced_releases(self) -> list[PartitionRef]:
        services = {service.name: service for service in self._keyed_services()}
        releases = []
        for row in list(self._state.rows.upstreams.rows()):
            if row.service not in services or self._upstreams.accepts_work(row):
                continue
            refs = self._owned_refs(row)
            if refs and self._may_change_grants(services[row.service], row.upstream):
                releases += refs
        return releases

    def _due_moves(self) -> list[PartitionRef]:
        """Return the planned moves that may be released in this round."""
        due: list[PartitionRef] = []
        waiting: list[PartitionRef] = []
        for ref in self._planned_moves:
            service = self._state.service(ref.service)
            row = self._state.rows.partitions.get(PartitionId(*ref[:2]))
            if service is None or row is None or row.epoch != ref.epoch:
                continue
            if row.state is PartitionState.OWNED:
                passes = self._may_change_grants(service, row.upstream)
                (due if passes else waiting).append(ref)
        self._planned_moves = waiting
        return due

    def _owned_refs(self, row: UpstreamRow) -> list[PartitionRef]:
        owned = self._state.rows.partitions_of(UpstreamId(row.service, row.upstream))
        return [
            PartitionRef(part.service, part.partition, part.epoch)
            for part in owned
            if part.state is PartitionState.OWNED
        ]

    # Assignment of owners

    def _owner_commands(
        self, service: ServiceSettings, rows: list[PartitionRow], now_ms: float
    ) -> Iterator[Message]:
        if not rows:
            return
        upstreams = self._eligible_upstreams(service.name, now_ms)
        restores = self._restore_commands(service.name, rows, len(upstreams), now_ms)
        yield from restores.values()
        rows = [row for row in rows if row.partition not in restores]
        if not rows:
            return
        if not upstreams:
            yield from _batched_commands(
                cmd.AssignPartitions, _vacating_assignments(rows)
            )
            return
        if self._delays_first_placement(service.name, rows, now_ms):
            return
        yield from _batched_commands(
            cmd.AssignPartitions, self._assignments(service, rows, upstreams, now_ms)
        )

    def _eligible_upstreams(
        self, service: str, now_ms: float
    ) -> dict[str, UpstreamRow]:
        """Return the upstreams that may get partitions.

        Prefers those that are ready and recently seen, then ready ones, then any
        unexpired upstream that accepts work.
        """
        rows = [
            row
            for row in list(self._state.rows.upstreams.rows())
            if row.service == service
            and self._upstreams.accepts_work(row)
            and not self._upstreams.has_expired(row, now_ms)
        ]
        ready = [row for row in rows if row.state is UpstreamState.READY]
        recent = [row for row in ready if self._upstreams.is_recent(row, now_ms)]
        return {row.upstream: row for row in recent or ready or rows}

    def _delays_first_placement(
        self, service: str, rows: list[PartitionRow], now_ms: float
    ) -> bool:
        if any(row.epoch for row in rows):
            return False
        first_ms = self._first_seen_ms.setdefault(service, now_ms)
        return now_ms - first_ms < FIRST_PLACEMENT_DELAY_MS

    def _assignments(
        self,
        service: ServiceSettings,
        rows: list[PartitionRow],
        upstreams: dict[str, UpstreamRow],
        now_ms: float,
    ) -> list[cmd.PartitionAssignment]:
        self._plan_owners(service.name, rows, upstreams, now_ms)
        items = []
        for count, row in enumerate(rows, 1):
            if count % _ITEMS_PER_COMMAND == 0:
                self._pause()
            key = PartitionId(service.name, row.partition)
            owner = upstreams[self._planned_owners[key].upstream]
            if not self._may_change_grants(service, owner.upstream):
                continue
            del self._planned_owners[key]
            self._moved_at_ms[key] = now_ms
            items.append(
                cmd.PartitionAssignment(
                    service.name,
                    row.partition,
                    row.epoch,
                    owner.upstream,
                    owner.incarnation,
                )
            )
        return items

    def _plan_owners(
        self,
        service: str,
        rows: list[PartitionRow],
        upstreams: dict[str, UpstreamRow],
        now_ms: float,
    ) -> None:
        """Plan an owner for each partition without a valid planned owner."""
        unplanned = []
        for row in rows:
            choice = self._planned_owners.get(PartitionId(service, row.partition))
            if choice is None or choice.epoch != row.epoch:
                unplanned.append(row)
                continue
            if choice.upstream not in upstreams:
                unplanned.append(row)
        if not unplanned:
            return
        partitions = {row.partition for row in unplanned}
        self._planned_owners = {
            key: choice
            for key, choice in self._planned_owners.items()
            if key in self._state.rows.unowned
            and not (key.service == service and key.partition in partitions)
        }
        epochs = {row.partition: row.epoch for row in unplanned}
        candidates, vacant = self._weighted_candidates(
            service, unplanned, upstreams, now_ms
        )
        for placed in place(vacant, candidates, self._pause):
            key = PartitionId(service, placed.partition)
            self._planned_owners[key] = _PlannedOwner(
                epochs[placed.partition], placed.upstream
            )

    def _weighted_candidates(
        self,
        service: str,
        rows: list[PartitionRow],
        upstreams: dict[str, UpstreamRow],
        now_ms: float,
    ) -> tuple[list[Candidate], list[WeightedPartition]]:
        owned: dict[str, list[int]] = {}
        for name in upstreams:
            owned[name] = self._owned_partitions(service, name)
            self._pause()
        for key, choice in self._planned_owners.items():
            if key.service == service and choice.upstream in owned:
                owned[choice.upstream].append(key.partition)
        partitions = [row.partition for row in rows]
        weights = self._weights(service, owned, partitions, now_ms)
        candidates = []
        for name, row in sorted(upstreams.items()):
            held = tuple(WeightedPartition(n, weights[n]) for n in owned[name])
            candidates.append(Candidate(name, row.zone, held))
            self._pause()
        return candidates, [WeightedPartition(n, weights[n]) for n in partitions]

    def _weights(
        self,
        service: str,
        owned: dict[str, list[int]],
        partitions: list[int],
        now_ms: float,
    ) -> dict[int, float]:
        known = [number for held in owned.values() for number in held] + partitions
        loads = self._loads.get(service)
        if loads is None:
            return dict.fromkeys(known, 1.0)
        return loads.weights(known, now_ms)

    def _owned_partitions(self, service: str, upstream: str) -> list[int]:
        rows = self._state.rows.partitions_of(UpstreamId(service, upstream))
        return [row.partition for row in rows if row.state is PartitionState.OWNED]

    # Rebalancing and hot keys

    def _rebalance(
        self, blocked: Collection[PartitionId], now_ms: float
    ) -> Iterator[Message]:
        self._moved_at_ms = {
            key: at
            for key, at in self._moved_at_ms.items()
            if now_ms - at < MOVE_COOLDOWN_MS
        }
        moves: list[PartitionRef] = []
        for service in self._keyed_services():
            upstreams = self._eligible_upstreams(service.name, now_ms)
            yield from self._isolation_commands(service, len(upstreams), now_ms)
            moves += self._choose_moves(service, upstreams, blocked, now_ms)
        self._planned_moves = moves
        yield from _batched_commands(cmd.ReleasePartitions, self._due_moves())

    def _choose_moves(
        self,
        service: ServiceSettings,
        upstreams: dict[str, UpstreamRow],
        blocked: Collection[PartitionId],
        now_ms: float,
    ) -> list[PartitionRef]:
        rows = self._unowned_rows(service.name)
        limit = max(1, service.partitions // 64) - len(rows)
        if len(upstreams) < 2 or limit <= 0:
            return []
        rows = [r for r in rows if PartitionId(r[0], r[1]) not in self._planned_owners]
        candidates, pending = self._weighted_candidates(
            service.name, rows, upstreams, now_ms
        )
        excluded = {
            key.partition
            for key in {*blocked, *self._moved_at_ms}
            if key.service == service.name
        }
        partitions = choose_moves(candidates, pending, excluded, limit, self._pause)
        return [self._partition_ref(service.name, number) for number in partitions]

    def _unowned_rows(self, service: str) -> list[PartitionRow]:
        rows = self._state.rows
        found = (rows.partitions.get(k) for k in rows.unowned if k.service == service)
        return sorted(row for row in found if row is not None)

    def _partition_ref(self, service: str, partition: int) -> PartitionRef:
        row = self._state.rows.partitions.get(PartitionId(service, partition))
        return PartitionRef(service, partition, row.epoch if row is not None else 0)

    def _isolation_commands(
        self, service: ServiceSettings, upstreams: int, now_ms: float
    ) -> Iterator[Message]:
        loads = self._loads.get(service.name)
        if loads is None or upstreams < 2:
            return
        isolated = self._isolated_keys(service.name)
        hashes = {row.key_hash for row in isolated}
        hot = [key for key in loads.hot_keys(upstreams, now_ms) if key not in hashes]
        room = MAX_ISOLATED_KEYS_PER_SERVICE - len(isolated)
        for key_hash in hot[:room]:
            yield cmd.IsolateKey(service.name, key_hash)
        if len(isolated) > RESTORE_THRESHOLD:
            cooled = [
                row.partition
                for row in isolated
                if loads.has_cooled(row.partition, upstreams, now_ms)
            ]
            yield from _batched_commands(
                cmd.ReleasePartitions,
                [self._partition_ref(service.name, n) for n in cooled],
            )

    def _restore_commands(
        self, service: str, rows: list[PartitionRow], upstreams: int, now_ms: float
    ) -> dict[int, Message]:
        """Return by partition the commands that restore keys that cooled down."""
        loads = self._loads.get(service)
        isolated = self._isolated_keys(service)
        if loads is None or len(isolated) <= RESTORE_THRESHOLD:
            return {}
        keys = {row.partition: row.key_hash for row in isolated}
        return {
            row.partition: cmd.RestoreKey(
                service, keys[row.partition], row.partition, row.epoch
            )
            for row in rows
            if row.partition in keys
            and loads.has_cooled(row.partition, upstreams, now_ms)
        }

    def _isolated_keys(self, service: str) -> list[IsolatedKeyRow]:
        rows = self._state.rows.isolated.rows()
        return [row for row in rows if row.service == service]


def _vacating_assignments(rows: list[PartitionRow]) -> list[cmd.PartitionAssignment]:
    return [
        cmd.PartitionAssignment(row.service, row.partition, row.epoch, "", "")
        for row in rows
        if row.state is PartitionState.RELEASING
    ]


def _batched_commands(
    command: Callable[[list], Message], items: Sequence[Any]
) -> list[Message]:
    return [
        command(list(items[start : start + _ITEMS_PER_COMMAND]))
        for start in range(0, len(items), _ITEMS_PER_COMMAND)
    ]
