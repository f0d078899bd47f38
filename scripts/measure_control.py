"""Measure control's cost per session, announcement, partition and change."""

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

from bergamotdrift import control_commands as cmd
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
from bergamotdrift.leader_state import LeaderState
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
    """Commit at once in this process; measure_consensus measures the replicated log."""

    def __init__(self, state: ControlState):
        self.state = state
        self.index = 0

    def is_leader(self) -> bool:
        """Return True: the only replica leads."""
        return True

    def leads_term(self) -> bool:
        """Return True: the only replica leads."""
        return True

    def term(self) -> int:
        """Return 1: there are no elections."""
        return 1

    def leader_address(self) -> str:
        """Return an empty address: no other replica leads."""
        return ""

    def propose(self, command: bytes, timeout_ms: float) -> bytes:
        """Apply an encoded command at once and return the encoded result."""
        self.index += 1
        return self.state.apply(self.index, command)

    def commit(self, command: messages.Message) -> messages.Message:
        """Apply a command at once and return its result."""
        return messages.decode(self.propose(messages.encode(command), 0))

    def request_leadership(self) -> None:
        """Do nothing: this replica already leads."""

    def add_learner(self, replica: str, address: str, timeout_ms: float) -> None:
        """Do nothing: changes of members are not measured."""

    def remove_member(self, replica: str, timeout_ms: float) -> None:
        """Do nothing: changes of members are not measured."""

    def status(self) -> ReplicaStatus:
        """Return the status of a group of one."""
        return ReplicaStatus("c", "c", 1, self.index, self.index, True, ())


def keyed_site(partitions: int, services: int = 1) -> SiteSettings:
    """Return settings whose keyed services share `partitions` evenly."""
    cold_start = ColdStartSettings(1, 8.0)
    service_settings = tuple(
        ServiceSettings(
            f"s{n}",
            ServiceKind.KEYED,
            partitions // services,
            Fencing.EPOCH,
            4,
            110,
            cold_start,
            5000,
            64,
        )
        for n in range(services)
    )
    return SiteSettings("site", _ZONES, service_settings, (), ())


def settings_change(site: SiteSettings, base_revision: int) -> cmd.ApplySettings:
    """Return a settings change that is based on a revision."""
    return cmd.ApplySettings(
        f"r{base_revision}", "ann", base_revision, 0, "f", site, b"{}"
    )


def announcement(number: int, released: tuple = ()) -> Announcement:
    """Return the announcement of the upstream with a number."""
    return Announcement(
        "s0",
        f"u{number}",
        f"10.0.{number // 250}.{number % 250 + 1}:80",
        f"z{number % 7}",
        "i1",
        UpstreamState.READY,
        list(released),
    )


def build_populated(partitions: int, upstreams: int) -> tuple[InstantLog, LeaderState]:
    """Return a log and leader state in which all partitions are owned."""
    log = InstantLog(ControlState())
    log.commit(settings_change(keyed_site(partitions), 0))
    leader_state = LeaderState(log.state, 0.0)
    for number in range(upstreams):
        leader_state.announce(announcement(number), 0.0)
    for now_ms in (0.0, 10.0, 1020.0, 1030.0):
        for number in range(upstreams):
            leader_state.announce(announcement(number), now_ms)
            leader_state.defers_reply(announcement(number))
        for command in leader_state.commands(now_ms):
            log.commit(command)
    assert not log.state.rows.unowned
    return log, leader_state


def median_cpu_ms(action: Callable[[], object], rounds: int = 5) -> float:
    """Return the median CPU time of an action in milliseconds."""
    durations_ms = []
    for _ in range(rounds):
        gc.collect()
        started = time.process_time()
        action()
        durations_ms.append((time.process_time() - started) * 1000)
    return statistics.median(durations_ms)


class _NullHandler:
    def on_open(self, conn: object) -> None:
        """Ignore an opened stream."""

    def on_message(self, conn: object, number: int, msg: object) -> None:
        """Ignore a message."""

    def on_close(self, conn: object) -> None:
        """Ignore a closed stream."""


