"""Upstream leases at the control leader: announcements, grants and expiry."""

from collections.abc import Sequence

from bergamotdrift import control_commands as cmd
from bergamotdrift.announcement_check import check_announcement
from bergamotdrift.config.schema import ServiceKind
from bergamotdrift.constants import DRIFT_MARGIN_MS, SESSION_TTL_MS
from bergamotdrift.control_state import ControlState
from bergamotdrift.ended_upstreams import EndedUpstream
from bergamotdrift.feed_tables import UpstreamId
from bergamotdrift.handover import Handover
from bergamotdrift.messages import (
    Announcement,
    AnnouncementReply,
    Message,
    PartitionEpoch,
    PartitionRef,
    PartitionState,
    UpstreamReport,
    UpstreamRow,
    UpstreamState,
)
from bergamotdrift.session_leases import SessionLeases

# Upstreams don't know the clock drift margin, so it is subtracted from their lease.
UPSTREAM_LEASE_MS = SESSION_TTL_MS - DRIFT_MARGIN_MS
# An upstream that missed an announcement may be lost; others are preferred.
RECENTLY_SEEN_MS = 750.0
MAX_UPSTREAMS_PER_SERVICE = 2000
# A limit that no entry has reported for this long is dropped: without requests, no
# entry hears that it has ended.
LIMIT_TTL_MS = 10_000.0


