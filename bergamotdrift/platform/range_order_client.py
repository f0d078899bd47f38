"""Client that sends grants and releases of key ranges to the platform's upstreams."""

import json
from typing import Any, NamedTuple

from geventhttpclient.response import HTTPParseError

from bergamotdrift.clock import Clock
from bergamotdrift.http_connection import read_response_body, read_response_head
from bergamotdrift.messages import UpstreamRow
from bergamotdrift.platform import names
from bergamotdrift.range_orders import GrantOrder, GrantResult, ReleaseOrder
from bergamotdrift.upstream_connections import (
    UpstreamConnection,
    UpstreamConnectionPool,
)

_POOL = "orders"
# The answer to an order is in its status and headers.
_BODY_MAX_BYTES = 64 * 1024
_RESULT_BY_STATUS = {200: GrantResult.ACCEPTED, 409: GrantResult.FENCED}


class _Answer(NamedTuple):
    """Hold the status and the state token of an upstream's answer.

    `may_reuse` tells whether its connection may carry another order.
    """

    status: int
    token: str
    may_reuse: bool


class RangeOrderClient:
    """Send grants over persistent HTTP connections, and releases over separate ones.

    Answers to orders bear no id, and an upstream may send a late second copy of one. On
    a connection that carried a grant, such a copy would pass for the answer to a
    release, and the keys would be granted on while their owner is at work.
    """

    def __init__(self, clock: Clock):
        self._clock = clock
        self._connections = UpstreamConnectionPool(clock, lambda *_: None)

    def grant(
        self, upstream: UpstreamRow, order: GrantOrder, timeout_ms: float
    ) -> GrantResult:
        """Send a grant and return how the upstream answered it."""
        body: dict[str, Any] = {
            "from": order.first,
            "target": order.last,
            "fence": order.epoch,
            "hold_time": f"{order.hold_ms}ms",
        }
        if order.handover:
            body["handover"] = order.handover
        conn = self._connections.acquire(_POOL, upstream.upstream, upstream.address)
        answer = self._call(conn, upstream, names.GRANT, body, timeout_ms)
        if answer is None:
            return GrantResult.NO_ANSWER
        if not (answer.may_reuse and self._connections.put_idle(conn)):
            conn.close()
        return _RESULT_BY_STATUS.get(answer.status, GrantResult.REFUSED)

    def release(
        self, upstream: UpstreamRow, order: ReleaseOrder, timeout_ms: float
    ) -> str | None:
        """Send a release; return the state token, or None without an answer of 200."""
        body = {"from": order.first, "target": order.last, "fence": order.epoch}
        conn = UpstreamConnection(
            _POOL, upstream.upstream, upstream.address, self._clock
        )
        try:
            answer = self._call(conn, upstream, names.RELEASE, body, timeout_ms)
        finally:
            conn.close()
        return answer.token if answer is not None and answer.status == 200 else None

    def disconnect(self, upstream: str) -> None:
        """Close the connections to an upstream."""
        self._connections.close_idle(_POOL, upstream)

    def _call(
        self,
        conn: UpstreamConnection,
        upstream: UpstreamRow,
        path: str,
        body: dict[str, Any],
        timeout_ms: float,
    ) -> _Answer | None:
        conn.start_request(self._clock.now_ms() + timeout_ms)
        try:
            if not conn.reused:
                conn.connect()
            conn.send(_request(upstream, path, json.dumps(body).encode()))
            return _receive(conn)
        except (OSError, HTTPParseError):
            conn.abort()
            return None
        except BaseException:
            # The worker's greenlet is killed when this replica loses the leadership.
            # The connection is reset: after an orderly close the kernel would still
            # deliver the order once a network partition heals.
            conn.abort()
            raise


def _receive(conn: UpstreamConnection) -> _Answer:
    parser = read_response_head(conn, "POST")
    read_response_body(conn, parser, _BODY_MAX_BYTES)
    token = parser.first_header(names.STATE_TOKEN) or ""
    may_reuse = not (parser.should_close() or parser.extra_data)
    return _Answer(parser.status, token, may_reuse)


def _request(upstream: UpstreamRow, path: str, body: bytes) -> bytes:
    lines = (
        f"POST {path} HTTP/1.1",
        f"Host: {upstream.address}",
        f"{names.EXPECTED_UPSTREAM}: {upstream.upstream}",
        "Content-Type: application/json",
        f"Content-Length: {len(body)}",
    )
    return ("\r\n".join(lines) + "\r\n\r\n").encode() + body
