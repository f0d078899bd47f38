"""Upstreams with a queue, their callers, and the admission of many entries."""

import heapq
import itertools
import random
from collections import Counter, deque
from typing import NamedTuple

from bergamotdrift.arbiter_messages import AttemptOutcome
from bergamotdrift.config.schema import (
    ColdStartSettings,
    Fencing,
    RouteSettings,
    ServiceKind,
    ServiceSettings,
    SiteSettings,
    ZoneSettings,
    ZoneState,
)
from bergamotdrift.dialect import AnswerLoad
from bergamotdrift.direct_admission import DirectAdmission
from bergamotdrift.direct_selection import Blocked, DirectSelector
from bergamotdrift.feed_tables import FeedTables, UpstreamId
from bergamotdrift.key_loads import KeyLoads
from bergamotdrift.messages import (
    FeedUpdate,
    KeyLoad,
    NodeRow,
    PartitionState,
    RangeRow,
    Role,
    UpstreamRow,
    UpstreamState,
)
from bergamotdrift.overload import (
    OPEN_SITE_LIMITS,
    OVERLOAD_SMOOTHING_MS,
    overloads_of,
    salt_at,
)
from bergamotdrift.request import IncomingRequest, RoutedRequest

OWNER = UpstreamId("keys", "u1")
KEYS = 400
TELL_MS = 500.0
REPORT_MS = 300.0


class CallKind(NamedTuple):
    """A kind of request, with the rate at this upstream."""

    name: str
    per_s: float
    work_ms: float
    target_ms: int
    time_ms: float
    rank: int


LOOKUP = CallKind("lookup", 11.0, 80.7, 289, 2294.0, 0)
CAB = CallKind("cab", 3.6, 101.0, 437, 2711.0, 1)


def keyed_service(slots):
    cold = ColdStartSettings(1, 3.0, 8.3)
    return ServiceSettings(
        "keys", ServiceKind.RANGED, 0, Fencing.NONE, slots, 380, cold, 5000, 100
    )


def tables_of(entries, slots, upstreams):
    service = keyed_service(slots)
    zones = (ZoneSettings("a", ZoneState.IN),)
    settings = SiteSettings("s", zones, (service,), (), ())
    nodes = [
        NodeRow(f"e{n}", Role.ENTRY, "i", f"vm{n}", "a", "") for n in range(entries)
    ]
    names = [f"u{n}" for n in range(1, upstreams + 1)]
    rows = [
        UpstreamRow("keys", name, "10.0.0.1:1", "a", "1", UpstreamState.READY, slots)
        for name in names
    ]
    ranges = [
        RangeRow(
            "keys", n * KEYS, (n + 1) * KEYS - 1, name, "1", 4, PartitionState.OWNED
        )
        for n, name in enumerate(names)
    ]
    tables = FeedTables()
    tables.apply(
        FeedUpdate(0, 1, True, 1, settings, nodes, rows, [], [], [], [], ranges, [])
    )
    return tables


class EmptyBody:
    length: int | None = 0

    def read(self, size):
        return b""


def routed_of(kind, caller, key, now_ms, deadline_ms, slots=3):
    """Return a request of a kind that arrives now."""
    route = RouteSettings(
        "/*", ("GET",), "keys", "", True, False, True, 0, kind.name
    )._replace(rank=kind.rank, target_ms=kind.target_ms)
    req = IncomingRequest("a1", "GET", "/", [], {}, caller, now_ms, EmptyBody())
    return RoutedRequest(req, "", route, keyed_service(slots), str(key), deadline_ms)


