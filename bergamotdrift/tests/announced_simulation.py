"""Simulation of a leader and of upstreams that learn their ranges from replies."""

import itertools
import random
from typing import NamedTuple

from bergamotdrift.clock import ManualClock
from bergamotdrift.config.schema import RangeGrants
from bergamotdrift.control_state import ControlState
from bergamotdrift.leader_state import LeaderState
from bergamotdrift.messages import (
    Announcement,
    HeldRange,
    PartitionState,
    ReleasedRange,
    UpstreamState,
)
from bergamotdrift.range_leases import CLOCK_DRIFT
from bergamotdrift.range_replies import RangeReplies
from bergamotdrift.tests.test_range_planner import SETTINGS

STEP_MS = 10.0
INTERVAL_MS = 870.0
REPLY_TIMEOUT_MS = 1000.0
EARLY_MS = 100.0


class Faults(NamedTuple):
    """Hold the probabilities of faults of one announcement."""

    lost: float = 0.0
    late: float = 0.0
    repeated: float = 0.0
    reply_lost: float = 0.0


NO_FAULTS = Faults()


class Held(NamedTuple):
    """Hold a granted range with the end of its lease and of the work on it."""

    first: int
    last: int
    epoch: int
    until: float
    busy_until: float = 0.0


class AnnouncingUpstream:
    """Upstream that holds what the replies to its announcements state."""

    def __init__(self, sim, name, born):
        self.sim, self.name, self.born = sim, name, born
        self.drift = sim.rng.choice((0.0, CLOCK_DRIFT))
        self.state = UpstreamState.READY
        self.alive = self.reachable = True
        self.held: list[Held] = []
        self.releasing: list[Held] = []
        self.released: list[ReleasedRange] = []
        self.sequence = 0
        self.due = sim.now + sim.rng.uniform(0, INTERVAL_MS)
        self.waiting_until = 0.0
        self.sent_released: list[ReleasedRange] = []

    def step(self, now):
        self.held = [h for h in self.held if h.until > now]
        for item in [r for r in self.releasing if r.busy_until <= now]:
            self.releasing.remove(item)
            # An expired lease is not reported as released.
            if item.until > now:
                token = f"{self.name}-{item.first}-{item.epoch}"
                self.released.append(ReleasedRange(item.first, item.last, token))
        if self.alive and now >= self.due and now >= self.waiting_until:
            self.announce(now)

    def announce(self, now):
        self.sequence += 1
        self.waiting_until = now + REPLY_TIMEOUT_MS
        self.due = now + INTERVAL_MS
        self.sent_released = list(self.released)
        known = [*self.held, *self.releasing]
        item = Announcement(
            "cases",
            self.name,
            f"10.0.0.1:{self.name[1:]}",
            "a",
            str(self.born),
            self.state,
            slots=2,
            born_ms=self.born,
            sequence=self.sequence,
            held_ranges=[HeldRange(*h[:3]) for h in known],
            released_ranges=self.sent_released,
        )
        self.sim.send(self, item, now)

    def on_reply(self, sequence, sent_at, reply, now):
        if not self.alive or sequence != self.sequence:
            return
        if now >= sent_at + REPLY_TIMEOUT_MS:
            return
        self.waiting_until = 0.0
        self.released = [r for r in self.released if r not in self.sent_released]
        if reply is None:
            return
        until = sent_at + reply.hold_ms * (1 + self.drift)
        kept = [Held(g.first, g.last, g.epoch, until) for g in reply.grants]
        for old in self.held:
            for first, last in left_out(old, kept):
                busy = now + self.sim.rng.choice((0.0, 0.0, 150.0, 700.0))
                part = Held(first, last, old.epoch, old.until, busy)
                self.releasing.append(part)
                self.due = now + EARLY_MS
        self.held = kept

    def owned(self, now):
        """Return the spans that this process holds or still works on."""
        if not self.alive:
            return []
        busy = [h for h in self.releasing if min(h.busy_until, h.until) > now]
        return [(h.first, h.last) for h in [*self.held, *busy] if h.until > now]


def left_out(old, kept):
    """Return the parts of a range that no kept range covers."""
    spans = [(old.first, old.last)]
    for item in kept:
        rest = []
        for first, last in spans:
            if item.last < first or last < item.first:
                rest.append((first, last))
                continue
            if first < item.first:
                rest.append((first, item.first - 1))
            if item.last < last:
                rest.append((item.last + 1, last))
        spans = rest
    return spans


