"""Early refusal of requests for keys whose upstream is offered more than it can serve.

An entry of a large fleet sends an upstream too few requests to notice in time that it
is full. The leader knows what all entries are asked for, and tells them which part of
the requests an upstream can serve.
"""

import random
from collections.abc import Iterable, Mapping
from typing import NamedTuple

from bergamotdrift.feed_tables import UpstreamId
from bergamotdrift.hashing import key_hash
from bergamotdrift.messages import UpstreamOverload

# With fewer entries, each one sees enough of an upstream's answers to know its queue.
OVERLOAD_MIN_ENTRIES = 24
# Offered load, as a multiple of an upstream's capacity, from which on it counts as
# overloaded. Its queue absorbs less.
OVERLOADED_FROM = 1.15
# Admitted load. Above the capacity the queue stays full, and all answers are late.
ADMITTED_LOAD = 0.95
# The same for sites without workspaces. Nothing bounds their load at its source, and
# their targets leave time for a short queue only.
OPEN_SITE_OVERLOADED_FROM = 1.0
OPEN_SITE_ADMITTED_LOAD = 0.88
# A key with this part of an upstream's load is admitted by a draw for each request.
# One hash value would admit all of its requests at one time and none at another.
HOT_KEY_PART = 0.25
NO_HOT_KEY = -1
# The leader changes the salt of the hash this often, so that a refused caller that
# comes back as asked is not refused for the same reason all its time.
SALT_PERIOD_MS = 2000.0
# Time constant of the rates by which an overload is recognized. With the longer one of
# the balance of ranges, it is seen too late and stated for too long afterwards.
OVERLOAD_SMOOTHING_MS = 700.0
# Part of the admitted load that each rank gets in proportion to its requests.
RANK_FLOOR = 0.25
# An entry that hears no more of an overload ignores it after this time.
OVERLOAD_TTL_MS = 1500.0
# Parts of the time that is left after which callers are asked to come back. They are
# spread, since all callers of a hot key are refused at the same time.
_RETRY_FROM = 0.1
_RETRY_UNTIL = 0.3


class LoadLimits(NamedTuple):
    """Bound the load of upstreams: what counts as overload, and what is admitted."""

    overloaded_from: float = OVERLOADED_FROM
    admitted: float = ADMITTED_LOAD


USUAL_LIMITS = LoadLimits()
OPEN_SITE_LIMITS = LoadLimits(OPEN_SITE_OVERLOADED_FROM, OPEN_SITE_ADMITTED_LOAD)


def overloads_of(
    service: str,
    loads: Mapping[str, float],
    limits: LoadLimits = USUAL_LIMITS,
    hot_keys: Mapping[str, int] | None = None,
) -> list[UpstreamOverload]:
    """Return the overloaded upstreams of a service; a load of 1.0 is the capacity."""
    hot = hot_keys or {}
    return [
        UpstreamOverload(
            service,
            upstream,
            round(1000.0 * limits.admitted / load),
            hot.get(upstream, NO_HOT_KEY),
        )
        for upstream, load in sorted(loads.items())
        if load >= limits.overloaded_from
    ]


def salt_at(now_ms: float) -> int:
    """Return the salt that the leader states at a time."""
    return int(now_ms / SALT_PERIOD_MS)


def admitted_by_rank(admitted: float, mix: Mapping[int, float]) -> dict[int, float]:
    """Return the admitted part of each rank, given the part of all requests.

    `mix` maps each rank to its part of the requests. Each rank gets a floor, and the
    more urgent ones the rest.
    """
    floor = RANK_FLOOR * admitted
    left = admitted - floor
    parts = {}
    for rank in sorted(mix):
        added = min(left, (1.0 - floor) * mix[rank])
        parts[rank] = floor + (added / mix[rank] if mix[rank] > 0.0 else 0.0)
        left -= added
    return parts


class Draw(NamedTuple):
    """Identify what a repeated request has in common with the refused one."""

    caller: str
    service: str
    key: int
    rank: int


class GateDecision(NamedTuple):
    """State whether a request is sent, and how many it counts for in reports.

    Requests that are refused and repeated are not counted. Those that are sent stand
    for them, so that repetitions don't appear as load.
    """

    admitted: bool
    weight: float = 1.0


class OverloadGate:
    """Decide at one entry which requests are refused before they are sent."""

    def __init__(self, rng: random.Random):
        self._rng = rng
        self._admitted: dict[UpstreamId, float] = {}
        self._hot_keys: dict[UpstreamId, int] = {}
        self._salt = 0
        self._expires_ms = 0.0

    def update(
        self, items: Iterable[UpstreamOverload], now_ms: float, salt: int = 0
    ) -> None:
        """Replace what is known of overloaded upstreams."""
        found = {UpstreamId(item.service, item.upstream): item for item in items}
        self._admitted = {
            key: item.admitted_permille / 1000.0 for key, item in found.items()
        }
        self._hot_keys = {key: item.hot_key for key, item in found.items()}
        self._salt = salt
        self._expires_ms = now_ms + OVERLOAD_TTL_MS

    def refuses(self, upstream: UpstreamId, now_ms: float) -> bool:
        """Return whether to refuse a request; call it once for each request."""
        if now_ms >= self._expires_ms:
            return False
        admitted = self._admitted.get(upstream)
        return admitted is not None and self._rng.random() >= admitted

    def decide(
        self, upstream: UpstreamId, draw: Draw, mix: Mapping[int, float], now_ms: float
    ) -> GateDecision:
        """Return whether to send a request; a repeated one gets the same decision."""
        admitted = self._admitted.get(upstream)
        if admitted is None or now_ms >= self._expires_ms:
            return GateDecision(True)
        part = min(1.0, admitted_by_rank(admitted, mix).get(draw.rank, admitted))
        if draw.key == self._hot_keys.get(upstream, NO_HOT_KEY):
            position = self._rng.random()
        else:
            position = _hash_position(draw, self._salt)
        if position >= part:
            return GateDecision(False, 0.0)
        return GateDecision(True, 1.0 / part)

    def retry_after_s(self, left_ms: float) -> float:
        """Return when a refused caller with `left_ms` of time may come back."""
        return self._rng.uniform(_RETRY_FROM, _RETRY_UNTIL) * max(0.0, left_ms) / 1000.0


def _hash_position(draw: Draw, salt: int) -> float:
    """Return a number from 0 to 1 that is the same at all entries."""
    text = f"{draw.caller}\0{draw.service}\0{draw.key}\0{salt}"
    return key_hash(text) / 2.0**64
