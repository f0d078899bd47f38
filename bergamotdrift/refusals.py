"""Rendering of refusals as HTTP responses."""

import http
import json
import math

from bergamotdrift.dialect import NATIVE, Dialect
from bergamotdrift.exceptions import ERROR_ANSWERS, Refusal


def status_line(status: int) -> str:
    """Return a status code with its reason phrase."""
    try:
        return f"{status} {http.HTTPStatus(status).phrase}"
    except ValueError:
        return f"{status} Unknown"


def refusal_body(refusal: Refusal, request_id: str) -> bytes:
    """Return the JSON body of a refusal."""
    answer = ERROR_ANSWERS[refusal.kind]
    text = f"{answer.text}: {refusal.detail}" if refusal.detail else answer.text
    return json.dumps({
        "error": refusal.kind.value,
        "not_run": answer.not_run,
        "message": text,
        "request_id": request_id,
    }).encode()


def refusal_headers(
    refusal: Refusal, body: bytes, request_id: str, dialect: Dialect = NATIVE
) -> list[tuple[str, str]]:
    """Return the headers of a refusal, with Retry-After if it has a delay."""
    headers = [
        ("Content-Type", "application/json"),
        ("Content-Length", str(len(body))),
        ("X-Error-Kind", refusal.kind.value),
    ]
    if request_id:
        headers.append((dialect.request_id, request_id))
    retry_after_s = refusal.retry_after_s
    if retry_after_s is None:
        retry_after_s = ERROR_ANSWERS[refusal.kind].retry_after_s
    if retry_after_s > 0:
        fine = f"{retry_after_s:.3f}"
        whole = str(math.ceil(retry_after_s))
        headers.append(("Retry-After", fine if dialect.fine_retry_after else whole))
    return headers
