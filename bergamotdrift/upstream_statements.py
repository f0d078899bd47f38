"""What upstreams state in their answers, as heard and obeyed by one entry."""

import random

from bergamotdrift.dialect import UpstreamStatement
from bergamotdrift.direct_load import DirectLoad
from bergamotdrift.feed_tables import UpstreamId
from bergamotdrift.log import log_event
from bergamotdrift.messages import UpstreamReport, UpstreamState
from bergamotdrift.metrics import INVALID_STATEMENTS
from bergamotdrift.request_share import RequestShare

# The limits of all entries together hold in each window of this length.
WINDOW_MS = 4000.0
# A limit that is still stated is reported this often, since the leader drops one that
# no entry has reported for a while.
_REPORT_INTERVAL_MS = 2000.0
# The owner of a key that leaves is sent requests for this long. It is half of the
# time in which every entry must have stopped.
_OWNER_LEAVES_MS = 1000.0
# A pause is lengthened by up to this part of it, and by no more than a second.
_PAUSE_SPREAD = 0.2
_PAUSE_SPREAD_MAX_MS = 1000.0
# Relative change of a limit that is reported at once.
_MIN_CHANGE = 0.1


class UpstreamStatements:
    """Keep to what upstreams state, and report it to the leader.

    The shares add up to the limit without a message, so they hold for an entry that
    has lost the leader too.
    """

    def __init__(self, node: str, rng: random.Random):
        self._rng = rng
        self.share = RequestShare(node, WINDOW_MS)
        self._heard_ms: dict[UpstreamId, float] = {}
        self._reported_ms: dict[UpstreamId, float] = {}

    def record(
        self, load: DirectLoad, statement: UpstreamStatement, now_ms: float
    ) -> None:
        """Apply what an upstream said of itself; what can't be read has no effect."""
        self._record_leaving(load, statement, now_ms)
        self._record_pause(load, statement, now_ms)
        self._record_limit(load, statement, now_ms)

    def _record_leaving(
        self, load: DirectLoad, statement: UpstreamStatement, now_ms: float
    ) -> None:
        if not statement.leaves or load.leaves_since_ms is not None:
            return
        load.leaves_since_ms = now_ms
        row = load.row
        self._heard_ms[UpstreamId(row.service, row.upstream)] = now_ms
        _log("upstream_leaves", load, announced=row.state.value)

    def _record_pause(
        self, load: DirectLoad, statement: UpstreamStatement, now_ms: float
    ) -> None:
        """Keep the latest pause that an upstream stated."""
        if not statement.pause_is_valid:
            _log_invalid(load, "pause")
        if statement.pause_ms is None:
            return
        # The entries come back one after the other.
        spread_ms = min(_PAUSE_SPREAD_MAX_MS, _PAUSE_SPREAD * statement.pause_ms)
        spread_ms *= self._rng.random()
        load.paused_until_ms = now_ms + statement.pause_ms + spread_ms
        _log(
            "upstream_paused",
            load,
            stated_ms=round(statement.pause_ms),
            ends_in_ms=round(load.paused_until_ms - now_ms),
        )

    def leaves(self, load: DirectLoad, owns_key: bool, now_ms: float) -> bool:
        """Return whether an upstream gets no more requests, since it leaves.

        The owner of a key gets them for a while, until its keys have moved.
        """
        if load.leaves_since_ms is None:
            return False
        return not owns_key or now_ms - load.leaves_since_ms >= _OWNER_LEAVES_MS

    def _record_limit(
        self, load: DirectLoad, statement: UpstreamStatement, now_ms: float
    ) -> None:
        row = load.row
        if not statement.limit_is_valid:
            _log_invalid(load, "limit")
            return
        key = UpstreamId(row.service, row.upstream)
        before, load.limit_per_s = load.limit_per_s, statement.limit_per_s
        if load.limit_per_s is not None or row.limit_per_s is not None:
            self._heard_ms[key] = now_ms
        if _differs(before, load.limit_per_s):
            _log(
                "upstream_limit_changed",
                load,
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
    ) -> list[UpstreamReport]:
        """Return what was stated since its last report.

        What the leader's row does not show is reported again, as pings get lost.
        """
        reports = []
        for key in [key for key in self._heard_ms if key not in loads]:
            del self._heard_ms[key]
            self._reported_ms.pop(key, None)
        for key, heard_ms in self._heard_ms.items():
            load = loads[key]
            reported_ms = self._reported_ms.get(key, float("-inf"))
            leaves = load.leaves_since_ms is not None
            changed = _differs(load.row.limit_per_s, load.limit_per_s) or (
                leaves and load.row.state is not UpstreamState.LEAVING
            )
            due = now_ms - reported_ms >= _REPORT_INTERVAL_MS
            is_new = heard_ms > reported_ms
            if (is_new and changed) or (due and (is_new or changed)):
                self._reported_ms[key] = now_ms
                row = load.row
                reports.append(
                    UpstreamReport(
                        *key, row.incarnation, _rounded(load.limit_per_s), leaves
                    )
                )
        return reports


def _log_invalid(load: DirectLoad, statement: str) -> None:
    INVALID_STATEMENTS.inc()
    _log("upstream_statement_invalid", load, statement=statement)


def _log(event: str, load: DirectLoad, **fields: float | str | None) -> None:
    row = load.row
    log_event(
        event,
        service=row.service,
        upstream=row.upstream,
        incarnation=row.incarnation,
        **fields,
    )


def _differs(before: float | None, after: float | None) -> bool:
    """Return whether a limit began, ended or changed by a tenth."""
    if before is None or after is None:
        return before is not after
    return abs(after - before) > _MIN_CHANGE * before


def _rounded(per_s: float | None) -> float | None:
    return None if per_s is None else round(per_s, 2)
