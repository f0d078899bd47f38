"""Print the lines that explain each request a bench report lists as not served."""

import json
import re
import sys
from collections.abc import Iterable
from pathlib import Path

# Each of these lines ends a request; the end of an attempt alone explains nothing.
ENDS = frozenset({
    "caller_gone",
    "outcome_not_known",
    "request_answered",
    "request_refused",
})
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


def lines_of(request: str, lines: Iterable[str]) -> list[str]:
    """Return the lines with a request's id."""
    return [line for line in lines if f"request={request} " in line]


def is_explained(own: Iterable[str]) -> bool:
    """Tell whether one of a request's lines holds the decision that ended it."""
    events = [_EVENT.search(line) for line in own]
    return any(event is not None and event[1] in ENDS for event in events)


def main() -> int:
    """Return 0 if requests are listed and each has the line that ended it."""
    report_path, log_path = sys.argv[1:3]
    report = json.loads(Path(report_path).read_text())
    lines = Path(log_path).read_text(errors="replace").splitlines()
    listed = listed_requests(report)
    unexplained = 0
    for request, ended in listed.items():
        found = lines_of(request, lines)
        unexplained += not is_explained(found)
        print(f"{request} {ended}: {len(found)} lines")
        for line in found:
            print(f"  {line}")
    print(f"{unexplained} of {len(listed)} without the line that ended them")
    return 1 if unexplained or not listed else 0


if __name__ == "__main__":
    sys.exit(main())
