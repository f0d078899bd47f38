import random
import time
import unittest

import gevent
from hypothesis import given
from hypothesis import strategies as st

from bergamotdrift import control_commands as cmd
from bergamotdrift.dialect import UpstreamStatement
from bergamotdrift.direct_load import DirectLoad
from bergamotdrift.feed_tables import UpstreamId
from bergamotdrift.messages import UpstreamReport, UpstreamRow, UpstreamState
from bergamotdrift.platform.wire_dialect import parse_limit
from bergamotdrift.tests.direct_entry import BUSY, OK, WRONG, DirectEntryTestCase
from bergamotdrift.tests.test_leader_state import AnnouncedUpstreamTestCase, announce
from bergamotdrift.upstream_sessions import LIMIT_TTL_MS
from bergamotdrift.upstream_speeds import UpstreamSpeeds
from bergamotdrift.upstream_statements import WINDOW_MS, UpstreamStatements

LIMIT_PER_S = 0.25
LIMITED = OK.replace(b"Content-Length", b"Server-Limit: 0.25\r\nContent-Length")
LEAVING = OK.replace(b"Content-Length", b"Server-Leaving: 1\r\nContent-Length")
# More than one and a half times the limit in 4 s, plus 5 requests, is an overload.
MAX_SENT = 1.5 * LIMIT_PER_S * 4 + 5


def row(**changes):
    found = UpstreamRow("pool", "u", "", "a", "1", UpstreamState.READY, 2, 1)
    return found._replace(**changes)


class ShareTests(unittest.TestCase):
    """Guards against entries that together exceed the limit of an upstream."""

    @given(st.integers(1, 100), st.floats(0.0, 50.0), st.integers(0, 4))
    def test_all_entries_keep_to_the_limit_in_any_window(self, entries, per_s, lag):
        members = frozenset(f"e{n}" for n in range(entries))
        sent_ms = []
        for number, name in enumerate(sorted(members)):
            limits = UpstreamStatements(name, random.Random(1))
            limits.share.set_members(members)
            load = DirectLoad(row(), 2)
            # Entries hear of the limit one after the other.
            now_ms = 37.0 * lag * number
            limits.record(load, UpstreamStatement(None, per_s), now_ms)
            for step in range(30):
                at_ms = now_ms + 400.0 * step
                while limits.has_room(load, at_ms):
                    limits.record_sent(load, at_ms)
                    sent_ms.append(at_ms)
        allowed = max(1.0, per_s * WINDOW_MS / 1000.0)
        for start_ms in sent_ms:
            window = [at for at in sent_ms if start_ms <= at < start_ms + WINDOW_MS]
            self.assertLessEqual(len(window), allowed)

    # Fails if an upstream that states no limit any more keeps its old one.
    def test_limit_ends_with_an_answer_that_states_none(self):
        limits = UpstreamStatements("e1", random.Random(1))
        load = DirectLoad(row(), 2)
        limits.record(load, UpstreamStatement(None, 0.0), 0.0)
        limits.record_sent(load, 0.0)
        self.assertFalse(limits.has_room(load, 10.0))
        limits.record(load, UpstreamStatement(), 20.0)
        self.assertTrue(limits.has_room(load, 30.0))

    # Fails if a restarted upstream is held to the limit of its earlier process.
    def test_limit_ends_with_the_process_that_stated_it(self):
        load = DirectLoad(row(limit_per_s=0.0), 2)
        load.replace_row(row(incarnation="2"), 0.0, 10.0)
        self.assertIsNone(load.limit_per_s)


class MalformedLimitTests(unittest.TestCase):
    """Guards against a limit that can't be read and changes the one in force."""

    def test_values_that_make_no_sense(self):
        for value in ("", "x", "nan", "inf", "-1", "1e400", "2000000", "3;q=1"):
            self.assertIsNone(parse_limit(value), value)
        self.assertEqual(parse_limit("3.3"), 3.3)

    def test_unreadable_limit_leaves_the_last_one_in_force(self):
        limits = UpstreamStatements("e1", random.Random(1))
        load = DirectLoad(row(), 2)
        limits.record(load, UpstreamStatement(None, 2.0), 0.0)
        limits.record(load, UpstreamStatement(None, None, False), 1.0)
        self.assertEqual(load.limit_per_s, 2.0)


