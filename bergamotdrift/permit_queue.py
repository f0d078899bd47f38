"""Bounded queue of permit requests, fair between workspaces.

Each class (urgent, routine) serves workspaces by start-time fair queueing: the head
of each workspace carries a start tag, the lowest tag is served, and each service
advances its workspace's next tag by one. A workspace that sends more than others only
lengthens its own queue.
"""

import heapq
from collections import deque
from collections.abc import Callable, Iterator
from typing import Any, NamedTuple

from bergamotdrift.arbiter_messages import PermitRequest
from bergamotdrift.takeover import EntryId

# While both classes wait, three of every four permits go to urgent requests.
_URGENT_PER_ROUTINE = 3


class WaiterKey(NamedTuple):
    """Identify one attempt of a request of an entry."""

    entry: EntryId
    request: str
    attempt: int


class Waiter:
    """Hold a queued permit request; `ticket` is an opaque value of the caller."""

    __slots__ = (
        "deadline_ms",
        "entry",
        "expires_ms",
        "is_waiting",
        "key",
        "req",
        "sequence",
        "ticket",
    )

    def __init__(
        self,
        entry: EntryId,
        req: PermitRequest,
        ticket: Any,
        deadline_ms: float,
        expires_ms: float,
    ):
        self.entry = entry
        self.req = req
        self.ticket = ticket
        self.deadline_ms = deadline_ms
        self.expires_ms = expires_ms
        self.is_waiting = False
        self.sequence = 0
        self.key = WaiterKey(entry, req.request, req.attempt)


class _WorkspaceQueue:
    """Hold the waiters of one workspace in one class, in order of arrival."""

    __slots__ = ("count", "next_tag", "tag", "waiters")

    def __init__(self) -> None:
        self.waiters: deque[Waiter] = deque()
        self.count = 0
        self.tag = 0.0
        self.next_tag = 0.0

    def head(self) -> Waiter | None:
        """Return the oldest waiter that was not removed."""
        while self.waiters and not self.waiters[0].is_waiting:
            self.waiters.popleft()
        return self.waiters[0] if self.waiters else None

    def newest(self) -> Waiter | None:
        """Return the newest waiter that was not removed."""
        while self.waiters and not self.waiters[-1].is_waiting:
            self.waiters.pop()
        return self.waiters[-1] if self.waiters else None


class _ClassQueue:
    """Hold the queues of all workspaces in one class, by name in `lines`."""

    __slots__ = ("_virtual", "count", "lines")

    def __init__(self) -> None:
        self.lines: dict[str, _WorkspaceQueue] = {}
        self.count = 0
        self._virtual = 0.0

    def push(self, waiter: Waiter) -> None:
        """Append a waiter to its workspace's queue."""
        line = self.lines.get(waiter.req.workspace)
        if line is None:
            line = self.lines[waiter.req.workspace] = _WorkspaceQueue()
        if line.count == 0:
            line.waiters.clear()
            line.tag = max(self._virtual, line.next_tag)
        line.waiters.append(waiter)
        line.count += 1
        self.count += 1

    def remove(self, waiter: Waiter) -> None:
        """Subtract a waiter that was marked as removed from the counts."""
        self.lines[waiter.req.workspace].count -= 1
        self.count -= 1

    def serve(self, waiter: Waiter) -> None:
        """Subtract a served waiter from the counts and advance its workspace's tag."""
        line = self.lines[waiter.req.workspace]
        self._virtual = max(self._virtual, line.tag)
        line.next_tag = line.tag + 1.0
        line.tag = line.next_tag
        self.remove(waiter)

    def heads(self) -> Iterator[Waiter]:
        """Yield the first waiter of each workspace in order of start tags."""
        lines = [line for line in self.lines.values() if line.count]
        if len(lines) > 1:
            lines.sort(key=lambda line: line.tag)
        for line in lines:
            head = line.head()
            if head is not None:
                yield head

    def count_ahead(self, workspace: str) -> int:
        """Return how many waiters are served before a new one of a workspace."""
        own = self.lines.get(workspace)
        own_count = own.count if own is not None else 0
        return sum(min(line.count, own_count + 1) for line in self.lines.values())

    def drop_idle_lines(self) -> None:
        """Drop empty queues whose next tag is not ahead of the virtual time."""
        idle = [
            name
            for name, line in self.lines.items()
            if not line.count and line.next_tag <= self._virtual
        ]
        for name in idle:
            del self.lines[name]


