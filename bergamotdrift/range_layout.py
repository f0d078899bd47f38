"""Number of key ranges of a service: splits, joins and moves to a neighbour's owner.

The functions have no side effects.
"""

import math
from collections.abc import Callable, Iterable, Mapping, Sequence
from itertools import groupby, pairwise

from bergamotdrift.messages import PartitionState, RangeRow
from bergamotdrift.range_balance import OVERLOAD_RATIO, RangeMove, RowLoad
from bergamotdrift.range_leases import owner_process

# Each range is renewed by a separate call, so their number is limited.
MAX_RANGES_PER_UPSTREAM = 12
# Above this number, ranges with little load move to the owner of a neighbour.
_COMPACT_ABOVE_PER_UPSTREAM = 6
# A range of a leaving upstream is split among at most this many others.
_MAX_RELEASE_PARTS = 4
# A split-off part has at least this fraction of the mean load of an upstream.
_MIN_PART_OF_MEAN_LOAD = 0.25


def max_ranges(upstreams: int) -> int:
    """Return how many ranges a service with this many upstreams may have."""
    return MAX_RANGES_PER_UPSTREAM * upstreams


def count_release_parts(
    per_s: float, total_per_s: float, upstreams: int, free_ranges: int
) -> int:
    """Return into how many parts to split a range of an upstream that gives it up.

    `per_s` is the load of the range and `total_per_s` that of its service, in requests
    per second; `free_ranges` is how many ranges may be added.
    """
    if total_per_s <= 0.0:
        return 1
    min_part_per_s = _MIN_PART_OF_MEAN_LOAD * total_per_s / upstreams
    wanted = math.ceil(per_s / min_part_per_s)
    return max(1, min(wanted, _MAX_RELEASE_PARTS, upstreams, 1 + free_ranges))


def split_by_load(item: RowLoad, count: int) -> list[RangeRow]:
    """Return a range split into at most `count` parts of about equal load."""
    row, total = item.row, item.per_s
    starts = [row.first]
    sent = 0.0
    # Keys behind the last known one have no load of their own.
    for rate in item.rates[:-1]:
        sent += rate.per_s
        if len(starts) < count and sent >= len(starts) * total / count:
            starts.append(rate.key + 1)
    ends = [start - 1 for start in starts[1:]] + [row.last]
    return [
        row._replace(first=first, last=last)
        for first, last in zip(starts, ends, strict=True)
    ]


def split_off(row: RangeRow, first: int, last: int) -> list[RangeRow]:
    """Split a range and return its parts, with `first` to `last` under release."""
    rows = [row._replace(first=first, last=last, state=PartitionState.RELEASING)]
    if row.first < first:
        rows.append(row._replace(last=first - 1))
    if last < row.last:
        rows.append(row._replace(first=last + 1))
    return rows


def joinable_ranges(
    rows: Iterable[RangeRow], is_free: Callable[[RangeRow], bool]
) -> list[list[RangeRow]]:
    """Return the groups of adjacent ranges that one upstream process owns.

    `rows` must be sorted by key; only rows that are owned and free are joined.
    """
    groups = groupby(
        rows,
        lambda row: (
            owner_process(row),
            row.state is PartitionState.OWNED and is_free(row),
        ),
    )
    found = [list(group) for (_, may_join), group in groups if may_join]
    return [group for group in found if len(group) > 1]


def join_ranges(rows: Sequence[RangeRow]) -> RangeRow:
    """Return one range for adjacent ones of the same owner.

    The highest of their epochs is above all earlier epochs of each key, since epochs
    rise over the whole service.
    """
    epoch = max(row.epoch for row in rows)
    return rows[0]._replace(last=rows[-1].last, epoch=epoch, handover="")


def choose_compacting_moves(
    rows: Sequence[RangeRow],
    loads: Mapping[RangeRow, RowLoad],
    load_per_rps: Mapping[str, float],
    limit: int,
    is_free: Callable[[RangeRow], bool],
) -> list[RangeMove]:
    """Return up to `limit` moves of ranges to the owner of an adjacent range.

    Those with the least load move first, and only while there are too many ranges.
    `rows` must be sorted by key; `load_per_rps` names the upstreams that may own keys.
    """
    too_many = len(rows) - _COMPACT_ABOVE_PER_UPSTREAM * len(load_per_rps)
    limit = min(limit, too_many)
    if limit <= 0:
        return []
    owned = dict.fromkeys(load_per_rps, 0.0)
    for row in rows:
        if row.upstream in owned:
            owned[row.upstream] += loads[row].per_s * load_per_rps[row.upstream]
    max_load = OVERLOAD_RATIO * sum(owned.values()) / len(owned)
    pairs = [(row, other) for row, other in pairwise(rows)]
    pairs += [(row, other) for other, row in pairs]
    pairs.sort(key=lambda pair: (loads[pair[0]].per_s, pair[0].first))
    moves: list[RangeMove] = []
    used: set[RangeRow] = set()
    for row, neighbour in pairs:
        target = neighbour.upstream
        if len(moves) >= limit:
            break
        if used & {row, neighbour} or target == row.upstream or target not in owned:
            continue
        if not (is_free(row) and is_free(neighbour)):
            continue
        added = loads[row].per_s * load_per_rps[target]
        if owned[target] + added > max_load:
            continue
        owned[target] += added
        used |= {row, neighbour}
        moves.append(RangeMove(row, row.first, row.last, target))
    return moves
