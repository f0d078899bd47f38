import random
import unittest
from types import SimpleNamespace

from bergamotdrift.config.schema import (
    ColdStartSettings,
    Fencing,
    ServiceKind,
    ServiceSettings,
    SiteSettings,
    ZoneSettings,
    ZoneState,
)
from bergamotdrift.direct_selection import Blocked, Chosen, DirectChoice
from bergamotdrift.messages import (
    FeedUpdate,
    NodeRow,
    Role,
    UpstreamRow,
    UpstreamState,
)
from bergamotdrift.tables import Tables, UpstreamId

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


class DirectChoiceTestCase(unittest.TestCase):
    """Chooses for entry e1 in zone a, one of two there and of nine in all."""

    def setUp(self):
        entries = [entry(n, "a" if n <= 2 else "b") for n in range(1, 10)]
        rows = [upstream("near", "a"), upstream("far", "b")]
        tables = Tables()
        tables.apply(
            FeedUpdate(0, 1, True, 1, SETTINGS, entries, rows, [], [], [], [], [], [])
        )
        self.tables = tables
        self.choice = DirectChoice("e1", "a", random.Random(1))
        self.choice.update(tables, NOW_MS)

    def load(self, name):
        return self.choice.loads[UpstreamId("pool", name)]

    def choose(self, body_bytes=0, excluded=()):
        return self.choice.choose(request(body_bytes), self.tables, excluded, NOW_MS)

    def chosen_in_turn(self, body_bytes):
        """Return the upstreams of requests that are sent until none has room."""
        names = []
        while isinstance(found := self.choose(body_bytes), Chosen):
            found.load.in_flight += 1
            names.append(found.load.row.upstream)
        self.assertIsInstance(found, Blocked)
        return names


class ZoneTests(DirectChoiceTestCase):
    """Guards against large bodies that cross zones while near upstreams have room."""

    def test_entries_of_a_zone_share_its_upstreams_among_themselves(self):
        names = self.chosen_in_turn(64 * 1024)
        self.assertEqual(names[:5], ["near"] * 5)
        self.assertEqual(names.count("near"), 5)

    def test_upstreams_of_other_zones_are_shared_among_all_entries(self):
        names = self.chosen_in_turn(64 * 1024)
        self.assertEqual(names.count("far"), 2)

    def test_chunked_body_counts_as_large(self):
        self.load("near").speed = 2.0
        self.assertEqual(self.choose(0).load.row.upstream, "far")
        self.assertEqual(self.choose(None).load.row.upstream, "near")


if __name__ == "__main__":
    unittest.main()
