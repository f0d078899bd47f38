import json
import subprocess
import sys
import unittest

from bergamotdrift.admin_apps import admin_app, readiness_app


def call(app, path, method="GET"):
    started = []

    def start_response(status, headers):
        started.append((int(status.split()[0]), dict(headers)))

    environ = {"PATH_INFO": path, "REQUEST_METHOD": method}
    body = b"".join(app(environ, start_response))
    ((status, headers),) = started
    assert int(headers["Content-Length"]) == len(body)
    return status, headers, body


class AdminAppTests(unittest.TestCase):
    """Guards load balancers and scrapers against other answers than they expect."""

    def setUp(self):
        self.ready = False
        self.app = admin_app(lambda: self.ready)

    def test_readiness_is_asked_for_each_request(self):
        for app, path in (
            (self.app, "/ready"),
            (readiness_app("/up", lambda: self.ready), "/up"),
        ):
            for self.ready, expected in ((False, 503), (True, 200)):
                status, headers, body = call(app, path)
                self.assertEqual(status, expected)
                self.assertEqual(headers["Content-Type"], "application/json")
                self.assertEqual(json.loads(body), {"ready": self.ready})

    def test_liveness(self):
        status, _, body = call(self.app, "/live")
        self.assertEqual((status, json.loads(body)), (200, {"live": True}))

    def test_metrics_are_served_in_the_text_format(self):
        _, headers, body = call(self.app, "/metrics")
        self.assertTrue(headers["Content-Type"].startswith("text/plain"))
        self.assertIn(b"# TYPE bergamotdrift_log_lines_dropped_total counter", body)

    def test_other_paths_and_methods(self):
        self.assertEqual(call(self.app, "/else")[0], 404)
        self.assertEqual(call(readiness_app("/up", lambda: True), "/live")[0], 404)
        status, headers, _ = call(self.app, "/live", "POST")
        self.assertEqual((status, headers["Allow"]), (405, "GET"))


class EntryImportTests(unittest.TestCase):
    """Guards the memory of an entry against modules that it does not use."""

    def test_entry_does_not_import_falcon_or_asyncio(self):
        code = (
            "import sys, bergamotdrift.entry_node; "
            "print({'falcon', 'asyncio'} & set(sys.modules))"
        )
        out = subprocess.run(
            [sys.executable, "-c", code], capture_output=True, check=True, text=True
        )
        self.assertEqual(out.stdout.strip(), "set()")


if __name__ == "__main__":
    unittest.main()
