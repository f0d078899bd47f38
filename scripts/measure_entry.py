"""Measure the entry's latency, CPU time and memory against a minimal proxy.

The entry, a minimal falcon and geventhttpclient proxy, the upstream, the fake control
and arbiter, and the load generator are separate processes on loopback.
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
ROUND_DURATION_S = 2.0
IDLE_CONNECTIONS = (1, 100, 400)
LARGE_BYTES = 50_000_000
# Streaming holds a few 64 KiB buffers per side; buffering a whole body takes 50 MB.
STREAM_GROWTH_MAX_MB = 8.0
RATIO_MAX = 2.0
_RESPONSE_BODY = b"x" * 200
_CLOCK_TICK_S = 1.0 / os.sysconf("SC_CLK_TCK")
_PAGE_MB = os.sysconf("SC_PAGE_SIZE") / 1e6


def serve_forever(app: Any) -> None:
    """Serve an application on a free port and print its address."""
    server = pywsgi.WSGIServer(("127.0.0.1", 0), app, log=None, error_log=None)
    server.start()
    server.socket.setsockopt(os_socket.IPPROTO_TCP, os_socket.TCP_NODELAY, 1)
    print(f"127.0.0.1:{server.server_port}", flush=True)
    gevent.wait()


def upstream_app(environ: dict[str, Any], start_response: Any) -> Any:
    """Respond with 200 bytes, or LARGE_BYTES for a path that ends in `large`."""
    while environ["wsgi.input"].read(65536):
        pass
    large = environ["PATH_INFO"].endswith("large")
    size = LARGE_BYTES if large else len(_RESPONSE_BODY)
    start_response("200 OK", [("Content-Length", str(size))])
    if environ["REQUEST_METHOD"] != "GET" or not large:
        return [_RESPONSE_BODY] if not large else iter([b"x" * LARGE_BYTES])
    return (b"x" * 50_000 for _ in range(LARGE_BYTES // 50_000))


class BareProxy:
    """Forward requests without bodies to one upstream over a connection pool."""

    def __init__(self, address: str):
        self._client = HTTPClient.from_url(f"http://{address}", concurrency=64)

    def __call__(self, req: falcon.Request, resp: falcon.Response, **_: Any) -> None:
        """Forward one request."""
        response = self._client.request(req.method, req.path)
        resp.data = response.read()
        resp.status = response.status_code


def run_proxy(address: str) -> None:
    """Serve the minimal proxy."""
    app = falcon.App()
    app.add_sink(BareProxy(address))
    serve_forever(app)


def run_fakes(address: str) -> None:
    """Serve a fake control and a fake arbiter that grants every permit."""
    case: Any = entry_fakes.EntryTestCase()
    case.control = entry_fakes.FakeControl()
    case.arbiter = entry_fakes.FakeArbiter()
    case.arbiter.addresses = [address]
    case.arbiter.received = _DiscardingList()
    case.control.received = _DiscardingList()
    case.upstream = _Address(address)
    case.control.update = case.tables()
    print(case.control.server.address, flush=True)
    gevent.wait()


class _DiscardingList(list):
    def append(self, item: Any) -> None:
        """Discard the item, as no test reads it and memory would grow."""


class _Address(NamedTuple):
    address: str


class LoadFigures(NamedTuple):
    """Hold the figures of a load generator; times in milliseconds."""

    requests: int
    median_ms: float
    p99_ms: float


def run_load(address: str, connections: int, seconds: float) -> None:
    """Send requests over keep-alive connections and print the figures."""
    latencies: list[float] = []
    end_s = time.perf_counter() + seconds
    greenlets = [
        gevent.spawn(_send_loop, address, end_s, latencies) for _ in range(connections)
    ]
    gevent.joinall(greenlets, raise_error=True)
    latencies.sort()
    figures = LoadFigures(
        len(latencies),
        latencies[len(latencies) // 2],
        latencies[len(latencies) * 99 // 100],
    )
    print(json.dumps(figures), flush=True)


def _send_loop(address: str, end_s: float, latencies: list[float]) -> None:
    sock = connect(address)
    while (start_s := time.perf_counter()) < end_s:
        send_request(sock, "/status/1")
        latencies.append((time.perf_counter() - start_s) * 1000.0)
    sock.close()


def connect(address: str) -> Any:
    """Open a TCP connection to an address."""
    host, _, port = address.rpartition(":")
    return socket.create_connection((host, int(port)))


def send_request(sock: Any, path: str) -> None:
    """Send a GET request and read its response; RuntimeError unless it is 200."""
    sock.sendall(
        f"GET {path} HTTP/1.1\r\nHost: x\r\n"
        f"Authorization: Bearer {entry_fakes.KEY}\r\n\r\n".encode()
    )
    data = b""
    while not data.endswith(_RESPONSE_BODY):
        chunk = sock.recv(65536)
        if not chunk or b" 200 OK" not in (data + chunk)[:20]:
            raise RuntimeError(f"unexpected response: {(data + chunk)[:300]!r}")
        data += chunk


class ChildProcess:
    """Run a Python program as a child process and observe its resource use."""

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
        """Return the CPU time used so far, in seconds."""
        fields = (
            Path(f"/proc/{self.child.pid}/stat").read_text().rsplit(") ")[1].split()
        )
        return (int(fields[11]) + int(fields[12])) * _CLOCK_TICK_S

    def memory_mb(self) -> float:
        """Return the resident memory in MB."""
        return (
            int(Path(f"/proc/{self.child.pid}/statm").read_text().split()[1]) * _PAGE_MB
        )

    def stop(self) -> None:
        """Terminate the child and wait for its exit."""
        self.child.terminate()
        self.child.wait(timeout=10)
        self.child.stdout.close()


def start_role(*args: str) -> ChildProcess:
    """Start this script as a child process in a role."""
    return ChildProcess(str(Path(__file__)), *args)


def start_entry(control: str, folder: str) -> tuple[ChildProcess, str]:
    """Start the entry; return it and its address once it has reached the arbiter."""
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
    entry = ChildProcess("-m", "bergamotdrift.entry", "--settings", str(path))
    fields: dict[str, str] = {}
    while fields.get("event") != "arbiter_connected":
        line = entry.child.stdout.readline()
        if not line:
            raise RuntimeError("the entry exited before it connected to the arbiter")
        fields = dict(p.split("=", 1) for p in line.split() if "=" in p)
        if fields.get("event") == "entry_started":
            address = fields["listen"]
    gevent.spawn(_discard_output, entry.child.stdout.fileno())
    time.sleep(0.5)
    return entry, address


def _discard_output(fd: int) -> None:
    while gevent.os.tp_read(fd, 65536):
        pass


class Row(NamedTuple):
    """Hold the figures of one target at a number of connections."""

    target: str
    connections: int
    median_ms: float
    p99_ms: float
    per_s: float
    cpu_us: float


def measure_load(target: str, process: ChildProcess, address: str, count: int) -> Row:
    """Return the figures of one round of load."""
    before_s = process.cpu_s()
    load = start_role("load", address, str(count), str(ROUND_DURATION_S))
    figures = LoadFigures(*json.loads(load.first_line()))
    load.stop()
    cpu_us = (process.cpu_s() - before_s) / figures.requests * 1e6
    per_s = figures.requests / ROUND_DURATION_S
    return Row(target, count, figures.median_ms, figures.p99_ms, per_s, cpu_us)


def median_row(rows: list[Row]) -> Row:
    """Return the row whose median latency is the median of the rounds."""
    return sorted(rows, key=lambda row: row.median_ms)[len(rows) // 2]


def compare_latency(
    entry: ChildProcess, entry_address: str, proxy: ChildProcess, proxy_address: str
) -> float:
    """Print latency and CPU time; return the ratio of medians at 8 connections."""
    rows, ratios = [], {}
    for count in CONNECTIONS:
        results: dict[str, list[Row]] = {"proxy": [], "entry": []}
        for _ in range(ROUNDS):
            results["proxy"].append(measure_load("proxy", proxy, proxy_address, count))
            results["entry"].append(measure_load("entry", entry, entry_address, count))
        medians = [median_row(results["proxy"]), median_row(results["entry"])]
        rows += medians
        ratios[count] = medians[1].median_ms / medians[0].median_ms
    headers = ["target", "connections", "median ms", "p99 ms", "per s", "cpu us"]
    print(tabulate(rows, headers, floatfmt=".2f"))
    for count, ratio in ratios.items():
        print(f"median ratio entry/proxy at {count} connections: {ratio:.2f}")
    return ratios[8]


def measure_memory(entry: ChildProcess, address: str) -> None:
    """Print the entry's resident memory by number of idle connections."""
    rows: list[tuple[int, float]] = []
    socks: list[Any] = []
    for count in IDLE_CONNECTIONS:
        while len(socks) < count:
            sock = connect(address)
            send_request(sock, "/status/1")
            socks.append(sock)
        rows.append((count, entry.memory_mb()))
    for sock in socks:
        sock.close()
    print(tabulate(rows, ["connections", "resident MB"], floatfmt=".1f"))


