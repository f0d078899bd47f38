"""Audit trail of settings changes, with the outcome of each request id."""

from typing import Any, NamedTuple

import msgpack
import msgspec

from bergamotdrift.control_commands import ChangeOutcome

# At 420 changes a day, resends are recognized for more than three weeks.
MAX_REQUEST_IDS = 10_000


class AuditRow(NamedTuple):
    """One change or refusal; `at_ms` is Unix time, `kind` is empty if accepted."""

    number: int
    at_ms: int
    author: str
    request: str
    base_revision: int
    revision: int
    revision_author: str
    kind: str
    detail: str
    fingerprint: str
    changes: tuple[str, ...]

    def outcome(self) -> ChangeOutcome:
        """Return the outcome that was reported to the operator."""
        return ChangeOutcome(
            self.kind, self.revision, self.revision_author, self.detail
        )


class AuditTrail:
    """All audit rows, encoded as msgpack, with an index by recent request ids."""

    def __init__(self) -> None:
        self._packed_rows: list[bytes] = []
        self._numbers_by_request: dict[str, int] = {}

    def __len__(self) -> int:
        return len(self._packed_rows)

    def add(self, row: AuditRow) -> None:
        """Append a row, whose number must follow the last one."""
        assert row.number == len(self._packed_rows) + 1
        self._packed_rows.append(msgpack.packb(row))
        self._numbers_by_request[row.request] = row.number
        if len(self._numbers_by_request) > MAX_REQUEST_IDS:
            del self._numbers_by_request[next(iter(self._numbers_by_request))]

    def find_by_request(self, request: str) -> AuditRow | None:
        """Return the row of a request id if it is among the recent ones, or None."""
        number = self._numbers_by_request.get(request)
        return self._row(number) if number is not None else None

    def page(self, after: int, limit: int) -> list[AuditRow]:
        """Return up to `limit` rows with numbers above `after`."""
        first = max(after, 0) + 1
        last = min(len(self._packed_rows), first + limit - 1)
        return [self._row(number) for number in range(first, last + 1)]

    def dump(self) -> list[Any]:
        """Return the content for a snapshot."""
        return [self._packed_rows, self._numbers_by_request]

    def load(self, data: list[Any]) -> None:
        """Replace the content with that of a snapshot."""
        self._packed_rows, self._numbers_by_request = data

    def _row(self, number: int) -> AuditRow:
        fields = msgpack.unpackb(self._packed_rows[number - 1])
        return msgspec.convert(fields, AuditRow)
