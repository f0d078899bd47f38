"""HTTP resources of the operator API, served by every control replica."""

import hmac
from collections.abc import Callable

import falcon

from bergamotdrift.exceptions import ErrorKind
from bergamotdrift.hashing import key_digest
from bergamotdrift.operator_call_handler import refusal
from bergamotdrift.operator_messages import (
    OperatorAction,
    OperatorAnswer,
    OperatorCall,
)

MAX_BODY_BYTES = 4 * 1024 * 1024
_DEFAULT_AUDIT_ROWS = 100

CallHandler = Callable[[OperatorCall], OperatorAnswer]


def operator_app(handle_call: CallHandler, key_digests: tuple[str, ...]) -> falcon.App:
    """Return the application; `handle_call` handles a call or forwards it."""
    app = falcon.App()
    app.add_route("/v1/settings", SettingsResource(handle_call, key_digests))
    app.add_route("/v1/status", StatusResource(handle_call))
    app.add_route("/v1/audit", AuditResource(handle_call))
    return app


class SettingsResource:
    """Read and replace the settings."""

    def __init__(self, handle_call: CallHandler, key_digests: tuple[str, ...]):
        self._handle_call = handle_call
        self._key_digests = key_digests

    def on_get(self, req: falcon.Request, resp: falcon.Response) -> None:
        """Return the current revision and settings."""
        _set_answer(resp, self._handle_call(OperatorCall(OperatorAction.SETTINGS)))

    def on_post(self, req: falcon.Request, resp: falcon.Response) -> None:
        """Replace the settings; requires a valid operator key."""
        if not self._has_operator_key(req):
            _set_answer(
                resp, refusal(ErrorKind.UNAUTHENTICATED, "no valid operator key")
            )
            return
        if req.content_length is None or req.content_length > MAX_BODY_BYTES:
            _set_answer(resp, refusal(ErrorKind.BODY_TOO_LARGE))
            return
        body = req.bounded_stream.read()
        if len(body) < req.content_length:
            _set_answer(
                resp, refusal(ErrorKind.MALFORMED_REQUEST, "the body is truncated")
            )
            return
        _set_answer(resp, self._handle_call(OperatorCall(OperatorAction.APPLY, body)))

    def _has_operator_key(self, req: falcon.Request) -> bool:
        scheme, _, secret = (req.auth or "").partition(" ")
        if scheme.lower() != "bearer" or not secret:
            return False
        digest = key_digest(secret.strip())
        # Compares with every digest, so that timing doesn't reveal which one matched.
        matches = [hmac.compare_digest(digest, known) for known in self._key_digests]
        return any(matches)


class StatusResource:
    """Read the status of replicas, nodes, upstreams and shards."""

    def __init__(self, handle_call: CallHandler):
        self._handle_call = handle_call

    def on_get(self, req: falcon.Request, resp: falcon.Response) -> None:
        """Return the status as known to the leader."""
        _set_answer(resp, self._handle_call(OperatorCall(OperatorAction.STATUS)))


class AuditResource:
    """Read the audit trail in pages."""

    def __init__(self, handle_call: CallHandler):
        self._handle_call = handle_call

    def on_get(self, req: falcon.Request, resp: falcon.Response) -> None:
        """Return up to `limit` rows with numbers above `after`."""
        after = req.get_param_as_int("after", min_value=0, default=0)
        limit = req.get_param_as_int("limit", min_value=1, default=_DEFAULT_AUDIT_ROWS)
        call = OperatorCall(OperatorAction.AUDIT, after=after, limit=limit)
        _set_answer(resp, self._handle_call(call))


def _set_answer(resp: falcon.Response, answer: OperatorAnswer) -> None:
    resp.status = falcon.code_to_http_status(answer.status)
    resp.content_type = falcon.MEDIA_JSON
    resp.data = answer.body
