"""Metrics of the arbiter."""

from collections.abc import Iterable

from prometheus_client import Counter, Gauge

from bergamotdrift.arbiter_messages import (
    PermitGrant,
    PermitRefusal,
    RecordReply,
    RecordState,
    TokenGrant,
)
from bergamotdrift.exceptions import ErrorKind
from bergamotdrift.messages import (
    Failure,
    Message,
)
from bergamotdrift.outputs import Output, Reply

_GRANTS = Counter("bergamotdrift_arbiter_permits_granted_total", "Permits granted")
_REFUSALS = Counter(
    "bergamotdrift_arbiter_refusals_total", "Requests refused", ["kind"]
)
_TOKENS = Counter(
    "bergamotdrift_arbiter_tokens_leased_total", "Rate tokens leased to entries"
)
_RECORDS = Counter(
    "bergamotdrift_arbiter_records_total", "Uses of idempotency keys", ["state"]
)
_OPENINGS = Counter("bergamotdrift_arbiter_takeovers_total", "Shards taken over")
QUEUED = Gauge("bergamotdrift_arbiter_queued_requests", "Permit requests that wait")
RUNNING = Gauge("bergamotdrift_arbiter_running_permits", "Permits in use")
SHARDS = Gauge("bergamotdrift_arbiter_shards", "Shards leased to this arbiter")
WAITING_SHARDS = Gauge(
    "bergamotdrift_arbiter_waiting_shards", "Shards that wait for entry reports"
)

_REFUSED = {kind: _REFUSALS.labels(kind.value) for kind in ErrorKind}
_RECORDED = {state: _RECORDS.labels(state.value) for state in RecordState}


def count_outputs(outputs: Iterable[Output]) -> None:
    """Count the decisions in a list of outputs."""
    for output in outputs:
        if isinstance(output, Reply):
            _count(output.message)


def count_takeover() -> None:
    """Count a shard that this arbiter took over."""
    _OPENINGS.inc()


def _count(msg: Message) -> None:
    if isinstance(msg, PermitGrant):
        _GRANTS.inc()
    elif isinstance(msg, (PermitRefusal, Failure)):
        _REFUSED[msg.kind].inc()
    elif isinstance(msg, TokenGrant):
        _TOKENS.inc(msg.tokens)
    elif isinstance(msg, RecordReply):
        _RECORDED[msg.state].inc()
