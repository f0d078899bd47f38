"""Request bodies, buffered for retries or streamed."""

from collections.abc import Callable
from typing import NamedTuple

from bergamotdrift.byte_budget import HeldBytes, Pressure
from bergamotdrift.constants import RETRY_BODY_BYTES
from bergamotdrift.exceptions import ErrorKind, RequestError
from bergamotdrift.request import RequestBody


class BodySource(NamedTuple):
    """Provide a request body to attempts.

    `buffered` is the whole body, or its first part if `read` returns the rest.
    """

    buffered: bytes
    length: int | None
    read: Callable[[int], bytes] | None

    @property
    def can_be_resent(self) -> bool:
        """Return True if the whole body is buffered."""
        return self.read is None


class _LimitedReader:
    """Read a body up to a size limit."""

    def __init__(self, body: RequestBody, max_bytes: int):
        self._body = body
        self._remaining = max_bytes

    def read(self, size: int) -> bytes:
        """Return up to `size` bytes, or raise RequestError (BODY_TOO_LARGE)."""
        data = self._body.read(size)
        self._remaining -= len(data)
        if self._remaining < 0:
            raise RequestError(ErrorKind.BODY_TOO_LARGE)
        return data


def open_body(
    body: RequestBody, max_bytes: int, held: HeldBytes, needs_whole: bool = False
) -> BodySource:
    """Return a body, fully buffered if it is small and there is room for it.

    A small body that `needs_whole` is buffered without room too: it is compared with
    that of a repeated request. Raises RequestError and CallerGoneError.
    """
    if body.length is not None and body.length > RETRY_BODY_BYTES:
        return BodySource(b"", body.length, body.read)
    size = RETRY_BODY_BYTES if body.length is None else body.length
    if size and not held.take(size, Pressure.REQUEST_NOT_BUFFERED):
        if not needs_whole:
            return BodySource(b"", body.length, _LimitedReader(body, max_bytes).read)
        held.hold(size)
    reader = _LimitedReader(body, max_bytes)
    buffered = bytearray()
    while len(buffered) < RETRY_BODY_BYTES or body.length is not None:
        data = reader.read(max(1, RETRY_BODY_BYTES - len(buffered)))
        if not data:
            return BodySource(bytes(buffered), len(buffered), None)
        buffered += data
    return BodySource(bytes(buffered), None, reader.read)
