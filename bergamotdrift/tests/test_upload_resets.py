import socket
import struct
import unittest
from unittest import mock

import gevent
import gevent.event

from bergamotdrift import entry_metrics, http_connection
from bergamotdrift.http_connection import BrokenReason
from bergamotdrift.streams import new_socket
from bergamotdrift.tests.direct_entry import DirectEntryTestCase
from bergamotdrift.tests.entry_fakes import OK_ANSWER, OK_BODY, Caller

PART = b"x" * 100_000
LENGTH = 800_000
UNFRAMED = b"HTTP/1.1 200 OK\r\n\r\npart of it"
CHUNKED = b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n4\r\npart\r\n"
SIZED = b"HTTP/1.1 200 OK\r\nContent-Length: 9\r\n\r\npart"
RESET = struct.pack("ii", 1, 0)


def reset(sock):
    """Reset a connection; what was sent before stays readable for its peer."""
    # A reset is not held back by data in flight, so that data has to arrive first.
    gevent.sleep(0.05)
    sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, RESET)
    sock.close()


def small_socket(address):
    """Return a socket that takes less than the first bytes of an upload at once."""
    sock = new_socket(address)
    sock.setsockopt(socket.SOL_SOCKET, socket.SO_SNDBUF, 4096)
    return sock


class UploadTestCase(DirectEntryTestCase):
    def serve(self, response, read_bytes):
        """Read a part of each request, respond, and reset the connection."""
        self.connections = 0

        def handle(sock, _address):
            self.connections += 1
            received = 0
            while received < read_bytes and (data := sock.recv(4096)):
                received += len(data)
            # Lets a sender that fills the buffers of both sides wait.
            gevent.sleep(0.1)
            sock.sendall(response)
            reset(sock)
            self.was_reset.set()

        self.was_reset = gevent.event.Event()
        for upstream in self.upstreams:
            upstream.server.set_handle(handle)
            listener = upstream.server.socket
            listener.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, 4096)

    def start_upload(self, length=LENGTH):
        caller = Caller(self.entry.server.address)
        self.addCleanup(caller.sock.close)
        named = [("Attempt-Id", "a1"), ("Deadline-Ms", "900")]
        caller.send("POST", "/order/1", [*named, ("Content-Length", str(length))])
        return caller

    def upload(self, response, parts_before):
        """Send parts, then another one once the upstream has reset the connection."""
        self.serve(response, 1 + parts_before * len(PART))
        caller = self.start_upload()
        for _ in range(parts_before):
            caller.sock.sendall(PART)
        self.assertTrue(self.was_reset.wait(2))
        gevent.sleep(0.05)
        caller.sock.sendall(PART)
        return caller.read()

    def upload_whole(self, response, length):
        """Send all of a body to an upstream that leaves most of it unread."""
        self.serve(response, 1)
        with mock.patch.object(http_connection, "new_socket", small_socket):
            caller = self.start_upload(length)
            sender = gevent.spawn(caller.sock.sendall, b"x" * length)
            answer = caller.read()
            sender.kill()
        return answer


class ResetUploadTests(UploadTestCase):
    """Guards against a part of a response that is taken for the whole one."""

    def assert_outcome_unknown(self, answer):
        self.assertEqual((answer.status, answer.kind), (502, "outcome_unknown"))
        self.assertEqual(self.connections, 1)

    def test_reset_that_the_first_send_of_the_body_reports(self):
        self.assert_outcome_unknown(self.upload(UNFRAMED, 0))

    def test_reset_that_a_later_send_reports(self):
        reason = BrokenReason.RESET_DURING_REQUEST
        count = entry_metrics.BROKEN_RESPONSES.labels(reason)
        before = count._value.get()
        self.assert_outcome_unknown(self.upload(UNFRAMED, 1))
        self.assertEqual(count._value.get() - before, 1)

    def test_reset_while_a_send_waits(self):
        self.assert_outcome_unknown(self.upload_whole(UNFRAMED, LENGTH))

    def test_reset_while_the_first_send_of_the_request_waits(self):
        self.assert_outcome_unknown(self.upload_whole(UNFRAMED, 60_000))

    def test_response_with_a_length_is_incomplete_without_its_end(self):
        self.assert_outcome_unknown(self.upload(SIZED, 0))

    def test_chunked_response_is_aborted_without_its_end(self):
        answer = self.upload(CHUNKED, 0)
        self.assertEqual((answer.status, answer.complete), (200, False))


class CompleteBeforeResetTests(UploadTestCase):
    """Guards against the loss of a response that arrived whole before a reset."""

    def assert_passed_on(self, answer):
        self.assertEqual((answer.status, answer.body), (200, OK_BODY))
        self.assertEqual(self.connections, 1)

    def test_response_before_a_reset_that_the_first_send_of_the_body_reports(self):
        self.assert_passed_on(self.upload(OK_ANSWER, 0))

    def test_response_before_a_reset_that_a_later_send_reports(self):
        self.assert_passed_on(self.upload(OK_ANSWER, 1))

    def test_response_before_a_reset_while_a_send_waits(self):
        self.assert_passed_on(self.upload_whole(OK_ANSWER, LENGTH))

    def test_response_before_a_reset_while_the_first_send_of_the_request_waits(self):
        self.assert_passed_on(self.upload_whole(OK_ANSWER, 60_000))


if __name__ == "__main__":
    unittest.main()
