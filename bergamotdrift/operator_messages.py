"""Messages that forward operator calls from any control replica to the leader."""

from enum import StrEnum
from typing import NamedTuple

from bergamotdrift.messages import message


class OperatorAction(StrEnum):
    """Operations of the operator API."""

    APPLY = "apply"
    SETTINGS = "settings"
    STATUS = "status"
    AUDIT = "audit"


@message
class OperatorCall(NamedTuple):
    """Forward a call; `body` is the JSON of APPLY, `after` and `limit` page AUDIT."""

    action: OperatorAction
    body: bytes = b""
    after: int = 0
    limit: int = 0


@message
class OperatorAnswer(NamedTuple):
    """Answer a call with an HTTP status and a JSON body."""

    status: int
    body: bytes


@message
class LeaderCall(NamedTuple):
    """Forward a call of another API from any control replica to the leader.

    `previous_order` is that of an order's command.
    """

    action: str
    subject: str = ""
    body: bytes = b""
    previous_order: int | None = None
