"""DRAIN: a backend that restarted behind a cut leaves as soon as the cut has healed."""

import os
import signal
import sys
import threading
import time
from pathlib import Path
from typing import Any

sys.path.insert(0, str(Path(__file__).resolve().parents[1]))

from deployment import BackendSpec, Deployment, service_row, wait_until

FOLDER = Path(__file__).resolve().parent
SERVICE = "filedesk"
# The leaving backend is the only one of its zone, so the entry there prefers it.
BACKEND_ZONES = ("bp-north",) + 4 * ("bp-south",) + 3 * ("godollo",)
ENTRIES = 3
LEAVING = "i-case0"
ROUNDS = 6
CALM_S = 4.5
# For how long the backend can't reach the core, and its restart after the cut began.
CUT_S = 5.0
DOWN_AFTER_S = 1.0
DOWN_S = 0.3
# When its planned stop begins, before the cut heals.
STOP_BEFORE_S = 0.5
# How long the backend serves on after the confirmation: `drain` and a little longer.
DRAIN_S = 2.0
SERVE_ON_S = 6.0
# Each entry gets a submission as often as this, as at night.
INTERVAL_S = 5.0


def send_requests(deployment: Deployment, stop: threading.Event, entry: int) -> None:
    """Send a submission to an entry now and then."""
    number = 0
    while not stop.wait(INTERVAL_S):
        number += 1
        deployment.request(SERVICE, f"c{entry}-{number}", None, entry, "POST")


def late_requests(deployment: Deployment) -> list[str]:
    """Return the requests that reached the backend too late."""
    events = deployment.events(LEAVING)
    acked: dict[int, float] = {}
    for line in events:
        if line["event"] == "heartbeat_acked" and line["state"] == "draining":
            acked.setdefault(line["born"], line["at"])
    return [
        _finding(deployment, line, line["at"] - acked[line["born"]])
        for line in events
        if line["event"] == "run"
        and line["at"] > acked.get(line["born"], 1e12) + DRAIN_S
    ]


def _finding(deployment: Deployment, line: dict[str, Any], late_s: float) -> str:
    at_s = line["at"] - deployment.record[0]["at"]
    return (
        f"request {line['attempt']} reached {LEAVING} (born {line['born']}) at second"
        f" {at_s:.2f}, {late_s:.2f} s after the confirmation that it leaves"
    )


def run(deployment: Deployment, trouble: bool) -> list[str]:
    """Play the case and return what broke the rule."""
    deployment.start()
    deployment.send_first_config([service_row(SERVICE, sharded=False, kind="unsafe")])
    # Stands for the path between the backend and the core, which is cut for a while.
    relays = [deployment.start_relay(number, 0.0) for number in range(3)]
    for number, zone in enumerate(BACKEND_ZONES):
        options = ("--serve-on-s", str(SERVE_ON_S))
        spec = BackendSpec(f"i-case{number}", SERVICE, zone, False, options)
        deployment.add_backend(spec, relays if spec.id == LEAVING else None)

    def serves() -> bool:
        for number in range(ENTRIES):
            attempt = f"w{time.monotonic()}"
            deployment.request(SERVICE, attempt, None, number)
        return any(line["event"] == "run" for line in deployment.events(LEAVING))

    wait_until(serves, 30.0, "the backend serves requests")
    stop = threading.Event()
    clients = [
        threading.Thread(target=send_requests, args=(deployment, stop, entry))
        for entry in range(ENTRIES)
    ]
    for client in clients:
        client.start()
    try:
        for number in range(ROUNDS):
            if number:
                deployment.start_backend(LEAVING, controls=relays)
            time.sleep(CALM_S)
            if trouble:
                cut(deployment, relays)
            else:
                deployment.signal(LEAVING, signal.SIGTERM)
            deployment.processes.pop(LEAVING).wait(SERVE_ON_S + 10.0)
    finally:
        stop.set()
        for client in clients:
            client.join()
    return late_requests(deployment)


def cut(deployment: Deployment, relays: list[str]) -> None:
    """Cut the backend off the core, restart it behind the cut, and stop it."""
    for number in range(len(relays)):
        deployment.signal(f"relay-{number}", signal.SIGUSR1)
    time.sleep(DOWN_AFTER_S)
    deployment.kill(LEAVING)
    time.sleep(DOWN_S)
    deployment.start_backend(LEAVING, controls=relays)
    time.sleep(CUT_S - DOWN_AFTER_S - DOWN_S - STOP_BEFORE_S)
    deployment.signal(LEAVING, signal.SIGTERM)
    time.sleep(STOP_BEFORE_S)
    for number in range(len(relays)):
        deployment.signal(f"relay-{number}", signal.SIGUSR2)


def main() -> int:
    """Run the case; return 1 if the rule was broken, 0 if not, 2 if it couldn't run."""
    deployment = Deployment(entries=ENTRIES)
    findings: list[str] = []
    try:
        findings = run(deployment, os.environ.get("TROUBLE") != "0")
        return 1 if findings else 0
    except Exception as exc:
        findings = [f"could not run: {exc!r}"]
        return 2
    finally:
        print(*findings[:10] or ["the rule held"], sep="\n")
        try:
            deployment.write_record(FOLDER / "record.txt", *findings)
        finally:
            deployment.stop()


if __name__ == "__main__":
    sys.exit(main())
