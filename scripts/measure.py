"""Compare the product's routing with a naive baseline on simulated sites.

A discrete-event simulation runs the product's own decision code: the control state
and the leader's duties, the arbiters' shards, rate buckets and caches, and the retry
rules. Upstreams, latencies and faults are modelled. Both versions get the same seeded
requests and faults.
"""

import argparse
import json
import sys
import time
from concurrent.futures import ProcessPoolExecutor
from pathlib import Path
from typing import NamedTuple

from tabulate import tabulate

from scripts.measure_loop import EventLoop
from scripts.measure_naive import NaiveRouter
from scripts.measure_report import (
    MEASURES,
    MUST_BE_ZERO,
    RunStats,
    refusal_rows,
    table_rows,
)
from scripts.measure_routers import ProductRouter
from scripts.measure_sites import SITES, make_site
from scripts.measure_upstreams import Fleet

VERSIONS = ("naive", "ours")
# Lets requests that arrive at the end of the traffic finish.
_DRAIN_MS = 6000.0
_WORKER_PROCESSES = 3


class Run(NamedTuple):
    """Identify a simulation run."""

    site: str
    seed: int
    seconds: float
    version: str


class Outcome(NamedTuple):
    """Hold the measures of one run and its shares of unserved requests by kind."""

    figures: dict[str, float]
    refusals: dict[str, float]


def simulate(run: Run) -> Outcome:
    """Simulate one run and return its measures."""
    loop = EventLoop()
    site = make_site(run.site, run.seed, run.seconds)
    fleet = Fleet(loop, site, run.seed)
    stats = RunStats(site)
    router: NaiveRouter | ProductRouter
    if run.version == "naive":
        router = NaiveRouter(loop, site, fleet, stats)
    else:
        router = ProductRouter(loop, site, fleet, stats, run.seed)
    for req in site.requests:
        loop.call_at(req.at_ms, router.arrive, req)
    loop.run(site.plan.end_ms + _DRAIN_MS)
    return Outcome(stats.figures(fleet), stats.refusal_shares())


def simulate_all(sites: list[str], seeds: int, seconds: float) -> dict[Run, Outcome]:
    """Simulate all sites, seeds and versions in worker processes."""
    runs = [
        Run(site, seed, seconds, version)
        for site in sites
        for seed in range(1, seeds + 1)
        for version in VERSIONS
    ]
    with ProcessPoolExecutor(_WORKER_PROCESSES) as pool:
        return dict(zip(runs, pool.map(simulate, runs), strict=True))


def _select_outcomes(
    outcomes: dict[Run, Outcome], site: str, version: str
) -> list[Outcome]:
    return [
        outcome
        for run, outcome in outcomes.items()
        if run.site == site and run.version == version
    ]


def print_tables(
    outcomes: dict[Run, Outcome], sites: list[str], earlier: dict[str, dict]
) -> None:
    """Print a table for each site, with the product's earlier figures if given."""
    for site in sites:
        figures = {
            v: [o.figures for o in _select_outcomes(outcomes, site, v)]
            for v in VERSIONS
        }
        refusals = {
            v: [o.refusals for o in _select_outcomes(outcomes, site, v)]
            for v in VERSIONS
        }
        if site in earlier:
            figures = {"earlier": earlier[site]["figures"], **figures}
            refusals = {"earlier": earlier[site]["refusals"], **refusals}
        headers = [f"{v} {part}" for v in figures for part in ("median", "worst")]
        rows = table_rows(figures) + refusal_rows(refusals)
        print(f"\n{site}\n")
        print(tabulate(rows, ["measure", "unit", *headers], tablefmt="github"))


def exceeded_limits(outcomes: dict[Run, Outcome]) -> list[str]:
    """Return a line for each limit that the product exceeded in a run."""
    return [
        f"{run.site}, seed {run.seed}: {name} of {outcome.figures[name]:.0f}"
        for run, outcome in outcomes.items()
        if run.version == "ours"
        for name in MUST_BE_ZERO
        if outcome.figures[name] > 0
    ]


def _as_json(outcomes: dict[Run, Outcome], sites: list[str]) -> str:
    by_site = {
        site: {
            "figures": [o.figures for o in _select_outcomes(outcomes, site, "ours")],
            "refusals": [o.refusals for o in _select_outcomes(outcomes, site, "ours")],
        }
        for site in sites
    }
    return json.dumps(by_site, indent=1)


def main() -> int:
    """Simulate, print the tables and return 1 if the product exceeded a limit."""
    parser = argparse.ArgumentParser(description=__doc__.splitlines()[0])
    parser.add_argument("--seeds", type=int, default=5, help="number of seeds, from 1")
    parser.add_argument("--seconds", type=float, default=60.0, help="time of traffic")
    parser.add_argument("--site", choices=sorted(SITES), help="simulate only this site")
    parser.add_argument("--json", type=Path, help="file for the figures of ours")
    parser.add_argument("--against", type=Path, help="earlier --json file to show")
    args = parser.parse_args()
    sites = [args.site] if args.site else list(SITES)
    earlier = json.loads(args.against.read_text()) if args.against else {}
    started_s = time.monotonic()
    outcomes = simulate_all(sites, args.seeds, args.seconds)
    print_tables(outcomes, sites, earlier)
    if args.json:
        args.json.write_text(_as_json(outcomes, sites))
    exceeded = exceeded_limits(outcomes)
    print(f"\n{len(MEASURES)} measures, {args.seeds} seeds, {args.seconds:g} s of")
    print(f"traffic each, in {time.monotonic() - started_s:.0f} s")
    for line in exceeded:
        print(f"exceeded: {line}")
    return 1 if exceeded else 0


if __name__ == "__main__":
    sys.exit(main())
