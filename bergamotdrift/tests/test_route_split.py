import random
import unittest
from collections import Counter

from returns.result import Success

from bergamotdrift.config.schema import RouteSettings, ServiceKind, SplitShare
from bergamotdrift.request import IncomingRequest
from bergamotdrift.route_split import RouteSplits, SplitTurns
from bergamotdrift.stages.route import RouteTable
from bergamotdrift.stages.route import route as find_route
from bergamotdrift.tests.entry_fakes import service, site_settings

SPLIT = (SplitShare("cases", 7), SplitShare("archive", 3))
SERVICES = {item.name: item for item in site_settings().services}


def route(path="/x/*"):
    return RouteSettings(path, ("GET",), "", "", False, False, True, 100, split=SPLIT)


class NoBody:
    length: int | None = 0

    def read(self, size):
        return b""


def routed(table, present):
    """Return the service that a request is routed to."""
    req = IncomingRequest("r1", "GET", "/x/1", [], {}, "127.0.0.1", 0.0, NoBody())
    return find_route(req, Success("w1"), table, present).unwrap().service.name


class Near:
    """Finds the services of `names` near."""

    def __init__(self, names, requests=2.0):
        self.names = names
        self.requests = requests

    def is_near(self, service, routing_key):
        return service.name in self.names

    def leeway(self):
        return self.requests


class SplitTurnsTests(unittest.TestCase):
    """Guards against services that get another share than their weight."""

    def test_every_stretch_of_requests_is_divided_by_weight(self):
        turns = SplitTurns(SPLIT)
        for _ in range(20):
            counts = Counter(turns.next() for _ in range(10))
            self.assertEqual(counts, {"cases": 7, "archive": 3})

    def test_near_services_never_get_more_than_the_leeway_beside_their_weight(self):
        rng = random.Random(1)
        for leeway in (0.3, 2.0):
            turns = SplitTurns(SPLIT)
            counts: Counter[str] = Counter()
            for number in range(1, 500):
                near = rng.choice(("cases", "archive", "archive", ""))
                counts[turns.next(near.__eq__, leeway)] += 1
                off = abs(counts["archive"] - number * 0.3)
                self.assertLessEqual(off, leeway + 1)

    def test_near_service_goes_first_within_the_leeway(self):
        turns = SplitTurns(SPLIT)
        first = [turns.next(lambda name: name == "archive", 2.0) for _ in range(2)]
        self.assertEqual(first, ["archive", "archive"])


class RouteSplitsTests(unittest.TestCase):
    """Guards the shares of routes through changes of the settings."""

    def test_turns_go_on_when_the_settings_change(self):
        splits = RouteSplits()
        counts: Counter[str] = Counter()
        for number in range(100):
            splits.follow([route(), route(f"/other{number}/*")])
            counts[splits.next(route(), SERVICES, "").name] += 1
        self.assertEqual(counts, {"cases": 70, "archive": 30})

    def test_near_upstreams_are_preferred(self):
        splits = RouteSplits(Near({"archive"}))
        self.assertEqual(splits.next(route(), SERVICES, "").name, "archive")

    def test_large_bodies_stay_near_before_small_ones(self):
        splits = RouteSplits(Near({"archive"}, 3.0))
        rng = random.Random(2)
        sizes: dict[str, list[int]] = {"cases": [], "archive": []}
        for _ in range(400):
            size = rng.randrange(1000, 100_000)
            sizes[splits.next(route(), SERVICES, "", size).name].append(size)
        self.assertAlmostEqual(len(sizes["archive"]), 120, delta=4)
        means = {name: sum(of) / len(of) for name, of in sizes.items()}
        self.assertGreater(means["archive"], 1.5 * means["cases"])

    def test_check_against_new_settings_takes_no_turn_and_keeps_the_service(self):
        split = (SplitShare("cases", 1), SplitShare("archive", 1))
        place = route("/x/*")._replace(open=True, split=split)
        pools = tuple(service(name, ServiceKind.POOL) for name in SERVICES)
        table = RouteTable(site_settings(routes=(place,), services=pools))
        counts: Counter[str] = Counter()
        for _ in range(20):
            first = routed(table, "")
            counts[first] += 1
            self.assertEqual(routed(table, first), first)
        self.assertEqual(counts, {"cases": 10, "archive": 10})


if __name__ == "__main__":
    unittest.main()
