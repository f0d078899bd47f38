import json
import random
import signal
import subprocess
import sys
import tempfile
import time
import unittest
from pathlib import Path

START_MAX_S = 20.0


class StartTests(unittest.TestCase):
    """Guards against a program that SIGHUP ends while it starts, or that ignores it."""

    def setUp(self):
        folder = tempfile.TemporaryDirectory()
        self.addCleanup(folder.cleanup)
        self.folder = Path(folder.name)
        # The port of the metrics is fixed, so each run takes a loopback address.
        self.host = ".".join(["127", *(str(random.randint(1, 250)) for _ in range(3))])

    def start(self, role):
        host, is_control = self.host, role == "control"
        listen = {"front": f"{host}:7402", "ready": f"{host}:7403"}
        if is_control:
            listen = {"control": f"{host}:7400"}
        boot = {
            "node": "m1",
            "ip": host,
            "zone": "a",
            "zones": {"a": "r"},
            "listen": listen,
            "port_range": [7410, 7420],
            "seeds": [f"{host}:7400"],
            "bootstrap": True,
            "limits": {},
            "data_dir": str(self.folder / "data") if is_control else None,
            "bounds": {},
            "heartbeat": "1s",
        }
        path = self.folder / f"{role}.json"
        path.write_text(json.dumps(boot))
        log = (self.folder / f"{role}.log").open("w")
        self.addCleanup(log.close)
        child = subprocess.Popen(
            [sys.executable, "-m", f"bergamotdrift.platform.{role}", str(path)],
            stdout=log,
            stderr=subprocess.STDOUT,
        )
        self.addCleanup(child.wait)
        self.addCleanup(child.kill)
        return child

    def wait_until(self, condition, child):
        end_s = time.monotonic() + START_MAX_S
        while not condition():
            self.assertIsNone(child.poll())
            self.assertLess(time.monotonic(), end_s)
            time.sleep(0.001)

    def test_signal_during_the_imports_is_handled_after_the_start(self):
        for role in ("control", "entry"):
            with self.subTest(role=role):
                child = self.start(role)
                maps = Path(f"/proc/{child.pid}/maps")
                self.wait_until(lambda maps=maps: "greenlet" in maps.read_text(), child)
                child.send_signal(signal.SIGHUP)
                log = self.folder / f"{role}.log"
                self.wait_until(lambda log=log: "reloaded" in log.read_text(), child)
                child.send_signal(signal.SIGTERM)
                self.assertEqual(child.wait(START_MAX_S), 0)


if __name__ == "__main__":
    unittest.main()
