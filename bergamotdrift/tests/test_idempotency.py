import random
import unittest
from collections import Counter
from unittest import mock

from bergamotdrift.arbiter_messages import (
    RecordBegin,
    RecordEnd,
    RecordMirror,
    RecordReply,
    RecordRow,
    RecordState,
    SavedAnswer,
)
from bergamotdrift.clock import ManualClock
from bergamotdrift.exceptions import ErrorKind
from bergamotdrift.idempotency import RECORD_TTL_MS, RecordStore
from bergamotdrift.messages import Failure
from bergamotdrift.outputs import Mirror, Reply
from bergamotdrift.record_mirror import MirroredRecord, MirroredRecordStore
from bergamotdrift.shard_view import WorkspaceView
from bergamotdrift.tests import arbiter_support as support
from bergamotdrift.workspace_arbitration import WorkspaceArbitration

ANSWER = SavedAnswer(201, [], b"done")


def begin(request, key="k", fingerprint="f", wait_ms=1000, epoch=1):
    return RecordBegin("w", epoch, key, fingerprint, request, wait_ms)


def end(request, key="k", forget=False, answer=ANSWER):
    return RecordEnd("w", key, request, forget, answer)


class StoreTestCase(unittest.TestCase):
    def setUp(self):
        self.clock = ManualClock()
        self.store = RecordStore("w", self.clock, limit=3)
        self.entry = support.entry(0)

    def begin(self, request, **changes):
        return self.store.begin(self.entry, begin(request, **changes), request)

    def assert_state(self, outputs, request, state):
        self.assertEqual([output.ticket for output in outputs], [request])
        self.assertEqual(outputs[0].message.state, state)


class BeginTests(StoreTestCase):
    def test_second_use_waits_and_gets_the_answer(self):
        self.assert_state(self.begin("r1"), "r1", RecordState.FIRST)
        self.assertEqual(self.begin("r2"), [])
        done = RecordReply(RecordState.DONE, ANSWER)
        self.assertEqual(self.store.end(self.entry, end("r1")), [Reply("r2", done)])
        self.assertEqual(self.begin("r3"), [Reply("r3", done)])

    def test_wait_ends_with_running(self):
        self.begin("r1")
        self.begin("r2", wait_ms=100)
        self.clock.advance(100)
        self.assert_state(self.store.expire_waiters(), "r2", RecordState.RUNNING)

    def test_request_that_was_not_run_lets_exactly_one_waiter_run(self):
        self.begin("r1")
        self.begin("r2")
        self.begin("r3")
        outputs = self.store.end(self.entry, end("r1", forget=True))
        self.assert_state(outputs, "r2", RecordState.FIRST)

    def test_waiter_that_gave_up_is_not_let_run(self):
        self.begin("r1")
        self.begin("r2")
        self.store.end(self.entry, end("r2", forget=True))
        self.assertEqual(self.store.end(self.entry, end("r1", forget=True)), [])
        self.assert_state(self.begin("r3"), "r3", RecordState.FIRST)

    def test_other_request_under_the_key_is_a_mismatch(self):
        self.begin("r1")
        outputs = self.begin("r2", fingerprint="other")
        self.assert_state(outputs, "r2", RecordState.MISMATCH)

    def test_lost_entry_leaves_an_unknown_outcome(self):
        self.begin("r1")
        self.store.begin(support.entry(1), begin("r2"), "r2")
        outputs = self.store.remove_entry(self.entry)
        self.assert_state(outputs, "r2", RecordState.UNKNOWN)

    def test_full_store_refuses_instead_of_forgetting(self):
        for number in range(3):
            self.begin(f"r{number}", key=f"k{number}")
            self.store.end(self.entry, end(f"r{number}", key=f"k{number}"))
        refused = self.begin("r4", key="k4")[0].message
        self.assertEqual((type(refused), refused.kind), (Failure, ErrorKind.QUEUE_FULL))
        self.assert_state(self.begin("r5", key="k0"), "r5", RecordState.DONE)
        self.clock.advance(RECORD_TTL_MS)
        self.assert_state(self.begin("r4", key="k4"), "r4", RecordState.FIRST)

    def test_dropped_answer_leaves_an_unknown_outcome(self):
        with mock.patch("bergamotdrift.idempotency.ANSWER_BYTES_MAX", 100):
            for number in range(2):
                self.begin(f"r{number}", key=f"k{number}")
                self.store.end(self.entry, end(f"r{number}", key=f"k{number}"))
        self.assert_state(self.begin("r5", key="k0"), "r5", RecordState.UNKNOWN)
        self.assert_state(self.begin("r6", key="k1"), "r6", RecordState.DONE)


