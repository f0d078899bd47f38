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
_TAKEOVERS = Counter("bergamotdrift_arbiter_takeovers_total", "Shards taken over")
QUEUED_REQUESTS = Gauge(
    "bergamotdrift_arbiter_queued_requests", "Permit requests that wait"
)
RUNNING_PERMITS = Gauge("bergamotdrift_arbiter_running_permits", "Permits in use")
SHARDS = Gauge("bergamotdrift_arbiter_shards", "Shards leased to this arbiter")
WAITING_SHARDS = Gauge(
    "bergamotdrift_arbiter_waiting_shards", "Shards that wait for entry reports"
)

_REFUSALS_BY_KIND = {kind: _REFUSALS.labels(kind.value) for kind in ErrorKind}
_RECORDS_BY_STATE = {state: _RECORDS.labels(state.value) for state in RecordState}


def count_outputs(outputs: Iterable[Output]) -> None:
    """Count the grants, refusals, tokens and record replies among the outputs."""
    for output in outputs:
        if isinstance(output, Reply):
            _count_message(output.message)


def count_takeover() -> None:
    """Count one takeover of a shard by this arbiter."""
    _TAKEOVERS.inc()


def _count_message(msg: Message) -> None:
    if isinstance(msg, PermitGrant):
        _GRANTS.inc()
    elif isinstance(msg, (PermitRefusal, Failure)):
        _REFUSALS_BY_KIND[msg.kind].inc()
    elif isinstance(msg, TokenGrant):
        _TOKENS.inc(msg.tokens)
    elif isinstance(msg, RecordReply):
        _RECORDS_BY_STATE[msg.state].inc()
