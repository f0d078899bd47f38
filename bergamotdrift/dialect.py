"""Header names and conventions between entries, callers and upstreams."""

from collections.abc import Callable
from typing import NamedTuple

from bergamotdrift.arbiter_messages import AttemptOutcome


class AnswerLoad(NamedTuple):
    """Load report that an upstream sends in a response header.

    `slowness` is the current processing time relative to the usual one; 1.0 is usual.
    """

    running: int
    waiting: int
    slots: int
    slowness: float = 1.0


HeaderGetter = Callable[[str], str | None]


def _native_not_run_outcome(status: int, header: HeaderGetter) -> AttemptOutcome | None:
    stated = header("x-not-run")
    if status == 503 and stated == "shed":
        return AttemptOutcome.SHED
    if status == 409 and stated == "fenced":
        return AttemptOutcome.FENCED
    return None


def _parse_no_load(value: str) -> AnswerLoad | None:
    return None


class Dialect(NamedTuple):
    """Header names of an API; an empty name means that the header is not used.

    `not_run` returns the outcome of a response that reports that the request was not
    run, or None. `parse_load` parses the value of the `load` header.
    """

    request_id: str = "X-Request-Id"
    deadline: str = "X-Deadline-Ms"
    workspace: str = "X-Workspace"
    partition: str = "X-Partition"
    epoch: str = "X-Epoch"
    expected_upstream: str = ""
    routing_key: str = ""
    load: str = ""
    forwarded_headers: bool = True
    # Whether a caller's request id is forwarded instead of generating one.
    keeps_request_id: bool = False
    # Whether a response without framing is complete once the connection closes cleanly.
    accepts_close_delimited: bool = False
    # Whether Retry-After may be fractional.
    fine_retry_after: bool = False
    not_run: Callable[[int, HeaderGetter], AttemptOutcome | None] = (
        _native_not_run_outcome
    )
    parse_load: Callable[[str], AnswerLoad | None] = _parse_no_load

    def own_headers(self) -> frozenset[str]:
        """Return the lower-case names of the headers that the entry sets itself."""
        named = (
            self.request_id,
            self.deadline,
            self.workspace,
            self.partition,
            self.epoch,
            self.expected_upstream,
        )
        return frozenset(name.lower() for name in named if name)


NATIVE = Dialect()
