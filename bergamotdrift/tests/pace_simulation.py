"""Simulation of entries and a control leader that pace the requests to upstreams.

It uses the pure parts of both sides with a clock that is advanced by hand.
"""

import heapq
import itertools
import random
from dataclasses import dataclass

from bergamotdrift.arbiter_messages import AttemptOutcome
from bergamotdrift.clock import ManualClock
from bergamotdrift.config.schema import (
    ColdBound,
    ColdStartSettings,
    Fencing,
    ServiceKind,
    ServiceSettings,
    SiteSettings,
)
from bergamotdrift.constants import PING_INTERVAL_MS
from bergamotdrift.feed_tables import UpstreamId
from bergamotdrift.leader_pace_client import (
    EARLY_PING_INTERVAL_MS,
    LeaderPaceClient,
    Response,
)
from bergamotdrift.pace_buckets import PaceBuckets

PER_S = 8.3
BOUND = ColdBound(1.5, 8.0)
SERVICE = ServiceSettings(
    "s",
    ServiceKind.RANGED,
    0,
    Fencing.NONE,
    3,
    380,
    ColdStartSettings(1, 3.0, PER_S),
    5000,
    100,
)
SETTINGS = SiteSettings("s", (), (SERVICE,), (), ())
# A fifth of the shortest target of the requests, 289 ms.
WAIT_MS = 58.0
_ELECTION_MS = 600.0


def sound(upstream, now_ms):
    """Respond soundly."""
    return Response(AttemptOutcome.ANSWERED)


@dataclass(eq=False)
class _Waiter:
    """Hold a request that waits for a token."""

    key: UpstreamId
    end_ms: float


class SimulatedEntry:
    """Run the entry's side; `pinged` sends a ping to the leader."""

    def __init__(self, name, sim):
        self.sim = sim
        self.name = name
        self.client = LeaderPaceClient(sim.clock, name, sim.bound)
        self.client.request_ping = self.ping_early
        self.waiting = []
        self.pinged_at_ms = -1e9
        self.early_due = False
        self.outstanding = 0
        self.stream = 0
        self.frozen_until_ms = 0.0
        self.pings = 0
        self.delay_ms = (2.0, 6.0)
        self.is_cut = False

    def start(self):
        self.sim.after(self.sim.rng.uniform(0, PING_INTERVAL_MS), self.on_interval)

    def on_interval(self):
        if not self.outstanding:
            self.ping()
        self.sim.after(PING_INTERVAL_MS, self.on_interval, self)

    def ping_early(self, interval_ms=EARLY_PING_INTERVAL_MS):
        if not self.early_due:
            self.early_due = True
            left_ms = self.pinged_at_ms + interval_ms - self.sim.now
            self.sim.after(max(0.0, left_ms), self.on_early, self)

    def on_early(self):
        if self.outstanding:
            # Sent once the reply is here.
            return
        if self.early_due:
            self.ping()

    def ping(self):
        self.early_due = False
        self.pings += 1
        self.pinged_at_ms = asked_ms = self.sim.now
        needs = self.client.pace_needs()
        self.outstanding += 1
        stream = self.stream
        delay = self.sim.rng.uniform(*self.delay_ms)
        self.sim.after(delay, lambda: self.sim.on_ping(self, needs, asked_ms, stream))

    def reconnect(self):
        """Leave the stream; what it still carries to the entry is lost."""
        self.stream += 1
        self.outstanding = 0

    def on_pong(self, lots, asked_ms, stream):
        if stream != self.stream:
            return
        self.outstanding -= 1
        self.client.take_paces(lots, asked_ms)
        self.serve()
        if self.early_due:
            self.early_due = False
            self.ping_early()

    def request(self, key):
        if self.client.has_token(key, SERVICE):
            self.send(key)
            return
        waiter = _Waiter(key, self.sim.now + WAIT_MS)
        self.waiting.append(waiter)
        self.recheck(waiter)

    def recheck(self, waiter):
        if waiter not in self.waiting:
            return
        free_at_ms = self.client.free_at_ms(waiter.key)
        is_late = free_at_ms is not None and free_at_ms > waiter.end_ms
        if is_late or self.sim.now >= waiter.end_ms:
            self.stop_waiting(waiter)
            self.sim.refused.append((self.sim.now, waiter.key))
            return
        free_at_ms = self.client.start_wait(waiter, waiter.key, waiter.end_ms, 0)
        next_ms = min(waiter.end_ms, free_at_ms or waiter.end_ms)
        self.sim.after(next_ms - self.sim.now, lambda: self.recheck(waiter), self)

    def stop_waiting(self, waiter):
        self.waiting.remove(waiter)
        self.client.end_wait(waiter)

    def serve(self):
        for waiter in list(self.waiting):
            if self.client.has_token(waiter.key, SERVICE):
                self.stop_waiting(waiter)
                self.send(waiter.key)
            else:
                self.recheck(waiter)

    def send(self, key):
        self.client.take(key)
        arrives_ms = self.sim.now + self.sim.rng.uniform(1.0, 20.0)
        self.sim.sent.setdefault(key, []).append(arrives_ms)
        response = self.sim.respond(key, arrives_ms)
        self.sim.after(100.0, lambda: self.client.record(key, response), self)


