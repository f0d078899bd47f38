"""Metrics of a node's session with the control leader."""

from collections.abc import Callable

from prometheus_client import Gauge, Histogram

PING_TIME = Histogram(
    "bergamotdrift_control_ping_seconds",
    "Time from a ping to the control leader until its reply",
    buckets=(0.005, 0.01, 0.02, 0.05, 0.1, 0.2, 0.5, 1),
)
SETTINGS_AGE = Gauge(
    "bergamotdrift_settings_age_seconds",
    "Time since the control leader last confirmed the settings",
)


def report_settings_age(settings_age_ms: Callable[[], float]) -> None:
    """Set the source of the settings age, in milliseconds."""
    SETTINGS_AGE.set_function(lambda: settings_age_ms() / 1000.0)
