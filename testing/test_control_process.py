"""The start and the end of a control process."""

import asyncio
import errno
import os
import random
import signal
import time

import disk_cluster
import process_fixtures
import pytest

from _arbutuswalk.agreement import membership
from _arbutuswalk.agreement import types
from _arbutuswalk.base import process as base_process
from _arbutuswalk.control import durable_replica
from _arbutuswalk.control import endpoint_cache
from _arbutuswalk.control import member as members
from _arbutuswalk.control import process
from _arbutuswalk.storage import folder

LEAVE_S = 4.0
START_TIMEOUT_S = 10.0


def make_process(path):
    """Returns the settings and the replica of a group of one."""
    address = f"127.0.0.1:{process_fixtures.free_ports(1)[0]}"
    values = {
        "id": "c1",
        "address": address,
        "data": str(path),
        "leave_s": LEAVE_S,
        "platform": "",
        "interval_s": 10.0,
    }
    replica = durable_replica.DurableReplica(
        data=folder.Folder(path=str(path)),
        identity=durable_replica.Identity(address, (address,), 1),
        timing=types.Timing(),
        rng=random.Random(1),
    )
    return values, replica


def has_committed(replica):
    """Returns whether a member leads and its term is durable."""
    state = replica.replica
    return replica.is_leader and state.commit >= state.term_start_index


class TestMemberLoopThatFails:
    async def run_process(self, tmp_path, monkeypatch):
        async def fail(_):
            await asyncio.sleep(0.05)
            raise RuntimeError("unexpected")

        monkeypatch.setattr(members.Member, "run", fail)
        monkeypatch.setattr(membership, "may_leave", lambda *_: False)
        return await process.run(*make_process(tmp_path))

    async def test_process_does_not_wait_for_its_replacement(
        self, tmp_path, monkeypatch
    ):
        started_at = time.monotonic()
        await self.run_process(tmp_path, monkeypatch)
        assert time.monotonic() - started_at < LEAVE_S / 2

    async def test_process_ends_with_a_logged_error(
        self, tmp_path, monkeypatch, caplog
    ):
        exit_code = await self.run_process(tmp_path, monkeypatch)
        assert exit_code == base_process.EXIT_FAILED
        (line,) = [line for line in caplog.messages if "E104" in line]
        assert "member" in line
        assert "unexpected" in line


class TestStartOnAFullDisk:
    @pytest.fixture
    def disk(self, tmp_path, monkeypatch):
        disk = disk_cluster.Disk(random.Random(1))
        disk_os = disk_cluster.DiskOs()
        disk_os.disks[tmp_path.name] = disk
        monkeypatch.setattr(folder, "os", disk_os)
        return disk

    async def run_until_it_leads(self, path, disk):
        values, replica = make_process(path)
        task = asyncio.ensure_future(process.run(values, replica))
        await asyncio.sleep(1.5 * members.DISK_FULL_RETRY_INTERVAL_S)
        assert not task.done()
        disk.make_room()
        async with asyncio.timeout(START_TIMEOUT_S):
            while replica.replica is None or not has_committed(replica):
                await asyncio.sleep(0.02)
            os.kill(os.getpid(), signal.SIGTERM)
            assert await task == base_process.EXIT_OK
        return replica

    @pytest.mark.parametrize("after", range(4))
    async def test_new_process_waits_for_room(self, tmp_path, disk, after):
        operations = disk_cluster.OPERATIONS
        disk.fill(operations, partial=True, after=after)
        await self.run_until_it_leads(tmp_path, disk)

    async def test_process_with_a_torn_log_waits_for_room(self, tmp_path, disk):
        first = await self.run_until_it_leads(tmp_path, disk)
        with (tmp_path / first.wal.segment_name).open("ab") as segment:
            segment.write(b"torn")
        disk.fill(disk_cluster.OPERATIONS, partial=False, after=0)
        second = await self.run_until_it_leads(tmp_path, disk)
        assert second.replica.member == first.replica.member
        assert second.replica.term > first.replica.term


class TestEndpointCache:
    async def test_it_is_saved_again_after_a_refused_write(
        self, tmp_path, monkeypatch
    ):
        saved = asyncio.Event()
        failures = [OSError(errno.ENOSPC, "full")]

        def save(*_):
            if failures:
                return failures.pop()
            loop.call_soon_threadsafe(saved.set)
            return None

        loop = asyncio.get_running_loop()
        monkeypatch.setattr(endpoint_cache, "save", save)
        monkeypatch.setattr(process, "SAVE_INTERVAL_S", 0.01)
        values, replica = make_process(tmp_path)
        values["endpoint_heartbeat_s"] = 0.01
        task = asyncio.ensure_future(process.run(values, replica))
        async with asyncio.timeout(START_TIMEOUT_S):
            await saved.wait()
            os.kill(os.getpid(), signal.SIGTERM)
            await task