class _NodeHandler(_NullHandler):
    def __init__(self, nodes: NodeStreams):
        self._nodes = nodes

    def on_message(self, conn, number, msg) -> None:
        """Forward a message to the node streams."""
        self._nodes.on_message(conn, number, msg)


def measure_sessions(sizes: list[int], seconds: float) -> Table:
    """Measure node sessions over loopback, with both ends in this process."""
    rows: list[list[object]] = [_session_row(count, seconds) for count in sizes]
    headers = [
        "sessions",
        "CPU us/session/s, heartbeats",
        "with pings (4/s)",
        "resident KB/session",
    ]
    return "Node sessions (both ends)", headers, rows


def _session_row(count: int, seconds: float) -> list[object]:
    log = InstantLog(ControlState())
    log.commit(settings_change(keyed_site(256), 0))
    nodes = NodeStreams(log.state, log, BootClock())
    hello = Hello("m", "c", Role.CONTROL, "i")
    server = StreamServer("127.0.0.1:0", hello, _NodeHandler(nodes))
    server.start()
    nodes.start()
    gevent.sleep(0.2)
    process = psutil.Process()
    rss_before = process.memory_info().rss
    clients = []
    for number in range(count):
        peer = Hello("m", f"n{number}", Role.ENTRY, "i")
        client = StreamClient(server.address, peer, _NullHandler())
        client.start()
        clients.append(client)
    gevent.sleep(0.5)
    idle_us = _cpu_us_per_s(seconds) / count
    ping_loops = [gevent.spawn(_ping_loop, log, c, n) for n, c in enumerate(clients)]
    gevent.sleep(0.5)
    resident_kb = (process.memory_info().rss - rss_before) / 1024 / count
    pinging_us = _cpu_us_per_s(seconds) / count
    gevent.killall(ping_loops)
    for client in clients:
        client.stop()
    nodes.stop()
    server.stop()
    return [count, idle_us, pinging_us, resident_kb]


def _ping_loop(log: InstantLog, client: StreamClient, number: int) -> None:
    row = NodeRow(f"n{number}", Role.ENTRY, "i", "vm", "z0", "")
    gevent.sleep(random.uniform(0, 0.25))
    while True:
        client.call(Ping(row, log.state.feed_index), 2000)
        gevent.sleep(PING_INTERVAL_MS / 1000)


def _cpu_us_per_s(seconds: float) -> float:
    """Return the CPU microseconds used per second over a period."""
    started = time.process_time()
    gevent.sleep(seconds)
    return (time.process_time() - started) * 1e6 / seconds


def measure_announcements(sizes: list[int]) -> Table:
    """Measure decoding, replying to and encoding relayed batches."""
    rows: list[list[object]] = []
    for upstreams in sizes:
        _, leader_state = build_populated(upstreams * 16, upstreams)
        for batch in (1, 8, 64):
            items = [announcement(n % upstreams) for n in range(batch)]
            data = messages.encode(RelayAnnouncements(items))

            def handle_batch(
                data: bytes = data, leader_state: LeaderState = leader_state
            ) -> None:
                msg = messages.decode(data)
                replies = [leader_state.announce(item, 1040.0) for item in msg.items]
                messages.encode(messages.AnnouncementReplies(replies))

            rounds = 2000 // batch

            def handle_batches(handle_batch=handle_batch, rounds=rounds) -> None:
                for _ in range(rounds):
                    handle_batch()

            cpu_us = median_cpu_ms(handle_batches, 3) * 1000 / rounds / batch
            rows.append([upstreams, batch, cpu_us])
    return (
        "Announcements (16 partitions each)",
        ["upstreams", "batch", "CPU us/announcement"],
        rows,
    )


