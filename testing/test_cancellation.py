"""Background tasks that are cancelled at the moment in which they wake."""

import asyncio
import random

import fakes
import pytest

from _arbutuswalk.control import durable_replica
from _arbutuswalk.control import member as members
from _arbutuswalk.wire import link

LOOP_STEPS = range(6)
"""Steps of the event loop between the event and the cancellation."""
END_TIMEOUT_S = 1.0


async def is_cancelled_after(task, steps):
    for _ in range(steps):
        await asyncio.sleep(0)
    task.cancel()
    await asyncio.wait((task,), timeout=END_TIMEOUT_S)
    return task.cancelled()


class TestCancelledAsItWakes:
    @pytest.mark.parametrize("steps", LOOP_STEPS)
    async def test_member_ends(self, steps):
        replica = durable_replica.DurableReplica(
            data=fakes.FakeFolder(),
            identity=durable_replica.Identity("127.0.0.1:1", (), 3),
            timing=fakes.TIMING,
            rng=random.Random(1),
        )
        member = members.Member(durable_replica=replica)
        assert replica.recover(member.now()) is None
        task = asyncio.ensure_future(member.run())
        await asyncio.sleep(3 * members.TICK_INTERVAL_S)
        member.wake.set()
        assert await is_cancelled_after(task, steps)

    @pytest.mark.parametrize("steps", LOOP_STEPS)
    async def test_task_that_calls_another_process_ends(self, steps):
        class Writer:
            def write(self, data):
                pass

        caller = link.Link(address="127.0.0.1:1")
        caller.writer = Writer()

        async def call_for_ever():
            while True:
                await caller.call(link.ttypes.Ping(), timeout_s=5.0)

        task = asyncio.ensure_future(call_for_ever())
        await asyncio.sleep(0.05)
        next(iter(caller.pending_calls.values())).set_result("reply")
        assert await is_cancelled_after(task, steps)
