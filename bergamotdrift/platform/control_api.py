"""HTTP API of control replicas for the platform's operators and upstreams."""

import time

import falcon
import msgspec

from bergamotdrift.caller import CallerWatch
from bergamotdrift.control_server import ControlServer, LeaderClient
from bergamotdrift.log import log_event
from bergamotdrift.operator_messages import LeaderCall, OperatorAnswer
from bergamotdrift.platform import names
from bergamotdrift.platform.decoding import WireError
from bergamotdrift.platform.heartbeats import decode_deregistration, decode_heartbeat
from bergamotdrift.platform.leader_call_handler import (
    INVALID,
    OK,
    UNAVAILABLE,
    LeaderAction,
    OrderNumber,
    encode_announcement,
)
from bergamotdrift.platform.rollouts import decode_order

# Operators turn to another replica after this time without a response.
CALLER_TIMEOUT_S = 1.0
_BODY_MAX_BYTES = 16 * 1024 * 1024


class LeaderCallForwarder:
    """Forward calls to the control leader."""

    def __init__(self, server: ControlServer, leader: LeaderClient):
        self._server = server
        self._leader = leader

    def forward(
        self,
        resp: falcon.Response,
        action: LeaderAction,
        subject: str = "",
        body: bytes = b"",
    ) -> None:
        """Forward a call and respond with the leader's answer."""
        self._call(resp, LeaderCall(action, subject, body))

    def forward_order(
        self,
        req: falcon.Request,
        resp: falcon.Response,
        call: LeaderCall,
    ) -> None:
        """Forward an order; respond with 503 if its caller has given it up.

        A caller that gave up may have repeated the order elsewhere and sent newer
        ones. So the order is tied to the last one on its subject before the caller is
        checked, and has no effect once a newer one was accepted.
        """
        query = LeaderCall(LeaderAction.LAST_ORDER, call.subject, call.action.encode())
        answer = self._server.call_leader(query, self._leader)
        if answer.status != OK:
            _set_response(resp, answer)
            return
        if _caller_has_given_up(req):
            log_event("order_given_up", action=call.action, subject=call.subject)
            resp.status = falcon.code_to_http_status(UNAVAILABLE)
            return
        number = msgspec.json.decode(answer.body, type=OrderNumber).number
        self._call(resp, call._replace(previous_order=number))

    def _call(self, resp: falcon.Response, call: LeaderCall) -> None:
        _set_response(resp, self._server.call_leader(call, self._leader))


class ConfigResource:
    """Accept one kind of configuration change."""

    def __init__(self, forwarder: LeaderCallForwarder, action: LeaderAction):
        self._forwarder = forwarder
        self._action = action

    def on_post(self, req: falcon.Request, resp: falcon.Response) -> None:
        """Forward the change; respond with 400 to a truncated or oversized body."""
        try:
            self._forwarder.forward(resp, self._action, body=read_body(req))
        except WireError as exc:
            respond_invalid(req, resp, exc)


class ConfigReadResource:
    """Serve the current configuration."""

    def __init__(self, forwarder: LeaderCallForwarder):
        self._forwarder = forwarder

    def on_get(self, req: falcon.Request, resp: falcon.Response) -> None:
        """Respond with the whole configuration; 503 unless a leader confirms it."""
        self._forwarder.forward(resp, LeaderAction.READ)


class EvacuationResource:
    """Start or end the evacuation of an availability zone."""

    def __init__(self, forwarder: LeaderCallForwarder, action: LeaderAction):
        self._forwarder = forwarder
        self._action = action

    def on_post(self, req: falcon.Request, resp: falcon.Response, zone: str) -> None:
        """Forward the order."""
        self._forwarder.forward_order(req, resp, LeaderCall(self._action, zone))


class RolloutStartResource:
    """Accept orders to start a rollout."""

    def __init__(self, forwarder: LeaderCallForwarder):
        self._forwarder = forwarder

    def on_post(self, req: falcon.Request, resp: falcon.Response) -> None:
        """Forward the order; respond with 400 to a malformed one."""
        try:
            body = read_body(req)
            service = decode_order(body).service
        except WireError as exc:
            respond_invalid(req, resp, exc)
            return
        call = LeaderCall(LeaderAction.START_ROLLOUT, service, body)
        self._forwarder.forward_order(req, resp, call)


