"""Key ranges during the rollout of a version of their service.

Until near the end of the rollout, upstreams of the new version get as many ranges as
their share. Then the old versions give up all theirs, as upstreams that leave do. On a
rollback the new version does. The functions have no side effects.
"""

from collections.abc import Collection, Mapping, Sequence

from bergamotdrift.messages import (
    FULL_SHARE_PERMILLE,
    PartitionState,
    RangeRow,
    RolloutRow,
    RolloutState,
    UpstreamRow,
)
from bergamotdrift.range_balance import RangeMove, RowLoad, choose_window
from bergamotdrift.rollout_orders import is_barred

# Part of the share up to which ranges move. Loads of keys vary, and what has moved
# can't be limited for each request.
_FILL_RATIO = 0.8
# Ranges with less than this part of the wanted load are not worth a handover.
_MIN_FILL_RATIO = 0.4
# A new upstream gets at most this multiple of the mean load of an upstream, as it has
# just started.
_MAX_OF_MEAN_LOAD = 0.6
_MOVES_AT_ONCE = 2


def is_in_trial(row: RolloutRow | None) -> bool:
    """Return whether upstreams of a new version get only a share of the keys."""
    if row is None or row.state is not RolloutState.RUNNING:
        return False
    return 0 < row.share_permille < FULL_SHARE_PERMILLE


def may_be_balanced(row: RolloutRow | None, upstream: UpstreamRow) -> bool:
    """Return whether an upstream may get keys without regard to the share."""
    if row is None:
        return True
    if is_barred(row, upstream.version):
        return False
    return not (is_in_trial(row) and upstream.version == row.target)


def choose_trial_moves(
    rollout: RolloutRow,
    rows: Sequence[RangeRow],
    loads: Mapping[RangeRow, RowLoad],
    owners: Mapping[RangeRow, str],
    targets: Collection[str],
    pinned: Collection[RangeRow],
    upstreams: int,
) -> list[RangeMove]:
    """Return the moves that give the new version its share of a service's keys.

    `owners` are the present or planned owners of the ranges, `targets` the ready
    upstreams of the new version, and `upstreams` is the number of the others.
    """
    if not targets or not upstreams:
        return []
    total = sum(load.per_s for load in loads.values())
    if total <= 0.0:
        return []
    wanted = _FILL_RATIO * total * rollout.share_permille / FULL_SHARE_PERMILLE
    held = dict.fromkeys(sorted(targets), 0.0)
    for row in rows:
        if owners[row] in held:
            held[owners[row]] += loads[row].per_s
    most = _MAX_OF_MEAN_LOAD * total / upstreams
    used = set(pinned)
    moves: list[RangeMove] = []
    while len(moves) < _MOVES_AT_ONCE:
        missing = wanted - sum(held.values())
        target = min(held, key=lambda name: (held[name], name))
        limit = min(missing, most - held[target])
        if missing <= _MIN_FILL_RATIO * wanted or limit <= 0.0:
            break
        free = [
            loads[row]
            for row in rows
            if row not in used
            and owners[row] not in held
            and row.state is PartitionState.OWNED
        ]
        found = choose_window(free, limit, target)
        if found is None:
            break
        moves.append(found.move)
        used.add(found.move.row)
        held[target] += found.per_s
    return moves


def choose_returning_moves(
    rollout: RolloutRow,
    rows: Sequence[RangeRow],
    loads: Mapping[RangeRow, RowLoad],
    owners: Mapping[RangeRow, str],
    targets: Collection[str],
    pinned: Collection[RangeRow],
    others: Sequence[str],
) -> list[RangeMove]:
    """Return the moves of ranges that the new version holds above its share.

    Its upstreams may have got them before the rollout was ordered. `others` are the
    upstreams to which they go, the least loaded first.
    """
    if not others:
        return []
    total = sum(load.per_s for load in loads.values())
    allowed = total * rollout.share_permille / FULL_SHARE_PERMILLE
    mine = [row for row in rows if owners[row] in targets]
    excess = sum(loads[row].per_s for row in mine) - allowed
    moves: list[RangeMove] = []
    for row in sorted(mine, key=lambda row: -loads[row].per_s):
        if excess <= 0.0:
            break
        excess -= loads[row].per_s
        if row in pinned or row.state is not PartitionState.OWNED:
            continue
        target = others[len(moves) % len(others)]
        moves.append(RangeMove(row, row.first, row.last, target))
    return moves
