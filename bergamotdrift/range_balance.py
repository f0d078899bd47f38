"""Choice of key ranges that move from busy upstreams to idle ones; pure."""

from bisect import bisect_left, bisect_right
from collections.abc import Mapping, Sequence
from typing import NamedTuple

from bergamotdrift.key_loads import KeyRate
from bergamotdrift.messages import RangeRow

# An upstream with this much more than the mean load gives keys away.
OVERLOAD_RATIO = 1.3
# Below this load an upstream has hardly a queue, and each move holds requests up.
LEAST_BUSY = 0.4
# A move of a smaller load is not worth a hand-over.
LEAST_MOVE = 0.05
# A single hot key moves where it makes at most this part of the present load.
HOT_KEY_GAIN = 0.85


class Cut(NamedTuple):
    """Name the keys of a range that move to another upstream."""

    row: RangeRow
    first: int
    last: int
    taker: str


class _Found(NamedTuple):
    """Hold a cut and the requests per second that it moves."""

    cut: Cut
    per_s: float


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
    busy_shares: Mapping[str, float],
    limit: int,
    resting: frozenset[RangeRow],
) -> list[Cut]:
    """Return up to `limit` cuts that bring the upstreams' loads closer together.

    `owned` maps each upstream that may own keys to its ranges. `busy_shares` tells
    which part of an upstream one request per second keeps busy, so that a load of 1
    fills it. `resting` ranges moved lately and stay.
    """
    loads = {
        name: busy_shares[name] * sum(r.per_s for r in rows)
        for name, rows in owned.items()
    }
    cuts: list[Cut] = []
    if len(loads) < 2:
        return cuts
    mean = sum(loads.values()) / len(loads)
    taken: set[RangeRow] = set(resting)
    for donor in sorted(loads, key=lambda name: -loads[name]):
        if len(cuts) >= limit or loads[donor] <= max(LEAST_BUSY, mean * OVERLOAD_RATIO):
            break
        taker = min(loads, key=lambda name: (loads[name], name))
        gap = loads[donor] - loads[taker]
        wanted = gap / (busy_shares[donor] + busy_shares[taker])
        rows = [r for r in owned[donor] if r.row not in taken]
        found = _best_cut(rows, wanted, gap / busy_shares[taker], taker)
        if found is None or found.per_s * busy_shares[donor] < LEAST_MOVE:
            found = _hot_key_cut(rows, donor, loads, busy_shares)
        if found is None:
            continue
        cuts.append(found.cut)
        taken.add(found.cut.row)
        loads[donor] -= found.per_s * busy_shares[donor]
        loads[found.cut.taker] += found.per_s * busy_shares[found.cut.taker]
    return cuts


def _hot_key_cut(
    rows: Sequence[RowLoad],
    donor: str,
    loads: Mapping[str, float],
    busy_shares: Mapping[str, float],
) -> _Found | None:
    """Return the move of a key that no split can spread, to a quicker upstream."""
    rated = [(rate.per_s, rate.key, item.row) for item in rows for rate in item.rates]
    if not rated:
        return None
    per_s, key, row = max(rated, key=lambda found: found[0])
    others = [name for name in loads if name != donor]
    taker = min(others, key=lambda name: loads[name] + per_s * busy_shares[name])
    after = loads[taker] + per_s * busy_shares[taker]
    if after > loads[donor] * HOT_KEY_GAIN or busy_shares[taker] >= busy_shares[donor]:
        return None
    return _Found(Cut(row, key, key, taker), per_s)


def _best_cut(
    rows: Sequence[RowLoad], wanted: float, gap: float, taker: str
) -> _Found | None:
    """Return the narrowest window of keys with about the wanted load."""
    best: _Found | None = None
    best_rank = (0, 0)
    for item in rows:
        for first, last, per_s in _windows(item.rates, wanted):
            if not 0.0 < per_s < gap:
                continue
            # The window with most of the wanted load wins, then the narrowest.
            shortfall = int(4 * abs(wanted - per_s) / max(wanted, 0.001))
            rank = (shortfall, last - first)
            if best is None or rank < best_rank:
                best = _Found(Cut(item.row, first, last, taker), per_s)
                best_rank = rank
    return best


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
