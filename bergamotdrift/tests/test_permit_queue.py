import random
import unittest
from collections import Counter

from hypothesis import given, settings
from hypothesis import strategies as st

from bergamotdrift.permit_queue import PermitQueue, Waiter
from bergamotdrift.tests import arbiter_support as support


class QueueTestCase(unittest.TestCase):
    def setUp(self):
        self.queue = PermitQueue(100)
        self.number = 0

    def push(self, workspace="w", urgent=False, expires_ms=1000.0):
        self.number += 1
        req = support.permit_request(self.number, workspace, urgent=urgent)
        waiter = Waiter(support.entry(0), req, self.number, expires_ms, expires_ms)
        return waiter, self.queue.push(waiter)

    def serve(self, count=1):
        served = [self.queue.serve_next(lambda waiter: True) for _ in range(count)]
        return [waiter for waiter in served if waiter is not None]


class FairnessTests(QueueTestCase):
    """Guards against a workspace that starves the others."""

    @settings(max_examples=60, deadline=None)
    @given(st.integers(0, 2**32), st.integers(2, 6))
    def test_backlogged_workspaces_are_served_equally(self, seed, names):
        rng = random.Random(seed)
        queue = self.queue = PermitQueue(10_000)
        served: Counter = Counter()
        backlog: Counter = Counter()
        for _ in range(names * 40):
            # Every workspace stays backlogged; the first sends several times as much.
            for name in range(names):
                for _ in range(rng.randint(1, 8) if name == 0 else 1):
                    self.push(str(name))
                    backlog[str(name)] += 1
            name = self.serve()[0].req.workspace
            served[name] += 1
            backlog[name] -= 1
        self.assertLessEqual(max(served.values()) - min(served.values()), 1)
        self.assertEqual(len(queue), sum(backlog.values()))

    def test_workspace_that_was_idle_gains_no_credit(self):
        for _ in range(30):
            self.push("busy")
        self.serve(20)
        for _ in range(10):
            self.push("idle")
        names = [waiter.req.workspace for waiter in self.serve(10)]
        self.assertEqual(Counter(names), {"busy": 5, "idle": 5})

    def test_urgent_goes_first_but_routine_does_not_starve(self):
        for _ in range(20):
            self.push(urgent=True)
            self.push()
        urgent = [waiter.req.urgent for waiter in self.serve(12)]
        self.assertEqual(urgent, [True, True, True, False] * 3)

    def test_head_that_can_not_be_served_blocks_no_other_workspace(self):
        self.push("a")
        expected, _ = self.push("b")
        served = self.queue.serve_next(lambda waiter: waiter.req.workspace == "b")
        self.assertIs(served, expected)


class BoundTests(QueueTestCase):
    def test_full_queue_drops_the_newest_of_the_heaviest_workspace(self):
        self.queue.configure(5)
        newest = [self.push("heavy")[0] for _ in range(5)][-1]
        self.assertIs(self.push("light")[1], newest)
        self.assertEqual(len(self.queue), 5)

    def test_full_queue_drops_routine_before_urgent(self):
        self.queue.configure(2)
        routine, _ = self.push("a")
        self.push("a", urgent=True)
        self.assertIs(self.push("b", urgent=True)[1], routine)

    def test_expired_and_removed_waiters_are_not_served(self):
        expired, _ = self.push(expires_ms=10.0)
        removed, _ = self.push()
        kept, _ = self.push()
        self.queue.remove(removed)
        self.assertEqual(self.queue.pop_expired(10.0), [expired])
        self.assertEqual(self.serve(3), [kept])

    def test_removed_waiters_do_not_pile_up(self):
        for _ in range(5000):
            waiter, _ = self.push()
            self.queue.remove(waiter)
        self.assertLess(len(self.queue._expiries), 200)

    @settings(max_examples=60, deadline=None)
    @given(st.integers(0, 2**32))
    def test_counts_agree_under_random_use(self, seed):
        rng = random.Random(seed)
        self.queue = PermitQueue(12)
        waiting = set()
        for step in range(300):
            action = rng.random()
            if action < 0.6:
                waiter, dropped = self.push(
                    rng.choice("abc"), rng.random() < 0.4, step + rng.randint(1, 60)
                )
                waiting.add(waiter)
                waiting.discard(dropped)
            elif action < 0.8:
                waiting -= set(self.serve())
            elif waiting and action < 0.9:
                waiter = min(waiting, key=lambda item: item.sequence)
                self.queue.remove(waiter)
                waiting.discard(waiter)
            else:
                waiting -= set(self.queue.pop_expired(step))
            self.assertEqual(len(self.queue), len(waiting))
            self.assertLessEqual(len(waiting), 12)
        self.assertEqual(set(self.serve(20)), waiting)

    def test_ahead_counts_what_is_served_before(self):
        for _ in range(10):
            self.push("heavy")
        self.assertEqual(self.queue.count_ahead("light", False), 1)
        self.assertEqual(self.queue.count_ahead("heavy", False), 10)
        for _ in range(6):
            self.push("heavy", urgent=True)
        self.assertEqual(self.queue.count_ahead("light", True), 1)
        self.assertEqual(self.queue.count_ahead("light", False), 1 + 6)
