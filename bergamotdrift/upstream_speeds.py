"""Estimated load of upstreams per request, from the slot times that entries report."""

from collections.abc import Collection, Iterable, Sequence

from bergamotdrift.feed_tables import UpstreamId
from bergamotdrift.messages import UpstreamRow, UpstreamSpeed

# Limits the effect of a few slow or fast responses on the estimate for an upstream.
_BUSY_MIN_MS = 5.0
_BUSY_MAX_MS = 2000.0
_DEFAULT_BUSY_MS = 100.0
# Bounds the load of an upstream whose stated limit is about 0.
_LIMIT_MIN_PER_S = 0.1


class UpstreamSpeeds:
    """Keep each entry's report of each upstream, and the medians over the entries."""

    def __init__(self) -> None:
        self._by_node: dict[UpstreamId, dict[str, float]] = {}
        # Medians of the reports; a new report of an upstream removes its median.
        self._medians: dict[UpstreamId, float] = {}

    def add(self, node: str, speeds: Sequence[UpstreamSpeed]) -> None:
        """Add the upstream response times that one entry reports."""
        for item in speeds:
            key = UpstreamId(item.service, item.upstream)
            busy_ms = min(max(item.busy_ms, _BUSY_MIN_MS), _BUSY_MAX_MS)
            self._by_node.setdefault(key, {})[node] = busy_ms
            self._medians.pop(key, None)

    def load_per_rps(self, rows: Iterable[UpstreamRow]) -> dict[str, float]:
        """Return the fraction of its capacity that each upstream uses per request/s."""
        default_ms = self._median_busy_ms()
        loads = {}
        for row in rows:
            key = UpstreamId(row.service, row.upstream)
            busy_ms = self._medians.get(key, default_ms)
            load = busy_ms / 1000.0 / max(1, row.slots)
            if row.limit_per_s is not None:
                load = max(load, 1.0 / max(row.limit_per_s, _LIMIT_MIN_PER_S))
            loads[row.upstream] = load
        return loads

    def retain(self, known: Collection[UpstreamId]) -> None:
        """Drop the reports of upstreams other than the given ones."""
        for key in [key for key in self._by_node if key not in known]:
            del self._by_node[key]
            self._medians.pop(key, None)

    def _median_busy_ms(self) -> float:
        """Return the median over all upstreams, for one without reports."""
        for key, by_node in self._by_node.items():
            if key not in self._medians:
                self._medians[key] = _median_of(by_node.values())
        return _median_of(self._medians.values()) or _DEFAULT_BUSY_MS


def _median_of(values: Collection[float]) -> float:
    """Return the lower median, or 0 for no values.

    With a median, a response lost at one entry does not make an upstream look slow.
    """
    return sorted(values)[(len(values) - 1) // 2] if values else 0.0
