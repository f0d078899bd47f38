"""Interfaces between the replicated log and what it replicates."""

from typing import NamedTuple, Protocol


class StateMachine(Protocol):
    """Apply committed commands; every replica must reach the same state."""

    def apply(self, index: int, command: bytes) -> bytes:
        """Apply the command at a log index and return its encoded outcome."""
        ...

    def snapshot(self) -> bytes:
        """Return the whole state as bytes."""
        ...

    def restore(self, data: bytes) -> None:
        """Replace the whole state by that of a snapshot."""
        ...


class MemberStatus(NamedTuple):
    """Describe one replica of the group as the leader sees it."""

    replica: str
    address: str
    voter: bool
    match_index: int


class ReplicaStatus(NamedTuple):
    """Describe this replica's part in the group."""

    replica: str
    leader: str
    term: int
    commit_index: int
    applied_index: int
    has_quorum: bool
    members: tuple[MemberStatus, ...]


class Replicator(Protocol):
    """Replicate commands through the log of a group of control replicas."""

    def is_leader(self) -> bool:
        """Tell whether this replica leads and a quorum confirmed it recently."""
        ...

    def term(self) -> int:
        """Return the present term; cheaper than the whole status."""
        ...

    def leader_address(self) -> str:
        """Return the leader's stream address, or an empty string."""
        ...

    def ask_for_leadership(self) -> None:
        """Ask the leader to hand over to this replica, which may refuse."""
        ...

    def propose(self, command: bytes, timeout_ms: float) -> bytes:
        """Return the outcome of a committed command.

        Raises CallError with NOT_LEADER (not logged) or NO_QUORUM (unknown).
        """
        ...

    def add_learner(self, replica: str, address: str, timeout_ms: float) -> None:
        """Add a replica without a vote; it is promoted once it caught up."""
        ...

    def remove_member(self, replica: str, timeout_ms: float) -> None:
        """Remove a replica from the group."""
        ...

    def status(self) -> ReplicaStatus:
        """Return this replica's view of the group."""
        ...
