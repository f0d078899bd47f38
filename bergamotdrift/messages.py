"""Messages between the processes, with encoding, decoding and validation."""

from enum import IntEnum, StrEnum
from typing import Any, NamedTuple, TypeVar

import msgpack
import msgspec

from bergamotdrift.config.schema import SiteSettings
from bergamotdrift.constants import STREAM_MAX_FRAME_BYTES
from bergamotdrift.exceptions import ErrorKind, ProtocolError
from bergamotdrift.settings_patch import SettingsPatch

Message = Any
_M = TypeVar("_M", bound=type)
_REGISTRY: dict[str, type] = {}


def message(cls: _M) -> _M:
    """Register a `NamedTuple` class as a message under its class name."""
    assert cls.__name__ not in _REGISTRY, cls.__name__
    _REGISTRY[cls.__name__] = cls
    return cls


def pack_body(msg: Message) -> list[Any]:
    """Return a message as a list of its name and fields, for msgpack."""
    return [type(msg).__name__, msg]


def unpack_body(body: Any) -> Message:
    """Return the typed message for a decoded body, or raise ProtocolError."""
    if not isinstance(body, list) or len(body) != 2 or not isinstance(body[0], str):
        raise ProtocolError("a message must be a name and a list of fields")
    cls = _REGISTRY.get(body[0])
    if cls is None:
        raise ProtocolError(f"unknown message {body[0][:64]!r}")
    try:
        return msgspec.convert(body[1], cls)
    except (msgspec.ValidationError, TypeError, ValueError) as exc:
        raise ProtocolError(f"invalid {body[0]}: {exc}") from exc


def encode(msg: Message) -> bytes:
    """Return a message as msgpack bytes."""
    return msgpack.packb(pack_body(msg))


def encode_unnamed(value: Any) -> bytes:
    """Return a value as msgpack bytes without its type name."""
    return msgpack.packb(value)


def decode(data: bytes) -> Message:
    """Return the message in msgpack bytes, or raise ProtocolError."""
    if len(data) > STREAM_MAX_FRAME_BYTES:
        raise ProtocolError("the message is too large")
    try:
        body = msgpack.unpackb(data)
    except (ValueError, msgpack.UnpackException) as exc:
        raise ProtocolError(f"invalid msgpack: {exc}") from exc
    return unpack_body(body)


# Streams


class Role(StrEnum):
    """Identify the programs that open streams."""

    ENTRY = "entry"
    ARBITER = "arbiter"
    CONTROL = "control"


class FrameFlag(IntEnum):
    """Distinguish one-way frames, requests and replies."""

    ONE_WAY = 0
    REQUEST = 1
    REPLY = 2


@message
class Hello(NamedTuple):
    """Open a stream: cluster, sender, its incarnation and availability zone."""

    cluster: str
    node: str
    role: Role
    incarnation: str
    zone: str = ""


@message
class Heartbeat(NamedTuple):
    """Keep an idle stream alive."""


@message
class Failure(NamedTuple):
    """Report that a request failed."""

    kind: ErrorKind
    detail: str = ""


@message
class Done(NamedTuple):
    """Acknowledge a request that has no other reply."""


# Tables that control replicates to entries and arbiters


class UpstreamState(StrEnum):
    """List the states that an upstream may announce."""

    COLD = "cold"
    READY = "ready"
    LEAVING = "leaving"


class PartitionState(StrEnum):
    """List the ownership states of a partition or key range."""

    VACANT = "vacant"
    OWNED = "owned"
    RELEASING = "releasing"


class NodeRow(NamedTuple):
    """Describe a live entry or arbiter; `address` is its stream address, if any."""

    node: str
    role: Role
    incarnation: str
    vm: str
    zone: str
    address: str


# Start time of an upstream that states none: its processes can't be told apart.
UNSTATED_BORN_MS = 1


class UpstreamRow(NamedTuple):
    """Describe a live upstream; `address` is the host:port of its HTTP server.

    `slots` is 0 if the service's settings define them. `born_ms` is the Unix time of
    its start in milliseconds, or 0 if it did not announce one.
    """

    service: str
    upstream: str
    address: str
    zone: str
    incarnation: str
    state: UpstreamState
    slots: int = 0
    born_ms: int = 0
    # Requests per second that the upstream takes from all entries together, as it
    # states in its answers, or None if it states no limit.
    limit_per_s: float | None = None
    # Version of the software that the upstream runs, empty if it states none.
    version: str = ""


class PartitionRow(NamedTuple):
    """Describe the owner of a partition; `upstream` is empty while it is vacant."""

    service: str
    partition: int
    upstream: str
    epoch: int
    state: PartitionState


