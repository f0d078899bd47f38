"""Replicated record of upstream processes that have ended or announced their end."""

from typing import Any, NamedTuple

from bergamotdrift.messages import UNSTATED_BORN_MS

MAX_ENDED_UPSTREAMS = 10_000


class EndedUpstream(NamedTuple):
    """Identify a process that ends, and with it all earlier ones of the upstream.

    `incarnation` may be empty if the start time `born_ms` is known, and `born_ms` 0 if
    the upstream announces none.
    """

    upstream: str
    incarnation: str
    born_ms: int

    def includes(self, incarnation: str, born_ms: int) -> bool:
        """Return whether a process is this one or an earlier one."""
        if 0 < born_ms <= self.born_ms:
            return True
        return bool(incarnation) and incarnation == self.incarnation


class EndedUpstreams:
    """Recognise the announcements of ended processes, however late they arrive.

    A process that states no start time is not recorded, as the next one under its name
    could not be told from it.
    """

    def __init__(self) -> None:
        self._last: dict[str, EndedUpstream] = {}

    def includes(self, upstream: str, incarnation: str, born_ms: int) -> bool:
        """Return whether a process is recorded as ended."""
        last = self._last.get(upstream)
        return last is not None and last.includes(incarnation, born_ms)

    def lacks(self, item: EndedUpstream) -> bool:
        """Return whether the end of a process is still to be recorded."""
        if item.born_ms == UNSTATED_BORN_MS:
            return False
        return not self.includes(item.upstream, item.incarnation, item.born_ms)

    def add(self, item: EndedUpstream) -> bool:
        """Record the end of a process; return whether it was not recorded yet."""
        if not self.lacks(item):
            return False
        self._last.pop(item.upstream, None)
        self._last[item.upstream] = item
        if len(self._last) > MAX_ENDED_UPSTREAMS:
            del self._last[next(iter(self._last))]
        return True

    def dump(self) -> list[Any]:
        """Return the content for a snapshot."""
        return list(self._last.values())

    def load(self, rows: list[Any]) -> None:
        """Replace the content with that of a snapshot."""
        items = (EndedUpstream(*row) for row in rows)
        self._last = {item.upstream: item for item in items}
