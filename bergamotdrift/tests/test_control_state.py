import unittest

from hypothesis import given, settings
from hypothesis import strategies as st

from bergamotdrift import control_commands as cmd
from bergamotdrift import row_table
from bergamotdrift.config.schema import ServiceKind
from bergamotdrift.control_commands import ReassignmentWait
from bergamotdrift.control_state import ControlState
from bergamotdrift.exceptions import ErrorKind
from bergamotdrift.feed_tables import FeedTables, PartitionId, UpstreamId
from bergamotdrift.messages import (
    NodeRow,
    PartitionRef,
    PartitionState,
    Role,
    UpstreamRow,
    UpstreamState,
)
from bergamotdrift.row_table import RowTable
from bergamotdrift.tests.control_simulation import change, service, site


def node(name, incarnation="i1"):
    return NodeRow(name, Role.ARBITER, incarnation, name, "a", "")


def upstream(name, incarnation="i1", of="s"):
    return UpstreamRow(of, name, "127.0.0.1:1", "a", incarnation, UpstreamState.READY)


def assign(partition, epoch, name="u1", incarnation="i1"):
    item = cmd.PartitionAssignment("s", partition, epoch, name, incarnation)
    return cmd.AssignPartitions([item])


class StateTestCase(unittest.TestCase):
    def setUp(self):
        self.state = ControlState()
        self.index = 0
        self.do(change(site([service()]), 0))

    def do(self, command):
        self.index += 1
        return self.state.apply_command(self.index, command)

    def partition(self, number):
        return self.state.rows.partitions.get(PartitionId("s", number))


class SettingsChangeTests(StateTestCase):
    """Guards accepted settings against concurrent changes and lost answers."""

    def test_conflict_names_the_author_of_the_accepted_change(self):
        accepted = self.do(change(site([]), 1, "r2", "bea"))
        conflict = self.do(change(site([service("t")]), 1, "r3", "carl"))
        self.assertEqual((accepted.kind, accepted.revision), ("", 2))
        self.assertEqual(conflict.kind, ErrorKind.REVISION_CONFLICT)
        self.assertEqual((conflict.revision, conflict.author), (2, "bea"))
        self.assertIn("bea", conflict.detail)

    def test_resend_gets_the_first_answer_even_after_a_restart(self):
        first = self.do(change(site([]), 1, "r2"))
        refused = self.do(change(site([]), 1, "r3"))
        self.do(change(site([service()]), 2, "r4"))
        self.state.restore(self.state.snapshot())
        self.assertEqual(self.do(change(site([]), 1, "r2")), first)
        self.assertEqual(self.do(change(site([]), 1, "r3")), refused)
        self.assertEqual(self.state.settings.revision, 3)

    def test_request_id_of_another_change_is_refused(self):
        self.do(change(site([]), 1, "r2"))
        outcome = self.do(change(site([]), 2, "r2", fingerprint="other"))
        self.assertEqual(outcome.kind, ErrorKind.MALFORMED_REQUEST)
        self.assertEqual(self.state.settings.revision, 2)

    def test_audit_pages_list_changes_and_refusals(self):
        self.do(change(site([service("t")]), 1, "r2", "bea"))
        self.do(change(site([]), 1, "r3", "carl"))
        refusal = cmd.RecordRefusal(
            "r4", "dan", 2, 5, "f", ErrorKind.INVALID_SETTINGS, "no zones"
        )
        self.do(refusal)
        audit = self.state.settings.audit
        rows = [*audit.page(0, 2), *audit.page(2, 2)]
        self.assertEqual([row.author for row in rows], ["ann", "bea", "carl", "dan"])
        self.assertEqual(rows[1].changes, ("services: - s", "services: + t"))
        self.assertEqual(rows[2].kind, ErrorKind.REVISION_CONFLICT)
        self.assertEqual(rows[3].detail, "no zones")
        self.assertEqual(audit.page(4, 2), [])

    def test_revisions_are_bounded_but_the_audit_trail_is_not(self):
        for base in range(1, 61):
            self.do(change(site([]), base, f"r{base + 1}"))
        self.assertEqual(len(self.state.settings.recent_revisions), 16)
        self.assertEqual(len(self.state.settings.audit), 61)

    @given(st.lists(st.tuples(st.integers(0, 6), st.integers(0, 8)), max_size=30))
    @settings(max_examples=60, deadline=None)
    def test_concurrent_changes_and_resends_never_revert_settings(self, sends):
        state, revision = ControlState(), 0
        sent: dict[int, cmd.ApplySettings] = {}
        outcomes: dict[int, cmd.ChangeOutcome] = {}
        for index, (base, request) in enumerate(sends, 1):
            # A resend repeats the change that first used its request id.
            command = sent.setdefault(request, change(site([]), base, f"r{request}"))
            outcome = state.apply_command(index, command)
            self.assertEqual(outcomes.setdefault(request, outcome), outcome)
            self.assertGreaterEqual(state.settings.revision, revision)
            revision = state.settings.revision
        accepted = [o.revision for o in outcomes.values() if not o.kind]
        self.assertEqual(sorted(accepted), list(range(1, revision + 1)))


