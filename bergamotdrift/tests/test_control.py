"""Control replicas as processes that are killed and stopped."""

import json
import shutil
import signal
import subprocess
import sys
import tempfile
import time
import unittest
from pathlib import Path

import gevent
from gevent import socket
from geventhttpclient import HTTPClient

from bergamotdrift.config.loader import load_site_mapping
from bergamotdrift.hashing import key_digest

_SITES = Path(__file__).resolve().parents[2] / "sites"


def free_address():
    with socket.socket() as sock:
        sock.bind(("127.0.0.1", 0))
        return f"127.0.0.1:{sock.getsockname()[1]}"


class ControlGroup:
    """A group of three control processes on loopback."""

    def __init__(self):
        self.folder = Path(tempfile.mkdtemp(prefix="bergamotdrift-"))
        self.names = ["control-1", "control-2", "control-3"]
        self.voters = {name: free_address() for name in self.names}
        self.operator = {name: free_address() for name in self.names}
        self.processes: dict[str, subprocess.Popen] = {}
        for name in self.names:
            self.start(name)

    def start(self, name):
        cfg = {
            "cluster": "iroda",
            "node": name,
            "vm": name,
            "zone": "iroda-a",
            "control": list(self.voters.values()),
            "listen": self.voters[name],
            "operator_listen": self.operator[name],
            "admin_listen": "127.0.0.1:0",
            "data_folder": str(self.folder / name),
            "voters": self.voters,
            "operator_key_digests": [key_digest("operator")],
        }
        path = self.folder / f"{name}.json"
        path.write_text(json.dumps(cfg))
        args = ["-m", "bergamotdrift.control", "--settings", str(path)]
        log = (self.folder / f"{name}.log").open("a")
        self.processes[name] = subprocess.Popen(
            [sys.executable, *args], stdout=log, stderr=subprocess.STDOUT
        )
        log.close()

    def close(self):
        for process in self.processes.values():
            process.kill()
            process.wait()
        shutil.rmtree(self.folder)

    def http(self, name, method, path, body=None):
        host, _, port = self.operator[name].rpartition(":")
        client = HTTPClient(host, int(port), network_timeout=5)
        headers = {"Authorization": "Bearer operator"}
        data = json.dumps(body).encode() if body is not None else b""
        try:
            resp = client.request(method, path, body=data, headers=headers)
            return resp.status_code, json.loads(resp.read())
        except OSError:
            return 0, {}
        finally:
            client.close()

    def until(self, name, method, path, body=None, timeout_s=10.0):
        """Repeat a call until it succeeds, as an operator would."""
        end = time.monotonic() + timeout_s
        while True:
            status, answer = self.http(name, method, path, body)
            if status == 200:
                return answer
            if time.monotonic() > end:
                raise AssertionError(f"{status}: {answer}")
            gevent.sleep(0.05)

    def leader(self, via):
        status = self.until(via, "GET", "/v1/status")["control"]
        found = [m for m in status["members"] if m["replica"] == status["leader"]]
        address = found[0]["address"]
        return next(name for name in self.names if self.voters[name] == address)


class ControlProgramTests(unittest.TestCase):
    """Guards against the loss of accepted settings when replicas die or restart."""

    def setUp(self):
        self.group = ControlGroup()
        self.addCleanup(self.group.close)

    def body(self, request, base):
        overlay = str(_SITES / "iroda.jsonc")
        mapping = load_site_mapping(str(_SITES / "base.jsonc"), overlay).unwrap()
        settings = {**mapping, "replicas": self.group.voters}
        return {
            "request": request,
            "base_revision": base,
            "author": "ann",
            "settings": settings,
        }

    def test_settings_survive_a_killed_leader_and_a_full_restart(self):
        group = self.group
        first = group.until("control-1", "POST", "/v1/settings", self.body("r1", 0))
        self.assertEqual(first["revision"], 1)
        leader = group.leader("control-1")
        group.processes[leader].kill()
        group.processes[leader].wait()
        other = next(name for name in group.names if name != leader)
        answer = group.until(other, "POST", "/v1/settings", self.body("r2", 1))
        self.assertEqual(answer["revision"], 2)
        group.start(leader)
        again = group.until(leader, "POST", "/v1/settings", self.body("r1", 0))
        self.assertEqual(again, first)
        for process in group.processes.values():
            process.send_signal(signal.SIGTERM)
        for process in group.processes.values():
            self.assertEqual(process.wait(timeout=10), 0)
        for name in group.names:
            group.start(name)
        shown = group.until(leader, "GET", "/v1/settings")
        self.assertEqual((shown["revision"], shown["author"]), (2, "ann"))
        again = group.until(leader, "POST", "/v1/settings", self.body("r2", 1))
        self.assertEqual(again, answer)


if __name__ == "__main__":
    unittest.main()
