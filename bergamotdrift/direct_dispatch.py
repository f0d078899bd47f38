"""What an entry needs to decide by itself which upstream runs a request."""

import random
from collections.abc import Callable

from bergamotdrift.attempts import AttemptRegistry
from bergamotdrift.clock import Clock
from bergamotdrift.config.schema import EntrySettings, ServiceSettings
from bergamotdrift.direct_permits import DirectPermits
from bergamotdrift.direct_selection import DirectChoice
from bergamotdrift.messages import (
    FeedUpdate,
    KeyLoad,
    RateLot,
    RateNeed,
    Role,
    UpstreamSpeed,
)
from bergamotdrift.rate_allowance import RateAllowance
from bergamotdrift.retry_policy import SharedRetryBudget
from bergamotdrift.tables import Tables

# Requests by which all entries together may depart from the weights of a split, so
# that requests stay in their zone. A share is judged over some hundred requests.
_SPLIT_LEEWAY = 18.0


class DirectDispatch:
    """Join the entry's own choice, its rate tokens and its share of retries."""

    def __init__(
        self,
        cfg: EntrySettings,
        tables: Callable[[], Tables],
        registry: AttemptRegistry,
        clock: Clock,
    ):
        self._cfg = cfg
        self._tables = tables
        self._clock = clock
        rng = random.Random()
        self._choice = DirectChoice(cfg.node.node, cfg.node.zone, rng)
        self.permits = DirectPermits(tables, self._choice, registry, clock)
        self.tokens = RateAllowance(clock, self._rate_of)
        self._entries = 1

    def on_tables_changed(self, update: FeedUpdate) -> None:
        """Follow the feed."""
        tables = self._tables()
        self._entries = max(1, len(list(tables.nodes_of(Role.ENTRY))))
        self._choice.update(tables, self._clock.now_ms())
        self.permits.notify()

    def is_near(self, service: ServiceSettings, routing_key: str) -> bool:
        """Tell whether an upstream of the own availability zone may run a request."""
        return self._choice.is_near(service, routing_key, self._tables())

    def leeway(self) -> float:
        """Return by how many requests this entry may depart from a split's weights."""
        return _SPLIT_LEEWAY / self._entries

    def new_budget(self) -> SharedRetryBudget:
        """Return this entry's share of the retry budget of one service."""
        return SharedRetryBudget(
            self._cfg.retry_ratio, lambda: self._cfg.retry_fleet_per_s / self._entries
        )

    def rate_needs(self) -> list[RateNeed]:
        """Return the rate tokens that are needed or returned."""
        return self.tokens.rate_needs()

    def key_loads(self) -> list[KeyLoad]:
        """Return the requests by key since the last call."""
        return self.permits.key_loads()

    def speeds(self) -> list[UpstreamSpeed]:
        """Return how long upstreams take, where that has changed."""
        return self._choice.changed_speeds()

    def take_rates(self, lots: list[RateLot], asked_at_ms: float) -> None:
        """Take leased rate tokens."""
        self.tokens.take_rates(lots, asked_at_ms)

    def _rate_of(self, workspace: str) -> float:
        settings = self._tables().settings
        found = settings.workspace(workspace) if settings is not None else None
        return found.rate_per_s if found is not None else 0.0
