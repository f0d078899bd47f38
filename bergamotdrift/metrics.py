"""Metrics that all programs share."""

from prometheus_client import REGISTRY, Counter, Gauge, generate_latest

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
INVALID_STATEMENTS = Counter(
    "bergamotdrift_upstream_statements_invalid",
    "Answers whose headers state a limit that can't be read.",
)


def render() -> bytes:
    """Return all metrics of this process in the text format of Prometheus."""
    return generate_latest(REGISTRY)
