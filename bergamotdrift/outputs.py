"""Messages that a pure decision hands to its driver for delivery."""

from typing import Any, NamedTuple

from bergamotdrift.arbiter_messages import RecordRow
from bergamotdrift.messages import Message
from bergamotdrift.takeover import EntryId

# What a driver passes in with a request, to find the asker again.
Ticket = Any


class Reply(NamedTuple):
    """Answer the request that came with a ticket."""

    ticket: Ticket
    message: Message


class Notice(NamedTuple):
    """Send a one-way message to an entry."""

    entry: EntryId
    message: Message


class Mirror(NamedTuple):
    """Store a record at the arbiter on another VM that would take the shard over."""

    shard: str
    row: RecordRow


Output = Reply | Notice | Mirror
