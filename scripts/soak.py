"""Soak a small site of real processes in random faults, and check its promises."""

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
from scripts.load import CallRecord, LoadRun, RequestPlan, Run
from scripts.local_cluster import LocalCluster, free_address, small_plan
from scripts.relay import CutRelay
from scripts.soak_plan import (
    LINK_FAULTS,
    SETTINGS_FAULTS,
    Fault,
    FaultKind,
    plan_faults,
)

# Bounds of the design page, in seconds.
_FEW_S = 5.0
_CALM_S = 30.0
_SERVED_S = 2.0
_ANSWER_S = 20.0
_DELAY_S = 0.15
_PAUSE_S = 0.1
_REVOKED = "watchdogs"
_CALLERS = 8
_PROGRAMS = ("entry-", "arbiter-", "control-")


@dataclass
class Options:
    """Run the soak with one seed, or with several in a row."""

    seed: Annotated[int, cappa.Arg(long=True)] = 1
    seeds: Annotated[int, cappa.Arg(long=True, help="how many, from --seed on")] = 1
    seconds: Annotated[float, cappa.Arg(long=True, help="time with faults")] = 20.0
    keep: Annotated[str, cappa.Arg(long=True, help="folder for failed runs")] = ""


class Soak:
    """Run one seed; `violations` holds what was promised and not kept."""

    def __init__(self, seed: int, seconds: float, keep: str = ""):
        self.seed = seed
        self._keep = keep
        self.cluster = LocalCluster(small_plan("iroda", vms=3, per_service=3))
        # The callers stay below the rate, so that every refusal by rate is wrong.
        self.cluster.edit_overlay(_raise_rate)
        self._relays = self._start_relays()
        self.violations: list[str] = []
        self._rng = random.Random(seed)
        self._seconds = seconds
        self._acknowledged = 0
        self._revoked: list[tuple[float, float]] = []
        self._stopping = threading.Event()
        # A stop may take longer than planned; the next fault of a process waits for it.
        self._busy: defaultdict[str, threading.Lock] = defaultdict(threading.Lock)

    def run(self) -> Counter[tuple[int, str]]:
        """Play all faults under load and return how the requests ended."""
        try:
            self.cluster.start()
            self._acknowledged = self._revision("") or 0
            names = [*self.cluster.processes]
            faults = plan_faults(self.seed, self._seconds, names)
            print(*faults, sep="\n", flush=True)
            plans = (
                *load.SITE_REQUESTS["iroda"],
                RequestPlan("GET", "/cases/{key}", _REVOKED),
            )
            run = LoadRun(self.cluster, plans, callers=_CALLERS, seed=self.seed)
            run.start()
            self._play(faults)
            calm_from = self._await_calm()
            records = run.stop()
            self._check(records, calm_from)
            self._check_stops()
            if self._keep and self.violations:
                shutil.copytree(self.cluster.folder, f"{self._keep}/seed-{self.seed}")
            return Counter((r.status, r.kind) for r in records)
        finally:
            self._stopping.set()
            self.cluster.stop()
            for relay in self._relays.values():
                relay.stop()

    def _start_relays(self) -> dict[str, CutRelay]:
        relays = {}
        for name, address in self.cluster.control.items():
            listen = free_address()
            self.cluster.control_listen[name] = listen
            relays[name] = CutRelay(address, listen)
        return relays

    # Faults

    def _play(self, faults: list[Fault]) -> None:
        started = time.monotonic()
        reader = threading.Thread(target=self._read_revisions)
        reader.start()
        with ThreadPoolExecutor(max(1, len(faults))) as pool:
            jobs = []
            for fault in faults:
                time.sleep(max(0.0, started + fault.at_s - time.monotonic()))
                jobs.append(pool.submit(self._apply, fault))
            for job in jobs:
                job.result()
        self._stopping.set()
        reader.join()

    def _apply(self, fault: Fault) -> None:
        if fault.kind in SETTINGS_FAULTS:
            self._change_settings(fault)
        elif fault.kind in LINK_FAULTS:
            self._harm_link(fault)
        else:
            with self._busy[fault.target]:
                self._harm_process(fault)

    def _harm_link(self, fault: Fault) -> None:
        relay = self._relays[fault.target]
        begin: dict[FaultKind, Callable[[], None]] = {
            FaultKind.CUT: relay.cut,
            FaultKind.CUT_TO: partial(relay.cut, backward=False),
            FaultKind.CUT_FROM: partial(relay.cut, forward=False),
            FaultKind.SILENCE: relay.silence_open_connections,
            FaultKind.RESET: relay.reset,
            FaultKind.DELAY: partial(relay.delay, _DELAY_S),
        }
        begin[fault.kind]()
        time.sleep(fault.for_s)
        relay.heal()

    def _harm_process(self, fault: Fault) -> None:
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

    def _change_settings(self, fault: Fault) -> None:
        """Change the settings, and undo the change; both until they are confirmed."""
        before = self.cluster.overlay.read_text()
        self.cluster.edit_overlay(partial(self._edit, fault.kind))
        self._apply_until_confirmed(f"{fault.at_s:.3f}-{fault.kind}")
        confirmed = time.time()
        time.sleep(fault.for_s + (_FEW_S if fault.kind is FaultKind.REVOKE else 0.0))
        if fault.kind is FaultKind.REVOKE:
            self._revoked.append((confirmed, time.time()))
        self.cluster.overlay.write_text(before)
        self._apply_until_confirmed(f"{fault.at_s:.3f}-{fault.kind}-undone")

    def _edit(self, kind: FaultKind, overlay: dict[str, Any]) -> None:
        if kind is FaultKind.RATES:
            overlay["workspaces"][_REVOKED]["rate_per_s"] += 1
        elif kind is FaultKind.REVOKE:
            overlay["workspaces"][_REVOKED]["key_digests"] = [key_digest("other")]
        else:
            zone = self._rng.choice(self.cluster.zones())
            overlay["zones"][zone] = "out"

    def _apply_until_confirmed(self, request: str) -> None:
        """Send one change again and again, as an operator would, to any replica."""
        base = self._acknowledged
        end = time.monotonic() + _CALM_S
        while time.monotonic() < end:
            reply = self.cluster.apply(base, request)
            if reply.status == 200:
                self._acknowledged = reply.json()["revision"]
                return
            if reply.status in (400, 409, 422):
                self.violations.append(f"{request} on {base}: {reply.status}")
                return
            time.sleep(_PAUSE_S)
        self.violations.append(f"{request} was not confirmed within {_CALM_S} s")

    def _read_revisions(self) -> None:
        """Check that no replica shows settings older than the confirmed ones."""
        while not self._stopping.wait(_PAUSE_S):
            known = self._acknowledged
            name = self._rng.choice([*self.cluster.operator])
            shown = self._revision(name)
            if shown is not None and shown < known:
                self.violations.append(f"{name} shows {shown} after {known}")

    def _revision(self, replica: str) -> int | None:
        """Return the revision that a replica shows, or None if it is not sure."""
        reply = self.cluster.operator_call("GET", "/v1/settings", replica=replica)
        return reply.json()["revision"] if reply.status == 200 else None

    # Checks

    def _await_calm(self) -> float:
        """Wait until all faults are over, and return since when all must be served."""
        calm_at = time.time()
        try:
            self.cluster.wait_ready(_CALM_S)
        except TimeoutError as exc:
            self.violations.append(str(exc))
        time.sleep(max(0.0, calm_at + _FEW_S - time.time()))
        served_from = time.time()
        time.sleep(_SERVED_S)
        return served_from

    def _check(self, records: list[CallRecord], calm_from: float) -> None:
        time.sleep(_PAUSE_S)
        runs = load.recorded_runs(self.cluster.executions())
        self.violations += load.find_violations(records, runs)
        self.violations += load.shared_ownership(runs)
        self.violations += self._revoked_runs(runs)
        self.violations += [
            f"refused in calm: {r}"
            for r in records
            if r.started >= calm_from and r.status != 200
        ]
        self.violations += [
            f"answered late: {r}" for r in records if r.ended - r.started > _ANSWER_S
        ]
        if not any(r.started >= calm_from for r in records):
            self.violations.append("no request was sent after the faults")
        revision = self._revision("")
        if revision != self._acknowledged:
            self.violations.append(
                f"{revision} in force, {self._acknowledged} confirmed"
            )
        for name in self.cluster.processes:
            for word in ("Traceback", "event=greenlet_failed"):
                if word in self.cluster.log_of(name):
                    self.violations.append(f"{word} in the log of {name}")

    def _revoked_runs(self, runs: list[Run]) -> list[str]:
        """Return runs for a workspace whose key was withdrawn seconds before."""
        return [
            f"run with a withdrawn key: {run}"
            for since, until in self._revoked
            for run in runs
            if run.workspace == _REVOKED and since + _FEW_S < run.started < until
        ]

    def _check_stops(self) -> None:
        """Check that every program of ours ends in order after SIGTERM."""
        for name in [*self.cluster.processes]:
            self._terminate(name)

    def _terminate(self, name: str) -> None:
        """Stop a process; only programs of ours owe an orderly end."""
        code = self.cluster.terminate(name)
        if code != 0 and name.startswith(_PROGRAMS):
            self.violations.append(f"{name} ended with {code} after SIGTERM")


def _raise_rate(overlay: dict[str, Any]) -> None:
    overlay["workspaces"][_REVOKED].update(rate_per_s=500, burst=1000)


def soak(seed: int, seconds: float, keep: str) -> list[str]:
    """Run one seed, print the outcome and return the violations."""
    trial = Soak(seed, seconds, keep)
    ends = trial.run()
    print(f"seed {seed}: {sum(ends.values())} requests {dict(ends)}")
    for text in trial.violations:
        print(f"seed {seed}: VIOLATION {text}")
    print(f"seed {seed}: {len(trial.violations)} violations", flush=True)
    return trial.violations


def main() -> int:
    """Return 0 if no seed showed a violation."""
    options = cappa.parse(Options, completion=False)
    seeds = range(options.seed, options.seed + options.seeds)
    failed = [s for s in seeds if soak(s, options.seconds, options.keep)]
    print(f"{len(seeds)} seeds, failed: {failed}")
    return 1 if failed else 0


if __name__ == "__main__":
    sys.exit(main())
