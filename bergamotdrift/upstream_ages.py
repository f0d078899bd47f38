"""Since when upstreams and limits are known to be as they are, by one's own clock."""

from collections.abc import Iterable, Mapping
from typing import NamedTuple

from bergamotdrift.config.schema import WorkspaceSettings
from bergamotdrift.messages import (
    UpstreamRow,
    UpstreamState,
)
from bergamotdrift.tables import UpstreamId


class _Age(NamedTuple):
    """Hold one run of an upstream and since when it is not announced as cold."""

    incarnation: str
    since_ms: float


class UpstreamAges:
    """Follow all upstreams in the feed, also those of other arbiters' shards.

    An arbiter that takes a shard over so knows which upstreams are past their cold
    start. Those in its first feed count as new, since their age is unknown.
    """

    def __init__(self) -> None:
        self._ages: dict[UpstreamId, _Age] = {}

    def update(
        self, upstreams: Mapping[UpstreamId, UpstreamRow], now_ms: float
    ) -> None:
        """Take the rows of a changed feed."""
        for name in self._ages.keys() - upstreams.keys():
            del self._ages[name]
        for name, row in upstreams.items():
            age = self._ages.get(name)
            is_cold = row.state is UpstreamState.COLD
            if age is None or age.incarnation != row.incarnation or is_cold:
                self._ages[name] = _Age(row.incarnation, now_ms)

    def since_ms(self, rows: Iterable[UpstreamRow]) -> dict[str, float]:
        """Return since when upstreams are known to run."""
        return {
            row.upstream: self._ages[UpstreamId(row.service, row.upstream)].since_ms
            for row in rows
        }


class _Limits(NamedTuple):
    """Hold the limits of a workspace and since when they are in force."""

    rate_per_s: float
    burst: int
    since_ms: float


class LimitAges:
    """Follow the rate and burst of all workspaces in the feed.

    An arbiter that takes a workspace over so knows how long the leases of the
    earlier arbiter may still run.
    """

    def __init__(self) -> None:
        self._ages: dict[str, _Limits] = {}

    def update(self, workspaces: Iterable[WorkspaceSettings], now_ms: float) -> None:
        """Take the workspaces of changed settings."""
        before, self._ages = self._ages, {}
        for item in workspaces:
            age = before.get(item.name)
            if age is None or age[:2] != (item.rate_per_s, item.burst):
                age = _Limits(item.rate_per_s, item.burst, now_ms)
            self._ages[item.name] = age

    def since_ms(self, workspace: str) -> float:
        """Return since when the limits of a workspace are known to be in force."""
        return self._ages[workspace].since_ms
