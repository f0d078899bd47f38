"""Simulation of a pool's rollout: the leader's planner, entries and upstreams.

Requests run on a simulated clock. Entries act on tables that are late, and report every
250 ms. Upstreams have slots and queue what exceeds them.
"""

import heapq
import itertools
import random
from types import SimpleNamespace

from bergamotdrift import control_commands as cmd
from bergamotdrift.arbiter_messages import AttemptOutcome
from bergamotdrift.config.schema import (
    STATED_RATE,
    ColdStartSettings,
    Fencing,
    RolloutBounds,
    RouteSettings,
    ServiceKind,
    ServiceSettings,
    SiteSettings,
    ZoneSettings,
    ZoneState,
)
from bergamotdrift.control_state import ControlState
from bergamotdrift.direct_selection import Chosen, DirectSelector
from bergamotdrift.feed_tables import FeedTables
from bergamotdrift.leader_pace_client import LeaderPaceClient
from bergamotdrift.messages import (
    NodeRow,
    Role,
    RolloutState,
    UpstreamRow,
    UpstreamState,
)
from bergamotdrift.rollout_plan import RolloutPlanner
from bergamotdrift.rollout_schedule import initial_share

STEP_MS = 5.0
PING_MS = 250.0
# One way between an entry and the leader.
LINK_MS = 30.0
ORDERED_MS = 1000.0
BOUNDS = RolloutBounds(0.1, 50.0, 5000.0)
UNIX_OFFSET_MS = 1e12
BAD_RESPONSES = 50


def service(name="s", slots=3):
    cold = ColdStartSettings(1, 3.0, 8.3)
    return ServiceSettings(
        name, ServiceKind.POOL, 0, Fencing.NONE, slots, 40, cold, 5000, 100
    )


def site(*services):
    routes = tuple(
        RouteSettings(f"/{s.name}", ("GET",), s.name, "", False, False, True, 1, name)
        for s in services
        for name in ("r1", "r2")
    )
    routes = tuple(route._replace(timeout_ms=4000) for route in routes)
    zones = (ZoneSettings("a", ZoneState.IN), ZoneSettings("b", ZoneState.IN))
    return SiteSettings("site", zones, services, routes, ())


class Upstream:
    """Serve requests with slots and a queue; a bad version fails by its `fault`."""

    def __init__(self, row, rng):
        self.row, self.rng = row, rng
        self.busy, self.queue = 0, []
        self.stopped = False

    def slowness(self, now_ms):
        """Return a factor from 0.7 to 1.8 that changes every 700 ms."""
        number = int(now_ms / 700.0)
        return 0.7 + 1.1 * random.Random(f"{self.row.upstream}/{number}").random()


class FixedShare(LeaderPaceClient):
    """Stand in for the leader's leases with an equal share of the stated rate."""

    def has_token(self, key, service):
        per_s = int(service.cold_start.per_s)
        return self.share.has_room(key.upstream, per_s, self._clock.now_ms())


class Entry:
    def __init__(self, number, seed, clock):
        zone = "ab"[number % 2]
        name = f"e{number}"
        self.row = NodeRow(name, Role.ENTRY, "i", f"vm{number}", zone, "")
        self.tables = FeedTables()
        paces = FixedShare(clock, name, STATED_RATE)
        self.selector = DirectSelector(name, zone, random.Random(seed), paces)
        self.clock = clock
        self.confirmed_ms = 0.0
        self.connected = True
        self.ping_due_ms = random.Random(seed).uniform(0, PING_MS)


