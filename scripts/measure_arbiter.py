"""Measure the arbiter's CPU time and memory per operation and object, by size."""

import gc
import random
import time
import tracemalloc
from collections.abc import Callable
from functools import partial
from typing import Any, NamedTuple

import msgpack
from tabulate import tabulate

from bergamotdrift import messages
from bergamotdrift.arbiter_messages import (
    AttemptOutcome,
    PermitGrant,
    PermitRelease,
    PermitRequest,
    RecordBegin,
    Resume,
    TokenRequest,
)
from bergamotdrift.arbitration import Arbitration
from bergamotdrift.clock import ManualClock
from bergamotdrift.config.schema import (
    ColdStartSettings,
    Fencing,
    ServiceKind,
    ServiceSettings,
    WorkspaceSettings,
)
from bergamotdrift.messages import (
    PartitionRow,
    PartitionState,
    UpstreamRow,
    UpstreamState,
)
from bergamotdrift.outputs import Output, Reply
from bergamotdrift.shard_view import ShardView, WorkspaceView
from bergamotdrift.takeover import EntryId
from bergamotdrift.workspace_arbitration import WorkspaceArbitration

_ENTRY = EntryId("entry-1", "incarnation-1")
_POOL_SHARD = "pool:archive"
_ROUNDS = 3
_PERMITS = 6000


class Figure(NamedTuple):
    """Describe one measured figure."""

    subject: str
    size: str
    value: float
    unit: str


def _pool_service(queue_limit: int) -> ServiceSettings:
    cold_start = ColdStartSettings(1, 0.0)
    return ServiceSettings(
        "archive",
        ServiceKind.POOL,
        0,
        Fencing.NONE,
        4,
        110,
        cold_start,
        5000,
        queue_limit,
    )


def _build_pool(upstreams: int, queue_limit: int, clock: ManualClock) -> Arbitration:
    rows = tuple(
        UpstreamRow(
            "archive", f"u{n}", f"10.0.0.{n}:80", "z1", "i1", UpstreamState.READY
        )
        for n in range(upstreams)
    )
    entries = frozenset({_ENTRY})
    view = ShardView(1, _pool_service(queue_limit), rows, (), entries, frozenset())
    shard = Arbitration(_POOL_SHARD, view, clock, random.Random(1))
    shard.resume(_ENTRY, Resume(_POOL_SHARD, 1, [], [], []))
    return shard


def _request(number: int) -> PermitRequest:
    name = f"workspace-{number % 8}"
    return PermitRequest(
        f"request-{number:012d}", 0, _POOL_SHARD, 1, -1, 0, 0, name, False, 100_000
    )


def _release(permit: str) -> PermitRelease:
    return PermitRelease(_POOL_SHARD, permit, AttemptOutcome.ANSWERED, 5.0, True)


def _granted_permits(outputs: list[Output]) -> list[str]:
    return [
        output.message.permit
        for output in outputs
        if isinstance(output, Reply) and isinstance(output.message, PermitGrant)
    ]


def _best_of_rounds(measure_once: Callable[[], float]) -> float:
    return min(measure_once() for _ in range(_ROUNDS))


def _uncontended_permit_us(upstreams: int) -> float:
    """Return the CPU microseconds per permit granted from free slots."""
    clock = ManualClock()
    shard = _build_pool(upstreams, 4000, clock)
    started = time.process_time()
    for number in range(_PERMITS):
        clock.advance(1.0)
        (permit,) = _granted_permits(shard.request(_ENTRY, _request(number), number))
        shard.release(_ENTRY, _release(permit))
    return (time.process_time() - started) / _PERMITS * 1e6


def _queued_permit_us(upstreams: int, queued: int) -> float:
    """Return the CPU microseconds per permit granted from the queue."""
    clock = ManualClock()
    shard = _build_pool(upstreams, 2 * queued, clock)
    running: list[str] = []
    for number in range(4 * upstreams + queued):
        running += _granted_permits(shard.request(_ENTRY, _request(number), number))
    started = time.process_time()
    for number in range(100_000, 100_000 + _PERMITS):
        clock.advance(1.0)
        running += _granted_permits(shard.request(_ENTRY, _request(number), number))
        running += _granted_permits(shard.release(_ENTRY, _release(running.pop(0))))
    return (time.process_time() - started) / _PERMITS * 1e6


def _permit_with_codec_us(batch: int) -> float:
    """Return the CPU microseconds per permit, including the codec of its frames."""
    clock = ManualClock()
    shard = _build_pool(6, 4000, clock)
    unpacker = msgpack.Unpacker()
    started = time.process_time()
    for start in range(0, _PERMITS, batch):
        clock.advance(1.0)
        frames = b"".join(
            _pack_frame(number + 1, _request(number))
            for number in range(start, start + batch)
        )
        unpacker.feed(frames)
        for number, _flag, name, fields in unpacker:
            req = messages.unpack_body([name, fields])
            for permit in _granted_permits(shard.request(_ENTRY, req, number)):
                _pack_frame(number, PermitGrant(permit, "u1", "10.0.0.1:80", 0, True))
                unpacked = messages.decode(messages.encode(_release(permit)))
                shard.release(_ENTRY, unpacked)
    return (time.process_time() - started) / _PERMITS * 1e6


