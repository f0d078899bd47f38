"""Metrics of the entry.

Label values come from fixed lists and the settings, which bounds their number.
"""

from functools import lru_cache

from prometheus_client import Counter, Gauge, Histogram

_BUCKETS_S = (0.001, 0.002, 0.005, 0.01, 0.02, 0.05, 0.1, 0.2, 0.5, 1, 2, 5, 10, 30)
UNROUTED = "none"
ANSWERED = "answered"

REQUESTS = Counter(
    "bergamotdrift_entry_requests_total",
    "Requests by service, stage that ended them and error kind",
    ("service", "stage", "kind"),
)
RETRIES = Counter(
    "bergamotdrift_entry_retries_total",
    "Repeated attempts by service and outcome of the failed one",
    ("service", "outcome"),
)
BROKEN_RESPONSES = Counter(
    "bergamotdrift_entry_broken_responses_total",
    "Responses of upstreams that were not accepted, by reason",
    ("reason",),
)
ADMISSIONS = Counter(
    "bergamotdrift_entry_admission_total",
    "Attempts sent or refused by the admission control, by service and reason",
    ("service", "reason"),
)
VERSION_REQUESTS = Counter(
    "bergamotdrift_entry_rollout_requests_total",
    "Attempts during rollouts by service and version (target or other)",
    ("service", "version"),
)
LATENCY = Histogram(
    "bergamotdrift_entry_latency_seconds",
    "Time from the request's head to the start of the answer",
    ("service",),
    buckets=_BUCKETS_S,
)


PACE_TOKENS = Counter(
    "bergamotdrift_entry_pace_tokens_total",
    "Tokens of cold upstreams by what became of them",
    ("result",),
)


@lru_cache(maxsize=1024)
def _requests(service: str, stage: str, kind: str) -> Counter:
    return REQUESTS.labels(service, stage, kind)


@lru_cache(maxsize=256)
def _latency(service: str) -> Histogram:
    return LATENCY.labels(service)


@lru_cache(maxsize=1024)
def _admissions(service: str, reason: str) -> Counter:
    return ADMISSIONS.labels(service, reason)


def count_admission(service: str, reason: str) -> None:
    """Count an attempt that was sent or refused by the admission control."""
    _admissions(service, reason).inc()


def count_answered(service: str, latency_s: float) -> None:
    """Count a request that got a response from an upstream."""
    _requests(service, "answer", ANSWERED).inc()
    _latency(service).observe(latency_s)


def count_version(service: str, is_target: bool) -> None:
    """Count an attempt that was sent during a rollout."""
    VERSION_REQUESTS.labels(service, "target" if is_target else "other").inc()


def count_refused(service: str, stage: str, kind: str) -> None:
    """Count a request that a stage refused."""
    _requests(service, stage, kind).inc()


RUNNING = Gauge("bergamotdrift_entry_running", "Requests that run now")
