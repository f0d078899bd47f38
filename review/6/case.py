"""A core machine is killed while it catches up by a snapshot, and restarts twice.

Core machine 3 lost its disk and catches up with a log that was compacted. Its process
is killed once it has saved the snapshot, and starts again. Later the final fault takes
the disk of core machine 2 and kills all core processes.
"""

import json
import shutil
import subprocess
import sys
import time
from concurrent.futures import ThreadPoolExecutor
from pathlib import Path

sys.path.insert(0, str(Path(__file__).resolve().parents[1]))

import fleet as kit

# A deployment that has run for long has compacted its log.
AGE_ORDERS_MAX = 8000
# The page allows eight orders in progress.
ORDERS_AT_ONCE = 8
CATCH_UP_S = 4.0
CONTACT_S = 3.0
RECOVERY_S = 15.0
READ_BACK_S = 20.0


def case(record: kit.Record, fleets: list[kit.Fleet]) -> bool:
    """Return whether the last configuration is there after the final fault."""
    fleet = kit.Fleet(record)
    fleets.append(fleet)
    fleet.start_all()
    operator = kit.Operator(fleet)
    _change(operator, "2000ms")
    for edge in fleet.edges:
        kit.wait_until(lambda edge=edge: fleet.is_ready(edge), 15, "edges are ready")
    _age(fleet)

    lost = "core-3"
    fleet.kill(lost)
    _wipe(fleet, lost)
    process = fleet.start(lost)
    _wait_for_snapshot(fleet, lost, process)
    time.sleep(CATCH_UP_S + CONTACT_S)

    _change(operator, "1900ms")
    time.sleep(CATCH_UP_S)
    _change(operator, "1800ms")
    record.add("final_fault", wiped="core-2")
    for name in fleet.cores:
        fleet.kill(name)
    _wipe(fleet, "core-2")
    for name in fleet.cores:
        fleet.start(name)
    time.sleep(RECOVERY_S)
    return _is_read_back(fleet, operator.version)


def _change(operator: kit.Operator, timeout: str) -> None:
    routes = [kit.route("browse", "/browse/", "archive", timeout=timeout)]
    if not operator.replace_config(kit.config(routes, [kit.service("archive")])):
        raise kit.CaseError("a configuration was not acknowledged")


def _age(fleet: kit.Fleet) -> None:
    """Give orders until all core machines have compacted their log."""

    def evacuate(number: int) -> int:
        zone = kit.ZONES[number % len(kit.ZONES)]
        verb = "start" if number // len(kit.ZONES) % 2 else "stop"
        address = fleet.control_addresses[number % len(fleet.cores)]
        return kit.call(address, "POST", f"/-/evacuation/{zone}/{verb}").status

    sent = 0
    with ThreadPoolExecutor(ORDERS_AT_ONCE) as pool:
        while sent < AGE_ORDERS_MAX and not all(map(fleet.has_snapshot, fleet.cores)):
            list(pool.map(evacuate, range(sent, sent + 60)))
            sent += 60
    fleet.record.add("aged", orders=sent)
    if not all(map(fleet.has_snapshot, fleet.cores)):
        raise kit.CaseError("the log was not compacted")


def _wipe(fleet: kit.Fleet, name: str) -> None:
    shutil.rmtree(fleet.data_folder(name))
    fleet.record.add("disk_lost", machine=name)


def _wait_for_snapshot(
    fleet: kit.Fleet, name: str, process: subprocess.Popen[bytes]
) -> None:
    """Wait until a machine has saved a snapshot; with the trouble, kill it then."""
    end_s = time.monotonic() + 20.0
    while not fleet.has_snapshot(name):
        if time.monotonic() >= end_s:
            raise kit.CaseError("the machine did not catch up by a snapshot")
    if not kit.has_trouble():
        return
    process.kill()
    process.wait()
    fleet.record.add("signal", machine=name, signal="SIGKILL")
    fleet.start(name)


def _is_read_back(fleet: kit.Fleet, version: int) -> bool:
    """Return whether any core machine answers a read with the newest version."""
    end_s = time.monotonic() + READ_BACK_S
    while time.monotonic() < end_s:
        for name in fleet.cores:
            address = fleet.control_address(name)
            reply = kit.call(address, "GET", "/-/config/read")
            exited = fleet.processes[name].poll()
            fleet.record.add(
                "read", machine=name, status=reply.status, process_exit=exited
            )
            if reply.is_success:
                return bool(json.loads(reply.body)["version"] == version)
            if exited is not None:
                # The platform restarts a process that has ended.
                fleet.start(name)
        time.sleep(0.5)
    return False


if __name__ == "__main__":
    kit.run_case(Path(__file__).resolve().parent, case)
