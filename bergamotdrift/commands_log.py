"""Commands of the replicated control log and their outcomes."""

from enum import StrEnum
from typing import NamedTuple

from bergamotdrift.config.schema import SiteSettings
from bergamotdrift.exceptions import ErrorKind
from bergamotdrift.messages import (
    NodeRow,
    PartitionRef,
    RangeRow,
    UpstreamRow,
    message,
)


class Hold(StrEnum):
    """Tell what must run out before a vacant partition gets its next owner."""

    NONE = "none"
    PERMITS = "permits"
    LEASE = "lease"


class NodeIncarnation(NamedTuple):
    """Name one run of a node."""

    node: str
    incarnation: str


class UpstreamIncarnation(NamedTuple):
    """Name one run of an upstream."""

    service: str
    upstream: str
    incarnation: str


class PartitionAssignment(NamedTuple):
    """Give a partition under `epoch` to an upstream; empty leaves it vacant."""

    service: str
    partition: int
    epoch: int
    upstream: str
    incarnation: str


class ShardAssignment(NamedTuple):
    """Give a shard under `epoch` (0 if it has no row) to an arbiter."""

    shard: str
    epoch: int
    node: str


@message
class OpenTerm(NamedTuple):
    """Mark the start of a leader's term; earlier commands are applied before it."""

    leader: str
    term: int


@message
class ApplySettings(NamedTuple):
    """Replace the settings of `base_revision`; `at_ms` is Unix time.

    `mapping` is the JSON that the operator sent and that `settings` was made from.
    `revision` is the number that the operator chose, or 0 for the next one.
    """

    request: str
    author: str
    base_revision: int
    at_ms: int
    fingerprint: str
    settings: SiteSettings
    mapping: bytes
    revision: int = 0


@message
class SetEvacuation(NamedTuple):
    """Send nothing more to the upstreams of an availability zone, or take that back."""

    zone: str
    evacuated: bool


@message
class ReplaceRanges(NamedTuple):
    """Replace rows of a ranged service by others that cover the same keys.

    Nothing changes unless all `expected` rows are in place. Rows of `replacement`
    with an owner and epoch 0 get the log index as their epoch.
    """

    service: str
    expected: list[RangeRow]
    replacement: list[RangeRow]


@message
class RecordRefusal(NamedTuple):
    """Record a change that the leader's checks refused; `at_ms` is Unix time."""

    request: str
    author: str
    base_revision: int
    at_ms: int
    fingerprint: str
    kind: ErrorKind
    detail: str


@message
class RegisterNodes(NamedTuple):
    """Add nodes, or replace their rows."""

    rows: list[NodeRow]


@message
class ExpireNodes(NamedTuple):
    """Remove nodes whose session ended."""

    items: list[NodeIncarnation]


@message
class PutUpstreams(NamedTuple):
    """Add upstreams, or change the state of registered ones."""

    rows: list[UpstreamRow]


@message
class ExpireUpstreams(NamedTuple):
    """Remove upstreams whose lease ended and vacate their partitions."""

    items: list[UpstreamIncarnation]


@message
class ReleasePartitions(NamedTuple):
    """Start to take owned partitions from their upstreams."""

    items: list[PartitionRef]


@message
class AssignPartitions(NamedTuple):
    """Give vacant or released partitions to upstreams under the next epoch."""

    items: list[PartitionAssignment]


@message
class AssignShards(NamedTuple):
    """Give shards to arbiters under a higher epoch."""

    items: list[ShardAssignment]


@message
class RemoveShards(NamedTuple):
    """Remove shards that no settings or upstreams call for."""

    shards: list[str]


@message
class IsolateKey(NamedTuple):
    """Give a hot routing key a partition of its own, at its parent's upstream."""

    service: str
    key_hash: int


@message
class RestoreKey(NamedTuple):
    """Return a key to its parent once its own partition has been released."""

    service: str
    key_hash: int
    partition: int
    epoch: int


@message
class Applied(NamedTuple):
    """Tell how many rows a command changed."""

    changed: int


@message
class ChangeOutcome(NamedTuple):
    """Tell what became of a settings change; `kind` is empty if it was accepted.

    `revision` is the accepted one, or the current one at the time of a refusal,
    and `author` is who made that revision.
    """

    kind: str
    revision: int
    author: str
    detail: str = ""
