import errno
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

    def test_crash_between_snapshot_and_log_keeps_the_rest(self):
        self.write(batch([entry(n) for n in (1, 2, 3)]))
        old_log = (self.folder / "log").read_bytes()
        self.write(batch([entry(3)], snapshot=Snapshot(2, 1, [], b"state")))
        (self.folder / "log").write_bytes(old_log)
        self.assertEqual(self.load().entries, [entry(3)])

    def test_log_that_contradicts_a_received_snapshot_is_dropped(self):
        self.write(batch([entry(n) for n in (1, 2, 3)]))
        old_log = (self.folder / "log").read_bytes()
        self.write(batch([], snapshot=Snapshot(2, 5, [], b"state")))
        (self.folder / "log").write_bytes(old_log)
        self.assertEqual(self.load().entries, [])

    @settings(max_examples=100, deadline=None)
    @given(st.lists(st.tuples(st.integers(1, 12), st.integers(0, 4)), max_size=12))
    def test_any_sequence_of_batches_is_read_back(self, steps):
        """Differential run against a plain list."""
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


class FullDiskTests(StorageTestCase):
    """Guards against a log that a full disk leaves with half a record."""

    def setUp(self):
        super().setUp()
        self.room = 0

    def write_within_room(self, fd, data):
        """Write as a full disk does: what fits, then an error."""
        if not self.room:
            raise OSError(errno.ENOSPC, os.strerror(errno.ENOSPC))
        taken = bytes(data[: self.room])
        self.room -= len(taken)
        return _WRITE(fd, taken)

    def fill_disk(self, room):
        self.room = room
        return mock.patch.object(os, "write", self.write_within_room)

    def test_refused_batch_can_be_written_later(self):
        log = RaftLog(self.folder, "c1")
        log.open()
        log.write(batch([entry(1)]))
        for room in (0, 5):
            with self.fill_disk(room), self.assertRaises(DiskFullError):
                log.write(batch([entry(2)]))
        log.write(batch([entry(2)]))
        log.write(batch([entry(3)]))
        log.close()
        self.assertEqual(self.load().entries, [entry(1), entry(2), entry(3)])

    def test_refused_snapshot_leaves_the_log_and_can_be_written_later(self):
        snapshot = Snapshot(2, 1, [Member("c1-1", "c1", "a", True)], b"state")
        change = batch([entry(3)], snapshot=snapshot)
        log = RaftLog(self.folder, "c1")
        log.open()
        log.write(batch([entry(1), entry(2)]))
        # Room for the snapshot, but not for the log after it, in the second case.
        for room in (3, 120):
            with self.fill_disk(room), self.assertRaises(DiskFullError):
                log.write(change)
        log.write(change)
        log.close()
        loaded = self.load()
        self.assertEqual((loaded.snapshot, loaded.entries), (snapshot, [entry(3)]))

    def test_other_errors_still_end_the_log(self):
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


class DamageTests(StorageTestCase):
    def test_torn_last_record_is_cut_off_at_every_byte(self):
        self.write(batch([entry(1)], 1), batch([entry(2)], 2, "c2-1"))
        start = self.log_size()
        self.write(batch([entry(3), entry(4)], 3, "c3-1"))
        whole = (self.folder / "log").read_bytes()
        for end in range(start, len(whole)):
            (self.folder / "log").write_bytes(whole[:end])
            loaded = self.load()
            self.assertEqual(loaded.entries, [entry(1), entry(2)])
            self.assertEqual(loaded.hard_state.vote, "c2-1")
            self.assertEqual(self.log_size(), start)
        # The cut log goes on as if the torn record had never been begun.
        self.write(batch([entry(3, 9)], 9))
        self.assertEqual(self.load().entries[2:], [entry(3, 9)])

    def test_last_record_of_zeros_is_cut_off(self):
        # File systems may extend a file before its data reaches the disk.
        self.write(batch([entry(1)]))
        with (self.folder / "log").open("ab") as file:
            file.write(bytes(100))
        self.assertEqual(self.load().entries, [entry(1)])

    def test_every_flipped_bit_before_the_last_record_stops_the_start(self):
        self.write(batch([entry(1)]), batch([entry(2)], 2))
        last = self.log_size()
        self.write(batch([entry(3)], 3))
        whole = (self.folder / "log").read_bytes()
        for position in range(last * 8):
            damaged = bytearray(whole)
            damaged[position // 8] ^= 1 << position % 8
            (self.folder / "log").write_bytes(damaged)
            with self.assertRaises(StorageError, msg=f"bit {position}"):
                self.load()

    def test_damaged_snapshot_or_identity_stops_the_start(self):
        self.write(batch([], snapshot=Snapshot(2, 1, [], b"state")))
        for name in ("snapshot", "identity"):
            path = self.folder / name
            whole = path.read_bytes()
            for position in range(len(whole)):
                damaged = bytearray(whole)
                damaged[position] ^= 0x10
                path.write_bytes(damaged)
                with self.assertRaises(StorageError, msg=f"{name} {position}"):
                    self.load()
            path.write_bytes(whole)

    def test_missing_files_stop_the_start(self):
        # Starting without them would forget votes under the same identity.
        snapshot = Snapshot(2, 1, [], b"state")
        self.write(batch([entry(1)]), batch([entry(3)], snapshot=snapshot))
        for name in ("log", "snapshot", "identity"):
            path = self.folder / name
            whole = path.read_bytes()
            path.unlink()
            with self.assertRaises(StorageError, msg=name):
                self.load()
            path.write_bytes(whole)


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

    def test_crash_before_the_first_identity_is_harmless(self):
        self.identity()
        (self.folder / "identity").unlink()
        self.assertTrue(self.identity())
