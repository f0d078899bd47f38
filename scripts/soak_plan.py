"""Random fault schedules for the soak test, reproducible by seed."""

import random
from enum import StrEnum
from typing import NamedTuple

_MEAN_FAULT_INTERVAL_S = 0.9
_MIN_DURATION_S = 0.2
_MAX_DURATION_S = 3.0
# Time for a control replica to catch up with the log after a fault. Until then a fault
# in another replica could lose the quorum.
_CONTROL_RECOVERY_S = 4.0
# Time for a process to start. Before that, SIGTERM doesn't cause an orderly shutdown.
_STARTUP_S = 2.0


class FaultKind(StrEnum):
    """Enumerate the faults of processes, links and settings."""

    KILL = "kill"
    PAUSE = "pause"
    TERMINATE = "terminate"
    WIPE = "wipe"
    CUT = "cut"
    CUT_TO = "cut_to"
    CUT_FROM = "cut_from"
    SILENCE = "silence"
    RESET = "reset"
    DELAY = "delay"
    RATES = "rates"
    REVOKE = "revoke"
    ZONE_OUT = "zone_out"


PROCESS_FAULTS = (FaultKind.KILL, FaultKind.PAUSE, FaultKind.TERMINATE)
LINK_FAULTS = (
    FaultKind.CUT,
    FaultKind.CUT_TO,
    FaultKind.CUT_FROM,
    FaultKind.SILENCE,
    FaultKind.RESET,
    FaultKind.DELAY,
)
SETTINGS_FAULTS = (FaultKind.RATES, FaultKind.REVOKE, FaultKind.ZONE_OUT)


class Fault(NamedTuple):
    """Describe one fault; times in seconds from the start of the soak."""

    at_s: float
    for_s: float
    kind: FaultKind
    target: str

    @property
    def end_s(self) -> float:
        """Return the time at which the fault is reverted."""
        return self.at_s + self.for_s


def plan_faults(seed: int, duration_s: float, process_names: list[str]) -> list[Fault]:
    """Return faults that start within `duration_s` seconds, ordered by start time.

    Faults overlap, with three limits: a process has one fault at a time, at most one
    control replica is faulty or disconnected at a time, and settings change one at a
    time.
    """
    rng = random.Random(seed)
    free_at: dict[str, float] = {}
    faults = []
    at_s = 0.0
    while (at_s := at_s + rng.expovariate(1 / _MEAN_FAULT_INTERVAL_S)) < duration_s:
        fault = _random_fault(rng, at_s, process_names)
        group = _exclusion_group(fault)
        if free_at.get(group, 0.0) > at_s:
            continue
        is_control = fault.target.startswith("control-")
        free_at[group] = fault.end_s + (
            _CONTROL_RECOVERY_S if is_control else _STARTUP_S
        )
        faults.append(fault)
    return faults


def _random_fault(rng: random.Random, at_s: float, process_names: list[str]) -> Fault:
    for_s = rng.uniform(_MIN_DURATION_S, _MAX_DURATION_S)
    draw = rng.random()
    if draw < 0.15:
        return Fault(at_s, for_s, rng.choice(SETTINGS_FAULTS), "settings")
    controls = [name for name in process_names if name.startswith("control-")]
    if draw < 0.4:
        return Fault(at_s, for_s, rng.choice(LINK_FAULTS), rng.choice(controls))
    name = rng.choice(process_names)
    kinds = PROCESS_FAULTS
    if name in controls:
        kinds = (*PROCESS_FAULTS, FaultKind.WIPE)
    return Fault(at_s, for_s, rng.choice(kinds), name)


def _exclusion_group(fault: Fault) -> str:
    """Return the group whose faults must not overlap; control replicas share one."""
    return "control" if fault.target.startswith("control-") else fault.target
