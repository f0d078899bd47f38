"""Choice of key ranges that move from busy upstreams to idle ones; pure."""

from bisect import bisect_left, bisect_right
from collections.abc import Mapping, Sequence
from typing import NamedTuple

from bergamotdrift.key_loads import KeyRate
from bergamotdrift.messages import RangeRow

# An upstream with this much more than the mean load gives keys away.
OVERLOAD_RATIO = 1.25
# Below this mean no upstream is busy enough for a move to pay.
LEAST_MEAN_PER_S = 1.5
# A move of less than this share of the mean is not worth a hand-over.
LEAST_MOVE_RATIO = 0.12


class Cut(NamedTuple):
    """Name the keys of a range that move to another upstream."""

    row: RangeRow
    first: int
    last: int
    taker: str


class RowLoad(NamedTuple):
    """Hold a range and the rates of the keys within it, in the order of the keys."""

    row: RangeRow
    rates: Sequence[KeyRate]

    @property
    def per_s(self) -> float:
        """Return the requests per second of the range."""
        return sum(rate.per_s for rate in self.rates)


def loads_of(
    rows: Sequence[RangeRow], rates: Sequence[KeyRate]
) -> dict[RangeRow, RowLoad]:
    """Return the load of each range."""
    keys = [rate.key for rate in rates]
    return {
        row: RowLoad(
            row, rates[bisect_left(keys, row.first) : bisect_right(keys, row.last)]
        )
        for row in rows
    }


def choose_cuts(
    owned: Mapping[str, Sequence[RowLoad]],
    slowness: Mapping[str, float],
    limit: int,
    resting: frozenset[RangeRow],
) -> list[Cut]:
    """Return up to `limit` cuts that bring the upstreams' loads closer together.

    `owned` maps each upstream that may own keys to its ranges. A load is a rate times
    the upstream's slowness. `resting` ranges moved lately and stay.
    """
    loads = {
        name: slowness[name] * sum(r.per_s for r in rows)
        for name, rows in owned.items()
    }
    cuts: list[Cut] = []
    if len(loads) < 2:
        return cuts
    mean = sum(loads.values()) / len(loads)
    taken: set[RangeRow] = set(resting)
    for donor in sorted(loads, key=lambda name: -loads[name]):
        if len(cuts) >= limit or mean < LEAST_MEAN_PER_S:
            break
        if loads[donor] <= mean * OVERLOAD_RATIO:
            break
        taker = min(loads, key=lambda name: (loads[name], name))
        gap = loads[donor] - loads[taker]
        wanted = gap / (slowness[donor] + slowness[taker])
        rows = [r for r in owned[donor] if r.row not in taken]
        cut = _best_cut(rows, wanted, gap / slowness[taker], taker)
        if cut is None or cut[1] * slowness[donor] < mean * LEAST_MOVE_RATIO:
            continue
        cuts.append(cut[0])
        taken.add(cut[0].row)
        loads[donor] -= cut[1] * slowness[donor]
        loads[taker] += cut[1] * slowness[taker]
    return cuts


def _best_cut(
    rows: Sequence[RowLoad], wanted: float, gap: float, taker: str
) -> tuple[Cut, float] | None:
    """Return the narrowest window of keys with about the wanted load, and its load."""
    best: tuple[int, float, Cut] | None = None
    for item in rows:
        for first, last, per_s in _windows(item.rates, wanted):
            if not 0.0 < per_s < gap:
                continue
            # The window with most of the wanted load wins, then the narrowest.
            shortfall = int(4 * abs(wanted - per_s) / max(wanted, 0.001))
            rank = (shortfall, last - first)
            if best is None or rank < (best[0], best[1]):
                best = (shortfall, last - first, Cut(item.row, first, last, taker))
                best_load = per_s
    return None if best is None else (best[2], best_load)


def _windows(rates: Sequence[KeyRate], wanted: float) -> list[tuple[int, int, float]]:
    """Return for each first key the shortest window that reaches the wanted load."""
    found = []
    end, total = 0, 0.0
    for start, rate in enumerate(rates):
        while end < len(rates) and total < wanted:
            total += rates[end].per_s
            end += 1
        found.append((rate.key, rates[end - 1].key, total))
        # Without its last key the window may fit where the whole one is too heavy.
        if end - 1 > start:
            lighter = total - rates[end - 1].per_s
            found.append((rate.key, rates[end - 2].key, lighter))
        total -= rate.per_s
    return found
