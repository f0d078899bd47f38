import errno
import itertools
import os
import shutil
import tempfile
import unittest
from pathlib import Path
from unittest import mock

from hypothesis import given, settings
from hypothesis import strategies as st

from bergamotdrift.exceptions import DiskFullError, StorageError
from bergamotdrift.raft_log import RaftLog
from bergamotdrift.raft_messages import (
    Entry,
    EntryKind,
    HardState,
    Member,
    Snapshot,
    SyncBatch,
)
from bergamotdrift.tests.power_loss import FolderModel, Killed

_WRITE = os.write


def entry(index, term=1, data=b"x"):
    return Entry(index, term, EntryKind.COMMAND, data)


def batch(entries, term=1, vote="", snapshot=None):
    return SyncBatch(HardState(term, vote, 0, "g"), snapshot, entries, True, [])


class StorageTestCase(unittest.TestCase):
    def setUp(self):
        self.folder = Path(tempfile.mkdtemp(prefix="bergamotdrift-"))
        self.addCleanup(shutil.rmtree, self.folder)

    def write(self, *batches):
        log = RaftLog(self.folder, "c1")
        log.open()
        for item in batches:
            log.write(item)
        log.close()

    def load(self, name="c1"):
        log = RaftLog(self.folder, name)
        try:
            return log.open()
        finally:
            log.close()

    def log_size(self):
        return (self.folder / "log").stat().st_size


class RecoveryTests(StorageTestCase):
    def test_restart_finds_everything_written(self):
        self.write(batch([entry(1), entry(2)]), batch([], 4, "c2-1"))
        loaded = self.load()
        self.assertEqual(loaded.entries, [entry(1), entry(2)])
        self.assertEqual(loaded.hard_state, HardState(4, "c2-1", 0, "g"))

    def test_later_entries_replace_earlier_ones(self):
        self.write(batch([entry(n) for n in (1, 2, 3)]), batch([entry(2, 2)], 2))
        self.assertEqual(self.load().entries, [entry(1), entry(2, 2)])

    def test_snapshot_replaces_the_log(self):
        snapshot = Snapshot(2, 1, [Member("c1-1", "c1", "a", True)], b"state")
        entries = [entry(n) for n in (1, 2, 3)]
        self.write(batch(entries), batch([entry(3)], snapshot=snapshot))
        loaded = self.load()
        self.assertEqual((loaded.snapshot, loaded.entries), (snapshot, [entry(3)]))

    def test_crash_between_snapshot_and_log_keeps_later_entries(self):
        self.write(batch([entry(n) for n in (1, 2, 3)]))
        old_log = (self.folder / "log").read_bytes()
        self.write(batch([entry(3)], snapshot=Snapshot(2, 1, [], b"state")))
        (self.folder / "log").write_bytes(old_log)
        self.assertEqual(self.load().entries, [entry(3)])

    def test_log_that_conflicts_with_a_snapshot_is_discarded(self):
        self.write(batch([entry(n) for n in (1, 2, 3)]))
        old_log = (self.folder / "log").read_bytes()
        self.write(batch([], snapshot=Snapshot(2, 5, [], b"state")))
        (self.folder / "log").write_bytes(old_log)
        self.assertEqual(self.load().entries, [])

    @settings(max_examples=100, deadline=None)
    @given(st.lists(st.tuples(st.integers(1, 12), st.integers(0, 4)), max_size=12))
    def test_any_sequence_of_batches_is_read_back(self, steps):
        """Compare the recovered entries with a model that is a plain list."""
        shutil.rmtree(self.folder)
        expected: list[Entry] = []
        batches = []
        for term, (first, count) in enumerate(steps, start=1):
            kept = min(first, len(expected) + 1) - 1
            new = [entry(kept + 1 + n, term) for n in range(count)]
            expected = expected[:kept] + new if new else expected
            batches.append(batch(new, term))
        self.write(*batches)
        self.assertEqual(self.load().entries, expected)


