"""Measure the planning of owners for the key ranges of a lost availability zone."""

import random

from tabulate import tabulate

from bergamotdrift import control_commands as cmd
from bergamotdrift.config.schema import (
    ColdStartSettings,
    Fencing,
    ServiceKind,
    ServiceSettings,
    SiteSettings,
    ZoneSettings,
    ZoneState,
)
from bergamotdrift.control_state import ControlState
from bergamotdrift.leader_state import LeaderState
from bergamotdrift.messages import (
    LAST_KEY,
    KeyLoad,
    PartitionState,
    RangeRow,
    UpstreamRow,
    UpstreamSpeed,
    UpstreamState,
)
from bergamotdrift.range_layout import MAX_RANGES_PER_UPSTREAM
from scripts.measure_control import PauseTimer

_SIZES = (93, 300, 930)
_SERVICE = ServiceSettings(
    "keys",
    ServiceKind.RANGED,
    0,
    Fencing.EPOCH,
    2,
    40,
    ColdStartSettings(1, 3.0, 10.0),
    2000,
    100,
)
_SITE = SiteSettings("s", (ZoneSettings("a", ZoneState.IN),), (_SERVICE,), (), ())
_REPORTED_KEYS = 4000


def _range_row(number: int, count: int, upstreams: int, lost: int) -> RangeRow:
    first = number * (LAST_KEY + 1) // count
    last = (number + 1) * (LAST_KEY + 1) // count - 1
    owner = number % upstreams
    if owner < lost:
        return RangeRow("keys", first, last, "", "", 5, PartitionState.VACANT)
    name = f"u{owner}"
    return RangeRow("keys", first, last, name, "1", 5, PartitionState.OWNED)


def build_state(upstreams: int, lost: int) -> ControlState:
    """Return the state once others use the addresses of the lost upstreams."""
    state = ControlState()
    state.settings.current = _SITE
    rows = [
        UpstreamRow(
            "keys", f"u{n}", f"10.0.0.1:{n + 1}", "a", "1", UpstreamState.READY, 2, 1
        )
        for n in range(upstreams)
    ]
    state.apply_command(1, cmd.PutUpstreams(rows))
    count = upstreams * MAX_RANGES_PER_UPSTREAM
    ranges = [_range_row(number, count, upstreams, lost) for number in range(count)]
    state.apply_command(2, cmd.ReplaceRanges("keys", [], ranges))
    return state


def add_reports(
    leader_state: LeaderState, upstreams: int, entries: int, now_ms: float
) -> None:
    """Add the reports of all entries, from which the planner derives the loads."""
    rng = random.Random(1)
    keys = [rng.randrange(LAST_KEY + 1) for _ in range(_REPORTED_KEYS)]
    leader_state.ranges.add_loads([KeyLoad("keys", key, 3) for key in keys], now_ms)
    for number in range(entries):
        speeds = [
            UpstreamSpeed("keys", f"u{n}", rng.uniform(100.0, 150.0))
            for n in range(upstreams)
        ]
        leader_state.ranges.speeds.add(f"e{number}", speeds)


def measure_plan(upstreams: int) -> list[object]:
    """Return the time of a plan, and the longest part of it without a pause.

    One of five availability zones is lost.
    """
    timer = PauseTimer()
    leader_state = LeaderState(build_state(upstreams, upstreams // 5), 0.0, timer)
    add_reports(leader_state, upstreams, upstreams, 0.0)
    commands, took_ms = timer.time_action(lambda: leader_state.commands(1000.0))
    return [upstreams, len(commands), took_ms, timer.longest_ms]


def main() -> None:
    """Print one row per number of upstreams, with as many entries."""
    headers = ["upstreams and entries", "ranges", "plan ms", "longest block ms"]
    rows = [measure_plan(count) for count in _SIZES]
    print(tabulate(rows, headers, floatfmt=".1f"))


if __name__ == "__main__":
    main()
