"""Accepted settings revisions, and the concurrency checks on changes."""

from typing import Any

import msgspec

from bergamotdrift.audit_trail import AuditRow, AuditTrail
from bergamotdrift.config.schema import SiteSettings
from bergamotdrift.control_commands import ApplySettings, ChangeOutcome, RecordRefusal
from bergamotdrift.exceptions import ErrorKind
from bergamotdrift.settings_diff import summarize_change

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
        self._keep_recent()
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
        self.current = self.recent_revisions.get(self.revision)
        self.audit = AuditTrail()
        self.audit.load(audit)

    def _keep_recent(self) -> None:
        assert self.current is not None
        self.recent_revisions[self.revision] = self.current
        if len(self.recent_revisions) > MAX_RECENT_REVISIONS:
            del self.recent_revisions[next(iter(self.recent_revisions))]

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