class PowerLossTests(StorageTestCase):
    """Guard against the loss of state on which replies may have relied."""

    SNAPSHOT = Snapshot(3, 2, [Member("c1-1", "c1", "a", True)], b"state")
    BATCHES = (
        batch([entry(1), entry(2)], 1),
        batch([], 2, "c2-1"),
        batch([entry(3, 2), entry(4, 2)], 2, "c2-1"),
        batch([entry(4, 2)], 2, "c2-1", SNAPSHOT),
        batch([entry(4, 3), entry(5, 3)], 3),
    )

    def run_until_killed(self, kill_at):
        """Return the model, and the number of batches whose write returned."""
        shutil.rmtree(self.folder)
        self.folder.mkdir()
        model = FolderModel(self.folder)
        self.addCleanup(model.close)
        model.kill_at = kill_at
        synced = 0
        log = RaftLog(self.folder, "c1")
        with model.patch():
            try:
                log.open()
                for item in self.BATCHES:
                    log.write(item)
                    synced += 1
            except Killed:
                pass
            finally:
                log.close()
        model.kill_at = 0
        return model, synced

    def kill_points(self):
        """Return each file operation before which the process may be killed.

        With each comes a share of the unsynced bytes that survive the loss of power.
        """
        model, _ = self.run_until_killed(0)
        self.assertGreater(model.operations, 15)
        return itertools.product(range(1, model.operations + 2), (0.0, 0.5, 1.0))

    def expected(self, count):
        """Return the state after a number of batches, as written without a fault."""
        shutil.rmtree(self.folder)
        self.write(*self.BATCHES[:count])
        return self.load()

    def test_synced_batches_survive_a_loss_of_power(self):
        states = [self.expected(n) for n in range(len(self.BATCHES) + 1)]
        for kill_at, share in self.kill_points():
            with self.subTest(kill_at=kill_at, share=share):
                model, synced = self.run_until_killed(kill_at)
                model.lose_power(share)
                self.assertIn(self.load(), states[synced : synced + 2])

    def test_state_read_after_a_kill_survives_a_loss_of_power(self):
        # A restarted replica confirms to its leader what it has read, without another
        # sync, so what a killed process wrote must be synced before it is used.
        for kill_at, share in self.kill_points():
            with self.subTest(kill_at=kill_at, share=share):
                model, _ = self.run_until_killed(kill_at)
                with model.patch():
                    read = self.load()
                model.lose_power(share)
                self.assertEqual(self.load(), read)

    def test_batches_after_a_kill_survive_a_loss_of_power(self):
        # A rename that was not synced before the kill would take them away with it.
        for kill_at, share in self.kill_points():
            with self.subTest(kill_at=kill_at, share=share):
                model, _ = self.run_until_killed(kill_at)
                with model.patch():
                    last = self.load()
                    index = last.snapshot.log_index + len(last.entries) + 1
                    self.write(batch([entry(index, 9)], 9))
                model.lose_power(share)
                self.assertEqual(self.load().entries, [*last.entries, entry(index, 9)])


class SnapshotAfterLogPowerLossTests(PowerLossTests):
    """Guard against a gap in the log after a snapshot that lies beyond its end."""

    SNAPSHOT = Snapshot(7, 2, [Member("c1-1", "c1", "a", True)], b"state")
    BATCHES = (
        batch([entry(1), entry(2)], 1),
        batch([], 2, "c2-1"),
        batch([], 2, "c2-1", SNAPSHOT),
        batch([entry(8, 2)], 2, "c2-1"),
        batch([entry(8, 3), entry(9, 3)], 3),
    )


class ConflictingSnapshotPowerLossTests(PowerLossTests):
    """Guard against the loss of entries after a snapshot that replaced others."""

    SNAPSHOT = Snapshot(2, 2, [Member("c1-1", "c1", "a", True)], b"state")
    BATCHES = (
        batch([entry(1), entry(2), entry(3)], 1),
        batch([], 2, "c2-1"),
        batch([], 2, "c2-1", SNAPSHOT),
        batch([entry(3, 2)], 2, "c2-1"),
        batch([entry(4, 3), entry(5, 3)], 3),
    )


class FullDiskTests(StorageTestCase):
    """Guard against a partial record in the log after a write on a full disk."""

    def setUp(self):
        super().setUp()
        self.free_bytes = 0

    def write_until_full(self, fd, data):
        """Simulate a full disk: write what fits, then raise ENOSPC."""
        if not self.free_bytes:
            raise OSError(errno.ENOSPC, os.strerror(errno.ENOSPC))
        written = bytes(data[: self.free_bytes])
        self.free_bytes -= len(written)
        return _WRITE(fd, written)

    def limit_free_bytes(self, free_bytes):
        self.free_bytes = free_bytes
        return mock.patch.object(os, "write", self.write_until_full)

    def test_batch_can_be_retried_after_a_full_disk(self):
        log = RaftLog(self.folder, "c1")
        log.open()
        log.write(batch([entry(1)]))
        for free_bytes in (0, 5):
            with self.limit_free_bytes(free_bytes), self.assertRaises(DiskFullError):
                log.write(batch([entry(2)]))
        log.write(batch([entry(2)]))
        log.write(batch([entry(3)]))
        log.close()
        self.assertEqual(self.load().entries, [entry(1), entry(2), entry(3)])

    def test_snapshot_can_be_retried_after_a_full_disk(self):
        snapshot = Snapshot(2, 1, [Member("c1-1", "c1", "a", True)], b"state")
        change = batch([entry(3)], snapshot=snapshot)
        log = RaftLog(self.folder, "c1")
        log.open()
        log.write(batch([entry(1), entry(2)]))
        # In the second case the snapshot fits, but the rewritten log does not.
        for free_bytes in (3, 120):
            with self.limit_free_bytes(free_bytes), self.assertRaises(DiskFullError):
                log.write(change)
        log.write(change)
        log.close()
        loaded = self.load()
        self.assertEqual((loaded.snapshot, loaded.entries), (snapshot, [entry(3)]))

    def test_interrupted_snapshot_is_finished_once_the_disk_has_room(self):
        # The process must start on the full disk, as the others need its replies.
        snapshot = Snapshot(5, 2, [Member("c1-1", "c1", "a", True)], b"state")
        self.write(batch([entry(1), entry(2)]))
        old_log = (self.folder / "log").read_bytes()
        self.write(batch([], 2, snapshot=snapshot))
        (self.folder / "log").write_bytes(old_log)
        log = RaftLog(self.folder, "c1")
        with self.limit_free_bytes(0):
            self.assertEqual(log.open().snapshot, snapshot)
        for free_bytes in (0, 5, 100):
            with self.limit_free_bytes(free_bytes), self.assertRaises(DiskFullError):
                log.write(batch([entry(6, 2)], 2))
        log.write(batch([entry(6, 2)], 2))
        log.close()
        loaded = self.load()
        self.assertEqual((loaded.snapshot, loaded.entries), (snapshot, [entry(6, 2)]))

    def test_other_write_errors_are_not_reported_as_a_full_disk(self):
        log = RaftLog(self.folder, "c1")
        log.open()
        self.addCleanup(log.close)
        error = OSError(errno.EIO, "bad disk")
        with (
            mock.patch.object(os, "write", side_effect=error),
            self.assertRaises(StorageError) as caught,
        ):
            log.write(batch([entry(1)]))
        self.assertNotIsInstance(caught.exception, DiskFullError)


