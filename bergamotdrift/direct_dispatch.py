"""Direct dispatch: an entry selects upstreams itself, without an arbiter."""

import random
from collections.abc import Callable

from bergamotdrift.attempts import AttemptRegistry
from bergamotdrift.clock import Clock
from bergamotdrift.config.schema import (
    EntrySettings,
    ServiceSettings,
    WorkspaceSettings,
)
from bergamotdrift.direct_permits import DirectPermits
from bergamotdrift.direct_selection import DirectSelector
from bergamotdrift.entry_metrics import PACE_TOKENS
from bergamotdrift.feed_tables import FeedTables
from bergamotdrift.leader_pace_client import LeaderPaceClient
from bergamotdrift.leader_token_client import LeaderTokenClient
from bergamotdrift.log import log_event
from bergamotdrift.messages import (
    FeedUpdate,
    KeyLoad,
    PaceLot,
    PaceNeed,
    RateLot,
    RateNeed,
    Role,
    UpstreamOverload,
    UpstreamReport,
    UpstreamSpeed,
    VersionResult,
)
from bergamotdrift.retry_policy import SharedRetryBudget

# Requests by which all entries together may deviate from the weights of a traffic
# split, to keep requests in their zone. Shares are evaluated over a few hundred
# requests.
_SPLIT_TOLERANCE = 18.0


class DirectDispatch:
    """Combine upstream selection, rate tokens and this entry's retry budget."""

    def __init__(
        self,
        cfg: EntrySettings,
        tables: Callable[[], FeedTables],
        registry: AttemptRegistry,
        clock: Clock,
        control_age_ms: Callable[[], float] = lambda: 0.0,
    ):
        self._cfg = cfg
        self._tables = tables
        self._clock = clock
        rng = random.Random()
        self.paces = LeaderPaceClient(clock, cfg.node.node, cfg.cold_bound)
        self._selector = DirectSelector(cfg.node.node, cfg.node.zone, rng, self.paces)
        self._selector.versions.control_age_ms = control_age_ms
        self.permits = DirectPermits(tables, self._selector, registry, clock)
        self.tokens = LeaderTokenClient(clock, self._rate_of, self._burst_share_of)
        self._entries = 1

    def on_tables_changed(self, update: FeedUpdate) -> None:
        """Apply an update of the feed."""
        tables = self._tables()
        self._entries = max(1, len(list(tables.nodes_of(Role.ENTRY))))
        self._selector.update(tables, self._clock.now_ms())
        for row in self._selector.versions.update(tables.rollouts):
            log_event(
                "rollout_applied",
                service=row.service,
                target=row.target,
                state=row.state.value,
                share_permille=row.share_permille,
                index=tables.index,
            )
        self.permits.notify()

    def is_near(self, service: ServiceSettings, routing_key: str) -> bool:
        """Return whether an upstream in this availability zone can serve a request."""
        return self._selector.has_upstream_in_zone(service, routing_key, self._tables())

    def leeway(self) -> float:
        """Return by how many requests this entry may deviate from a split's weights."""
        return _SPLIT_TOLERANCE / self._entries

    def new_budget(self) -> SharedRetryBudget:
        """Return this entry's share of the retry budget of one service."""
        return SharedRetryBudget(
            self._cfg.retry_ratio, lambda: self._cfg.retry_fleet_per_s / self._entries
        )

    def rate_needs(self) -> list[RateNeed]:
        """Return the rate tokens to request or to return."""
        return self.tokens.rate_needs()

    def pace_needs(self) -> list[PaceNeed]:
        """Return the tokens for cold upstreams to request or to return."""
        needs = self.paces.pace_needs()
        if needs:
            PACE_TOKENS.labels("wanted").inc(sum(need.wanted for need in needs))
            PACE_TOKENS.labels("returned").inc(sum(need.returned for need in needs))
        return needs

    def key_loads(self) -> list[KeyLoad]:
        """Return the request counts by key since the last call."""
        return self.permits.key_loads()

    def speeds(self) -> list[UpstreamSpeed]:
        """Return the response times of upstreams whose response time has changed."""
        return self._selector.changed_speeds()

    def reports(self) -> list[UpstreamReport]:
        """Return what upstreams have stated since the last report."""
        return self._selector.due_reports(self._clock.now_ms())

    def version_results(self) -> list[VersionResult]:
        """Return the counts of requests by version of all running rollouts."""
        return self._selector.versions.results()

    def take_rates(self, lots: list[RateLot], asked_at_ms: float) -> None:
        """Add leased rate tokens."""
        self.tokens.take_rates(lots, asked_at_ms)

    def take_paces(self, lots: list[PaceLot], asked_at_ms: float) -> None:
        """Add leased tokens for cold upstreams and serve the requests that wait."""
        self.paces.take_paces(lots, asked_at_ms)
        if lots:
            PACE_TOKENS.labels("leased").inc(sum(lot.tokens for lot in lots))
            self.permits.notify()
            self.paces.wake()

    def take_overloads(self, items: list[UpstreamOverload], salt: int) -> None:
        """Replace what is known of overloaded upstreams."""
        self._selector.overloads.update(items, self._clock.now_ms(), salt)

    def _rate_of(self, workspace: str) -> float:
        found = self._workspace(workspace)
        return found.rate_per_s if found is not None else 0.0

    def _burst_share_of(self, workspace: str) -> float:
        found = self._workspace(workspace)
        return found.burst / self._entries if found is not None else 0.0

    def _workspace(self, name: str) -> WorkspaceSettings | None:
        settings = self._tables().settings
        return settings.workspace(name) if settings is not None else None
