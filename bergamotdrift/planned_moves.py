"""Moves of key ranges, from their planning until their next owner is assigned."""

from collections.abc import Callable, Collection
from typing import NamedTuple

from bergamotdrift.messages import RangeRow
from bergamotdrift.range_balance import RangeMove
from bergamotdrift.range_leases import UpstreamProcess, owner_process

# A moved range does not move again for this long, so that noise in the load does not
# move it back.
MOVE_COOLDOWN_MS = 2500.0
# A planned move whose owner can't be told is dropped after this time, as the loads have
# changed.
PLAN_TTL_MS = 2500.0


class _RangeStart(NamedTuple):
    service: str
    first: int


class _PlannedMove(NamedTuple):
    """Describe a move whose owner can't be told yet."""

    move: RangeMove
    planned_ms: float


class _ProposedRelease(NamedTuple):
    """Identify a range whose release was proposed and may not be committed yet."""

    row: RangeRow
    proposed_ms: float


class PlannedMoves:
    """Keep the planned moves, the targets of ranges under release, and recent moves.

    It does no I/O and reads no clock; callers pass the time.
    """

    def __init__(self) -> None:
        self._planned: dict[str, list[_PlannedMove]] = {}
        # The releases of the last round, which ends when they are committed.
        self._proposed: list[_ProposedRelease] = []
        self._targets: dict[_RangeStart, str] = {}
        self._moved_at_ms: dict[_RangeStart, float] = {}

    def add(self, move: RangeMove, now_ms: float) -> None:
        """Add a move whose owner is to be told."""
        planned = self._planned.setdefault(move.row.service, [])
        planned.append(_PlannedMove(move, now_ms))

    def rows(self, service: str) -> set[RangeRow]:
        """Return the ranges of a service whose owners were not told yet."""
        return {item.move.row for item in self._planned.get(service, ())}

    def rows_to_release(self, service: str) -> set[RangeRow]:
        """Return the ranges whose release is planned or proposed."""
        proposed = {p.row for p in self._proposed if p.row.service == service}
        return proposed | self.rows(service)

    def take_due(
        self,
        service: str,
        current: Collection[RangeRow],
        may_release: Callable[[UpstreamProcess], bool],
        now_ms: float,
    ) -> list[RangeMove]:
        """Return the moves whose owners can be told now, and record their targets.

        Moves of ranges that are no longer `current` and outdated ones are dropped.
        """
        due, waiting = [], []
        for item in self._planned.get(service, ()):
            move = item.move
            if move.row not in current or now_ms - item.planned_ms >= PLAN_TTL_MS:
                continue
            if may_release(owner_process(move.row)):
                due.append(move)
                self._proposed.append(_ProposedRelease(move.row, now_ms))
                key = _RangeStart(service, move.first)
                self._targets[key] = move.target
                self._moved_at_ms[key] = now_ms
            else:
                waiting.append(item)
        self._planned[service] = waiting
        return due

    def target_of(self, row: RangeRow) -> str | None:
        """Return the planned next owner of a range under release, or None."""
        return self._targets.get(_RangeStart(row.service, row.first))

    def take_target(self, row: RangeRow) -> str | None:
        """Return and forget the planned next owner of a range under release."""
        return self._targets.pop(_RangeStart(row.service, row.first), None)

    def owners_before(
        self, process: UpstreamProcess, releasing: Collection[RangeRow]
    ) -> list[UpstreamProcess]:
        """Return the owners of the ranges that are about to move to a process.

        `releasing` are the ranges of its service that are under release.
        """
        rows = [
            item.move.row
            for item in self._planned.get(process.service, ())
            if item.move.target == process.upstream
        ]
        rows += [row for row in releasing if self.target_of(row) == process.upstream]
        return [owner_process(row) for row in rows]

    def record_moved(self, row: RangeRow, now_ms: float) -> None:
        """Record that a range was assigned to an upstream."""
        self._moved_at_ms[_RangeStart(row.service, row.first)] = now_ms

    def moved_recently(self, row: RangeRow) -> bool:
        """Return whether a range moved within the cooldown, as of the last pruning."""
        return _RangeStart(row.service, row.first) in self._moved_at_ms

    def prune(self, now_ms: float) -> None:
        """Forget moves after their cooldown, and the releases of earlier rounds."""
        self._proposed = [p for p in self._proposed if p.proposed_ms >= now_ms]
        self._moved_at_ms = {
            key: at_ms
            for key, at_ms in self._moved_at_ms.items()
            if now_ms - at_ms < MOVE_COOLDOWN_MS
        }
