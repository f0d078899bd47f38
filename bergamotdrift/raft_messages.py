"""Messages and data types of the Raft protocol."""

from enum import IntEnum
from typing import NamedTuple

from bergamotdrift.exceptions import ProtocolError
from bergamotdrift.messages import (
    decode,
    encode,
    message,
)


class EntryKind(IntEnum):
    """Enumerate the kinds of log entry."""

    NOOP = 0
    COMMAND = 1
    MEMBERS = 2


class Entry(NamedTuple):
    """Represent one log entry."""

    log_index: int
    term: int
    kind: EntryKind
    data: bytes


class Member(NamedTuple):
    """Describe a member: identity, name, stream address, and whether it votes."""

    replica: str
    name: str
    address: str
    voter: bool


@message
class Configuration(NamedTuple):
    """List all members of the group; it takes effect once appended to the log."""

    members: list[Member]


class Snapshot(NamedTuple):
    """Hold the applied state and members at an index; index 0 is the empty state."""

    log_index: int
    term: int
    members: list[Member]
    data: bytes


EMPTY_SNAPSHOT = Snapshot(0, 0, [], b"")


class HardState(NamedTuple):
    """Hold the persistent state that must be synced before a reply depends on it.

    `commit` is only an optimisation that speeds up a restart. `group` is generated at
    bootstrap.
    """

    term: int
    vote: str
    commit: int
    group: str


EMPTY_HARD_STATE = HardState(0, "", 0, "")


class Head(NamedTuple):
    """Address a message between replicas; `to` and `sender` are identities."""

    group: str
    sender: str
    to: str
    term: int


@message
class PreVoteRequest(NamedTuple):
    """Ask whether a vote in the head's term would be granted."""

    head: Head
    last_index: int
    last_term: int


@message
class PreVoteReply(NamedTuple):
    """Answer a pre-vote request; if granted, the head has the requested term."""

    head: Head
    granted: bool


@message
class VoteRequest(NamedTuple):
    """Ask for a vote; `transfer` is set if the leader transferred leadership."""

    head: Head
    last_index: int
    last_term: int
    transfer: bool


@message
class VoteReply(NamedTuple):
    """Answer a vote request; sent once the vote is synced."""

    head: Head
    granted: bool


@message
class AppendEntries(NamedTuple):
    """Replicate the entries after `prev_index`; a heartbeat has no entries."""

    head: Head
    sent_ms: float
    prev_index: int
    prev_term: int
    commit: int
    entries: list[Entry]


@message
class AppendReply(NamedTuple):
    """Acknowledge synced entries up to `match`, or reject with a hint in `match`.

    The hint is the last index at which the logs may match. `sent_ms` echoes the
    leader's clock at the time of the request, from which its lease is counted.
    """

    head: Head
    sent_ms: float
    prev_index: int
    success: bool
    match: int


@message
class SnapshotChunk(NamedTuple):
    """Carry a chunk of a snapshot; the follower requests chunks one at a time."""

    head: Head
    sent_ms: float
    log_index: int
    term: int
    members: list[Member]
    total: int
    offset: int
    data: bytes


@message
class SnapshotReply(NamedTuple):
    """Request the chunk of a snapshot that starts at `offset`."""

    head: Head
    sent_ms: float
    log_index: int
    offset: int


@message
class TimeoutNow(NamedTuple):
    """Transfer leadership: the receiver campaigns immediately."""

    head: Head


@message
class TransferRequest(NamedTuple):
    """Ask the leader to transfer leadership to the sender."""

    head: Head


@message
class JoinRequest(NamedTuple):
    """Ask the leader to add a replica as a learner, or to update its address."""

    replica: str
    name: str
    address: str


@message
class JoinReply(NamedTuple):
    """Answer a join request; `group` is empty if the replier belongs to no group."""

    replica: str
    name: str
    group: str


RaftMessage = (
    PreVoteRequest
    | PreVoteReply
    | VoteRequest
    | VoteReply
    | AppendEntries
    | AppendReply
    | SnapshotChunk
    | SnapshotReply
    | TimeoutNow
    | TransferRequest
)
RAFT_MESSAGES = (
    PreVoteRequest,
    PreVoteReply,
    VoteRequest,
    VoteReply,
    AppendEntries,
    AppendReply,
    SnapshotChunk,
    SnapshotReply,
    TimeoutNow,
    TransferRequest,
)


class SyncBatch(NamedTuple):
    """Hold state to be synced together, and the messages that must wait for it.

    With a snapshot, `entries` are all entries after it. Otherwise they overwrite the
    log from the index of the first one. `must_sync` is unset
    if there is nothing to sync.
    """

    hard_state: HardState
    snapshot: Snapshot | None
    entries: list[Entry]
    must_sync: bool
    dependents: list[RaftMessage]


class Ready(NamedTuple):
    """Hold the caller's pending work: send, sync, restore a snapshot, and apply."""

    messages: list[RaftMessage]
    batch: SyncBatch | None
    restore: Snapshot | None
    committed: list[Entry]


class RaftTimings(NamedTuple):
    """Hold the protocol timings in milliseconds."""

    heartbeat_ms: float
    election_min_ms: float
    election_max_ms: float
    drift_margin_ms: float


def encode_members(members: list[Member]) -> bytes:
    """Encode members as the data of a log entry."""
    return encode(Configuration(members))


def decode_members(data: bytes) -> list[Member]:
    """Decode the members in a log entry's data; raise ProtocolError if invalid."""
    cfg = decode(data)
    if not isinstance(cfg, Configuration):
        raise ProtocolError("log entry does not contain a member configuration")
    return cfg.members


def voters_of(members: list[Member]) -> list[str]:
    """Return the identities of the voters among the members."""
    return [m.replica for m in members if m.voter]


def has_quorum(voters: list[str], agreeing: set[str]) -> bool:
    """Return whether more than half of the voters agree."""
    return sum(v in agreeing for v in voters) > len(voters) // 2
