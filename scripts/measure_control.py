"""Measure what control spends per node, announcement, partition row and change."""

import argparse
import gc
import random
import statistics
import time
import tracemalloc
from collections.abc import Callable
from functools import partial

import gevent
import msgpack
import psutil
from tabulate import tabulate

from bergamotdrift import commands_log as cmd
from bergamotdrift import messages
from bergamotdrift.clock import BootClock
from bergamotdrift.config.schema import (
    ColdStartSettings,
    Fencing,
    ServiceKind,
    ServiceSettings,
    SiteSettings,
    ZoneSettings,
    ZoneState,
)
from bergamotdrift.constants import PING_INTERVAL_MS
from bergamotdrift.control_state import ControlState
from bergamotdrift.leader_duties import LeaderDuties
from bergamotdrift.messages import (
    Announcement,
    Hello,
    NodeRow,
    Ping,
    RelayAnnouncements,
    Role,
    UpstreamState,
)
from bergamotdrift.node_streams import NodeStreams
from bergamotdrift.replication import ReplicaStatus
from bergamotdrift.streams import StreamClient, StreamServer

_ZONES = tuple(ZoneSettings(f"z{n}", ZoneState.IN) for n in range(7))
Table = tuple[str, list[str], list[list[object]]]


class InstantLog:
    """Commit in this process; the log itself is measured elsewhere."""

    def __init__(self, state: ControlState):
        self.state = state
        self.index = 0

    def is_leader(self) -> bool:
        """Always lead."""
        return True

    def term(self) -> int:
        """Return the only term."""
        return 1

    def leader_address(self) -> str:
        """Return no address."""
        return ""

    def propose(self, command: bytes, timeout_ms: float) -> bytes:
        """Apply at once."""
        self.index += 1
        return self.state.apply(self.index, command)

    def commit(self, command: messages.Message) -> messages.Message:
        """Apply a decoded command."""
        return messages.decode(self.propose(messages.encode(command), 0))

    def ask_for_leadership(self) -> None:
        """Lead already."""

    def add_learner(self, replica: str, address: str, timeout_ms: float) -> None:
        """Not measured."""

    def remove_member(self, replica: str, timeout_ms: float) -> None:
        """Not measured."""

    def status(self) -> ReplicaStatus:
        """Return the status of a group of one."""
        return ReplicaStatus("c", "c", 1, self.index, self.index, True, ())


def keyed_site(partitions: int, services: int = 1) -> SiteSettings:
    """Return settings with `partitions` split over keyed services."""
    cold = ColdStartSettings(1, 8.0)
    found = tuple(
        ServiceSettings(
            f"s{n}",
            ServiceKind.KEYED,
            partitions // services,
            Fencing.EPOCH,
            4,
            110,
            cold,
            5000,
            64,
        )
        for n in range(services)
    )
    return SiteSettings("site", _ZONES, found, (), ())


def change(site: SiteSettings, base: int) -> cmd.ApplySettings:
    """Return a settings change."""
    return cmd.ApplySettings(f"r{base}", "ann", base, 0, "f", site, b"{}")


def announcement(number: int, released: tuple = ()) -> Announcement:
    """Return the announcement of an upstream."""
    return Announcement(
        "s0",
        f"u{number}",
        f"10.0.{number // 250}.{number % 250 + 1}:80",
        f"z{number % 7}",
        "i1",
        UpstreamState.READY,
        list(released),
    )


def populated(partitions: int, upstreams: int) -> tuple[InstantLog, LeaderDuties]:
    """Return a state in which all partitions are owned, at 2000 ms."""
    log = InstantLog(ControlState())
    log.commit(change(keyed_site(partitions), 0))
    duties = LeaderDuties(log.state, 0.0)
    for number in range(upstreams):
        duties.announce(announcement(number), 0.0)
    for now_ms in (0.0, 10.0, 1020.0, 1030.0):
        for number in range(upstreams):
            duties.announce(announcement(number), now_ms)
            duties.holds_reply(announcement(number))
        for command in duties.commands(now_ms):
            log.commit(command)
    assert not log.state.rows.unowned
    return log, duties


def timed_ms(action: Callable[[], object], rounds: int = 5) -> float:
    """Return the median processor time of an action in milliseconds."""
    spent = []
    for _ in range(rounds):
        gc.collect()
        started = time.process_time()
        action()
        spent.append((time.process_time() - started) * 1000)
    return statistics.median(spent)


class _Ignore:
    def on_open(self, conn: object) -> None:
        """Ignore the opening."""

    def on_message(self, conn: object, number: int, msg: object) -> None:
        """Ignore a message."""

    def on_close(self, conn: object) -> None:
        """Ignore the end."""


