"""Names of the headers that an entry exchanges with callers and upstreams."""

from collections.abc import Callable
from typing import NamedTuple

from bergamotdrift.arbiter_messages import AttemptOutcome


class AnswerLoad(NamedTuple):
    """Hold the load that an upstream states in an answer.

    `slowness` is how much longer than usual work takes at the moment, 1.0 as usual.
    """

    running: int
    waiting: int
    slots: int
    slowness: float = 1.0


HeaderOf = Callable[[str], str | None]


def _judge_native(status: int, header: HeaderOf) -> AttemptOutcome | None:
    stated = header("x-not-run")
    if status == 503 and stated == "shed":
        return AttemptOutcome.SHED
    if status == 409 and stated == "fenced":
        return AttemptOutcome.FENCED
    return None


def _no_load(value: str) -> AnswerLoad | None:
    return None


class Dialect(NamedTuple):
    """Hold header names; an empty name stands for a header that is not used.

    `not_run` returns the outcome of an answer that states that the request was not
    run, or None. `parse_load` reads the value of the `load` header.
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
    # Whether a caller's request id is passed on instead of one of our own.
    keeps_request_id: bool = False
    # Whether an answer without framing is complete at an orderly end of its connection.
    takes_unframed: bool = False
    # Whether Retry-After may hold a fraction of a second.
    fine_retry_after: bool = False
    not_run: Callable[[int, HeaderOf], AttemptOutcome | None] = _judge_native
    parse_load: Callable[[str], AnswerLoad | None] = _no_load

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