def _pack_frame(number: int, msg: Any) -> bytes:
    return msgpack.packb([number, 1, *messages.pack_body(msg)])


def _build_workspace(
    clock: ManualClock, entries: int, records: int
) -> WorkspaceArbitration:
    entry_ids = frozenset(EntryId(f"entry-{n}", "i1") for n in range(entries))
    limits = WorkspaceSettings("w", 1e6, 1_000_000, (), ())
    view = WorkspaceView(1, limits, entry_ids)
    shard = WorkspaceArbitration("workspace:w", view, clock, records_max=records)
    for entry in entry_ids:
        shard.resume(entry, Resume("workspace:w", 1, [], [], []))
    return shard


def _token_request_us(entries: int) -> float:
    """Return the CPU microseconds per token request."""
    clock = ManualClock()
    shard = _build_workspace(clock, entries, 10)
    entry_ids = sorted(shard.view.entries)
    started = time.process_time()
    for number in range(_PERMITS):
        clock.advance(1.0)
        shard.lease_tokens(entry_ids[number % entries], TokenRequest("w", 1, 4), number)
    return (time.process_time() - started) / _PERMITS * 1e6


def _allocated_bytes(build: Callable[[], Any]) -> int:
    gc.collect()
    tracemalloc.start()
    built = build()
    gc.collect()
    used = tracemalloc.get_traced_memory()[0]
    tracemalloc.stop()
    del built
    return used


def _build_shards(count: int) -> list[Arbitration]:
    clock = ManualClock()
    rng = random.Random(1)
    service = _pool_service(400)._replace(kind=ServiceKind.KEYED)
    shards = []
    for n in range(count):
        row = UpstreamRow("s", f"u{n}", "10.0.0.1:80", "z1", "i1", UpstreamState.READY)
        partitions = tuple(
            PartitionRow("s", 16 * n + p, f"u{n}", 1, PartitionState.OWNED)
            for p in range(16)
        )
        view = ShardView(
            1, service, (row,), partitions, frozenset({_ENTRY}), frozenset()
        )
        shards.append(Arbitration(f"upstream:s/u{n}", view, clock, rng))
    return shards


def _build_queue(count: int) -> Arbitration:
    shard = _build_pool(1, 2 * count, ManualClock())
    for number in range(count + 4):
        shard.request(_ENTRY, _request(number), (None, number))
    return shard


def _build_records(count: int) -> WorkspaceArbitration:
    shard = _build_workspace(ManualClock(), 1, 2 * count)
    (entry,) = shard.view.entries
    for number in range(count):
        msg = RecordBegin(
            "w", 1, f"sha256:{number:064d}", f"{number:064d}", f"r{number:012d}", 0
        )
        shard.begin_record(entry, msg, None)
    return shard


def _time_figures() -> list[Figure]:
    figures = [
        Figure(
            "permit + release, slots free",
            f"{n} upstreams",
            _best_of_rounds(partial(_uncontended_permit_us, n)),
            "us",
        )
        for n in (1, 6, 17, 120)
    ]
    figures += [
        Figure(
            "permit + release, from the queue",
            f"6 upstreams, {n} queued",
            _best_of_rounds(partial(_queued_permit_us, 6, n)),
            "us",
        )
        for n in (10, 100, 1000)
    ]
    figures += [
        Figure(
            "permit + release with codec",
            f"frames of {n}",
            _best_of_rounds(partial(_permit_with_codec_us, n)),
            "us",
        )
        for n in (1, 8, 24)
    ]
    figures += [
        Figure(
            "token request",
            f"{n} entries",
            _best_of_rounds(partial(_token_request_us, n)),
            "us",
        )
        for n in (1, 9, 200)
    ]
    return figures


def _memory_figures() -> list[Figure]:
    figures = [
        Figure(
            "shard of 16 partitions",
            str(n),
            _allocated_bytes(partial(_build_shards, n)) / n,
            "B",
        )
        for n in (10, 100, 1000)
    ]
    figures += [
        Figure(
            "upstream of a pool",
            str(n),
            _allocated_bytes(partial(_build_pool, n, 100, ManualClock())) / n,
            "B",
        )
        for n in (10, 100, 1000)
    ]
    figures += [
        Figure(
            "queued request",
            str(n),
            _allocated_bytes(partial(_build_queue, n)) / n,
            "B",
        )
        for n in (100, 1000, 10_000)
    ]
    figures += [
        Figure(
            "idempotency record",
            str(n),
            _allocated_bytes(partial(_build_records, n)) / n,
            "B",
        )
        for n in (100, 1000, 10_000)
    ]
    return figures


def main() -> None:
    """Print one line per figure."""
    rows = [
        (figure.subject, figure.size, f"{figure.value:.1f}", figure.unit)
        for figure in [*_time_figures(), *_memory_figures()]
    ]
    print(tabulate(rows, headers=["what", "size", "value", "unit"]))


if __name__ == "__main__":
    main()
