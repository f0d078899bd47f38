"""Print the log lines of each request that a bench report lists as not served."""

import json
import re
import sys
from collections.abc import Iterable
from pathlib import Path

# Events that end a request. The end of one attempt doesn't explain the outcome, since
# the request may be retried.
TERMINAL_EVENTS = frozenset({
    "caller_gone",
    "outcome_not_known",
    "request_answered",
    "request_refused",
})
_REQUEST = re.compile(r"\brequest (\w+) \(")
_EVENT = re.compile(r"\bevent=(\w+)")


def unserved_requests(report: dict) -> dict[str, str]:
    """Return the outcome of each unserved request by request id."""
    outcomes = {}
    for outcome, _, steps in report["unserved_by"]:
        for match in map(_REQUEST.search, steps):
            if match is not None:
                outcomes[match[1]] = outcome
    return outcomes


def lines_for_request(request: str, lines: Iterable[str]) -> list[str]:
    """Return the log lines that carry the request id."""
    return [line for line in lines if f"request={request} " in line]


def has_terminal_event(request_lines: Iterable[str]) -> bool:
    """Return whether one of the log lines is an event that ends a request."""
    events = [_EVENT.search(line) for line in request_lines]
    return any(event is not None and event[1] in TERMINAL_EVENTS for event in events)


def main() -> int:
    """Return 0 if the report lists requests and each has a terminal event."""
    report_path, log_path = sys.argv[1:3]
    report = json.loads(Path(report_path).read_text())
    lines = Path(log_path).read_text(errors="replace").splitlines()
    unserved = unserved_requests(report)
    unexplained_count = 0
    for request, outcome in unserved.items():
        request_lines = lines_for_request(request, lines)
        unexplained_count += not has_terminal_event(request_lines)
        print(f"{request} {outcome}: {len(request_lines)} lines")
        for line in request_lines:
            print(f"  {line}")
    print(f"{unexplained_count} of {len(unserved)} without the line that ended them")
    return 1 if unexplained_count or not unserved else 0


if __name__ == "__main__":
    sys.exit(main())
