"""Checksummed file records, and detection of a torn write at the end of a file."""

import struct
import zlib
from typing import NamedTuple

from bergamotdrift.exceptions import StorageError

_MAGIC = b"\xb7\x5d"
_PREFIX = struct.Struct(">2sQII")
_CHECKSUM = struct.Struct(">I")
HEADER_BYTES = _PREFIX.size + _CHECKSUM.size


class Record(NamedTuple):
    """Hold one record of a file; `end` is the offset after it."""

    payload: bytes
    end: int


class Scan(NamedTuple):
    """Hold the records of a file, and the offset after the last complete one."""

    payloads: list[bytes]
    end: int


class _Header(NamedTuple):
    sequence: int
    length: int
    checksum: int


def frame(sequence: int, payload: bytes) -> bytes:
    """Encode a payload as a record with its sequence number in the file."""
    prefix = _PREFIX.pack(_MAGIC, sequence, len(payload), zlib.crc32(payload))
    return prefix + _CHECKSUM.pack(zlib.crc32(prefix)) + payload


def scan(data: bytes, name: str) -> Scan:
    """Return all complete records, without a torn last one.

    Raises StorageError for corruption before the last record.
    """
    payloads: list[bytes] = []
    offset = 0
    while offset < len(data):
        header = _header_at(data, offset, len(payloads))
        if header is None:
            _require_torn_tail(data, offset + 1, len(payloads), name)
            break
        start = offset + HEADER_BYTES
        end = start + header.length
        if end > len(data):
            break
        payload = data[start:end]
        if zlib.crc32(payload) != header.checksum:
            if end < len(data):
                raise StorageError(f"{name} has a corrupt record at byte {offset}")
            break
        payloads.append(payload)
        offset = end
    return Scan(payloads, offset)


def _header_at(data: bytes, offset: int, min_sequence: int) -> _Header | None:
    """Return the header at an offset, or None if it is invalid.

    It is valid if it is complete, its checksum matches, and its sequence number is at
    least `min_sequence`.
    """
    end = offset + HEADER_BYTES
    if end > len(data):
        return None
    prefix = data[offset : offset + _PREFIX.size]
    (checksum,) = _CHECKSUM.unpack_from(data, offset + _PREFIX.size)
    if zlib.crc32(prefix) != checksum:
        return None
    magic, sequence, length, payload_checksum = _PREFIX.unpack(prefix)
    if magic != _MAGIC or sequence < min_sequence:
        return None
    return _Header(sequence, length, payload_checksum)


def _require_torn_tail(data: bytes, offset: int, count: int, name: str) -> None:
    """Raise StorageError if a later record exists, so that this one is not torn."""
    position = data.find(_MAGIC, offset)
    while position >= 0:
        if _header_at(data, position, count + 1) is not None:
            raise StorageError(f"{name} has a corrupt record before byte {position}")
        position = data.find(_MAGIC, position + 1)