class OwnershipTests(StateTestCase):
    """Guards ownership against commands that are delayed or repeated."""

    def setUp(self):
        super().setUp()
        self.do(cmd.PutUpstreams([upstream("u1"), upstream("u2")]))
        self.do(assign(0, 0))

    def test_assignment_needs_the_current_epoch_and_a_free_partition(self):
        self.assertEqual(self.do(assign(0, 1, "u2")).changed, 0)
        self.do(cmd.ReleasePartitions([PartitionRef("s", 0, 1)]))
        self.assertEqual(self.do(assign(0, 0, "u2")).changed, 0)
        self.assertEqual(self.do(assign(0, 1, "u2")).changed, 1)
        self.assertEqual(self.partition(0).epoch, 2)
        self.assertEqual(self.do(assign(0, 1, "u1")).changed, 0)

    def test_expiry_vacates_partitions_until_permits_end(self):
        self.do(cmd.ExpireUpstreams([cmd.UpstreamIncarnation("s", "u1", "i1")]))
        self.assertEqual(self.partition(0).state, PartitionState.VACANT)
        self.assertEqual(
            self.state.rows.reassignment_wait(PartitionId("s", 0)),
            ReassignmentWait.PERMITS,
        )

    def test_keyed_upstream_is_not_replaced_before_it_expires(self):
        self.assertEqual(self.do(cmd.PutUpstreams([upstream("u1", "i2")])).changed, 0)
        self.do(cmd.ExpireUpstreams([cmd.UpstreamIncarnation("s", "u1", "i1")]))
        self.assertEqual(self.do(cmd.PutUpstreams([upstream("u1", "i2")])).changed, 1)
        self.assertEqual(self.do(assign(0, 1, "u1", "i1")).changed, 0)

    def test_expired_node_loses_its_shards_before_it_returns(self):
        self.do(cmd.RegisterNodes([node("x1")]))
        self.do(cmd.AssignShards([cmd.ShardAssignment("workspace:w", 0, "x1")]))
        self.do(cmd.ExpireNodes([cmd.NodeIncarnation("x1", "i1")]))
        self.do(cmd.RegisterNodes([node("x1", "i2")]))
        row = self.state.rows.shards.get("workspace:w")
        self.assertEqual(row and row.node, "")

    def test_isolated_key_starts_at_its_parents_upstream(self):
        self.do(cmd.IsolateKey("s", 1))
        row = self.partition(8)
        self.assertEqual((row.upstream, row.state), ("u1", PartitionState.OWNED))
        self.do(cmd.RestoreKey("s", 1, 8, row.epoch))
        self.assertIsNotNone(
            self.partition(8), "an owned partition must not be removed"
        )
        self.do(cmd.ReleasePartitions([PartitionRef("s", 8, row.epoch)]))
        self.do(cmd.RestoreKey("s", 1, 8, row.epoch))
        self.assertIsNone(self.partition(8))

    def test_recreated_service_gets_higher_epochs_and_waits_for_leases(self):
        self.do(change(site([]), 1, "r2"))
        self.assertEqual(len(self.state.rows.partitions), 0)
        self.assertEqual(len(self.state.rows.upstreams), 0)
        self.do(change(site([service()]), 2, "r3"))
        self.assertEqual(self.partition(0).epoch, 1)
        self.assertEqual(
            self.state.rows.reassignment_wait(PartitionId("s", 0)),
            ReassignmentWait.LEASE,
        )

    def test_repartitioning_vacates_all_partitions(self):
        self.do(change(site([service(partitions=4)]), 1, "r2"))
        self.assertEqual(len(self.state.rows.partitions), 4)
        self.assertEqual(self.state.rows.partitions_of(UpstreamId("s", "u1")), [])
        self.assertEqual(
            self.state.rows.reassignment_wait(PartitionId("s", 0)),
            ReassignmentWait.LEASE,
        )

    def test_service_change_from_keyed_to_pool_removes_partitions(self):
        self.do(change(site([service(kind=ServiceKind.POOL)]), 1, "r2"))
        self.assertEqual(len(self.state.rows.partitions), 0)
        self.assertEqual(len(self.state.rows.unowned), 0)


