"""Pauses that endpoints ask an entry for."""

import asyncio

import pytest
import relay_fixtures
import test_events
from arbutuswalk_platform import headers

from _arbutuswalk.base import events
from _arbutuswalk.base import structured_log
from _arbutuswalk.relay import relaying
from _arbutuswalk.state import routeconfig

PAUSE_3_S = "Retry-After: 3\r\n"
NOT_EXECUTED = "X-Not-Executed: 1\r\n"


class Cluster:
    """An entry on a clock of its own, and endpoints on loopback."""

    def __init__(self, **route):
        route = {"objective_s": 0.4, **route}
        config = relay_fixtures.make_config(relay_fixtures.make_route(**route))
        self.relay = relay_fixtures.make_relay(config)
        self.now = 1000.0
        self.relay.now = self.relay.wall = lambda: self.now
        self.relay.rng.random = lambda: 0.0
        self.endpoints = []

    async def add(self, *steps, **announced):
        name = announced.pop("name", f"e{len(self.endpoints) + 1}")
        endpoint = relay_fixtures.ScriptedEndpoint(
            *steps, name=name, **announced
        )
        self.endpoints.append(await endpoint.start(self.relay))
        return endpoint

    async def send(self, **changes):
        request = relay_fixtures.make_request(self.relay, **changes)
        caller = relay_fixtures.RecordingCaller()
        await relaying.relay_request(
            self.relay, request, caller.make_delivery(self.relay, request)
        )
        return caller

    async def send_many(self, count):
        return [(await self.send()).status for _ in range(count)]


@pytest.fixture
async def make_world():
    clusters = []

    def make(**route):
        clusters.append(Cluster(**route))
        return clusters[-1]

    yield make
    for cluster in clusters:
        cluster.relay.pool.close()
        for endpoint in cluster.endpoints:
            endpoint.stop()


def turn_away(extra=PAUSE_3_S):
    return relay_fixtures.send_answer(status="503 Busy", extra=extra)


class TestStatedPauses:
    @pytest.mark.parametrize(
        ("value", "pause_s"),
        [(b"3", 3.0), (b"0.25", 0.25), (b" 2 ", 2.0), (b"0", 0.0)],
        ids=str,
    )
    def test_seconds_are_read(self, value, pause_s):
        reply = headers.interpret_response(503, [(b"retry-after", value)])
        assert reply.pause_s == pause_s

    @pytest.mark.parametrize(
        "value",
        [
            b"",
            b"-1",
            b"nan",
            b"inf",
            b"1e3",
            b"soon",
            b"99999999",
            b"9" * 400,
            b"3, 3",
            b"Fri, 04 Dec 2026 10:00:00 GMT",
            b"\xff",
        ],
        ids=repr,
    )
    def test_other_values_state_no_pause(self, value):
        reply = headers.interpret_response(503, [(b"retry-after", value)])
        assert reply.pause_s is None
        assert reply.invalid_pause is not None

    def test_two_values_state_no_pause(self):
        twice = [(b"retry-after", b"3"), (b"retry-after", b"3")]
        reply = headers.interpret_response(503, twice)
        assert reply.pause_s is None
        assert reply.invalid_pause is not None

    @pytest.mark.parametrize("status", [200, 429, 500, 502, 504])
    def test_only_the_status_503_states_a_pause(self, status):
        reply = headers.interpret_response(status, [(b"retry-after", b"3")])
        assert reply.pause_s is None
        assert reply.invalid_pause is None

    def test_an_answer_without_the_header_states_none(self):
        reply = headers.interpret_response(503, [])
        assert reply.pause_s is None
        assert reply.invalid_pause is None


