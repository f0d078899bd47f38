"""Commands of the replicated control log and their results."""

from enum import StrEnum
from typing import NamedTuple

from bergamotdrift.config.schema import SiteSettings
from bergamotdrift.ended_upstreams import EndedUpstream
from bergamotdrift.exceptions import ErrorKind
from bergamotdrift.messages import (
    NodeRow,
    PartitionRef,
    RangeRow,
    RolloutState,
    UpstreamRow,
    message,
)


class ReassignmentWait(StrEnum):
    """What must expire before a vacant partition can be assigned again."""

    NONE = "none"
    PERMITS = "permits"
    LEASE = "lease"


class NodeIncarnation(NamedTuple):
    """Identify one incarnation of a node."""

    node: str
    incarnation: str


class UpstreamIncarnation(NamedTuple):
    """Identify one incarnation of an upstream."""

    service: str
    upstream: str
    incarnation: str


class PartitionAssignment(NamedTuple):
    """Assign a partition at `epoch` to an upstream, or to none if that is empty."""

    service: str
    partition: int
    epoch: int
    upstream: str
    incarnation: str


class ShardAssignment(NamedTuple):
    """Assign a shard at `epoch` (0 if it has no row) to an arbiter."""

    shard: str
    epoch: int
    node: str


@message
class OpenTerm(NamedTuple):
    """Mark the start of a leader's term; all earlier commands are applied before it."""

    leader: str
    term: int


@message
class ApplySettings(NamedTuple):
    """Replace the settings at `base_revision`; `at_ms` is Unix time.

    `mapping` is the operator's JSON from which `settings` was built.
    `revision` is the number chosen by the operator, or 0 for the next number.
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
    """Start or end the evacuation of an availability zone.

    The upstreams of an evacuated zone get no traffic. `previous_order` is as in
    StartRollout.
    """

    zone: str
    evacuated: bool
    previous_order: int | None = None


@message
class ReplaceRanges(NamedTuple):
    """Replace ranges of a ranged service with others that cover the same keys.

    Has no effect unless all `expected` rows match the current ones. Rows of
    `replacement` with an owner and epoch 0 get the log index as their epoch.
    """

    service: str
    expected: list[RangeRow]
    replacement: list[RangeRow]


@message
class StartRollout(NamedTuple):
    """Start a rollout of a version of a service; `at_ms` is Unix time.

    It is refused unless the last order on the service that was accepted is the one at
    the log index `previous_order` (0 if there was none); None allows any.
    """

    service: str
    target: str
    duration_ms: int
    at_ms: int
    share_permille: int
    previous_order: int | None = None


@message
class StepRollout(NamedTuple):
    """Change the share or the state of a running rollout.

    Has no effect unless `number` is that of the service's running rollout.
    """

    service: str
    number: int
    state: RolloutState
    share_permille: int
    reason: str


@message
class RecordRefusal(NamedTuple):
    """Record a change that failed the leader's validation; `at_ms` is Unix time."""

    request: str
    author: str
    base_revision: int
    at_ms: int
    fingerprint: str
    kind: ErrorKind
    detail: str


@message
class RegisterNodes(NamedTuple):
    """Register nodes, or replace their rows."""

    rows: list[NodeRow]


@message
class ExpireNodes(NamedTuple):
    """Remove nodes whose session has ended."""

    items: list[NodeIncarnation]


@message
class PutUpstreams(NamedTuple):
    """Register upstreams, or update registered ones."""

    rows: list[UpstreamRow]


@message
class EndUpstreams(NamedTuple):
    """End processes of upstreams: they get no new requests and can't register again."""

    items: list[EndedUpstream]


@message
class ExpireUpstreams(NamedTuple):
    """Remove upstreams whose lease has ended and vacate their partitions."""

    items: list[UpstreamIncarnation]


@message
class ReleasePartitions(NamedTuple):
    """Start to release owned partitions from their upstreams."""

    items: list[PartitionRef]


@message
class AssignPartitions(NamedTuple):
    """Assign vacant or released partitions to upstreams at the next epoch."""

    items: list[PartitionAssignment]


@message
class AssignShards(NamedTuple):
    """Assign shards to arbiters at a higher epoch."""

    items: list[ShardAssignment]


@message
class RemoveShards(NamedTuple):
    """Remove shards that no settings or upstreams require."""

    shards: list[str]


@message
class IsolateKey(NamedTuple):
    """Move a hot routing key to its own partition, at its parent's upstream."""

    service: str
    key_hash: int


@message
class RestoreKey(NamedTuple):
    """Return an isolated key to its parent partition once its own is released."""

    service: str
    key_hash: int
    partition: int
    epoch: int


@message
class Applied(NamedTuple):
    """Report how many rows a command changed."""

    changed: int


class OrderResult(StrEnum):
    """List the results of an order to start a rollout."""

    STARTED = "started"
    REPEATED = "repeated"
    CONFLICT = "conflict"
    UNKNOWN_SERVICE = "unknown_service"
    SUPERSEDED = "superseded"


@message
class EvacuationOutcome(NamedTuple):
    """Report whether an order on a zone was accepted, and how many rows changed."""

    accepted: bool
    changed: int


@message
class RolloutOutcome(NamedTuple):
    """Report the result of an order to start a rollout."""

    result: OrderResult


@message
class ChangeOutcome(NamedTuple):
    """Report the outcome of a settings change; `kind` is empty if it was accepted.

    `revision` is the accepted revision, or the one current at the time of a refusal;
    `author` is the author of that revision.
    """

    kind: str
    revision: int
    author: str
    detail: str = ""
