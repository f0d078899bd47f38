"""End-to-end tests of blocked connections to the control replicas."""

import time

from bergamotdrift.tests.cluster_case import RECOVERY_S, ClusterTestCase
from scripts.local_cluster import LocalCluster, free_address
from scripts.relay import FaultRelay

_LONG_ISOLATION_S = 8.0


class CutTests(ClusterTestCase):
    """Guards against requests refused later than RECOVERY_S after links are blocked.

    Every connection to a control replica goes through a relay, which stops passing
    bytes without closing the connection.
    """

    relays: dict[str, FaultRelay]

    @classmethod
    def setUpClass(cls) -> None:
        cls.cluster = LocalCluster(cls.plan)
        cls.addClassCleanup(cls.cluster.stop)
        cls.relays = {}
        for name, address in cls.cluster.control_addresses.items():
            listen = free_address()
            cls.cluster.control_listen_addresses[name] = listen
            cls.relays[name] = FaultRelay(address, listen)
            cls.addClassCleanup(cls.relays[name].stop)
        cls.cluster.start()

    def term(self) -> int:
        return self.cluster.operator_call("GET", "/v1/status").json()["control"]["term"]

    def test_open_connections_go_silent_for_good(self):
        generator = self.start_load()
        blocked_at = time.time()
        for relay in self.relays.values():
            relay.blackhole_open_connections()
        time.sleep(RECOVERY_S + 3.0)
        records = self.stop_load(generator)
        self.assert_all_served_after(records, blocked_at + RECOVERY_S)

    def block_leader_links(self, forward: bool, backward: bool) -> None:
        leader = self.control_leader()
        generator = self.start_load()
        blocked_at = time.time()
        self.relays[leader].block(forward, backward)
        time.sleep(RECOVERY_S + 3.0)
        self.relays[leader].heal()
        records = self.stop_load(generator)
        self.assert_all_served_after(records, blocked_at + RECOVERY_S)

    def test_leader_is_unreachable(self):
        self.block_leader_links(forward=True, backward=True)

    def test_leader_hears_but_its_replies_are_lost(self):
        self.block_leader_links(forward=False, backward=True)

    def test_leader_hears_nothing_on_open_connections(self):
        self.block_leader_links(forward=True, backward=False)

    def test_long_isolated_follower_does_not_unseat_the_leader(self):
        leader = self.control_leader()
        term = self.term()
        follower = next(n for n in self.cluster.control_addresses if n != leader)
        generator = self.start_load()
        self.relays[follower].block()
        base = self.revision()
        for number in range(3):
            reply = self.cluster.apply(base + number, f"meanwhile-{number}")
            self.assertEqual(reply.status, 200, reply.body)
        time.sleep(_LONG_ISOLATION_S)
        self.relays[follower].heal()
        healed_at = time.time()
        time.sleep(RECOVERY_S)
        records = self.stop_load(generator)
        self.assertEqual((self.control_leader(), self.term()), (leader, term))
        self.assert_all_served_after(records, healed_at)
        reply = self.cluster.operator_call("GET", "/v1/settings", replica=follower)
        self.assertEqual(reply.json()["revision"], base + 3)