class TestPausedEndpoints:
    @pytest.mark.parametrize("extra", ["", NOT_EXECUTED])
    async def test_other_endpoints_get_the_requests(self, make_world, extra):
        cluster = make_world()
        pausing = await cluster.add(turn_away(PAUSE_3_S + extra))
        other = await cluster.add()
        assert await cluster.send_many(20) == [200] * 20
        assert len(pausing.request_heads) == 1
        assert len(other.request_heads) == 20

    async def test_a_call_that_may_have_run_is_not_sent_again(self, make_world):
        cluster = make_world(kind=routeconfig.ONCE)
        await cluster.add(turn_away(), slots=99)
        await cluster.add(turn_away())
        assert (await cluster.send()).status == 503
        assert sum(len(e.request_heads) for e in cluster.endpoints) == 1

    async def test_a_pause_ends_after_its_time(self, make_world):
        cluster = make_world()
        pausing = await cluster.add(turn_away())
        assert (await cluster.send()).status == 503
        cluster.now += 2.9
        assert (await cluster.send()).status == 503
        assert len(pausing.request_heads) == 1
        cluster.now += 0.2
        assert (await cluster.send()).status == 200

    async def test_another_start_is_not_held_back(self, make_world):
        cluster = make_world()
        old = await cluster.add(turn_away(), born_ms=999_000)
        await cluster.send()
        old.stop()
        restarted = await cluster.add(name="e1", born_ms=1_000_001)
        assert (await cluster.send()).status == 200
        assert len(restarted.request_heads) == 1

    async def test_the_refusal_names_the_end_of_the_first_pause(
        self, make_world
    ):
        cluster = make_world(max_attempts=3)
        await cluster.add(turn_away(NOT_EXECUTED + "Retry-After: 9\r\n"))
        await cluster.add(turn_away(NOT_EXECUTED + "Retry-After: 6\r\n"))
        told = await cluster.send()
        assert told.status == 503
        assert (b"retry-after", b"6.00") in told.headers
        cluster.now += 1.0
        refused = await cluster.send()
        assert refused.status == 503
        assert b"paused" in refused.data
        assert (b"retry-after", b"5.00") in refused.headers
        assert sum(len(e.request_heads) for e in cluster.endpoints) == 2

    async def test_the_own_answer_reaches_the_caller_if_nothing_else_serves(
        self, make_world
    ):
        cluster = make_world()
        await cluster.add(turn_away())
        told = await cluster.send()
        assert told.status == 503
        assert (b"retry-after", b"3") in told.headers
        assert (b"x-server-signature", b"s") in told.headers

    @pytest.mark.parametrize("kind", [routeconfig.ONCE, routeconfig.STREAM])
    async def test_kinds_that_are_not_repeated_go_elsewhere_if_not_executed(
        self, make_world, kind
    ):
        cluster = make_world(kind=kind, max_attempts=1)
        await cluster.add(turn_away(PAUSE_3_S + NOT_EXECUTED))
        await cluster.add(turn_away(PAUSE_3_S + NOT_EXECUTED))
        third = await cluster.add()
        assert await cluster.send_many(5) == [200] * 5
        assert len(third.request_heads) == 5

    async def test_a_request_that_was_connecting_goes_elsewhere(
        self, make_world
    ):
        cluster = make_world()
        pausing = await cluster.add(turn_away(PAUSE_3_S))
        pool = cluster.relay.pool
        acquire, connected = pool.acquire, asyncio.Event()

        async def acquire_late(address, *, non_idempotent):
            connection = await acquire(address, non_idempotent=non_idempotent)
            await connected.wait()
            return connection

        pool.acquire = acquire_late
        late = asyncio.ensure_future(cluster.send())
        await asyncio.sleep(0.05)
        pool.acquire = acquire
        assert (await cluster.send()).status == 503
        other = await cluster.add()
        connected.set()
        assert (await late).status == 200
        assert len(pausing.request_heads) == 1
        assert len(other.request_heads) == 1

    async def test_the_answer_to_a_caller_that_has_left_counts(
        self, make_world
    ):
        cluster = make_world()
        released = asyncio.Event()

        async def turn_away_later(head, writer):
            await released.wait()
            await turn_away()(head, writer)

        pausing = await cluster.add(turn_away_later)
        request = relay_fixtures.make_request(cluster.relay)
        caller = relay_fixtures.RecordingCaller()
        delivery = caller.make_delivery(cluster.relay, request)
        task = asyncio.ensure_future(
            relaying.relay_request(cluster.relay, request, delivery)
        )
        while not pausing.request_heads:
            await asyncio.sleep(0.01)
        delivery.caller_left = True
        released.set()
        await task
        assert cluster.relay.pauses.rows


class TestLog:
    async def test_a_pause_is_logged_with_the_request(
        self, make_world, monkeypatch
    ):
        writer = test_events.RecordingWriter()
        monkeypatch.setattr(structured_log, "_writers", [writer])
        cluster = make_world()
        await cluster.add(turn_away())
        await cluster.send()
        fields = dict(writer.lines)[events.Event.ENDPOINT_PAUSED.number]
        assert fields["request"] == "attempt-1"
        assert fields["endpoint"] == "e1"
        assert fields["pause_s"] == fields["ends_in_s"] == 3.0

    async def test_an_invalid_one_is_logged_once_for_each_endpoint(
        self, make_world, monkeypatch
    ):
        writer = test_events.RecordingWriter()
        monkeypatch.setattr(structured_log, "_writers", [writer])
        cluster = make_world(max_attempts=1)
        date = "Retry-After: Fri, 04 Dec 2026 10:00:00 GMT" + "x" * 99
        for _ in range(2):
            await cluster.add(*[turn_away(date + "\r\n")] * 9)
        assert await cluster.send_many(8) == [503] * 8
        number = events.Event.ENDPOINT_PAUSE_INVALID.number
        lines = [fields for at, fields in writer.lines if at == number]
        assert sorted(line["endpoint"] for line in lines) == ["e1", "e2"]
        assert all(len(line["value"]) == 40 for line in lines)
