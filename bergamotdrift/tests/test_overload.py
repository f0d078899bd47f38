import heapq
import itertools
import random
import unittest
from collections import deque
from typing import NamedTuple

from bergamotdrift import control_commands as cmd
from bergamotdrift.arbiter_messages import AttemptOutcome
from bergamotdrift.dialect import AnswerLoad
from bergamotdrift.direct_load import DirectLoad
from bergamotdrift.feed_tables import UpstreamId
from bergamotdrift.messages import (
    LAST_KEY,
    KeyLoad,
    PartitionState,
    UpstreamOverload,
    UpstreamRow,
    UpstreamSpeed,
    UpstreamState,
)
from bergamotdrift.overload import (
    ADMITTED_LOAD,
    OVERLOAD_TTL_MS,
    OverloadGate,
    overloads_of,
)
from bergamotdrift.tests.test_range_planner import PlannerSimulation

ENTRIES = 185
SLOTS = 4
QUEUE = 16
WORK_MS = 500.0
OFFERED_PER_S = 60.0
CAPACITY_PER_S = SLOTS * 1000.0 / WORK_MS
AIM_MS = 2000.0
DURATION_MS = 20_000.0
OWNER = UpstreamId("cases", "u1")
ROW = UpstreamRow("cases", "u1", "10.0.0.1:1", "a", "1", UpstreamState.READY, SLOTS)


class Outcome(NamedTuple):
    """Count what became of the requests for a hot key."""

    served: int
    in_aim: int
    rejected: int
    mean_ms: float


class HotKeyModel:
    """One upstream with a queue, and requests for its key from all entries."""

    def __init__(self, seed, admitted=None):
        self.rng = random.Random(seed)
        self.loads = [DirectLoad(ROW, SLOTS) for _ in range(ENTRIES)]
        self.gates = [OverloadGate(self.rng) for _ in range(ENTRIES)]
        self.admitted = admitted
        self.running = 0
        self.queue: deque = deque()
        self.latencies = []
        self.rejected = 0
        self.numbers = itertools.count()
        self.events: list = []

    def run(self):
        at = 0.0
        while at < DURATION_MS:
            at += self.rng.expovariate(OFFERED_PER_S / 1000.0)
            self.push(at, self.arrive, self.rng.randrange(ENTRIES))
        for tick in range(0, int(DURATION_MS), 500):
            self.push(float(tick), self.tell, 0)
        while self.events:
            now, _, call, argument = heapq.heappop(self.events)
            call(argument, now)
        in_aim = sum(latency <= AIM_MS for latency in self.latencies)
        mean_ms = sum(self.latencies) / len(self.latencies)
        return Outcome(len(self.latencies), in_aim, self.rejected, mean_ms)

    def push(self, at, call, argument):
        heapq.heappush(self.events, (at, next(self.numbers), call, argument))

    def tell(self, _, now):
        if self.admitted is not None:
            item = UpstreamOverload(*OWNER, round(1000 * self.admitted))
            for gate in self.gates:
                gate.update([item], now)

    def arrive(self, number, now):
        load = self.loads[number]
        if self.gates[number].refuses(OWNER, now) or not load.has_room(ENTRIES, now):
            return
        if len(self.queue) >= QUEUE:
            self.rejected += 1
            load.record_load(self.stated(), now)
            load.record_outcome(AttemptOutcome.SHED, 0.0, now)
            return
        load.in_flight += 1
        self.queue.append((number, now))
        self.begin(now)

    def begin(self, now):
        while self.queue and self.running < SLOTS:
            self.running += 1
            work_ms = WORK_MS * self.rng.uniform(0.5, 1.5)
            self.push(now + work_ms, self.end, self.queue.popleft())

    def end(self, item, now):
        number, arrived = item
        self.running -= 1
        load = self.loads[number]
        load.in_flight -= 1
        load.record_load(self.stated(), now)
        self.latencies.append(now - arrived)
        self.begin(now)

    def stated(self):
        return AnswerLoad(self.running, len(self.queue), SLOTS, 1.0)


