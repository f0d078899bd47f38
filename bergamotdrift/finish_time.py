"""Prediction of when an upstream would answer one more request.

Load: an entry of a large fleet sends an upstream a request every few seconds, while the
upstream's queue fills and drains within a few hundred milliseconds. A report counts for
less the older it is, and what is not known counts as idle, so that a missing or old
report delays or refuses nothing.
"""

from typing import NamedTuple

# Requests that may wait at an upstream, over all entries together. Upstreams queue
# about 12; the difference covers requests of other entries that are on their way.
QUEUE_PLACES = 10
# A request in flight for longer than this multiple of its expected work has queued.
# Most work times differ by less.
_OVERDUE_FROM = 2.5
# Margin over the prediction, and over the work of a full queue, from which on a request
# counts as unanswered. A lower one takes slow responses for silence.
_SILENT_MARGIN = 4.0
_FULL_QUEUE_MARGIN = 1.5
# An upstream that has stalled for a moment is not silent.
SILENT_AFTER_MIN_MS = 100.0
# The work of a route is unknown again after this time without a response, since
# upstreams that are refused everything would otherwise never be seen to recover.
ROUTE_WORK_TTL_MS = 2000.0
_WORK_WEIGHT = 0.05
# The speed of an upstream is learned from few responses.
_SPEED_WEIGHT = 0.2
_RATIO_MIN = 0.2
_RATIO_MAX = 5.0


class UpstreamView(NamedTuple):
    """Describe what an entry knows of an upstream's load now.

    `others` are the estimated requests of other entries, `own` those of this entry that
    may still be answered, and `oldest_ms` the age of the oldest of these. `speed` is
    the work time relative to that of other upstreams. `busy_ms` is the observed mean
    work of its requests, 0 while unknown.
    """

    slots: int
    own: int = 0
    others: float = 0.0
    oldest_ms: float = 0.0
    speed: float = 1.0
    busy_ms: float = 0.0


class FinishTime(NamedTuple):
    """Predict the time that a request waits at an upstream, and that it takes there."""

    wait_ms: float
    work_ms: float

    @property
    def total_ms(self) -> float:
        """Return the time until the response."""
        return self.wait_ms + self.work_ms

    def silent_after_ms(self, slots: int) -> float:
        """Return after which time a request counts as never to be answered."""
        full_queue_ms = self.work_ms * (1.0 + QUEUE_PLACES / slots)
        return max(
            SILENT_AFTER_MIN_MS,
            _SILENT_MARGIN * self.total_ms,
            _FULL_QUEUE_MARGIN * full_queue_ms,
        )


def predict(view: UpstreamView, route_work_ms: float) -> FinishTime:
    """Return when an upstream would answer a request with this usual work."""
    work_ms = route_work_ms * view.speed
    queued = max(0.0, view.own + view.others + 1.0 - view.slots)
    wait_ms = queued / view.slots * (view.busy_ms or work_ms)
    return FinishTime(max(wait_ms, _seen_wait_ms(view, work_ms)), work_ms)


def has_place(view: UpstreamView) -> bool:
    """Return whether slots and queue can hold one more request."""
    return view.own + view.others + 1.0 <= view.slots + QUEUE_PLACES


def _seen_wait_ms(view: UpstreamView, work_ms: float) -> float:
    """Return for how long the oldest own request must have waited so far.

    It is fresher than any report of an upstream that answers this entry rarely.
    """
    return max(0.0, view.oldest_ms - _OVERDUE_FROM * (work_ms or view.busy_ms))


class Speed:
    """Estimate the work time of one upstream relative to the usual one.

    An upstream states how slow it is now, by its own measure. The ratio of its
    responses to what it states covers a lasting difference from other upstreams.
    """

    __slots__ = ("_mean_slowness", "_ratio")

    def __init__(self) -> None:
        self._mean_slowness = 1.0
        self._ratio = 1.0

    def record(self, work_ms: float, slowness: float, usual_ms: float) -> None:
        """Record a response, with the slowness stated in it and the usual work."""
        ratio = work_ms / max(1.0, slowness * usual_ms)
        ratio = min(max(ratio, _RATIO_MIN), _RATIO_MAX)
        self._ratio += _SPEED_WEIGHT * (ratio - self._ratio)
        self._mean_slowness += _SPEED_WEIGHT * (slowness - self._mean_slowness)

    def estimate(self, slowness: float, weight: float) -> float:
        """Return the speed, given the last stated slowness and the weight it has."""
        mean = self._mean_slowness
        return self._ratio * (mean + weight * (slowness - mean))


class _Work(NamedTuple):
    mean_ms: float
    at_ms: float


class RouteWork:
    """Keep the mean work time of each route at an upstream of usual speed.

    The time that requests queued is left out.
    """

    def __init__(self) -> None:
        self._by_route: dict[str, _Work] = {}

    def record(self, route: str, work_ms: float, now_ms: float) -> None:
        """Record the work time of a response."""
        known = self._by_route.get(route)
        if known is None or now_ms - known.at_ms >= ROUTE_WORK_TTL_MS:
            self._by_route[route] = _Work(work_ms, now_ms)
            return
        mean_ms = known.mean_ms + _WORK_WEIGHT * (work_ms - known.mean_ms)
        self._by_route[route] = _Work(mean_ms, now_ms)

    def mean_ms(self, route: str, now_ms: float) -> float:
        """Return the mean work time of a route, or 0 while it is unknown."""
        known = self._by_route.get(route)
        if known is None or now_ms - known.at_ms >= ROUTE_WORK_TTL_MS:
            return 0.0
        return known.mean_ms
