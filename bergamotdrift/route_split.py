"""Division of a route's requests between services by weight."""

from collections.abc import Callable, Iterable
from typing import NamedTuple, Protocol

from bergamotdrift.config.schema import (
    RouteSettings,
    ServiceSettings,
    SplitShare,
)

# Weight of the last body in the mean size of a route's bodies.
_SIZE_STEP = 0.1


class Locality(Protocol):
    """Tell which services can run a request in the entry's availability zone."""

    def is_near(self, service: ServiceSettings, routing_key: str) -> bool:
        """Tell whether an upstream of the own zone may run a request."""
        ...

    def leeway(self) -> float:
        """Return by how many requests this entry may depart from the weights."""
        ...


class SplitTurns:
    """Divide requests between services in proportion to their weights.

    Each service gains its weight with each request, and the chosen one gives the sum
    of all weights back. So a level divided by the sum is the number of requests that
    the service is behind its weight.
    """

    def __init__(self, split: tuple[SplitShare, ...]):
        self._split = split
        self._sum = sum(share.weight for share in split)
        self._levels = {share.service: 0 for share in split}
        self._mean_bytes = 0.0

    def is_small(self, body_bytes: int | None) -> bool:
        """Tell whether a body is smaller than the mean of the route.

        A chunked body has no stated size and counts as large.
        """
        return body_bytes is not None and body_bytes < self._mean_bytes

    def count_body(self, body_bytes: int | None) -> None:
        """Include the size of a body in the mean of the route."""
        if body_bytes is not None:
            self._mean_bytes += _SIZE_STEP * (body_bytes - self._mean_bytes)

    def next(
        self, is_near: Callable[[str], bool] = lambda service: False, leeway: float = 0
    ) -> str:
        """Return the service of the next request.

        A near service may go before one that is at most `leeway` requests further
        behind its weight.
        """
        for share in self._split:
            self._levels[share.service] += share.weight
        most = max(self._levels.values())
        least = most - leeway * self._sum
        due = [name for name, level in self._levels.items() if level >= least]
        near = [name for name in due if is_near(name)] if len(due) > 1 else due
        chosen = max(near or due, key=lambda name: self._levels[name])
        self._levels[chosen] -= self._sum
        return chosen


class _Place(NamedTuple):
    """Identify a split route through changes of the settings."""

    host: str
    path: str
    split: tuple[SplitShare, ...]


class RouteSplits:
    """Keep the turns of all split routes through changes of the settings.

    Turns that start anew with each change would give the first request after each of
    many changes to the same service.
    """

    def __init__(self, locality: Locality | None = None):
        self._locality = locality
        self._turns: dict[_Place, SplitTurns] = {}

    def follow(self, routes: Iterable[RouteSettings]) -> None:
        """Take changed routes."""
        places = [_Place(r.host, r.path, r.split) for r in routes if r.split]
        before = self._turns
        self._turns = {p: before.get(p) or SplitTurns(p.split) for p in places}

    def next(
        self,
        route: RouteSettings,
        services: dict[str, ServiceSettings],
        routing_key: str,
        body_bytes: int | None = 0,
    ) -> ServiceSettings:
        """Return the service that gets the next request of a split route.

        Large bodies stay in their zone before small ones.
        """
        place = _Place(route.host, route.path, route.split)
        turns = self._turns.setdefault(place, SplitTurns(route.split))
        locality = self._locality
        if locality is None:
            return services[turns.next()]

        is_small = turns.is_small(body_bytes)
        turns.count_body(body_bytes)

        def is_near(name: str) -> bool:
            return is_small or locality.is_near(services[name], routing_key)

        return services[turns.next(is_near, locality.leeway())]