class FeedTests(StateTestCase):
    """Guards nodes against missing rows, and against updates of an earlier leader."""

    def test_deltas_and_full_update_give_equal_tables(self):
        tables, updates = FeedTables(), []
        for step in range(40):
            name = f"x{step % 5}"
            if step % 7 == 6:
                self.do(cmd.ExpireNodes([cmd.NodeIncarnation(name, "i1")]))
            else:
                self.do(cmd.RegisterNodes([node(name)]))
            self.do(change(site([service()]), 1 + step, f"q{step}"))
            if step % 3 == 0:
                updates.append(self.state.update_since(tables.index))
                self.assertTrue(tables.apply(updates[-1]))
        tables.apply(self.state.update_since(tables.index))
        fresh = FeedTables()
        fresh.apply(self.state.update_since(0))
        self.assertEqual(vars(tables), vars(fresh))
        for update in updates[:-1]:
            self.assertFalse(tables.apply(update))
        self.assertEqual(tables.revision, self.state.settings.revision)

    def test_delta_below_dropped_tombstones_is_full(self):
        self.do(cmd.RegisterNodes([node(f"x{n}") for n in range(10)]))
        index_before = self.state.feed_index
        original, row_table.MAX_TOMBSTONES = row_table.MAX_TOMBSTONES, 4
        self.addCleanup(setattr, row_table, "MAX_TOMBSTONES", original)
        for number in range(10):
            self.do(cmd.ExpireNodes([cmd.NodeIncarnation(f"x{number}", "i1")]))
        self.assertTrue(self.state.update_since(index_before).full)
        self.assertFalse(self.state.update_since(self.state.feed_index - 1).full)

    @given(st.lists(st.tuples(st.integers(0, 5), st.booleans()), max_size=40))
    def test_row_table_delta_equals_replay(self, steps):
        table: RowTable = RowTable("t", lambda key: (str(key),))
        copies: dict[int, dict] = {0: {}}
        for index, (key, keep) in enumerate(steps, 1):
            if keep:
                table.put(key, index, index)
            else:
                table.remove(key, index)
            copies[index] = {k: table.get(k) for k in table.list_keys()}
        for index, copy in copies.items():
            changed = {table.get(k): k for k in table.list_keys()}
            copy.update({changed[row]: row for row in table.rows_since(index)})
            for removed in table.removed_since(index):
                copy.pop(int(removed.key[0]), None)
            self.assertEqual(copy, copies[len(steps)])


if __name__ == "__main__":
    unittest.main()
