"""Order in which an entry sends requests that wait for an upstream.

Load: requests of several ranks wait at once and each may be held only briefly. A caller
that was refused and came back has less time left than others, and a request that is
already late can lose less than one that can still be on time.
"""

import itertools
from collections import Counter
from collections.abc import Collection, Iterable
from typing import NamedTuple, TypeVar

# After this many more urgent requests in a row, a less urgent one that waits is sent.
URGENT_RUN = 3


class WaitingRequest(NamedTuple):
    """Describe a waiting request; `is_late` if it can't be on time any more."""

    rank: int
    is_late: bool
    deadline_ms: float
    number: int


_T = TypeVar("_T")


class WaitingOrder:
    """Order waiting requests of one service, with a share for less urgent ones."""

    def __init__(self) -> None:
        # More urgent requests sent in a row while a less urgent one waited.
        self._runs: Counter[str] = Counter()
        # When a rank was last sent ahead of a more urgent one.
        self._turns: dict[tuple[str, int], int] = {}
        self._numbers = itertools.count(1)

    def sorted(
        self, service: str, items: Iterable[tuple[WaitingRequest, _T]]
    ) -> list[_T]:
        """Return the items in the order in which they are to be sent."""
        found = sorted(items, key=lambda item: _order(item[0]))
        if found and self._runs[service] >= URGENT_RUN:
            first_rank = found[0][0].rank
            lower = [item for item in found if item[0].rank > first_rank]
            if lower:
                turn = min(
                    lower, key=lambda i: self._turns.get((service, i[0].rank), 0)
                )
                found.remove(turn)
                found.insert(0, turn)
        return [item for _, item in found]

    def record_sent(
        self, service: str, rank: int, waiting_ranks: Collection[int]
    ) -> None:
        """Count a request that was sent while requests of other ranks waited."""
        if any(other < rank for other in waiting_ranks):
            self._turns[service, rank] = next(self._numbers)
            self._runs[service] = 0
        elif any(other > rank for other in waiting_ranks):
            self._runs[service] += 1
        else:
            self._runs[service] = 0


def _order(item: WaitingRequest) -> tuple[int, bool, float, int]:
    return item.rank, item.is_late, item.deadline_ms, item.number