class MergeTests(StoreTestCase):
    def merge(self, state, request="r1", age_ms=0, answer=None):
        row = RecordRow("w", "k", "f", request, state, age_ms, answer)
        self.store.merge(self.entry, row)

    def test_closed_record_overrides_a_running_one(self):
        for states in (("running", "done"), ("done", "running")):
            with self.subTest(states=states):
                self.setUp()
                for state in states:
                    answer = ANSWER if state == "done" else None
                    self.merge(RecordState(state), answer=answer)
                self.assert_state(self.begin("r2"), "r2", RecordState.DONE)

    def test_later_request_counts(self):
        self.merge(RecordState.RUNNING, "r2", age_ms=10)
        self.merge(RecordState.UNKNOWN, "r1", age_ms=500)
        self.assertEqual(self.begin("r3"), [])

    def test_mirrored_claim_without_owner_is_unknown(self):
        mirrors = MirroredRecordStore(self.clock)
        row = RecordRow("w", "k", "f", "r1", RecordState.RUNNING, 0, None)
        mirrors.store(self.entry, row)
        self.clock.advance(50)
        (item,) = mirrors.pop_workspace("w")
        self.assertEqual(item.row.age_ms, 50)
        self.store.merge(None, item.row)
        self.store.close_unowned()
        self.assert_state(self.begin("r2"), "r2", RecordState.UNKNOWN)


