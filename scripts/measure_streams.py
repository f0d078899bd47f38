"""Measure what idle streams with heartbeats cost: processor time, bytes and memory.

Both ends of all streams run in this process over loopback.
"""

import argparse
import time

import gevent
import msgpack
import psutil
from tabulate import tabulate

from bergamotdrift import messages
from bergamotdrift.constants import PING_INTERVAL_MS, STREAM_HEARTBEAT_MS
from bergamotdrift.messages import (
    Heartbeat,
    Hello,
    NodeRow,
    Ping,
    Pong,
    Role,
)
from bergamotdrift.streams import Connection, StreamClient, StreamServer

# Each frame travels in one segment: IP and TCP headers with timestamps.
_SEGMENT_BYTES = 52
# The peer acknowledges a frame with an empty segment, as it has nothing to send then.
_ACK_BYTES = 52


class Ignore:
    """Take frames and do nothing."""

    def on_open(self, conn: Connection) -> None:
        """Ignore a new stream."""

    def on_message(self, conn: Connection, number: int, msg: messages.Message) -> None:
        """Ignore a message."""

    def on_close(self, conn: Connection) -> None:
        """Ignore the end of a stream."""


def frame_bytes(number: int, msg: messages.Message) -> int:
    """Return the size of a frame without its segment's headers."""
    return len(msgpack.packb([number, 1, *messages.pack_body(msg)]))


def wire_bytes_per_s(frame: int, interval_ms: float) -> float:
    """Return what one end sends and receives as acknowledgement, per second."""
    return (frame + _SEGMENT_BYTES + _ACK_BYTES) * 1000.0 / interval_ms


def measure_idle(count: int, seconds: float) -> list[object]:
    """Return the cost of a number of idle streams, for one end of one stream."""
    server = StreamServer("127.0.0.1:0", Hello("m", "s", Role.ARBITER, "i"), Ignore())
    server.start()
    process = psutil.Process()
    before = process.memory_info().rss
    hellos = [Hello("m", f"n{n}", Role.ENTRY, "i") for n in range(count)]
    clients = [StreamClient(server.address, hello, Ignore()) for hello in hellos]
    for client in clients:
        client.start()
    gevent.sleep(1.0)
    resident = (process.memory_info().rss - before) / 1024 / count / 2
    started = time.process_time()
    gevent.sleep(seconds)
    spent_us = (time.process_time() - started) * 1e6 / seconds / count / 2
    for client in clients:
        client.stop()
    server.stop()
    gevent.sleep(0.2)
    return [count, spent_us, resident]


def _byte_rows() -> list[list[object]]:
    row = NodeRow("entry-123", Role.ENTRY, "0123456789abcdef", "vm-123", "zone-1", "")
    ping = frame_bytes(1000, Ping(row, 1_000_000))
    pong = frame_bytes(1000, Pong("control-1", 12, 1_000_000, 1500))
    beat = frame_bytes(0, Heartbeat())
    both = 2 * wire_bytes_per_s(beat, STREAM_HEARTBEAT_MS)
    session = wire_bytes_per_s(ping + pong, PING_INTERVAL_MS) + both
    return [
        ["heartbeats of a stream, both ways", beat, both],
        ["pings and pongs, with heartbeats", ping + pong, session],
    ]


def main() -> None:
    """Print the cost of streams."""
    parser = argparse.ArgumentParser(description=__doc__.splitlines()[0])
    parser.add_argument("--seconds", type=float, default=5.0)
    parser.add_argument("--sizes", type=int, nargs="+", default=[10, 50, 200])
    args = parser.parse_args()
    rows = [measure_idle(size, args.seconds) for size in args.sizes]
    headers = ["streams", "CPU us/s per end", "resident KB per end"]
    print(tabulate(rows, headers, floatfmt=".1f"))
    print()
    headers = ["what", "frame bytes", "bytes/s at a node"]
    print(tabulate(_byte_rows(), headers, floatfmt=".0f"))


if __name__ == "__main__":
    main()
