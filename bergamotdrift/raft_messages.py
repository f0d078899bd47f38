"""Data and messages of the replicated log."""

from enum import IntEnum
from typing import NamedTuple

from bergamotdrift.exceptions import ProtocolError
from bergamotdrift.messages import (
    decode,
    encode,
    message,
)


class EntryKind(IntEnum):
    """Tell what a log entry holds."""

    NOOP = 0
    COMMAND = 1
    MEMBERS = 2


class Entry(NamedTuple):
    """Hold one entry of the log."""

    log_index: int
    term: int
    kind: EntryKind
    data: bytes


class Member(NamedTuple):
    """Describe a replica: its identity, its name, stream address and vote."""

    replica: str
    name: str
    address: str
    voter: bool


@message
class Configuration(NamedTuple):
    """Hold all members of the group; it is in force once it is in the log."""

    members: list[Member]


class Snapshot(NamedTuple):
    """Hold the state up to an index; index 0 stands for the empty state."""

    log_index: int
    term: int
    members: list[Member]
    data: bytes


EMPTY_SNAPSHOT = Snapshot(0, 0, [], b"")


class HardState(NamedTuple):
    """Hold what must be synced before an answer depends on it.

    `commit` only spares work after a restart. `group` is drawn at bootstrap.
    """

    term: int
    vote: str
    commit: int
    group: str


EMPTY_HARD_STATE = HardState(0, "", 0, "")


class Head(NamedTuple):
    """Open each message between replicas; `to` and `sender` are identities."""

    group: str
    sender: str
    to: str
    term: int


@message
class PreVoteRequest(NamedTuple):
    """Ask whether a vote at the head's term would be granted."""

    head: Head
    last_index: int
    last_term: int


@message
class PreVoteReply(NamedTuple):
    """Answer a pre-vote; the head's term is the asked one if granted."""

    head: Head
    granted: bool


@message
class VoteRequest(NamedTuple):
    """Ask for a vote; `transfer` is set if the leader itself gave way."""

    head: Head
    last_index: int
    last_term: int
    transfer: bool


@message
class VoteReply(NamedTuple):
    """Answer a vote request after the vote was synced."""

    head: Head
    granted: bool


@message
class AppendEntries(NamedTuple):
    """Replicate entries after `prev_index`; without entries it is a heartbeat."""

    head: Head
    sent_ms: float
    prev_index: int
    prev_term: int
    commit: int
    entries: list[Entry]


@message
class AppendReply(NamedTuple):
    """Confirm synced entries up to `match`, or reject with the last usable index.

    `sent_ms` repeats the leader's own time, from which its lease is counted.
    """

    head: Head
    sent_ms: float
    prev_index: int
    success: bool
    match: int


@message
class SnapshotChunk(NamedTuple):
    """Carry a part of a snapshot; parts are asked for one after another."""

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
    """Ask for the part of a snapshot that begins at `offset`."""

    head: Head
    sent_ms: float
    log_index: int
    offset: int


@message
class TimeoutNow(NamedTuple):
    """Hand leadership over: the receiver campaigns at once."""

    head: Head


@message
class TransferRequest(NamedTuple):
    """Ask the leader to hand leadership over to the sender."""

    head: Head


@message
class JoinRequest(NamedTuple):
    """Ask the leader to add a replica as a learner, or to note its new address."""

    replica: str
    name: str
    address: str


@message
class JoinReply(NamedTuple):
    """Answer a join request; a replier outside any group has an empty `group`."""

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
    """Hold what must be synced together, and the messages that depend on it.

    With a snapshot, `entries` are all entries after it, else those that replace
    the log from the first one's index on.
    """

    hard_state: HardState
    snapshot: Snapshot | None
    entries: list[Entry]
    changed: bool
    dependents: list[RaftMessage]


class Ready(NamedTuple):
    """Hold what the caller must do: send, sync, restore and apply."""

    messages: list[RaftMessage]
    batch: SyncBatch | None
    restore: Snapshot | None
    committed: list[Entry]


class RaftTimings(NamedTuple):
    """Hold the time bounds of the group in milliseconds."""

    heartbeat_ms: float
    election_min_ms: float
    election_max_ms: float
    drift_margin_ms: float


def encode_members(members: list[Member]) -> bytes:
    """Return members as the data of a log entry."""
    return encode(Configuration(members))


def decode_members(data: bytes) -> list[Member]:
    """Return the members held by a log entry, or raise ProtocolError."""
    cfg = decode(data)
    if not isinstance(cfg, Configuration):
        raise ProtocolError("the entry holds no members")
    return cfg.members


def voters_of(members: list[Member]) -> list[str]:
    """Return the identities of the members that vote."""
    return [m.replica for m in members if m.voter]


def has_quorum(voters: list[str], agreeing: set[str]) -> bool:
    """Tell whether more than half of the voters agree."""
    return sum(v in agreeing for v in voters) > len(voters) // 2
