"""Model requests whose upstream is silent for longer than ``gap_s``."""

import asyncio
import contextlib
import itertools
import json
import random
import time

import entry_fixtures
import pytest

from _arbutuswalk.entry import model_requests
from _arbutuswalk.entry import model_routes
from _arbutuswalk.limits import budget
from _arbutuswalk.routing import upstreams
from _arbutuswalk.streams import attempts

GAP_S = 0.5
SILENCE_S = 1.0
DEADLINE_S = 4.0
MAX_DEADLINE_OVERRUN_S = 2.0
FOREVER_S = 60.0
TOKENS = ["a", "b", "c", "d"]
SILENT_BEFORE = 2
ANNOUNCE_INTERVAL_S = 0.2
HEAD = (
    b"HTTP/1.1 200 OK\r\nX-Attempt-Id: %b\r\n"
    b"Content-Type: text/event-stream\r\nConnection: close\r\n\r\n"
)
EMPTY_TOKENS = -100.0
"""A retry budget that stays empty until the deadline."""


def header(head, name):
    for line in head.split(b"\r\n"):
        key, _, value = line.partition(b":")
        if key.lower() == name.lower():
            return value.strip()
    return b""


class Upstream:
    """Sends the same tokens to all, with a silence on some connections.

    Attributes:
        name: Its id.
        silences: Position before which it is silent and for how long, by the
            connection; none on further connections.
        positions: Position at which each connection began.
        announces: Whether it announces itself.
    """

    def __init__(self, name, *silences, slots=4, answers_probes=True):
        self.name = name
        self.silences = iter([*silences, *itertools.repeat((-1, 0.0), 100)])
        self.slots = slots
        self.answers_probes = answers_probes
        self.positions = []
        self.announces = True
        self.sequence = 0

    async def start(self):
        self.server = await asyncio.start_server(self._serve, "127.0.0.1", 0)
        port = self.server.sockets[0].getsockname()[1]
        self.address = f"127.0.0.1:{port}"

    def announce(self, entry):
        self.sequence += 1
        announcement = entry_fixtures.make_announcement(
            self.name,
            "model",
            sequence=self.sequence,
            address=self.address,
            slots=self.slots,
        )
        upstreams.announce(
            entry.upstreams, announcement, announced_at=entry.now()
        )

    async def _serve(self, reader, writer):
        try:
            with contextlib.suppress(OSError, asyncio.IncompleteReadError):
                await self._answer(reader, writer)
        finally:
            writer.close()

    async def _answer(self, reader, writer):
        head = await reader.readuntil(b"\r\n\r\n")
        if head.startswith(b"HEAD"):
            if not self.answers_probes:
                await asyncio.sleep(FOREVER_S)
            writer.write(b"HTTP/1.1 200 OK\r\n\r\n")
        else:
            size = int(header(head, b"Content-Length"))
            body = json.loads(await reader.readexactly(size))
            await self._generate(head, body, writer)
        await writer.drain()

    async def _generate(self, head, body, writer):
        start = body.get("continue_from", {}).get("events", 0)
        self.positions.append(start)
        silent_before, silence_s = next(self.silences)
        writer.write(HEAD % header(head, b"X-Attempt-Id"))
        for position in range(start, len(TOKENS)):
            if position == silent_before:
                await asyncio.sleep(silence_s)
            choice = {"index": 0, "text": TOKENS[position]}
            event = json.dumps({"choices": [choice]}).encode()
            writer.write(b"data: " + event + b"\n\n")
            await writer.drain()
        writer.write(b"data: [DONE]\n\n")


class Play:
    """One request at an entry with some upstreams.

    Attributes:
        took_s: Time until its answer ended.
    """

    def __init__(self, *fleet, budget_tokens=10.0):
        self.fleet = list(fleet)
        self.budget_tokens = budget_tokens

    async def run(self):
        loop = asyncio.get_running_loop()
        control = entry_fixtures.Control(loop, random.Random(1))
        self.entry = entry_fixtures.make_entry(loop, control, "a")
        self.entry.settings |= {"gap_s": GAP_S, "connect_s": DEADLINE_S}
        self.entry.retry_budgets["model"] = budget.Budget(
            now=loop.time(), tokens=self.budget_tokens
        )
        for upstream in self.fleet:
            await upstream.start()
        upkeep = asyncio.ensure_future(self._announce_all())
        await asyncio.sleep(0)
        started_at = loop.time()
        self.request = self._make_request()
        model_routes.accept_request(self.entry, self.request)
        async with asyncio.timeout(DEADLINE_S + MAX_DEADLINE_OVERRUN_S):
            await asyncio.shield(self.request.task)
        self.took_s = loop.time() - started_at
        upkeep.cancel()
        for upstream in self.fleet:
            upstream.server.close()
        return self

    async def _announce_all(self):
        while True:
            for upstream in self.fleet:
                if upstream.announces:
                    upstream.announce(self.entry)
            await asyncio.sleep(ANNOUNCE_INTERVAL_S)

    def _make_request(self):
        body = {"model": "model", "prompt": "x", "stream": True}
        return model_requests.ModelRequest(
            request_id="a~1",
            workspace="w",
            weight=1,
            key="",
            route="completions",
            raw=json.dumps(body).encode(),
            body=body,
            deadline=self.entry.now() + DEADLINE_S,
            priority=5,
            now=self.entry.now(),
        )

    def assert_complete(self):
        answer = self.request.answer
        assert answer.done, (answer.problem, self.request.history)
        assert answer.text() == "".join(TOKENS)

    def assert_failed_at_deadline(self):
        assert self.request.answer.problem.status == 504
        assert self.took_s >= DEADLINE_S


