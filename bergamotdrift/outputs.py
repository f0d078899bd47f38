"""Output messages of the decision code, for its caller to deliver."""

from typing import Any, NamedTuple

from bergamotdrift.arbiter_messages import RecordRow
from bergamotdrift.messages import Message
from bergamotdrift.takeover import EntryId

# Opaque value that the caller passes with a request to route the reply.
Ticket = Any


class Reply(NamedTuple):
    """Reply to the request that a ticket identifies."""

    ticket: Ticket
    message: Message


class Notice(NamedTuple):
    """Send a one-way message to an entry."""

    entry: EntryId
    message: Message


class Mirror(NamedTuple):
    """Replicate a record to the arbiter on another VM that is next to take over."""

    shard: str
    row: RecordRow


Output = Reply | Notice | Mirror
