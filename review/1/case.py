"""OWNER: a backend is restarted in place, under the id that it had."""

import os
import sys
import threading
import time
from pathlib import Path
from typing import NamedTuple

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
BACKENDS = 8
ROUNDS = 4
# How long a crashed backend is down.
DOWN_S = 0.3
ROUND_S = 5.0
# How late a heartbeat arrives on the slow path to the first node. The backend calls
# the next node after a second without an answer.
LATE_S = 1.5
# The rule: two backends hold the same keys for over half a second.
ALLOWED_S = 0.5
KEYS = 65536
PROBE_KEYS = range(500, KEYS, 2048)


class Hold(NamedTuple):
    """Hold keys in one lifetime of a backend, from a grant until its end."""

    backend: str
    born: int
    first: int
    last: int
    fence: int
    from_s: float
    until_s: float


def holds_of(deployment: Deployment, backend: str) -> list[Hold]:
    """Return what a backend held, by its own record and the times of its ends."""
    ends = [
        line["at"]
        for line in deployment.record
        if line["event"] == "process_killed" and line["name"] == backend
    ]
    events = deployment.events(backend)
    holds = []
    for number, line in enumerate(events):
        if line["event"] != "grant" or line["status"] != 200:
            continue
        until_s = line["at"] + line["hold_s"]
        until_s = min([until_s, *(end for end in ends if end >= line["at"])])
        parts = [(line["first"], line["last"], until_s)]
        for later in events[number + 1 :]:
            if later["event"] == "release" and later["at"] < until_s:
                parts = cut(parts, later["first"], later["last"], later["at"])
        holds += [
            Hold(backend, line["born"], first, last, line["fence"], line["at"], until)
            for first, last, until in parts
        ]
    return holds


def cut(
    parts: list[tuple[int, int, float]], first: int, last: int, at_s: float
) -> list[tuple[int, int, float]]:
    """End the hold of released keys when the release arrived."""
    result = []
    for a, b, until_s in parts:
        if b < first or last < a:
            result.append((a, b, until_s))
            continue
        if a < first:
            result.append((a, first - 1, until_s))
        if last < b:
            result.append((last + 1, b, until_s))
        result.append((max(a, first), min(b, last), min(until_s, at_s)))
    return result


def overlaps(deployment: Deployment) -> list[str]:
    """Return where two backends held the same keys for longer than allowed.

    Renewals continue a hold, so the times of one pair of holders are joined.
    """
    holds = [h for name in deployment.backends for h in holds_of(deployment, name)]
    spans: dict[tuple[str, str, int, int], list[float]] = {}
    for one in holds:
        for two in holds:
            if one.backend >= two.backend:
                continue
            first, last = max(one.first, two.first), min(one.last, two.last)
            from_s = max(one.from_s, two.from_s)
            until_s = min(one.until_s, two.until_s)
            if first > last or from_s >= until_s:
                continue
            key = (_name(one), _name(two), first, last)
            span = spans.setdefault(key, [from_s, until_s])
            span[:] = [min(span[0], from_s), max(span[1], until_s)]
    start_s = deployment.record[0]["at"]
    return [
        f"keys {first} to {last} were held by {one} and {two} at once for"
        f" {until_s - from_s:.2f} s from second {from_s - start_s:.2f}"
        for (one, two, first, last), (from_s, until_s) in spans.items()
        if until_s - from_s > ALLOWED_S
    ]


def _name(hold: Hold) -> str:
    return f"{hold.backend} (born {hold.born}, fence {hold.fence})"


def send_requests(deployment: Deployment, stop: threading.Event) -> None:
    """Send requests for keys all over the range, to both entries in turn."""
    number = 0
    while not stop.wait(0.05):
        number += 1
        key = PROBE_KEYS[number % len(PROBE_KEYS)]
        deployment.request(SERVICE, f"a{number}", key, number % 2)


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

    wait_until(all_served, 30.0, "all keys are served")
    relay = deployment.start_relay(0, LATE_S)
    stop = threading.Event()
    client = threading.Thread(target=send_requests, args=(deployment, stop))
    client.start()
    try:
        for number in range(ROUNDS):
            time.sleep(ROUND_S)
            if trouble:
                backend = f"i-case{number % BACKENDS}"
                deployment.kill(backend)
                time.sleep(DOWN_S)
                deployment.start_backend(
                    backend,
                    "--cold-s",
                    "3",
                    controls=[relay, *deployment.controls[1:]],
                )
        time.sleep(ROUND_S)
    finally:
        stop.set()
        client.join()
    return overlaps(deployment)


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
        print(*findings or ["the rule held"], sep="\n")
        try:
            deployment.write_record(FOLDER / "record.txt", *findings)
        finally:
            deployment.stop()


if __name__ == "__main__":
    sys.exit(main())
