"""HTTP endpoint for upstream announcements, which are relayed to control in batches."""

import json
from typing import Any, NamedTuple, NotRequired, Protocol, TypedDict

import falcon
import gevent
import msgspec
from gevent import queue
from gevent.event import AsyncResult

from bergamotdrift.exceptions import (
    ERROR_ANSWERS,
    CallError,
    ErrorKind,
    ProtocolError,
    StreamClosedError,
)
from bergamotdrift.messages import (
    Announcement,
    AnnouncementReplies,
    AnnouncementReply,
    Message,
    PartitionEpoch,
    RelayAnnouncements,
    UpstreamState,
)

# Announcements are collected for this long to form a batch, a small part of the 500 ms
# between two announcements of an upstream.
_BATCH_DELAY_MS = 10
_MAX_BATCH_SIZE = 256
_MAX_PENDING = 2048
_RELAY_TIMEOUT_MS = 1000
_MAX_BODY_BYTES = 256 * 1024
_MAX_NAME_CHARS = 200


class AnnouncementBody(TypedDict):
    """Describe the JSON body that an upstream sends."""

    service: str
    upstream: str
    address: str
    zone: str
    incarnation: str
    state: UpstreamState
    released: NotRequired[list[PartitionEpoch]]


class _PendingAnnouncement(NamedTuple):
    """Associate an announcement with the future of its reply."""

    announcement: Announcement
    fut: AsyncResult


class ControlClient(Protocol):
    """Send requests to the control leader."""

    def call(self, msg: Message, timeout_ms: float = ...) -> Message:
        """Return the leader's reply."""
        ...


class AnnouncementRelay:
    """Collect announcements and relay them to the control leader in batches."""

    def __init__(self, control: ControlClient):
        self._control = control
        self._pending: queue.Queue = queue.Queue(_MAX_PENDING)
        self._greenlet: gevent.Greenlet | None = None

    def start(self) -> None:
        """Start relaying in the background."""
        self._greenlet = gevent.spawn(self._run)

    def stop(self) -> None:
        """Stop relaying."""
        if self._greenlet is not None:
            self._greenlet.kill(block=False)

    def announce(self, item: Announcement) -> AnnouncementReply | ErrorKind:
        """Relay an announcement and return the reply, or an error kind without one."""
        fut: AsyncResult = AsyncResult()
        try:
            self._pending.put_nowait(_PendingAnnouncement(item, fut))
            return fut.get(timeout=2 * _RELAY_TIMEOUT_MS / 1000.0)
        except queue.Full:
            return ErrorKind.QUEUE_FULL
        except gevent.Timeout:
            return ErrorKind.NO_QUORUM

    def _run(self) -> None:
        while True:
            batch = [self._pending.get()]
            gevent.sleep(_BATCH_DELAY_MS / 1000.0)
            while len(batch) < _MAX_BATCH_SIZE and not self._pending.empty():
                batch.append(self._pending.get_nowait())
            # A batch must not wait for the reply to the previous one.
            gevent.spawn(self._relay, batch)

    def _relay(self, batch: list[_PendingAnnouncement]) -> None:
        replies = self._call_control([item.announcement for item in batch])
        for item, reply in zip(batch, replies, strict=True):
            item.fut.set(reply)

    def _call_control(
        self, items: list[Announcement]
    ) -> list[AnnouncementReply] | list[ErrorKind]:
        try:
            answer = self._control.call(RelayAnnouncements(items), _RELAY_TIMEOUT_MS)
        except CallError as exc:
            return [exc.refusal.kind] * len(items)
        except (StreamClosedError, ProtocolError, gevent.Timeout):
            return [ErrorKind.NO_QUORUM] * len(items)
        if not isinstance(answer, AnnouncementReplies):
            return [ErrorKind.INTERNAL] * len(items)
        if len(answer.items) != len(items):
            return [ErrorKind.INTERNAL] * len(items)
        return answer.items


class AnnounceResource:
    """Handle `POST /v1/announce`."""

    def __init__(self, relay: AnnouncementRelay):
        self._relay = relay

    def on_post(self, req: falcon.Request, resp: falcon.Response) -> None:
        """Relay an announcement and respond with the upstream's grants."""
        try:
            item = parse_announcement(req.bounded_stream.read(_MAX_BODY_BYTES + 1))
        except ProtocolError as exc:
            _send_error(resp, ErrorKind.MALFORMED_REQUEST, str(exc))
            return
        reply = self._relay.announce(item)
        if isinstance(reply, ErrorKind):
            _send_error(resp, reply, ERROR_ANSWERS[reply].text)
        elif reply.error:
            _send_error(resp, _error_kind(reply.error), reply.error)
        else:
            resp.media = {
                "lease_ms": reply.lease_ms,
                "grants": [list(item) for item in reply.grants],
                "release": [list(item) for item in reply.release],
            }


def parse_announcement(data: bytes) -> Announcement:
    """Return the announcement in a JSON body, or raise ProtocolError."""
    if len(data) > _MAX_BODY_BYTES:
        raise ProtocolError("the announcement is too large")
    try:
        body: Any = msgspec.convert(json.loads(data), AnnouncementBody)
    except (ValueError, TypeError, RecursionError) as exc:
        raise ProtocolError(f"invalid announcement: {exc}") from exc
    item = Announcement(**body)
    names = (item.service, item.upstream, item.address, item.zone, item.incarnation)
    if not all(0 < len(name) <= _MAX_NAME_CHARS for name in names):
        raise ProtocolError(f"names must have 1 to {_MAX_NAME_CHARS} characters")
    return item


def announce_app(relay: AnnouncementRelay) -> falcon.App:
    """Return the WSGI application that receives announcements."""
    app = falcon.App()
    app.add_route("/v1/announce", AnnounceResource(relay))
    return app


def _send_error(resp: falcon.Response, kind: ErrorKind, detail: str) -> None:
    resp.status = falcon.code_to_http_status(ERROR_ANSWERS[kind].status)
    resp.media = {"error": kind.value, "message": detail}


def _error_kind(error: str) -> ErrorKind:
    """Return the error kind that control named, else MALFORMED_REQUEST.

    Any other text describes what is malformed.
    """
    try:
        return ErrorKind(error)
    except ValueError:
        return ErrorKind.MALFORMED_REQUEST
