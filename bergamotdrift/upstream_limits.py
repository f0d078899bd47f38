"""Limits that upstreams state in their answers, as observed by one entry."""

from bergamotdrift.dialect import UpstreamStatement
from bergamotdrift.direct_load import DirectLoad
from bergamotdrift.feed_tables import UpstreamId
from bergamotdrift.log import log_event
from bergamotdrift.messages import UpstreamLimit
from bergamotdrift.metrics import INVALID_STATEMENTS
from bergamotdrift.request_share import RequestShare

# The limits of all entries together hold in each window of this length.
WINDOW_MS = 4000.0
# A limit that is still stated is reported this often, since the leader drops one that
# no entry has reported for a while.
_REPORT_INTERVAL_MS = 2000.0
# Relative change of a limit that is reported at once.
_MIN_CHANGE = 0.1


class UpstreamLimits:
    """Keep to this entry's share of the limits, and report them to the leader.

    The shares add up to the limit without a message, so they hold for an entry that
    has lost the leader too.
    """

    def __init__(self, node: str):
        self.share = RequestShare(node, WINDOW_MS)
        self._heard_ms: dict[UpstreamId, float] = {}
        self._reported_ms: dict[UpstreamId, float] = {}

    def record_statement(
        self, load: DirectLoad, statement: UpstreamStatement, now_ms: float
    ) -> None:
        """Apply what an upstream said of its limit; an invalid limit has no effect."""
        row = load.row
        if not statement.limit_is_valid:
            INVALID_STATEMENTS.inc()
            log_event(
                "upstream_statement_invalid",
                service=row.service,
                upstream=row.upstream,
                incarnation=row.incarnation,
            )
            return
        key = UpstreamId(row.service, row.upstream)
        before, load.limit_per_s = load.limit_per_s, statement.limit_per_s
        if load.limit_per_s is not None or row.limit_per_s is not None:
            self._heard_ms[key] = now_ms
        if _differs(before, load.limit_per_s):
            log_event(
                "upstream_limit_changed",
                service=row.service,
                upstream=row.upstream,
                incarnation=row.incarnation,
                before_per_s=before,
                limit_per_s=load.limit_per_s,
            )

    def has_room(self, load: DirectLoad, now_ms: float) -> bool:
        """Return whether this entry may send one more request to an upstream."""
        if load.limit_per_s is None:
            return True
        # At least one request, so that the end of a limit becomes known.
        limit = max(1, int(load.limit_per_s * WINDOW_MS / 1000.0))
        return self.share.has_room(load.row.upstream, limit, now_ms)

    def record_sent(self, load: DirectLoad, now_ms: float) -> None:
        """Count a request to an upstream with a limit."""
        self.share.record_sent(load.row.upstream, now_ms)

    def due_reports(
        self, loads: dict[UpstreamId, DirectLoad], now_ms: float
    ) -> list[UpstreamLimit]:
        """Return the limits that were stated since their last report."""
        reports = []
        for key in [key for key in self._heard_ms if key not in loads]:
            del self._heard_ms[key]
            self._reported_ms.pop(key, None)
        for key, heard_ms in self._heard_ms.items():
            load = loads[key]
            reported_ms = self._reported_ms.get(key, float("-inf"))
            changed = _differs(load.row.limit_per_s, load.limit_per_s)
            due = now_ms - reported_ms >= _REPORT_INTERVAL_MS
            if heard_ms > reported_ms and (changed or due):
                self._reported_ms[key] = now_ms
                row = load.row
                reports.append(
                    UpstreamLimit(*key, row.incarnation, _rounded(load.limit_per_s))
                )
        return reports


def _differs(before: float | None, after: float | None) -> bool:
    """Return whether a limit began, ended or changed by a tenth."""
    if before is None or after is None:
        return before is not after
    return abs(after - before) > _MIN_CHANGE * before


def _rounded(per_s: float | None) -> float | None:
    return None if per_s is None else round(per_s, 2)
