"""Accepted settings revisions, and the concurrency checks on changes."""

from typing import Any

import msgspec

from bergamotdrift.audit_trail import AuditRow, AuditTrail
from bergamotdrift.config.schema import SiteSettings
from bergamotdrift.control_commands import ApplySettings, ChangeOutcome, RecordRefusal
from bergamotdrift.exceptions import ErrorKind
from bergamotdrift.settings_diff import summarize_change
from bergamotdrift.settings_patch import SettingsPatch, make_patch

# The audit trail keeps the numbers of older revisions, but not their content.
MAX_RECENT_REVISIONS = 16


class SettingsLog:
    """The current settings, recent revisions and the audit trail."""

    def __init__(self) -> None:
        self.revision = 0
        self.author = ""
        self.changed_at = 0
        self.current: SiteSettings | None = None
        self.mapping = b"null"
        self.recent_revisions: dict[int, SiteSettings] = {}
        # Indexes at which recent revisions were applied here; unknown in a snapshot.
        self._applied_at: dict[int, int] = {}
        self.audit = AuditTrail()

    def recorded_outcome(self, request: str, fingerprint: str) -> ChangeOutcome | None:
        """Return the recorded outcome of a request id, or None if it is new.

        A request id that was used for a different change is refused.
        """
        row = self.audit.find_by_request(request)
        if row is None:
            return None
        if row.fingerprint != fingerprint:
            detail = "the request id was used for another change"
            return self._refusal_outcome(ErrorKind.MALFORMED_REQUEST, detail)
        return row.outcome()

    def apply(self, index: int, command: ApplySettings) -> ChangeOutcome:
        """Replace the settings, or refuse the change with REVISION_CONFLICT."""
        earlier = self.recorded_outcome(command.request, command.fingerprint)
        # A refused change with a chosen revision is tried again on a resend, since
        # its base revision may have been accepted in the meantime.
        is_final = not command.revision or earlier is None or not earlier.kind
        if earlier is not None and is_final:
            return earlier
        if command.base_revision != self.revision:
            return self._refuse(
                command, ErrorKind.REVISION_CONFLICT, self._current_revision_text()
            )
        if command.revision and command.revision <= self.revision:
            return self._refuse(
                command, ErrorKind.REVISION_CONFLICT, self._current_revision_text()
            )
        changes = summarize_change(self.current, command.settings)
        self.revision = command.revision or self.revision + 1
        self.author = command.author
        self.changed_at = index
        self.current = command.settings
        self.mapping = command.mapping
        self._keep_recent(index)
        outcome = ChangeOutcome("", self.revision, self.author)
        self._record(command, outcome, changes)
        return outcome

    def record_refusal(self, command: RecordRefusal) -> ChangeOutcome:
        """Record a change that failed the leader's validation."""
        earlier = self.recorded_outcome(command.request, command.fingerprint)
        if earlier is not None:
            return earlier
        return self._refuse(command, command.kind, command.detail)

    def dump(self) -> list[Any]:
        """Return the content for a snapshot."""
        return [
            self.revision,
            self.author,
            self.changed_at,
            self.mapping,
            self.recent_revisions,
            self.audit.dump(),
        ]

    def load(self, data: list[Any]) -> None:
        """Replace the content with that of a snapshot."""
        self.revision, self.author, self.changed_at, self.mapping, recent, audit = data
        self.recent_revisions = {
            revision: msgspec.convert(fields, SiteSettings)
            for revision, fields in recent.items()
        }
        self._applied_at = {self.revision: self.changed_at}
        self.current = self.recent_revisions.get(self.revision)
        self.audit = AuditTrail()
        self.audit.load(audit)

    def patch_since(self, index: int) -> SettingsPatch | None:
        """Return the change since a log index, or None if that is not known."""
        earlier = [r for r, applied in self._applied_at.items() if applied <= index]
        old = self.recent_revisions.get(max(earlier, default=0))
        if old is None or self.current is None:
            return None
        return make_patch(max(earlier), old, self.current)

    def _keep_recent(self, index: int) -> None:
        assert self.current is not None
        self.recent_revisions[self.revision] = self.current
        self._applied_at[self.revision] = index
        if len(self.recent_revisions) > MAX_RECENT_REVISIONS:
            oldest = next(iter(self.recent_revisions))
            del self.recent_revisions[oldest]
            self._applied_at.pop(oldest, None)

    def _current_revision_text(self) -> str:
        if self.revision == 0:
            return "no revision has been accepted yet; the base revision must be 0"
        return f"revision {self.revision} by {self.author} is the current one"

    def _refusal_outcome(self, kind: ErrorKind, detail: str) -> ChangeOutcome:
        return ChangeOutcome(kind, self.revision, self.author, detail)

    def _refuse(
        self, command: ApplySettings | RecordRefusal, kind: ErrorKind, detail: str
    ) -> ChangeOutcome:
        outcome = self._refusal_outcome(kind, detail)
        self._record(command, outcome, ())
        return outcome

    def _record(
        self,
        command: ApplySettings | RecordRefusal,
        outcome: ChangeOutcome,
        changes: tuple[str, ...],
    ) -> None:
        row = AuditRow(
            number=len(self.audit) + 1,
            at_ms=command.at_ms,
            author=command.author,
            request=command.request,
            base_revision=command.base_revision,
            revision=outcome.revision,
            revision_author=outcome.author,
            kind=outcome.kind,
            detail=outcome.detail,
            fingerprint=command.fingerprint,
            changes=changes,
        )
        self.audit.add(row)
