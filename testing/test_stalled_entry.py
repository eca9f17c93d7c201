"""An entry that stood still, as when its machine is suspended."""

import asyncio
import socket
import time

import aiohttp
import entry_fixtures
import process_fixtures
import pytest
import test_crash_processes as crash_processes
import virtual
from arbutuswalk_platform import headers

from _arbutuswalk.base import stalls
from _arbutuswalk.entry import crash_quarantine
from _arbutuswalk.routing import upstreams
from _arbutuswalk.streams import connection as connections
from _arbutuswalk.streams import pool

STALL_S = 2.0
"""Longer than announcements may be missing, shorter than a lease."""
CHECKS = 5
REQUESTS = 10


def make_table():
    """Returns a table with one upstream, announced at 10.0 s."""
    table = upstreams.Table()
    announcement = entry_fixtures.make_announcement("u", "model")
    upstreams.announce(table, announcement, announced_at=10.0)
    return table


class SteppedClock:
    """A loop's clock and the time in which the process stood still."""

    def __init__(self, loop):
        self.loop = loop
        self.stalled_s = 0.0

    def __call__(self):
        return self.loop.time() + self.stalled_s


class TestDetector:
    @pytest.fixture
    def loop(self):
        new_loop = virtual.VirtualLoop()
        yield new_loop
        virtual.close(new_loop)

    def play(self, loop, stalls_s):
        """Returns the stalls that are detected."""
        clock = SteppedClock(loop)
        detected = []
        detector = stalls.StallDetector(now=clock, on_stall=detected.append)

        async def stand_still():
            detector.start()
            for stall_s in stalls_s:
                await asyncio.sleep(CHECKS * stalls.CHECK_INTERVAL_S)
                clock.stalled_s += stall_s
            await asyncio.sleep(CHECKS * stalls.CHECK_INTERVAL_S)
            detector.stop()

        loop.run_until_complete(stand_still())
        return detected

    def test_reports_each_stall_once(self, loop):
        detected = self.play(loop, [2.0, 0.0, 5.0])
        assert detected == pytest.approx([2.0, 5.0], abs=0.01)

    def test_reports_no_short_delay(self, loop):
        assert self.play(loop, [stalls.MIN_STALL_S / 2] * 3) == []

    def test_reports_before_what_waited_for_the_process(self, loop):
        """Input that arrived during the stall starts its tasks afterwards."""
        clock = SteppedClock(loop)
        order = []
        detector = stalls.StallDetector(
            now=clock, on_stall=lambda _: order.append("stall")
        )

        async def handle_input():
            order.append("request")

        async def stand_still():
            detector.start()
            await asyncio.sleep(CHECKS * stalls.CHECK_INTERVAL_S)
            clock.stalled_s += STALL_S
            loop.virtual_selector.now += STALL_S
            loop.call_soon(lambda: loop.create_task(handle_input()))
            await asyncio.sleep(CHECKS * stalls.CHECK_INTERVAL_S)
            detector.stop()

        loop.run_until_complete(stand_still())
        assert order == ["stall", "request"]


class TestTable:
    def test_a_stall_is_no_silence_of_an_upstream(self):
        table = make_table()
        upstreams.record_stall(table, 5.0)
        assert upstreams.usable(table, "model", 15.2)
        assert upstreams.expire(table, 15.2) == []

    def test_silence_around_a_stall_counts(self):
        table = make_table()
        upstreams.record_stall(table, 5.0)
        assert not upstreams.usable(table, "model", 16.6)
        assert len(upstreams.expire(table, 19.1)) == 1

    def test_a_stall_counts_for_one_announcement(self):
        table = make_table()
        upstreams.record_stall(table, 5.0)
        later = entry_fixtures.make_announcement("u", "model", sequence=2)
        upstreams.announce(table, later, announced_at=15.5)
        assert upstreams.usable(table, "model", 16.9)
        assert not upstreams.usable(table, "model", 17.1)

    def test_a_failure_before_a_stall_counts(self):
        table = make_table()
        table.rows["u"].failed_at = 10.1
        upstreams.record_stall(table, 5.0)
        assert not upstreams.usable(table, "model", 15.2)