class RolloutSimulation:
    """Run entries and upstreams of two versions, with `fault` for the new one.

    `fault(sim, route, upstream)` returns the outcome and the factor of the time that
    a request takes there.
    """

    def __init__(
        self, seed, entries=20, per_s=196.0, old=31, new=31, work_ms=200.0, fault=None
    ):
        self.rng = random.Random(seed)
        # Part of the responses of either version that are failures.
        self.noise = 0.0
        self.fault = fault or (lambda *_: (AttemptOutcome.ANSWERED, 1.0))
        self.now, self.index = 0.0, 0
        self.numbers = itertools.count()
        self.events = []
        self.state = ControlState()
        self.per_s, self.work_ms = per_s, work_ms
        self.settings = site(service(), service("t"))
        self.state.settings.current = self.settings
        self.state.settings.revision = 1
        clock = SimpleNamespace(now_ms=lambda: self.now)
        self.entries = [Entry(n, seed * 1000 + n, clock) for n in range(entries)]
        self.upstreams = {}
        self.planner = RolloutPlanner(self.state, BOUNDS, UNIX_OFFSET_MS)
        self.sent = {"v1": 0, "v2": 0}
        self.bad_at_ms = []
        self.v2_sent_at_ms = []
        self.steps = []
        self.ended_at_ms = None
        self.apply(cmd.RegisterNodes([e.row for e in self.entries]))
        for number in range(old):
            self.start_upstream(f"old{number}", "v1", number)
        for number in range(new):
            self.at(
                ORDERED_MS + 300.0,
                lambda number=number: self.start_upstream(f"new{number}", "v2", number),
            )

    def at(self, time_ms, action):
        heapq.heappush(self.events, (time_ms, next(self.numbers), action))

    def apply(self, command):
        self.index += 1
        outcome = self.state.apply_command(self.index, command)
        for entry in self.entries:
            self.at(self.now + LINK_MS, lambda entry=entry: self.feed(entry))
        return outcome

    def feed(self, entry):
        if not entry.connected:
            return
        update = self.state.update_since(entry.tables.index)
        if entry.tables.index == 0:
            update = update._replace(settings=self.settings, revision=1)
        if entry.tables.apply(update):
            entry.selector.update(entry.tables, self.now)
            entry.selector.versions.update(entry.tables.rollouts)
        entry.confirmed_ms = self.now

    def start_upstream(self, name, version, number=0, born=1, zone=None):
        row = UpstreamRow(
            "s",
            name,
            f"10.0.{version[1:]}.{number}:80",
            zone or "ab"[number % 2],
            str(born),
            UpstreamState.READY,
            3,
            born,
            version=version,
        )
        self.upstreams[name] = Upstream(row, self.rng)
        self.apply(cmd.PutUpstreams([row]))

    def set_state(self, name, state):
        up = self.upstreams[name]
        up.row = up.row._replace(state=state)
        self.apply(cmd.PutUpstreams([up.row]))

    def order(self, duration_ms=12_000, target="v2", name="s", previous=None):
        return self.apply(
            cmd.StartRollout(
                name,
                target,
                duration_ms,
                int(self.now + UNIX_OFFSET_MS),
                initial_share(BOUNDS),
                previous,
            )
        ).result

    def rollout(self, name="s"):
        return self.state.rows.rollouts.get(name)

    def run_until(self, end_ms):
        while self.now < end_ms:
            self.now += STEP_MS
            while self.events and self.events[0][0] <= self.now:
                heapq.heappop(self.events)[2]()
            for _ in range(self.arrivals()):
                self.request(self.rng.choice(self.entries), self.now)
            for entry in self.entries:
                self.ping(entry)
            if int(self.now) % 50 == 0:
                self.round()

    def arrivals(self):
        expected = self.per_s * STEP_MS / 1000.0
        return int(expected) + (self.rng.random() < expected % 1.0)

    def ping(self, entry):
        if self.now < entry.ping_due_ms or not entry.connected:
            return
        entry.ping_due_ms = self.now + PING_MS
        sent_ms = self.now
        index, results = entry.tables.index, entry.selector.versions.results()

        def arrive():
            if entry.connected:
                self.planner.add_results(entry.row.node, index, results)
                entry.confirmed_ms = sent_ms

        self.at(self.now + LINK_MS, arrive)

    def round(self):
        for step in self.planner.commands(self.now):
            self.apply(step)
            self.steps.append((self.now, step))
            if step.state is not RolloutState.RUNNING and self.ended_at_ms is None:
                self.ended_at_ms = self.now

    def request(self, entry, started_ms):
        """Send a request, or try again until its caller gives up after 4 s."""
        versions = entry.selector.versions
        versions.control_age_ms = lambda: self.now - entry.confirmed_ms
        route = self.rng.choice(("r1", "r2"))
        body = SimpleNamespace(length=0)
        routed = SimpleNamespace(
            service=self.settings.services[0], req=SimpleNamespace(body=body)
        )
        found = entry.selector.select(routed, entry.tables, (), self.now)
        if not isinstance(found, Chosen):
            if self.now - started_ms < 4000.0:
                self.at(self.now + 40.0, lambda: self.request(entry, started_ms))
            return
        load = found.load
        up = self.upstreams[load.row.upstream]
        load.in_flight += 1
        attempt = f"{next(self.numbers)}"
        versions.record_sent(attempt, route, up.row)
        self.sent[up.row.version] += 1
        if up.row.version == "v2":
            self.v2_sent_at_ms.append(self.now)
        job = (entry, load, attempt, route, self.now)
        if up.busy < up.row.slots:
            self.start(up, job)
        else:
            up.queue.append(job)

    def start(self, up, job):
        up.busy += 1
        entry, load, attempt, route, sent_ms = job
        outcome, factor = AttemptOutcome.ANSWERED, 1.0
        if up.row.version == "v2":
            outcome, factor = self.fault(self, route, up)
            if outcome is not AttemptOutcome.ANSWERED or factor > 1.0:
                self.bad_at_ms.append(self.now)
        if self.rng.random() < self.noise:
            outcome = AttemptOutcome.SERVER_ERROR
        if up.stopped:
            outcome = AttemptOutcome.BROKEN
        took = (
            self.work_ms * up.slowness(self.now) * self.rng.uniform(0.6, 1.6) * factor
        )

        def end():
            up.busy -= 1
            load.in_flight = max(0, load.in_flight - 1)
            latency = self.now - sent_ms
            entry.selector.versions.record_end(attempt, outcome, latency, None)
            load.record_outcome(outcome, 0.0, self.now)
            if up.queue:
                self.start(up, up.queue.pop(0))

        self.at(self.now + took, end)

    # Checks

    def exposure_allowed(self, duration_ms=12_000):
        total = self.per_s * duration_ms / 1000.0
        return BOUNDS.exposure_share * total + BOUNDS.exposure_slack

    def exposed(self, duration_ms=12_000):
        """Return how many requests the new version got until the rollout's end."""
        end_ms = ORDERED_MS + duration_ms
        return sum(at <= end_ms for at in self.v2_sent_at_ms)

    def sent_too_late(self):
        """Return how many requests came later than 5 s after the 50th bad response."""
        if len(self.bad_at_ms) < BAD_RESPONSES:
            return 0
        limit_ms = self.bad_at_ms[BAD_RESPONSES - 1] + BOUNDS.rollback_ms
        return sum(at > limit_ms for at in self.v2_sent_at_ms)

    def old_running(self):
        return sum(
            up.busy + len(up.queue)
            for up in self.upstreams.values()
            if up.row.version == "v1"
        )
