"""Ages of upstreams and of workspace limits, by the local clock."""

from collections.abc import Iterable, Mapping
from typing import NamedTuple

from bergamotdrift.config.schema import WorkspaceSettings
from bergamotdrift.feed_tables import UpstreamId
from bergamotdrift.messages import (
    UpstreamRow,
    UpstreamState,
)


class _UpstreamAge(NamedTuple):
    """Incarnation of an upstream and the time since which it has not been cold."""

    incarnation: str
    since_ms: float


class UpstreamAges:
    """Track all upstreams in the feed, including those of other arbiters' shards.

    An arbiter that takes over a shard then knows which upstreams are past their cold
    start. Those in its first feed count as new, since their age is unknown.
    """

    def __init__(self) -> None:
        self._ages: dict[UpstreamId, _UpstreamAge] = {}

    def update(
        self, upstreams: Mapping[UpstreamId, UpstreamRow], now_ms: float
    ) -> None:
        """Apply the rows of a changed feed."""
        for name in self._ages.keys() - upstreams.keys():
            del self._ages[name]
        for name, row in upstreams.items():
            age = self._ages.get(name)
            is_cold = row.state is UpstreamState.COLD
            if age is None or age.incarnation != row.incarnation or is_cold:
                self._ages[name] = _UpstreamAge(row.incarnation, now_ms)

    def since_ms(self, rows: Iterable[UpstreamRow]) -> dict[str, float]:
        """Return the time since which each upstream is known not to be cold."""
        return {
            row.upstream: self._ages[UpstreamId(row.service, row.upstream)].since_ms
            for row in rows
        }


class _LimitAge(NamedTuple):
    """Limits of a workspace and the time since which they apply."""

    rate_per_s: float
    burst: int
    since_ms: float


class LimitAges:
    """Track the rate and burst of all workspaces in the feed.

    An arbiter that takes over a workspace then knows how long leases granted by the
    previous arbiter may remain valid.
    """

    def __init__(self) -> None:
        self._ages: dict[str, _LimitAge] = {}

    def update(self, workspaces: Iterable[WorkspaceSettings], now_ms: float) -> None:
        """Apply the workspaces of changed settings."""
        before, self._ages = self._ages, {}
        for item in workspaces:
            age = before.get(item.name)
            if age is None or age[:2] != (item.rate_per_s, item.burst):
                age = _LimitAge(item.rate_per_s, item.burst, now_ms)
            self._ages[item.name] = age

    def since_ms(self, workspace: str) -> float:
        """Return the time since which a workspace's limits are known to apply."""
        return self._ages[workspace].since_ms
