import random
import unittest
from types import SimpleNamespace

from bergamotdrift.clock import ManualClock
from bergamotdrift.config.schema import (
    STATED_RATE,
    ColdStartSettings,
    Fencing,
    ServiceKind,
    ServiceSettings,
    SiteSettings,
    ZoneSettings,
    ZoneState,
)
from bergamotdrift.direct_selection import (
    Blocked,
    Chosen,
    DirectSelector,
    QueueWait,
)
from bergamotdrift.feed_tables import FeedTables, UpstreamId
from bergamotdrift.leader_pace_client import LeaderPaceClient
from bergamotdrift.messages import (
    FeedUpdate,
    NodeRow,
    PaceLot,
    Role,
    UpstreamRow,
    UpstreamState,
)

SLOTS = 4
NOW_MS = 1000.0


def service(name, kind):
    cold = ColdStartSettings(1, 3.0, 10.0)
    return ServiceSettings(name, kind, 0, Fencing.NONE, SLOTS, 40, cold, 5000, 100)


POOL = service("pool", ServiceKind.POOL)
SETTINGS = SiteSettings(
    "s",
    (ZoneSettings("a", ZoneState.IN), ZoneSettings("b", ZoneState.IN)),
    (POOL,),
    (),
    (),
)


def entry(number, zone):
    return NodeRow(f"e{number}", Role.ENTRY, "i", f"vm{number}", zone, "")


def upstream(name, zone):
    return UpstreamRow(
        "pool", name, f"10.0.0.1:{len(name)}", zone, "1", UpstreamState.READY, SLOTS, 1
    )


def request(body_bytes):
    body = SimpleNamespace(length=body_bytes)
    return SimpleNamespace(service=POOL, req=SimpleNamespace(body=body))


class DirectSelectorTestCase(unittest.TestCase):
    """Select for entry e1 in zone a, which has two of the nine entries."""

    def setUp(self):
        entries = [entry(n, "a" if n <= 2 else "b") for n in range(1, 10)]
        rows = [upstream("near", "a"), upstream("far", "b")]
        tables = FeedTables()
        tables.apply(
            FeedUpdate(0, 1, True, 1, SETTINGS, entries, rows, [], [], [], [], [], [])
        )
        self.tables = tables
        self.paces = LeaderPaceClient(ManualClock(NOW_MS), "e1", STATED_RATE)
        self.selector = DirectSelector("e1", "a", random.Random(1), self.paces)
        self.selector.update(tables, NOW_MS)

    def load(self, name):
        return self.selector.loads[UpstreamId("pool", name)]

    def select(self, body_bytes=0, excluded=()):
        return self.selector.select(request(body_bytes), self.tables, excluded, NOW_MS)

    def select_until_blocked(self, body_bytes):
        """Return the upstreams selected until none has room for another request."""
        names = []
        while isinstance(found := self.select(body_bytes), Chosen):
            found.load.in_flight += 1
            names.append(found.load.row.upstream)
        self.assertIsInstance(found, Blocked)
        return names


class ZoneTests(DirectSelectorTestCase):
    """Guards against large bodies that cross zones while near upstreams have room."""

    def test_entries_of_a_zone_share_its_upstreams(self):
        names = self.select_until_blocked(64 * 1024)
        self.assertEqual(names[:5], ["near"] * 5)
        self.assertEqual(names.count("near"), 5)

    def test_upstreams_of_other_zones_are_shared_by_all_entries(self):
        names = self.select_until_blocked(64 * 1024)
        self.assertEqual(names.count("far"), 2)

    def test_chunked_body_counts_as_large(self):
        self.load("near").latency_ratio = 2.0
        self.assertEqual(self.select(0).load.row.upstream, "far")
        self.assertEqual(self.select(None).load.row.upstream, "near")


class ColdPoolTests(DirectSelectorTestCase):
    """Guards upstreams of a pool that start against a flood and against idleness."""

    def set_cold(self, *names):
        for name in names:
            self.load(name).mark_maybe_cold(3000.0, NOW_MS)

    def take_lot(self, name, tokens, wait_ms=0):
        self.paces.take_paces([PaceLot("pool", name, tokens, 500, wait_ms)], NOW_MS)

    def test_cold_upstream_gets_no_request_without_a_token_but_the_need_is_noted(self):
        self.set_cold("near")
        self.assertEqual(self.select().load.row.upstream, "far")
        (need,) = self.paces.pace_needs()
        self.assertEqual((need.upstream, need.wanted), ("near", 1))

    def test_cold_upstream_gets_the_request_with_a_token(self):
        self.set_cold("near")
        self.take_lot("near", 1)
        self.assertEqual(self.select().load.row.upstream, "near")

    def test_upstream_that_is_not_the_best_is_asked_no_token(self):
        self.set_cold("far")
        self.assertEqual(self.select().load.row.upstream, "near")
        self.assertEqual(self.paces.pace_needs(), [])

    def test_request_waits_for_the_first_token_of_any_cold_upstream(self):
        self.set_cold("near", "far")
        self.take_lot("near", 0, 900)
        self.take_lot("far", 0, 200)
        found = self.select()
        self.assertEqual(found.queue_wait, QueueWait.PACE)
        self.assertEqual(found.cold, UpstreamId("pool", "far"))
        self.assertEqual(found.free_at_ms, NOW_MS + 200)

    # It may get room before the leader has a token.
    def test_full_upstream_is_waited_for_as_well(self):
        self.set_cold("far")
        self.load("near").in_flight = 100
        self.take_lot("far", 0, 900)
        found = self.select()
        self.assertEqual(found.queue_wait, QueueWait.LONG)
        self.assertEqual(found.cold, UpstreamId("pool", "far"))
        self.assertIsNone(found.free_at_ms)


if __name__ == "__main__":
    unittest.main()
