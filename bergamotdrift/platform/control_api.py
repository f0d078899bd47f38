"""HTTP calls of the platform's operators and upstreams, on any control replica."""

import falcon

from bergamotdrift.control_server import ControlServer, LeaderCaller
from bergamotdrift.log import log_event
from bergamotdrift.operator_messages import LeaderCall, OperatorAnswer
from bergamotdrift.platform import names
from bergamotdrift.platform.decoding import WireError
from bergamotdrift.platform.heartbeats import decode_departure, decode_heartbeat
from bergamotdrift.platform.leader_call_handler import INVALID, Action, pack

_BODY_MAX_BYTES = 16 * 1024 * 1024


class LeaderCalls:
    """Pass calls on to the leader's desk."""

    def __init__(self, server: ControlServer, leader: LeaderCaller):
        self._server = server
        self._leader = leader

    def fill(
        self,
        resp: falcon.Response,
        action: Action,
        subject: str = "",
        body: bytes = b"",
    ) -> None:
        """Answer with what the leader answers."""
        call = LeaderCall(action, subject, body)
        _fill(resp, self._server.call_leader(call, self._leader))


class ConfigResource:
    """Take one kind of change of the configuration."""

    def __init__(self, calls: LeaderCalls, action: Action):
        self._calls = calls
        self._action = action

    def on_post(self, req: falcon.Request, resp: falcon.Response) -> None:
        """Pass the change on; a body that is cut short is invalid."""
        try:
            self._calls.fill(resp, self._action, body=read_body(req))
        except WireError as exc:
            refuse(req, resp, exc)


class ReadResource:
    """Show the newest configuration."""

    def __init__(self, calls: LeaderCalls):
        self._calls = calls

    def on_get(self, req: falcon.Request, resp: falcon.Response) -> None:
        """Answer with the whole configuration, or 503 if it is not sure."""
        self._calls.fill(resp, Action.READ)


class EvacuationResource:
    """Start or end the evacuation of an availability zone."""

    def __init__(self, calls: LeaderCalls, action: Action):
        self._calls = calls
        self._action = action

    def on_post(self, req: falcon.Request, resp: falcon.Response, zone: str) -> None:
        """Pass the order on."""
        self._calls.fill(resp, self._action, zone)


class HeartbeatResource:
    """Take what upstreams say of themselves."""

    def __init__(self, calls: LeaderCalls):
        self._calls = calls

    def on_post(
        self, req: falcon.Request, resp: falcon.Response, upstream: str
    ) -> None:
        """Pass the heartbeat on; one that can't be read names no upstream."""
        try:
            item = decode_heartbeat(upstream, read_body(req))
        except WireError as exc:
            refuse(req, resp, exc)
            return
        self._calls.fill(resp, Action.ANNOUNCE, upstream, pack(item))


class DepartureResource:
    """Take note that an upstream leaves."""

    def __init__(self, calls: LeaderCalls):
        self._calls = calls

    def on_post(
        self, req: falcon.Request, resp: falcon.Response, upstream: str
    ) -> None:
        """Pass the departure on."""
        try:
            born_ms = decode_departure(read_body(req))
        except WireError as exc:
            refuse(req, resp, exc)
            return
        body = b"" if born_ms is None else str(born_ms).encode()
        self._calls.fill(resp, Action.LEAVE, upstream, body)


def control_app(calls: LeaderCalls) -> falcon.App:
    """Return the application that serves operators and upstreams."""
    app = falcon.App()
    app.add_route(names.CONFIG_REPLACE, ConfigResource(calls, Action.REPLACE))
    app.add_route(names.CONFIG_UPDATE, ConfigResource(calls, Action.UPDATE))
    app.add_route(names.CONFIG_READ, ReadResource(calls))
    app.add_route(names.HEARTBEAT, HeartbeatResource(calls))
    app.add_route(names.DEREGISTER, DepartureResource(calls))
    app.add_route(names.EVACUATION_START, EvacuationResource(calls, Action.EVACUATE))
    app.add_route(names.EVACUATION_STOP, EvacuationResource(calls, Action.TAKE_BACK))
    return app


def read_body(req: falcon.Request) -> bytes:
    """Return the whole body of a call, or raise WireError."""
    body = req.bounded_stream.read(_BODY_MAX_BYTES + 1)
    if len(body) > _BODY_MAX_BYTES:
        raise WireError("the body is too large")
    if req.content_length is not None and len(body) < req.content_length:
        raise WireError("the body is cut short")
    return body


def refuse(req: falcon.Request, resp: falcon.Response, exc: WireError) -> None:
    """Answer that a call can't be read."""
    log_event("platform_call_invalid", action=req.path, reason=str(exc))
    resp.status = falcon.code_to_http_status(INVALID)
    resp.media = {"error": str(exc)}


def _fill(resp: falcon.Response, answer: OperatorAnswer) -> None:
    resp.status = falcon.code_to_http_status(answer.status)
    resp.content_type = falcon.MEDIA_JSON
    resp.data = answer.body
