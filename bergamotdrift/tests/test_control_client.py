import unittest

import gevent

from bergamotdrift.clock import BootClock
from bergamotdrift.control_client import ControlClient
from bergamotdrift.messages import Hello, NodeRow, Role
from bergamotdrift.tests.entry_fakes import FakeControl
from bergamotdrift.tests.log_capture import capture_log


class _Observer:
    def on_tables_changed(self, update):
        pass


def start_client(test, *addresses):
    """Return a started client that looks for the leader at the addresses."""
    hello = Hello("test", "n1", Role.ENTRY, "i")
    row = NodeRow("n1", Role.ENTRY, "i", "vm1", "a", "")
    client = ControlClient(addresses, hello, lambda: row, BootClock(), _Observer())
    client.start()
    test.addCleanup(client.stop)
    return client


def wait_until(condition, timeout_s=5.0):
    with gevent.Timeout(timeout_s):
        while not condition():
            gevent.sleep(0.005)


class SessionLinesTests(unittest.TestCase):
    """Guards against a lost leader or a slow reply that leaves no line in the log."""

    def setUp(self):
        self.log = capture_log(self)
        self.control = FakeControl()
        self.addCleanup(self.control.server.stop)

    def test_found_and_lost_leader(self):
        start_client(self, self.control.server.address)
        wait_until(lambda: self.log.of_event("control_found"))
        self.control.server.stop()
        wait_until(lambda: self.log.of_event("control_lost"))
        lost = self.log.of_event("control_lost")[0]
        self.assertIn(f"replica={self.control.server.address} ", lost)
        self.assertRegex(
            lost, r"reason=.+ after_ms=\d+ index=\d+ .*settings_age_ms=\d+"
        )

    def test_slow_reply(self):
        start_client(self, self.control.server.address)
        wait_until(lambda: self.log.of_event("control_found"))
        self.control.reply_delay_s = 0.6
        wait_until(lambda: self.log.of_event("control_ping_slow"))
        self.assertRegex(
            self.log.of_event("control_ping_slow")[0],
            r"took_ms=[6-9]\d\d leader_index=1 ",
        )


if __name__ == "__main__":
    unittest.main()
