"""Connections to one endpoint, of all entries together."""

import asyncio
import contextlib

import connection_cluster
import pytest
import relay_fixtures

from _arbutuswalk.limits import connections
from _arbutuswalk.relay import connection_limits
from _arbutuswalk.relay import placement
from _arbutuswalk.relay import relay_state
from _arbutuswalk.relay import relaying

LIMIT = 20
SLOTS = 4
ENTRIES = 4
OWN = 3
MOST_ALONE = 7


class TestDivision:
    @pytest.mark.parametrize("limit", [1, 20, 50, 110, 370])
    @pytest.mark.parametrize("entries", [1, 4, 16, 30, 60, 72, 400])
    @pytest.mark.parametrize("slots", [0, 1, 6, 64])
    def test_all_parts_together_are_the_limit(self, limit, entries, slots):
        division = connections.divide(limit, entries, slots)
        assert division.own >= 0
        assert division.own * entries + division.shared == limit

    @pytest.mark.parametrize(
        ("limit", "entries", "slots", "own"),
        [(110, 8, 6, 12), (110, 60, 6, 1), (370, 8, 64, 30), (370, 60, 64, 4)],
    )
    def test_one_entry_can_use_all_slots(self, limit, entries, slots, own):
        division = connections.divide(limit, entries, slots)
        assert division.own == own
        assert division.shared >= 2 * slots
        assert connections.may_use_another(division, 3 * slots // 2 - 1, 0)

    def test_entries_with_equal_load_do_not_take_the_same_free_ones(self):
        division = connections.divide(110, 60, 6)
        assert connections.may_use_another(division, 1, 0)
        assert not connections.may_use_another(division, 5, 39)
        assert connections.may_use_another(division, 25, 9)

    def test_an_entry_may_always_use_one(self):
        division = connections.divide(10, 400, 6)
        assert division.own == 0
        assert connections.may_use_another(division, 0, 500)
        assert not connections.may_use_another(division, 1, 500)


@pytest.fixture
async def world():
    async with contextlib.AsyncExitStack() as stack:
        config = relay_fixtures.make_config(
            relay_fixtures.make_route(objective_s=0.8, timeout_s=3.0)
        )
        upstreams = tuple(
            upstream._replace(connection_limit=LIMIT)
            for upstream in config.upstreams
        )
        relay = relay_fixtures.make_relay(config._replace(upstreams=upstreams))
        relay.entry_count = ENTRIES
        stack.callback(relay.pool.close)
        yield World(relay, stack)


class World:
    """An entry with endpoints that answer when they are released."""

    def __init__(self, relay, stack):
        self.relay = relay
        self.stack = stack
        self.released = asyncio.Event()
        self.arrived = []

    async def add_endpoint(self, name):
        async def answer(head, writer):
            attempt_id = head.partition("X-Attempt-Id: ")[2].split("\r\n")[0]
            self.arrived.append((name, attempt_id))
            await self.released.wait()
            await relay_fixtures.send_answer(echo=attempt_id)(head, writer)

        endpoint = relay_fixtures.ScriptedEndpoint(*[answer] * 99, name=name)
        await endpoint.start(self.relay)
        self.stack.callback(endpoint.stop)
        return endpoint

    def set_others(self, name, running):
        self.relay.other_loads[name] = relay_state.Load(running)

    def send(self, request_id, **changes):
        fields = [(b"host", b"h.example"), (b"X-Attempt-Id", request_id)]
        request = relay_fixtures.make_request(
            self.relay, id=request_id.decode(), headers=fields, **changes
        )
        caller = relay_fixtures.RecordingCaller()
        task = asyncio.ensure_future(
            relaying.relay_request(
                self.relay, request, caller.make_delivery(self.relay, request)
            )
        )
        return task, caller

    async def use_connections(self, count):
        """Sends requests, and waits until they have arrived at endpoints."""
        expected = len(self.arrived) + count
        sent = [self.send(b"u%d" % number) for number in range(count)]
        async with asyncio.timeout(2.0):
            while len(self.arrived) < expected:
                await asyncio.sleep(0.005)
        return sent


class TestOneEntry:
    async def test_it_keeps_no_more_idle_connections_than_its_own(self, world):
        await world.add_endpoint("e1")
        sent = await world.use_connections(MOST_ALONE)
        world.released.set()
        for task, caller in sent:
            await task
            assert caller.status == 200
        idle = world.relay.pool.idle
        assert [len(kept) for kept in idle.values()] == [OWN]

    async def test_it_prefers_endpoints_with_a_connection_of_its_own(
        self, world
    ):
        await world.add_endpoint("e1")
        await world.use_connections(OWN)
        await world.add_endpoint("e2")
        world.set_others("e2", 2 * OWN)
        await world.use_connections(1)
        assert world.arrived[-1][0] == "e2"

    async def test_it_prefers_sound_endpoints_to_connections_of_its_own(
        self, world
    ):
        await world.add_endpoint("e1")
        await world.use_connections(OWN)
        await world.add_endpoint("e2")
        placement.mark_suspect(world.relay, "e2", "test")
        await world.use_connections(1)
        assert {name for name, _ in world.arrived} == {"e1"}

    async def test_it_uses_no_more_than_all_entries_may(self, world):
        await world.add_endpoint("e1")
        await world.use_connections(MOST_ALONE - 1)
        world.set_others("e1", 1)
        task, caller = world.send(b"last")
        await task
        assert caller.status == 503
        assert len(world.arrived) == MOST_ALONE - 1

    async def test_a_refusal_is_in_time_and_spreads_the_return(self, world):
        await world.add_endpoint("e1")
        await world.use_connections(MOST_ALONE)
        started_at = world.relay.now()
        refused = [world.send(b"r%d" % number) for number in range(5)]
        for task, caller in refused:
            await task
            assert caller.status == 503
        assert 0.15 < world.relay.now() - started_at < 0.7
        retry_after = {
            float(dict(caller.headers)[b"retry-after"]) for _, caller in refused
        }
        assert len(retry_after) > 1
        assert all(0.5 <= seconds <= 0.75 for seconds in retry_after)

    async def test_a_request_waits_for_a_connection(self, world):
        await world.add_endpoint("e1")
        await world.use_connections(MOST_ALONE)
        task, caller = world.send(b"waiting")
        await asyncio.sleep(0.01)
        assert len(world.arrived) == MOST_ALONE
        world.released.set()
        await task
        assert caller.status == 200

    async def test_requests_wait_in_order_of_priority_and_deadline(self, world):
        relay = world.relay
        woken = []

        async def wait(name, priority, deadline):
            route = relay_fixtures.make_route(priority=priority)
            request = relay_fixtures.make_request(
                relay, route=route, deadline=deadline
            )
            await connection_limits.wait(relay, request, 1.0)
            woken.append(name)

        waits = [
            asyncio.ensure_future(wait(*fields))
            for fields in [
                ("low", 5, 1.0),
                ("late", 1, 9.0),
                ("first", 1, 2.0),
                ("second", 1, 2.0),
            ]
        ]
        await asyncio.sleep(0)
        for _ in waits:
            connection_limits.wake_next(relay, "ops")
        await asyncio.gather(*waits)
        assert woken == ["first", "second", "late", "low"]
        connection_limits.wake_next(relay, "ops")

    async def test_a_request_that_stops_waiting_is_forgotten(self, world):
        request = relay_fixtures.make_request(world.relay)
        await connection_limits.wait(world.relay, request, 0.001)
        assert world.relay.connection_waiters == {"ops": []}

    async def test_an_upstream_without_limit_is_not_limited(self, world):
        world.relay.route_table.connection_limits["ops"] = 0
        await world.add_endpoint("e1")
        world.set_others("e1", 500)
        await world.use_connections(LIMIT + 1)


def play(requests_per_s, **options):
    cluster = connection_cluster.Cluster(**options)
    cluster.run(6, requests_per_s=requests_per_s)
    cluster.close()
    return cluster


class TestAllEntries:
    @pytest.mark.parametrize("entries", [4, 30, 72])
    @pytest.mark.parametrize("seed", [1, 2])
    def test_they_keep_within_the_limit_and_refuse_nothing(self, entries, seed):
        cluster = play(160, entries=entries, limit=50, seed=seed)
        assert cluster.most_open() <= 50
        assert cluster.refused() == 0

    @pytest.mark.parametrize("entries", [4, 30])
    def test_overload_is_refused_within_the_limit(self, entries):
        cluster = play(360, entries=entries, limit=110)
        assert cluster.most_open() <= 110
        assert cluster.refused() > 0

    @pytest.mark.parametrize("entries", [4, 30, 72])
    @pytest.mark.parametrize(
        ("limit", "slots", "service_time_s"), [(110, 6, 0.1), (370, 64, 1.0)]
    )
    def test_nothing_is_refused_far_from_the_limit(
        self, entries, limit, slots, service_time_s
    ):
        cluster = play(
            130,
            entries=entries,
            limit=limit,
            slots=slots,
            service_time_s=service_time_s,
        )
        assert cluster.most_open() <= limit
        assert set(cluster.statuses) == {200}
