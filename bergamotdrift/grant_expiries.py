"""Expiry times of key range grants, by upstream and by the keys they cover."""

from typing import NamedTuple

from bergamotdrift.feed_tables import UpstreamId
from bergamotdrift.messages import RangeRow


class Grant(NamedTuple):
    """Identify a grant to an upstream by its keys and its epoch."""

    first: int
    last: int
    epoch: int

    def overlaps(self, row: RangeRow) -> bool:
        """Return whether the grant covers a key of a range."""
        return self.first <= row.last and row.first <= self.last


def grant_of(row: RangeRow) -> Grant:
    """Return the grant of an owned range."""
    return Grant(row.first, row.last, row.epoch)


def upstream_of(row: RangeRow) -> UpstreamId:
    """Return the upstream that owns a range."""
    return UpstreamId(row.service, row.upstream)


class GrantExpiries:
    """Keep the latest possible ends of grants, in clock milliseconds.

    A range may be split or joined, or its upstream may restart, while its earlier
    grants are still valid. They are therefore found by the keys they cover.
    """

    def __init__(self) -> None:
        self._until_ms: dict[UpstreamId, dict[Grant, float]] = {}

    def record(self, row: RangeRow, until_ms: float, now_ms: float) -> None:
        """Set the end of the grant of a range, and forget grants that have expired."""
        upstream = upstream_of(row)
        grants = self._until_ms.get(upstream, {})
        valid = {grant: end for grant, end in grants.items() if end > now_ms}
        self._until_ms[upstream] = valid | {grant_of(row): until_ms}

    def latest_ms(self, row: RangeRow) -> float | None:
        """Return the latest end of the grants of a range's keys, None if unknown."""
        grants = self._until_ms.get(upstream_of(row), {})
        ends = (end for grant, end in grants.items() if grant.overlaps(row))
        return max(ends, default=None)

    def retain(self, upstreams: set[UpstreamId]) -> None:
        """Forget the grants of upstreams other than the given ones."""
        self._until_ms = {
            upstream: grants
            for upstream, grants in self._until_ms.items()
            if upstream in upstreams
        }
