"""Request and reply types of the entry's pipeline."""

import sys
from collections.abc import Callable, Iterator
from typing import NamedTuple, Protocol

from bergamotdrift.arbiter_messages import NO_PARTITION
from bergamotdrift.byte_budget import ByteBudget, HeldBytes
from bergamotdrift.config.schema import (
    RouteSettings,
    ServiceKind,
    ServiceSettings,
)
from bergamotdrift.http_input import HeaderLine

ANONYMOUS = ""
_UNBOUNDED = ByteBudget(sys.maxsize, sys.maxsize).open()


class RequestBody(Protocol):
    """Read a request body in chunks."""

    length: int | None

    def read(self, size: int) -> bytes:
        """Return up to `size` bytes, empty at the end of the body."""
        ...


class IncomingRequest(NamedTuple):
    """Represent a request as received from the caller.

    `received_ms` is by the entry's clock. `fields` maps lower-case header names to
    their values.
    """

    request_id: str
    method: str
    target: str
    headers: list[HeaderLine]
    fields: dict[str, list[str]]
    remote: str
    received_ms: float
    body: RequestBody

    def header(self, name: str) -> str | None:
        """Return the first value of a header by its lower-case name, or None."""
        values = self.fields.get(name)
        return values[0] if values else None


class RoutedRequest(NamedTuple):
    """Represent a request with its workspace, route, routing key and deadline.

    `revision` is the settings revision under which it was admitted. `rank` is the
    priority of its workspace, or None to use the route's. `held` counts its buffers.
    """

    req: IncomingRequest
    workspace: str
    route: RouteSettings
    service: ServiceSettings
    routing_key: str
    deadline_ms: float
    revision: int = 0
    rank: int | None = None
    held: HeldBytes = _UNBOUNDED

    @property
    def is_keyed(self) -> bool:
        """Return True if the service routes requests by key."""
        return self.service.kind is not ServiceKind.POOL


class Permit(NamedTuple):
    """Represent an arbiter's permission for one attempt at an upstream."""

    shard: str
    permit: str
    upstream: str
    address: str
    may_keep: bool
    partition: int = NO_PARTITION
    partition_epoch: int = 0


def _do_nothing() -> None:
    pass


class Reply(NamedTuple):
    """Represent the reply to the caller; its sender must call `on_close` at the end.

    `buffered_body` is the body if it has been fully received, else None.
    """

    status: int
    headers: list[tuple[str, str]]
    chunks: Iterator[bytes]
    on_close: Callable[[], None] = _do_nothing
    buffered_body: bytes | None = None
