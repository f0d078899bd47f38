"""Classify the failures of attempts by what the upstream may have received."""

from typing import NamedTuple

from geventhttpclient.response import HTTPParseError

from bergamotdrift import entry_metrics
from bergamotdrift.arbiter_messages import AttemptOutcome
from bergamotdrift.attempts import RunningAttempt
from bergamotdrift.exceptions import (
    CallerGoneError,
    ErrorKind,
    Refusal,
    RequestError,
)
from bergamotdrift.http_connection import broken_reason


class AttemptFailure(NamedTuple):
    """Describe a failed attempt; `not_run` is True if it certainly was not run."""

    refusal: Refusal
    outcome: AttemptOutcome
    not_run: bool
    upstream: str = ""


def classify_failure(exc: BaseException, running: RunningAttempt) -> AttemptFailure:
    """Return the failure of an attempt that an exception ended."""
    conn = running.conn
    sent = conn is not None and conn.any_bytes_sent
    if not sent:
        if isinstance(exc, RequestError):
            return AttemptFailure(exc.refusal, AttemptOutcome.CANCELLED, True)
        outcome = AttemptOutcome.CONNECT_FAILED
        if running.cancel_reason or isinstance(exc, CallerGoneError):
            outcome = AttemptOutcome.CANCELLED
        return AttemptFailure(
            Refusal(ErrorKind.NO_UPSTREAM, f"connect failed: {exc}"), outcome, True
        )
    if running.cancel_reason:
        refusal = Refusal(ErrorKind.OUTCOME_UNKNOWN, running.cancel_reason)
        return AttemptFailure(refusal, AttemptOutcome.CANCELLED, False)
    if isinstance(exc, TimeoutError):
        refusal = Refusal(ErrorKind.UPSTREAM_TIMEOUT)
        return AttemptFailure(refusal, AttemptOutcome.TIMEOUT, False)
    if isinstance(exc, (OSError, HTTPParseError)):
        entry_metrics.BROKEN_RESPONSES.labels(broken_reason(exc)).inc()
        refusal = Refusal(ErrorKind.OUTCOME_UNKNOWN, f"the connection broke: {exc}")
        return AttemptFailure(refusal, AttemptOutcome.BROKEN, False)
    refusal = Refusal(ErrorKind.OUTCOME_UNKNOWN, "the request was interrupted")
    return AttemptFailure(refusal, AttemptOutcome.CANCELLED, False)
