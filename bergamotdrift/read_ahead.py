"""Decision which requests of a connection are read ahead of the answers before them.

It responds to callers that pipeline. Running their requests concurrently must not
reorder work that can't be repeated, nor let one connection hold much memory.
"""

from enum import StrEnum
from typing import NamedTuple

from bergamotdrift.http_input import HttpLimits, RequestHead


class StopReason(StrEnum):
    """List the reasons for which a request that has arrived is not read ahead."""

    NOT_IDEMPOTENT = "not_idempotent"
    HAS_BODY = "has_body"
    INVALID = "invalid"
    BEHIND_NOT_IDEMPOTENT = "behind_not_idempotent"
    BEHIND_BODY = "behind_body"
    BEHIND_CLOSE = "behind_close"
    TOO_MANY_REQUESTS = "too_many_requests"
    TOO_MANY_BYTES = "too_many_bytes"
    TOO_MANY_BYTES_IN_TOTAL = "too_many_bytes_in_total"


class RequestTraits(NamedTuple):
    """Hold what decides whether a request may run beside others of its connection.

    `closes` is true if the connection ends with its answer.
    """

    is_idempotent: bool
    has_body: bool
    closes: bool = False


class AheadLoad(NamedTuple):
    """Count the requests read ahead on a connection and the bytes of their answers.

    `total_bytes` counts those of all connections of the server.
    """

    requests: int
    held_bytes: int
    total_bytes: int


def has_body(head: RequestHead) -> bool:
    """Return whether a body follows a head."""
    return head.chunked or bool(head.length)


def stop_behind(
    last: RequestTraits, load: AheadLoad, limits: HttpLimits
) -> StopReason | None:
    """Return why nothing is read behind the last request read, or None to read on."""
    if last.closes:
        return StopReason.BEHIND_CLOSE
    if last.has_body:
        return StopReason.BEHIND_BODY
    if not last.is_idempotent:
        return StopReason.BEHIND_NOT_IDEMPOTENT
    if load.requests >= limits.max_ahead_requests:
        return StopReason.TOO_MANY_REQUESTS
    if load.held_bytes >= limits.max_ahead_bytes:
        return StopReason.TOO_MANY_BYTES
    if load.total_bytes >= limits.max_ahead_total_bytes:
        return StopReason.TOO_MANY_BYTES_IN_TOTAL
    return None


def stop_before(request: RequestTraits) -> StopReason | None:
    """Return why a request must wait for the answers before it, or None to start it."""
    if request.has_body:
        return StopReason.HAS_BODY
    if not request.is_idempotent:
        return StopReason.NOT_IDEMPOTENT
    return None
