"""Errors in background tasks."""

import asyncio

from _arbutuswalk.base import background


async def fail():
    raise ValueError("unexpected")


class TestStart:
    async def test_an_error_is_logged_when_it_occurs(self, caplog):
        task = background.start("name", fail())
        await asyncio.wait((task,))
        await asyncio.sleep(0)
        assert "name" in caplog.text
        assert "unexpected" in caplog.text

    async def test_a_cancelled_task_is_not_logged(self, caplog):
        task = background.start("name", asyncio.sleep(60))
        task.cancel()
        await asyncio.wait((task,))
        await asyncio.sleep(0)
        assert not caplog.text


class TestRepeat:
    async def test_an_error_does_not_end_the_repetition(self, caplog):
        counts = {"function": 0, "coroutine": 0}

        async def step():
            counts["function"] += 1
            raise ValueError("unexpected")

        async def wait_then_fail():
            counts["coroutine"] += 1
            await asyncio.sleep(0)
            raise ValueError("unexpected")

        tasks = [
            asyncio.ensure_future(background.repeat("one", 0.001, step)),
            asyncio.ensure_future(
                background.repeat("two", 0.001, wait_then_fail)
            ),
        ]
        async with asyncio.timeout(5):
            while min(counts.values()) < 3:
                await asyncio.sleep(0.001)
        for task in tasks:
            task.cancel()
        assert {"one", "two"} <= set(caplog.text.replace("=", " ").split())
