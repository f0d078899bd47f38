"""Print the lines that explain each request a bench report lists as not served."""

import json
import re
import sys
from collections.abc import Iterable
from pathlib import Path

# Each of these lines ends a request or one of its attempts.
DECISIONS = (
    "answer_aborted",
    "attempt_cancelled",
    "attempt_failed",
    "caller_gone",
    "outcome_not_known",
    "request_answered",
    "request_refused",
)
_REQUEST = re.compile(r"\brequest (\w+) \(")
_EVENT = re.compile(r"\bevent=(\w+)")


def listed_requests(report: dict) -> dict[str, str]:
    """Return how each listed request ended, by its id."""
    found = {}
    for ended, _, steps in report["unserved_by"]:
        for match in map(_REQUEST.search, steps):
            if match is not None:
                found[match[1]] = ended
    return found


def explanations(request: str, lines: Iterable[str]) -> list[str]:
    """Return the lines with a request's id that hold a decision."""
    own = [line for line in lines if f"request={request} " in line]
    events = [(_EVENT.search(line), line) for line in own]
    return [line for event, line in events if event and event[1] in DECISIONS]


def main() -> int:
    """Return 0 if every listed request has a line with the decision that ended it."""
    report_path, log_path = sys.argv[1:3]
    report = json.loads(Path(report_path).read_text())
    lines = Path(log_path).read_text(errors="replace").splitlines()
    unexplained = 0
    for request, ended in listed_requests(report).items():
        found = explanations(request, lines)
        unexplained += not found
        print(f"{request} {ended}: {len(found)} lines")
        for line in found:
            print(f"  {line}")
    print(f"{unexplained} without a line")
    return 1 if unexplained else 0


if __name__ == "__main__":
    sys.exit(main())
