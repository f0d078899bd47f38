"""Log events and metrics of the pace of cold upstreams."""

from prometheus_client import Counter

from bergamotdrift.log import log_event
from bergamotdrift.messages import PaceLot, PaceNeed
from bergamotdrift.pace_buckets import PaceFall

FALLS = Counter(
    "bergamotdrift_control_pace_falls_total",
    "Times that the pace of a cold upstream was lowered, by reason",
    ("reason",),
)
LEASED = Counter(
    "bergamotdrift_control_pace_tokens_total",
    "Tokens for requests to cold upstreams, by what became of them",
    ("result",),
)


def record_fall(fall: PaceFall) -> None:
    """Count and log that the pace of an upstream was lowered."""
    FALLS.labels(fall.reason).inc()
    log_event(
        "pace_lowered",
        service=fall.upstream.service,
        upstream=fall.upstream.upstream,
        reason=fall.reason,
        before_per_s=round(fall.before_per_s, 2),
        per_s=round(fall.per_s, 2),
    )


def count_leased(needs: list[PaceNeed], lots: list[PaceLot]) -> None:
    """Count the tokens that entries asked for and returned, and those they got."""
    leased = sum(lot.tokens for lot in lots)
    LEASED.labels("leased").inc(leased)
    LEASED.labels("missing").inc(max(0, sum(need.wanted for need in needs) - leased))
    LEASED.labels("returned").inc(sum(max(0, need.returned) for need in needs))
