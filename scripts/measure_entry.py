"""Measure the entry against a bare proxy: latency, processor time and memory.

The entry, a bare falcon + geventhttpclient proxy, the upstream, the fake control
and arbiter, and the load generator are processes of their own on loopback.
"""

import json
import os
import socket as os_socket
import subprocess
import sys
import tempfile
import time
from pathlib import Path
from typing import Any, NamedTuple

import falcon
import gevent
from gevent import pywsgi, socket
from geventhttpclient import HTTPClient
from tabulate import tabulate

ROOT = Path(__file__).resolve().parents[1]
sys.path.insert(0, str(ROOT))

from bergamotdrift.tests import entry_fakes  # ruff: ignore[module-import-not-at-top-of-file]

CONNECTIONS = (1, 8, 32)
ROUNDS = 3
ROUND_S = 2.0
IDLE_CONNECTIONS = (1, 100, 400)
LARGE_BYTES = 50_000_000
# Streaming holds a few buffers of 64 KiB per side; a body held whole would need 50 MB.
STREAM_GROWTH_MAX_MB = 8.0
RATIO_MAX = 2.0
_ANSWER = b"x" * 200
_TICK_S = 1.0 / os.sysconf("SC_CLK_TCK")
_PAGE_MB = os.sysconf("SC_PAGE_SIZE") / 1e6


def serve_forever(app: Any) -> None:
    """Serve an application on a free port and print its address."""
    server = pywsgi.WSGIServer(("127.0.0.1", 0), app, log=None, error_log=None)
    server.start()
    server.socket.setsockopt(os_socket.IPPROTO_TCP, os_socket.TCP_NODELAY, 1)
    print(f"127.0.0.1:{server.server_port}", flush=True)
    gevent.wait()