class UpstreamSessions:
    """Handle announcements, and register and expire upstreams.

    `announce` may be called only on the current leader.
    """

    def __init__(
        self,
        state: ControlState,
        handover: Handover,
        opened_at_ms: float,
        ttl_ms: float | None = None,
    ):
        self._state = state
        self._handover = handover
        self._contacts: SessionLeases[UpstreamId] = SessionLeases(opened_at_ms, ttl_ms)
        self._pending_rows: dict[UpstreamId, UpstreamRow] = {}
        self._pending_ends: dict[str, EndedUpstream] = {}
        self._sequences: dict[cmd.UpstreamIncarnation, int] = {}
        self._cold_until_ms: dict[cmd.UpstreamIncarnation, float] = {}
        self._opened_at_ms = opened_at_ms
        self._limit_heard_ms: dict[UpstreamId, float] = {}

    def announce(self, announcement: Announcement, now_ms: float) -> AnnouncementReply:
        """Return the grants of an upstream, or an error without changing any state."""
        error = check_announcement(announcement, self._state.settings.current)
        if error:
            return _refusal(announcement, error)
        key = UpstreamId(announcement.service, announcement.upstream)
        if self._state.rows.is_superseded(key, announcement.incarnation):
            return _refusal(announcement, "a later incarnation has registered")
        if self._is_earlier_start(announcement):
            return _refusal(
                announcement, "a later upstream has registered this address"
            )
        if self._is_outdated(announcement):
            return _reply_without_grants(announcement)
        reply = self._accept(key, announcement, now_ms)
        if not reply.error:
            self._record_end(announcement)
        return reply

    def _accept(
        self, key: UpstreamId, announcement: Announcement, now_ms: float
    ) -> AnnouncementReply:
        self._record_cold_start(announcement, now_ms)
        row = self._state.rows.upstreams.get(key)
        if row is None and announcement.state is UpstreamState.LEAVING:
            # It has no row that could get requests.
            return AnnouncementReply(
                announcement.service, announcement.upstream, 0, [], []
            )
        if row is None:
            return self._register(key, announcement, now_ms)
        if row.incarnation != announcement.incarnation:
            return self._replace(key, row, announcement, now_ms)
        if (row.address, row.zone) != (announcement.address, announcement.zone):
            detail = f"this incarnation registered {row.address} in {row.zone}"
            return _refusal(announcement, detail)
        if not self._contacts.renew(key, announcement.incarnation, now_ms):
            return _refusal(announcement, "the lease ran out; register again")
        self._update_state(key, row, announcement)
        return self._grant(key, announcement, now_ms)

    def last_seen_ms(self, row: UpstreamRow) -> float:
        """Return the time of the last announcement, at least the term's start."""
        key = UpstreamId(row.service, row.upstream)
        return self._contacts.last_seen_ms(key, row.incarnation)

    def record_reports(self, items: Sequence[UpstreamReport], now_ms: float) -> None:
        """Record what upstreams stated to an entry."""
        for item in items:
            key = UpstreamId(item.service, item.upstream)
            row = self._state.rows.upstreams.get(key)
            if row is None or row.incarnation != item.incarnation:
                continue
            self._limit_heard_ms[key] = now_ms
            self._set_limit(key, row, item.limit_per_s)
            if item.leaves and row.state is not UpstreamState.LEAVING:
                planned = self._planned_row(key, row)
                self._pending_rows[key] = planned._replace(state=UpstreamState.LEAVING)

    def has_changes(self) -> bool:
        """Return whether a registration, state change or end waits to be logged."""
        return bool(self._pending_rows or self._pending_ends)

    def accepts_work(self, row: UpstreamRow) -> bool:
        """Return whether an upstream may keep partitions."""
        settings = self._state.settings.current
        if settings is None or settings.zone_is_out(row.zone):
            return False
        return row.state is not UpstreamState.LEAVING

    def is_recent(self, row: UpstreamRow, now_ms: float) -> bool:
        """Return whether an upstream has announced itself recently."""
        key = UpstreamId(row.service, row.upstream)
        if self._contacts.is_expiring(key, row.incarnation):
            return False
        seen_ms = self._contacts.last_seen_ms(key, row.incarnation)
        return now_ms - seen_ms < RECENTLY_SEEN_MS

    def has_expired(self, row: UpstreamRow, now_ms: float) -> bool:
        """Return whether an upstream's lease has expired."""
        key = UpstreamId(row.service, row.upstream)
        return self._contacts.has_expired(key, row.incarnation, now_ms)

    def commands(self, now_ms: float) -> list[Message]:
        """Return the commands for registrations, state changes and removals."""
        self._contacts.prune_removed(self._is_known, now_ms)
        self._end_cold_starts(now_ms)
        self._expire_limits(now_ms)
        commands: list[Message] = []
        expired = self._expired(now_ms)
        if expired:
            commands.append(cmd.ExpireUpstreams(expired))
        if self._pending_rows:
            commands.append(cmd.PutUpstreams(list(self._pending_rows.values())))
            self._pending_rows.clear()
        if self._pending_ends:
            commands.append(cmd.EndUpstreams(list(self._pending_ends.values())))
            self._pending_ends.clear()
        return commands

    def _register(
        self, key: UpstreamId, announcement: Announcement, now_ms: float
    ) -> AnnouncementReply:
        registered = self._state.rows.upstreams.list_keys()
        if (
            sum(k.service == key.service for k in registered)
            >= MAX_UPSTREAMS_PER_SERVICE
        ):
            return _refusal(announcement, "the service has too many upstreams")
        other = self._pending_rows.get(key)
        if other is not None and other.incarnation != announcement.incarnation:
            return _refusal(
                announcement, f"{other.incarnation} is registering under this name"
            )
        if announcement.state is not UpstreamState.LEAVING and self._has_ended(
            announcement
        ):
            return _refusal(announcement, "this incarnation has ended")
        self._pending_rows[key] = _row_from(announcement)
        self._contacts.register(key, announcement.incarnation, now_ms)
        return _reply_without_grants(announcement)

    def _has_ended(self, announcement: Announcement) -> bool:
        return self._state.rows.ended.includes(
            announcement.upstream, announcement.incarnation, announcement.born_ms
        )

    def _record_end(self, announcement: Announcement) -> None:
        item = end_of(announcement)
        if item is not None and self._state.rows.ended.lacks(item):
            self._pending_ends[item.upstream] = item

    def _replace(
        self,
        key: UpstreamId,
        row: UpstreamRow,
        announcement: Announcement,
        now_ms: float,
    ) -> AnnouncementReply:
        if announcement.born_ms < row.born_ms:
            return _refusal(announcement, "a later incarnation has registered")
        service = self._state.service(announcement.service)
        assert service is not None
        if service.kind is ServiceKind.KEYED:
            # The earlier incarnation may serve until its lease expires.
            detail = f"incarnation {row.incarnation} holds this name until it expires"
            return _refusal(announcement, detail)
        return self._register(key, announcement, now_ms)

    def _update_state(
        self, key: UpstreamId, row: UpstreamRow, announcement: Announcement
    ) -> None:
        # A delayed announcement must not revert an upstream that started to leave.
        if row.state is UpstreamState.LEAVING:
            return
        if row.state is not announcement.state or row.slots != announcement.slots:
            self._pending_rows[key] = self._planned_row(key, row)._replace(
                state=announcement.state, slots=announcement.slots
            )

    def _planned_row(self, key: UpstreamId, row: UpstreamRow) -> UpstreamRow:
        """Return an upstream's row with the change that is not logged yet."""
        planned = self._pending_rows.get(key, row)
        return planned if planned.incarnation == row.incarnation else row

    def _set_limit(
        self, key: UpstreamId, row: UpstreamRow, per_s: float | None
    ) -> None:
        planned = self._planned_row(key, row)
        if planned.limit_per_s != per_s:
            self._pending_rows[key] = planned._replace(limit_per_s=per_s)

    def _expire_limits(self, now_ms: float) -> None:
        for row in self._state.rows.upstreams.rows():
            if row.limit_per_s is None:
                continue
            key = UpstreamId(row.service, row.upstream)
            heard_ms = self._limit_heard_ms.get(key, self._opened_at_ms)
            if now_ms - heard_ms >= LIMIT_TTL_MS:
                self._set_limit(key, row, None)

    def _is_earlier_start(self, announcement: Announcement) -> bool:
        """Return whether an upstream that started later has registered this address."""
        return any(
            row.address == announcement.address
            and row.born_ms > announcement.born_ms > 0
            for row in self._state.rows.upstreams.rows()
        )

    def _is_outdated(self, announcement: Announcement) -> bool:
        """Return whether a newer announcement of this incarnation has arrived."""
        if not announcement.sequence:
            return False
        key = cmd.UpstreamIncarnation(
            announcement.service, announcement.upstream, announcement.incarnation
        )
        last = self._sequences.get(key, 0)
        self._sequences[key] = max(last, announcement.sequence)
        return announcement.sequence < last

    def _record_cold_start(self, announcement: Announcement, now_ms: float) -> None:
        if announcement.cold_ms:
            key = cmd.UpstreamIncarnation(
                announcement.service, announcement.upstream, announcement.incarnation
            )
            self._cold_until_ms[key] = now_ms + announcement.cold_ms

    def _end_cold_starts(self, now_ms: float) -> None:
        """Mark upstreams as ready once their announced cold start has ended."""
        over = [k for k, until_ms in self._cold_until_ms.items() if until_ms <= now_ms]
        for run in over:
            del self._cold_until_ms[run]
            key = UpstreamId(run.service, run.upstream)
            row = self._state.rows.upstreams.get(key)
            if row is None or row.incarnation != run.incarnation:
                continue
            if row.state is UpstreamState.COLD and key not in self._pending_rows:
                self._pending_rows[key] = row._replace(state=UpstreamState.READY)

    def _grant(
        self, key: UpstreamId, announcement: Announcement, now_ms: float
    ) -> AnnouncementReply:
        grants, release = [], []
        reported = {(ref.partition, ref.epoch) for ref in announcement.released}
        for row in self._state.rows.partitions_of(key):
            held = PartitionEpoch(row.partition, row.epoch)
            if row.state is PartitionState.OWNED:
                grants.append(held)
                continue
            ref = PartitionRef(row.service, row.partition, row.epoch)
            if held in reported:
                self._handover.record_released(ref, now_ms)
            if not self._handover.is_released(ref):
                release.append(held)
        return AnnouncementReply(
            announcement.service,
            announcement.upstream,
            UPSTREAM_LEASE_MS,
            grants,
            release,
        )

    def _expired(self, now_ms: float) -> list[cmd.UpstreamIncarnation]:
        found = []
        for row in self._state.rows.upstreams.rows():
            if self.has_expired(row, now_ms):
                key = UpstreamId(row.service, row.upstream)
                self._contacts.mark_expiring(key, row.incarnation)
                found.append(cmd.UpstreamIncarnation(*key, row.incarnation))
        return found

    def _is_known(self, key: UpstreamId, incarnation: str) -> bool:
        row = self._state.rows.upstreams.get(key)
        return row is not None and row.incarnation == incarnation


def end_of(announcement: Announcement) -> EndedUpstream | None:
    """Return the end that an announcement states, or None if it states none."""
    if announcement.state is not UpstreamState.LEAVING:
        return None
    return EndedUpstream(
        announcement.upstream, announcement.incarnation, announcement.born_ms
    )


def _row_from(announcement: Announcement) -> UpstreamRow:
    return UpstreamRow(
        announcement.service,
        announcement.upstream,
        announcement.address,
        announcement.zone,
        announcement.incarnation,
        announcement.state,
        announcement.slots,
        announcement.born_ms,
        version=announcement.version,
    )


def _reply_without_grants(announcement: Announcement) -> AnnouncementReply:
    return AnnouncementReply(
        announcement.service, announcement.upstream, UPSTREAM_LEASE_MS, [], []
    )


def _refusal(announcement: Announcement, error: str) -> AnnouncementReply:
    return AnnouncementReply(
        announcement.service[:128], announcement.upstream[:128], 0, [], [], error
    )
