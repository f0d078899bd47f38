"""Prometheus endpoint, and the metrics that all programs share."""

import falcon
import gevent
from prometheus_client import (
    CONTENT_TYPE_LATEST,
    REGISTRY,
    Counter,
    Gauge,
    generate_latest,
)

from bergamotdrift.clock import Clock

LOOP_CHECK_INTERVAL_MS = 500

EVENTS = Counter("bergamotdrift_events", "Log events by name.", ["event"])
LOG_LINES_DROPPED = Counter(
    "bergamotdrift_log_lines_dropped", "Log lines that could not be written."
)
LOG_LINES_SUPPRESSED = Counter(
    "bergamotdrift_log_lines_suppressed", "Log lines left out to bound their volume."
)
LOOP_DELAY = Gauge(
    "bergamotdrift_event_loop_delay_seconds",
    "Delay of the last timer of the event loop; high when the process is overloaded.",
)


class MetricsResource:
    """Serve the metrics of this process."""

    def on_get(self, req: falcon.Request, resp: falcon.Response) -> None:
        """Respond with all metrics of the default registry in the text format."""
        resp.content_type = CONTENT_TYPE_LATEST
        resp.data = generate_latest(REGISTRY)


def watch_event_loop(clock: Clock) -> gevent.Greenlet:
    """Start measuring the delay of the event loop; kill the greenlet to stop."""
    return gevent.spawn(_measure_delay, clock)


def _measure_delay(clock: Clock) -> None:
    while True:
        due_ms = clock.now_ms() + LOOP_CHECK_INTERVAL_MS
        gevent.sleep(LOOP_CHECK_INTERVAL_MS / 1000)
        LOOP_DELAY.set(max(0.0, clock.now_ms() - due_ms) / 1000)
