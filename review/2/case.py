"""REFUSED: an extra answer arrives late, while the entry repeats the same request."""

import os
import signal
import sys
import threading
import time
from collections import Counter
from itertools import count
from pathlib import Path

sys.path.insert(0, str(Path(__file__).resolve().parents[1]))

from deployment import (
    ZONES,
    BackendSpec,
    Deployment,
    service_row,
    wait_until,
)

FOLDER = Path(__file__).resolve().parent
SERVICE = "casetrack"
BACKENDS = 5
# The share of the backends that send extra answers, and of their answers.
GARBLING = 3
EXTRA_SHARE = "0.03"
WINDOW_S = 5.0
PAUSE_S = 0.5
WINDOWS = 13
ENTRIES = 6
CLIENTS = 48
BODY_BYTES = 20_000
PROBE_KEYS = range(500, 65536, 2048)
# The statuses that promise that a request has not run and never will.
PROMISES = {408, 421, 429, 503}


def send_requests(deployment: Deployment, stop: threading.Event, client: int) -> None:
    """Send uploads, one after the other, most of them for a few busy keys."""
    number = 0
    entry = client % ENTRIES
    while not stop.is_set():
        number += 1
        key = PROBE_KEYS[(client + number) % len(PROBE_KEYS)]
        attempt = f"c{client}-{number}"
        deployment.request(SERVICE, attempt, key, entry, "POST", body_bytes=BODY_BYTES)


def broken_promises(deployment: Deployment) -> list[str]:
    """Return the uploads that were refused as not run and have run, or ran twice."""
    runs = Counter(
        line["attempt"]
        for backend in deployment.backends
        for line in deployment.events(backend)
        if line["event"] == "run"
    )
    findings = [
        f"TWICE: upload {attempt} ran {times} times"
        for attempt, times in runs.items()
        if times > 1
    ]
    for line in deployment.record:
        if line["event"] != "answered" or line["status"] not in PROMISES:
            continue
        if runs[line["attempt"]]:
            findings.append(
                f"REFUSED: upload {line['attempt']}, sent at second {line['sent']},"
                f" was answered {line['status']} and has run"
            )
    return findings


def run(deployment: Deployment, trouble: bool) -> list[str]:
    """Play the case and return what broke the rule."""
    deployment.start()
    deployment.send_first_config([service_row(SERVICE, sharded=True, kind="upload")])
    for number in range(BACKENDS):
        zone = ZONES[number % len(ZONES)]
        options = ("--extra-share", EXTRA_SHARE, "--work-ms", "220", "--queue", "2")
        spec = BackendSpec(f"i-case{number}", SERVICE, zone, True, options)
        deployment.add_backend(spec)

    numbers = count()

    def all_served() -> bool:
        answers = [
            deployment.request(SERVICE, f"w{next(numbers)}", key).status
            for key in PROBE_KEYS
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
    garbling = list(deployment.backends)[:GARBLING]
    try:
        for _ in range(WINDOWS):
            time.sleep(PAUSE_S)
            if trouble:
                for backend in garbling:
                    deployment.signal(backend, signal.SIGUSR1)
            time.sleep(WINDOW_S)
            if trouble:
                for backend in garbling:
                    deployment.signal(backend, signal.SIGUSR2)
        time.sleep(PAUSE_S)
    finally:
        stop.set()
        for client in clients:
            client.join()
    return broken_promises(deployment)


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
