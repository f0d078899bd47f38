"""Hash functions whose results must be the same in every process."""

import hashlib
from collections.abc import Iterable

_DIGEST_BYTES = 8


def _hash64(data: bytes) -> int:
    return int.from_bytes(hashlib.blake2b(data, digest_size=_DIGEST_BYTES).digest())


def key_hash(routing_key: str) -> int:
    """Return the 64-bit hash of a routing key."""
    return _hash64(routing_key.encode())


def partition_of(routing_key: str, partitions: int) -> int:
    """Return the number of the hash partition of a routing key."""
    return partition_of_hash(key_hash(routing_key), partitions)


def partition_of_hash(hash64: int, partitions: int) -> int:
    """Return the number of the hash partition of a 64-bit routing key hash."""
    return hash64 * partitions >> (8 * _DIGEST_BYTES)


def rendezvous(item: str, members: Iterable[str]) -> list[str]:
    """Return the members by descending rendezvous hashing weight for an item."""
    return sorted(
        members,
        key=lambda member: (_hash64(f"{item}\0{member}".encode()), member),
        reverse=True,
    )


def key_digest(secret: str) -> str:
    """Return the digest that represents a workspace key in settings and logs."""
    return "sha256:" + hashlib.sha256(secret.encode()).hexdigest()
