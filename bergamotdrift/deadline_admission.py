"""Decision whether a request is sent, by when it would be answered.

Load: requests with short and long targets, of several ranks, share the queue of an
upstream. Once the queue is longer than a target allows, each request that is added to
it makes all later ones late, and the upstream works without effect.
"""

from collections.abc import Iterable
from enum import StrEnum
from typing import NamedTuple

from bergamotdrift.finish_time import FinishTime

# A kind of request that was not seen for this long is not waited for.
KIND_TTL_MS = 5000.0
# Part of the requests refused for the sake of more urgent ones that is sent anyway.
LESS_URGENT_PART = 0.25


class Reason(StrEnum):
    """Why a request was sent or refused."""

    # Sent.
    UNKNOWN = "unknown"
    ON_TIME = "on_time"
    IDLE = "idle"
    LATE_HARMLESS = "late_harmless"
    SHARE = "share"
    # Refused.
    DEADLINE = "deadline"
    QUEUE = "queue"
    FLOOD = "flood"
    LATE = "late"
    LESS_URGENT = "less_urgent"
    OVERLOAD = "overload"
    HELD = "held"
    BLOCKED = "blocked"


class Decision(NamedTuple):
    """State whether a request is sent, why, and when else there would be room."""

    admitted: bool
    reason: Reason
    room_in_ms: float = 0.0


class RequestTerms(NamedTuple):
    """Describe a request: its rank, and the time left until target and deadline.

    `target_left_ms` is None for a route without a target.
    """

    rank: int
    target_left_ms: float | None
    left_ms: float


class Kind(NamedTuple):
    """Describe a kind of request: its rank, target and usual work."""

    rank: int
    target_ms: float
    work_ms: float

    @property
    def longest_wait_ms(self) -> float:
        """Return how long a new request of this kind may queue and be on time."""
        return self.target_ms - self.work_ms


def decide(
    finish: FinishTime, terms: RequestTerms, kinds: Iterable[Kind], slots: int
) -> Decision:
    """Return whether to send a request to an upstream with this prediction."""
    if finish.total_ms > terms.left_ms:
        return Decision(False, Reason.DEADLINE, finish.wait_ms)
    if finish.wait_ms <= 0.0:
        return Decision(True, Reason.IDLE)
    # After this request, the next one waits for its part of the slots as well.
    next_wait_ms = finish.wait_ms + finish.work_ms / slots
    others = [kind for kind in kinds if kind.longest_wait_ms > 0.0]
    target_left_ms = terms.target_left_ms
    if target_left_ms is None or finish.total_ms <= target_left_ms:
        limit_ms = _shortest_wait_ms(kind for kind in others if kind.rank < terms.rank)
        if next_wait_ms > limit_ms:
            room_in_ms = next_wait_ms - limit_ms
            return Decision(False, Reason.LESS_URGENT, room_in_ms)
        return Decision(True, Reason.ON_TIME)
    limit_ms = _shortest_wait_ms(others)
    if next_wait_ms > limit_ms:
        return Decision(False, Reason.LATE, next_wait_ms - limit_ms)
    return Decision(True, Reason.LATE_HARMLESS)


def _shortest_wait_ms(kinds: Iterable[Kind]) -> float:
    return min((kind.longest_wait_ms for kind in kinds), default=float("inf"))


class LessUrgentShare:
    """Send a part of the requests that would be refused for more urgent ones."""

    def __init__(self) -> None:
        self._credit: dict[tuple[str, int], float] = {}

    def apply(self, service: str, rank: int, decision: Decision) -> Decision:
        """Return the decision, or that the request is sent as part of the share."""
        if decision.reason is not Reason.LESS_URGENT:
            return decision
        if self._credit.get((service, rank), 0.0) < 1.0:
            return decision
        return Decision(True, Reason.SHARE)

    def record(self, service: str, rank: int, reason: Reason) -> None:
        """Record why a request was finally sent or refused."""
        key = (service, rank)
        if reason is Reason.LESS_URGENT:
            gained = LESS_URGENT_PART / (1.0 - LESS_URGENT_PART)
            self._credit[key] = min(1.0, self._credit.get(key, 0.0) + gained)
        elif reason is Reason.SHARE:
            self._credit[key] = 0.0


class RecentKinds:
    """Keep the kinds of requests that a service was recently asked for."""

    def __init__(self) -> None:
        self._seen: dict[str, dict[str, tuple[Kind, float]]] = {}

    def record(self, service: str, route: str, kind: Kind, now_ms: float) -> None:
        """Record a request; kinds without a target can't be late."""
        if kind.target_ms > 0:
            self._seen.setdefault(service, {})[route] = (kind, now_ms)

    def of(self, service: str, now_ms: float) -> list[Kind]:
        """Return the kinds of a service."""
        return [
            kind
            for kind, at_ms in self._seen.get(service, {}).values()
            if now_ms - at_ms < KIND_TTL_MS
        ]