PAUSE = (SILENT_BEFORE, SILENCE_S)
HANG = (SILENT_BEFORE, FOREVER_S)
SLOW_START = (0, SILENCE_S)


class TestUpstreamsThatGoOn:
    """Silent for longer than ``gap_s``; the answer is complete all the same."""

    async def test_the_only_upstream(self):
        play = await Play(Upstream("u0", PAUSE)).run()
        play.assert_complete()

    @pytest.mark.parametrize("silence", [PAUSE, SLOW_START])
    async def test_no_retry_is_left(self, silence):
        upstream = Upstream("u0", silence)
        play = await Play(upstream, budget_tokens=EMPTY_TOKENS).run()
        play.assert_complete()
        assert upstream.positions == [0]

    async def test_no_retry_is_left_beside_another_upstream(self):
        fleet = [Upstream("u0", PAUSE), Upstream("u1", PAUSE)]
        play = await Play(*fleet, budget_tokens=EMPTY_TOKENS).run()
        play.assert_complete()
        assert sorted(each.positions for each in fleet) == [[], [0]]

    @pytest.mark.parametrize("count", [1, 2])
    async def test_a_slow_start_everywhere(self, count):
        """Each attempt that begins anew would be silent again."""
        fleet = [Upstream(f"u{i}", *[SLOW_START] * 20) for i in range(count)]
        play = await Play(*fleet).run()
        play.assert_complete()
        assert sum(len(each.positions) for each in fleet) == 2 * count

    async def test_another_upstream_is_full(self):
        """It is silent on the second connection, too."""
        upstream = Upstream("u0", HANG, (SILENT_BEFORE, SILENCE_S))
        play = await Play(upstream, Upstream("u1", slots=0)).run()
        play.assert_complete()
        assert upstream.positions == [0, 2]


class TestUpstreamsThatHang:
    async def test_the_connection_is_at_fault(self):
        upstream = Upstream("u0", HANG)
        play = await Play(upstream).run()
        play.assert_complete()
        assert upstream.positions == [0, 2]

    async def test_another_upstream_continues(self):
        fleet = [Upstream(f"u{i}", HANG, HANG) for i in range(2)]
        fleet.append(Upstream("u2"))
        play = await Play(*fleet).run()
        play.assert_complete()

    async def test_another_upstream_joins(self):
        """No other one was there when the silence began."""
        play = Play(Upstream("u0", HANG, HANG, HANG, HANG, HANG, HANG))
        running = asyncio.ensure_future(play.run())
        await asyncio.sleep(3 * GAP_S)
        joining = Upstream("u1")
        await joining.start()
        play.fleet.append(joining)
        await running
        play.assert_complete()
        assert joining.positions == [2]

    async def test_one_that_no_longer_announces_itself_takes_no_retry(self):
        """An attempt lost with its upstream is no sign of overload."""
        hanging = Upstream("u0", HANG, answers_probes=False)
        play = Play(hanging, budget_tokens=EMPTY_TOKENS)
        running = asyncio.ensure_future(play.run())
        await asyncio.sleep(GAP_S / 2)
        hanging.announces = False
        other = Upstream("u1")
        await other.start()
        play.fleet.append(other)
        await running
        play.assert_complete()
        assert (hanging.positions, other.positions) == ([0], [2])

    async def test_the_answer_ends_at_the_deadline(self):
        upstream = Upstream("u0", HANG)
        play = await Play(upstream, budget_tokens=EMPTY_TOKENS).run()
        play.assert_failed_at_deadline()


class TestDelaysOfTheEntry:
    async def test_a_stall_is_no_silence_before_the_headers(self):
        """What the upstream sent meanwhile is unread."""
        requested, released = asyncio.Event(), asyncio.Event()

        async def serve(reader, writer):
            await reader.readuntil(b"\r\n\r\n")
            requested.set()
            await released.wait()
            writer.write(HEAD % b"a" + b"data: [DONE]\n\n")
            writer.close()

        server = await asyncio.start_server(serve, "127.0.0.1", 0)
        port = server.sockets[0].getsockname()[1]
        order = attempts.Order(
            address=f"127.0.0.1:{port}",
            path="/",
            request_id="r",
            attempt_id="a",
            body={},
            priority=0,
            echo=True,
        )
        deadlines = attempts.Deadlines(connect_s=60, first_byte_s=1.0)
        run = asyncio.ensure_future(
            attempts.run(order, deadlines, lambda events: None)
        )
        await requested.wait()
        time.sleep(1.5)  # noqa: ASYNC251
        asyncio.get_running_loop().call_later(0.3, released.set)
        result = await run
        server.close()
        assert isinstance(result, attempts.Completed)