class PermitQueue:
    """Hold waiters up to a limit and serve them in fair order."""

    def __init__(self, limit: int):
        self._limit = limit
        self._urgent = _ClassQueue()
        self._routine = _ClassQueue()
        self._urgent_streak = 0
        self._sequence = 0
        self._expiries: list[tuple[float, int, Waiter]] = []
        self._by_key: dict[WaiterKey, Waiter] = {}

    def __len__(self) -> int:
        return len(self._by_key)

    def configure(self, limit: int) -> None:
        """Set the limit for later pushes."""
        self._limit = limit

    def find(self, key: WaiterKey) -> Waiter | None:
        """Return the waiter of a key, or None."""
        return self._by_key.get(key)

    def push(self, waiter: Waiter) -> Waiter | None:
        """Add a waiter and return the one dropped when the queue is full, if any.

        The newest waiter of the workspace with the most waiters is dropped.
        """
        self._sequence += 1
        waiter.sequence = self._sequence
        waiter.is_waiting = True
        self._class_of(waiter).push(waiter)
        self._by_key[waiter.key] = waiter
        heapq.heappush(self._expiries, (waiter.expires_ms, waiter.sequence, waiter))
        if len(self._by_key) <= self._limit:
            return None
        dropped = self._newest_of_heaviest()
        self.remove(dropped)
        return dropped

    def remove(self, waiter: Waiter) -> None:
        """Remove a waiter without serving it."""
        if waiter.is_waiting:
            self._unlink(waiter)
            self._class_of(waiter).remove(waiter)

    def serve_next(self, accept: Callable[[Waiter], bool]) -> Waiter | None:
        """Remove and return the next waiter for which `accept` is true, or None."""
        for queue in self._classes_by_precedence():
            for waiter in queue.heads():
                if accept(waiter):
                    self._update_urgent_streak(queue)
                    self._unlink(waiter)
                    queue.serve(waiter)
                    return waiter
        return None

    def pop_expired(self, now_ms: float) -> list[Waiter]:
        """Remove and return the waiters whose maximum wait has passed."""
        expired = []
        while self._expiries and self._expiries[0][0] <= now_ms:
            waiter = heapq.heappop(self._expiries)[2]
            if waiter.is_waiting:
                self.remove(waiter)
                expired.append(waiter)
        if not self._by_key:
            self._urgent.drop_idle_lines()
            self._routine.drop_idle_lines()
        return expired

    def pop_matching(self, condition: Callable[[Waiter], bool]) -> list[Waiter]:
        """Remove and return all waiters that meet a condition."""
        taken = [waiter for waiter in self._by_key.values() if condition(waiter)]
        for waiter in taken:
            self.remove(waiter)
        return taken

    def count_ahead(self, workspace: str, urgent: bool) -> int:
        """Return how many waiters are served before a new one."""
        urgent_ahead = self._urgent.count_ahead(workspace)
        if urgent:
            turns = urgent_ahead // _URGENT_PER_ROUTINE
            return urgent_ahead + min(turns, self._routine.count)
        routine_ahead = self._routine.count_ahead(workspace)
        urgent_turns = (routine_ahead + 1) * _URGENT_PER_ROUTINE
        return routine_ahead + min(self._urgent.count, urgent_turns)

    def _class_of(self, waiter: Waiter) -> _ClassQueue:
        return self._urgent if waiter.req.urgent else self._routine

    def _classes_by_precedence(self) -> tuple[_ClassQueue, ...]:
        if not self._urgent.count:
            return (self._routine,)
        if not self._routine.count:
            return (self._urgent,)
        if self._urgent_streak < _URGENT_PER_ROUTINE:
            return (self._urgent, self._routine)
        return (self._routine, self._urgent)

    def _update_urgent_streak(self, queue: _ClassQueue) -> None:
        waits = self._routine.count > 0
        is_urgent = queue is self._urgent
        self._urgent_streak = self._urgent_streak + 1 if is_urgent and waits else 0

    def _unlink(self, waiter: Waiter) -> None:
        waiter.is_waiting = False
        del self._by_key[waiter.key]
        if len(self._expiries) > 64 and len(self._expiries) > 2 * len(self._by_key):
            self._expiries = [item for item in self._expiries if item[2].is_waiting]
            heapq.heapify(self._expiries)

    def _newest_of_heaviest(self) -> Waiter:
        totals: dict[str, int] = {}
        for queue in (self._urgent, self._routine):
            for name, line in queue.lines.items():
                totals[name] = totals.get(name, 0) + line.count
        heaviest = max(totals, key=lambda name: totals[name])
        # A routine request is dropped first, since urgent ones must not wait for it.
        for queue in (self._routine, self._urgent):
            line = queue.lines.get(heaviest)
            newest = line.newest() if line is not None and line.count else None
            if newest is not None:
                return newest
        raise AssertionError("the workspace with the most waiters has none")
