import unittest

import gevent
from gevent import pywsgi, socket
from gevent.server import StreamServer

from bergamotdrift.clock import BootClock, ManualClock
from bergamotdrift.load_poller import LoadPoller, PollTarget, fetch_load
from bergamotdrift.messages import UpstreamState
from bergamotdrift.observations import LoadHint
from bergamotdrift.tests.endless_server import (
    ENDLESS_ANSWERS,
    SENT_MAX_BYTES,
    serve_endlessly,
)


class FetchTests(unittest.TestCase):
    def serve(self, status, body):
        def app(environ, start_response):
            start_response(status, [("Content-Type", "application/json")])
            return [body]

        server = pywsgi.WSGIServer(("127.0.0.1", 0), app, log=None)
        server.start()
        self.addCleanup(server.stop)
        return f"127.0.0.1:{server.server_port}"

    def test_report_is_read(self):
        address = self.serve("200 OK", b'{"in_flight":1,"slots":4,"state":"cold"}')
        hint = fetch_load(address, ManualClock(5.0))
        self.assertEqual(hint, LoadHint(1, 4, UpstreamState.COLD, 5.0))

    def test_invalid_responses_are_ignored(self):
        for status, body in [
            ("200 OK", b"{}"),
            ("200 OK", b'{"in_flight":"x","slots":4,"state":"cold"}'),
            ("200 OK", b"x" * 100_000),
            ("503 Busy", b'{"in_flight":1,"slots":4,"state":"cold"}'),
        ]:
            with self.subTest(status=status, body=body[:20]):
                self.assertIsNone(fetch_load(self.serve(status, body), ManualClock()))

    # Guards against memory that grows until the timeout while an upstream sends without
    # end.
    def test_endless_answers_are_abandoned(self):
        for name in ENDLESS_ANSWERS:
            with self.subTest(name):
                answer, address = serve_endlessly(self, name)
                with gevent.Timeout(5):
                    self.assertIsNone(fetch_load(address, BootClock()))
                self.assertLess(answer.sent, SENT_MAX_BYTES)

    def test_refused_connection_returns_no_report(self):
        sock = socket.socket()
        sock.bind(("127.0.0.1", 0))
        port = sock.getsockname()[1]
        sock.close()
        self.assertIsNone(fetch_load(f"127.0.0.1:{port}", ManualClock()))

    def test_unresponsive_upstream_is_reported_within_the_timeout(self):
        server = StreamServer(("127.0.0.1", 0), lambda sock, _: gevent.sleep(5))
        server.start()
        self.addCleanup(server.stop, 0)
        seen = []
        target = PollTarget("s", "u1", f"127.0.0.1:{server.server_port}")
        poller = LoadPoller(
            lambda: [target], lambda *args: seen.append(args), ManualClock()
        )
        poller.start()
        self.addCleanup(poller.stop)
        with gevent.Timeout(2.0):
            while not seen:
                gevent.sleep(0.02)
        self.assertEqual(seen, [(target, None)])