class RolloutReadResource:
    """Serve the state of a service's last rollout."""

    def __init__(self, forwarder: LeaderCallForwarder):
        self._forwarder = forwarder

    def on_get(self, req: falcon.Request, resp: falcon.Response, service: str) -> None:
        """Respond with the state and the target; 503 unless a leader confirms it."""
        self._forwarder.forward(resp, LeaderAction.READ_ROLLOUT, service)


class HeartbeatResource:
    """Accept the heartbeats of upstreams."""

    def __init__(self, forwarder: LeaderCallForwarder):
        self._forwarder = forwarder

    def on_post(
        self, req: falcon.Request, resp: falcon.Response, upstream: str
    ) -> None:
        """Forward the heartbeat; respond with 400 to a malformed one."""
        try:
            item = decode_heartbeat(upstream, read_body(req))
        except WireError as exc:
            respond_invalid(req, resp, exc)
            return
        self._forwarder.forward(
            resp, LeaderAction.ANNOUNCE, upstream, encode_announcement(item)
        )


class DeregistrationResource:
    """Accept the deregistration of an upstream."""

    def __init__(self, forwarder: LeaderCallForwarder):
        self._forwarder = forwarder

    def on_post(
        self, req: falcon.Request, resp: falcon.Response, upstream: str
    ) -> None:
        """Forward the deregistration; respond with 400 to a malformed one."""
        try:
            born_ms = decode_deregistration(read_body(req))
        except WireError as exc:
            respond_invalid(req, resp, exc)
            return
        body = b"" if born_ms is None else str(born_ms).encode()
        self._forwarder.forward(resp, LeaderAction.LEAVE, upstream, body)


def control_app(forwarder: LeaderCallForwarder) -> falcon.App:
    """Build the WSGI application that serves operators and upstreams."""
    app = falcon.App()
    app.add_route(names.CONFIG_REPLACE, ConfigResource(forwarder, LeaderAction.REPLACE))
    app.add_route(names.CONFIG_UPDATE, ConfigResource(forwarder, LeaderAction.UPDATE))
    app.add_route(names.CONFIG_READ, ConfigReadResource(forwarder))
    app.add_route(names.HEARTBEAT, HeartbeatResource(forwarder))
    app.add_route(names.DEREGISTER, DeregistrationResource(forwarder))
    app.add_route(
        names.EVACUATION_START, EvacuationResource(forwarder, LeaderAction.EVACUATE)
    )
    app.add_route(
        names.EVACUATION_STOP,
        EvacuationResource(forwarder, LeaderAction.END_EVACUATION),
    )
    app.add_route(names.ROLLOUT_START, RolloutStartResource(forwarder))
    app.add_route(names.ROLLOUT_READ, RolloutReadResource(forwarder))
    return app


def read_body(req: falcon.Request) -> bytes:
    """Read the whole body of a call, or raise WireError."""
    body = req.bounded_stream.read(_BODY_MAX_BYTES + 1)
    if len(body) > _BODY_MAX_BYTES:
        raise WireError("the body is too large")
    if req.content_length is not None and len(body) < req.content_length:
        raise WireError("the body is shorter than its Content-Length")
    return body


def respond_invalid(req: falcon.Request, resp: falcon.Response, exc: WireError) -> None:
    """Log a malformed call and respond with 400."""
    log_event("platform_call_invalid", action=req.path, reason=str(exc))
    resp.status = falcon.code_to_http_status(INVALID)
    resp.media = {"error": str(exc)}


def _caller_has_given_up(req: falcon.Request) -> bool:
    watch: CallerWatch = req.env["bergamotdrift.caller_watch"]
    waited_s = time.monotonic() - req.env["bergamotdrift.caller_waits_since_s"]
    return waited_s >= CALLER_TIMEOUT_S or watch.caller_has_left()


def _set_response(resp: falcon.Response, answer: OperatorAnswer) -> None:
    resp.status = falcon.code_to_http_status(answer.status)
    resp.content_type = falcon.MEDIA_JSON
    resp.data = answer.body
