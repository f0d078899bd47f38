"""WSGI application of the entry."""

import secrets
from collections.abc import Callable, Iterator
from typing import Any

from bergamotdrift import entry_metrics
from bergamotdrift.caller import CallerBody, DisconnectWatch
from bergamotdrift.clock import Clock
from bergamotdrift.dialect import NATIVE, Dialect
from bergamotdrift.exceptions import (
    CallerGoneError,
    ErrorKind,
    Refusal,
    RequestDroppedError,
    RequestError,
    TruncatedAnswerError,
)
from bergamotdrift.http_input import RequestHead
from bergamotdrift.log import log_event
from bergamotdrift.pipeline import Pipeline, SettingsView
from bergamotdrift.refusals import status_line
from bergamotdrift.request import IncomingRequest, Reply
from bergamotdrift.stages.reply import refusal_reply

_REQUEST_ID_BYTES = 12
_REQUEST_ID_KEY = "bergamotdrift.request_id"
_REQUEST_ID_MAX_CHARS = 128
_LOGGED_PATH_CHARS = 100


class EntryApp:
    """Handle HTTP requests through the pipeline and count those in flight."""

    def __init__(
        self,
        pipeline: Pipeline,
        clock: Clock,
        dialect: Dialect = NATIVE,
        view: Callable[[], SettingsView | None] = lambda: None,
    ):
        self._pipeline = pipeline
        self._clock = clock
        self._dialect = dialect
        self._view = view
        self._open: set[_ReplyBody] = set()

    @property
    def running(self) -> int:
        """Number of requests that are read or answered."""
        return len(self._open)

    def is_idempotent(self, head: RequestHead) -> bool:
        """Return whether the current settings mark the route of a request as such."""
        view = self._view()
        if view is None:
            return False
        host = head.fields.get("host", [""])[0]
        match = view.routes.match(head.method, head.target, host)
        return match.map(lambda found: found.route.idempotent).value_or(False)

    def add(self, body: "_ReplyBody") -> None:
        """Count a request as running."""
        self._open.add(body)
        entry_metrics.RUNNING.set(self.running)

    def remove(self, body: "_ReplyBody") -> None:
        """Count a request as ended."""
        self._open.discard(body)
        entry_metrics.RUNNING.set(self.running)

    def log_unfinished(self) -> None:
        """Log each request that the end of the process breaks off."""
        now_ms = self._clock.now_ms()
        for body in list(self._open):
            log_event(
                "request_unfinished",
                **_names(body.environ),
                after_ms=round(now_ms - body.started_ms),
                answering=body.reply is not None,
            )

    def __call__(
        self, environ: dict[str, Any], start_response: Callable[..., Any]
    ) -> "_ReplyBody":
        """Serve one request as a WSGI application."""
        watch = DisconnectWatch(environ["bergamotdrift.caller_watch"])
        body = _ReplyBody(self, watch, environ, self._clock.now_ms())
        try:
            body.reply = self._reply(environ, watch)
            reply = body.reply
            start_response(status_line(reply.status), reply.headers)
        except BaseException as exc:
            body.close()
            if isinstance(exc, RequestDroppedError):
                log_event("request_dropped", reason=str(exc), **_names(environ))
            elif isinstance(exc, CallerGoneError):
                log_event("caller_gone", **_names(environ), running=self.running)
            raise
        return body

    def _reply(self, environ: dict[str, Any], watch: DisconnectWatch) -> Reply:
        raw = environ["bergamotdrift.body"]
        head = environ["bergamotdrift.head"]
        environ[_REQUEST_ID_KEY] = self._request_id(head)
        req = IncomingRequest(
            environ[_REQUEST_ID_KEY],
            environ["REQUEST_METHOD"],
            environ["RAW_URI"],
            head.headers,
            head.fields,
            environ["REMOTE_ADDR"],
            self._clock.now_ms(),
            CallerBody(raw, raw.remaining_bytes, watch),
        )
        try:
            return self._pipeline.handle(req)
        except RequestError as exc:
            return refusal_reply(exc.refusal, req.request_id, self._dialect)
        except (CallerGoneError, TruncatedAnswerError):
            raise
        except Exception as exc:
            log_event("request_crashed", request=req.request_id, error=repr(exc))
            refusal = Refusal(ErrorKind.INTERNAL)
            return refusal_reply(refusal, req.request_id, self._dialect)

    def _request_id(self, head: RequestHead) -> str:
        """Return the caller's request id if the dialect keeps it, else a new one."""
        if self._dialect.keeps_request_id:
            stated = head.fields.get(self._dialect.request_id.lower())
            if stated and 0 < len(stated[0]) <= _REQUEST_ID_MAX_CHARS:
                return stated[0]
        return secrets.token_hex(_REQUEST_ID_BYTES)


def _names(environ: dict[str, Any]) -> dict[str, str]:
    """Return the fields that name a request in log lines."""
    return {
        "request": environ.get(_REQUEST_ID_KEY, ""),
        "path": environ["PATH_INFO"][:_LOGGED_PATH_CHARS],
    }


class _ReplyBody:
    """Iterate over a reply's body and release its resources at the end."""

    def __init__(
        self,
        app: EntryApp,
        watch: DisconnectWatch,
        environ: dict[str, Any],
        started_ms: float,
    ):
        self._app = app
        self._watch = watch
        self._open = True
        self.environ = environ
        self.started_ms = started_ms
        self.reply: Reply | None = None
        app.add(self)

    def __iter__(self) -> Iterator[bytes]:
        return iter(()) if self.reply is None else self.reply.chunks

    def close(self) -> None:
        """Stop watching the caller and end the attempt if it is still running."""
        if not self._open:
            return
        self._open = False
        self._watch.stop()
        try:
            if self.reply is not None:
                self.reply.on_close()
        finally:
            self._app.remove(self)
