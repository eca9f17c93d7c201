"""A disk that is full during a write, a snapshot or the start of a segment."""

import asyncio
import random

import disk_cluster
import fakes
import pytest

from _arbutuswalk.control import durable_replica
from _arbutuswalk.control import member as members
from _arbutuswalk.state import commands
from _arbutuswalk.storage import errors
from _arbutuswalk.storage import folder as folders
from _arbutuswalk.storage import wal

SEGMENT_BYTES = 200
SNAPSHOT = wal.Snapshot(4, 1, b"state")
VOTE = wal.Vote(3, "x")
SEEDS = pytest.mark.parametrize("seed", range(5))
ADDRESS = "127.0.0.1:1"
TIMEOUT_S = 10.0


class FillingFolder(fakes.FakeFolder):
    """A folder in which files can be extended, but none can be created."""

    def __init__(self):
        super().__init__()
        self.refuses_new_files = False

    def _refuses(self, name):
        return self.refuses_new_files and not self.files.get(name)

    def append(self, name, data):
        if self._refuses(name):
            self.files[name] = b""
            return errors.DiskFull(path=name)
        return super().append(name, data)

    def replace(self, name, data):
        if self._refuses(name):
            return errors.DiskFull(path=name)
        return super().replace(name, data)


class ReturningFolder(FillingFolder):
    """A folder whose removed files are back after a loss of power."""

    def __init__(self):
        super().__init__()
        self.refuses_folder_syncs = False
        self.removed = {}

    def sync_folder(self):
        if self.refuses_folder_syncs:
            return errors.DiskFull(path="")
        return super().sync_folder()

    def remove(self, name):
        if name in self.durable:
            self.removed[name] = self.durable[name]
        super().remove(name)

    def crash(self, rng):
        super().crash(rng)
        self.files |= self.removed
        self.durable |= self.removed


def entries(first, last):
    return [wal.LogEntry(i, 1, b"command") for i in range(first, last + 1)]


def open_log(folder):
    log = wal.Wal(folder=folder, segment_bytes=SEGMENT_BYTES)
    recovered = log.recover()
    assert isinstance(recovered, wal.Recovered), recovered
    return log, recovered


@pytest.fixture
def folder():
    return FillingFolder()


class TestNewSegment:
    def test_entries_that_were_written_are_confirmed(self, folder):
        log, _ = open_log(folder)
        folder.refuses_new_files = True
        assert log.write(VOTE, entries(1, 20)) is None
        assert log.write(None, entries(21, 22)) is None

    @SEEDS
    def test_later_entries_survive_a_loss_of_power(self, folder, seed):
        log, _ = open_log(folder)
        folder.refuses_new_files = True
        log.write(VOTE, entries(1, 20))
        folder.refuses_new_files = False
        assert log.write(None, entries(21, 22)) is None
        folder.crash(random.Random(seed))
        _, recovered = open_log(folder)
        assert recovered.entries == entries(1, 22)
        assert recovered.vote == VOTE

    @SEEDS
    def test_entries_after_a_snapshot_survive_a_loss_of_power(
        self, folder, seed
    ):
        log, _ = open_log(folder)
        log.write(VOTE, entries(1, 4))
        replace = folder.replace
        folder.replace = lambda *file: fakes.FakeFolder.replace(folder, *file)
        folder.refuses_new_files = True
        assert isinstance(log.save_snapshot(SNAPSHOT), errors.DiskFull)
        folder.replace = replace
        folder.refuses_new_files = False
        assert log.write(None, entries(5, 6)) is None
        folder.crash(random.Random(seed))
        _, recovered = open_log(folder)
        assert recovered.snapshot == SNAPSHOT
        assert recovered.entries == entries(5, 6)
        assert recovered.vote == VOTE


class TestSegmentThatReturns:
    def test_its_older_vote_does_not_replace_the_newest(self):
        folder = ReturningFolder()
        log, _ = open_log(folder)
        folder.refuses_folder_syncs = True
        assert log.write(VOTE, entries(1, 20)) is None
        folder.refuses_new_files = True
        assert log.write(wal.Vote(4, ""), []) is None
        assert log.write(wal.Vote(4, "z"), entries(21, 22)) is None
        folder.crash(random.Random(1))
        waiting = wal.Wal(folder=folder).recover()
        assert isinstance(waiting, errors.DiskFull)
        folder.refuses_folder_syncs = False
        _, recovered = open_log(folder)
        assert recovered.vote == wal.Vote(4, "z")
        assert recovered.entries == entries(1, 22)


@SEEDS
class TestRefusedTruncation:
    """A write stored a part of its bytes, and the disk refuses to cut them."""

    @pytest.fixture
    def disk(self, tmp_path, monkeypatch, seed):
        disk = disk_cluster.Disk(random.Random(seed))
        disk_os = disk_cluster.DiskOs()
        disk_os.disks["data"] = disk
        monkeypatch.setattr(folders, "os", disk_os)
        return disk

    @pytest.fixture
    def real_folder(self, tmp_path, disk):
        folder = folders.Folder(path=str(tmp_path / "data"))
        assert folder.open() is None
        yield folder
        folder.close()

    @pytest.fixture
    def log(self, real_folder, disk):
        log, _ = open_log(real_folder)
        assert log.write(VOTE, entries(1, 4)) is None
        disk.fill(disk_cluster.OPERATIONS, partial=True, after=0)
        for _ in range(6):
            assert isinstance(log.write(None, entries(5, 6)), errors.DiskFull)
        disk.make_room()
        return log

    def test_next_write_replaces_the_part(self, log, real_folder):
        assert log.write(None, entries(5, 6)) is None
        _, recovered = open_log(real_folder)
        assert recovered.entries == entries(1, 6)

    def test_next_segment_does_not_follow_the_part(self, log, real_folder):
        assert log.save_snapshot(SNAPSHOT) is None
        assert log.write(None, entries(5, 6)) is None
        _, recovered = open_log(real_folder)
        assert recovered.entries == entries(5, 6)


class TestSnapshotOfAMember:
    async def test_member_goes_on_and_saves_a_later_one(self, folder):
        replica = durable_replica.DurableReplica(
            data=folder,
            identity=durable_replica.Identity(ADDRESS, (ADDRESS,), 1),
            timing=fakes.TIMING,
            rng=random.Random(1),
            snapshot_interval_entries=2,
        )
        member = members.Member(durable_replica=replica)
        assert replica.recover(member.now()) is None
        folder.refuses_new_files = True
        task = asyncio.ensure_future(member.run())
        async with asyncio.timeout(TIMEOUT_S):
            while not member.is_leader:
                await asyncio.sleep(members.TICK_INTERVAL_S)
            for _ in range(6):
                await self.submit(member)
            assert not self.snapshots(folder)
            folder.refuses_new_files = False
            for _ in range(3):
                await self.submit(member)
        assert self.snapshots(folder)
        assert not task.done()
        task.cancel()

    async def submit(self, member):
        command = commands.encode(commands.Tick())
        outcome = await member.submit(command, timeout_s=TIMEOUT_S)
        assert not isinstance(outcome, members.NotLeader | members.Undecided)

    def snapshots(self, folder):
        return [name for name in folder.files if name.startswith("snapshot")]