class Entry:
    """The admission of one entry, without its waiting requests."""

    def __init__(self, number, tables, rng):
        self.tables = tables
        self.selector = DirectSelector(f"e{number}", "a", rng)
        self.selector.update(tables, 0.0)
        self.admission = DirectAdmission(self.selector, rng)
        self.counts: Counter[int] = Counter()

    def load_of(self, upstream):
        return self.selector.loads[UpstreamId("keys", upstream.name)]

    def refused(self, routed, now_ms):
        """Return the reason of a refusal, or None once the request was sent."""
        blocked, counted = self.admission.gate(routed, self.tables, now_ms)
        if blocked is None:
            self.counts[int(routed.routing_key)] += counted
            found = self.selector.select(routed, self.tables, (), now_ms)
            if isinstance(found, Blocked):
                blocked = found
            else:
                blocked = self.admission.check(routed, found.load, now_ms)
        return blocked

    def take_counts(self):
        counts, self.counts = self.counts, Counter()
        return [KeyLoad("keys", key, n) for key, n in counts.items()]


class Call:
    """One request of a caller, over all of its attempts."""

    def __init__(self, kind, key, caller, at_ms, repeats):
        self.kind = kind
        self.key = key
        self.caller = caller
        self.at_ms = at_ms
        self.repeats = repeats
        self.attempts = 0
        self.answered_ms = None


class UpstreamQueue:
    """An upstream that ignores what it can't queue."""

    def __init__(self, name):
        self.name = name
        self.running = 0
        self.queue: deque = deque()