def measure_streams(entry: ChildProcess, address: str) -> float:
    """Print the memory growth while large bodies stream; return the largest in MB."""
    before_mb = entry.memory_mb()
    peaks = {"download": 0.0, "upload": 0.0}
    for name in peaks:
        sock = connect(address)
        transfer = gevent.spawn(_download if name == "download" else _upload, sock)
        while not transfer.ready():
            peaks[name] = max(peaks[name], entry.memory_mb() - before_mb)
            gevent.sleep(0.005)
        transfer.get()
        sock.close()
    for name, growth_mb in peaks.items():
        print(f"{name} of 50 MB: resident memory grew by {growth_mb:.1f} MB")
    return max(peaks.values())


def _download(sock: Any) -> None:
    sock.sendall(
        b"GET /files/large HTTP/1.1\r\nHost: x\r\nConnection: close\r\n"
        b"Authorization: Bearer key-of-w1\r\n\r\n"
    )
    size = 0
    while chunk := sock.recv(65536):
        size += len(chunk)
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
    """Measure the entry and the proxy and return 1 if a bound is exceeded."""
    children: list[ChildProcess] = []
    with tempfile.TemporaryDirectory() as folder:
        try:
            upstream = start_role("upstream")
            children.append(upstream)
            upstream_address = upstream.first_line()
            proxy = start_role("proxy", upstream_address)
            children.append(proxy)
            proxy_address = proxy.first_line()
            fakes = start_role("fakes", upstream_address)
            children.append(fakes)
            entry, entry_address = start_entry(fakes.first_line(), folder)
            children.append(entry)
            send_request(connect(entry_address), "/status/1")
            growth_mb = measure_streams(entry, entry_address)
            measure_memory(entry, entry_address)
            ratio = compare_latency(entry, entry_address, proxy, proxy_address)
        finally:
            for process in reversed(children):
                process.stop()
    load, cores = os.getloadavg()[0], os.cpu_count()
    print(f"load average {load:.1f} on {cores} cores; other work distorts the ratios")
    within_bounds = ratio <= RATIO_MAX and growth_mb <= STREAM_GROWTH_MAX_MB
    print(
        f"bounds: median ratio {ratio:.2f} (at most {RATIO_MAX}), "
        f"growth {growth_mb:.1f} MB (at most {STREAM_GROWTH_MAX_MB}): "
        f"{'met' if within_bounds else 'NOT MET'}"
    )
    return 0 if within_bounds else 1


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
