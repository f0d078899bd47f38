"""Random plans of faults for the soak, repeatable by seed."""

import random
from enum import StrEnum
from typing import NamedTuple

_GAP_MEAN_S = 0.9
_LENGTH_MIN_S = 0.2
_LENGTH_MAX_S = 3.0
# A control replica counts as lost until it has caught up again.
_CATCH_UP_S = 4.0
# A program takes SIGTERM in order only once it has started.
_START_S = 2.0


class FaultKind(StrEnum):
    """Name what happens to a process, to a link or to the settings."""

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
    """Hold one fault; times in seconds from the start of the soak."""

    at_s: float
    for_s: float
    kind: FaultKind
    target: str

    @property
    def end_s(self) -> float:
        """Return when the fault is undone."""
        return self.at_s + self.for_s


def plan_faults(seed: int, seconds: float, names: list[str]) -> list[Fault]:
    """Return faults that begin within `seconds`, in the order of their begin.

    Faults overlap, but a process has one at a time, at most one control replica is
    lost or cut off at a time, and changes of the settings come one after the other.
    """
    rng = random.Random(seed)
    free_at: dict[str, float] = {}
    faults = []
    at_s = 0.0
    while (at_s := at_s + rng.expovariate(1 / _GAP_MEAN_S)) < seconds:
        fault = _draw(rng, at_s, names)
        slot = _slot_of(fault)
        if free_at.get(slot, 0.0) > at_s:
            continue
        is_control = fault.target.startswith("control-")
        free_at[slot] = fault.end_s + (_CATCH_UP_S if is_control else _START_S)
        faults.append(fault)
    return faults


def _draw(rng: random.Random, at_s: float, names: list[str]) -> Fault:
    for_s = rng.uniform(_LENGTH_MIN_S, _LENGTH_MAX_S)
    sort = rng.random()
    if sort < 0.15:
        return Fault(at_s, for_s, rng.choice(SETTINGS_FAULTS), "settings")
    controls = [name for name in names if name.startswith("control-")]
    if sort < 0.4:
        return Fault(at_s, for_s, rng.choice(LINK_FAULTS), rng.choice(controls))
    name = rng.choice(names)
    kinds = PROCESS_FAULTS
    if name in controls:
        kinds = (*PROCESS_FAULTS, FaultKind.WIPE)
    return Fault(at_s, for_s, rng.choice(kinds), name)


def _slot_of(fault: Fault) -> str:
    """Return what a fault occupies; control replicas share one slot."""
    return "control" if fault.target.startswith("control-") else fault.target
