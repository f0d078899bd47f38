"""Choice of owners: partitions to upstreams by load, shards to arbiters by hash."""

import heapq
from collections.abc import Callable, Collection, Iterable, Mapping
from typing import NamedTuple

from bergamotdrift.hashing import rendezvous

# Loads within this share of the mean count as balanced; measured loads are noisy.
LOAD_TOLERANCE = 0.15
# Keeps rounding errors from counting as an improvement.
_MIN_IMPROVEMENT = 1e-9
_ITEMS_PER_PAUSE = 500
_MAX_MOVES_DROPPED_SINGLY = 8
_MOVES_PER_PAUSE = 64


class WeightedPartition(NamedTuple):
    """Hold a partition and its weight; an average partition has a weight of 1.0."""

    partition: int
    weight: float


class Candidate(NamedTuple):
    """Hold an upstream that may own partitions, and the partitions it owns."""

    upstream: str
    zone: str
    owned: tuple[WeightedPartition, ...]


class Placement(NamedTuple):
    """Name the upstream chosen for a partition."""

    partition: int
    upstream: str


class _LoadHeaps:
    """Find the least loaded upstream; equal loads go to the less loaded zone."""

    def __init__(self, candidates: Collection[Candidate]):
        self.loads = {
            c.upstream: sum(item.weight for item in c.owned) for c in candidates
        }
        self._zone_of = {c.upstream: c.zone for c in candidates}
        self._zone_sizes: dict[str, int] = {}
        self._zone_loads: dict[str, float] = {}
        self._heaps: dict[str, list[tuple[float, str]]] = {}
        for c in candidates:
            self._zone_sizes[c.zone] = self._zone_sizes.get(c.zone, 0) + 1
            zone_load = self._zone_loads.get(c.zone, 0.0) + self.loads[c.upstream]
            self._zone_loads[c.zone] = zone_load
            heap = self._heaps.setdefault(c.zone, [])
            heapq.heappush(heap, (self.loads[c.upstream], c.upstream))

    def assign(self, weight: float) -> str:
        """Return the least loaded upstream and add a weight to its load."""
        zone = min(self._heaps, key=self._rank)
        load, upstream = self._heaps[zone][0]
        self.loads[upstream] = load + weight
        self._zone_loads[zone] += weight
        heapq.heapreplace(self._heaps[zone], (load + weight, upstream))
        return upstream

    def _rank(self, zone: str) -> tuple[float, float, str]:
        mean = self._zone_loads[zone] / self._zone_sizes[zone]
        return (self._heaps[zone][0][0], mean, zone)


def place(
    vacant: Iterable[WeightedPartition],
    candidates: Collection[Candidate],
    pause: Callable[[], None],
) -> list[Placement]:
    """Return an upstream for each partition: heaviest first, to the least loaded."""
    if not candidates:
        return []
    heaps = _LoadHeaps(candidates)
    placements = []
    order = sorted(vacant, key=lambda item: (-item.weight, item.partition))
    for count, item in enumerate(order, 1):
        placements.append(Placement(item.partition, heaps.assign(item.weight)))
        if count % _ITEMS_PER_PAUSE == 0:
            pause()
    return placements


def choose_moves(
    candidates: Collection[Candidate],
    pending: Collection[WeightedPartition],
    recently_moved: Collection[int],
    limit: int,
    pause: Callable[[], None],
) -> list[int]:
    """Return up to `limit` partitions whose move brings loads closer to the mean.

    `pending` partitions have no owner yet and fill the least loaded upstreams first.
    `recently_moved` partitions stay where they are.
    """
    if len(candidates) < 2 or limit <= 0:
        return []
    heaps = _LoadHeaps(candidates)
    for item in sorted(pending, key=lambda item: -item.weight):
        heaps.assign(item.weight)
    loads = heaps.loads
    movable = {
        c.upstream: [item for item in c.owned if item.partition not in recently_moved]
        for c in candidates
    }
    mean = sum(loads.values()) / len(loads)
    moves: list[int] = []
    while len(moves) < limit:
        source = max(loads, key=lambda name: (loads[name], name))
        target = min(loads, key=lambda name: (loads[name], name))
        if not _is_unbalanced(loads[source], loads[target], mean):
            break
        item = _best_partition_to_move(movable[source], loads[source] - loads[target])
        if item is None:
            break
        movable[source].remove(item)
        loads[source] -= item.weight
        loads[target] += item.weight
        moves.append(item.partition)
        if len(moves) % _MOVES_PER_PAUSE == 0:
            pause()
    pause()
    while moves and not _improves(candidates, pending, set(moves)):
        # Each check scans all partitions, so a long list is halved instead.
        kept = (
            len(moves) // 2
            if len(moves) > _MAX_MOVES_DROPPED_SINGLY
            else len(moves) - 1
        )
        del moves[kept:]
        pause()
    return moves


def _improves(
    candidates: Collection[Candidate],
    pending: Collection[WeightedPartition],
    moves: set[int],
) -> bool:
    """Return whether reassigning the moved partitions makes the loads more even.

    `place` chooses the next owners and may undo a move or cycle several of them. The
    sum of squared loads decreases with each accepted choice, so rebalancing terminates.
    """
    moved = [i for c in candidates for i in c.owned if i.partition in moves]
    before = _squared_loads(candidates, pending)
    remaining = [
        c._replace(owned=tuple(i for i in c.owned if i.partition not in moves))
        for c in candidates
    ]
    after = _squared_loads(remaining, [*pending, *moved])
    return after < before * (1 - _MIN_IMPROVEMENT)


def _squared_loads(
    candidates: Collection[Candidate], unowned: Collection[WeightedPartition]
) -> float:
    heaps = _LoadHeaps(candidates)
    for item in sorted(unowned, key=lambda item: (-item.weight, item.partition)):
        heaps.assign(item.weight)
    return sum(load * load for load in heaps.loads.values())


def _is_unbalanced(highest: float, lowest: float, mean: float) -> bool:
    return highest > mean * (1 + LOAD_TOLERANCE) or lowest < mean * (1 - LOAD_TOLERANCE)


def _best_partition_to_move(
    items: Collection[WeightedPartition], gap: float
) -> WeightedPartition | None:
    """Return the partition whose move narrows the gap most, or None if none does."""
    fitting = [item for item in items if 0 < item.weight < gap]
    if not fitting:
        return None
    return min(fitting, key=lambda item: (abs(gap / 2 - item.weight), item.partition))


class ShardOwner(NamedTuple):
    """Name the arbiter chosen for a shard."""

    shard: str
    node: str


def choose_shard_owners(
    owners: Mapping[str, str],
    members: Collection[str],
    joined: Collection[str],
    limit: int,
    pause: Callable[[], None],
) -> list[ShardOwner]:
    """Return shards whose owner changes under rendezvous hashing.

    `owners` maps each wanted shard to its current owner or an empty string. A shard of
    a current member can only move to one that `joined` since it was assigned. `limit`
    bounds these rebalancing moves, but not the assignment of shards without an owner.
    """
    if not members:
        return []
    chosen: list[ShardOwner] = []
    rebalanced = 0
    present = set(members)
    for count, (shard, owner) in enumerate(owners.items(), 1):
        if owner not in present:
            chosen.append(ShardOwner(shard, rendezvous(shard, present)[0]))
        elif joined and rebalanced < limit:
            best = rendezvous(shard, {owner, *joined})[0]
            if best != owner:
                rebalanced += 1
                chosen.append(ShardOwner(shard, best))
        if count % _ITEMS_PER_PAUSE == 0:
            pause()
    return chosen
