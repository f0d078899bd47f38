import random
import unittest
from typing import Any

from bergamotdrift.arbiter_messages import (
    AttemptOutcome,
    PermitCancel,
    PermitGrant,
    PermitRefusal,
    PermitRelease,
    RecordBegin,
    RecordMirror,
    RecordReply,
    RecordRow,
    RecordState,
    Revoke,
    RunningPermit,
    TokenRequest,
)
from bergamotdrift.clock import ManualClock
from bergamotdrift.exceptions import ErrorKind
from bergamotdrift.feed_tables import FeedTables
from bergamotdrift.messages import Done
from bergamotdrift.outputs import Mirror, Notice, Reply
from bergamotdrift.shard_set import ShardSet
from bergamotdrift.tests import arbiter_support as support


class ShardSetTests(unittest.TestCase):
    def setUp(self):
        self.clock = ManualClock()
        self.shards = ShardSet("a1", self.clock, random.Random(1))
        self.tables = FeedTables()
        self.index = 0
        self.entry = support.entry(0)

    def feed(self, **changes) -> Any:
        self.index += 1
        changes.setdefault("upstreams", [support.upstream("u1")])
        self.tables.apply(support.full_feed(index=self.index, **changes))
        return self.shards.update(self.tables)

    def handle(self, msg, ticket=None) -> Any:
        return self.shards.handle(self.entry, msg, ticket)

    def messages(self, outputs):
        return [type(output.message) for output in outputs]

    def test_messages_ahead_of_the_feed_are_handled_in_order_when_it_comes(self):
        self.handle(support.resume())
        self.assertEqual(self.handle(support.permit_request(1), 1), [])
        self.assertEqual(self.messages(self.feed()), [PermitGrant])

    def test_request_of_a_newer_epoch_waits_for_the_feed(self):
        self.feed()
        self.handle(support.resume(epoch=2))
        self.assertEqual(self.handle(support.permit_request(1, epoch=2), 1), [])
        self.assertEqual(self.messages(self.feed(epoch=2)), [PermitGrant])

    def test_request_that_the_feed_never_explains_is_refused(self):
        self.feed()
        self.handle(support.permit_request(1, shard="pool:unknown"), 1)
        self.handle(TokenRequest("unknown", 1, 1), 2)
        self.clock.advance(1000)
        outputs: Any = self.shards.tick()
        kinds = [(output.ticket, output.message.kind) for output in outputs]
        unreachable = ErrorKind.ARBITER_UNREACHABLE
        self.assertEqual(kinds, [(1, unreachable), (2, unreachable)])

    def test_report_is_kept_until_a_late_feed_comes(self):
        running = RunningPermit("p1", "u1", -1, 0, "w")
        self.handle(support.resume(permits=[running]))
        self.handle(
            PermitRelease(support.POOL, "p1", AttemptOutcome.ANSWERED, 1.0, False)
        )
        self.clock.advance(10_000)
        self.shards.tick()
        self.feed()
        self.assertTrue(self.shards.permits[support.POOL].is_granting)
        self.assertEqual(len(self.shards.permits[support.POOL].permits), 0)

    def test_report_for_another_arbiter_is_dropped(self):
        self.handle(support.resume())
        self.handle(support.permit_request(1), 1)
        (refused,) = self.feed(arbiter="a2")
        self.assertEqual(refused.message.kind, ErrorKind.ARBITER_UNREACHABLE)
        self.assertEqual(len(self.shards._early), 0)
        self.assertEqual(len(self.handle(support.permit_request(2), 2)), 1)

    def test_request_cancelled_before_the_feed_came_is_not_granted(self):
        self.handle(support.resume())
        self.handle(support.permit_request(1), 1)
        self.handle(PermitCancel(support.POOL, "r1", 0))
        self.assertEqual(self.feed(), [])

    def test_shard_that_moves_refuses_what_waits(self):
        self.feed()
        self.handle(support.permit_request(1), 1)
        (output,) = self.feed(arbiter="a2", epoch=2)
        self.assertIsInstance(output.message, PermitRefusal)
        self.assertEqual(output.message.kind, ErrorKind.ARBITER_UNREACHABLE)
        self.assertEqual(self.shards.count(), 0)

    def test_shard_that_moves_with_its_upstream_gone_revokes(self):
        self.feed()
        self.handle(support.resume())
        self.handle(support.permit_request(1), 1)
        self.assertEqual(self.feed(arbiter="a2", epoch=2), [])
        self.feed(epoch=3)
        self.handle(support.resume(epoch=3))
        self.handle(support.permit_request(2, epoch=3), 2)
        outputs = self.feed(arbiter="a2", epoch=4, upstreams=[])
        self.assertEqual(outputs, [Notice(self.entry, Revoke(support.POOL, "u1"))])

    def test_upstream_seen_before_the_takeover_needs_no_ramp(self):
        self.feed(arbiter="a2")
        self.clock.advance(60_000)
        upstreams = [support.upstream("u1"), support.upstream("u2")]
        self.feed(epoch=2, upstreams=upstreams)
        since_ms = self.shards.permits[support.POOL].view.warm_since_ms
        self.assertEqual(since_ms, {"u1": 0.0, "u2": 60_000.0})

    def test_mirrored_record_survives_until_the_shard_comes(self):
        self.feed(arbiter="a2", entries=2)
        row = RecordRow("w", "k", "f", "r0", RecordState.DONE, 0, None)
        stored = self.shards.handle(support.entry(1), RecordMirror(row), 1)
        self.assertEqual(stored, [Reply(1, Done())])
        self.feed(epoch=2)
        outputs = self.handle(support.resume("workspace:w", 2))
        self.assertEqual([type(output) for output in outputs], [Mirror])
        (reply,) = self.handle(RecordBegin("w", 2, "k", "f", "r1", 0), 2)
        self.assertEqual(reply.message, RecordReply(RecordState.UNKNOWN))

    def test_record_of_a_lost_entry_is_mirrored(self):
        self.feed()
        self.handle(support.resume("workspace:w"))
        self.handle(RecordBegin("w", 1, "k", "f", "r1", 0), 1)
        (output,) = self.feed(entries=0)
        self.assertEqual(
            (output.shard, output.row.state), ("workspace:w", RecordState.UNKNOWN)
        )

    def test_foreign_message_is_refused(self):
        (output,) = self.handle(Done(), 1)
        self.assertEqual(output.message.kind, ErrorKind.MALFORMED_REQUEST)