class EntryLimitTests(DirectEntryTestCase):
    """Guards against an entry that sends an upstream more than it has stated to take.

    The entry is the only one, so its share is the whole limit.
    """

    def ask_for(self, seconds):
        answers = []
        end_s = time.monotonic() + seconds
        while time.monotonic() < end_s:
            answers.append(self.ask("/keys/1", headers=[("Shard-Key", "7")]))
            gevent.sleep(0.02)
        return answers

    def assert_within_limit(self):
        self.set_response_script(lambda data: LIMITED)
        answers = self.ask_for(3.0)
        sent = sum(b"/keys/" in data for data in self.requests())
        self.assertLessEqual(sent, MAX_SENT)
        refused = [answer for answer in answers if answer.status != 200]
        self.assertTrue(refused)
        for answer in refused:
            self.assertEqual(answer.status, 503)
            self.assertGreater(float(answer.headers["retry-after"]), 0)

    def test_limit_holds_at_an_entry_in_touch_with_the_leader(self):
        self.assert_within_limit()

    # Fails if the share needs the leader: the entry serves by settings up to 1.8 s old.
    def test_limit_holds_at_an_entry_that_has_lost_the_leader(self):
        self.set_response_script(lambda data: LIMITED)
        self.ask_for(0.2)
        self.control.silent = True
        answers = self.ask_for(1.0)
        sent = sum(b"/keys/" in data for data in self.requests())
        self.assertLessEqual(sent, MAX_SENT)
        self.assertTrue(any(answer.status == 503 for answer in answers))

    # Fails if the work of a pool does not go to the upstream that has room.
    def test_requests_go_to_the_upstream_without_a_limit(self):
        self.upstreams[0].respond = lambda data: LIMITED
        # Without its limit, the faster upstream would be preferred.
        self.upstreams[1].response_delay_s = 0.02
        for _ in range(60):
            self.assertEqual(self.ask("/look/1").status, 200)
        sent = sum(b"/look/" in data for data in self.upstreams[0].requests)
        self.assertLessEqual(sent, MAX_SENT)


class LeavingTests(DirectEntryTestCase):
    """Guards against requests to an upstream that has said that it leaves.

    The tables keep it as ready: control has not heard of it or is out of touch.
    """

    def leave(self):
        """Have an answer of the first upstream say that it leaves."""
        self.upstreams[0].respond = lambda data: LEAVING
        # Otherwise the faster upstream would be preferred.
        self.upstreams[1].response_delay_s = 0.02
        while not self.upstreams[0].requests:
            self.ask("/look/1")
        self.upstreams[0].requests.clear()

    def assert_gets_no_more(self):
        for _ in range(40):
            # A public route needs no rate tokens, which the leader leases.
            self.assertEqual(self.ask("/open/1", key=None).status, 200)
        self.assertEqual(self.upstreams[0].requests, [])

    def test_entry_in_touch_sends_to_another_upstream(self):
        self.leave()
        self.assert_gets_no_more()

    def test_entry_that_has_lost_the_leader_sends_to_another_upstream(self):
        self.leave()
        self.control.silent = True
        self.assert_gets_no_more()

    # Fails if keys have no upstream while they move, or if the owner gets requests past
    # the time in which every entry must have stopped.
    def test_owner_of_a_key_is_sent_requests_until_half_of_the_bound(self):
        self.leave()
        started_s = time.monotonic()
        while time.monotonic() - started_s < 1.5:
            asked_s = time.monotonic() - started_s
            status = self.ask("/keys/1", headers=[("Shard-Key", "7")]).status
            if asked_s < 0.7:
                self.assertEqual(status, 200)
            if asked_s > 1.1:
                self.assertEqual(status, 503)
            gevent.sleep(0.05)

    # Fails if a statement in an answer of another process is taken for the owner's.
    def test_misdirected_request_says_nothing_of_the_upstream(self):
        self.upstreams[0].respond = lambda data: WRONG.replace(
            b"Content-Length", b"Server-Leaving: 1\r\nContent-Length"
        )
        self.ask("/look/1")
        self.ask("/look/1")
        assert self.entry._direct is not None
        loads = self.entry._direct._selector.loads.values()
        self.assertEqual([load.leaves_since_ms for load in loads], [None] * len(loads))

    # Fails if a report that is lost on its way to the leader is not sent again: an
    # upstream that gets no more requests says nothing more either.
    def test_leaving_is_reported_until_the_leader_knows_of_it(self):
        load = DirectLoad(row(), 2)
        loads = {UpstreamId("pool", "u"): load}
        statements = UpstreamStatements("e1", random.Random(1))
        statements.record(load, UpstreamStatement(leaves=True), 0.0)
        for now_ms, reports in ((10.0, 1), (20.0, 0), (2500.0, 1)):
            due = statements.due_reports(loads, now_ms)
            self.assertEqual([item.leaves for item in due], [True] * reports)
        load.replace_row(row(state=UpstreamState.LEAVING), 0.0, 3000.0)
        self.assertEqual(statements.due_reports(loads, 9000.0), [])

    # Fails if the next process under the same id is taken for the one that leaves.
    def test_statement_ends_with_its_process(self):
        load = DirectLoad(row(), 2)
        statements = UpstreamStatements("e1", random.Random(1))
        statements.record(load, UpstreamStatement(leaves=True), 0.0)
        self.assertTrue(statements.leaves(load, False, 1.0))
        load.replace_row(row(incarnation="2"), 0.0, 10.0)
        self.assertFalse(statements.leaves(load, False, 20.0))


