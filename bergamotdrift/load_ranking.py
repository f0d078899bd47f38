"""Ranking of upstreams by load while keys are assigned to them."""

from collections.abc import Mapping
from heapq import heapify, heappop, heappush


class LoadRanking:
    """Find the least loaded of many upstreams in logarithmic time.

    Loads only grow. The heap holds one entry for each load that an upstream has had;
    an outdated entry is dropped when it reaches the top.
    """

    def __init__(self, loads: Mapping[str, float]):
        self._loads = dict(loads)
        self._heap = [(load, upstream) for upstream, load in loads.items()]
        heapify(self._heap)

    def least_loaded(self) -> str:
        """Return the upstream with the lowest load, by name if several have it."""
        while self._loads[self._heap[0][1]] != self._heap[0][0]:
            heappop(self._heap)
        return self._heap[0][1]

    def by_load(self) -> list[str]:
        """Return all upstreams, the least loaded first."""
        return sorted(self._loads, key=lambda name: (self._loads[name], name))

    def add(self, upstream: str, load: float) -> None:
        """Add load to an upstream."""
        self._loads[upstream] += load
        heappush(self._heap, (self._loads[upstream], upstream))
