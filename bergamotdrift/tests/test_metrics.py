import unittest

import falcon
from falcon import testing

from bergamotdrift import metrics


class MetricsTests(unittest.TestCase):
    def test_metrics_are_served_in_the_text_format(self):
        app = falcon.App()
        app.add_route("/metrics", metrics.MetricsResource())
        answer = testing.TestClient(app).simulate_get("/metrics")
        self.assertTrue(answer.headers["content-type"].startswith("text/plain"))
        self.assertIn(
            "# TYPE bergamotdrift_log_lines_dropped_total counter", answer.text
        )