class _NodeHandler(_Ignore):
    def __init__(self, nodes: NodeStreams):
        self._nodes = nodes

    def on_message(self, conn, number, msg) -> None:
        """Pass a message on."""
        self._nodes.on_message(conn, number, msg)


def measure_sessions(sizes: list[int], seconds: float) -> Table:
    """Measure sessions over loopback in real time, both ends in this process."""
    rows: list[list[object]] = [_sessions(count, seconds) for count in sizes]
    headers = [
        "sessions",
        "CPU us/session/s, heartbeats",
        "with pings (4/s)",
        "resident KB/session",
    ]
    return "Node sessions (both ends)", headers, rows


def _sessions(count: int, seconds: float) -> list[object]:
    log = InstantLog(ControlState())
    log.commit(change(keyed_site(256), 0))
    nodes = NodeStreams(log.state, log, BootClock())
    hello = Hello("m", "c", Role.CONTROL, "i")
    server = StreamServer("127.0.0.1:0", hello, _NodeHandler(nodes))
    server.start()
    nodes.start()
    gevent.sleep(0.2)
    process = psutil.Process()
    before = process.memory_info().rss
    clients = []
    for number in range(count):
        peer = Hello("m", f"n{number}", Role.ENTRY, "i")
        client = StreamClient(server.address, peer, _Ignore())
        client.start()
        clients.append(client)
    gevent.sleep(0.5)
    idle = _spent_us(seconds) / count
    pingers = [gevent.spawn(_ping, log, c, n) for n, c in enumerate(clients)]
    gevent.sleep(0.5)
    resident = (process.memory_info().rss - before) / 1024 / count
    busy = _spent_us(seconds) / count
    gevent.killall(pingers)
    for client in clients:
        client.stop()
    nodes.stop()
    server.stop()
    return [count, idle, busy, resident]


def _ping(log: InstantLog, client: StreamClient, number: int) -> None:
    row = NodeRow(f"n{number}", Role.ENTRY, "i", "vm", "z0", "")
    gevent.sleep(random.uniform(0, 0.25))
    while True:
        client.call(Ping(row, log.state.feed_index), 2000)
        gevent.sleep(PING_INTERVAL_MS / 1000)


def _spent_us(seconds: float) -> float:
    """Return the processor time spent per second in microseconds."""
    started = time.process_time()
    gevent.sleep(seconds)
    return (time.process_time() - started) * 1e6 / seconds


def measure_announcements(sizes: list[int]) -> Table:
    """Measure decoding, answering and encoding of relayed batches."""
    rows: list[list[object]] = []
    for upstreams in sizes:
        _, duties = populated(upstreams * 16, upstreams)
        for batch in (1, 8, 64):
            items = [announcement(n % upstreams) for n in range(batch)]
            data = messages.encode(RelayAnnouncements(items))

            def answer(data: bytes = data, duties: LeaderDuties = duties) -> None:
                msg = messages.decode(data)
                found = [duties.announce(item, 1040.0) for item in msg.items]
                messages.encode(messages.AnnouncementReplies(found))

            rounds = 2000 // batch

            def repeat(answer=answer, rounds=rounds) -> None:
                for _ in range(rounds):
                    answer()

            spent = timed_ms(repeat, 3) * 1000 / rounds / batch
            rows.append([upstreams, batch, spent])
    return (
        "Announcements (16 partitions each)",
        ["upstreams", "batch", "CPU us/announcement"],
        rows,
    )


def measure_partitions(sizes: list[int], upstreams: int) -> Table:
    """Measure what partition rows cost in memory, snapshots and the feed."""
    rows: list[list[object]] = []
    for count in sizes:
        tracemalloc.start()
        log, _ = populated(count, upstreams)
        gc.collect()
        held = tracemalloc.get_traced_memory()[0] / count
        tracemalloc.stop()
        state = log.state
        data = state.snapshot()
        full = len(messages.encode(state.update_since(0)))
        delta = _delta_bytes(log, min(count, 500))
        rows.append([
            count,
            held,
            len(data) / count,
            timed_ms(state.snapshot),
            timed_ms(partial(state.restore, data)),
            full / count,
            delta,
            timed_ms(partial(_encode_feed, state)),
        ])
    headers = [
        "partitions",
        "state B/row",
        "snapshot B/row",
        "snapshot ms",
        "restore ms",
        "full feed B/row",
        "delta B/row",
        "full feed ms",
    ]
    return "Partition rows", headers, rows


def _encode_feed(state: ControlState) -> bytes:
    return messages.encode(state.update_since(0))


