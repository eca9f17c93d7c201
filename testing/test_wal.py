"""The write-ahead log on real folders: corruption and full disks."""

import errno
import os

import pytest

from _arbutuswalk.storage import errors
from _arbutuswalk.storage import folder
from _arbutuswalk.storage import records
from _arbutuswalk.storage import wal


@pytest.fixture
def data_folder(tmp_path):
    data = folder.Folder(path=str(tmp_path / "data"))
    assert data.open() is None
    yield data
    data.close()


def open_log(data, segment_bytes=wal.SEGMENT_BYTES):
    log = wal.Wal(folder=data, segment_bytes=segment_bytes)
    recovered = log.recover()
    assert isinstance(recovered, wal.Recovered), recovered
    return log


def entries(first, last, term=1):
    return [
        wal.LogEntry(i, term, f"command {i}".encode())
        for i in range(first, last + 1)
    ]


def recover_again(data):
    return wal.Wal(folder=data).recover()


def segment_names(data):
    return [name for name in data.file_names() if name.startswith("segment-")]


class TestWriting:
    def test_entries_and_vote_are_recovered(self, data_folder):
        open_log(data_folder).write(wal.Vote(3, "x"), entries(1, 5))
        recovered = recover_again(data_folder)
        assert recovered.vote == wal.Vote(3, "x")
        assert recovered.entries == entries(1, 5)

    def test_rewritten_suffix_replaces_the_old_one(self, data_folder):
        log = open_log(data_folder)
        log.write(None, entries(1, 5))
        log.write(None, entries(3, 4, term=2))
        recovered = recover_again(data_folder)
        assert recovered.entries == entries(1, 2) + entries(3, 4, term=2)

    def test_segments_rotate_and_keep_the_vote(self, data_folder):
        log = open_log(data_folder, segment_bytes=200)
        log.write(wal.Vote(9, "y"), [])
        for i in range(1, 40):
            log.write(None, entries(i, i))
        assert len(segment_names(data_folder)) > 3
        recovered = recover_again(data_folder)
        assert recovered.vote == wal.Vote(9, "y")
        assert recovered.entries == entries(1, 39)


class TestSnapshots:
    def test_old_segments_are_removed_after_a_snapshot(self, data_folder):
        log = open_log(data_folder, segment_bytes=200)
        for i in range(1, 41):
            log.write(None, entries(i, i))
            if i % 10 == 0:
                log.save_snapshot(wal.Snapshot(i, 1, b"state %d" % i))
        recovered = recover_again(data_folder)
        assert recovered.snapshot == wal.Snapshot(40, 1, b"state 40")
        assert recovered.entries == []
        assert len(segment_names(data_folder)) < 20

    def test_unreadable_newest_snapshot_makes_the_replay_longer(
        self, data_folder
    ):
        log = open_log(data_folder)
        log.write(None, entries(1, 10))
        log.save_snapshot(wal.Snapshot(10, 1, b"ten"))
        log.write(None, entries(11, 20))
        log.save_snapshot(wal.Snapshot(20, 1, b"twenty"))
        newest = [
            n for n in data_folder.file_names() if n.startswith("snapshot-")
        ][-1]
        flip_bit(data_folder, newest, 30)
        recovered = recover_again(data_folder)
        assert recovered.snapshot.state == b"ten"
        assert recovered.entries == entries(11, 20)

    def test_unreadable_only_snapshot_is_corrupt(self, data_folder):
        log = open_log(data_folder)
        log.write(None, entries(1, 10))
        log.save_snapshot(wal.Snapshot(10, 1, b"ten"))
        newest = [
            n for n in data_folder.file_names() if n.startswith("snapshot-")
        ][-1]
        flip_bit(data_folder, newest, 30)
        assert isinstance(recover_again(data_folder), errors.Corrupt)

    def test_installed_snapshot_replaces_missing_entries(self, data_folder):
        log = open_log(data_folder)
        log.write(None, entries(1, 3))
        log.save_snapshot(wal.Snapshot(50, 2, b"fifty"))
        log.write(None, entries(51, 52, term=2))
        recovered = recover_again(data_folder)
        assert recovered.entries == entries(51, 52, term=2)


def flip_bit(data, name, offset):
    path = data.path / name
    content = bytearray(path.read_bytes())
    content[offset] ^= 0x40
    path.write_bytes(bytes(content))


