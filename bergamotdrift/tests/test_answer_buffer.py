import unittest

import gevent

from bergamotdrift.answer_buffer import AheadBytes, AnswerBuffer, HeldTotal
from bergamotdrift.read_ahead_metrics import HELD_BYTES


class FakeSocket:
    """Record what is sent; each call takes `delay_s`."""

    def __init__(self):
        self.data = b""
        self.delay_s = 0.0

    def sendall(self, data):
        gevent.sleep(self.delay_s)
        self.data += data


class AnswerBufferTests(unittest.TestCase):
    """Guards against answers that take unbounded memory, are lost or out of order."""

    def setUp(self):
        # Other modules of the same run expect that nothing is held.
        self.addCleanup(HELD_BYTES.set, 0)
        self.total = HeldTotal()
        self.held = AheadBytes(self.total)
        self.sock = FakeSocket()

    def buffer(self):
        return AnswerBuffer(self.held, 10)

    def test_held_data_is_sent_before_what_follows(self):
        buffer = self.buffer()
        buffer.sendall(b"ab")
        self.assertEqual((self.sock.data, self.total.count), (b"", 2))
        buffer.open(self.sock)
        buffer.sendall(b"cd")
        self.assertEqual((self.sock.data, self.total.count), (b"abcd", 0))

    def test_writer_waits_at_the_bound_until_the_turn(self):
        buffer = self.buffer()
        parts = [b"%03d" % n for n in range(20)]
        self.sock.delay_s = 0.001

        def write():
            for part in parts:
                buffer.sendall(part)

        job = gevent.spawn(write)
        gevent.sleep(0.01)
        self.assertFalse(job.ready())
        # Three parts are held, and the writer has the fourth in hand.
        self.assertEqual(self.held.count, 12)
        buffer.open(self.sock)
        job.join(1)
        self.assertEqual(self.sock.data, b"".join(parts))
        self.assertEqual((self.held.count, self.total.count), (0, 0))

    def test_buffers_of_a_connection_share_the_bound(self):
        first, second = self.buffer(), self.buffer()
        first.sendall(b"12345678")
        job = gevent.spawn(second.sendall, b"abc")
        gevent.sleep(0.01)
        self.assertFalse(job.ready())
        first.open(self.sock)
        job.join(1)
        self.assertTrue(job.ready())
        self.assertEqual((self.sock.data, self.held.count), (b"12345678", 3))

    def test_single_part_above_the_bound_is_held(self):
        buffer = self.buffer()
        with gevent.Timeout(1):
            buffer.sendall(bytes(50))
        buffer.open(self.sock)
        self.assertEqual(len(self.sock.data), 50)

    def test_discard_ends_a_waiting_writer_and_frees_its_bytes(self):
        buffer = self.buffer()
        buffer.sendall(b"12345678")
        job = gevent.spawn(self.assertRaises, OSError, buffer.sendall, b"abc")
        gevent.sleep(0.01)
        buffer.discard()
        job.get(timeout=1)
        self.assertEqual((self.held.count, self.total.count), (0, 0))

    def test_interrupted_writer_frees_its_bytes(self):
        buffer = self.buffer()
        buffer.sendall(b"12345678")
        job = gevent.spawn(buffer.sendall, b"abc")
        gevent.sleep(0.01)
        job.kill()
        self.assertEqual(self.held.count, 8)


if __name__ == "__main__":
    unittest.main()
