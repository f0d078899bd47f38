"""Queue of messages that arrived before the feed named their shard or sender."""

from collections import Counter, deque
from collections.abc import Callable
from typing import NamedTuple

from bergamotdrift.arbiter_messages import (
    PermitCancel,
    PermitRequest,
    RecordBegin,
    Resume,
    TokenRequest,
)
from bergamotdrift.messages import Message
from bergamotdrift.outputs import Ticket
from bergamotdrift.takeover import EntryId

# Bound on how far an entry's feed may be ahead of the arbiter's.
EARLY_WAIT_MS = 1000.0
_REQUESTS_MAX = 4096
_MESSAGES_MAX = 65_536
_REQUEST_TYPES = (PermitRequest, TokenRequest, RecordBegin)


class EarlyMessage(NamedTuple):
    """Hold a message that waits for the feed, with its shard and sender."""

    entry: EntryId
    shard: str
    message: Message
    ticket: Ticket
    expires_ms: float


class EarlyMessages:
    """Hold messages in order of arrival.

    Requests are bounded in number and time. A report (`Resume`) and the messages after
    it are held until the stream closes, since the entry doesn't repeat the report and
    the takeover waits for it. Other messages are dropped, as a later report covers
    them.
    """

    def __init__(self) -> None:
        self._held: deque[EarlyMessage] = deque()
        self._counts: Counter[tuple[EntryId, str]] = Counter()
        self._requests = 0
        self._next_expiry_ms = float("inf")

    def __len__(self) -> int:
        return len(self._held)

    def has_any(self, entry: EntryId, shard: str) -> bool:
        """Return whether messages are held, so that later ones must wait in order."""
        return bool(self._held) and (entry, shard) in self._counts

    def hold(self, item: EarlyMessage) -> bool:
        """Hold or drop a message; return False if a request exceeds the limit."""
        if isinstance(item.message, _REQUEST_TYPES):
            if self._requests >= _REQUESTS_MAX:
                return False
        elif isinstance(item.message, PermitCancel):
            self._cancel(item.entry, item.message)
            return True
        elif isinstance(item.message, Resume):
            self._remove_if(lambda held: _is_superseded(held, item))
        elif not self.has_any(item.entry, item.shard):
            return True
        if len(self._held) < _MESSAGES_MAX:
            self._append(item)
        return True

    def take_all(self) -> list[EarlyMessage]:
        """Remove and return all messages, to be handled again."""
        items = list(self._held)
        self._replace([])
        return items

    def take_expired(self, now_ms: float) -> list[EarlyMessage]:
        """Remove and return the requests that have expired."""
        if now_ms < self._next_expiry_ms:
            return []
        expired = [item for item in self._held if _has_expired(item, now_ms)]
        self._remove_if(lambda item: _has_expired(item, now_ms))
        return expired

    def remove_entry(self, entry: EntryId) -> None:
        """Remove the messages of an entry whose stream was lost."""
        if self._held:
            self._remove_if(lambda item: item.entry == entry)

    def _cancel(self, entry: EntryId, msg: PermitCancel) -> None:
        self._remove_if(
            lambda item: (
                item.entry == entry
                and isinstance(item.message, PermitRequest)
                and item.message.request == msg.request
                and item.message.attempt == msg.attempt
            )
        )

    def _remove_if(self, condition: Callable[[EarlyMessage], bool]) -> None:
        self._replace([item for item in self._held if not condition(item)])

    def _replace(self, items: list[EarlyMessage]) -> None:
        self._held.clear()
        self._counts.clear()
        self._requests = 0
        self._next_expiry_ms = float("inf")
        for item in items:
            self._append(item)

    def _append(self, item: EarlyMessage) -> None:
        self._held.append(item)
        self._counts[item.entry, item.shard] += 1
        if isinstance(item.message, _REQUEST_TYPES):
            self._requests += 1
            self._next_expiry_ms = min(self._next_expiry_ms, item.expires_ms)


def _is_superseded(held: EarlyMessage, report: EarlyMessage) -> bool:
    if held.entry != report.entry or held.shard != report.shard:
        return False
    return not isinstance(held.message, _REQUEST_TYPES)


def _has_expired(item: EarlyMessage, now_ms: float) -> bool:
    return isinstance(item.message, _REQUEST_TYPES) and item.expires_ms <= now_ms
