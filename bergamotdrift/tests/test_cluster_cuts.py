"""Connections to the control replicas of a running site go silent."""

import time

from bergamotdrift.tests.cluster_case import SERVED_AGAIN_S, ClusterTestCase
from scripts.local_cluster import LocalCluster, free_address
from scripts.relay import CutRelay

_LONG_ISOLATION_S = 8.0


class CutTests(ClusterTestCase):
    """Cut streams without closing them; every control stream passes a relay."""

    relays: dict[str, CutRelay]

    @classmethod
    def setUpClass(cls) -> None:
        cls.cluster = LocalCluster(cls.plan)
        cls.addClassCleanup(cls.cluster.stop)
        cls.relays = {}
        for name, address in cls.cluster.control.items():
            listen = free_address()
            cls.cluster.control_listen[name] = listen
            cls.relays[name] = CutRelay(address, listen)
            cls.addClassCleanup(cls.relays[name].stop)
        cls.cluster.start()

    def term(self) -> int:
        return self.cluster.operator_call("GET", "/v1/status").json()["control"]["term"]

    def test_open_connections_go_silent_for_good(self):
        run = self.start_load()
        cut_at = time.time()
        for relay in self.relays.values():
            relay.silence_open_connections()
        time.sleep(SERVED_AGAIN_S + 3.0)
        records = self.finish(run)
        self.assert_served_after(records, cut_at + SERVED_AGAIN_S)

    def cut_the_leader(self, forward: bool, backward: bool) -> None:
        leader = self.leader()
        run = self.start_load()
        cut_at = time.time()
        self.relays[leader].cut(forward, backward)
        time.sleep(SERVED_AGAIN_S + 3.0)
        self.relays[leader].heal()
        records = self.finish(run)
        self.assert_served_after(records, cut_at + SERVED_AGAIN_S)

    def test_leader_is_unreachable(self):
        self.cut_the_leader(forward=True, backward=True)

    def test_leader_hears_but_its_replies_are_lost(self):
        self.cut_the_leader(forward=False, backward=True)

    def test_leader_hears_nothing_on_open_connections(self):
        self.cut_the_leader(forward=True, backward=False)

    def test_long_isolated_follower_does_not_unseat_the_leader(self):
        leader = self.leader()
        term = self.term()
        follower = next(n for n in self.cluster.control if n != leader)
        run = self.start_load()
        self.relays[follower].cut()
        base = self.revision()
        for number in range(3):
            reply = self.cluster.apply(base + number, f"meanwhile-{number}")
            self.assertEqual(reply.status, 200, reply.body)
        time.sleep(_LONG_ISOLATION_S)
        self.relays[follower].heal()
        healed_at = time.time()
        time.sleep(SERVED_AGAIN_S)
        records = self.finish(run)
        self.assertEqual((self.leader(), self.term()), (leader, term))
        self.assert_served_after(records, healed_at)
        reply = self.cluster.operator_call("GET", "/v1/settings", replica=follower)
        self.assertEqual(reply.json()["revision"], base + 3)
