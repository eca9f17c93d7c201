"""The end of a control process."""

import asyncio
import random
import time

import process_fixtures

from _arbutuswalk.agreement import membership
from _arbutuswalk.agreement import types
from _arbutuswalk.base import process as base_process
from _arbutuswalk.control import durable_replica
from _arbutuswalk.control import member as members
from _arbutuswalk.control import process
from _arbutuswalk.storage import folder

LEAVE_S = 4.0


class TestMemberLoopThatFails:
    async def run_process(self, tmp_path, monkeypatch):
        async def fail(_):
            await asyncio.sleep(0.05)
            raise RuntimeError("unexpected")

        monkeypatch.setattr(members.Member, "run", fail)
        monkeypatch.setattr(membership, "may_leave", lambda *_: False)
        address = f"127.0.0.1:{process_fixtures.free_ports(1)[0]}"
        values = {
            "id": "c1",
            "address": address,
            "data": str(tmp_path),
            "leave_s": LEAVE_S,
            "platform": "",
            "interval_s": 10.0,
        }
        replica = durable_replica.DurableReplica(
            data=folder.Folder(path=str(tmp_path)),
            identity=durable_replica.Identity(address, (address,), 1),
            timing=types.Timing(),
            rng=random.Random(1),
        )
        return await process.run(values, replica)

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
