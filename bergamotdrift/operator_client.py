"""Client of the operator API that retries a call on each control replica in turn."""

import uuid
from enum import StrEnum
from typing import Any, NamedTuple, TypeVar

import gevent
import msgspec
from geventhttpclient.response import HTTPParseError
from returns.result import Failure, Result, Success

from bergamotdrift.clock import BootClock, Clock
from bergamotdrift.exceptions import ErrorKind
from bergamotdrift.http_connection import (
    HttpConnection,
    read_response_body,
    read_response_head,
)
from bergamotdrift.operator_api import Accepted, Change, RefusalBody, Running
from bergamotdrift.streams import parse_address

_T = TypeVar("_T")

ATTEMPT_TIMEOUT_S = 3.0
ROUND_DELAY_S = 0.2
MAX_ANSWER_BYTES = 16 * 1024 * 1024
# Refusals that are also conclusive for earlier attempts of unknown outcome.
_CONCLUSIVE_REFUSALS = frozenset({
    ErrorKind.REVISION_CONFLICT,
    ErrorKind.INVALID_SETTINGS,
})


class CallFailureKind(StrEnum):
    """Kinds of call failures."""

    REFUSED = "refused"
    UNREACHABLE = "unreachable"
    OUTCOME_UNKNOWN = "outcome_unknown"


class CallFailure(NamedTuple):
    """Reason why a call failed; `refusal` is set if a replica refused it."""

    kind: CallFailureKind
    message: str
    refusal: RefusalBody | None = None


class _Reply(NamedTuple):
    status: int
    body: bytes


class _FailedAttempt(NamedTuple):
    """A failed attempt; it is final if `refusal` is set."""

    reason: str
    may_have_run: bool
    refusal: RefusalBody | None = None
    leader_hint: str = ""


class _ApiCall(NamedTuple):
    method: str
    path: str
    body: bytes = b""


