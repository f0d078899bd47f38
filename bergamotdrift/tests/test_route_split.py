import random
import unittest
from collections import Counter

from returns.result import Success

from bergamotdrift.config.schema import RouteSettings, ServiceKind, SplitShare
from bergamotdrift.request import IncomingRequest
from bergamotdrift.route_split import RouteSplits, WeightedRoundRobin
from bergamotdrift.stages.route import RouteTable
from bergamotdrift.stages.route import route as find_route
from bergamotdrift.tests.entry_fakes import service, site_settings

SPLIT = (SplitShare("cases", 7), SplitShare("archive", 3))
SERVICES = {item.name: item for item in site_settings().services}


def route(path="/x/*"):
    return RouteSettings(path, ("GET",), "", "", False, False, True, 100, split=SPLIT)


class EmptyBody:
    length: int | None = 0

    def read(self, size):
        return b""


def routed(table, current_service):
    """Return the name of the service that a request is routed to."""
    req = IncomingRequest("r1", "GET", "/x/1", [], {}, "127.0.0.1", 0.0, EmptyBody())
    return find_route(req, Success("w1"), table, current_service).unwrap().service.name


class FakeLocality:
    """Treats the services in `names` as near."""

    def __init__(self, names, requests=2.0):
        self.names = names
        self.deviation = requests

    def is_near(self, service, routing_key):
        return service.name in self.names

    def leeway(self):
        return self.deviation


class WeightedRoundRobinTests(unittest.TestCase):
    """Guards against traffic shares that differ from the configured weights."""

    def test_every_cycle_of_requests_is_divided_by_weight(self):
        selector = WeightedRoundRobin(SPLIT)
        for _ in range(20):
            counts = Counter(selector.next() for _ in range(10))
            self.assertEqual(counts, {"cases": 7, "archive": 3})

    def test_near_services_deviate_from_their_weight_by_at_most_the_leeway(self):
        rng = random.Random(1)
        for leeway in (0.3, 2.0):
            selector = WeightedRoundRobin(SPLIT)
            counts: Counter[str] = Counter()
            for number in range(1, 500):
                near = rng.choice(("cases", "archive", "archive", ""))
                counts[selector.next(near.__eq__, leeway)] += 1
                deviation = abs(counts["archive"] - number * 0.3)
                self.assertLessEqual(deviation, leeway + 1)

    def test_near_service_is_preferred_within_the_leeway(self):
        selector = WeightedRoundRobin(SPLIT)
        first = [selector.next(lambda name: name == "archive", 2.0) for _ in range(2)]
        self.assertEqual(first, ["archive", "archive"])


class RouteSplitsTests(unittest.TestCase):
    """Guards the shares of split routes across settings changes."""

    def test_round_robin_state_survives_settings_changes(self):
        splits = RouteSplits()
        counts: Counter[str] = Counter()
        for number in range(100):
            splits.update_routes([route(), route(f"/other{number}/*")])
            counts[splits.next(route(), SERVICES, "").name] += 1
        self.assertEqual(counts, {"cases": 70, "archive": 30})

    def test_near_upstreams_are_preferred(self):
        splits = RouteSplits(FakeLocality({"archive"}))
        self.assertEqual(splits.next(route(), SERVICES, "").name, "archive")

    def test_large_bodies_take_precedence_for_near_services(self):
        splits = RouteSplits(FakeLocality({"archive"}, 3.0))
        rng = random.Random(2)
        sizes: dict[str, list[int]] = {"cases": [], "archive": []}
        for _ in range(400):
            size = rng.randrange(1000, 100_000)
            sizes[splits.next(route(), SERVICES, "", size).name].append(size)
        self.assertAlmostEqual(len(sizes["archive"]), 120, delta=4)
        means = {name: sum(seen) / len(seen) for name, seen in sizes.items()}
        self.assertGreater(means["archive"], 1.5 * means["cases"])

    def test_recheck_under_new_settings_keeps_the_service_and_the_shares(self):
        split = (SplitShare("cases", 1), SplitShare("archive", 1))
        split_route = route("/x/*")._replace(open=True, split=split)
        pools = tuple(service(name, ServiceKind.POOL) for name in SERVICES)
        table = RouteTable(site_settings(routes=(split_route,), services=pools))
        counts: Counter[str] = Counter()
        for _ in range(20):
            first = routed(table, "")
            counts[first] += 1
            self.assertEqual(routed(table, first), first)
        self.assertEqual(counts, {"cases": 10, "archive": 10})


if __name__ == "__main__":
    unittest.main()