class AnnouncedSimulation:
    """Runs leaders and upstreams over a network that loses, delays and repeats.

    It checks after each step that no key is held by two upstreams.
    """

    def __init__(self, seed, count=4, commit_ms=30.0):
        self.rng = random.Random(seed)
        self.now = 0.0
        self.faults = NO_FAULTS
        self.commit_ms = commit_ms
        self.state = ControlState()
        self.state.settings.current = SETTINGS
        self.index = 1
        self.events = []
        self.reply_waits_ms: list[float] = []
        self.numbers = itertools.count()
        self.past: list[AnnouncingUpstream] = []
        self.upstreams = {}
        self.has_leader = True
        self.new_leader()
        for number in range(count):
            self.start_upstream(f"u{number}")

    # The interface of a leader

    def leader_state(self):
        return self.leader if self.has_leader else None

    def wake(self):
        pass

    def new_leader(self):
        self.leader = LeaderState(
            self.state, self.now, range_grants=RangeGrants.ANNOUNCED
        )
        self.replies = RangeReplies(self, self.state, ManualClock(0.0))
        self.proposed, self.committed_at = [], 0.0
        self.has_leader = True

    def start_upstream(self, name):
        if name in self.upstreams:
            self.upstreams[name].alive = False
            self.past.append(self.upstreams[name])
        self.upstreams[name] = AnnouncingUpstream(self, name, int(self.now) + 1)

    def at(self, when, call):
        self.events.append((when, next(self.numbers), call))

    def send(self, upstream, item, now):
        if not upstream.reachable or self.rng.random() < self.faults.lost:
            return
        copies = 2 if self.rng.random() < self.faults.repeated else 1
        for _ in range(copies):
            delay = self.rng.uniform(1, 20)
            if self.rng.random() < self.faults.late:
                delay = self.rng.choice((400.0, 950.0, 1500.0, 3000.0))
            self.at(now + delay, lambda: self.receive(upstream, item, now))

    def receive(self, upstream, item, sent_at):
        leader = self.leader_state()
        if leader is None:
            return
        received = self.now
        error = leader.announce(item, received).error
        if error:
            return

        def poll(pending):
            if pending is not None and pending.must_wait(self.now):
                self.at(self.now + STEP_MS, lambda: poll(pending))
                return
            held = None if pending is None else self.replies.close(pending)
            self.reply_waits_ms.append(self.now - received - self.commit_ms - 20)
            lost = not upstream.reachable or self.rng.random() < self.faults.reply_lost
            if not lost:
                late = self.rng.random() < self.faults.late
                delay = self.rng.choice((300.0, 990.0, 2500.0)) if late else 5.0
                self.at(
                    self.now + delay,
                    lambda: upstream.on_reply(item.sequence, sent_at, held, self.now),
                )

        # The handler waits until the announcement is committed.
        self.at(
            self.now + self.commit_ms + 20,
            lambda: poll(self.replies.open(leader, item, received)),
        )

    def run(self, ms):
        end = self.now + ms
        while self.now < end:
            self.now += STEP_MS
            due = sorted(e for e in self.events if e[0] <= self.now)
            self.events = [e for e in self.events if e[0] > self.now]
            for _, _, call in due:
                call()
            for upstream in self.upstreams.values():
                upstream.step(self.now)
            if self.has_leader:
                self.round()
            self.check_sole_ownership()

    def round(self):
        if self.proposed and self.now < self.committed_at:
            return
        for command in self.proposed:
            self.index += 1
            self.state.apply_command(self.index, command)
        self.proposed = self.leader.commands(self.now)
        self.committed_at = self.now + self.commit_ms

    def check_sole_ownership(self):
        spans = sorted(
            (low, high, name)
            for name, upstream in self.upstreams.items()
            for low, high in upstream.owned(self.now)
        )
        for (_, high, one), (low, _, two) in itertools.pairwise(spans):
            if one != two:
                assert low > high, (self.now, one, two, low, high)

    def held_keys(self):
        return sum(
            last - first + 1
            for upstream in self.upstreams.values()
            for first, last in [
                (h.first, h.last) for h in upstream.held if h.until > self.now
            ]
        )

    def rows(self):
        return self.state.rows.ranges_of("cases")

    def owners(self):
        return {r.upstream for r in self.rows() if r.state is PartitionState.OWNED}