class HotKeyTests(unittest.TestCase):
    """Guards requests for a key that many entries ask one upstream for.

    Pattern: seven times the capacity of one upstream, spread over 185 entries that each
    see a request every few seconds.
    """

    def test_fewer_are_rejected_and_more_are_served_in_time(self):
        load = OFFERED_PER_S / CAPACITY_PER_S
        for seed in range(5):
            with self.subTest(seed=seed):
                alone = HotKeyModel(seed).run()
                told = HotKeyModel(seed, ADMITTED_LOAD / load).run()
                self.assertLess(told.rejected, alone.rejected / 20)
                self.assertGreater(told.in_aim, 2 * alone.in_aim)
                self.assertLess(told.mean_ms, alone.mean_ms)

    # Guards against an upstream that idles since too much is refused.
    def test_upstream_stays_busy(self):
        load = OFFERED_PER_S / CAPACITY_PER_S
        for seed in range(5):
            told = HotKeyModel(seed, ADMITTED_LOAD / load).run()
            served_per_s = told.served * 1000.0 / DURATION_MS
            self.assertGreater(served_per_s, 0.85 * CAPACITY_PER_S)


class OverloadGateTests(unittest.TestCase):
    """Guards against requests that are refused without need."""

    def setUp(self):
        self.gate = OverloadGate(random.Random(1))

    def refused(self, now_ms=0.0):
        return sum(self.gate.refuses(OWNER, now_ms) for _ in range(1000))

    def test_unknown_upstream_is_not_refused(self):
        self.assertEqual(self.refused(), 0)
        self.gate.update([UpstreamOverload("cases", "u2", 100)], 0.0)
        self.assertEqual(self.refused(), 0)

    def test_admitted_part_is_sent(self):
        self.gate.update([UpstreamOverload(*OWNER, 300)], 0.0)
        self.assertAlmostEqual(self.refused(), 700, delta=60)

    def test_overload_ends_when_it_is_no_longer_stated(self):
        self.gate.update([UpstreamOverload(*OWNER, 0)], 0.0)
        self.assertEqual(self.refused(), 1000)
        self.assertEqual(self.refused(OVERLOAD_TTL_MS), 0)
        self.gate.update([], 10.0)
        self.assertEqual(self.refused(20.0), 0)

    # Guards against callers of a hot key that all return at the same moment.
    def test_callers_return_spread_over_the_time_they_have(self):
        times = [self.gate.retry_after_s(6000.0) for _ in range(200)]
        self.assertGreater(max(times) - min(times), 1.0)
        self.assertLessEqual(max(times), 2.0)
        self.assertEqual(self.gate.retry_after_s(-5.0), 0.0)


class PlannedOverloadTests(unittest.TestCase):
    """Guards the part of requests that the leader lets entries send."""

    def test_only_loads_above_the_capacity_count(self):
        found = overloads_of("cases", {"u1": 0.9, "u2": 1.1, "u3": 1.9})
        self.assertEqual(found, [UpstreamOverload("cases", "u3", 500)])

    def test_hot_key_is_an_overload_of_its_owner_alone(self):
        sim = PlannerSimulation(1)
        sim.run(3000)
        for name in sim.upstreams:
            sim.planner.speeds.add("e1", [UpstreamSpeed("cases", name, 500)])
        for _ in range(6):
            sim.planner.add_loads([KeyLoad("cases", LAST_KEY, 20)], sim.now)
            sim.run(500)
        planned = sim.planner.take_overloads()
        assert planned is not None
        (found,) = planned
        owner = sim.state.rows.ranges_of("cases")[-1]
        self.assertEqual(owner.state, PartitionState.OWNED)
        self.assertEqual(found.upstream, owner.upstream)
        # Two slots at 500 ms serve 4 of about 40 requests per second.
        self.assertAlmostEqual(found.admitted_permille, 120, delta=40)

    def test_upstream_that_left_is_no_overload(self):
        sim = PlannerSimulation(2)
        sim.run(3000)
        sim.planner.add_loads([KeyLoad("cases", 5, 500)], sim.now)
        rows = sim.state.rows.upstreams.rows()
        sim.apply(
            cmd.PutUpstreams([r._replace(state=UpstreamState.LEAVING) for r in rows])
        )
        sim.run(500)
        self.assertEqual(sim.planner.take_overloads(), [])


if __name__ == "__main__":
    unittest.main()
