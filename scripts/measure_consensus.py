"""Measure the throughput, idle cost and recovery of the replicated log.

All replicas run in this process over loopback, so CPU time is that of the whole group.
"""

import random
import shutil
import sys
import tempfile
import time
from pathlib import Path

import gevent
from tabulate import tabulate

from bergamotdrift.raft import Raft
from bergamotdrift.raft_log import RaftLog
from bergamotdrift.raft_memory import MemoryLog
from bergamotdrift.raft_messages import Entry, EntryKind, HardState, SyncBatch
from bergamotdrift.tests.replica_group import ReplicaGroup

_COMMAND = bytes(100)
_BATCH_SIZES = (1, 8, 64, 512)
_GROUP_SIZES = (1, 3, 5, 7)
_RECOVERY_ENTRIES = (1_000, 10_000, 100_000)
_PROPOSALS = 2_000
_IDLE_S = 3.0


def measure_proposals(batch):
    """Return a row for three voters with `batch` concurrent proposals."""
    group = ReplicaGroup(3, snapshot_entries=10 * _PROPOSALS)
    try:
        group.start()
        group.leader()
        rounds = max(20, _PROPOSALS // batch)
        cpu_s = time.process_time()
        wall_s = time.monotonic()
        latencies = [_propose_concurrently(group, batch) for _ in range(rounds)]
        cpu_s = time.process_time() - cpu_s
        wall_s = time.monotonic() - wall_s
        count = rounds * batch
        leader = group.leader()
        entries = leader.replica.status().commit_index
        log_bytes = (leader.folder / "log").stat().st_size
        return (
            batch,
            count,
            1e6 * cpu_s / count,
            1e3 * sorted(latencies)[rounds // 2],
            count / wall_s,
            log_bytes / entries,
        )
    finally:
        group.close()


def _propose_concurrently(group, count):
    """Propose commands concurrently to the current leader; return the seconds taken."""
    started_s = time.monotonic()
    greenlets = [gevent.spawn(group.propose, _COMMAND) for _ in range(count)]
    gevent.joinall(greenlets, raise_error=True)
    return time.monotonic() - started_s


def measure_heartbeats(voters):
    """Return a row with the CPU time of an idle group."""
    group = ReplicaGroup(voters)
    try:
        group.start()
        group.leader()
        gevent.sleep(1.0)
        started_s = time.process_time()
        gevent.sleep(_IDLE_S)
        cpu_share = (time.process_time() - started_s) / _IDLE_S
        peers = voters - 1
        # Covers both ends of ten Raft heartbeats a second and of the stream heartbeats.
        per_peer = 1e3 * cpu_share / peers if peers else 0.0
        return (voters, 1e2 * cpu_share, per_peer)
    finally:
        group.close()


def measure_recovery(entries):
    """Return a row with the median time of five recoveries of a data folder."""
    folder = Path(tempfile.mkdtemp(prefix="bergamotdrift-"))
    try:
        _write_log(folder, entries)
        size = (folder / "log").stat().st_size
        duration_s = sorted(_recover(folder, entries) for _ in range(5))[2]
        return (
            entries,
            size,
            size / entries,
            1e3 * duration_s,
            1e6 * duration_s / entries,
        )
    finally:
        shutil.rmtree(folder)


def _recover(folder, entries):
    """Load a data folder, apply all entries and return the seconds taken."""
    started_s = time.monotonic()
    log = RaftLog(folder, "c1")
    stored = log.open()
    memory = MemoryLog(stored.snapshot, stored.entries)
    raft = Raft(log.replica, stored.hard_state, memory, random.Random(1), 0.0)
    batches = iter(lambda: raft.take_ready().committed, [])
    applied = sum(len(b) for b in batches)
    duration_s = time.monotonic() - started_s
    log.close()
    if applied != entries:
        raise RuntimeError(f"{applied} of {entries} entries were applied")
    return duration_s


def _write_log(folder, entries):
    log = RaftLog(folder, "c1")
    log.open()
    for first in range(1, entries + 1, 100):
        indexes = range(first, min(first + 100, entries + 1))
        batch = [Entry(i, 1, EntryKind.COMMAND, _COMMAND) for i in indexes]
        hard_state = HardState(1, "c1-1", indexes[-1], "g")
        log.write(SyncBatch(hard_state, None, batch, True, []))
    log.close()


def main():
    """Print all tables."""
    print(
        tabulate(
            [measure_proposals(batch) for batch in _BATCH_SIZES],
            [
                "proposals at once",
                "proposals",
                "processor us/proposal, 3 replicas",
                "median ms",
                "proposals/s",
                "log bytes/entry",
            ],
            floatfmt=".1f",
        )
    )
    print()
    print(
        tabulate(
            [measure_heartbeats(voters) for voters in _GROUP_SIZES],
            ["replicas", "idle processor %, all", "processor ms/s per peer"],
            floatfmt=".2f",
        )
    )
    print()
    print(
        tabulate(
            [measure_recovery(entries) for entries in _RECOVERY_ENTRIES],
            ["entries", "log bytes", "bytes/entry", "recovery ms", "us/entry"],
            floatfmt=".1f",
        )
    )
    return 0


if __name__ == "__main__":
    sys.exit(main())
