"""Build the head of a request to an upstream and frame its body."""

from bergamotdrift.arbiter_messages import NO_PARTITION
from bergamotdrift.attempts import RunningAttempt
from bergamotdrift.body_source import BodySource
from bergamotdrift.clock import Clock
from bergamotdrift.dialect import NATIVE, Dialect
from bergamotdrift.http_input import HeaderLine, connection_tokens
from bergamotdrift.request import IncomingRequest, RoutedRequest
from bergamotdrift.request_target import origin_form

HOP_BY_HOP = frozenset({
    "connection",
    "keep-alive",
    "proxy-authenticate",
    "proxy-authorization",
    "proxy-connection",
    "te",
    "trailer",
    "transfer-encoding",
    "upgrade",
})
# The entry sets these itself or must not forward them.
_OWN_HEADERS = frozenset({
    "authorization",
    "content-length",
    "expect",
    "host",
    "via",
    "x-forwarded-for",
})
NATIVE_STRIPPED_HEADERS = HOP_BY_HOP | _OWN_HEADERS | NATIVE.own_headers()


class RequestHeads:
    """Build the heads of requests from those of callers."""

    def __init__(self, dialect: Dialect, via: str, clock: Clock):
        self._dialect = dialect
        self._via = via
        self._clock = clock
        self._stripped_headers = HOP_BY_HOP | _OWN_HEADERS | dialect.own_headers()

    def build(
        self, routed: RoutedRequest, running: RunningAttempt, body: BodySource
    ) -> bytes:
        """Return the bytes before the body, with the empty line."""
        req = routed.req
        lines = [f"{req.method} {origin_form(req.target)} HTTP/1.1"]
        connection_options = connection_tokens(req.fields)
        lines += end_to_end(req.headers, connection_options, self._stripped_headers)
        lines += self._own_headers(routed, running)
        if body.length is None:
            lines.append("Transfer-Encoding: chunked")
        elif body.length or req.method in {"POST", "PUT", "PATCH"}:
            lines.append(f"Content-Length: {body.length}")
        return ("\r\n".join(lines) + "\r\n\r\n").encode("latin-1")

    def _own_headers(self, routed: RoutedRequest, running: RunningAttempt) -> list[str]:
        req = routed.req
        permit = running.permit
        names = self._dialect
        left_ms = max(1, int(routed.deadline_ms - self._clock.now_ms()))
        lines = [
            f"Host: {req.header('host') or permit.address}",
            f"{names.request_id}: {req.request_id}",
            f"{names.deadline}: {left_ms}",
        ]
        if names.forwarded_headers:
            lines += self._forwarded_headers(req)
        if routed.workspace:
            lines.append(f"{names.workspace}: {routed.workspace}")
        if names.expected_upstream:
            lines.append(f"{names.expected_upstream}: {permit.upstream}")
        if permit.partition != NO_PARTITION and names.partition:
            lines.append(f"{names.partition}: {permit.partition}")
            lines.append(f"{names.epoch}: {permit.partition_epoch}")
        return lines

    def _forwarded_headers(self, req: IncomingRequest) -> list[str]:
        forwarded = req.fields.get("x-forwarded-for", [])
        via = req.fields.get("via", [])
        return [
            f"X-Forwarded-For: {', '.join([*forwarded, req.remote])}",
            f"Via: {', '.join([*via, self._via])}",
        ]


def end_to_end(
    headers: list[HeaderLine],
    connection_options: set[str],
    stripped: frozenset[str] = NATIVE_STRIPPED_HEADERS,
) -> list[str]:
    """Return the end-to-end header lines of a request.

    `connection_options` are the headers that the Connection header declares hop-by-hop.
    """
    return [
        f"{name}: {value}"
        for name, value in headers
        if (lower := name.lower()) not in stripped and lower not in connection_options
    ]


def frame_body(data: bytes, body: BodySource) -> bytes:
    """Return a part of a body as it is sent, as a chunk if its length is not known."""
    if body.length is not None or not data:
        return data
    return b"%x\r\n%s\r\n" % (len(data), data)
