"""Brittle runners, with real processes on loopback."""

import asyncio

import pytest
import relay_fixtures
import test_leaving_processes

SLOTS = 4
SERVICE_TIME_S = 0.1
REQUESTS_AT_ONCE = 40
LEARNING_TIME_S = 1.5

cluster = test_leaving_processes.cluster


class Runner(relay_fixtures.ScriptedEndpoint):
    """A runner that states that it is brittle and counts what it runs.

    Attributes:
        running: Requests in progress.
        most_running: The most requests in progress at a time.
    """

    def __init__(self, name):
        super().__init__(name=name, slots=SLOTS)
        self.running = self.most_running = 0
        self.steps = self

    def pop(self, index):
        return self.answer

    async def answer(self, head, writer):
        pattern = test_leaving_processes.ID_PATTERN
        self.running += 1
        self.most_running = max(self.most_running, self.running)
        await asyncio.sleep(SERVICE_TIME_S)
        self.running -= 1
        await relay_fixtures.send_answer(
            echo=pattern.search(head).group(1), extra="Server-Brittle: 1\r\n"
        )(head, writer)


@pytest.fixture
async def runner(cluster):
    await cluster.start_all("/a/")
    started = Runner("i-2")
    await cluster.start_heartbeats(started, slots=SLOTS)
    cluster.heartbeat["state"] = "draining"

    async def is_used():
        for ip in cluster.entry_ips:
            if not await test_leaving_processes.reaches(cluster, ip, started):
                return False
        return True

    await test_leaving_processes.relay_until(is_used)
    yield started
    started.stop()


class TestBrittleRunner:
    async def test_all_entries_together_use_no_more_than_its_slots(
        self, cluster, runner
    ):
        await asyncio.sleep(LEARNING_TIME_S)
        load = test_leaving_processes.Load(cluster)
        runner.most_running = 0
        await asyncio.gather(*(load.send() for _ in range(REQUESTS_AT_ONCE)))
        assert 1 <= runner.most_running <= SLOTS
        assert set(load.statuses) <= {200, 503}
        assert load.statuses.count(200) >= SLOTS