class CorruptionTests(StorageTestCase):
    def test_torn_last_record_is_truncated_at_every_byte(self):
        self.write(batch([entry(1)], 1), batch([entry(2)], 2, "c2-1"))
        start = self.log_size()
        self.write(batch([entry(3), entry(4)], 3, "c3-1"))
        original = (self.folder / "log").read_bytes()
        for end in range(start, len(original)):
            (self.folder / "log").write_bytes(original[:end])
            loaded = self.load()
            self.assertEqual(loaded.entries, [entry(1), entry(2)])
            self.assertEqual(loaded.hard_state.vote, "c2-1")
            self.assertEqual(self.log_size(), start)
        # New records are appended after the last complete one.
        self.write(batch([entry(3, 9)], 9))
        self.assertEqual(self.load().entries[2:], [entry(3, 9)])

    def test_last_record_of_zeros_is_truncated(self):
        # A file system may persist the new file size before the data.
        self.write(batch([entry(1)]))
        with (self.folder / "log").open("ab") as file:
            file.write(bytes(100))
        self.assertEqual(self.load().entries, [entry(1)])

    def test_open_fails_on_any_flipped_bit_before_the_last_record(self):
        self.write(batch([entry(1)]), batch([entry(2)], 2))
        last = self.log_size()
        self.write(batch([entry(3)], 3))
        original = (self.folder / "log").read_bytes()
        for position in range(last * 8):
            damaged = bytearray(original)
            damaged[position // 8] ^= 1 << position % 8
            (self.folder / "log").write_bytes(damaged)
            with self.assertRaises(StorageError, msg=f"bit {position}"):
                self.load()

    def test_open_fails_on_a_corrupt_snapshot_or_identity(self):
        self.write(batch([], snapshot=Snapshot(2, 1, [], b"state")))
        for name in ("snapshot", "identity"):
            path = self.folder / name
            original = path.read_bytes()
            for position in range(len(original)):
                damaged = bytearray(original)
                damaged[position] ^= 0x10
                path.write_bytes(damaged)
                with self.assertRaises(StorageError, msg=f"{name} {position}"):
                    self.load()
            path.write_bytes(original)

    def test_open_fails_if_a_file_is_missing(self):
        # Starting without them would lose votes under the same identity.
        snapshot = Snapshot(2, 1, [], b"state")
        self.write(batch([entry(1)]), batch([entry(3)], snapshot=snapshot))
        for name in ("log", "snapshot", "identity"):
            path = self.folder / name
            original = path.read_bytes()
            path.unlink()
            with self.assertRaises(StorageError, msg=name):
                self.load()
            path.write_bytes(original)


class IdentityTests(StorageTestCase):
    def identity(self):
        log = RaftLog(self.folder, "c1")
        log.open()
        log.close()
        return log.replica

    def test_identity_lasts_until_the_folder_is_emptied(self):
        first = self.identity()
        self.assertEqual(self.identity(), first)
        shutil.rmtree(self.folder)
        self.assertNotEqual(self.identity(), first)
        self.assertTrue(first.startswith("c1-"))

    def test_folder_of_another_name_is_refused(self):
        self.identity()
        with self.assertRaises(StorageError):
            self.load("c2")

    def test_folder_in_use_is_refused(self):
        log = RaftLog(self.folder, "c1")
        log.open()
        self.addCleanup(log.close)
        with self.assertRaises(StorageError):
            self.load()

    def test_crash_before_the_identity_is_written_is_recovered(self):
        self.identity()
        (self.folder / "identity").unlink()
        self.assertTrue(self.identity())
