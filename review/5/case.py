"""Acks: zones are emptied and taken back again and again."""

import os
import random
import sys
import threading
import time
from pathlib import Path

sys.path.insert(0, str(Path(__file__).resolve().parents[1]))

from stand_ins.deployment import (
    ZONES,
    BackendSpec,
    Deployment,
    service_row,
    wait_until,
)

FOLDER = Path(__file__).resolve().parent
SERVICE = "casetrack"
BACKENDS = 9
EVACUATIONS = 18
EVACUATED_S = 3.5
CLIENTS = 24
# The bound `ack`, and how long the operator goes on sending an order here.
ACK_S = 4.0
GIVE_UP_S = 10.0
PROBE_KEYS = range(500, 65536, 2048)


def send_requests(deployment: Deployment, stop: threading.Event, client: int) -> None:
    """Send requests for keys all over the range."""
    rng = random.Random(client)
    number = 0
    while not stop.wait(0.01):
        number += 1
        key = rng.randrange(65536)
        deployment.request(SERVICE, f"c{client}-{number}", key, number % 2)


def order(deployment: Deployment, zone: str, call: str) -> list[str]:
    """Send an order until it is confirmed; return a finding if that is too late."""
    started_s = time.monotonic()
    confirmed = False
    while not confirmed and time.monotonic() < started_s + GIVE_UP_S:
        reply = deployment.operator("POST", f"/-/evacuation/{zone}/{call}")
        confirmed = reply.status == 200
        time.sleep(0.0 if confirmed else 0.1)
    took_s = time.monotonic() - started_s
    deployment.note("ordered", zone=zone, call=call, took=took_s, confirmed=confirmed)
    if took_s <= ACK_S:
        return []
    state = "confirmed" if confirmed else "not confirmed"
    at_s = started_s - deployment.record[0]["at"]
    return [
        f"the order {call} of the evacuation of {zone}, sent at second {at_s:.1f}, was"
        f" {state} after {took_s:.1f} s; {ranges(deployment)} ranges of keys had been"
        " granted by then"
    ]


def ranges(deployment: Deployment) -> int:
    """Return how many different ranges of keys were granted."""
    return len({
        (line["first"], line["last"])
        for backend in deployment.backends
        for line in deployment.events(backend)
        if line["event"] == "grant"
    })


def run(deployment: Deployment, trouble: bool) -> list[str]:
    """Play the case and return what broke the rule."""
    deployment.start()
    deployment.send_first_config([service_row(SERVICE, sharded=True)])
    for number in range(BACKENDS):
        zone = ZONES[number % len(ZONES)]
        spec = BackendSpec(f"i-case{number}", SERVICE, zone, True)
        deployment.add_backend(spec)

    def all_served() -> bool:
        answers = [
            deployment.request(SERVICE, f"w{key}", key).status for key in PROBE_KEYS
        ]
        return all(status == 200 for status in answers)

    wait_until(all_served, 40.0, "all keys are served")
    stop = threading.Event()
    clients = [
        threading.Thread(target=send_requests, args=(deployment, stop, n))
        for n in range(CLIENTS)
    ]
    for client in clients:
        client.start()
    findings: list[str] = []
    try:
        for number in range(EVACUATIONS):
            zone = ZONES[number % len(ZONES)]
            # Without the disruption, a zone is emptied once, at the end.
            if trouble or number + 1 == EVACUATIONS:
                findings += order(deployment, zone, "start")
            time.sleep(EVACUATED_S)
            if trouble or number + 1 == EVACUATIONS:
                findings += order(deployment, zone, "stop")
            if findings:
                break
    finally:
        stop.set()
        for client in clients:
            client.join()
    return findings


def main() -> int:
    """Run the case; return 1 if the rule was broken, 0 if not, 2 if it couldn't run."""
    deployment = Deployment()
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
