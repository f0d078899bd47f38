import time
import unittest

import gevent
from prometheus_client import REGISTRY

from bergamotdrift import event_loop_watch
from bergamotdrift.clock import BootClock
from bergamotdrift.tests.log_capture import capture_log


class EventLoopTests(unittest.TestCase):
    """Guards against an overloaded process whose delay is not measured or logged."""

    def test_delay_of_a_blocked_event_loop_is_measured_and_logged(self):
        log = capture_log(self)
        watcher = event_loop_watch.watch_event_loop(BootClock())
        self.addCleanup(watcher.kill)
        gevent.sleep(0)
        time.sleep(event_loop_watch.LOOP_CHECK_INTERVAL_MS / 1000 + 0.3)
        gevent.sleep(0.01)
        delay_s = REGISTRY.get_sample_value("bergamotdrift_event_loop_delay_seconds")
        self.assertGreater(delay_s or 0.0, 0.25)
        self.assertEqual(len(log.of_event("event_loop_delayed")), 1)


if __name__ == "__main__":
    unittest.main()
