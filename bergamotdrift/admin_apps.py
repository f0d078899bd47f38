"""WSGI applications for metrics and health checks.

They don't use falcon, whose modules take 5 MB in each entry, which needs it for nothing
else.
"""

import json
from collections.abc import Callable, Iterable
from typing import Any, NamedTuple

from prometheus_client import CONTENT_TYPE_LATEST

from bergamotdrift import metrics
from bergamotdrift.refusals import status_line

_JSON = "application/json"


class AdminAnswer(NamedTuple):
    """Hold the answer to a call of an operator's tool."""

    status: int
    content_type: str
    body: bytes


class AdminApp:
    """Answer GET requests by path."""

    def __init__(self, routes: dict[str, Callable[[], AdminAnswer]]):
        self._routes = routes

    def __call__(
        self, environ: dict[str, Any], start_response: Callable[..., Any]
    ) -> Iterable[bytes]:
        """Serve one request as a WSGI application."""
        answer, headers = self._answer(environ)
        headers.append(("Content-Type", answer.content_type))
        headers.append(("Content-Length", str(len(answer.body))))
        start_response(status_line(answer.status), headers)
        return [answer.body]

    def _answer(
        self, environ: dict[str, Any]
    ) -> tuple[AdminAnswer, list[tuple[str, str]]]:
        route = self._routes.get(environ["PATH_INFO"])
        if route is None:
            return _json_answer(404, {"title": status_line(404)}), []
        if environ["REQUEST_METHOD"] != "GET":
            answer = _json_answer(405, {"title": status_line(405)})
            return answer, [("Allow", "GET")]
        return route(), []


def readiness_app(path: str, is_ready: Callable[[], bool]) -> AdminApp:
    """Return an application that serves only the readiness check at `path`."""
    return AdminApp({path: lambda: _readiness(is_ready())})


def admin_app(is_ready: Callable[[], bool]) -> AdminApp:
    """Return an application with `/metrics`, `/live` and `/ready`."""
    return AdminApp({
        "/metrics": _metrics,
        "/live": lambda: _json_answer(200, {"live": True}),
        "/ready": lambda: _readiness(is_ready()),
    })


def _metrics() -> AdminAnswer:
    return AdminAnswer(200, CONTENT_TYPE_LATEST, metrics.render())


def _readiness(is_ready: bool) -> AdminAnswer:
    """Return 200 when ready, else 503, for load balancers."""
    return _json_answer(200 if is_ready else 503, {"ready": is_ready})


def _json_answer(status: int, content: dict[str, Any]) -> AdminAnswer:
    return AdminAnswer(status, _JSON, json.dumps(content).encode())
