"""Measure refusals and pings of simulated entries whose upstreams are cold."""

import argparse

from tabulate import tabulate

from bergamotdrift.tests.pace_simulation import PaceSimulation

_AFTER_MS = 1000.0


def measure(entries: int, upstreams: int, per_s: float, seconds: float) -> list[object]:
    """Return the figures of a run with `per_s` requests for each upstream."""
    names = tuple(f"u{number}" for number in range(upstreams))
    sim = PaceSimulation(entries, 3)
    sim.demand(per_s, seconds, names)
    sim.run(1000.0 * seconds + _AFTER_MS)
    pings = sum(entry.pings for entry in sim.entries)
    took_s = seconds + _AFTER_MS / 1000.0
    return [
        entries,
        upstreams,
        per_s,
        sim.asked,
        len(sim.refused),
        max(sim.most_in_a_second(name) for name in names),
        pings / entries / took_s,
    ]


def main() -> None:
    """Print the figures for one and for all upstreams of both deployments."""
    parser = argparse.ArgumentParser(description=__doc__.splitlines()[0])
    parser.add_argument("--seconds", type=float, default=5.0)
    args = parser.parse_args()
    cases = [
        (54, 1, 14.6),
        (54, 1, 40.0),
        (54, 55, 14.6),
        (86, 1, 11.9),
        (86, 79, 11.9),
    ]
    headers = ["entries", "cold", "requests/s each", "asked", "refused"]
    headers += ["most in a second", "pings/s of an entry"]
    rows = [measure(*case, args.seconds) for case in cases]
    print(tabulate(rows, headers, floatfmt=".1f"))


if __name__ == "__main__":
    main()