class TakeoverSchedule:
    """Random requests with few keys across arbiter takeovers, counting double runs.

    Each entry has its own VM, and the arbiter runs on one of these or on another one.
    VMs are lost one at a time, each after the records of the last were mirrored.
    """

    def __init__(self, seed, stores_mirrors=True):
        self.rng = random.Random(seed)
        self.clock = ManualClock()
        self.stores_mirrors = stores_mirrors
        self.entries: dict = {support.entry(n): {} for n in range(3)}
        self.mirrors = MirroredRecordStore(self.clock)
        self.epoch = 0
        self.requests = 0
        self.unresolved: Counter = Counter()
        self.violations = 0
        self.start_arbiter()

    def start_arbiter(self):
        self.epoch += 1
        self.local = self.rng.choice([None, *sorted(self.entries)])
        view = self.view()
        self.arbiter = WorkspaceArbitration("workspace:w", view, self.clock)
        self.arbiter.merge_mirrored(self.mirrors.pop_workspace("w"))
        for entry, rows in self.entries.items():
            report = support.resume(
                "workspace:w", self.epoch, records=list(rows.values())
            )
            self.handle_outputs(self.arbiter.resume(entry, report))

    def view(self):
        return WorkspaceView(
            self.epoch,
            support.workspace(),
            frozenset(self.entries),
            local_entries=frozenset({self.local} & self.entries.keys()),
        )

    def send_request(self):
        self.requests += 1
        entry = self.rng.choice(sorted(self.entries))
        msg = begin(f"r{self.requests}", key=self.rng.choice("abc"), epoch=self.epoch)
        self.handle_outputs(self.arbiter.begin_record(entry, msg, (entry, msg)))

    def handle_outputs(self, outputs):
        for output in outputs:
            if isinstance(output, Mirror):
                if self.stores_mirrors:
                    self.mirrors.store(support.entry(99), output.row)
                continue
            reply = output.message
            if isinstance(reply, RecordReply) and reply.state is RecordState.FIRST:
                self.run(*output.ticket)

    def run(self, entry, msg):
        self.unresolved[msg.key_digest] += 1
        self.violations += self.unresolved[msg.key_digest] > 1
        row = RecordRow(
            "w", msg.key_digest, "f", msg.request, RecordState.RUNNING, 0, None
        )
        self.entries[entry][msg.key_digest] = row
        if entry == self.local:
            self.mirrors.store(entry, row)

    def finish_request(self):
        entry = self.rng.choice(sorted(self.entries))
        running = [
            row
            for row in self.entries[entry].values()
            if row.state is RecordState.RUNNING
        ]
        if not running:
            return
        row = self.rng.choice(running)
        forget = self.rng.random() < 0.5
        msg = end(row.request, row.key_digest, forget)
        if forget:
            self.unresolved[row.key_digest] -= 1
            del self.entries[entry][row.key_digest]
        else:
            self.entries[entry][row.key_digest] = row._replace(
                state=RecordState.DONE, answer=ANSWER
            )
        if entry == self.local:
            self.mirrors.end(msg)
        self.handle_outputs(self.arbiter.end_record(entry, msg))

    def lose_entry(self):
        """Lose the VM of an entry and, if it runs there, the arbiter."""
        entry = self.rng.choice(sorted(self.entries))
        del self.entries[entry]
        self.entries[support.entry(self.requests + 10)] = {}
        if entry == self.local:
            self.start_arbiter()
        else:
            self.handle_outputs(self.arbiter.update(self.view()))

    def step(self):
        self.clock.advance(self.rng.choice([1, 100]))
        action = self.rng.choices(
            [
                self.send_request,
                self.finish_request,
                self.start_arbiter,
                self.lose_entry,
            ],
            [10, 6, 1, 0.5],
        )[0]
        action()
        self.arbiter.tick()


class TakeoverTests(unittest.TestCase):
    """Guards against requests with one key that run twice after a VM was lost."""

    def violations(self, seeds=80, **options):
        violations = 0
        for seed in range(seeds):
            schedule = TakeoverSchedule(seed, **options)
            for _ in range(80):
                schedule.step()
            violations += schedule.violations
        return violations

    def test_each_key_runs_at_most_once_until_it_is_known_not_run(self):
        self.assertEqual(self.violations(), 0)

    def test_schedules_find_an_arbiter_that_ignores_reports(self):
        with mock.patch.object(RecordStore, "merge"):
            self.assertGreater(self.violations(), 0)

    def test_schedules_find_records_of_lost_entries_without_a_second_holder(self):
        self.assertGreater(self.violations(stores_mirrors=False), 0)

    def test_claims_wait_for_the_reports(self):
        view = WorkspaceView(1, support.workspace(), frozenset({support.entry(0)}))
        arbiter = WorkspaceArbitration("workspace:w", view, ManualClock())
        entry = support.entry(0)
        self.assertEqual(arbiter.begin_record(entry, begin("r1"), "t"), [])
        outputs = arbiter.resume(entry, support.resume("workspace:w"))
        self.assertEqual(outputs, [Reply("t", RecordReply(RecordState.FIRST))])

    def test_mirrored_record_is_known_after_a_takeover(self):
        row = RecordRow("w", "k", "f", "r0", RecordState.DONE, 0, ANSWER)
        item = MirroredRecord(support.entry(9), RecordMirror(row).row)
        view = WorkspaceView(1, support.workspace(), frozenset({support.entry(0)}))
        arbiter = WorkspaceArbitration("workspace:w", view, ManualClock())
        arbiter.merge_mirrored([item])
        entry = support.entry(0)
        arbiter.resume(entry, support.resume("workspace:w"))
        outputs = arbiter.begin_record(entry, begin("r1"), "t")
        self.assertEqual(outputs, [Reply("t", RecordReply(RecordState.DONE, ANSWER))])
