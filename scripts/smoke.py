"""Send requests to every service of both sites; compare latency with a bare proxy."""

import http.client
import statistics
import subprocess
import sys
import threading
import time
from collections import Counter
from concurrent.futures import ThreadPoolExecutor
from typing import NamedTuple

from scripts.http_calls import call_http
from scripts.load import (
    SITE_REQUESTS,
    LoadGenerator,
    find_violations,
    recorded_executions,
)
from scripts.local_cluster import (
    ROOT,
    SITE_PLANS,
    LocalCluster,
    free_address,
    wait_until,
)

_LOAD_DURATION_S = 3.0
_LATENCY_ROUNDS = 3
_REQUESTS_PER_ROUND = 100
# Target in docs/design.md for the entry's median latency over the bare proxy's.
_MAX_LATENCY_RATIO = 2.0
_BARRIER_TIMEOUT_S = 60.0
_LOAD_DONE = threading.Barrier(len(SITE_PLANS))
_COMPARISON_DONE = threading.Barrier(len(SITE_PLANS))
_COMPARISON_LOCK = threading.Lock()


class SiteReport(NamedTuple):
    """Store the smoke run results of one site."""

    site: str
    served: Counter
    refused: Counter
    violations: list[str]
    ratio: float
    entry_ms: float
    proxy_ms: float


class LatencyRequest(NamedTuple):
    """Describe the request to a pool service that is used to compare latency."""

    service: str
    path: str
    workspace: str


_LATENCY_REQUESTS = {
    "iroda": LatencyRequest("archive", "/archive/search", "caseworkers"),
    "hollins-marr": LatencyRequest("hire-contracts", "/contracts/1", "humber-glass"),
}


def run_site(site: str) -> SiteReport:
    """Start a site, load it, compare latency with the bare proxy and stop it."""
    # A service time of 0 makes the ratio show the overhead of the entry itself.
    cluster = LocalCluster(SITE_PLANS[site]._replace(service_ms=0.0))
    try:
        cluster.start()
        generator = LoadGenerator(cluster, SITE_REQUESTS[site], caller_count=4)
        generator.start()
        time.sleep(_LOAD_DURATION_S)
        records = generator.stop()
        time.sleep(0.2)
        violations = find_violations(records, recorded_executions(cluster.executions()))
        # Both sites wait here, since starting or stopping one site would distort the
        # latencies of the other.
        _LOAD_DONE.wait(_BARRIER_TIMEOUT_S)
        with _COMPARISON_LOCK:
            entry_ms, proxy_ms = compare_latency(cluster)
        _COMPARISON_DONE.wait(_BARRIER_TIMEOUT_S)
    finally:
        cluster.stop()
    served = Counter(service_of(r.path) for r in records if r.status == 200)
    refused = Counter(r.kind or str(r.status) for r in records if r.status != 200)
    ratio = entry_ms / proxy_ms
    return SiteReport(site, served, refused, violations, ratio, entry_ms, proxy_ms)


def service_of(path: str) -> str:
    """Return the first path segment, which identifies the service."""
    return path.split("/")[1]


def compare_latency(cluster: LocalCluster) -> tuple[float, float]:
    """Return the median latencies in milliseconds through an entry and the proxy.

    Rounds alternate between the two, with the same request to the same stand-in, so
    that other load on the machine affects both.
    """
    request = _LATENCY_REQUESTS[cluster.plan.site]
    upstream = cluster.upstream_addresses[f"{request.service}-1"]
    proxy_address = free_address()
    proxy = subprocess.Popen(
        [sys.executable, "-m", "scripts.bare_proxy", proxy_address, upstream], cwd=ROOT
    )
    try:
        wait_until(
            lambda: call_http(proxy_address, "GET", "/load").status == 200,
            10,
            "the proxy",
        )
        headers = {"Authorization": f"Bearer demo-{request.workspace}"}
        entry_address = cluster.entries["entry-1"]
        through_entry: list[float] = []
        through_proxy: list[float] = []
        for _ in range(_LATENCY_ROUNDS):
            through_entry += measure_latencies_ms(entry_address, request.path, headers)
            through_proxy += measure_latencies_ms(proxy_address, request.path, {})
    finally:
        proxy.terminate()
        proxy.wait()
    return statistics.median(through_entry), statistics.median(through_proxy)


def measure_latencies_ms(
    address: str, path: str, headers: dict[str, str]
) -> list[float]:
    """Return the latencies in milliseconds of requests over one connection.

    Raises RuntimeError if a response has another status than 200.
    """
    host, _, port = address.rpartition(":")
    conn = http.client.HTTPConnection(host, int(port), timeout=5)
    times = []
    for _ in range(_REQUESTS_PER_ROUND):
        started = time.perf_counter()
        conn.request("GET", path, headers=headers)
        reply = conn.getresponse()
        reply.read()
        times.append((time.perf_counter() - started) * 1000.0)
        if reply.status != 200:
            raise RuntimeError(f"{address}{path} answered {reply.status}")
    conn.close()
    return times


def find_problems(report: SiteReport) -> list[str]:
    """Return the failed checks of a site report."""
    problems = list(report.violations)
    expected = {service_of(plan.path) for plan in SITE_REQUESTS[report.site]}
    problems += [
        f"/{service} was not served" for service in expected - set(report.served)
    ]
    if report.refused:
        problems.append(
            f"requests within the rates were refused: {dict(report.refused)}"
        )
    if report.ratio > _MAX_LATENCY_RATIO:
        problems.append(f"the median is {report.ratio:.2f} times the bare proxy's")
    return problems


def main() -> int:
    """Return 0 if all checks pass for both sites, otherwise 1."""
    started = time.monotonic()
    with ThreadPoolExecutor(len(SITE_PLANS)) as pool:
        reports = list(pool.map(run_site, SITE_PLANS))
    problems: list[str] = []
    for report in reports:
        print(f"{report.site}:")
        for service, count in sorted(report.served.items()):
            print(f"  /{service}: {count} served")
        print(f"  refused: {dict(report.refused) or 0}")
        print(
            f"  median through an entry {report.entry_ms:.2f} ms, through the bare "
            f"proxy {report.proxy_ms:.2f} ms, ratio {report.ratio:.2f}"
        )
        problems += [f"{report.site}: {text}" for text in find_problems(report)]
    for text in problems:
        print(f"failed: {text}")
    print(
        f"{time.monotonic() - started:.0f} s",
        "failed" if problems else "ok",
        flush=True,
    )
    return 1 if problems else 0


if __name__ == "__main__":
    sys.exit(main())
