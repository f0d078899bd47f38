"""Build the reply to the caller from an answer or a refusal."""

from bergamotdrift.arbiter_messages import (
    Header,
    SavedAnswer,
)
from bergamotdrift.dialect import NATIVE, Dialect
from bergamotdrift.exceptions import ANSWERS, Refusal
from bergamotdrift.http_input import connection_tokens
from bergamotdrift.refusals import refusal_body, refusal_headers
from bergamotdrift.request import Reply
from bergamotdrift.stages.forward import (
    HOP_BY_HOP,
    UpstreamAnswer,
)

# Answers up to this size are received whole before they are sent on, so that a
# truncated one can still be repeated or refused.
WHOLE_ANSWER_BYTES = 64 * 1024
SAVED_ANSWER_BYTES = 16 * 1024
_OWN_HEADERS = frozenset({"x-error-kind", "x-not-run", "x-request-id"})
_NO_BODY_STATUS = frozenset({204, 304})


def refusal_reply(
    refusal: Refusal, request_id: str, dialect: Dialect = NATIVE
) -> Reply:
    """Return the reply that states a refusal."""
    body = refusal_body(refusal, request_id)
    headers = refusal_headers(refusal, body, request_id, dialect)
    return Reply(ANSWERS[refusal.kind].status, headers, iter((body,)))


def caller_headers(answer: UpstreamAnswer, request_id: str) -> list[tuple[str, str]]:
    """Return the headers of an upstream's answer for the caller."""
    connection = [v for n, v in answer.headers if n.lower() == "connection"]
    named = connection_tokens({"connection": connection})
    headers = [
        (name, value)
        for name, value in answer.headers
        if (lower := name.lower()) not in HOP_BY_HOP
        and lower not in _OWN_HEADERS
        and lower not in named
        and not (lower == "content-length" and answer.status in _NO_BODY_STATUS)
    ]
    headers.append(("X-Request-Id", request_id))
    return headers


def is_small(answer: UpstreamAnswer, limit: int = WHOLE_ANSWER_BYTES) -> bool:
    """Tell whether the answer is complete or known to be small."""
    if answer.is_unframed:
        # Its end tells whether it is whole, so nothing is sent on before.
        return True
    length = answer.length
    return answer.is_complete or (length is not None and length <= limit)


def streamed_reply(answer: UpstreamAnswer, request_id: str) -> Reply:
    """Return a reply whose body is passed on as it arrives."""
    headers = caller_headers(answer, request_id)
    return Reply(answer.status, headers, answer.pieces(), answer.abandon)


def whole_reply(answer: UpstreamAnswer, request_id: str, body: bytes) -> Reply:
    """Return a reply with a body that has been received whole."""
    headers = caller_headers(answer, request_id)
    stated = any(name.lower() == "content-length" for name, _ in headers)
    if body and not stated:
        headers.append(("Content-Length", str(len(body))))
    return Reply(answer.status, headers, iter((body,)), whole=body)


def saved_answer(reply: Reply, body: bytes) -> SavedAnswer | None:
    """Return an answer in the form that is kept for resends, None if too large."""
    if len(body) > SAVED_ANSWER_BYTES:
        return None
    headers = [Header(n, v) for n, v in reply.headers if n.lower() != "x-request-id"]
    return SavedAnswer(reply.status, headers, body)


def replayed_reply(saved: SavedAnswer, request_id: str) -> Reply:
    """Return the reply to a resend of an answered request."""
    headers = [(h.name, h.value) for h in saved.headers]
    headers.append(("X-Request-Id", request_id))
    return Reply(saved.status, headers, iter((saved.body,)))
