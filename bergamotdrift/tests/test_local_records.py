import unittest

from bergamotdrift.arbiter_messages import (
    RecordState,
    SavedAnswer,
)
from bergamotdrift.clock import ManualClock
from bergamotdrift.local_records import LocalRecords, RecordId
from bergamotdrift.shards import upstream_shard, workspace_shard

RID = RecordId("w1", "digest")
ANSWER = SavedAnswer(200, [], b"done")


class LocalRecordsTests(unittest.TestCase):
    def setUp(self):
        self.clock = ManualClock()
        self.book = LocalRecords(self.clock)

    def states(self, workspace="w1"):
        rows = self.book.rows_of_shard(workspace_shard(workspace))
        return [(row.state, row.answer) for row in rows]

    def test_record_goes_from_running_to_its_end(self):
        self.book.begin(RID, "f", "r1")
        self.assertEqual(self.states(), [(RecordState.RUNNING, None)])
        self.assertTrue(self.book.end(RID, "r1", ANSWER))
        self.assertEqual(self.states(), [(RecordState.DONE, ANSWER)])
        self.assertFalse(self.book.end(RID, "r1", None))
        self.assertEqual(self.states(), [(RecordState.DONE, ANSWER)])

    def test_another_request_can_not_end_or_forget_a_record(self):
        self.book.begin(RID, "f", "r1")
        self.assertFalse(self.book.end(RID, "r2", None))
        self.book.forget(RID, "r2")
        self.assertEqual(self.states(), [(RecordState.RUNNING, None)])

    def test_rows_are_those_of_the_shard(self):
        self.book.begin(RID, "f", "r1")
        self.assertEqual(self.states("w2"), [])
        self.assertEqual(self.book.rows_of_shard(upstream_shard("w1", "u")), [])

    def test_many_answers_are_forgotten_but_their_records_stay(self):
        large = SavedAnswer(200, [], b"x" * 16_000)
        for number in range(400):
            rid = RecordId("w1", str(number))
            self.book.begin(rid, "f", "r")
            self.book.end(rid, "r", large)
        states = self.states()
        self.assertEqual(len(states), 400)
        kept = sum(answer is not None for _, answer in states)
        self.assertTrue(0 < kept <= 4 * 1024 * 1024 // 16_000)

    def test_ended_records_expire(self):
        self.book.begin(RID, "f", "r1")
        self.book.end(RID, "r1", None)
        self.clock.advance(601_000)
        self.assertEqual(self.states(), [])
