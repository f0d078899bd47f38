"""Run a complete site on loopback with stand-in upstreams until interrupted."""

import signal
import sys
import threading
from dataclasses import dataclass
from typing import Annotated

import cappa

from scripts.local_cluster import SITE_PLANS, LocalCluster

_EXAMPLE_REQUESTS = {
    "iroda": (
        ("GET", "/cases/2026-117/status", "press-desk"),
        ("POST", "/submissions", "caseworkers"),
        ("GET", "/answers", ""),
    ),
    "hollins-marr": (
        ("GET", "/hires/heater-12/availability", "lea-valley"),
        ("POST", "/contracts", "fenland-growers"),
        ("GET", "/terms", ""),
    ),
}


@dataclass
class Options:
    """Run the demo of one site."""

    site: Annotated[str, cappa.Arg(long=True, help="iroda or hollins-marr")] = "iroda"
    once: Annotated[
        bool, cappa.Arg(long=True, help="stop after the first responses")
    ] = False


def print_usage(cluster: LocalCluster) -> None:
    """Print example requests and the operator command line."""
    address = cluster.entries["entry-1"]
    print(f"\n{cluster.plan.site} is running; entries:", *cluster.entries.values())
    for method, path, workspace in _EXAMPLE_REQUESTS[cluster.plan.site]:
        key = f" -H 'Authorization: Bearer demo-{workspace}'" if workspace else ""
        body = " -d 'text'" if method == "POST" else ""
        print(f"  curl -i -X {method}{key}{body} http://{address}{path}")
    replicas = ",".join(cluster.operator_addresses.values())
    print("\nOperator command line (key: demo-operator):")
    print(f"  BERGAMOTDRIFT_CONTROL={replicas} .venv/bin/bergamotdrift status")
    print(f"Settings and logs are in {cluster.folder}. Stop with Ctrl-C.", flush=True)


def main() -> int:
    """Return 0 if every example request got status 200, otherwise 1."""
    options = cappa.parse(Options, completion=False)
    stop = threading.Event()
    for signum in (signal.SIGINT, signal.SIGTERM):
        signal.signal(signum, lambda *_: stop.set())
    cluster = LocalCluster(SITE_PLANS[options.site])
    try:
        print(f"Starting {options.site} ...", flush=True)
        cluster.start()
        for method, path, workspace in _EXAMPLE_REQUESTS[options.site]:
            reply = cluster.request("entry-1", method, path, workspace)
            print(f"  {method} {path}: {reply.status}")
            if reply.status != 200:
                return 1
        print_usage(cluster)
        if not options.once:
            stop.wait()
    finally:
        cluster.stop()
    return 0


if __name__ == "__main__":
    sys.exit(main())
