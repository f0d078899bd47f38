"""Reports of entries on a rollout, and their sums, during a leader's term."""

from collections import deque
from collections.abc import Sequence
from typing import NamedTuple

from bergamotdrift.messages import NodeRow, VersionResult
from bergamotdrift.version_results import Tally, difference, tally_of, total

# Counts are also compared over the last seconds alone, since a version may become bad
# after many good responses.
_SAMPLE_INTERVAL_MS = 1000.0
_RECENT_SAMPLES = 3

_ByRoute = dict[str, Tally]


class Report(NamedTuple):
    """Hold the last report of an entry and the feed index it had applied then."""

    row: NodeRow | None
    feed_index: int
    results: Sequence[VersionResult]
    # Whether the entry ended all its requests and its session.
    has_left: bool = False


class Sums(NamedTuple):
    """Hold the counts of all entries by route, for the new and for other versions."""

    new: _ByRoute
    old: _ByRoute

    def since(self, earlier: "Sums") -> "Sums":
        """Return what was counted after `earlier`."""
        return Sums(
            _by_route_since(self.new, earlier.new),
            _by_route_since(self.old, earlier.old),
        )


class Watch:
    """Keep the reports on one rollout during a leader's term."""

    def __init__(self, number: int):
        self.number = number
        self.reports: dict[str, Report] = {}
        self.lost_at_ms: dict[str, float] = {}
        self.samples: deque[tuple[float, Sums]] = deque(maxlen=_RECENT_SAMPLES)
        self.planned_ms = float("-inf")
        self.stepped_ms = float("-inf")
        self.full_since_ms: float | None = None
        # Feed index from which on no entry sends the old versions requests.
        self.moved_index: int | None = None

    def sums(self, target: str) -> Sums:
        """Return the counts of all entries, also of those that have left."""
        new: dict[str, list[Tally]] = {}
        old: dict[str, list[Tally]] = {}
        for report in self.reports.values():
            for item in report.results:
                if item.route:
                    sums = new if item.version == target else old
                    sums.setdefault(item.route, []).append(tally_of(item))
        return Sums(
            {name: total(items) for name, items in new.items()},
            {name: total(items) for name, items in old.items()},
        )

    def add_sample(self, sums: Sums, now_ms: float) -> None:
        """Keep the counts for later comparisons."""
        if not self.samples or now_ms - self.samples[-1][0] >= _SAMPLE_INTERVAL_MS:
            self.samples.append((now_ms, sums))


def _by_route_since(later: _ByRoute, earlier: _ByRoute) -> _ByRoute:
    return {
        name: difference(item, earlier.get(name, Tally()))
        for name, item in later.items()
    }
