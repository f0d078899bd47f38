"""Dialect with the header names of the platform's callers and upstreams."""

from bergamotdrift.arbiter_messages import AttemptOutcome
from bergamotdrift.dialect import (
    AnswerLoad,
    Dialect,
    HeaderGetter,
    UpstreamStatement,
)
from bergamotdrift.platform import names

_MISDIRECTED = 421
_BUSY = 503
_RETRY_AFTER = "Retry-After"
# No upstream wants nothing for longer; a larger time is an error.
_PAUSE_MAX_S = 600.0
_BASELINE_PERCENT = 100.0
# No upstream runs or queues as many requests; a larger count is an error.
_COUNT_MAX = 1e6
# No upstream takes as many requests per second; a larger value is an error.
_LIMIT_MAX_PER_S = 1e6


def not_run_outcome(status: int, header: HeaderGetter) -> AttemptOutcome | None:
    """Return the outcome if the answer states that the request was not run, or None."""
    if status == _MISDIRECTED:
        return AttemptOutcome.FENCED
    return AttemptOutcome.SHED if header(names.NOT_RUN) is not None else None


def parse_load(value: str) -> AnswerLoad | None:
    """Parse a load header, or return None if it is malformed.

    It states running and waiting requests, slots, and work time in percent of normal.
    """
    values = [_number(part, _COUNT_MAX) for part in value.split(",")]
    if len(values) < 3 or None in values:
        return None
    percent = values[3] if len(values) > 3 else _BASELINE_PERCENT
    running, waiting, slots = (int(number or 0) for number in values[:3])
    if not slots or not percent:
        return None
    return AnswerLoad(running, waiting, slots, percent / _BASELINE_PERCENT)


def _number(text: str, limit: float) -> float | None:
    """Return a number from 0 to `limit`, or None for any other text."""
    try:
        number = float(text)
    except ValueError:
        return None
    return number if 0.0 <= number <= limit else None


def parse_limit(value: str) -> float | None:
    """Parse a limit in requests per second, or return None if it is malformed."""
    return _number(value, _LIMIT_MAX_PER_S)


def read_statement(status: int, header: HeaderGetter) -> UpstreamStatement:
    """Read what an upstream says of itself in the head of an answer."""
    load, limit = header(names.LOAD), header(names.LIMIT)
    limit_per_s = parse_limit(limit) if limit is not None else None
    pause = header(_RETRY_AFTER) if status == _BUSY else None
    pause_s = _number(pause, _PAUSE_MAX_S) if pause is not None else None
    return UpstreamStatement(
        parse_load(load) if load else None,
        limit_per_s,
        limit is None or limit_per_s is not None,
        header(names.LEAVING) == "1",
        pause_s * 1000.0 if pause_s is not None else None,
        pause is None or pause_s is not None,
    )


PLATFORM_DIALECT = Dialect(
    request_id=names.REQUEST_ID,
    deadline=names.DEADLINE,
    workspace=names.WORKSPACE,
    partition="",
    epoch="",
    expected_upstream=names.EXPECTED_UPSTREAM,
    routing_key=names.ROUTING_KEY,
    forwarded_headers=False,
    keeps_request_id=True,
    accepts_close_delimited=True,
    fine_retry_after=True,
    not_run=not_run_outcome,
    read_statement=read_statement,
)
