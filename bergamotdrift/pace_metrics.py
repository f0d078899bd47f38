"""Log events and metrics of the pace of cold upstreams."""

from prometheus_client import Counter

from bergamotdrift.log import log_event
from bergamotdrift.messages import PaceLot, PaceNeed
from bergamotdrift.pace_buckets import NEW_PROCESS, STARTED, PaceChange

CHANGES = Counter(
    "bergamotdrift_control_pace_changes_total",
    "Times that the pace of a cold upstream was lowered or set anew, by reason",
    ("reason",),
)
LEASED = Counter(
    "bergamotdrift_control_pace_tokens_total",
    "Tokens for requests to cold upstreams, by what became of them",
    ("result",),
)


def record_change(change: PaceChange) -> None:
    """Count and log that the pace of an upstream was lowered or set anew."""
    CHANGES.labels(change.reason).inc()
    fields = {
        "service": change.upstream.service,
        "upstream": change.upstream.upstream,
        "reason": change.reason,
        "before_per_s": round(change.before_per_s, 2),
        "per_s": round(change.per_s, 2),
    }
    if change.reason in {STARTED, NEW_PROCESS}:
        log_event("pace_started", **fields)
    else:
        log_event("pace_lowered", **fields)


def count_leased(needs: list[PaceNeed], lots: list[PaceLot]) -> None:
    """Count the tokens that entries asked for and returned, and those they got."""
    leased = sum(lot.tokens for lot in lots)
    LEASED.labels("leased").inc(leased)
    LEASED.labels("missing").inc(max(0, sum(need.wanted for need in needs) - leased))
    LEASED.labels("returned").inc(sum(max(0, need.returned) for need in needs))
