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


class UpstreamStatement(NamedTuple):
    """What an upstream says of itself in an answer.

    `limit_per_s` is the number of requests per second that it takes from all entries
    together, or None if it states no limit. `limit_is_valid` is False if the stated
    limit can't be read, so that the last one remains in force. `leaves` is True if the
    upstream is about to stop. `pause_ms` is for how long it wants no request of this
    entry, or None; `pause_is_valid` is False if it stated a time that can't be read.
    """

    load: AnswerLoad | None = None
    limit_per_s: float | None = None
    limit_is_valid: bool = True
    leaves: bool = False
    pause_ms: float | None = None
    pause_is_valid: bool = True


HeaderGetter = Callable[[str], str | None]


def _native_not_run_outcome(status: int, header: HeaderGetter) -> AttemptOutcome | None:
    stated = header("x-not-run")
    if status == 503 and stated == "shed":
        return AttemptOutcome.SHED
    if status == 409 and stated == "fenced":
        return AttemptOutcome.FENCED
    return None


def _no_statement(status: int, header: HeaderGetter) -> UpstreamStatement:
    return UpstreamStatement()


class Dialect(NamedTuple):
    """Header names of an API; an empty name means that the header is not used.

    `not_run` returns the outcome of a response that reports that the request was not
    run, or None. `read_statement` reads what the upstream says of itself.
    """

    request_id: str = "X-Request-Id"
    deadline: str = "X-Deadline-Ms"
    workspace: str = "X-Workspace"
    partition: str = "X-Partition"
    epoch: str = "X-Epoch"
    expected_upstream: str = ""
    routing_key: str = ""
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
    read_statement: Callable[[int, HeaderGetter], UpstreamStatement] = _no_statement

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