class ShardRow(NamedTuple):
    """Describe the arbiter of a shard; `node` is empty while none is assigned."""

    shard: str
    node: str
    epoch: int


class IsolatedKeyRow(NamedTuple):
    """Map the hash of a hot routing key to its own partition."""

    service: str
    key_hash: int
    partition: int


# The highest numeric key of a service that is sharded by key range.
LAST_KEY = 65535


class RangeRow(NamedTuple):
    """Describe the owner of the keys `first` to `last`, both inclusive.

    `handover` is the state token of the previous holder, empty if there is none.
    """

    service: str
    first: int
    last: int
    upstream: str
    incarnation: str
    epoch: int
    state: PartitionState
    handover: str = ""


class RolloutState(StrEnum):
    """List the states of a rollout of a version."""

    RUNNING = "running"
    COMPLETED = "completed"
    ROLLED_BACK = "rolled_back"


FULL_SHARE_PERMILLE = 1000


class RolloutRow(NamedTuple):
    """Describe the last rollout of a service.

    `number` is the log index of its order. `started_ms` is Unix time. The upstreams of
    version `target` get at most `share_permille` of the requests of a pool. The share
    is `FULL_SHARE_PERMILLE` once the other versions get no further requests.
    """

    service: str
    number: int
    target: str
    state: RolloutState
    old_versions: list[str]
    started_ms: int
    duration_ms: int
    share_permille: int


class RemovedRow(NamedTuple):
    """Identify a deleted row; `key` contains its key fields as text."""

    table: str
    key: tuple[str, ...]


@message
class FeedUpdate(NamedTuple):
    """Send rows changed after `from_index` up to `to_index`; `full` replaces all."""

    from_index: int
    to_index: int
    full: bool
    revision: int
    settings: SiteSettings | None
    nodes: list[NodeRow]
    upstreams: list[UpstreamRow]
    partitions: list[PartitionRow]
    shards: list[ShardRow]
    isolated: list[IsolatedKeyRow]
    removed: list[RemovedRow]
    ranges: list[RangeRow] = []
    evacuated: list[str] | None = None
    # Replaces `settings` where the receiver is known to have an earlier revision.
    patch: SettingsPatch | None = None
    rollouts: list[RolloutRow] = []


# Nodes and control


class RateNeed(NamedTuple):
    """Request rate tokens of a workspace and return unused ones.

    `held` counts the tokens that the entry keeps, without `wanted` and `returned`.
    """

    workspace: str
    wanted: int
    returned: int = 0
    held: int = 0


class RateLot(NamedTuple):
    """Lease rate tokens of a workspace; `wait_ms` is the time until one is available.

    An entry that then can't reach a leader may use `standby_per_s` tokens per second
    for a limited time.
    """

    workspace: str
    tokens: int
    lease_ms: int
    wait_ms: int
    standby_per_s: float = 0.0


class PaceNeed(NamedTuple):
    """Request tokens for requests to a cold upstream, and return all unused ones.

    The requests wait for `wait_ms` at most; `rank` is that of the most urgent one.
    `sound`, `shed`, `failed` and `late` count the responses since the last need, and
    `latency_percent` is the mean latency of the first and last of these, relative to
    that of their routes. Needs are sent in the order of `asked_ms`, the time at the
    entry's clock.
    """

    service: str
    upstream: str
    wanted: int
    returned: int = 0
    wait_ms: int = 0
    sound: int = 0
    shed: int = 0
    failed: int = 0
    late: int = 0
    latency_percent: int = 0
    rank: int = 0
    asked_ms: int = 0


class PaceLot(NamedTuple):
    """Lease tokens for requests to a cold upstream.

    `wait_ms` is the time until the next one is available, 0 if none is missing.
    """

    service: str
    upstream: str
    tokens: int
    lease_ms: int
    wait_ms: int = 0


class UpstreamSpeed(NamedTuple):
    """Report how long a request occupies a slot of an upstream, in milliseconds."""

    service: str
    upstream: str
    busy_ms: float


class UpstreamReport(NamedTuple):
    """Report what an upstream stated to an entry.

    `limit_per_s` is the number of requests per second that it takes, or None. `leaves`
    is True if it is about to stop.
    """

    service: str
    upstream: str
    incarnation: str
    limit_per_s: float | None
    leaves: bool = False


class KeyLoad(NamedTuple):
    """Count the requests for a numeric key since the last report."""

    service: str
    key: int
    requests: int


