"""Leases of upstreams: announcements, grants and expiry at the control leader."""

from bergamotdrift import commands_log as cmd
from bergamotdrift.announcement_check import check_announcement
from bergamotdrift.config.schema import ServiceKind
from bergamotdrift.constants import DRIFT_MARGIN_MS, SESSION_TTL_MS
from bergamotdrift.contacts import Contacts
from bergamotdrift.control_state import ControlState
from bergamotdrift.handover import Handover
from bergamotdrift.messages import (
    Announcement,
    AnnouncementReply,
    Message,
    PartitionEpoch,
    PartitionRef,
    PartitionState,
    UpstreamRow,
    UpstreamState,
)
from bergamotdrift.tables import UpstreamId

# Upstreams are not told of the drift margin, so it is taken off the lease they get.
UPSTREAM_LEASE_MS = SESSION_TTL_MS - DRIFT_MARGIN_MS
# An upstream that missed an announcement may be lost; others are preferred.
RECENT_MS = 750.0
UPSTREAMS_PER_SERVICE = 2000


class UpstreamSessions:
    """Answer announcements, and register and expire upstreams.

    The caller must hold the leadership when it passes an announcement on.
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
        self._contacts: Contacts[UpstreamId] = Contacts(opened_at_ms, ttl_ms)
        self._changes: dict[UpstreamId, UpstreamRow] = {}
        self._sequences: dict[cmd.UpstreamIncarnation, int] = {}
        self._cold_until_ms: dict[cmd.UpstreamIncarnation, float] = {}

    def announce(self, item: Announcement, now_ms: float) -> AnnouncementReply:
        """Return the grants of an upstream, or an error that changes nothing."""
        error = check_announcement(item, self._state.settings.current)
        if error:
            return _refusal(item, error)
        key = UpstreamId(item.service, item.upstream)
        if self._state.rows.is_superseded(key, item.incarnation):
            return _refusal(item, "a later incarnation has registered")
        if self._is_predecessor(item):
            return _refusal(item, "a later upstream has registered this address")
        if self._is_late(item):
            return _without_grants(item)
        self._note_cold(item, now_ms)
        row = self._state.rows.upstreams.get(key)
        if row is None:
            return self._register(key, item, now_ms)
        if row.incarnation != item.incarnation:
            return self._replace(key, row, item, now_ms)
        if (row.address, row.zone) != (item.address, item.zone):
            detail = f"this incarnation registered {row.address} in {row.zone}"
            return _refusal(item, detail)
        if not self._contacts.renew(key, item.incarnation, now_ms):
            return _refusal(item, "the lease ran out; register again")
        self._note_state(key, row, item)
        return self._grant(key, item, now_ms)

    def last_seen_ms(self, row: UpstreamRow) -> float:
        """Return when an upstream announced itself last, at least the term's start."""
        key = UpstreamId(row.service, row.upstream)
        return self._contacts.last_seen_ms(key, row.incarnation)

    def has_changes(self) -> bool:
        """Tell whether a registration or change of state waits to be logged."""
        return bool(self._changes)

    def accepts_work(self, row: UpstreamRow) -> bool:
        """Tell whether an upstream may keep partitions."""
        settings = self._state.settings.current
        if settings is None or settings.zone_is_out(row.zone):
            return False
        return row.state is not UpstreamState.LEAVING

    def is_recent(self, row: UpstreamRow, now_ms: float) -> bool:
        """Tell whether an upstream announced itself within the last interval."""
        key = UpstreamId(row.service, row.upstream)
        if self._contacts.is_expiring(key, row.incarnation):
            return False
        seen_ms = self._contacts.last_seen_ms(key, row.incarnation)
        return now_ms - seen_ms < RECENT_MS

    def has_expired(self, row: UpstreamRow, now_ms: float) -> bool:
        """Tell whether an upstream's lease has run out."""
        key = UpstreamId(row.service, row.upstream)
        return self._contacts.has_expired(key, row.incarnation, now_ms)

    def commands(self, now_ms: float) -> list[Message]:
        """Return registrations, changes of state and removals to log."""
        self._contacts.forget_removed(self._is_known, now_ms)
        self._end_cold_starts(now_ms)
        commands: list[Message] = []
        expired = self._expired(now_ms)
        if expired:
            commands.append(cmd.ExpireUpstreams(expired))
        if self._changes:
            commands.append(cmd.PutUpstreams(list(self._changes.values())))
            self._changes.clear()
        return commands

    def _register(
        self, key: UpstreamId, item: Announcement, now_ms: float
    ) -> AnnouncementReply:
        if item.state is UpstreamState.LEAVING:
            return AnnouncementReply(item.service, item.upstream, 0, [], [])
        registered = self._state.rows.upstreams.list_keys()
        if sum(k.service == key.service for k in registered) >= UPSTREAMS_PER_SERVICE:
            return _refusal(item, "the service has too many upstreams")
        other = self._changes.get(key)
        if other is not None and other.incarnation != item.incarnation:
            return _refusal(item, f"{other.incarnation} is registering under this name")
        self._changes[key] = _row(item)
        self._contacts.register(key, item.incarnation, now_ms)
        return _without_grants(item)

    def _replace(
        self, key: UpstreamId, row: UpstreamRow, item: Announcement, now_ms: float
    ) -> AnnouncementReply:
        if item.born_ms < row.born_ms:
            return _refusal(item, "a later incarnation has registered")
        service = self._state.service(item.service)
        assert service is not None
        if service.kind is ServiceKind.KEYED:
            # The earlier incarnation may serve until its lease runs out.
            detail = f"incarnation {row.incarnation} holds this name until it expires"
            return _refusal(item, detail)
        return self._register(key, item, now_ms)

    def _note_state(
        self, key: UpstreamId, row: UpstreamRow, item: Announcement
    ) -> None:
        # A delayed announcement must not undo that an upstream started to leave.
        if row.state is UpstreamState.LEAVING:
            return
        if row.state is not item.state or row.slots != item.slots:
            self._changes[key] = _row(item)

    def _is_predecessor(self, item: Announcement) -> bool:
        """Tell whether a later start than the announcer's has its address."""
        return any(
            row.address == item.address and row.born_ms > item.born_ms > 0
            for row in self._state.rows.upstreams.rows()
        )

    def _is_late(self, item: Announcement) -> bool:
        """Tell whether a later announcement of the same run has arrived before."""
        if not item.sequence:
            return False
        key = cmd.UpstreamIncarnation(item.service, item.upstream, item.incarnation)
        last = self._sequences.get(key, 0)
        self._sequences[key] = max(last, item.sequence)
        return item.sequence < last

    def _note_cold(self, item: Announcement, now_ms: float) -> None:
        if item.cold_ms:
            key = cmd.UpstreamIncarnation(item.service, item.upstream, item.incarnation)
            self._cold_until_ms[key] = now_ms + item.cold_ms

    def _end_cold_starts(self, now_ms: float) -> None:
        """Count upstreams as ready once the cold start that they announced is over."""
        over = [k for k, until_ms in self._cold_until_ms.items() if until_ms <= now_ms]
        for run in over:
            del self._cold_until_ms[run]
            key = UpstreamId(run.service, run.upstream)
            row = self._state.rows.upstreams.get(key)
            if row is None or row.incarnation != run.incarnation:
                continue
            if row.state is UpstreamState.COLD and key not in self._changes:
                self._changes[key] = row._replace(state=UpstreamState.READY)

    def _grant(
        self, key: UpstreamId, item: Announcement, now_ms: float
    ) -> AnnouncementReply:
        grants, release = [], []
        reported = {(ref.partition, ref.epoch) for ref in item.released}
        for row in self._state.rows.partitions_of(key):
            held = PartitionEpoch(row.partition, row.epoch)
            if row.state is PartitionState.OWNED:
                grants.append(held)
                continue
            ref = PartitionRef(row.service, row.partition, row.epoch)
            if held in reported:
                self._handover.note_released(ref, now_ms)
            if not self._handover.is_released(ref):
                release.append(held)
        return AnnouncementReply(
            item.service, item.upstream, UPSTREAM_LEASE_MS, grants, release
        )

    def _expired(self, now_ms: float) -> list[cmd.UpstreamIncarnation]:
        found = []
        for row in self._state.rows.upstreams.rows():
            if self.has_expired(row, now_ms):
                key = UpstreamId(row.service, row.upstream)
                self._contacts.start_expiry(key, row.incarnation)
                found.append(cmd.UpstreamIncarnation(*key, row.incarnation))
        return found

    def _is_known(self, key: UpstreamId, incarnation: str) -> bool:
        row = self._state.rows.upstreams.get(key)
        return row is not None and row.incarnation == incarnation


def _row(item: Announcement) -> UpstreamRow:
    return UpstreamRow(
        item.service,
        item.upstream,
        item.address,
        item.zone,
        item.incarnation,
        item.state,
        item.slots,
        item.born_ms,
    )


def _without_grants(item: Announcement) -> AnnouncementReply:
    return AnnouncementReply(item.service, item.upstream, UPSTREAM_LEASE_MS, [], [])


def _refusal(item: Announcement, error: str) -> AnnouncementReply:
    return AnnouncementReply(item.service[:128], item.upstream[:128], 0, [], [], error)
