"""Types that pass through the entry's request pipeline."""

from collections.abc import Callable, Iterator
from typing import NamedTuple, Protocol

from bergamotdrift.arbiter_messages import NO_PARTITION
from bergamotdrift.config.schema import (
    RouteSettings,
    ServiceKind,
    ServiceSettings,
)
from bergamotdrift.http_input import HeaderLine

ANONYMOUS = ""


class RequestBody(Protocol):
    """Read a request's body in pieces."""

    length: int | None

    def read(self, size: int) -> bytes:
        """Return up to `size` bytes, empty at the end of the body."""
        ...


class IncomingRequest(NamedTuple):
    """Hold a request as the caller sent it; `received_ms` by the entry's clock.

    `fields` holds the values of `headers` by lower-case name.
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
        """Return the value of the first header of a lower-case name, or None."""
        values = self.fields.get(name)
        return values[0] if values else None


class RoutedRequest(NamedTuple):
    """Hold a request with its workspace, route, routing key and deadline.

    `revision` is that of the settings under which it was admitted. `rank` is that of
    its workspace, None to use the route's.
    """

    req: IncomingRequest
    workspace: str
    route: RouteSettings
    service: ServiceSettings
    routing_key: str
    deadline_ms: float
    revision: int = 0
    rank: int | None = None

    @property
    def is_keyed(self) -> bool:
        """Tell whether the service is divided by key."""
        return self.service.kind is not ServiceKind.POOL


class Permit(NamedTuple):
    """Hold an arbiter's permission for one attempt at an upstream."""

    shard: str
    permit: str
    upstream: str
    address: str
    may_keep: bool
    partition: int = NO_PARTITION
    partition_epoch: int = 0


def _nothing() -> None:
    pass


class Reply(NamedTuple):
    """Hold the answer for the caller; its sender must call `on_close` in the end.

    `whole` is the body if it has been received, else None.
    """

    status: int
    headers: list[tuple[str, str]]
    chunks: Iterator[bytes]
    on_close: Callable[[], None] = _nothing
    whole: bytes | None = None
