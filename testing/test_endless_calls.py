"""Answers without end to the calls of control processes."""

import asyncio
import time

import endless_endpoint
import pytest
import test_endless
from arbutuswalk_platform import platform_client

from _arbutuswalk.control import duties
from _arbutuswalk.control import platform_client as reclaim_client
from _arbutuswalk.wire import link

ANSWER_LATENESS_S = 0.25
MAX_MEMORY_BYTES = 32 * 1024 * 1024
"""Growth during a call, four times the largest answer that is read."""
CALL_TIMEOUT_S = 0.5
"""Of both clients in these tests, so that trickled answers end sooner."""
SAMPLE_INTERVAL_S = 0.01


class Observer:
    """Longest delay of the event loop and growth of the memory."""

    def __init__(self):
        self.longest_delay_s = 0.0
        self.memory_growth = 0
        self.first_memory = endless_endpoint.resident_bytes()

    async def run(self):
        while True:
            before = time.monotonic()
            await asyncio.sleep(SAMPLE_INTERVAL_S)
            delay_s = time.monotonic() - before - SAMPLE_INTERVAL_S
            self.longest_delay_s = max(self.longest_delay_s, delay_s)
            grown = endless_endpoint.resident_bytes() - self.first_memory
            self.memory_growth = max(self.memory_growth, grown)


async def observe_call(call):
    """Returns the call's outcome; checks time, memory and the event loop."""
    observer = Observer()
    observer_task = asyncio.ensure_future(observer.run())
    started_at = time.monotonic()
    try:
        outcome = await call()
    finally:
        observer_task.cancel()
    took_s = time.monotonic() - started_at
    assert took_s < CALL_TIMEOUT_S + ANSWER_LATENESS_S
    assert observer.memory_growth < MAX_MEMORY_BYTES
    assert observer.longest_delay_s < link.HEARTBEAT_INTERVAL_S
    return outcome


@pytest.fixture(autouse=True)
def short_timeouts(monkeypatch):
    for client in (platform_client, reclaim_client):
        monkeypatch.setattr(client, "CALL_TIMEOUT_S", CALL_TIMEOUT_S)


FAILURES = {
    name: answer
    for name, answer in test_endless.ALL.items()
    if name != "answers to others"
}
"""Answers of which no part is an answer to a call without an id."""


class TestDutyCalls:
    @test_endless.both_speeds
    @test_endless.each(FAILURES)
    async def test_a_call_fails_in_time(self, answer, trickle):
        endpoint = endless_endpoint.EndlessEndpoint(*answer, trickle=trickle)
        endpoint.listen()
        client = platform_client.PlatformClient(
            address=endpoint.address, owner="c1"
        )
        report = duties.UsageReport(window=1, counts={"w": 1}, fence=1)
        outcome = await observe_call(
            lambda: client.report_usage(report, lambda: True)
        )
        assert outcome not in (duties.ACCEPTED, duties.NO_CAPACITY)
        assert 0 < len(outcome) < test_endless.MAX_REASON_CHARACTERS
        await test_endless.wait_until_closed(endpoint)
        endpoint.stop()

    @test_endless.both_speeds
    async def test_further_answers_are_not_taken_for_the_next(self, trickle):
        endpoint = endless_endpoint.EndlessEndpoint(
            test_endless.ANSWER, test_endless.ANSWER, trickle=trickle
        )
        endpoint.listen()
        client = platform_client.PlatformClient(
            address=endpoint.address, owner="c1"
        )
        for _ in range(2):
            order = duties.UsageReport(window=1, counts={"w": 1}, fence=1)
            assert (
                await client.report_usage(order, lambda: True)
                == duties.ACCEPTED
            )
            await test_endless.wait_until_closed(endpoint)
        assert endpoint.connection_count == 2
        endpoint.stop()


async def call_and_close(client):
    try:
        return await client.notices(0)
    finally:
        await client.close()


class TestReclaimNotices:
    @test_endless.both_speeds
    @test_endless.each(test_endless.ALL)
    async def test_a_call_fails_in_time(self, answer, trickle):
        endpoint = endless_endpoint.EndlessEndpoint(*answer, trickle=trickle)
        endpoint.listen()
        client = reclaim_client.PlatformClient(address=endpoint.address)
        outcome = await observe_call(lambda: call_and_close(client))
        assert isinstance(outcome, reclaim_client.NoAnswer)
        assert 0 < len(outcome.reason) < test_endless.MAX_REASON_CHARACTERS
        await test_endless.wait_until_closed(endpoint)
        endpoint.stop()