class TestCorruption:
    @pytest.mark.parametrize("cut", range(1, 40, 3))
    def test_torn_tail_is_truncated(self, data_folder, cut):
        open_log(data_folder).write(None, entries(1, 3))
        name = segment_names(data_folder)[-1]
        size = (data_folder.path / name).stat().st_size
        os.truncate(data_folder.path / name, size - cut)
        recovered = recover_again(data_folder)
        kept = len(recovered.entries)
        assert recovered.entries == entries(1, kept)
        assert kept == (2 if cut <= 37 else 1)
        assert open_log(data_folder).write(None, entries(kept + 1, 9)) is None
        assert recover_again(data_folder).entries == entries(1, 9)

    def test_zeros_after_a_crash_are_a_torn_tail(self, data_folder):
        open_log(data_folder).write(None, entries(1, 3))
        name = segment_names(data_folder)[-1]
        with open(data_folder.path / name, "ab") as file:
            file.write(bytes(512))
        assert recover_again(data_folder).entries == entries(1, 3)

    @pytest.mark.parametrize("offset", [0, 5, 9, 30, 60, 80])
    def test_flipped_bit_is_corrupt(self, data_folder, offset):
        open_log(data_folder).write(None, entries(1, 4))
        flip_bit(data_folder, segment_names(data_folder)[-1], offset)
        failure = recover_again(data_folder)
        assert isinstance(failure, errors.Corrupt)
        assert "segment-" in errors.describe(failure)

    def test_flipped_bit_in_the_last_record_is_not_a_torn_tail(
        self, data_folder
    ):
        open_log(data_folder).write(None, entries(1, 4))
        name = segment_names(data_folder)[-1]
        size = (data_folder.path / name).stat().st_size
        flip_bit(data_folder, name, size - 2)
        assert isinstance(recover_again(data_folder), errors.Corrupt)

    def test_missing_segment_is_corrupt(self, data_folder):
        log = open_log(data_folder, segment_bytes=200)
        for i in range(1, 30):
            log.write(None, entries(i, i))
        data_folder.remove(segment_names(data_folder)[2])
        assert isinstance(recover_again(data_folder), errors.Corrupt)

    def test_temporary_file_is_removed_when_the_folder_is_opened(
        self, tmp_path
    ):
        data = folder.Folder(path=str(tmp_path))
        data.open()
        data.append("snapshot-7.snap.aside", b"half")
        data.close()
        reopened = folder.Folder(path=str(tmp_path))
        assert reopened.open() is None
        assert not any("aside" in name for name in reopened.file_names())
        reopened.close()


class TestFolder:
    def test_second_process_is_locked_out(self, data_folder):
        other = folder.Folder(path=str(data_folder.path))
        failure = other.open()
        assert isinstance(failure, errors.Locked)
        assert "another process" in errors.describe(failure)

    def test_file_in_place_of_the_folder(self, tmp_path):
        path = tmp_path / "file"
        path.write_text("x")
        failure = folder.Folder(path=str(path)).open()
        assert isinstance(failure, errors.Unwritable)

    def test_full_disk_leaves_the_file_unchanged(
        self, data_folder, monkeypatch
    ):
        log = open_log(data_folder)
        log.write(None, entries(1, 2))
        original_write = os.write

        def write_part_then_fail(handle, data):
            if len(data) > 10:
                return original_write(handle, data[:10])
            raise OSError(errno.ENOSPC, "no space")

        monkeypatch.setattr(os, "write", write_part_then_fail)
        failure = log.write(None, entries(3, 3))
        monkeypatch.undo()
        assert isinstance(failure, errors.DiskFull)
        assert "disk full" in errors.describe(failure)
        assert recover_again(data_folder).entries == entries(1, 2)

    def test_read_only_folder(self, data_folder, monkeypatch):
        def fail(*_args, **_kwargs):
            raise OSError(errno.EROFS, "read-only file system")

        monkeypatch.setattr(os, "write", fail)
        failure = try_recover(data_folder)
        assert isinstance(failure, errors.Unwritable)


def try_recover(data):
    return wal.Wal(folder=data).recover()


class TestRecords:
    def test_scan_of_empty_data(self):
        assert records.scan(b"") == records.Scan([], 0, False, "")

    def test_invalid_bytes_are_corrupt(self):
        assert records.scan(b"\x01" * 40).corruption


class TestCommitIndex:
    def test_commit_index_survives_a_restart(self, data_folder):
        open_log(data_folder).write(wal.Vote(3, "x"), entries(1, 5), 4)
        assert recover_again(data_folder).commit == 4

    def test_commit_index_survives_a_change_of_segment(self, data_folder):
        log = open_log(data_folder, segment_bytes=200)
        for index in range(1, 20):
            log.write(None, entries(index, index), index)
        assert recover_again(data_folder).commit == 19

    @pytest.mark.parametrize("cut", [1, 20, 40, 60, 90])
    def test_commit_index_never_exceeds_the_last_entry(self, data_folder, cut):
        log = open_log(data_folder)
        log.write(None, entries(1, 5), 5)
        path = data_folder.path / log.segment_name
        path.write_bytes(path.read_bytes()[:-cut])
        recovered = recover_again(data_folder)
        last = recovered.entries[-1].index if recovered.entries else 0
        assert recovered.commit <= last