class TestDeaths:
    @pytest.mark.parametrize("isolated", ["", "fingerprint"])
    @pytest.mark.parametrize("announces_again", [True, False])
    def test_a_stall_proves_no_death(
        self, monkeypatch, announces_again, isolated
    ):
        """The connection broke and the entry stood still during its probe."""
        stall_s = upstreams.GONE_AFTER_S

        async def stand_still(address):
            if isolated:
                loop.call_later(0.1, skip_time)
                return crash_quarantine._ANSWERED
            skip_time()
            return crash_quarantine._NO_ANSWER

        def skip_time():
            loop.virtual_selector.now += stall_s
            upstreams.record_stall(table, stall_s)

        monkeypatch.setattr(crash_quarantine, "_probe", stand_still)
        loop = virtual.VirtualLoop()
        entry = entry_fixtures.make_entry(
            loop, entry_fixtures.Control(loop, None), "a"
        )
        table = entry.upstreams
        announcement = entry_fixtures.make_announcement("u", "model")
        upstreams.announce(table, announcement, announced_at=loop.time())
        row = table.rows["u"]
        row.isolated = isolated

        def announce_again():
            later = entry_fixtures.make_announcement("u", "model", sequence=2)
            upstreams.announce(table, later, announced_at=loop.time())

        if announces_again:
            loop.call_later(stall_s + 0.4, announce_again)
        is_dead = loop.run_until_complete(crash_quarantine.is_dead(entry, row))
        virtual.close(loop)
        assert is_dead is not announces_again


class TestConnecting:
    TIMEOUT_S = 0.2

    @pytest.fixture
    def listener(self):
        """Returns a listener with room for one connection."""
        with socket.socket() as sock:
            sock.bind(("127.0.0.1", 0))
            sock.listen(0)
            yield sock

    async def connect(self, listener):
        """Opens a connection while the event loop handles nothing else."""
        host, port = listener.getsockname()
        task = asyncio.ensure_future(
            pool.connect(
                f"{host}:{port}",
                read_reply=headers.interpret_response,
                timeout_s=self.TIMEOUT_S,
            )
        )
        await asyncio.sleep(0)
        time.sleep(self.TIMEOUT_S + stalls.MIN_STALL_S / 2)
        return await task

    async def test_one_made_in_time_counts_if_it_is_handled_late(
        self, listener
    ):
        opened = await self.connect(listener)
        assert isinstance(opened, connections.Connection)
        opened.abort()

    async def test_one_that_is_not_made_times_out(self, listener):
        with socket.create_connection(listener.getsockname()):
            opened = await self.connect(listener)
        assert opened == pool.NotOpened(
            reason="connect timed out", refused=False
        )


class TestProcesses:
    async def test_requests_after_a_stall_are_served(self, cluster):
        """They were sent while the entry stood still."""
        await cluster.start_all()
        for i in range(crash_processes.RUNNER_COUNT):
            cluster.start_upstream(i, "runner", "model", token_s=0.01)
        await process_fixtures.wait_until(cluster.routes_in_force)
        for address in cluster.link_addresses[:2]:
            await process_fixtures.wait_until(
                crash_processes.knows_all_runners(address)
            )
        addresses = cluster.entry_addresses[:1]
        prompts = [f"ref:i{i}" for i in range(REQUESTS)]
        async with aiohttp.ClientSession() as session:
            # The entry reads open connections before new ones.
            await crash_processes.send_prompts(session, addresses, prompts, 0.0)
            cluster.process_group.freeze("entry-0")
            responses = asyncio.ensure_future(
                crash_processes.send_prompts(session, addresses, prompts, 0.0)
            )
            await asyncio.sleep(STALL_S)
            cluster.process_group.resume("entry-0")
            refused = [
                response
                for response in await responses
                if response.status != 200 and not response.is_cut_off
            ]
        assert refused == []