class PaceSimulation:
    """Drive entries and a leader; `respond` says how an upstream responds."""

    def __init__(self, entries, seed=1, bound=BOUND, respond=sound):
        self.rng = random.Random(seed)
        self.clock = ManualClock(100_000.0)
        self.bound = bound
        self.respond = respond
        self.events = []
        self.numbers = itertools.count()
        self.sent = {}
        self.refused = []
        self.asked = 0
        self.leader: PaceBuckets | None = PaceBuckets(bound, self.now - 10_000.0)
        self.incarnation = "1"
        self.entries = [SimulatedEntry(f"e{n}", self) for n in range(entries)]
        members = frozenset(entry.name for entry in self.entries)
        for entry in self.entries:
            entry.client.share.set_members(members)
            entry.start()

    @property
    def now(self):
        return self.clock.now_ms()

    def after(self, delay_ms, action, entry=None):
        """Run an action later; one of a frozen entry runs when it thaws."""

        def run():
            if entry is not None and entry.frozen_until_ms > self.now:
                self.after(entry.frozen_until_ms - self.now, run)
            else:
                action()

        at_ms = self.now + max(0.0, delay_ms)
        heapq.heappush(self.events, (at_ms, next(self.numbers), run))

    def run(self, ms):
        end_ms = self.now + ms
        while self.events and self.events[0][0] <= end_ms:
            at_ms, _, action = heapq.heappop(self.events)
            self.clock.advance(max(0.0, at_ms - self.now))
            action()
        self.clock.advance(end_ms - self.now)

    def on_ping(self, entry, needs, asked_ms, stream):
        if entry.is_cut or self.leader is None:
            return
        lots = self.leader.lease(
            entry.name, needs, SETTINGS, lambda key: self.incarnation, self.now
        )
        delay = self.rng.uniform(*entry.delay_ms)
        self.after(delay, lambda: entry.on_pong(lots, asked_ms, stream), entry)

    def demand(self, per_s, seconds, upstreams=("u",), weights=None):
        """Spread requests at random over upstreams and entries."""
        at_s = 0.0
        while True:
            at_s += self.rng.expovariate(per_s * len(upstreams))
            if at_s >= seconds:
                return
            key = UpstreamId("s", self.rng.choice(upstreams))
            (entry,) = self.rng.choices(self.entries, weights)
            self.asked += 1
            self.after(at_s * 1000.0, lambda e=entry, k=key: e.request(k), entry)

    def lose_leader(self, wait_ms=_ELECTION_MS):
        """End the leader, and let another one begin after a time."""
        self.leader = None
        for entry in self.entries:
            entry.reconnect()
        self.after(wait_ms, self.elect)

    def elect(self):
        self.leader = PaceBuckets(self.bound, self.now)
        for entry in self.entries:
            entry.reconnect()

    def most_in_a_second(self, upstream="u"):
        """Return the most requests that reached an upstream within a second."""
        times = sorted(self.sent.get(UpstreamId("s", upstream), ()))
        most = first = 0
        for last, at_ms in enumerate(times):
            while times[first] <= at_ms - 1000.0:
                first += 1
            most = max(most, last - first + 1)
        return most

    def count_sent(self, from_ms=0.0, until_ms=float("inf"), upstream="u"):
        """Return how many requests reached an upstream between two times."""
        times = self.sent.get(UpstreamId("s", upstream), ())
        return sum(from_ms <= at_ms < until_ms for at_ms in times)
