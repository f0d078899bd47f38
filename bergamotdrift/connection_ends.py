"""Reasons for which a server ends callers' connections, counted and logged."""

from enum import StrEnum
from typing import NamedTuple

from prometheus_client import Counter

from bergamotdrift.log import log_event

_ENDED = Counter(
    "bergamotdrift_http_connections_ended_total",
    "Callers' connections that ended, by reason",
    ("reason",),
)


class ConnectionEnd(StrEnum):
    """List the reasons for which a caller's connection ends."""

    ANSWERED = "answered"
    REFUSED = "refused"
    ANSWER_ABORTED = "answer_aborted"
    CALLER_CLOSED = "caller_closed"
    CALLER_LOST = "caller_lost"
    IDLE_TIMEOUT = "idle_timeout"
    NO_REQUEST = "no_request"
    STOPPING = "stopping"
    OVER_LIMIT = "over_limit"
    KILLED = "killed"


# These ends are part of an exchange that is complete, and too frequent for a line each.
_COUNTED_ONLY = frozenset({
    ConnectionEnd.ANSWERED,
    ConnectionEnd.REFUSED,
    ConnectionEnd.CALLER_CLOSED,
})


class EndedConnection(NamedTuple):
    """Describe a caller's connection at its end.

    `idle_ms` is the time since the last answer, or since the connection was accepted;
    `discarded_bytes` were read after the last answer and belong to no request that was
    answered, and `unread_bytes` had arrived but were not read.
    """

    caller: str
    answers: int
    idle_ms: int
    discarded_bytes: int
    unread_bytes: int
    detail: str = ""


def record_end(reason: ConnectionEnd, conn: EndedConnection) -> None:
    """Count the end of a connection, and log it unless the exchange was complete."""
    _ENDED.labels(reason).inc()
    if reason in _COUNTED_ONLY and not conn.unread_bytes:
        return
    log_event("connection_ended", reason=reason.value, **conn._asdict())
