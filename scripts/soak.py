"""Soak test: run a small site under random faults and check its guarantees."""

import random
import shutil
import sys
import threading
import time
from collections import Counter, defaultdict
from collections.abc import Callable
from concurrent.futures import ThreadPoolExecutor
from dataclasses import dataclass
from functools import partial
from typing import Annotated, Any

import cappa

from bergamotdrift.hashing import key_digest
from scripts import load
from scripts.load import CallRecord, LoadGenerator, RecordedExecution, RequestTemplate
from scripts.local_cluster import LocalCluster, free_address, small_plan
from scripts.relay import FaultRelay
from scripts.soak_plan import (
    LINK_FAULTS,
    SETTINGS_FAULTS,
    Fault,
    FaultKind,
    plan_faults,
)

# Time limits in docs/design.md, in seconds.
_SETTLE_S = 5.0
_RECOVERY_TIMEOUT_S = 30.0
_FINAL_LOAD_S = 2.0
_MAX_REQUEST_S = 20.0
_LINK_DELAY_S = 0.15
_POLL_INTERVAL_S = 0.1
_REVOKED_WORKSPACE = "watchdogs"
_CALLER_COUNT = 8
_PROGRAM_PREFIXES = ("entry-", "arbiter-", "control-")


@dataclass
class Options:
    """Run the soak for one seed or for consecutive seeds."""

    seed: Annotated[int, cappa.Arg(long=True)] = 1
    seeds: Annotated[int, cappa.Arg(long=True, help="number of seeds, from --seed")] = 1
    seconds: Annotated[
        float, cappa.Arg(long=True, help="duration of fault injection")
    ] = 20.0
    keep: Annotated[
        str, cappa.Arg(long=True, help="folder for data of failed runs")
    ] = ""