class QueueModel:
    """One or more upstreams behind many entries."""

    def __init__(self, seed, entries=54, slots=3, queue=12, upstreams=1):
        self.rng = random.Random(seed)
        self.tables = tables_of(entries, slots, upstreams)
        self.upstreams = [UpstreamQueue(f"u{n + 1}") for n in range(upstreams)]
        self.entries = [Entry(n, self.tables, self.rng) for n in range(entries)]
        self.slots, self.places = slots, queue
        self.slowness = 1.0
        self.tells = True
        self.ignored = 0
        self.refused: Counter = Counter()
        self.calls: list[Call] = []
        self.loads = KeyLoads(OVERLOAD_SMOOTHING_MS)
        self.permits = itertools.count()
        self.events: list = []
        self.numbers = itertools.count()

    def push(self, at_ms, call, *arguments):
        heapq.heappush(self.events, (at_ms, next(self.numbers), call, arguments))

    def run(self, until_ms):
        for at_ms in range(0, int(until_ms), int(REPORT_MS)):
            self.push(float(at_ms), self.report)
        for at_ms in range(0, int(until_ms), int(TELL_MS)):
            self.push(float(at_ms), self.tell)
        while self.events:
            now, _, call, arguments = heapq.heappop(self.events)
            call(now, *arguments)

    def offer(self, kind, from_ms, until_ms, factor=1.0, repeats=0, key=None):
        """Let callers begin calls of a kind at random times."""
        at_ms = from_ms
        while True:
            per_s = kind.per_s * factor * len(self.upstreams)
            at_ms += self.rng.expovariate(per_s / 1000.0)
            if at_ms >= until_ms:
                return
            self.offer_one(kind, at_ms, repeats, key)

    def offer_one(self, kind, at_ms, repeats=0, key=None):
        chosen = self.rng.randrange(KEYS * len(self.upstreams)) if key is None else key
        call = Call(kind, chosen, f"10.0.0.{len(self.calls) % 250}", at_ms, repeats)
        self.calls.append(call)
        self.push(at_ms, self.attempt, call)

    def attempt(self, now, call):
        call.attempts += 1
        kind, entry = call.kind, self.rng.choice(self.entries)
        deadline_ms = call.at_ms + kind.time_ms
        routed = routed_of(kind, call.caller, call.key, now, deadline_ms, self.slots)
        blocked = entry.refused(routed, now)
        if blocked is not None:
            refusal = entry.admission.refusal(routed, blocked, None, now)
            assert refusal.retry_after_s is not None
            self.refused[kind.name, str(blocked.cause or blocked.reason[:8])] += 1
            self.come_back(now, call, refusal.retry_after_s * 1000.0, deadline_ms)
            return
        permit = str(next(self.permits))
        upstream = self.upstreams[call.key // KEYS]
        load = entry.load_of(upstream)
        entry.admission.record_sent(routed, load, permit, now)
        load.in_flight += 1
        self.arrive(now, upstream, (call, entry, routed, permit, now))

    def come_back(self, now, call, retry_ms, deadline_ms):
        assert 0.0 < retry_ms <= (deadline_ms - now) / 3.0 + 1.0
        limit = 3 + call.repeats
        if call.attempts >= limit:
            return
        pause_ms = 5.0 if call.repeats else retry_ms + 5.0
        if now + pause_ms < deadline_ms:
            self.push(now + pause_ms, self.attempt, call)

    def arrive(self, now, upstream, item):
        if len(upstream.queue) >= self.places:
            self.ignored += 1
            call = item[0]
            # The caller waits until the end of its time.
            end_ms = call.at_ms + call.kind.time_ms
            self.push(end_ms, self.end_ignored, upstream, item)
            return
        upstream.queue.append(item)
        self.begin(now, upstream)

    def begin(self, now, upstream):
        while upstream.queue and upstream.running < self.slots:
            upstream.running += 1
            item = upstream.queue.popleft()
            usual_ms = item[0].kind.work_ms * self.slowness
            work_ms = usual_ms * self.rng.uniform(0.6, 1.4)
            self.push(now + work_ms, self.end, upstream, item)

    def end(self, now, upstream, item):
        call, entry, routed, permit, sent_ms = item
        upstream.running -= 1
        call.answered_ms = now - call.at_ms
        load = entry.load_of(upstream)
        load.in_flight -= 1
        load.own.remove(permit, now)
        load.record_load(self.stated(upstream), now)
        load.record_outcome(AttemptOutcome.ANSWERED, 3000.0, now)
        load.record_busy_time(now - sent_ms)
        entry.admission.record_answer(routed, load, now - sent_ms, now)
        self.begin(now, upstream)

    def stated(self, upstream):
        waiting = len(upstream.queue)
        return AnswerLoad(upstream.running, waiting, self.slots, self.slowness)

    def end_ignored(self, now, upstream, item):
        _, entry, _, permit, _ = item
        load = entry.load_of(upstream)
        load.in_flight -= 1
        load.own.remove(permit, now)
        load.record_outcome(AttemptOutcome.TIMEOUT, 0.0, now)

    def report(self, now):
        for entry in self.entries:
            self.loads.add(entry.take_counts(), now)

    def tell(self, now):
        """Let the leader state the overloads, as the range planner does."""
        if not self.tells:
            return
        per_s = dict.fromkeys((upstream.name for upstream in self.upstreams), 0.0)
        for rate in self.loads.rates(now):
            per_s[self.upstreams[rate.key // KEYS].name] += rate.per_s
        loads = {}
        for upstream in self.upstreams:
            known = [entry.load_of(upstream).busy_ms for entry in self.entries]
            busy = sorted(busy_ms for busy_ms in known if busy_ms)
            if busy:
                busy_s = busy[(len(busy) - 1) // 2] / 1000.0
                loads[upstream.name] = per_s[upstream.name] * busy_s / self.slots
        items = overloads_of("keys", loads, OPEN_SITE_LIMITS)
        for entry in self.entries:
            entry.selector.overloads.update(items, now, salt_at(now))

    def of_time(self, from_ms, until_ms, kind=None):
        """Return the calls that began in a time."""
        return [
            call
            for call in self.calls
            if from_ms <= call.at_ms < until_ms and kind in {None, call.kind}
        ]


def on_time(calls):
    """Return the part of calls answered within the target of their kind."""
    served = [c for c in calls if c.answered_ms is not None]
    good = sum(call.answered_ms <= call.kind.target_ms for call in served)
    return good / max(1, len(calls))


def served(calls):
    """Return the part of calls that were answered at all."""
    return sum(call.answered_ms is not None for call in calls) / max(1, len(calls))