class PauseTests(DirectEntryTestCase):
    """Guards against requests to an upstream that wants none for a while."""

    def pause(self, value=b"1.5"):
        """Have an answer of the first upstream ask for a pause."""
        self.upstreams[0].respond = lambda data: BUSY.replace(
            b"Content-Length", b"Retry-After: " + value + b"\r\nContent-Length"
        )
        # Otherwise the faster upstream would be preferred.
        self.upstreams[1].response_delay_s = 0.02
        while not self.upstreams[0].requests:
            self.ask("/look/1")
        self.upstreams[0].requests.clear()

    def ask_key(self):
        return self.ask("/keys/1", headers=[("Shard-Key", "7")])

    def test_first_sends_and_repeats_go_to_another_upstream(self):
        self.pause()
        started_s = time.monotonic()
        while time.monotonic() - started_s < 1.3:
            self.assertEqual(self.ask("/look/1").status, 200)
        self.assertEqual(self.upstreams[0].requests, [])

    def test_entry_that_has_lost_the_leader_keeps_the_pause(self):
        self.pause()
        self.control.silent = True
        for _ in range(30):
            self.assertEqual(self.ask("/open/1", key=None).status, 200)
        self.assertEqual(self.upstreams[0].requests, [])

    # Fails if a request waits for an owner that is free only after its deadline, or is
    # not told when to come back.
    def test_request_whose_owner_pauses_past_the_deadline_is_refused_at_once(self):
        self.upstreams[0].respond = lambda data: BUSY.replace(
            b"Content-Length", b"Retry-After: 3.5\r\nContent-Length"
        )
        self.ask_key()
        self.upstreams[0].requests.clear()
        started_s = time.monotonic()
        answer = self.ask_key()
        self.assertLess(time.monotonic() - started_s, 0.1)
        self.assertEqual(answer.status, 503)
        self.assertGreater(float(answer.headers["retry-after"]), 3.0)
        self.assertEqual(self.upstreams[0].requests, [])

    # Fails if a request that already waits is sent before the end of the pause.
    def test_request_waits_for_an_owner_that_is_free_in_time(self):
        answers = [BUSY.replace(b"Content", b"Retry-After: 0.2\r\nContent"), OK]
        self.upstreams[0].respond = lambda data: answers.pop(0)
        started_s = time.monotonic()
        self.assertEqual(self.ask_key().status, 200)
        self.assertGreaterEqual(time.monotonic() - started_s, 0.2)

    def test_pause_that_makes_no_sense_has_no_effect(self):
        for value in (b"-1", b"x", b"nan", b"1e9", b"Wed, 21 Oct 2026 07:28:00 GMT"):
            self.upstreams[0].requests.clear()
            self.pause(value)
            assert self.entry._direct is not None
            for load in self.entry._direct._selector.loads.values():
                self.assertEqual(load.paused_until_ms, 0.0)
            gevent.sleep(0.1)

    # Fails if the next process at the same id is not sent to during the pause.
    def test_pause_ends_with_its_process_and_a_later_one_replaces_it(self):
        load = DirectLoad(row(), 2)
        statements = UpstreamStatements("e1", random.Random(1))
        statements.record(load, UpstreamStatement(pause_ms=5000.0), 0.0)
        self.assertGreaterEqual(load.paused_until_ms, 5000.0)
        statements.record(load, UpstreamStatement(pause_ms=100.0), 10.0)
        self.assertLessEqual(load.paused_until_ms, 140.0)
        load.replace_row(row(incarnation="2"), 0.0, 20.0)
        self.assertEqual(load.paused_until_ms, 0.0)

    # Fails if all entries come back at the same moment.
    def test_entries_come_back_one_after_the_other(self):
        ends_ms = set()
        for seed in range(20):
            load = DirectLoad(row(), 2)
            statements = UpstreamStatements("e1", random.Random(seed))
            statements.record(load, UpstreamStatement(pause_ms=2000.0), 0.0)
            ends_ms.add(load.paused_until_ms // 20)
        self.assertGreater(len(ends_ms), 10)


class LeaderReportTests(AnnouncedUpstreamTestCase):
    """Guards against entries without a share that don't hear of a limit or its end."""

    KEY = UpstreamId("s", "u1")

    def report(self, per_s, now_ms):
        run = self.model.state.rows.upstreams.get(self.KEY).incarnation
        items = [UpstreamReport("s", "u1", run, per_s)]
        self.leader_state.upstreams.record_reports(items, now_ms)
        self.run_round(now_ms)
        return self.model.state.rows.upstreams.get(self.KEY).limit_per_s

    def test_limit_and_its_end_are_stated_in_the_row(self):
        self.assertEqual(self.report(3.3, 10.0), 3.3)
        self.assertIsNone(self.report(None, 20.0))

    def test_limit_of_another_process_is_ignored(self):
        items = [UpstreamReport("s", "u1", "other", 1.0)]
        self.leader_state.upstreams.record_reports(items, 10.0)
        self.run_round(10.0)
        self.assertIsNone(self.model.state.rows.upstreams.get(self.KEY).limit_per_s)

    def test_announcement_keeps_the_limit(self):
        self.report(3.3, 10.0)
        announce(self.leader_state, now_ms=20.0, state=UpstreamState.COLD)
        self.run_round(20.0)
        found = self.model.state.rows.upstreams.get(self.KEY)
        self.assertEqual((found.state, found.limit_per_s), (UpstreamState.COLD, 3.3))

    def test_limit_that_nobody_reports_is_dropped(self):
        self.report(3.3, 10.0)
        for number in range(1, 20):
            announce(self.leader_state, now_ms=10.0 + 600.0 * number)
            self.run_round(10.0 + 600.0 * number)
        self.assertGreater(600.0 * 19, LIMIT_TTL_MS)
        self.assertIsNone(self.model.state.rows.upstreams.get(self.KEY).limit_per_s)

    # Fails if the keys of an upstream that leaves don't move, or other entries don't
    # hear of it.
    def test_upstream_that_says_that_it_leaves_is_leaving(self):
        run = self.model.state.rows.upstreams.get(self.KEY).incarnation
        items = [UpstreamReport("s", "u1", run, None, True)]
        self.leader_state.upstreams.record_reports(items, 10.0)
        self.run_round(10.0)
        found = self.model.state.rows.upstreams.get(self.KEY)
        self.assertIs(found.state, UpstreamState.LEAVING)

    # Fails if a change that was planned before brings a leaving upstream back.
    def test_limit_does_not_bring_a_leaving_upstream_back(self):
        found = self.model.state.rows.upstreams.get(self.KEY)
        self.model.commit(
            cmd.PutUpstreams([found._replace(state=UpstreamState.LEAVING)])
        )
        self.model.commit(cmd.PutUpstreams([found._replace(limit_per_s=2.0)]))
        found = self.model.state.rows.upstreams.get(self.KEY)
        self.assertIs(found.state, UpstreamState.LEAVING)


class LimitedOwnerTests(unittest.TestCase):
    """Guards against keys that stay at an upstream that takes few requests."""

    def test_limit_counts_as_the_capacity_of_an_owner(self):
        loads = UpstreamSpeeds().load_per_rps([
            row(upstream="free"),
            row(upstream="limited", limit_per_s=4.0),
        ])
        self.assertAlmostEqual(loads["limited"], 0.25)
        self.assertLess(loads["free"], loads["limited"])
