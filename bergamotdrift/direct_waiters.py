"""Requests that wait at an entry with direct dispatch, in the order of their turn."""

import itertools
from collections.abc import Callable

from gevent.event import AsyncResult

from bergamotdrift.direct_admission import rank_of
from bergamotdrift.request import RoutedRequest
from bergamotdrift.waiting_order import WaitingOrder, WaitingRequest


class Waiter:
    """Queued request, with the permit that it is granted."""

    def __init__(self, number: int, routed: RoutedRequest, excluded: list[str]):
        self.rank = rank_of(routed)
        self.number = number
        self.routed = routed
        self.excluded = excluded
        self.fut: AsyncResult = AsyncResult()

    def request(self, is_late: bool) -> WaitingRequest:
        """Return what decides on the turn of the request."""
        deadline_ms = self.routed.deadline_ms
        return WaitingRequest(self.rank, is_late, deadline_ms, self.number)


class Waiters:
    """Keep the queued requests of an entry."""

    def __init__(self) -> None:
        self._waiters: list[Waiter] = []
        self._numbers = itertools.count(1)
        self._order = WaitingOrder()

    def add(self, routed: RoutedRequest, excluded: list[str]) -> Waiter:
        """Queue a request."""
        waiter = Waiter(next(self._numbers), routed, excluded)
        self._waiters.append(waiter)
        return waiter

    def remove(self, waiter: Waiter) -> None:
        """Drop a request that no longer waits."""
        self._waiters.remove(waiter)

    def by_arrival(self) -> list[Waiter]:
        """Return the requests by rank and arrival."""
        return sorted(self._waiters, key=lambda w: (w.rank, w.number))

    def by_deadline(self, is_late: Callable[[RoutedRequest], bool]) -> list[Waiter]:
        """Return the requests of each service by rank and remaining time."""
        by_service: dict[str, list[tuple[WaitingRequest, Waiter]]] = {}
        for waiter in self._waiters:
            item = (waiter.request(is_late(waiter.routed)), waiter)
            by_service.setdefault(waiter.routed.service.name, []).append(item)
        return [
            waiter
            for service, items in by_service.items()
            for waiter in self._order.sorted(service, items)
        ]

    def record_sent(self, sent: Waiter) -> None:
        """Record that a request was sent in its turn."""
        service = sent.routed.service.name
        ranks = [waiter.rank for waiter in self._unanswered(service)]
        self._order.record_sent(service, sent.rank, ranks)

    def has_more_urgent(self, routed: RoutedRequest) -> bool:
        """Return whether a more urgent request is queued for the same service."""
        rank = rank_of(routed)
        return any(w.rank < rank for w in self._unanswered(routed.service.name))

    def _unanswered(self, service: str) -> list[Waiter]:
        return [
            waiter
            for waiter in self._waiters
            if waiter.routed.service.name == service and not waiter.fut.ready()
        ]
