"""Metrics of requests that are read ahead on callers' connections."""

from prometheus_client import Counter, Gauge

STARTED = "started"
ANSWERED = "answered"
FAILED = "failed"
DROPPED = "dropped"

REQUESTS = Counter(
    "bergamotdrift_http_read_ahead_requests_total",
    "Requests read ahead on callers' connections, by what became of them",
    ("outcome",),
)
STOPS = Counter(
    "bergamotdrift_http_read_ahead_stops_total",
    "Times that an arrived request was not read ahead, by reason",
    ("reason",),
)
HELD_BYTES = Gauge(
    "bergamotdrift_http_read_ahead_held_bytes",
    "Bytes of answers that wait for the answers before them",
)
