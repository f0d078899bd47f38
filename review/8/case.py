"""An order of the operator that waits in a frozen machine while newer ones are given.

The operator evacuates a zone, takes it back and evacuates it again. The order to take
it back is sent to a frozen machine first, gets no response there within a second, and
is confirmed by another machine. The frozen machine wakes after the zone was evacuated
again. This is repeated until the zone gets requests again.
"""

import signal
import sys
import time
from pathlib import Path

sys.path.insert(0, str(Path(__file__).resolve().parents[1]))

import fleet as kit

ZONE = "north"
START = f"/-/evacuation/{ZONE}/start"
STOP = f"/-/evacuation/{ZONE}/stop"
# `evacuate`, stretched by `skew_max` as the core is unstable after a freeze.
EVACUATE_S = 10.0
# Machines are in touch again this long after the thaw (`contact`).
CONTACT_S = 3.0
FREEZE_S = 1.2
# Requests that were on their way at the confirmation have arrived.
SETTLE_S = 0.5
WATCH_S = 1.0
ROUNDS = {True: 20, False: 3}
JUDGED_S = 3.0


def case(record: kit.Record, fleets: list[kit.Fleet]) -> bool:
    """Return whether the evacuated zone got no request."""
    fleet = kit.Fleet(record, cores=5)
    fleets.append(fleet)
    fleet.start_all()
    operator = kit.Operator(fleet)
    routes = [kit.route("browse", "/browse/", "archive")]
    if not operator.replace_config(kit.config(routes, [kit.service("archive")])):
        raise kit.CaseError("the first configuration was not acknowledged")
    backends = [kit.Backend(fleet, "archive", f"i-{zone}", zone) for zone in kit.ZONES]
    for backend in backends:
        backend.start()
    for backend in backends:
        kit.wait_until(backend.is_confirmed.is_set, 15, "heartbeats are confirmed")
    for edge in fleet.edges:
        kit.wait_until(lambda edge=edge: fleet.is_ready(edge), 15, "edges are ready")
    time.sleep(CONTACT_S)

    client = kit.Client(fleet)
    evacuated = next(item for item in backends if item.zone == ZONE)
    for number in range(ROUNDS[kit.has_trouble()]):
        confirmed_s, thawed_s = _evacuate_again(fleet, operator)
        time.sleep(SETTLE_S)
        runs = len(evacuated.runs)
        _send_for(client, fleet, time.monotonic() + WATCH_S)
        record.add("round", number=number, runs=len(evacuated.runs) - runs)
        if len(evacuated.runs) > runs:
            break
    judged_from_s = max(confirmed_s + EVACUATE_S, thawed_s + CONTACT_S)
    _send_for(client, fleet, judged_from_s + JUDGED_S)
    late = [run for run in evacuated.runs if run.at_s > judged_from_s]
    others = sum(len(item.runs) for item in backends if item is not evacuated)
    record.add("late", runs=len(late), runs_elsewhere=others)
    if not others:
        raise kit.CaseError("no request was run elsewhere")
    return not late


def _evacuate_again(fleet: kit.Fleet, operator: kit.Operator) -> tuple[float, float]:
    """Give the three orders; return when the last was confirmed, and the thaw."""
    _order(operator, START)
    time.sleep(SETTLE_S)
    # Neither a seed nor the first leader; one of five core machines.
    frozen = fleet.cores[-1]
    frozen_s = time.monotonic()
    if kit.has_trouble():
        fleet.send_signal(frozen, signal.SIGSTOP)
    _order(operator, STOP, first=frozen)
    _order(operator, START, first=fleet.cores[0])
    confirmed_s = time.monotonic()
    time.sleep(max(0.0, frozen_s + FREEZE_S - time.monotonic()))
    fleet.send_signal(frozen, signal.SIGCONT)
    return confirmed_s, time.monotonic()


def _order(operator: kit.Operator, target: str, first: str = "") -> None:
    if operator.order(target, first=first) != 200:
        raise kit.CaseError(f"{target} was not confirmed")


def _send_for(client: kit.Client, fleet: kit.Fleet, until_s: float) -> None:
    while time.monotonic() < until_s:
        for edge in fleet.edges:
            client.send(edge, "GET", "/browse/answers")
        time.sleep(0.05)


if __name__ == "__main__":
    kit.run_case(Path(__file__).resolve().parent, case)