def upstream_app(environ: dict[str, Any], start_response: Any) -> Any:
    """Answer 200 bytes, or LARGE_BYTES for a path that ends in `large`."""
    while environ["wsgi.input"].read(65536):
        pass
    large = environ["PATH_INFO"].endswith("large")
    size = LARGE_BYTES if large else len(_ANSWER)
    start_response("200 OK", [("Content-Length", str(size))])
    if environ["REQUEST_METHOD"] != "GET" or not large:
        return [_ANSWER] if not large else iter([b"x" * LARGE_BYTES])
    return (b"x" * 50_000 for _ in range(LARGE_BYTES // 50_000))


class BareProxy:
    """Forward GET requests with a pool, without any rule."""

    def __init__(self, address: str):
        self._client = HTTPClient.from_url(f"http://{address}", concurrency=64)

    def __call__(self, req: falcon.Request, resp: falcon.Response, **_: Any) -> None:
        """Forward one request."""
        answer = self._client.request(req.method, req.path)
        resp.data = answer.read()
        resp.status = answer.status_code


def run_proxy(address: str) -> None:
    """Serve the bare proxy."""
    app = falcon.App()
    app.add_sink(BareProxy(address))
    serve_forever(app)


def run_fakes(address: str) -> None:
    """Serve a control and an arbiter that grant everything."""
    case: Any = entry_fakes.EntryTestCase()
    case.control = entry_fakes.FakeControl()
    case.arbiter = entry_fakes.FakeArbiter()
    case.arbiter.addresses = [address]
    case.arbiter.received = _Nothing()
    case.control.received = _Nothing()
    case.upstream = _Address(address)
    case.control.update = case.tables()
    print(case.control.server.address, flush=True)
    gevent.wait()


class _Nothing(list):
    def append(self, item: Any) -> None:
        """Drop what a test would look at."""


class _Address(NamedTuple):
    address: str


class Load(NamedTuple):
    """Hold what a load generator measured; times in milliseconds."""

    requests: int
    median_ms: float
    p99_ms: float


def run_load(address: str, connections: int, seconds: float) -> None:
    """Send requests over keep-alive connections and print the figures."""
    latencies: list[float] = []
    end_s = time.perf_counter() + seconds
    jobs = [
        gevent.spawn(_send_loop, address, end_s, latencies) for _ in range(connections)
    ]
    gevent.joinall(jobs, raise_error=True)
    latencies.sort()
    figures = Load(
        len(latencies),
        latencies[len(latencies) // 2],
        latencies[len(latencies) * 99 // 100],
    )
    print(json.dumps(figures), flush=True)


def _send_loop(address: str, end_s: float, latencies: list[float]) -> None:
    sock = connect(address)
    while (start_s := time.perf_counter()) < end_s:
        ask(sock, "/status/1")
        latencies.append((time.perf_counter() - start_s) * 1000.0)
    sock.close()


def connect(address: str) -> Any:
    """Return a connection to an address."""
    host, _, port = address.rpartition(":")
    return socket.create_connection((host, int(port)))


def ask(sock: Any, path: str) -> None:
    """Send one small request and read its answer."""
    sock.sendall(
        f"GET {path} HTTP/1.1\r\nHost: x\r\n"
        f"Authorization: Bearer {entry_fakes.KEY}\r\n\r\n".encode()
    )
    data = b""
    while not data.endswith(_ANSWER):
        part = sock.recv(65536)
        if not part or b" 200 OK" not in (data + part)[:20]:
            raise RuntimeError(f"unexpected answer {(data + part)[:300]!r}")
        data += part


class Process:
    """Run this script or a program as a child and read its first output."""

    def __init__(self, *args: str):
        env = {**os.environ, "PYTHONPATH": str(ROOT)}
        self.child: Any = subprocess.Popen(
            [sys.executable, *args],
            stdout=subprocess.PIPE,
            text=True,
            env=env,
        )

    def first_line(self) -> str:
        """Return the first line that the child prints."""
        return self.child.stdout.readline().strip()

    def cpu_s(self) -> float:
        """Return the processor time used so far."""
        fields = (
            Path(f"/proc/{self.child.pid}/stat").read_text().rsplit(") ")[1].split()
        )
        return (int(fields[11]) + int(fields[12])) * _TICK_S

    def memory_mb(self) -> float:
        """Return the resident memory."""
        return (
            int(Path(f"/proc/{self.child.pid}/statm").read_text().split()[1]) * _PAGE_MB
        )

    def stop(self) -> None:
        """End the child."""
        self.child.terminate()
        self.child.wait(timeout=10)
        self.child.stdout.close()


def start_role(*args: str) -> Process:
    """Run this script in a role."""
    return Process(str(Path(__file__)), *args)


def start_entry(control: str, folder: str) -> tuple[Process, str]:
    """Run the entry and return it with its address."""
    settings = {
        "cluster": "test",
        "node": "entry1",
        "vm": "vm1",
        "zone": "a",
        "control": [control],
        "listen": "127.0.0.1:0",
        "admin_listen": "127.0.0.1:0",
        "header_timeout_s": 5,
        "body_timeout_s": 10,
        "idle_timeout_s": 60,
        "drain_s": 1,
        "max_connections": 500,
    }
    path = Path(folder) / "entry.json"
    path.write_text(json.dumps(settings))
    entry = Process("-m", "bergamotdrift.entry", "--settings", str(path))
    fields: dict[str, str] = {}
    while fields.get("event") != "arbiter_connected":
        line = entry.child.stdout.readline()
        if not line:
            raise RuntimeError("the entry ended")
        fields = dict(p.split("=", 1) for p in line.split() if "=" in p)
        if fields.get("event") == "entry_started":
            address = fields["listen"]
    gevent.spawn(_drain, entry.child.stdout.fileno())
    time.sleep(0.5)
    return entry, address


def _drain(fd: int) -> None:
    while gevent.os.tp_read(fd, 65536):
        pass


class Row(NamedTuple):
    """Hold the figures of one target at one number of connections."""

    target: str
    connections: int
    median_ms: float
    p99_ms: float
    per_s: float
    cpu_us: float


def measure_load(target: str, process: Process, address: str, count: int) -> Row:
    """Return the figures of one round of load."""
    before_s = process.cpu_s()
    load = start_role("load", address, str(count), str(ROUND_S))
    figures = Load(*json.loads(load.first_line()))
    load.stop()
    cpu_us = (process.cpu_s() - before_s) / figures.requests * 1e6
    per_s = figures.requests / ROUND_S
    return Row(target, count, figures.median_ms, figures.p99_ms, per_s, cpu_us)


def median_row(rows: list[Row]) -> Row:
    """Return the row with the median latency in the middle."""
    return sorted(rows, key=lambda row: row.median_ms)[len(rows) // 2]


def compare(entry: Process, entry_at: str, proxy: Process, proxy_at: str) -> float:
    """Print latency and processor time and return the ratio of medians at 8."""
    rows, ratios = [], {}
    for count in CONNECTIONS:
        results: dict[str, list[Row]] = {"proxy": [], "entry": []}
        for _ in range(ROUNDS):
            results["proxy"].append(measure_load("proxy", proxy, proxy_at, count))
            results["entry"].append(measure_load("entry", entry, entry_at, count))
        pair = [median_row(results["proxy"]), median_row(results["entry"])]
        rows += pair
        ratios[count] = pair[1].median_ms / pair[0].median_ms
    headers = ["target", "connections", "median ms", "p99 ms", "per s", "cpu us"]
    print(tabulate(rows, headers, floatfmt=".2f"))
    for count, ratio in ratios.items():
        print(f"median ratio entry/proxy at {count} connections: {ratio:.2f}")
    return ratios[8]


def measure_memory(entry: Process, address: str) -> None:
    """Print the resident memory by open connections."""
    rows: list[tuple[int, float]] = []
    socks: list[Any] = []
    for count in IDLE_CONNECTIONS:
        while len(socks) < count:
            sock = connect(address)
            ask(sock, "/status/1")
            socks.append(sock)
        rows.append((count, entry.memory_mb()))
    for sock in socks:
        sock.close()
    print(tabulate(rows, ["connections", "resident MB"], floatfmt=".1f"))


def measure_streams(entry: Process, address: str) -> float:
    """Print and return the growth of resident memory during large bodies."""
    before_mb = entry.memory_mb()
    peaks = {"download": 0.0, "upload": 0.0}
    for name in peaks:
        sock = connect(address)
        job = gevent.spawn(_download if name == "download" else _upload, sock)
        while not job.ready():
            peaks[name] = max(peaks[name], entry.memory_mb() - before_mb)
            gevent.sleep(0.005)
        job.get()
        sock.close()
    for name, growth in peaks.items():
        print(f"{name} of 50 MB: resident memory grew by {growth:.1f} MB")
    return max(peaks.values())


def _download(sock: Any) -> None:
    sock.sendall(
        b"GET /files/large HTTP/1.1\r\nHost: x\r\nConnection: close\r\n"
        b"Authorization: Bearer key-of-w1\r\n\r\n"
    )
    size = 0
    while part := sock.recv(65536):
        size += len(part)
    assert size > LARGE_BYTES, size


def _upload(sock: Any) -> None:
    sock.sendall(
        b"PUT /files/small HTTP/1.1\r\nHost: x\r\nContent-Length: %d\r\n"
        b"Authorization: Bearer key-of-w1\r\n\r\n" % LARGE_BYTES
    )
    for _ in range(LARGE_BYTES // 50_000):
        sock.sendall(b"x" * 50_000)
    assert b"200 OK" in sock.recv(65536)


def main() -> int:
    """Measure, print and check the stated bounds."""
    started: list[Process] = []
    with tempfile.TemporaryDirectory() as folder:
        try:
            upstream = start_role("upstream")
            started.append(upstream)
            upstream_at = upstream.first_line()
            proxy = start_role("proxy", upstream_at)
            started.append(proxy)
            proxy_at = proxy.first_line()
            fakes = start_role("fakes", upstream_at)
            started.append(fakes)
            entry, entry_at = start_entry(fakes.first_line(), folder)
            started.append(entry)
            ask(connect(entry_at), "/status/1")
            growth_mb = measure_streams(entry, entry_at)
            measure_memory(entry, entry_at)
            ratio = compare(entry, entry_at, proxy, proxy_at)
        finally:
            for process in reversed(started):
                process.stop()
    load, cores = os.getloadavg()[0], os.cpu_count()
    print(f"load average {load:.1f} on {cores} cores; other work distorts the ratios")
    good = ratio <= RATIO_MAX and growth_mb <= STREAM_GROWTH_MAX_MB
    print(
        f"bounds: median ratio {ratio:.2f} (at most {RATIO_MAX}), "
        f"growth {growth_mb:.1f} MB (at most {STREAM_GROWTH_MAX_MB}): "
        f"{'met' if good else 'NOT MET'}"
    )
    return 0 if good else 1


if __name__ == "__main__":
    role, args = (sys.argv[1], sys.argv[2:]) if len(sys.argv) > 1 else ("main", [])
    if role == "upstream":
        serve_forever(upstream_app)
    elif role == "proxy":
        run_proxy(*args)
    elif role == "fakes":
        run_fakes(*args)
    elif role == "load":
        run_load(args[0], int(args[1]), float(args[2]))
    else:
        sys.exit(main())
