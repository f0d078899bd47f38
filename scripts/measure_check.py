"""Measure the CPU time and memory of validating settings, by workspaces."""

import time
import tracemalloc

from returns.result import Success
from tabulate import tabulate

from bergamotdrift.config.check import check_site
from bergamotdrift.config.loader import load_site_mapping
from scripts.measure_sites import ROOT

_SIZES = (8, 80, 800, 8000)


def _load_mapping() -> dict:
    folder = ROOT / "sites"
    result = load_site_mapping(str(folder / "base.jsonc"), str(folder / "iroda.jsonc"))
    assert isinstance(result, Success), result
    return result.unwrap()


def measure_check(count: int) -> list[object]:
    """Return the CPU time and peak memory of validating `count` workspaces."""
    mapping = _load_mapping()
    template = next(iter(mapping["workspaces"].values()))
    mapping["workspaces"] = {
        f"w{n}": {**template, "key_digests": [f"sha256:{n:064x}"]} for n in range(count)
    }
    started = time.process_time()
    result = check_site(mapping)
    cpu_ms = (time.process_time() - started) * 1000
    if not isinstance(result, Success):
        raise SystemExit(f"the settings are invalid: {result.failure()[:3]}")
    tracemalloc.start()
    check_site(mapping)
    peak_kb = tracemalloc.get_traced_memory()[1] / 1024
    tracemalloc.stop()
    return [count, cpu_ms, 1000 * cpu_ms / count, peak_kb, peak_kb / count]


def main() -> None:
    """Print one row per number of workspaces."""
    headers = ["workspaces", "CPU ms", "us each", "peak KB", "KB each"]
    rows = [measure_check(count) for count in _SIZES]
    print(tabulate(rows, headers, floatfmt=".2f"))


if __name__ == "__main__":
    main()
