"""Replies of the control leader to the needs for tokens of cold upstreams."""

import contextlib

from bergamotdrift.exceptions import StreamClosedError
from bergamotdrift.leader_state import LeaderState
from bergamotdrift.messages import PaceLot, PaceLots, Ping
from bergamotdrift.pace_metrics import count_leased
from bergamotdrift.streams import Connection


def lease_paces(leader_state: LeaderState, msg: Ping, now_ms: float) -> list[PaceLot]:
    """Return the tokens leased for the needs of a ping."""
    lots = leader_state.lease_pace_tokens(msg.row.node, msg.paces, now_ms)
    count_leased(msg.paces, lots)
    return lots


def send_paces_early(
    leader_state: LeaderState, conn: Connection, msg: Ping, now_ms: float
) -> None:
    """Send the tokens that requests wait for before the pong.

    While upstreams start, each pong waits for a push, longer than a request may.
    """
    if not msg.paces:
        return
    lots = lease_paces(leader_state, msg, now_ms)
    # A closed stream is dropped by its handler.
    with contextlib.suppress(StreamClosedError):
        conn.send(PaceLots(lots, msg.paces[0].asked_ms))