class SoakRun:
    """Run one seed and collect violated guarantees in `violations`."""

    def __init__(self, seed: int, seconds: float, keep: str = ""):
        self.seed = seed
        self._keep = keep
        self.cluster = LocalCluster(small_plan("iroda", vms=3, upstreams_per_service=3))
        # The callers stay below this rate, so every refusal by rate is a violation.
        self.cluster.edit_overlay(_raise_rate)
        self._relays = self._start_relays()
        self.violations: list[str] = []
        self._rng = random.Random(seed)
        self._fault_duration_s = seconds
        self._confirmed_revision = 0
        self._revocations: list[tuple[float, float]] = []
        # A fault of the settings is reverted to what was in force before it, and a
        # confirmation may take longer than planned.
        self._settings_lock = threading.Lock()
        self._stopping = threading.Event()
        # A shutdown may take longer than planned, so the next fault of the same process
        # waits for it.
        self._process_locks: defaultdict[str, threading.Lock] = defaultdict(
            threading.Lock
        )

    def run(self) -> Counter[tuple[int, str]]:
        """Inject all faults under load and return counts of (status, error kind)."""
        try:
            self.cluster.start()
            self._confirmed_revision = self._read_revision("") or 0
            process_names = [*self.cluster.processes]
            faults = plan_faults(self.seed, self._fault_duration_s, process_names)
            print(*faults, sep="\n", flush=True)
            templates = (
                *load.SITE_REQUESTS["iroda"],
                RequestTemplate("GET", "/cases/{key}", _REVOKED_WORKSPACE),
            )
            generator = LoadGenerator(
                self.cluster, templates, caller_count=_CALLER_COUNT, seed=self.seed
            )
            generator.start()
            self._inject_faults(faults)
            recovered_at = self._wait_for_recovery()
            records = generator.stop()
            self._check_records(records, recovered_at)
            self._check_shutdown()
            if self._keep and self.violations:
                shutil.copytree(self.cluster.folder, f"{self._keep}/seed-{self.seed}")
            return Counter((r.status, r.kind) for r in records)
        finally:
            self._stopping.set()
            self.cluster.stop()
            for relay in self._relays.values():
                relay.stop()

    def _start_relays(self) -> dict[str, FaultRelay]:
        relays = {}
        for name, address in self.cluster.control_addresses.items():
            listen = free_address()
            self.cluster.control_listen_addresses[name] = listen
            relays[name] = FaultRelay(address, listen)
        return relays

    # Faults

    def _inject_faults(self, faults: list[Fault]) -> None:
        started = time.monotonic()
        revision_thread = threading.Thread(target=self._check_revisions)
        revision_thread.start()
        with ThreadPoolExecutor(max(1, len(faults))) as pool:
            futures = []
            for fault in faults:
                time.sleep(max(0.0, started + fault.at_s - time.monotonic()))
                futures.append(pool.submit(self._inject_fault, fault))
            for future in futures:
                future.result()
        self._stopping.set()
        revision_thread.join()

    def _inject_fault(self, fault: Fault) -> None:
        if fault.kind in SETTINGS_FAULTS:
            with self._settings_lock:
                self._inject_settings_fault(fault)
        elif fault.kind in LINK_FAULTS:
            self._inject_link_fault(fault)
        else:
            with self._process_locks[fault.target]:
                self._inject_process_fault(fault)

    def _inject_link_fault(self, fault: Fault) -> None:
        relay = self._relays[fault.target]
        actions: dict[FaultKind, Callable[[], None]] = {
            FaultKind.CUT: relay.block,
            FaultKind.CUT_TO: partial(relay.block, backward=False),
            FaultKind.CUT_FROM: partial(relay.block, forward=False),
            FaultKind.SILENCE: relay.blackhole_open_connections,
            FaultKind.RESET: relay.reset,
            FaultKind.DELAY: partial(relay.delay, _LINK_DELAY_S),
        }
        actions[fault.kind]()
        time.sleep(fault.for_s)
        relay.heal()

    def _inject_process_fault(self, fault: Fault) -> None:
        name, cluster = fault.target, self.cluster
        if fault.kind is FaultKind.PAUSE:
            cluster.pause(name)
            time.sleep(fault.for_s)
            cluster.resume(name)
            return
        if fault.kind is FaultKind.TERMINATE:
            self._terminate(name)
        else:
            cluster.kill(name)
        if fault.kind is FaultKind.WIPE:
            shutil.rmtree(cluster.folder / name)
        time.sleep(fault.for_s)
        cluster.restart(name)

    # Settings

    def _inject_settings_fault(self, fault: Fault) -> None:
        """Change the settings and revert the change, waiting for each confirmation."""
        previous_overlay = self.cluster.overlay.read_text()
        self.cluster.edit_overlay(partial(self._edit_overlay, fault.kind))
        self._apply_until_confirmed(f"{fault.at_s:.3f}-{fault.kind}")
        confirmed_at = time.time()
        time.sleep(fault.for_s + (_SETTLE_S if fault.kind is FaultKind.REVOKE else 0.0))
        if fault.kind is FaultKind.REVOKE:
            self._revocations.append((confirmed_at, time.time()))
        self.cluster.overlay.write_text(previous_overlay)
        self._apply_until_confirmed(f"{fault.at_s:.3f}-{fault.kind}-undone")

    def _edit_overlay(self, kind: FaultKind, overlay: dict[str, Any]) -> None:
        if kind is FaultKind.RATES:
            overlay["workspaces"][_REVOKED_WORKSPACE]["rate_per_s"] += 1
        elif kind is FaultKind.REVOKE:
            overlay["workspaces"][_REVOKED_WORKSPACE]["key_digests"] = [
                key_digest("other")
            ]
        else:
            zone = self._rng.choice(self.cluster.zones())
            overlay["zones"][zone] = "out"

    def _apply_until_confirmed(self, request: str) -> None:
        """Resend one settings change to any replica until it is confirmed."""
        base_revision = self._confirmed_revision
        deadline = time.monotonic() + _RECOVERY_TIMEOUT_S
        while time.monotonic() < deadline:
            reply = self.cluster.apply(base_revision, request)
            if reply.status == 200:
                self._confirmed_revision = reply.json()["revision"]
                return
            if reply.status in (400, 409, 422):
                self.violations.append(
                    f"{request} based on {base_revision}: status {reply.status}"
                )
                return
            time.sleep(_POLL_INTERVAL_S)
        self.violations.append(
            f"{request} was not confirmed within {_RECOVERY_TIMEOUT_S} s"
        )

    def _check_revisions(self) -> None:
        """Check that no replica returns settings older than the confirmed revision."""
        while not self._stopping.wait(_POLL_INTERVAL_S):
            confirmed = self._confirmed_revision
            name = self._rng.choice([*self.cluster.operator_addresses])
            reported = self._read_revision(name)
            if reported is not None and reported < confirmed:
                self.violations.append(
                    f"{name} returned revision {reported} after {confirmed}"
                )

    def _read_revision(self, replica: str) -> int | None:
        """Return the revision that a replica reports, or None without status 200."""
        reply = self.cluster.operator_call("GET", "/v1/settings", replica=replica)
        return reply.json()["revision"] if reply.status == 200 else None

    # Checks

    def _wait_for_recovery(self) -> float:
        """Wait for recovery; return the time after which no request may fail."""
        faults_ended_at = time.time()
        try:
            self.cluster.wait_ready(_RECOVERY_TIMEOUT_S)
        except TimeoutError as exc:
            self.violations.append(str(exc))
        time.sleep(max(0.0, faults_ended_at + _SETTLE_S - time.time()))
        recovered_at = time.time()
        time.sleep(_FINAL_LOAD_S)
        return recovered_at

    def _check_records(self, records: list[CallRecord], recovered_at: float) -> None:
        time.sleep(_POLL_INTERVAL_S)
        executions = load.recorded_executions(self.cluster.executions())
        self.violations += load.find_violations(records, executions)
        self.violations += load.find_ownership_overlaps(executions)
        self.violations += self._executions_after_revocation(executions)
        self.violations += [
            f"refused after recovery: {r}"
            for r in records
            if r.started >= recovered_at and r.status != 200
        ]
        self.violations += [
            f"response took too long: {r}"
            for r in records
            if r.ended - r.started > _MAX_REQUEST_S
        ]
        if not any(r.started >= recovered_at for r in records):
            self.violations.append("no request was sent after the faults")
        revision = self._read_revision("")
        if revision != self._confirmed_revision:
            self.violations.append(
                f"{revision} in force, {self._confirmed_revision} confirmed"
            )
        for name in self.cluster.processes:
            for pattern in ("Traceback", "event=greenlet_failed"):
                if pattern in self.cluster.read_log(name):
                    self.violations.append(f"{pattern} in the log of {name}")

    def _executions_after_revocation(
        self, executions: list[RecordedExecution]
    ) -> list[str]:
        """Return executions for a workspace after its key was revoked.

        Executions within _SETTLE_S seconds of the confirmed revocation are allowed.
        """
        return [
            f"executed with a revoked key: {execution}"
            for since, until in self._revocations
            for execution in executions
            if execution.workspace == _REVOKED_WORKSPACE
            and since + _SETTLE_S < execution.started < until
        ]

    def _check_shutdown(self) -> None:
        """Check that every program of this project exits with 0 after SIGTERM."""
        for name in [*self.cluster.processes]:
            self._terminate(name)

    def _terminate(self, name: str) -> None:
        """Terminate a process; stand-in upstreams may exit with any code."""
        code = self.cluster.terminate(name)
        if code != 0 and name.startswith(_PROGRAM_PREFIXES):
            self.violations.append(f"{name} exited with {code} after SIGTERM")


def _raise_rate(overlay: dict[str, Any]) -> None:
    overlay["workspaces"][_REVOKED_WORKSPACE].update(rate_per_s=500, burst=1000)


def run_seed(seed: int, seconds: float, keep: str) -> list[str]:
    """Run one seed, print a summary and return the violations."""
    seed_run = SoakRun(seed, seconds, keep)
    outcomes = seed_run.run()
    print(f"seed {seed}: {sum(outcomes.values())} requests {dict(outcomes)}")
    for text in seed_run.violations:
        print(f"seed {seed}: VIOLATION {text}")
    print(f"seed {seed}: {len(seed_run.violations)} violations", flush=True)
    return seed_run.violations


def main() -> int:
    """Return 0 if no seed has violations, otherwise 1."""
    options = cappa.parse(Options, completion=False)
    seeds = range(options.seed, options.seed + options.seeds)
    failed = [s for s in seeds if run_seed(s, options.seconds, options.keep)]
    print(f"{len(seeds)} seeds, failed: {failed}")
    return 1 if failed else 0


if __name__ == "__main__":
    sys.exit(main())
