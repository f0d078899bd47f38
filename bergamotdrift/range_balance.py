"""Selection of key ranges to move from overloaded to less loaded upstreams.

The functions have no side effects.
"""

import math
from bisect import bisect_left, bisect_right
from collections.abc import Mapping, Sequence
from typing import NamedTuple

from bergamotdrift.key_loads import SMOOTHING_MS, KeyRate
from bergamotdrift.messages import RangeRow
from bergamotdrift.overload import HOT_KEY_PART

# An upstream is overloaded above this multiple of the mean load.
OVERLOAD_RATIO = 1.3
# Below this load an upstream hardly queues requests, while each move delays some.
MIN_SOURCE_LOAD = 0.4
SMOOTHING_S = SMOOTHING_MS / 1000.0
# Moving less load than this does not justify a handover.
MIN_MOVE_LOAD = 0.05
# A single hot key moves only if the load of its target is then at most this fraction
# of the present load of its source.
HOT_KEY_MAX_LOAD_RATIO = 0.85


class RangeMove(NamedTuple):
    """Identify the keys of a range that move to another upstream."""

    row: RangeRow
    first: int
    last: int
    target: str


class Candidate(NamedTuple):
    """Describe a possible move and the requests per second that it transfers."""

    move: RangeMove
    per_s: float


class RowLoad(NamedTuple):
    """Describe a range and the request rates of its keys, sorted by key."""

    row: RangeRow
    rates: Sequence[KeyRate]

    @property
    def per_s(self) -> float:
        """Return the total requests per second of the range."""
        return sum(rate.per_s for rate in self.rates)


def load_by_range(
    rows: Sequence[RangeRow], rates: Sequence[KeyRate]
) -> dict[RangeRow, RowLoad]:
    """Return the load of each range; `rates` must be sorted by key."""
    keys = [rate.key for rate in rates]
    return {
        row: RowLoad(
            row, rates[bisect_left(keys, row.first) : bisect_right(keys, row.last)]
        )
        for row in rows
    }


def hot_keys(loads: Mapping[RangeRow, RowLoad]) -> dict[str, int]:
    """Return the keys that have a large part of their upstream's requests."""
    per_s: dict[str, float] = {}
    hottest: dict[str, KeyRate] = {}
    for row, load in loads.items():
        per_s[row.upstream] = per_s.get(row.upstream, 0.0) + load.per_s
        for rate in load.rates:
            known = hottest.get(row.upstream)
            if known is None or rate.per_s > known.per_s:
                hottest[row.upstream] = rate
    return {
        name: rate.key
        for name, rate in hottest.items()
        if rate.per_s >= HOT_KEY_PART * per_s[name]
    }


def choose_range_moves(
    owned: Mapping[str, Sequence[RowLoad]],
    load_per_rps: Mapping[str, float],
    limit: int,
    pinned: frozenset[RangeRow],
    noise_margin: float = 0.0,
) -> list[RangeMove]:
    """Return up to `limit` moves that even out the load of the upstreams.

    `owned` maps each upstream that may own keys to its ranges. `load_per_rps` is the
    fraction of an upstream's capacity that one request per second uses, so a load of 1
    is full capacity. Ranges in `pinned`, such as recently moved ones, do not move.
    An upstream counts as overloaded only if its load exceeds the limit by
    `noise_margin` standard deviations of a count of random requests.
    """
    loads = {
        name: load_per_rps[name] * sum(r.per_s for r in rows)
        for name, rows in owned.items()
    }
    noise = {
        name: noise_margin * math.sqrt(load_per_rps[name] * load / (2 * SMOOTHING_S))
        for name, load in loads.items()
    }
    moves: list[RangeMove] = []
    if len(loads) < 2:
        return moves
    mean = sum(loads.values()) / len(loads)
    excluded: set[RangeRow] = set(pinned)
    overload = max(MIN_SOURCE_LOAD, mean * OVERLOAD_RATIO)
    for source in sorted(loads, key=lambda name: -loads[name]):
        if len(moves) >= limit or loads[source] <= overload:
            break
        if loads[source] - noise[source] <= overload:
            continue
        target = min(loads, key=lambda name: (loads[name], name))
        gap = loads[source] - loads[target]
        wanted_per_s = gap / (load_per_rps[source] + load_per_rps[target])
        rows = [r for r in owned[source] if r.row not in excluded]
        candidate = _best_window(rows, wanted_per_s, gap / load_per_rps[target], target)
        if candidate is None or candidate.per_s * load_per_rps[source] < MIN_MOVE_LOAD:
            candidate = _hot_key_move(rows, source, loads, load_per_rps)
        if candidate is None:
            continue
        moves.append(candidate.move)
        excluded.add(candidate.move.row)
        loads[source] -= candidate.per_s * load_per_rps[source]
        loads[candidate.move.target] += (
            candidate.per_s * load_per_rps[candidate.move.target]
        )
    return moves


def _hot_key_move(
    rows: Sequence[RowLoad],
    source: str,
    loads: Mapping[str, float],
    load_per_rps: Mapping[str, float],
) -> Candidate | None:
    """Return a move of the hottest key, which can't be split, to a faster upstream."""
    candidates = [
        (rate.per_s, rate.key, item.row) for item in rows for rate in item.rates
    ]
    if not candidates:
        return None
    per_s, key, row = max(candidates, key=lambda candidate: candidate[0])
    others = [name for name in loads if name != source]
    target = min(others, key=lambda name: loads[name] + per_s * load_per_rps[name])
    new_load = loads[target] + per_s * load_per_rps[target]
    if (
        new_load > loads[source] * HOT_KEY_MAX_LOAD_RATIO
        or load_per_rps[target] >= load_per_rps[source]
    ):
        return None
    return Candidate(RangeMove(row, key, key, target), per_s)


def _best_window(
    rows: Sequence[RowLoad], wanted_per_s: float, gap: float, target: str
) -> Candidate | None:
    """Return the move of the narrowest key window that has about the wanted load."""
    best: Candidate | None = None
    best_rank = (0, 0)
    for item in rows:
        for first, last, per_s in _windows(item.rates, wanted_per_s):
            if not 0.0 < per_s < gap:
                continue
            # Prefers the smallest difference from the wanted load, then the narrowest.
            shortfall = int(4 * abs(wanted_per_s - per_s) / max(wanted_per_s, 0.001))
            rank = (shortfall, last - first)
            if best is None or rank < best_rank:
                best = Candidate(RangeMove(item.row, first, last, target), per_s)
                best_rank = rank
    return best


def choose_window(
    rows: Sequence[RowLoad], max_per_s: float, target: str
) -> Candidate | None:
    """Return the move of the keys whose load comes close to a limit, or None."""
    return _best_window(rows, max_per_s, max_per_s * (1.0 + 1e-9), target)


def _windows(
    rates: Sequence[KeyRate], wanted_per_s: float
) -> list[tuple[int, int, float]]:
    """Return the shortest window from each first key that reaches the wanted load."""
    windows = []
    end, total = 0, 0.0
    for start, rate in enumerate(rates):
        while end < len(rates) and total < wanted_per_s:
            total += rates[end].per_s
            end += 1
        windows.append((rate.key, rates[end - 1].key, total))
        # The window without its last key may fit where the full one exceeds the limit.
        if end - 1 > start:
            lighter = total - rates[end - 1].per_s
            windows.append((rate.key, rates[end - 2].key, lighter))
        total -= rate.per_s
    return windows
