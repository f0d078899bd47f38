"""Interface of the ways in which upstreams learn which key ranges they hold."""

from typing import NamedTuple, Protocol

from bergamotdrift.leader_state import LeaderState
from bergamotdrift.messages import Announcement


class RangeGrant(NamedTuple):
    """Grant the keys `first` to `last` at an epoch.

    `handover` is the state token of the last holder, empty if there is none.
    """

    first: int
    last: int
    epoch: int
    handover: str


class HeldRanges(NamedTuple):
    """State everything that an upstream is to hold.

    `hold_ms` counts from when the upstream sent its announcement.
    """

    grants: list[RangeGrant]
    hold_ms: int


class RangeDelivery(Protocol):
    """Tell upstreams which ranges they hold while this replica leads."""

    def start(self) -> None:
        """Start work in the background."""
        ...

    def stop(self) -> None:
        """Stop work in the background."""
        ...

    def wake(self) -> None:
        """React to a change of the ranges."""
        ...

    def reply(
        self, leader_state: LeaderState, item: Announcement, received_ms: float
    ) -> HeldRanges | None:
        """Return what the reply to an announcement grants, or None for nothing."""
        ...
