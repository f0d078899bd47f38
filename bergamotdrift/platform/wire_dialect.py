"""The headers of the platform's callers and upstreams, as a dialect of the entry."""

from bergamotdrift.arbiter_messages import AttemptOutcome
from bergamotdrift.dialect import AnswerLoad, Dialect, HeaderOf
from bergamotdrift.platform import names

_MISDIRECTED = 421
_USUAL_PERCENT = 100.0


def judge(status: int, header: HeaderOf) -> AttemptOutcome | None:
    """Return the outcome of an answer that states that the request was not run."""
    if status == _MISDIRECTED:
        return AttemptOutcome.FENCED
    return AttemptOutcome.SHED if header(names.NOT_RUN) is not None else None


def parse_load(value: str) -> AnswerLoad | None:
    """Return the stated load: running, waiting, slots, and work time in percent."""
    try:
        figures = [float(part) for part in value.split(",")]
    except ValueError:
        return None
    if len(figures) < 3 or min(figures) < 0:
        return None
    percent = figures[3] if len(figures) > 3 else _USUAL_PERCENT
    running, waiting, slots = (int(figure) for figure in figures[:3])
    return AnswerLoad(running, waiting, slots, percent / _USUAL_PERCENT)


PLATFORM = Dialect(
    request_id=names.REQUEST_ID,
    deadline=names.DEADLINE,
    workspace=names.WORKSPACE,
    partition="",
    epoch="",
    expected_upstream=names.EXPECTED_UPSTREAM,
    routing_key=names.ROUTING_KEY,
    load=names.LOAD,
    forwarded_headers=False,
    keeps_request_id=True,
    takes_unframed=True,
    fine_retry_after=True,
    not_run=judge,
    parse_load=parse_load,
)