class VersionResult(NamedTuple):
    """Count an entry's requests to upstreams of a version on a route in a rollout.

    `rollout` is the number of the rollout. All counts but `running` include everything
    since the entry learned of the rollout, so that a lost report loses nothing.
    `failures` are server errors and `lost` are attempts without a whole response.
    `latencies` counts responses by latency, see `version_results.py`.
    """

    service: str
    rollout: int
    version: str
    route: str
    running: int = 0
    sent: int = 0
    failures: int = 0
    lost: int = 0
    latencies: list[int] = []


@message
class Ping(NamedTuple):
    """Renew a node's session; `unreachable` is a leader that does not respond to it."""

    row: NodeRow
    feed_index: int
    unreachable: str = ""
    rates: list[RateNeed] = []
    loads: list[KeyLoad] = []
    speeds: list[UpstreamSpeed] = []
    reports: list[UpstreamReport] = []
    paces: list[PaceNeed] = []
    version_results: list[VersionResult] = []


@message
class Pong(NamedTuple):
    """Confirm a session for `ttl_ms`, counted from before the ping was sent."""

    leader: str
    term: int
    feed_index: int
    ttl_ms: int
    rates: list[RateLot] = []
    paces: list[PaceLot] = []


@message
class PaceLots(NamedTuple):
    """Lease tokens ahead of the pong, which waits for the next push of the feed.

    `asked_ms` is that of the needs, at the entry's clock.
    """

    items: list[PaceLot]
    asked_ms: int


class UpstreamOverload(NamedTuple):
    """State which part of the requests for its keys an upstream can serve.

    `hot_key` is a key with a large part of these requests, or -1.
    """

    service: str
    upstream: str
    admitted_permille: int
    hot_key: int = -1


@message
class Overloads(NamedTuple):
    """Tell an entry which upstreams are overloaded; it replaces the last message.

    `salt` changes from time to time, and with it which callers are refused.
    """

    items: list[UpstreamOverload]
    salt: int = 0


@message
class NotLeader(NamedTuple):
    """Redirect to the leader's stream address, empty if unknown."""

    hint: str


@message
class Farewell(NamedTuple):
    """End a node's session at a graceful shutdown."""

    node: str
    incarnation: str


class PartitionEpoch(NamedTuple):
    """Identify a partition at an epoch; the service is known from the context."""

    partition: int
    epoch: int


class PartitionRef(NamedTuple):
    """Identify a partition of a service at an epoch."""

    service: str
    partition: int
    epoch: int


class HeldRange(NamedTuple):
    """State that an upstream holds the keys `first` to `last`, or still works on them.

    `epoch` is that of the grant.
    """

    first: int
    last: int
    epoch: int


class ReleasedRange(NamedTuple):
    """State that an upstream released the keys `first` to `last`.

    `handover` is the state token for their next holder.
    """

    first: int
    last: int
    handover: str


class Announcement(NamedTuple):
    """Describe an upstream as it announces itself."""

    service: str
    upstream: str
    address: str
    zone: str
    incarnation: str
    state: UpstreamState
    released: list[PartitionEpoch] = []
    slots: int = 0
    born_ms: int = 0
    # Increases with each announcement of a process, so that a late one is detected.
    sequence: int = 0
    cold_ms: int = 0
    # Key ranges, if they are granted in the replies to announcements.
    held_ranges: list[HeldRange] = []
    released_ranges: list[ReleasedRange] = []
    version: str = ""


class AnnouncementReply(NamedTuple):
    """Grant partitions to an upstream for `lease_ms`, or refuse with an error kind."""

    service: str
    upstream: str
    lease_ms: int
    grants: list[PartitionEpoch]
    release: list[PartitionEpoch]
    error: str = ""


@message
class RelayAnnouncements(NamedTuple):
    """Relay a batch of announcements to the control leader."""

    items: list[Announcement]


@message
class AnnouncementReplies(NamedTuple):
    """Reply to a batch of announcements, in the same order."""

    items: list[AnnouncementReply]


@message
class PartitionsDrained(NamedTuple):
    """Report partitions under release that have no running permits left."""

    items: list[PartitionRef]


class PartitionLoad(NamedTuple):
    """Count the requests of a partition in a window."""

    partition: int
    requests: int


class KeyCount(NamedTuple):
    """Count the requests of a hot routing key in a window."""

    key_hash: int
    requests: int


@message
class LoadReport(NamedTuple):
    """Report the load of a keyed service that one arbiter measured in a window."""

    service: str
    window_ms: int
    partitions: list[PartitionLoad]
    hot_keys: list[KeyCount]


@message
class Propose(NamedTuple):
    """Ask the leader to append an encoded command to the log and return its outcome."""

    command: bytes


@message
class ProposeReply(NamedTuple):
    """Return the encoded outcome of a command."""

    outcome: bytes
