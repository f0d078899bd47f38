"""Test case of pipelined requests: a caller that pipelines, and a scripted upstream."""

from typing import NamedTuple

import gevent
from gevent import socket
from gevent.event import Event

from bergamotdrift.http_input import HttpLimits
from bergamotdrift.read_ahead_metrics import HELD_BYTES, REQUESTS
from bergamotdrift.streams import parse_address
from bergamotdrift.tests.entry_fakes import KEY, EntryTestCase

# The settings of the test case make this route open and idempotent.
READ = "/answers/"
# This route has GET too, but is not idempotent.
CHANGE = "/files/"
AUTHORIZED = f"Authorization: Bearer {KEY}"
MAX_AHEAD = HttpLimits().max_ahead_requests


class Answer(NamedTuple):
    """Hold one answer; header names are in lower case."""

    status: int
    headers: dict[str, str]
    body: bytes

    @property
    def closes(self) -> bool:
        return self.headers.get("connection") == "close"


def request(target, *headers, method="GET", version="1.1", body=b""):
    lines = [f"{method} {target} HTTP/{version}", "Host: test", *headers]
    if body:
        lines.append(f"Content-Length: {len(body)}")
    return "\r\n".join(lines).encode() + b"\r\n\r\n" + body


class PipeliningCaller:
    """Send requests without waiting, and parse the stream of answers."""

    def __init__(self, address, receive_bytes=0):
        self.sock = socket.socket(socket.AF_INET, socket.SOCK_STREAM)
        self.sock.settimeout(5)
        if receive_bytes:
            self.sock.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, receive_bytes)
        self.sock.connect(parse_address(address))
        self.data = b""

    def send(self, *requests):
        self.sock.sendall(b"".join(requests))

    def read(self, method="GET"):
        """Return the next answer; raises EOFError at the end of the connection."""
        head = self._read_to(b"\r\n\r\n").decode("latin-1").split("\r\n")
        fields = [line.split(": ", 1) for line in head[1:]]
        headers = {name.lower(): value for name, value in fields}
        status = int(head[0].split()[1])
        if method == "HEAD" or status in {204, 304}:
            return Answer(status, headers, b"")
        if "transfer-encoding" in headers:
            return Answer(status, headers, self._read_chunks())
        return Answer(status, headers, self._take(int(headers["content-length"])))

    def read_all(self, count):
        return [self.read() for _ in range(count)]

    def read_to_end(self):
        """Return all bytes up to the end of the connection; raises OSError."""
        with gevent.Timeout(5):
            while self._receive():
                pass
        return self.data

    def _read_chunks(self):
        body = b""
        while size := int(self._read_to(b"\r\n"), 16):
            body += self._take(size)
            self._take(2)
        self._take(2)
        return body

    def _read_to(self, end):
        while end not in self.data:
            if not self._receive():
                raise EOFError(self.data[:200])
        found, _, self.data = self.data.partition(end)
        return found

    def _take(self, size):
        while len(self.data) < size:
            if not self._receive():
                raise EOFError(self.data[:200])
        found, self.data = self.data[:size], self.data[size:]
        return found

    def _receive(self):
        part = self.sock.recv(65536)
        self.data += part
        return bool(part)


def name_of(data):
    """Return the last segment of the path in a request's bytes."""
    return data.split(b" ", 2)[1].rpartition(b"/")[2].decode()


def count_of(outcome):
    return REQUESTS.labels(outcome)._value.get()


def answer(body):
    return b"HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n%s" % (len(body), body)


def reads(*names):
    return [request(READ + name) for name in names]


class PipeliningTestCase(EntryTestCase):
    """Run an entry whose upstream answers with the name in the path.

    `scripts` maps names to functions that return another answer. Answers to names in
    `held` wait for `release`.
    """

    def setUp(self):
        super().setUp()
        self.scripts = {}
        self.held = set()
        self.release = Event()
        self.upstream.respond = self.respond

    def respond(self, data):
        name = name_of(data)
        if name in self.held:
            self.release.wait()
        script = self.scripts.get(name)
        return answer(name.encode()) if script is None else script()

    def pipeline(self, *requests, receive_bytes=0):
        caller = PipeliningCaller(self.entry.server.address, receive_bytes)
        self.addCleanup(caller.sock.close)
        caller.send(*requests)
        return caller

    def seen(self):
        """Return the names of the requests that reached the upstream."""
        return [name_of(data) for data in self.upstream.requests]

    def wait_for(self, *names):
        self.wait_until(lambda: sorted(self.seen()) == sorted(names))

    def assert_never_run(self, *names):
        gevent.sleep(0.3)
        self.assertEqual(set(self.seen()) & set(names), set())

    def assert_all_ended(self):
        self.wait_until(lambda: not self.entry.app.running)
        self.assertEqual(self.entry.registry.shards(), [])
        self.assertEqual(HELD_BYTES._value.get(), 0)
