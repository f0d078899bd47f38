"""Run all tests; failures listed in KNOWN-RED.txt are printed but not counted.

Each module runs in a separate process, a few of them in parallel. Cluster tests start
real processes and run last, because their timing is sensitive to the machine's load.
"""

import os
import re
import signal
import subprocess
import sys
import unittest
from concurrent.futures import ThreadPoolExecutor
from pathlib import Path
from typing import NamedTuple

_ROOT = Path(__file__).resolve().parents[2]
_KNOWN_FAILURES_FILE = _ROOT / "KNOWN-RED.txt"
_MAX_PARALLEL_MODULES = 5
_MAX_PARALLEL_CLUSTER_MODULES = 3
_MODULE_TIMEOUT_S = 300
_COUNTS = re.compile(r"^(\d+) passed, (\d+) failed, (\d+) skipped$", re.MULTILINE)


class Counts(NamedTuple):
    """Count the results of a test run."""

    passed: int
    failed: int
    skipped: int

    def __str__(self) -> str:
        return f"{self.passed} passed, {self.failed} failed, {self.skipped} skipped"


def known_failure_ids() -> set[str]:
    """Return the test ids in lines of the form `test: <id>`."""
    if not _KNOWN_FAILURES_FILE.exists():
        return set()
    lines = _KNOWN_FAILURES_FILE.read_text().splitlines()
    return {
        line.removeprefix("test:").strip() for line in lines if line.startswith("test:")
    }


def run_names(names: list[str]) -> Counts:
    """Run the named modules, classes or tests in this process."""
    suite = unittest.TestLoader().loadTestsFromNames(names)
    result = unittest.TextTestRunner(verbosity=2).run(suite)
    failing = {
        _id_without_params(test) for test, _ in [*result.failures, *result.errors]
    }
    failing |= {_id_without_params(test) for test in result.unexpectedSuccesses}
    known = known_failure_ids()
    for test_id in sorted(failing & known):
        print(f"known red: {test_id}")
    skipped = len(result.skipped)
    passed = max(0, result.testsRun - len(failing) - skipped)
    return Counts(passed, len(failing - known), skipped)


def run_module_in_subprocess(name: str) -> Counts:
    """Run one module in a subprocess and print its output."""
    proc = subprocess.Popen(
        [sys.executable, "-m", "bergamotdrift.tests", name],
        cwd=_ROOT,
        stdout=subprocess.PIPE,
        stderr=subprocess.STDOUT,
        text=True,
        start_new_session=True,
    )
    try:
        output, _ = proc.communicate(timeout=_MODULE_TIMEOUT_S)
    except subprocess.TimeoutExpired:
        # Otherwise programs that the module started keep running during later tests.
        os.killpg(proc.pid, signal.SIGKILL)
        output, _ = proc.communicate()
        print(output, f"{name} did not finish within {_MODULE_TIMEOUT_S} s")
        return Counts(0, 1, 0)
    print(output, flush=True)
    found = _COUNTS.findall(output)
    if not found:
        print(f"{name} exited with status {proc.returncode} and printed no count")
        return Counts(0, 1, 0)
    return Counts(*(int(number) for number in found[-1]))


def run_all() -> Counts:
    """Run every test module of the package."""
    modules = [
        f"bergamotdrift.tests.{path.stem}"
        for path in sorted(Path(__file__).parent.glob("test_*.py"))
    ]
    clusters = [name for name in modules if ".test_cluster_" in name]
    others = [name for name in modules if name not in clusters]
    with ThreadPoolExecutor(_MAX_PARALLEL_MODULES) as pool:
        counts = list(pool.map(run_module_in_subprocess, others))
    with ThreadPoolExecutor(_MAX_PARALLEL_CLUSTER_MODULES) as pool:
        counts += pool.map(run_module_in_subprocess, clusters)
    return Counts(*(sum(numbers) for numbers in zip(*counts, strict=True)))


def _id_without_params(test: unittest.TestCase) -> str:
    """Return the id of a test without the parameters of a subtest."""
    return test.id().split(" ", 1)[0]


def main() -> int:
    """Return 0 if at least one test passed and all failures are known."""
    names = sys.argv[1:]
    counts = run_names(names) if names else run_all()
    print(counts, flush=True)
    return 1 if counts.failed or counts.passed == 0 else 0


if __name__ == "__main__":
    sys.exit(main())
