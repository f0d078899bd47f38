"""HTTP client helpers for scripts and tests."""

import http.client
import json
from typing import Any, NamedTuple

NO_REPLY = 0


class HttpReply(NamedTuple):
    """Store an HTTP response; status 0 means that no response was received."""

    status: int
    headers: dict[str, str]
    body: bytes

    def json(self) -> Any:
        """Return the decoded JSON body."""
        return json.loads(self.body)


def call_http(
    address: str,
    method: str,
    path: str,
    body: bytes = b"",
    headers: dict[str, str] | None = None,
    timeout_s: float = 5.0,
) -> HttpReply:
    """Send one request over a new connection and return the response."""
    host, _, port = address.rpartition(":")
    conn = http.client.HTTPConnection(host, int(port), timeout=timeout_s)
    try:
        conn.request(method, path, body or None, headers or {})
        reply = conn.getresponse()
        data = reply.read()
    except (OSError, http.client.HTTPException):
        return HttpReply(NO_REPLY, {}, b"")
    finally:
        conn.close()
    reply_headers = {name.lower(): value for name, value in reply.getheaders()}
    return HttpReply(reply.status, reply_headers, data)
