"""Server whose answers never end, for tests of readers."""

import contextlib

import gevent
from gevent.server import StreamServer

# Far above the buffers of a socket, and far below what a reader without a limit takes
# before its timeout.
SENT_MAX_BYTES = 32 * 1024 * 1024

ENDLESS_ANSWERS = {
    "bytes": (b"", b"x" * 65536),
    "head": (b"HTTP/1.1 200 OK\r\n", b"X-A: " + b"a" * 4000 + b"\r\n"),
    "header": (b"HTTP/1.1 200 OK\r\nX-A: ", b"a" * 65536),
    "interim": (b"", b"HTTP/1.1 100 Continue\r\n\r\n" * 1000),
    "sized body": (
        b"HTTP/1.1 200 OK\r\nContent-Length: 99999999999\r\n\r\n",
        b"x" * 65536,
    ),
    "chunked body": (
        b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n",
        b"10000\r\n" + b"x" * 65536 + b"\r\n",
    ),
    "trailers": (
        b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n",
        b"X-A: " + b"a" * 4000 + b"\r\n",
    ),
    "unframed body": (b"HTTP/1.1 200 OK\r\n\r\n", b"x" * 65536),
}


class EndlessAnswer:
    """Answer a connection with a start, and then with a part again and again."""

    def __init__(self, start, part):
        self._start, self._part = start, part
        self.sent = 0

    def serve(self, sock, _address):
        """Send until the reader closes the connection."""
        with contextlib.suppress(OSError):
            sock.recv(65536)
            sock.sendall(self._start)
            while True:
                sock.sendall(self._part)
                self.sent += len(self._part)
                gevent.sleep(0)


def serve_endlessly(test, name):
    """Return an endless answer and the address of a server that sends it."""
    answer = EndlessAnswer(*ENDLESS_ANSWERS[name])
    server = StreamServer(("127.0.0.1", 0), answer.serve)
    server.start()
    test.addCleanup(server.stop, 0)
    return answer, f"127.0.0.1:{server.server_port}"
