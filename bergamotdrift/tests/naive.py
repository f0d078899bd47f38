"""Baseline router: independent entries, each with an even share of every limit."""

from collections import deque
from typing import NamedTuple

from bergamotdrift.config.schema import ServiceKind, ServiceSettings, SiteSettings
from bergamotdrift.hashing import rendezvous


class NaiveUpstream(NamedTuple):
    """Describe an upstream as the baseline entry sees it."""

    service: str
    upstream: str
    zone: str


class NaiveBucket:
    """Limit the rate of one entry by a token bucket, in requests per second."""

    def __init__(self, rate_per_s: float, burst: float, now_ms: float):
        self._rate_per_ms = rate_per_s / 1000.0
        self._burst = burst
        self._tokens = burst
        self._at_ms = now_ms

    def take(self, now_ms: float) -> bool:
        """Take one token, or return False if none is left."""
        refill = (now_ms - self._at_ms) * self._rate_per_ms
        self._tokens = min(self._burst, self._tokens + refill)
        self._at_ms = now_ms
        if self._tokens < 1.0:
            return False
        self._tokens -= 1.0
        return True


class NaiveEntry:
    """Route with local knowledge only: hashing, round robin and local limits."""

    def __init__(self, settings: SiteSettings, entries: int, now_ms: float):
        self._settings = settings
        self._entries = entries
        self._in_flight: dict[tuple[str, str], int] = {}
        self._waiting: dict[tuple[str, str], deque] = {}
        self._next_index: dict[str, int] = {}
        self._buckets = {
            w.name: NaiveBucket(
                w.rate_per_s / entries, max(1, w.burst / entries), now_ms
            )
            for w in settings.workspaces
        }

    def admit(self, workspace: str, now_ms: float) -> bool:
        """Take a token of the entry's own share of the workspace's rate."""
        return self._buckets[workspace].take(now_ms)

    def choose(
        self, service: ServiceSettings, key: str, upstreams: list[NaiveUpstream]
    ) -> NaiveUpstream | None:
        """Return the key's upstream by hashing, or the next one of a pool."""
        if not upstreams:
            return None
        if service.kind is ServiceKind.KEYED:
            best = rendezvous(key, [u.upstream for u in upstreams])[0]
            return next(u for u in upstreams if u.upstream == best)
        index = self._next_index.get(service.name, 0)
        self._next_index[service.name] = index + 1
        return upstreams[index % len(upstreams)]

    def limit(self, service: ServiceSettings) -> int:
        """Return the entry's share of an upstream's slots, at least one."""
        return max(1, service.slots // self._entries)
