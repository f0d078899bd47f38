"""Random schedules of entries, streams and takeovers around one permit shard.

Entries follow the message contract. Messages of a stream stay in order but are
delayed, and a lost stream drops those in transit. The model counts what actually runs
at the upstreams, which the arbiter can't observe directly.
"""

import random
from collections import Counter, deque

from bergamotdrift.arbiter_messages import (
    AttemptOutcome,
    ConnectionDropped,
    KeptConnections,
    PermitCancel,
    PermitGrant,
    PermitRelease,
    Resume,
    Revoke,
    RunningPermit,
)
from bergamotdrift.arbitration import Arbitration
from bergamotdrift.clock import ManualClock
from bergamotdrift.messages import (
    PartitionRow,
    PartitionState,
)
from bergamotdrift.outputs import Notice
from bergamotdrift.shards import upstream_shard
from bergamotdrift.tests import arbiter_support as support

SHARD = upstream_shard("archive", "u0")
_OUTCOMES = [AttemptOutcome.ANSWERED] * 40 + [
    AttemptOutcome.SHED,
    AttemptOutcome.TIMEOUT,
    AttemptOutcome.CONNECT_FAILED,
    AttemptOutcome.FENCED,
]


class ModelEntry:
    """Holds one entry's requests and connections, and both directions of its stream."""

    def __init__(self, entry, epoch):
        self.id = entry
        self.epoch = epoch
        self.waiting: dict = {}
        self.running: dict = {}
        self.kept: Counter = Counter()
        self.to_arbiter: deque = deque()
        self.from_arbiter: deque = deque()
        self.connected = False

    def drop_stream(self):
        self.to_arbiter.clear()
        self.from_arbiter.clear()
        self.connected = False
        self.waiting.clear()

    def connect(self):
        self.connected = True
        permits = [
            RunningPermit(g.permit, g.upstream, req.partition, 1, req.workspace)
            for g, req in self.running.values()
        ]
        kept = [KeptConnections(u, n) for u, n in self.kept.items() if n]
        self.to_arbiter.append(Resume(SHARD, self.epoch, permits, kept, []))