def _delta_bytes(log: InstantLog, count: int) -> float:
    before = log.state.feed_index
    refs = [
        messages.PartitionRef(row.service, row.partition, row.epoch)
        for row in list(log.state.rows.partitions.rows())[:count]
    ]
    log.commit(cmd.ReleasePartitions(refs))
    return len(messages.encode(log.state.update_since(before))) / count


def measure_placement(sizes: list[int], upstreams: int) -> Table:
    """Measure a first placement, a crash, an idle round and a balance round."""
    rows: list[list[object]] = []
    for count in sizes:
        pauses = _Pauses()
        log = InstantLog(ControlState())
        created = timed_ms(partial(log.commit, change(keyed_site(count), 0)), 1)
        duties = LeaderDuties(log.state, 0.0, pauses)
        for now_ms in (0.0, 10.0):
            for number in range(upstreams):
                duties.announce(announcement(number), now_ms)
            for command in duties.commands(now_ms):
                log.commit(command)
        for number in range(upstreams):
            duties.announce(announcement(number), 1015.0)
        _, spent = pauses.timed(partial(duties.commands, 1020.0))
        block = pauses.longest
        for number in range(upstreams):
            duties.holds_reply(announcement(number))
        commands, assigned = pauses.timed(partial(duties.commands, 1021.0))
        spent += assigned
        block = max(block, pauses.longest)
        applied = timed_ms(partial(_commit_all, log, commands), 1)
        assert not log.state.rows.unowned
        idle = timed_ms(partial(duties.commands, 1030.0))
        _, balance = pauses.timed(partial(duties.commands, 2025.0))
        crash = _crash(log, duties, upstreams)
        rows.append([count, created, spent, block, applied, idle, balance, crash])
    headers = [
        "partitions",
        "create ms",
        "first placement ms",
        "longest block ms",
        "apply ms",
        "idle round ms",
        "balance round ms",
        "crash of one ms",
    ]
    return f"Placement over {upstreams} upstreams", headers, rows


def _commit_all(log: InstantLog, commands: list[messages.Message]) -> None:
    for command in commands:
        log.commit(command)


class _Pauses:
    """Note the longest time between two pauses of a computation."""

    def __init__(self) -> None:
        self.longest = 0.0
        self._since = time.perf_counter()

    def __call__(self) -> None:
        now = time.perf_counter()
        self.longest = max(self.longest, (now - self._since) * 1000)
        self._since = now

    def timed(self, action: Callable[[], list]) -> tuple[list, float]:
        """Return the result and its time in milliseconds."""
        self.longest = 0.0
        self._since = started = time.perf_counter()
        result = action()
        self()
        return result, (time.perf_counter() - started) * 1000


def _crash(log: InstantLog, duties: LeaderDuties, upstreams: int) -> float:
    for number in range(1, upstreams):
        duties.announce(announcement(number), 2500.0)

    def handle() -> None:
        for _ in range(3):
            for number in range(1, upstreams):
                duties.holds_reply(announcement(number))
            for command in duties.commands(2520.0):
                log.commit(command)

    return timed_ms(handle, 1)


def measure_changes(sizes: list[int]) -> Table:
    """Measure settings changes with an audit trail of a growing length."""
    rows: list[list[object]] = []
    site = keyed_site(256)
    for count in sizes:
        log = InstantLog(ControlState())
        started = time.process_time()
        for base in range(count):
            log.commit(change(site, base))
        spent = (time.process_time() - started) * 1000 / count
        data = log.state.snapshot()
        rows.append([count, spent, len(data), timed_ms(log.state.snapshot)])
    headers = ["changes", "apply ms/change", "snapshot B", "snapshot ms"]
    return "Settings changes", headers, rows


def main() -> None:
    """Print one table per subject."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--quick", action="store_true", help="use small sizes")
    quick = parser.parse_args().quick
    random.seed(1)
    partitions = [1000, 3000] if quick else [1000, 3000, 10_000, 30_000]
    upstreams = 50 if quick else 400
    tables = [
        measure_sessions([20, 50] if quick else [50, 200, 400], 1.0 if quick else 3.0),
        measure_announcements([20, 50] if quick else [50, 200, 800]),
        measure_partitions(partitions, upstreams),
        measure_placement(partitions, upstreams),
        measure_changes([100, 300] if quick else [400, 1600, 6400]),
    ]
    for title, headers, rows in tables:
        print(f"\n{title}")
        print(tabulate(rows, headers, floatfmt=".1f"))
    print(f"\nmsgpack {msgpack.version}")


if __name__ == "__main__":
    main()
