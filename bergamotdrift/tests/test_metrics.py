import time
import unittest

import falcon
import gevent
from falcon import testing
from prometheus_client import REGISTRY

from bergamotdrift import metrics
from bergamotdrift.clock import BootClock


class MetricsTests(unittest.TestCase):
    def test_metrics_are_served_in_the_text_format(self):
        app = falcon.App()
        app.add_route("/metrics", metrics.MetricsResource())
        answer = testing.TestClient(app).simulate_get("/metrics")
        self.assertTrue(answer.headers["content-type"].startswith("text/plain"))
        self.assertIn(
            "# TYPE bergamotdrift_log_lines_dropped_total counter", answer.text
        )

    def test_delay_of_a_blocked_event_loop_is_measured(self):
        watcher = metrics.watch_event_loop(BootClock())
        self.addCleanup(watcher.kill)
        gevent.sleep(0)
        time.sleep(metrics.LOOP_CHECK_INTERVAL_MS / 1000 + 0.3)
        gevent.sleep(0.01)
        delay_s = REGISTRY.get_sample_value("bergamotdrift_event_loop_delay_seconds")
        self.assertGreater(delay_s or 0.0, 0.25)
