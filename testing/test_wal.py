"""The write-ahead log on real folders: torn, flipped, missing, full."""

import errno
import os

import pytest

from _arbutuswalk.storage import errors
from _arbutuswalk.storage import folder
from _arbutuswalk.storage import records
from _arbutuswalk.storage import wal


@pytest.fixture
def opened(tmp_path):
    data = folder.Folder(path=str(tmp_path / "data"))
    assert data.open() is None
    yield data
    data.close()


def make(data, segment_bytes=wal.SEGMENT_BYTES):
    log = wal.Wal(folder=data, segment_bytes=segment_bytes)
    found = log.recover()
    assert isinstance(found, wal.Recovered), found
    return log


def entries(first, last, term=1):
    return [
        wal.LogEntry(i, term, f"command {i}".encode())
        for i in range(first, last + 1)
    ]


def reopen(data):
    return wal.Wal(folder=data).recover()


def segments(data):
    return [name for name in data.names() if name.startswith("segment-")]


class TestWriting:
    def test_entries_and_vote_come_back(self, opened):
        make(opened).write(wal.Vote(3, "x"), entries(1, 5))
        found = reopen(opened)
        assert found.vote == wal.Vote(3, "x")
        assert found.entries == entries(1, 5)

    def test_rewritten_suffix_replaces_the_old_one(self, opened):
        log = make(opened)
        log.write(None, entries(1, 5))
        log.write(None, entries(3, 4, term=2))
        found = reopen(opened)
        assert found.entries == entries(1, 2) + entries(3, 4, term=2)

    def test_segments_rotate_and_keep_the_vote(self, opened):
        log = make(opened, segment_bytes=200)
        log.write(wal.Vote(9, "y"), [])
        for i in range(1, 40):
            log.write(None, entries(i, i))
        assert len(segments(opened)) > 3
        found = reopen(opened)
        assert found.vote == wal.Vote(9, "y")
        assert found.entries == entries(1, 39)


class TestSnapshots:
    def test_old_segments_go_after_the_snapshot_is_durable(self, opened):
        log = make(opened, segment_bytes=200)
        for i in range(1, 41):
            log.write(None, entries(i, i))
            if i % 10 == 0:
                log.save_snapshot(wal.Snapshot(i, 1, b"state %d" % i))
        found = reopen(opened)
        assert found.snapshot == wal.Snapshot(40, 1, b"state 40")
        assert found.entries == []
        assert len(segments(opened)) < 20

    def test_unreadable_newest_snapshot_costs_a_longer_replay(self, opened):
        log = make(opened)
        log.write(None, entries(1, 10))
        log.save_snapshot(wal.Snapshot(10, 1, b"ten"))
        log.write(None, entries(11, 20))
        log.save_snapshot(wal.Snapshot(20, 1, b"twenty"))
        newest = [n for n in opened.names() if n.startswith("snapshot-")][-1]
        flip(opened, newest, 30)
        found = reopen(opened)
        assert found.snapshot.state == b"ten"
        assert found.entries == entries(11, 20)

    def test_only_snapshot_unreadable_is_corrupt(self, opened):
        log = make(opened)
        log.write(None, entries(1, 10))
        log.save_snapshot(wal.Snapshot(10, 1, b"ten"))
        newest = [n for n in opened.names() if n.startswith("snapshot-")][-1]
        flip(opened, newest, 30)
        assert isinstance(reopen(opened), errors.Corrupt)

    def test_installed_snapshot_jumps_over_missing_entries(self, opened):
        log = make(opened)
        log.write(None, entries(1, 3))
        log.save_snapshot(wal.Snapshot(50, 2, b"fifty"))
        log.write(None, entries(51, 52, term=2))
        found = reopen(opened)
        assert found.entries == entries(51, 52, term=2)


def flip(data, name, offset):
    path = data.path / name
    content = bytearray(path.read_bytes())
    content[offset] ^= 0x40
    path.write_bytes(bytes(content))


