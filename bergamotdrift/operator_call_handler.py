"""Handling of operator calls at the control leader."""

import hashlib
import json
import time
from collections.abc import Callable, Sequence
from typing import Any

import msgspec
from returns.result import Failure, Result

from bergamotdrift import control_commands as cmd
from bergamotdrift.config.schema import SiteSettings
from bergamotdrift.control_state import ControlState
from bergamotdrift.exceptions import ERROR_ANSWERS, CallError, ErrorKind
from bergamotdrift.leadership import Leadership
from bergamotdrift.operator_messages import (
    OperatorAction,
    OperatorAnswer,
    OperatorCall,
)
from bergamotdrift.operator_views import audit_view, settings_view, status_view
from bergamotdrift.replication import Replicator

MAX_AUDIT_PAGE_ROWS = 500
_MAX_DETAIL_CHARS = 2000
_MAX_NAME_CHARS = 128

SettingsCheck = Callable[[Any], Result[SiteSettings, Sequence[Any]]]


class ChangeBody(msgspec.Struct, forbid_unknown_fields=True):
    """JSON body of a settings change."""

    request: str
    base_revision: int
    author: str
    settings: dict[str, Any]

    def problem(self) -> str:
        """Return a description of the first invalid field, or an empty string."""
        for field in ("request", "author"):
            if not 0 < len(getattr(self, field)) <= _MAX_NAME_CHARS:
                return f"{field} must have 1 to {_MAX_NAME_CHARS} characters"
        return "" if self.base_revision >= 0 else "base_revision must not be negative"

    def fingerprint(self) -> str:
        """Return a digest that distinguishes a resend from another change."""
        parts = [self.base_revision, self.author, self.settings]
        text = json.dumps(parts, sort_keys=True)
        return hashlib.blake2b(text.encode(), digest_size=16).hexdigest()


class OperatorCallHandler:
    """Validate and propose settings changes, and serve views of the state."""

    def __init__(
        self,
        state: ControlState,
        leadership: Leadership,
        replicator: Replicator,
        check: SettingsCheck,
        on_change: Callable[[], None],
    ):
        self._state = state
        self._leadership = leadership
        self._replicator = replicator
        self._check = check
        self._on_change = on_change

    def handle(self, call: OperatorCall) -> OperatorAnswer:
        """Return the answer to a call; NOT_LEADER if this replica does not lead."""
        if self._leadership.leader_state() is None:
            return refusal(ErrorKind.NOT_LEADER)
        if call.action is OperatorAction.APPLY:
            return self._apply(call.body)
        if call.action is OperatorAction.SETTINGS:
            return _answer(200, settings_view(self._state.settings))
        if call.action is OperatorAction.STATUS:
            return _answer(200, status_view(self._state, self._replicator.status()))
        limit = min(max(call.limit, 1), MAX_AUDIT_PAGE_ROWS)
        return _answer(200, audit_view(self._state.settings.audit, call.after, limit))

    def _apply(self, payload: bytes) -> OperatorAnswer:
        try:
            body = msgspec.json.decode(payload, type=ChangeBody)
        except msgspec.DecodeError as exc:
            return refusal(ErrorKind.MALFORMED_REQUEST, str(exc))
        problem = body.problem()
        if problem:
            return refusal(ErrorKind.MALFORMED_REQUEST, problem)
        fingerprint = body.fingerprint()
        earlier = self._state.settings.recorded_outcome(body.request, fingerprint)
        if earlier is not None:
            return _outcome_answer(earlier)
        try:
            return self._propose(body, fingerprint)
        except CallError as exc:
            return refusal(exc.refusal.kind, exc.refusal.detail)

    def _propose(self, body: ChangeBody, fingerprint: str) -> OperatorAnswer:
        check_result = self._check(body.settings)
        at_ms = int(time.time() * 1000)
        if isinstance(check_result, Failure):
            problems = [str(problem) for problem in check_result.failure()]
            refusal_command = cmd.RecordRefusal(
                body.request,
                body.author,
                body.base_revision,
                at_ms,
                fingerprint,
                ErrorKind.INVALID_SETTINGS,
                "; ".join(problems)[:_MAX_DETAIL_CHARS],
            )
            return _outcome_answer(self._leadership.propose(refusal_command))
        change = cmd.ApplySettings(
            body.request,
            body.author,
            body.base_revision,
            at_ms,
            fingerprint,
            check_result.unwrap(),
            msgspec.json.encode(body.settings),
        )
        outcome = self._leadership.propose(change)
        self._on_change()
        return _outcome_answer(outcome)


def refusal(kind: ErrorKind, detail: str = "") -> OperatorAnswer:
    """Return the answer to a call that is refused without a log entry."""
    answer = ERROR_ANSWERS[kind]
    return _answer(
        answer.status, {"error": str(kind), "message": detail or answer.text}
    )


def _outcome_answer(outcome: cmd.ChangeOutcome) -> OperatorAnswer:
    if not outcome.kind:
        return _answer(200, {"revision": outcome.revision, "outcome": "accepted"})
    answer = ERROR_ANSWERS[ErrorKind(outcome.kind)]
    return _answer(
        answer.status,
        {
            "error": outcome.kind,
            "message": outcome.detail or answer.text,
            "revision": outcome.revision,
            "author": outcome.author,
        },
    )


def _answer(status: int, body: Any) -> OperatorAnswer:
    return OperatorAnswer(status, msgspec.json.encode(body))
