"""Measure the CPU time, network bytes and memory of idle streams with heartbeats.

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

# Each frame is sent in one segment: IP and TCP headers with the timestamp option.
_HEADER_BYTES = 52
# The peer acknowledges a frame with an empty segment, as it has no data to send then.
_ACK_BYTES = 52


class NullHandler:
    """Ignore all events of a stream."""

    def on_open(self, conn: Connection) -> None:
        """Ignore an opened stream."""

    def on_message(self, conn: Connection, number: int, msg: messages.Message) -> None:
        """Ignore a message."""

    def on_close(self, conn: Connection) -> None:
        """Ignore a closed stream."""


def frame_bytes(number: int, msg: messages.Message) -> int:
    """Return the size of a frame in bytes, without IP and TCP headers."""
    return len(msgpack.packb([number, 1, *messages.pack_body(msg)]))


def wire_bytes_per_s(frame_size: int, interval_ms: float) -> float:
    """Return the bytes per second of one end's frames and their acknowledgements."""
    return (frame_size + _HEADER_BYTES + _ACK_BYTES) * 1000.0 / interval_ms


def measure_idle(count: int, seconds: float) -> list[object]:
    """Return the cost of `count` idle streams per end of a stream."""
    server = StreamServer(
        "127.0.0.1:0", Hello("m", "s", Role.ARBITER, "i"), NullHandler()
    )
    server.start()
    process = psutil.Process()
    rss_before = process.memory_info().rss
    hellos = [Hello("m", f"n{n}", Role.ENTRY, "i") for n in range(count)]
    clients = [StreamClient(server.address, hello, NullHandler()) for hello in hellos]
    for client in clients:
        client.start()
    gevent.sleep(1.0)
    resident_kb = (process.memory_info().rss - rss_before) / 1024 / count / 2
    started = time.process_time()
    gevent.sleep(seconds)
    cpu_us = (time.process_time() - started) * 1e6 / seconds / count / 2
    for client in clients:
        client.stop()
    server.stop()
    gevent.sleep(0.2)
    return [count, cpu_us, resident_kb]


def _byte_rows() -> list[list[object]]:
    row = NodeRow("entry-123", Role.ENTRY, "0123456789abcdef", "vm-123", "zone-1", "")
    ping = frame_bytes(1000, Ping(row, 1_000_000))
    pong = frame_bytes(1000, Pong("control-1", 12, 1_000_000, 1500))
    heartbeat = frame_bytes(0, Heartbeat())
    heartbeats_per_s = 2 * wire_bytes_per_s(heartbeat, STREAM_HEARTBEAT_MS)
    session_per_s = wire_bytes_per_s(ping + pong, PING_INTERVAL_MS) + heartbeats_per_s
    return [
        ["heartbeats of a stream, both ways", heartbeat, heartbeats_per_s],
        ["pings and pongs, with heartbeats", ping + pong, session_per_s],
    ]


def main() -> None:
    """Print the CPU time, memory and bytes of idle streams."""
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