def measure_partitions(sizes: list[int], upstreams: int) -> Table:
    """Measure the cost of partition rows in memory, snapshots and the feed."""
    rows: list[list[object]] = []
    for count in sizes:
        tracemalloc.start()
        log, _ = build_populated(count, upstreams)
        gc.collect()
        state_bytes = tracemalloc.get_traced_memory()[0] / count
        tracemalloc.stop()
        state = log.state
        snapshot = state.snapshot()
        full_feed_bytes = len(messages.encode(state.update_since(0)))
        delta_bytes = _delta_bytes(log, min(count, 500))
        rows.append([
            count,
            state_bytes,
            len(snapshot) / count,
            median_cpu_ms(state.snapshot),
            median_cpu_ms(partial(state.restore, snapshot)),
            full_feed_bytes / count,
            delta_bytes,
            median_cpu_ms(partial(_encode_feed, state)),
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
    previous_index = log.state.feed_index
    refs = [
        messages.PartitionRef(row.service, row.partition, row.epoch)
        for row in list(log.state.rows.partitions.rows())[:count]
    ]
    log.commit(cmd.ReleasePartitions(refs))
    return len(messages.encode(log.state.update_since(previous_index))) / count


def measure_placement(sizes: list[int], upstreams: int) -> Table:
    """Measure a first placement, an idle round, a balance round and a crash."""
    rows: list[list[object]] = []
    for count in sizes:
        timer = PauseTimer()
        log = InstantLog(ControlState())
        create_ms = median_cpu_ms(
            partial(log.commit, settings_change(keyed_site(count), 0)), 1
        )
        leader_state = LeaderState(log.state, 0.0, timer)
        for now_ms in (0.0, 10.0):
            for number in range(upstreams):
                leader_state.announce(announcement(number), now_ms)
            for command in leader_state.commands(now_ms):
                log.commit(command)
        for number in range(upstreams):
            leader_state.announce(announcement(number), 1015.0)
        _, placement_ms = timer.time_action(partial(leader_state.commands, 1020.0))
        longest_block_ms = timer.longest_ms
        for number in range(upstreams):
            leader_state.defers_reply(announcement(number))
        commands, assign_ms = timer.time_action(partial(leader_state.commands, 1021.0))
        placement_ms += assign_ms
        longest_block_ms = max(longest_block_ms, timer.longest_ms)
        apply_ms = median_cpu_ms(partial(_commit_all, log, commands), 1)
        assert not log.state.rows.unowned
        idle_ms = median_cpu_ms(partial(leader_state.commands, 1030.0))
        _, balance_ms = timer.time_action(partial(leader_state.commands, 2025.0))
        crash_ms = _measure_crash(log, leader_state, upstreams)
        rows.append([
            count,
            create_ms,
            placement_ms,
            longest_block_ms,
            apply_ms,
            idle_ms,
            balance_ms,
            crash_ms,
        ])
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


class PauseTimer:
    """Record the longest time that a computation runs between two pauses."""

    def __init__(self) -> None:
        self.longest_ms = 0.0
        self._last_pause_s = time.perf_counter()

    def __call__(self) -> None:
        """Record a pause."""
        now_s = time.perf_counter()
        self.longest_ms = max(self.longest_ms, (now_s - self._last_pause_s) * 1000)
        self._last_pause_s = now_s

    def time_action(self, action: Callable[[], list]) -> tuple[list, float]:
        """Run an action and return its result and the milliseconds it took."""
        self.longest_ms = 0.0
        self._last_pause_s = started = time.perf_counter()
        result = action()
        self()
        return result, (time.perf_counter() - started) * 1000


def _measure_crash(log: InstantLog, leader_state: LeaderState, upstreams: int) -> float:
    for number in range(1, upstreams):
        leader_state.announce(announcement(number), 2500.0)

    def handle_crash() -> None:
        for _ in range(3):
            for number in range(1, upstreams):
                leader_state.defers_reply(announcement(number))
            for command in leader_state.commands(2520.0):
                log.commit(command)

    return median_cpu_ms(handle_crash, 1)


def measure_changes(sizes: list[int]) -> Table:
    """Measure settings changes by the length of the audit trail."""
    rows: list[list[object]] = []
    site = keyed_site(256)
    for count in sizes:
        log = InstantLog(ControlState())
        started = time.process_time()
        for base_revision in range(count):
            log.commit(settings_change(site, base_revision))
        apply_ms = (time.process_time() - started) * 1000 / count
        snapshot = log.state.snapshot()
        rows.append([count, apply_ms, len(snapshot), median_cpu_ms(log.state.snapshot)])
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
