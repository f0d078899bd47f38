"""Count of connections from all entries to one upstream."""

from typing import NamedTuple

from bergamotdrift.config.schema import ServiceSettings
from bergamotdrift.takeover import EntryId


class ConnectionUse(NamedTuple):
    """Whether a permit reuses an idle connection, and may keep it open afterwards."""

    may_keep: bool
    reuses: bool


NEW_CONNECTION = ConnectionUse(False, False)


class ConnectionCount:
    """Keep idle connections and in-flight requests within the upstream's limit.

    Idle connections leave room for all slots, so they never delay a request. An entry
    is assumed to reuse an idle connection whenever it has one. A message that crosses
    a grant on the wire may leave the count too high, never too low; the next grant to
    that entry corrects it.
    """

    __slots__ = ("_kept", "_kept_total", "_limit", "_promised", "_slots")

    def __init__(self, service: ServiceSettings):
        self._kept: dict[EntryId, int] = {}
        self._kept_total = 0
        self._promised = 0
        self.configure(service)

    @property
    def kept(self) -> int:
        """Return the number of idle connections over all entries."""
        return self._kept_total

    def configure(self, service: ServiceSettings) -> None:
        """Apply changed limits to later requests."""
        # One connection is reserved for the arbiter's load polls.
        self._limit = max(1, service.connections - 1)
        self._slots = service.slots

    def can_open(self, entry: EntryId, in_flight: int) -> bool:
        """Return whether one more request of an entry fits into the limit."""
        if self._kept.get(entry, 0) > 0:
            return True
        return self._kept_total + in_flight < self._limit

    def start_request(self, entry: EntryId) -> ConnectionUse:
        """Count a request as started."""
        reuses = self._kept.get(entry, 0) > 0
        self._add(entry, -1)
        spare = self._limit - self._slots - self._kept_total - self._promised
        may_keep = spare > 0 and self._kept.get(entry, 0) < self._slots
        self._promised += may_keep
        return ConnectionUse(may_keep, reuses)

    def adopt_request(self, use: ConnectionUse) -> None:
        """Count a running request whose connection may be kept."""
        self._promised += use.may_keep

    def end_request(self, entry: EntryId, use: ConnectionUse, kept: bool) -> None:
        """Count a request as ended, with its connection kept or closed."""
        self._promised -= use.may_keep
        if kept:
            self._add(entry, 1)

    def remove_idle(self, entry: EntryId, connections: int) -> None:
        """Count idle connections of an entry as closed."""
        self._add(entry, -max(0, connections))

    def set_idle(self, entry: EntryId, connections: int) -> None:
        """Set the number of idle connections that an entry reports."""
        self.clear_idle(entry)
        self._add(entry, max(0, connections))

    def clear_idle(self, entry: EntryId) -> None:
        """Count all idle connections of an entry as closed."""
        self._kept_total -= self._kept.pop(entry, 0)

    def _add(self, entry: EntryId, change: int) -> None:
        before = self._kept.get(entry, 0)
        after = max(0, before + change)
        if after:
            self._kept[entry] = after
        else:
            self._kept.pop(entry, None)
        self._kept_total += after - before
