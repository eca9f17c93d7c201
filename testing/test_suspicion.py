"""How an entry finds out that an upstream died, and whom it tells."""

import asyncio
import json
import random

import pytest
import virtual
import worlds

from _arbutuswalk.entry import announcing
from _arbutuswalk.entry import news
from _arbutuswalk.entry import placing
from _arbutuswalk.entry import requests
from _arbutuswalk.entry import suspicion
from _arbutuswalk.routing import upstreams
from _arbutuswalk.wire.gen.arbutus import ttypes

NAMES = ("a", "b")


class TestProbe:
    async def test_process_that_is_just_ending_is_gone(self):
        """Its listener accepts for a moment after its connections broke."""

        async def end(_, writer):
            server.close()
            writer.transport.abort()

        server = await asyncio.start_server(end, "127.0.0.1", 0)
        port = server.sockets[0].getsockname()[1]
        probe = await suspicion._probe(f"127.0.0.1:{port}")
        assert probe == suspicion._REFUSED

    async def test_process_that_answers_is_there(self):
        async def answer(reader, writer):
            await reader.readline()
            writer.write(b"HTTP/1.1 404 Not Found\r\n\r\n")
            await writer.drain()
            writer.close()

        server = await asyncio.start_server(answer, "127.0.0.1", 0)
        port = server.sockets[0].getsockname()[1]
        assert await suspicion._probe(f"127.0.0.1:{port}") == suspicion._OPEN
        server.close()

    async def test_process_that_accepts_and_says_nothing_is_in_doubt(
        self, monkeypatch
    ):
        monkeypatch.setattr(suspicion, "PROBE_TIMEOUT_S", 0.05)

        async def hold(reader, _):
            await reader.read()

        server = await asyncio.start_server(hold, "127.0.0.1", 0)
        port = server.sockets[0].getsockname()[1]
        probe = await suspicion._probe(f"127.0.0.1:{port}")
        assert probe == suspicion._NO_ANSWER
        server.close()


@pytest.fixture
def loop():
    made = virtual.VirtualLoop()
    yield made
    virtual.close(made)


@pytest.fixture
def entries(loop):
    control = worlds.Control(loop, random.Random(1))
    return [worlds.make_entry(loop, control, name) for name in NAMES]


class TestHearsay:
    def tell(self, entry, fingerprints):
        told = {"kind": news.SUSPECTS, "fingerprints": fingerprints}
        message = ttypes.UpstreamNews(announcements=[json.dumps(told).encode()])
        announcing.on_news(entry, message)

    def test_suspect_counts_before_its_report_is_committed(self, entries):
        assert not entries[1].is_suspect("f")
        self.tell(entries[1], ["f"])
        assert entries[1].is_suspect("f")
        assert not entries[1].is_suspect("g")

    def test_word_of_it_runs_out(self, loop, entries):
        self.tell(entries[1], ["f"])
        loop.run_until_complete(asyncio.sleep(suspicion.HEARSAY_S + 0.1))
        assert not entries[1].is_suspect("f")
        suspicion.forget_hearsay(entries[1])
        assert entries[1].heard_suspects == {}

    def test_death_is_told_to_the_others_with_all_that_ran_there(
        self, loop, entries, monkeypatch
    ):
        told = []
        monkeypatch.setattr(
            news, "tell_others", lambda entry, item: told.append(item)
        )
        entry = entries[0]
        said = worlds.said("u0", "model")
        upstreams.announce(entry.upstreams, said, announced_at=loop.time())
        row = entry.upstreams.rows["u0"]
        row.unconfirmed_crashes.add("f")
        loop.run_until_complete(suspicion.report_death(entry, row))
        assert told == [{"kind": news.SUSPECTS, "fingerprints": ["f"]}]


class TestReservations:
    def request(self, entry):
        body = {"model": "model", "prompt": "ref:i0", "max_tokens": 4}
        return requests.ModelRequest(
            request_id="a~1",
            workspace="w",
            weight=1,
            key="",
            route="completions",
            raw=json.dumps(body).encode(),
            body=body,
            deadline=entry.now() + 10,
            priority=5,
            now=entry.now(),
        )

    def test_request_waits_while_the_last_upstream_is_reserved(
        self, loop, entries
    ):
        """After two deaths of four the other two may be reserved at once."""
        entry = entries[0]
        said = worlds.said("u0", "model")
        upstreams.announce(entry.upstreams, said, announced_at=loop.time())
        row = entry.upstreams.rows["u0"]
        row.isolated = "suspect"
        request = self.request(entry)
        assert placing.early_refusal(entry, request) is None

        async def wait():
            ticket = placing.enqueue(entry, request)
            row.isolated = ""
            placing.pump(entry, "model")
            return await placing.place(entry, request, ticket)

        assert loop.run_until_complete(wait()) is row

    def test_request_is_refused_where_no_upstream_is_up(self, entries):
        request = self.request(entries[0])
        refusal = placing.early_refusal(entries[0], request)
        assert refusal.title == "no upstream"
