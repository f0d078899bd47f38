"""Metrics of the streams between the system's processes."""

from enum import StrEnum
from functools import lru_cache

from prometheus_client import Counter


class PeerZone(StrEnum):
    """Tell whether the peer of a stream is in the same availability zone."""

    OWN = "own"
    OTHER = "other"
    # Before the hello, or if a side states no zone.
    UNKNOWN = "unknown"


SENT_BYTES = Counter(
    "bergamotdrift_stream_sent_bytes",
    "Bytes of frames to other processes by message, and by whether the peer is in the "
    "same availability zone.",
    ("message", "zone"),
)


@lru_cache(maxsize=256)
def _sent_bytes(message: str, zone: PeerZone) -> Counter:
    return SENT_BYTES.labels(message, zone.value)


def count_sent(message: str, zone: PeerZone, size: int) -> None:
    """Count the bytes of a frame that was sent."""
    _sent_bytes(message, zone).inc(size)
