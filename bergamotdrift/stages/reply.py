"""Build the reply to the caller from an upstream response or a refusal."""

from collections.abc import Iterator

from bergamotdrift.arbiter_messages import (
    Header,
    SavedAnswer,
)
from bergamotdrift.byte_budget import CHUNK_BYTES
from bergamotdrift.dialect import NATIVE, Dialect
from bergamotdrift.exceptions import ERROR_ANSWERS, Refusal
from bergamotdrift.http_input import connection_tokens
from bergamotdrift.refusals import refusal_body, refusal_headers
from bergamotdrift.request import Reply
from bergamotdrift.stages.request_head import HOP_BY_HOP
from bergamotdrift.stages.upstream_response import UpstreamResponse

# Responses up to this size are buffered before they are forwarded, so that a truncated
# one can still be retried or refused.
BUFFERED_RESPONSE_BYTES = 64 * 1024
SAVED_RESPONSE_BYTES = 16 * 1024
_OWN_HEADERS = frozenset({"x-error-kind", "x-not-run", "x-request-id"})
_BODILESS_STATUSES = frozenset({204, 304})


def refusal_reply(
    refusal: Refusal, request_id: str, dialect: Dialect = NATIVE
) -> Reply:
    """Return the error reply for a refusal."""
    body = refusal_body(refusal, request_id)
    headers = refusal_headers(refusal, body, request_id, dialect)
    return Reply(ERROR_ANSWERS[refusal.kind].status, headers, iter((body,)))


def caller_headers(
    response: UpstreamResponse, request_id: str
) -> list[tuple[str, str]]:
    """Return the headers of an upstream response that are forwarded to the caller."""
    connection = [v for n, v in response.headers if n.lower() == "connection"]
    connection_options = connection_tokens({"connection": connection})
    headers = [
        (name, value)
        for name, value in response.headers
        if (lower := name.lower()) not in HOP_BY_HOP
        and lower not in _OWN_HEADERS
        and lower not in connection_options
        and not (lower == "content-length" and response.status in _BODILESS_STATUSES)
    ]
    headers.append(("X-Request-Id", request_id))
    return headers


def should_buffer(
    response: UpstreamResponse, limit: int = BUFFERED_RESPONSE_BYTES
) -> bool:
    """Return True if the response is to be received whole before it is forwarded.

    That holds for responses that are complete, small or delimited by connection close.
    """
    if response.is_close_delimited:
        # Only a clean close shows that it is complete, so none of it is sent earlier.
        return True
    length = response.length
    return response.is_complete or (length is not None and length <= limit)


def streamed_reply(response: UpstreamResponse, request_id: str) -> Reply:
    """Return a reply that streams the body as it arrives, once it has begun.

    The headers are sent with the first part of the body, so a response that ends before
    it is still refused or retried. Raises TruncatedAnswerError.
    """
    headers = caller_headers(response, request_id)
    return Reply(response.status, headers, response.pass_on(), response.abandon)


def buffered_reply(response: UpstreamResponse, request_id: str, body: bytes) -> Reply:
    """Return a reply with a body that has been fully received."""
    headers = caller_headers(response, request_id)
    stated = any(name.lower() == "content-length" for name, _ in headers)
    if body and not stated:
        headers.append(("Content-Length", str(len(body))))
    return Reply(response.status, headers, _slices(body), buffered_body=body)


def _slices(body: bytes) -> Iterator[bytes]:
    """Yield a body in parts, since each part is copied while it is sent."""
    for start in range(0, len(body) or 1, CHUNK_BYTES):
        yield body[start : start + CHUNK_BYTES]


def saved_response(reply: Reply, body: bytes) -> SavedAnswer | None:
    """Return a response in its stored form for idempotent replay, None if too large."""
    if len(body) > SAVED_RESPONSE_BYTES:
        return None
    headers = [Header(n, v) for n, v in reply.headers if n.lower() != "x-request-id"]
    return SavedAnswer(reply.status, headers, body)


def replayed_reply(saved: SavedAnswer, request_id: str) -> Reply:
    """Return the reply to a repeated request from its saved response."""
    headers = [(h.name, h.value) for h in saved.headers]
    headers.append(("X-Request-Id", request_id))
    return Reply(saved.status, headers, iter((saved.body,)))
