"""Interfaces between the replicated log and its state machine."""

from typing import NamedTuple, Protocol


class StateMachine(Protocol):
    """Apply committed commands deterministically on every replica."""

    def apply(self, index: int, command: bytes) -> bytes:
        """Apply the command at a log index and return its encoded outcome."""
        ...

    def snapshot(self) -> bytes:
        """Return the whole encoded state."""
        ...

    def restore(self, data: bytes) -> None:
        """Replace the whole state with that of a snapshot."""
        ...


class MemberStatus(NamedTuple):
    """Describe a member; `match_index` is 0 unless this replica leads."""

    replica: str
    address: str
    voter: bool
    match_index: int


class ReplicaStatus(NamedTuple):
    """Describe the group as this replica sees it."""

    replica: str
    leader: str
    term: int
    commit_index: int
    applied_index: int
    has_quorum: bool
    members: tuple[MemberStatus, ...]


class Replicator(Protocol):
    """Replicate commands through the Raft log of the control group."""

    def is_leader(self) -> bool:
        """Return whether this replica leads with a valid quorum lease."""
        ...

    def leads_term(self) -> bool:
        """Return whether this replica leads its term, even if its lease lapsed.

        While the lease has lapsed it must not act as the leader, but no other replica
        has led since if it gets the lease again in the same term.
        """
        ...

    def term(self) -> int:
        """Return the current term; cheaper than the whole status."""
        ...

    def leader_address(self) -> str:
        """Return the leader's stream address, or an empty string."""
        ...

    def request_leadership(self) -> None:
        """Ask the leader to transfer leadership here; it may refuse."""
        ...

    def propose(self, command: bytes, timeout_ms: float) -> bytes:
        """Propose a command and return its outcome once it is committed and applied.

        Raises CallError with NOT_LEADER (never takes effect) or NO_QUORUM (unknown).
        """
        ...

    def add_learner(self, replica: str, address: str, timeout_ms: float) -> None:
        """Add a learner; it is promoted to a voter once its log has caught up."""
        ...

    def remove_member(self, replica: str, timeout_ms: float) -> None:
        """Remove a replica from the group."""
        ...

    def status(self) -> ReplicaStatus:
        """Return this replica's view of the group."""
        ...
