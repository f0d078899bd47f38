"""Messages between entries and arbiters."""

from enum import StrEnum
from typing import NamedTuple

from bergamotdrift.exceptions import ErrorKind
from bergamotdrift.messages import message


class AttemptOutcome(StrEnum):
    """List the outcomes of an attempt under a permit."""

    ANSWERED = "answered"
    SERVER_ERROR = "server_error"
    SHED = "shed"
    FENCED = "fenced"
    CONNECT_FAILED = "connect_failed"
    TIMEOUT = "timeout"
    BROKEN = "broken"
    CANCELLED = "cancelled"


NO_PARTITION = -1


@message
class PermitRequest(NamedTuple):
    """Request a permit; `deadline_ms` is the time left, `partition` is -1 in a pool."""

    request: str
    attempt: int
    shard: str
    shard_epoch: int
    partition: int
    partition_epoch: int
    key_hash: int
    workspace: str
    urgent: bool
    deadline_ms: int
    excluded: list[str] = []


@message
class PermitGrant(NamedTuple):
    """Grant one attempt at an upstream; `may_keep` permits keeping its connection."""

    permit: str
    upstream: str
    address: str
    partition_epoch: int
    may_keep: bool


@message
class PermitRefusal(NamedTuple):
    """Refuse a permit; no attempt may be made."""

    kind: ErrorKind
    detail: str = ""
    retry_after_s: float | None = None


@message
class PermitRelease(NamedTuple):
    """Release a permit; `latency_ms` runs from sending to the response's last byte."""

    shard: str
    permit: str
    outcome: AttemptOutcome
    latency_ms: float
    kept: bool


@message
class PermitCancel(NamedTuple):
    """Cancel a permit request, whether it is queued or already granted."""

    shard: str
    request: str
    attempt: int


@message
class ConnectionDropped(NamedTuple):
    """Report that a kept idle connection to an upstream was closed."""

    shard: str
    upstream: str
    connections: int


@message
class TokenRequest(NamedTuple):
    """Request rate tokens of a workspace."""

    workspace: str
    shard_epoch: int
    wanted: int


@message
class TokenGrant(NamedTuple):
    """Lease tokens for `lease_ms`; the next is available after `retry_after_ms`."""

    tokens: int
    lease_ms: int
    retry_after_ms: int


@message
class TokenReturn(NamedTuple):
    """Return unused tokens."""

    workspace: str
    shard_epoch: int
    tokens: int


class RecordState(StrEnum):
    """List the states of an idempotency record."""

    FIRST = "first"
    RUNNING = "running"
    DONE = "done"
    UNKNOWN = "unknown"
    MISMATCH = "mismatch"


class Header(NamedTuple):
    """Hold one HTTP header."""

    name: str
    value: str


class SavedAnswer(NamedTuple):
    """Hold a small response that can be replayed."""

    status: int
    headers: list[Header]
    body: bytes


@message
class RecordBegin(NamedTuple):
    """Claim an idempotency key; waits up to `wait_ms` while another request runs."""

    workspace: str
    shard_epoch: int
    key_digest: str
    fingerprint: str
    request: str
    wait_ms: int


@message
class RecordReply(NamedTuple):
    """Report whether the request is the first for its key, or how the first ended."""

    state: RecordState
    answer: SavedAnswer | None = None


@message
class RecordEnd(NamedTuple):
    """End a claim: with a response, as unknown, or as not executed (`forget`)."""

    workspace: str
    key_digest: str
    request: str
    forget: bool
    answer: SavedAnswer | None


class RecordRow(NamedTuple):
    """Hold one idempotency record for transfer between arbiters."""

    workspace: str
    key_digest: str
    fingerprint: str
    request: str
    state: RecordState
    age_ms: int
    answer: SavedAnswer | None


@message
class RecordMirror(NamedTuple):
    """Replicate a record to an arbiter on another VM."""

    row: RecordRow


class RunningPermit(NamedTuple):
    """Report a permit that an entry still uses."""

    permit: str
    upstream: str
    partition: int
    partition_epoch: int
    workspace: str


class KeptConnections(NamedTuple):
    """Report how many idle connections an entry keeps to an upstream."""

    upstream: str
    connections: int


class TokensSpent(NamedTuple):
    """Report the rate tokens used within a window, and those still held."""

    window_ms: int
    used: int
    held: int


@message
class Resume(NamedTuple):
    """Report to a shard's arbiter all that this entry still holds of the shard."""

    shard: str
    shard_epoch: int
    permits: list[RunningPermit]
    kept: list[KeptConnections]
    records: list[RecordRow]
    tokens: TokensSpent | None = None


@message
class Revoke(NamedTuple):
    """Order entries to cancel running attempts at an upstream of a shard."""

    shard: str
    upstream: str
