"""Weighted traffic split of a route between services."""

from collections.abc import Callable, Iterable
from typing import NamedTuple, Protocol

from bergamotdrift.config.schema import (
    RouteSettings,
    ServiceSettings,
    SplitShare,
)

# Smoothing factor of the moving average of a route's body sizes.
_MEAN_SIZE_SMOOTHING = 0.1


class Locality(Protocol):
    """Find the services that can serve a request in the entry's availability zone."""

    def is_near(self, service: ServiceSettings, routing_key: str) -> bool:
        """Return True if an upstream in the entry's zone can serve the request."""
        ...

    def leeway(self) -> float:
        """Return by how many requests this entry may deviate from the weights."""
        ...


class WeightedRoundRobin:
    """Select services by smooth weighted round robin.

    With each request, every service's current weight grows by its configured weight,
    and the selected one's drops by the sum of all weights. A current weight divided by
    that sum is the number of requests that the service is behind its share.
    """

    def __init__(self, split: tuple[SplitShare, ...]):
        self._split = split
        self._total_weight = sum(share.weight for share in split)
        self._current_weights = {share.service: 0 for share in split}
        self._mean_bytes = 0.0

    def is_small(self, body_bytes: int | None) -> bool:
        """Return True if a body is smaller than the route's moving average.

        A chunked body has no known size and counts as large.
        """
        return body_bytes is not None and body_bytes < self._mean_bytes

    def count_body(self, body_bytes: int | None) -> None:
        """Add the size of a body to the route's moving average."""
        if body_bytes is not None:
            self._mean_bytes += _MEAN_SIZE_SMOOTHING * (body_bytes - self._mean_bytes)

    def next(
        self, is_near: Callable[[str], bool] = lambda service: False, leeway: float = 0
    ) -> str:
        """Return the service for the next request.

        A near service is preferred over one that is at most `leeway` requests further
        behind its share.
        """
        for share in self._split:
            self._current_weights[share.service] += share.weight
        highest = max(self._current_weights.values())
        threshold = highest - leeway * self._total_weight
        eligible = [
            name for name, level in self._current_weights.items() if level >= threshold
        ]
        near = (
            [name for name in eligible if is_near(name)]
            if len(eligible) > 1
            else eligible
        )
        chosen = max(near or eligible, key=lambda name: self._current_weights[name])
        self._current_weights[chosen] -= self._total_weight
        return chosen


class _SplitRoute(NamedTuple):
    """Identify a split route across settings revisions."""

    host: str
    path: str
    split: tuple[SplitShare, ...]


class RouteSplits:
    """Keep the round-robin state of split routes across settings revisions.

    If the state were reset with each revision, the first request after each of many
    changes would go to the same service.
    """

    def __init__(self, locality: Locality | None = None):
        self._locality = locality
        self._selectors: dict[_SplitRoute, WeightedRoundRobin] = {}

    def update_routes(self, routes: Iterable[RouteSettings]) -> None:
        """Adopt changed routes; unchanged ones keep their state."""
        places = [_SplitRoute(r.host, r.path, r.split) for r in routes if r.split]
        before = self._selectors
        self._selectors = {
            p: before.get(p) or WeightedRoundRobin(p.split) for p in places
        }

    def next(
        self,
        route: RouteSettings,
        services: dict[str, ServiceSettings],
        routing_key: str,
        body_bytes: int | None = 0,
    ) -> ServiceSettings:
        """Return the service for the next request of a split route.

        Large bodies take precedence over small ones for staying in the zone.
        """
        split_route = _SplitRoute(route.host, route.path, route.split)
        selector = self._selectors.setdefault(
            split_route, WeightedRoundRobin(route.split)
        )
        locality = self._locality
        if locality is None:
            return services[selector.next()]

        is_small = selector.is_small(body_bytes)
        selector.count_body(body_bytes)

        def is_near(name: str) -> bool:
            return is_small or locality.is_near(services[name], routing_key)

        return services[selector.next(is_near, locality.leeway())]