class Schedule:
    """Runs random steps and checks the bounds after each one."""

    def __init__(self, seed, entries=3, upstreams=2, slots=2, ramp_s=0.0, partitions=0):
        self.rng = random.Random(seed)
        self.clock = ManualClock()
        self.service = support.service(slots=slots, connections=9, ramp_s=ramp_s)
        self.epoch = 1
        self.last_request = 0
        self.granted: Counter = Counter()
        self.partitions = [
            PartitionRow("archive", n, "u0", 1, PartitionState.OWNED)
            for n in range(partitions)
        ]
        self.drained: set[int] = set()
        self.names = [f"u{n}" for n in range(upstreams)]
        self.entries = {
            support.entry(n): ModelEntry(support.entry(n), 1) for n in range(entries)
        }
        self.next_entry = entries
        self.arbiter = self.new_arbiter()

    def view(self):
        # Rows present in the arbiter's feed since time 0 have a known age.
        return support.pool_view(
            epoch=self.epoch,
            service=self.service,
            upstreams=tuple(support.upstream(name) for name in self.names),
            partitions=tuple(self.partitions),
            entries=frozenset(self.entries),
            warm_since_ms=dict.fromkeys(self.names, 0.0),
        )

    def new_arbiter(self):
        return Arbitration(SHARD, self.view(), self.clock, self.rng)

    def run(self, steps):
        choices = [
            (self.send_request, 14),
            (self.deliver_to_arbiter, 45),
            (self.deliver_to_entry, 45),
            (self.finish_request, 5),
            (self.cancel_request, 3),
            (self.close_kept_connection, 1),
            (self.lose_stream, 0.7),
            (self.connect, 12),
            (self.follow_takeover, 10),
            (self.take_over, 0.8),
            (self.lose_entry, 0.3),
            (self.add_entry, 0.3),
            (self.advance, 8),
            (self.release_partition, 0.5),
        ]
        actions = [action for action, _ in choices]
        weights = [weight for _, weight in choices]
        for action in self.rng.choices(actions, weights, k=steps):
            action()
            self.check_bounds()

    def send_request(self):
        self.last_request += 1
        partition = -1
        if self.partitions:
            partition = self.rng.choice(self.partitions).partition
        model = self.pick_entry(lambda model: model.connected)
        if model is None:
            return
        req = support.permit_request(
            self.last_request,
            workspace=self.rng.choice("abc"),
            shard=SHARD,
            epoch=model.epoch,
            partition=partition,
            partition_epoch=1,
            urgent=self.rng.random() < 0.3,
            deadline_ms=self.rng.choice([50, 500, 5000]),
        )
        model.waiting[req.request] = req
        model.to_arbiter.append(req)

    def deliver_to_arbiter(self):
        model = self.pick_entry(lambda model: model.to_arbiter)
        if model is None or model.epoch != self.epoch:
            return
        msg = model.to_arbiter.popleft()
        handler = {
            "PermitRequest": self.arbiter.request,
            "PermitRelease": self.arbiter.release,
            "PermitCancel": self.arbiter.cancel,
            "ConnectionDropped": self.arbiter.drop_connections,
            "Resume": self.arbiter.resume,
        }[type(msg).__name__]
        if type(msg).__name__ == "PermitRequest":
            self.deliver(handler(model.id, msg, (model.id, msg.request)))
        else:
            self.deliver(handler(model.id, msg))

    def deliver(self, outputs):
        for output in outputs:
            if isinstance(output, Notice):
                model = self.entries.get(output.entry)
                request = ""
            else:
                entry, request = output.ticket
                model = self.entries.get(entry)
                if isinstance(output.message, PermitGrant):
                    self.granted[request] += 1
            if model is not None and model.connected:
                model.from_arbiter.append((request, output.message))

    def deliver_to_entry(self):
        model = self.pick_entry(lambda model: model.from_arbiter)
        if model is None:
            return
        request, msg = model.from_arbiter.popleft()
        if isinstance(msg, Revoke):
            return
        req = model.waiting.pop(request, None)
        if isinstance(msg, PermitGrant) and req is not None:
            model.running[request] = (msg, req)
            if model.kept[msg.upstream]:
                model.kept[msg.upstream] -= 1

    def finish_request(self):
        model = self.pick_entry(lambda model: model.running)
        if model is None:
            return
        request = self.rng.choice(sorted(model.running))
        grant, _ = model.running.pop(request)
        outcome = self.rng.choice(_OUTCOMES)
        kept = grant.may_keep and outcome is AttemptOutcome.ANSWERED
        model.kept[grant.upstream] += kept
        if model.connected:
            model.to_arbiter.append(
                PermitRelease(SHARD, grant.permit, outcome, 10.0, kept)
            )

    def cancel_request(self):
        model = self.pick_entry(lambda model: model.waiting)
        if model is None:
            return
        request = self.rng.choice(sorted(model.waiting))
        req = model.waiting.pop(request)
        model.to_arbiter.append(PermitCancel(SHARD, request, req.attempt))

    def close_kept_connection(self):
        model = self.pick_entry(lambda model: +model.kept)
        if model is None:
            return
        name = self.rng.choice(sorted(+model.kept))
        model.kept[name] -= 1
        if model.connected:
            model.to_arbiter.append(ConnectionDropped(SHARD, name, 1))

    def lose_stream(self):
        model = self.pick_entry(lambda model: model.connected)
        if model is None:
            return
        if model.epoch == self.epoch:
            self.deliver(self.arbiter.disconnect(model.id))
        model.drop_stream()

    def connect(self):
        model = self.pick_entry(lambda model: not model.connected)
        if model is not None:
            model.connect()

    def take_over(self):
        """Replace the arbiter; entries learn of the takeover later, one by one."""
        self.epoch += 1
        self.arbiter = self.new_arbiter()

    def follow_takeover(self):
        model = self.pick_entry(lambda model: model.epoch != self.epoch)
        if model is None:
            return
        model.drop_stream()
        model.epoch = self.epoch
        model.connect()

    def lose_entry(self):
        """Expire an entry, which has already stopped its requests by its own clock."""
        if len(self.entries) > 1:
            del self.entries[self.rng.choice(sorted(self.entries))]
            self.deliver(self.arbiter.update(self.view()))

    def add_entry(self):
        if len(self.entries) < 5:
            entry = support.entry(self.next_entry)
            self.next_entry += 1
            self.entries[entry] = ModelEntry(entry, self.epoch)
            self.deliver(self.arbiter.update(self.view()))

    def advance(self):
        self.clock.advance(self.rng.choice([1, 5, 20, 100]))
        self.deliver(self.arbiter.tick())
        for ref in self.arbiter.drained():
            self.drained.add(ref.partition)

    def release_partition(self):
        if not self.partitions:
            return
        index = self.rng.randrange(len(self.partitions))
        row = self.partitions[index]
        self.partitions[index] = row._replace(state=PartitionState.RELEASING)
        self.deliver(self.arbiter.update(self.view()))

    def settle(self):
        """Deliver all messages and finish all requests without failures."""
        for _ in range(400):
            for model in list(self.entries.values()):
                if model.epoch != self.epoch:
                    model.drop_stream()
                    model.epoch = self.epoch
                if not model.connected:
                    model.connect()
            self.deliver_to_arbiter()
            self.deliver_to_entry()
            self.finish_request()
            self.check_bounds()
        self.clock.advance(6000)
        self.deliver(self.arbiter.tick())
        for _ in range(400):
            self.deliver_to_arbiter()
            self.deliver_to_entry()
            self.finish_request()

    def pick_entry(self, condition):
        found = [m for _, m in sorted(self.entries.items()) if condition(m)]
        return self.rng.choice(found) if found else None

    def count_running(self, name):
        return sum(
            grant.upstream == name
            for model in self.entries.values()
            for grant, _ in model.running.values()
        )

    def allowed_in_flight(self):
        """Return the most requests that an upstream's ramp may allow at this time."""
        ramp_ms = self.service.cold_start.ramp_s * 1000.0
        if not ramp_ms:
            return self.service.slots
        grown = 1.0 + (self.service.slots - 1) * self.clock.now_ms() / ramp_ms
        return min(self.service.slots, int(grown))

    def check_bounds(self):
        for name in self.names:
            running = self.count_running(name)
            assert running <= self.allowed_in_flight(), (
                f"{running} requests in flight at {name}"
            )
            kept = sum(model.kept[name] for model in self.entries.values())
            assert running + kept <= self.service.connections, "too many connections"
        for request, times in self.granted.items():
            assert times == 1, f"{request} was granted {times} times"
        for model in self.entries.values():
            for _, req in model.running.values():
                assert req.partition not in self.drained, (
                    "request runs in a drained partition"
                )