class TestDamage:
    @pytest.mark.parametrize("cut", range(1, 40, 3))
    def test_torn_tail_is_cut(self, opened, cut):
        make(opened).write(None, entries(1, 3))
        name = segments(opened)[-1]
        size = (opened.path / name).stat().st_size
        os.truncate(opened.path / name, size - cut)
        found = reopen(opened)
        kept = len(found.entries)
        assert found.entries == entries(1, kept)
        assert kept == (2 if cut <= 37 else 1)
        assert make(opened).write(None, entries(kept + 1, 9)) is None
        assert reopen(opened).entries == entries(1, 9)

    def test_zeros_after_a_crash_are_a_torn_tail(self, opened):
        make(opened).write(None, entries(1, 3))
        name = segments(opened)[-1]
        with open(opened.path / name, "ab") as file:
            file.write(bytes(512))
        assert reopen(opened).entries == entries(1, 3)

    @pytest.mark.parametrize("offset", [0, 5, 9, 30, 60, 80])
    def test_flipped_bit_stops_the_process(self, opened, offset):
        make(opened).write(None, entries(1, 4))
        flip(opened, segments(opened)[-1], offset)
        failure = reopen(opened)
        assert isinstance(failure, errors.Corrupt)
        assert "segment-" in errors.describe(failure)

    def test_flip_in_the_very_last_record_is_no_torn_tail(self, opened):
        make(opened).write(None, entries(1, 4))
        name = segments(opened)[-1]
        size = (opened.path / name).stat().st_size
        flip(opened, name, size - 2)
        assert isinstance(reopen(opened), errors.Corrupt)

    def test_missing_segment_is_corrupt(self, opened):
        log = make(opened, segment_bytes=200)
        for i in range(1, 30):
            log.write(None, entries(i, i))
        opened.remove(segments(opened)[2])
        assert isinstance(reopen(opened), errors.Corrupt)

    def test_half_written_snapshot_is_swept_away(self, tmp_path):
        data = folder.Folder(path=str(tmp_path))
        data.open()
        data.append("snapshot-7.snap.aside", b"half")
        data.close()
        again = folder.Folder(path=str(tmp_path))
        assert again.open() is None
        assert not any("aside" in name for name in again.names())
        again.close()


class TestFolder:
    def test_second_process_is_locked_out(self, opened):
        other = folder.Folder(path=str(opened.path))
        failure = other.open()
        assert isinstance(failure, errors.Locked)
        assert "another process" in errors.describe(failure)

    def test_file_in_place_of_the_folder(self, tmp_path):
        path = tmp_path / "file"
        path.write_text("x")
        failure = folder.Folder(path=str(path)).open()
        assert isinstance(failure, errors.Unwritable)

    def test_full_disk_leaves_the_file_as_it_was(self, opened, monkeypatch):
        log = make(opened)
        log.write(None, entries(1, 2))
        real = os.write

        def half_then_full(handle, data):
            if len(data) > 10:
                return real(handle, data[:10])
            raise OSError(errno.ENOSPC, "no space")

        monkeypatch.setattr(os, "write", half_then_full)
        failure = log.write(None, entries(3, 3))
        monkeypatch.undo()
        assert isinstance(failure, errors.DiskFull)
        assert "disk full" in errors.describe(failure)
        assert reopen(opened).entries == entries(1, 2)

    def test_read_only_folder(self, opened, monkeypatch):
        def refuse(*_args, **_kwargs):
            raise OSError(errno.EROFS, "read-only file system")

        monkeypatch.setattr(os, "write", refuse)
        failure = make_quiet(opened)
        assert isinstance(failure, errors.Unwritable)


def make_quiet(data):
    return wal.Wal(folder=data).recover()


class TestRecords:
    def test_scan_of_nothing(self):
        assert records.scan(b"") == records.Scan([], 0, False, "")

    def test_garbage_is_corrupt(self):
        assert records.scan(b"\x01" * 40).fault


class TestCommit:
    def test_a_restart_knows_what_was_committed(self, opened):
        make(opened).write(wal.Vote(3, "x"), entries(1, 5), 4)
        assert reopen(opened).commit == 4

    def test_segments_that_go_take_no_commit_with_them(self, opened):
        log = make(opened, segment_bytes=200)
        for index in range(1, 20):
            log.write(None, entries(index, index), index)
        assert reopen(opened).commit == 19

    @pytest.mark.parametrize("cut", [1, 20, 40, 60, 90])
    def test_it_never_lies_beyond_the_entries(self, opened, cut):
        log = make(opened)
        log.write(None, entries(1, 5), 5)
        path = opened.path / log.segment
        path.write_bytes(path.read_bytes()[:-cut])
        found = reopen(opened)
        last = found.entries[-1].index if found.entries else 0
        assert found.commit <= last