class OperatorClient:
    """Call the operator API on the first replica that answers."""

    def __init__(
        self,
        replicas: list[str],
        operator_key: str,
        timeout_s: float = 10.0,
        clock: Clock | None = None,
    ):
        self._replicas = list(replicas)
        self._operator_key = operator_key
        self._timeout_s = timeout_s
        self._clock = clock or BootClock()

    def current_settings(self) -> Result[Running, CallFailure]:
        """Return the current settings."""
        return self._call(_ApiCall("GET", "/v1/settings"), Running)

    def status(self) -> Result[dict[str, Any], CallFailure]:
        """Return the status of the site."""
        return self._call(_ApiCall("GET", "/v1/status"), dict[str, Any])

    def audit(self, after: int, limit: int) -> Result[dict[str, Any], CallFailure]:
        """Return up to `limit` rows of the audit trail with numbers above `after`."""
        path = f"/v1/audit?after={after}&limit={limit}"
        return self._call(_ApiCall("GET", path), dict[str, Any])

    def apply(self, change: Change) -> Result[Accepted, CallFailure]:
        """Submit a change, and resend it with the same request id until answered."""
        body = msgspec.json.encode(change)
        return self._call(_ApiCall("POST", "/v1/settings", body), Accepted)

    def _call(self, call: _ApiCall, answer_type: type[_T]) -> Result[_T, CallFailure]:
        deadline_ms = self._clock.now_ms() + self._timeout_s * 1000
        may_have_run = False
        reason = "timed out before the first attempt"
        replicas = list(self._replicas)
        untried = list(replicas)
        while (remaining_s := (deadline_ms - self._clock.now_ms()) / 1000) > 0:
            replica = untried.pop(0)
            outcome = self._attempt(
                replica, call, answer_type, min(remaining_s, ATTEMPT_TIMEOUT_S)
            )
            if not isinstance(outcome, _FailedAttempt):
                return Success(outcome)
            reason = f"{replica}: {outcome.reason}"
            if outcome.refusal is not None:
                return Failure(_refusal_failure(outcome.refusal, may_have_run))
            may_have_run |= outcome.may_have_run
            if outcome.leader_hint and outcome.leader_hint not in replicas:
                replicas.append(outcome.leader_hint)
                untried.insert(0, outcome.leader_hint)
            if not untried:
                untried = list(replicas)
                gevent.sleep(min(ROUND_DELAY_S, remaining_s))
        is_unknown = may_have_run and call.method != "GET"
        kind = (
            CallFailureKind.OUTCOME_UNKNOWN
            if is_unknown
            else CallFailureKind.UNREACHABLE
        )
        return Failure(CallFailure(kind, reason))

    def _attempt(
        self, replica: str, call: _ApiCall, answer_type: type[_T], timeout_s: float
    ) -> _T | _FailedAttempt:
        reply = self._send(replica, call, timeout_s)
        if isinstance(reply, _FailedAttempt):
            return reply
        try:
            if reply.status == 200:
                return msgspec.json.decode(reply.body, type=answer_type)
            return _classify_refusal(msgspec.json.decode(reply.body, type=RefusalBody))
        except (msgspec.MsgspecError, UnicodeDecodeError) as exc:
            reason = f"response {reply.status} can't be decoded: {exc}"
            return _FailedAttempt(reason, may_have_run=True)

    def _send(
        self, replica: str, call: _ApiCall, timeout_s: float
    ) -> _Reply | _FailedAttempt:
        conn = HttpConnection(replica, self._clock)
        conn.start_request(self._clock.now_ms() + timeout_s * 1000)
        try:
            conn.connect()
            conn.send(self._request(replica, call))
            parser = read_response_head(conn, call.method)
            body = read_response_body(conn, parser, MAX_ANSWER_BYTES)
            return _Reply(parser.status, body)
        except TimeoutError:
            return _FailedAttempt("request timed out", conn.any_bytes_sent)
        except (OSError, HTTPParseError) as exc:
            if not conn.any_bytes_sent:
                return _FailedAttempt(f"connection failed: {exc}", may_have_run=False)
            return _FailedAttempt(f"response is incomplete: {exc}", may_have_run=True)
        finally:
            conn.close()

    def _request(self, replica: str, call: _ApiCall) -> bytes:
        lines = [
            f"{call.method} {call.path} HTTP/1.1",
            f"Host: {replica}",
            "Content-Type: application/json",
            f"Content-Length: {len(call.body)}",
        ]
        if self._operator_key:
            lines.append(f"Authorization: Bearer {self._operator_key}")
        return ("\r\n".join(lines) + "\r\n\r\n").encode() + call.body


def new_request_id() -> str:
    """Return a unique request id."""
    return uuid.uuid4().hex


def _classify_refusal(refusal: RefusalBody) -> _FailedAttempt:
    """Classify a refusal as final, or as a reason to try another replica."""
    reason = f"{refusal.error}: {refusal.message}"
    if refusal.is_kind(ErrorKind.NOT_LEADER):
        leader_hint = refusal.leader if _is_address(refusal.leader) else ""
        return _FailedAttempt(reason, may_have_run=False, leader_hint=leader_hint)
    if refusal.error in {ErrorKind.NO_QUORUM, ErrorKind.INTERNAL}:
        return _FailedAttempt(reason, may_have_run=True)
    if refusal.error in {ErrorKind.SHUTTING_DOWN, ErrorKind.OUTCOME_UNKNOWN}:
        return _FailedAttempt(reason, may_have_run=not refusal.not_run)
    return _FailedAttempt(reason, may_have_run=False, refusal=refusal)


def _refusal_failure(refusal: RefusalBody, may_have_run: bool) -> CallFailure:
    is_conclusive = refusal.error in _CONCLUSIVE_REFUSALS
    kind = CallFailureKind.REFUSED
    message = refusal.message or refusal.error
    if may_have_run and not is_conclusive:
        kind = CallFailureKind.OUTCOME_UNKNOWN
        message = f"the outcome of an earlier attempt is unknown; then {message}"
    return CallFailure(kind, message, refusal)


def _is_address(text: str) -> bool:
    try:
        host, port = parse_address(text)
    except ValueError:
        return False
    return bool(host) and 0 < port < 65536
