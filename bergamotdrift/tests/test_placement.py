import unittest

from hypothesis import given, settings
from hypothesis import strategies as st

from bergamotdrift.placement import (
    LOAD_TOLERANCE,
    Candidate,
    WeightedPartition,
    choose_moves,
    choose_shard_owners,
    place,
)


def pause():
    pass


def candidates(owned, zones=3):
    return [
        Candidate(f"u{n}", f"z{n % zones}", tuple(items))
        for n, items in enumerate(owned)
    ]


def ones(numbers):
    return [WeightedPartition(number, 1.0) for number in numbers]


class PlaceTests(unittest.TestCase):
    """Guards against upstreams or zones that get more than their share."""

    @given(st.lists(st.floats(0.1, 20), max_size=60), st.integers(1, 9))
    def test_load_is_bounded(self, weights, upstreams):
        items = [WeightedPartition(n, weight) for n, weight in enumerate(weights)]
        placed = place(items, candidates([()] * upstreams), pause)
        self.assertEqual(sorted(p.partition for p in placed), list(range(len(items))))
        loads = dict.fromkeys((f"u{n}" for n in range(upstreams)), 0.0)
        for item in placed:
            loads[item.upstream] += weights[item.partition]
        bound = sum(weights) / upstreams + max(weights, default=0)
        self.assertLessEqual(max(loads.values()), bound + 1e-6)

    def test_zones_get_equal_shares(self):
        placed = place(ones(range(4)), candidates([()] * 6), pause)
        zones = [int(p.upstream[1:]) % 3 for p in placed]
        self.assertEqual(sorted(zones.count(z) for z in range(3)), [1, 1, 2])

    def test_no_candidates(self):
        self.assertEqual(place(ones([1]), [], pause), [])


class MoveTests(unittest.TestCase):
    """Guards against churn when upstreams join or loads are noisy."""

    def moves_until_stable(self, owned, limit=4):
        moves = 0
        while True:
            chosen = choose_moves(candidates(owned), (), (), limit, pause)
            if not chosen:
                return moves
            moves += len(chosen)
            self.assertLess(moves, 1000, "rebalancing does not terminate")
            freed = [item for items in owned for item in items if item[0] in chosen]
            owned = [[i for i in items if i[0] not in chosen] for items in owned]
            for placed in place(freed, candidates(owned), pause):
                weight = next(w for n, w in freed if n == placed.partition)
                owned[int(placed.upstream[1:])].append(
                    WeightedPartition(placed.partition, weight)
                )

    def test_joining_upstream_takes_its_share_and_no_more(self):
        owned = [ones(range(n * 16, n * 16 + 16)) for n in range(16)] + [[]]
        self.assertLessEqual(self.moves_until_stable(owned), 256 // 17)

    def test_balanced_loads_stay(self):
        owned = [ones(range(n * 16, n * 16 + 16 + n % 2)) for n in range(16)]
        self.assertEqual(choose_moves(candidates(owned), (), (), 10, pause), [])

    @settings(max_examples=2000)
    @given(st.lists(st.lists(st.floats(0.2, 5), max_size=12), min_size=2, max_size=6))
    def test_moves_come_to_an_end(self, weights):
        numbers = iter(range(1000))
        owned = [
            [WeightedPartition(next(numbers), w) for w in items] for items in weights
        ]
        total = sum(len(items) for items in owned)
        self.assertLessEqual(self.moves_until_stable(owned), 4 * total + 1)

    def test_partitions_that_rest_stay(self):
        owned = [ones(range(8)), []]
        chosen = choose_moves(candidates(owned), (), range(6), 10, pause)
        self.assertEqual(sorted(chosen), [6, 7])

    def test_pending_partitions_count(self):
        owned = [ones(range(8)), []]
        self.assertEqual(
            choose_moves(candidates(owned), ones(range(8, 16)), (), 9, pause), []
        )

    def test_tolerance_is_below_one_partition_of_today(self):
        self.assertLess(LOAD_TOLERANCE, 1.0)


class ShardTests(unittest.TestCase):
    """Guards against shards with a lost owner and against needless moves."""

    def owners(self, members, shards=60):
        empty = {f"workspace:w{n}": "" for n in range(shards)}
        chosen = choose_shard_owners(empty, members, (), 0, pause)
        return {item.shard: item.node for item in chosen}

    def test_lost_member_moves_only_its_own_shards(self):
        owners = self.owners(["x1", "x2", "x3"])
        chosen = choose_shard_owners(owners, ["x1", "x2"], (), 0, pause)
        lost = {shard for shard, node in owners.items() if node == "x3"}
        self.assertEqual({item.shard for item in chosen}, lost)

    def test_joined_member_gets_its_share_in_limited_steps(self):
        owners = self.owners(["x1", "x2"])
        wanted = self.owners(["x1", "x2", "x3"])
        for _ in range(20):
            chosen = choose_shard_owners(owners, ["x1", "x2", "x3"], ["x3"], 4, pause)
            self.assertLessEqual(len(chosen), 4)
            owners.update({item.shard: item.node for item in chosen})
        self.assertEqual(owners, wanted)


if __name__ == "__main__":
    unittest.main()
