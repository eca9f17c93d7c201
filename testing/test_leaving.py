"""Endpoints that state in their answers that they leave."""

import asyncio
import json
import types

import pytest
import relay_fixtures
import test_crashes
import test_duties
import test_watching
from arbutuswalk_platform import headers

from _arbutuswalk.base import events
from _arbutuswalk.limits import permits
from _arbutuswalk.relay import control_watch
from _arbutuswalk.relay import permit_client
from _arbutuswalk.relay import relaying
from _arbutuswalk.relay import request as requests
from _arbutuswalk.routing import directory
from _arbutuswalk.routing import leaving
from _arbutuswalk.state import routeconfig
from _arbutuswalk.wire import compressed_json

STATEMENT = "Server-Leaving: 1\r\n"
STREAM_ROUTE = relay_fixtures.make_route(
    kind=routeconfig.STREAM, resumable=True, timeout_s=3.0
)


def make_endpoint(**changes):
    values = {
        "id": "a",
        "born_ms": 1000,
        "sequence": 1,
        "upstream": "ops",
        "address": "10.0.0.1:80",
        "domain": "d1",
        "version": "v1",
        "slots": 4,
        "state": directory.READY,
    }
    return directory.Endpoint(**{**values, **changes})


def state_of(endpoints, name="a"):
    return endpoints.rows[name].endpoint.state


START = ("a", 1000)


class TestStatements:
    """The decision alone: which starts of endpoints are leaving."""

    def test_a_stale_ready_announcement_does_not_undo_it(self):
        endpoints = directory.Directory()
        directory.announce(endpoints, make_endpoint(), 0.0)
        assert directory.record_leaving(endpoints, leaving.Start(*START), 1.0)
        assert state_of(endpoints) == directory.LEAVING
        directory.announce(endpoints, make_endpoint(sequence=9), 2.0)
        assert state_of(endpoints) == directory.LEAVING

    def test_a_statement_does_not_show_that_the_endpoint_is_alive(self):
        endpoints = directory.Directory()
        directory.announce(endpoints, make_endpoint(), 0.0)
        directory.record_leaving(endpoints, leaving.Start(*START), 1.0)
        assert endpoints.rows["a"].announced_at == 0.0

    def test_a_new_start_of_the_same_id_is_ready(self):
        endpoints = directory.Directory()
        directory.announce(endpoints, make_endpoint(), 0.0)
        directory.record_leaving(endpoints, leaving.Start(*START), 1.0)
        directory.announce(endpoints, make_endpoint(born_ms=2000), 2.0)
        assert state_of(endpoints) == directory.READY

    def test_another_endpoint_at_the_same_address_is_ready(self):
        endpoints = directory.Directory()
        directory.announce(endpoints, make_endpoint(), 0.0)
        directory.record_leaving(endpoints, leaving.Start(*START), 1.0)
        other = make_endpoint(id="b", born_ms=2000)
        directory.announce(endpoints, other, 2.0)
        assert state_of(endpoints, "b") == directory.READY

    def test_a_statement_of_a_former_start_changes_nothing(self):
        endpoints = directory.Directory()
        directory.announce(endpoints, make_endpoint(born_ms=2000), 0.0)
        directory.record_leaving(endpoints, leaving.Start(*START), 1.0)
        assert state_of(endpoints) == directory.READY

    def test_an_announcement_after_the_statement_is_not_ready(self):
        endpoints = directory.Directory()
        directory.record_leaving(endpoints, leaving.Start(*START), 1.0)
        directory.announce(endpoints, make_endpoint(), 2.0)
        assert state_of(endpoints) == directory.LEAVING

    def test_a_removed_endpoint_is_not_ready_when_announced_again(self):
        endpoints = directory.Directory()
        directory.announce(endpoints, make_endpoint(), 0.0)
        directory.record_leaving(endpoints, leaving.Start(*START), 1.0)
        directory.expire(endpoints, 30.0, 20.0)
        directory.expire_leaving(endpoints, 30.0)
        assert not endpoints.rows
        directory.announce(endpoints, make_endpoint(sequence=9), 31.0)
        assert state_of(endpoints) == directory.LEAVING

    def test_a_statement_is_kept_while_its_endpoint_is_known(self):
        endpoints = directory.Directory()
        directory.announce(endpoints, make_endpoint(), 0.0)
        directory.record_leaving(endpoints, leaving.Start(*START), 1.0)
        directory.expire_leaving(endpoints, 1e6)
        assert len(endpoints.leaving_starts.stated_at) == 1

    def test_a_statement_of_an_unknown_endpoint_expires(self):
        endpoints = directory.Directory()
        directory.record_leaving(endpoints, leaving.Start(*START), 1.0)
        directory.expire_leaving(endpoints, 1.0 + leaving.RETENTION_S)
        assert endpoints.leaving_starts.stated_at
        directory.expire_leaving(endpoints, 1.1 + leaving.RETENTION_S)
        assert not endpoints.leaving_starts.stated_at

    def test_the_number_of_statements_is_bounded(self):
        starts = leaving.LeavingStarts()
        for number in range(leaving.MAX_STARTS + 10):
            starts.record(leaving.Start("a", number), 1.0)
        assert len(starts.stated_at) == leaving.MAX_STARTS
        assert leaving.Start("a", leaving.MAX_STARTS + 9) in starts.stated_at

    def test_the_clock_of_the_receiver_is_used(self):
        starts = leaving.LeavingStarts()
        starts.record(leaving.Start(*START), 10.0)
        received = leaving.from_json(starts.to_json(now=13.0), now=50.0)
        assert received == {leaving.Start(*START): 47.0}

    def test_a_statement_that_returns_from_control_gets_no_younger(self):
        starts = leaving.LeavingStarts()
        assert starts.record(leaving.Start(*START), 10.0)
        assert not starts.record(leaving.Start(*START), 11.0)
        assert starts.stated_at == {leaving.Start(*START): 10.0}


class TestDecoding:
    def test_an_answer_without_the_header_states_nothing(self):
        reply = headers.interpret_response(200, [])
        assert (reply.states_leaving, reply.invalid_leaving) == (False, None)

    @pytest.mark.parametrize("status", [200, 421, 429, 500, 503])
    def test_an_answer_of_any_status_states_it(self, status):
        reply = headers.interpret_response(status, [(b"server-leaving", b"1")])
        assert (reply.states_leaving, reply.invalid_leaving) == (True, None)

    @pytest.mark.parametrize(
        "values",
        [
            [b""],
            [b"0"],
            [b"-1"],
            [b"2"],
            [b"1.0"],
            [b"01"],
            [b"yes"],
            [b"\xff\x00"],
            [b"1" * 5000],
            [b"1", b"1"],
            [b"1", b"0"],
            [b"1, 1"],
        ],
        ids=[
            "empty",
            "zero",
            "negative",
            "two",
            "fraction",
            "leading zero",
            "word",
            "no text",
            "huge",
            "twice",
            "contradiction",
            "list",
        ],
    )
    def test_another_value_states_nothing_and_is_kept_for_the_log(self, values):
        reply = headers.interpret_response(
            200, [(b"server-leaving", value) for value in values]
        )
        assert not reply.states_leaving
        assert reply.invalid_leaving is not None
        assert len(reply.invalid_leaving) <= headers.MAX_LOGGED_BYTES


@pytest.fixture
def recorded(monkeypatch):
    """Events that were recorded, with their fields."""
    lines = []
    monkeypatch.setattr(
        events, "record", lambda event, *fields: lines.append((event, *fields))
    )
    return lines


def make_relay(*routes):
    relay = relay_fixtures.make_relay(relay_fixtures.make_config(*routes))
    relay.started_at -= 60.0
    return relay


async def start_endpoints(relay, *endpoints):
    for endpoint in endpoints:
        await endpoint.start(relay)
    return endpoints


async def relay_once(relay, **changes):
    request = relay_fixtures.make_request(relay, **changes)
    caller = relay_fixtures.RecordingCaller()
    await relaying.relay_request(
        relay, request, caller.make_delivery(relay, request)
    )
    return caller


def answer(status="200 OK", extra=STATEMENT):
    return relay_fixtures.send_answer(status=status, extra=extra)


class TestEntry:
    """What an entry does from the head of the answer on, without control."""

    @pytest.mark.parametrize(
        "status",
        ["200 OK", "404 No", "421 No", "429 No", "500 No", "503 No"],
    )
    async def test_the_next_request_goes_elsewhere(self, status):
        relay = make_relay()
        (told,) = await start_endpoints(
            relay, relay_fixtures.ScriptedEndpoint(answer(status))
        )
        await relay_once(relay)
        assert len(told.request_heads) == 1
        (other,) = await start_endpoints(
            relay, relay_fixtures.ScriptedEndpoint(name="e2")
        )
        for _ in range(20):
            assert (await relay_once(relay)).status == 200
        assert len(told.request_heads) == 1
        assert len(other.request_heads) == 20
        told.stop()
        other.stop()

    async def test_a_refusal_with_the_statement_is_sent_elsewhere(self):
        relay = make_relay()
        refusal = answer("503 No", f"X-Not-Executed: 1\r\n{STATEMENT}")
        told, other = await start_endpoints(
            relay,
            relay_fixtures.ScriptedEndpoint(refusal),
            relay_fixtures.ScriptedEndpoint(name="e2"),
        )
        relay.suspect_until["e2"] = relay.now() + 60.0
        assert (await relay_once(relay)).status == 200
        assert len(told.request_heads) == 1
        assert len(other.request_heads) == 1
        told.stop()
        other.stop()

    async def test_it_counts_before_the_body_has_arrived(self):
        relay = make_relay()
        body_may_end = asyncio.Event()

        async def slow_answer(head, writer):
            writer.write(
                b"HTTP/1.1 200 OK\r\nX-Attempt-Id: attempt-1\r\n"
                b"Server-Leaving: 1\r\nContent-Length: 2\r\n\r\no"
            )
            await body_may_end.wait()
            writer.write(b"k")

        (told,) = await start_endpoints(
            relay, relay_fixtures.ScriptedEndpoint(slow_answer)
        )
        task = asyncio.ensure_future(relay_once(relay))
        async with asyncio.timeout(0.5):
            while state_of(relay.directory, "e1") == directory.READY:
                await asyncio.sleep(0.01)
        refused = await relay_once(relay)
        assert refused.status == 503
        body_may_end.set()
        assert ((await task).status, (await task).data) == (200, b"ok")
        assert len(told.request_heads) == 1
        told.stop()

    async def test_a_stream_ends_in_peace(self):
        relay = make_relay(STREAM_ROUTE)
        (told,) = await start_endpoints(
            relay, relay_fixtures.ScriptedEndpoint(leaving_stream(3))
        )
        caller = await relay_once(relay)
        assert caller.complete
        assert caller.data.count(b"id: ") == 3
        assert state_of(relay.directory, "e1") == directory.LEAVING
        assert not relay.pool.idle.get(address_of(relay, "e1"))
        told.stop()

    async def test_a_stream_that_breaks_goes_on_elsewhere(self):
        relay = make_relay(STREAM_ROUTE)
        rest = relay_fixtures.send_stream((3, "c"), (4, "d"))
        told, other = await start_endpoints(
            relay,
            relay_fixtures.ScriptedEndpoint(leaving_stream(2, breaks=True)),
            relay_fixtures.ScriptedEndpoint(rest, name="e2"),
        )
        relay.suspect_until["e2"] = relay.now() + 60.0
        caller = await relay_once(relay)
        assert caller.complete
        assert caller.data.count(b"id: ") == 4
        assert "last-event-id: 2" in other.request_heads[0].lower()
        told.stop()
        other.stop()

    async def test_an_answer_to_another_request_counts(self):
        relay = make_relay()

        async def late_answer_first(head, writer):
            late = relay_fixtures.send_answer(echo="former", extra=STATEMENT)
            await late(head, writer)
            await relay_fixtures.send_answer()(head, writer)

        (told,) = await start_endpoints(
            relay, relay_fixtures.ScriptedEndpoint(late_answer_first)
        )
        assert (await relay_once(relay)).status == 200
        assert state_of(relay.directory, "e1") == directory.LEAVING
        told.stop()

    async def test_an_answer_of_the_endpoint_now_at_the_address_counts_for_it(
        self,
    ):
        relay = make_relay()
        (told,) = await start_endpoints(
            relay, relay_fixtures.ScriptedEndpoint(answer("421 No"), born_ms=9)
        )
        successor = other_row(relay, "e1")._replace(id="e2", born_ms=10)

        async def announce_successor(head, writer):
            directory.announce(relay.directory, successor, relay.now())
            await answer("421 No")(head, writer)

        told.steps = [announce_successor]
        await relay_once(relay)
        assert state_of(relay.directory, "e2") == directory.LEAVING
        told.stop()

    async def test_idle_connections_are_closed(self):
        relay = make_relay()
        (told,) = await start_endpoints(
            relay,
            relay_fixtures.ScriptedEndpoint(
                relay_fixtures.send_answer(), answer()
            ),
        )
        await relay_once(relay)
        address = address_of(relay, "e1")
        first = relay.pool.idle[address][0]
        spare = await relay.pool.open(address)
        relay.pool.release(spare)
        await relay_once(relay)
        assert not relay.pool.idle.get(address)
        assert spare.transport.is_closing()
        assert first.transport.is_closing()
        told.stop()

    async def test_a_request_that_waited_for_a_connection_is_not_sent(self):
        relay = make_relay()
        told, other = await start_endpoints(
            relay,
            relay_fixtures.ScriptedEndpoint(),
            relay_fixtures.ScriptedEndpoint(name="e2"),
        )
        relay.suspect_until["e2"] = relay.now() + 60.0
        open_connection = relay.pool.open
        address = address_of(relay, "e1")

        async def open_late(to_address):
            if to_address == address:
                directory.record_leaving(
                    relay.directory, leaving.Start("e1", 1), relay.now()
                )
            return await open_connection(to_address)

        relay.pool.open = open_late
        assert (await relay_once(relay)).status == 200
        assert not told.request_heads
        assert len(other.request_heads) == 1
        assert relay.retry_window("ops").try_acquire(relay.now(), 1)
        told.stop()
        other.stop()

    async def test_the_statement_is_logged_with_the_request(self, recorded):
        relay = make_relay()
        (told,) = await start_endpoints(
            relay, relay_fixtures.ScriptedEndpoint(answer())
        )
        await relay_once(relay)
        line = (events.Event.ENDPOINT_LEAVING, "e1", 1, "attempt-1")
        assert recorded.count(line) == 1
        counters = relay.metrics.counters
        assert counters["endpoints_leaving", 'source="answer"'] == 1
        told.stop()

    async def test_an_invalid_value_is_logged_once_and_changes_nothing(
        self, recorded
    ):
        relay = make_relay()
        steps = [answer(extra=f"Server-Leaving: {n}\r\n") for n in (-1, "x", 2)]
        (endpoint,) = await start_endpoints(
            relay, relay_fixtures.ScriptedEndpoint(*steps)
        )
        for _ in range(3):
            assert (await relay_once(relay)).status == 200
        lines = [
            fields
            for event, *fields in recorded
            if event is events.Event.ENDPOINT_LEAVING_INVALID
        ]
        assert lines == [["e1", 1, "-1"]]
        assert state_of(relay.directory, "e1") == directory.READY
        endpoint.stop()


class TestWithOtherRules:
    async def test_a_request_that_waited_for_a_permit_is_not_sent(self):
        relay = make_relay()
        limit = relay_fixtures.send_answer(extra="Server-Limit: 50\r\n")
        told, other = await start_endpoints(
            relay,
            relay_fixtures.ScriptedEndpoint(limit),
            relay_fixtures.ScriptedEndpoint(name="e2"),
        )
        relay.suspect_until["e2"] = relay.now() + 60.0
        assert (await relay_once(relay)).status == 200

        async def grant_late(endpoint, *_):
            directory.record_leaving(
                relay.directory, directory.start_of(endpoint), relay.now()
            )
            granted = permits.Granted(wait_s=0.0)
            return permit_client.LeaderDecision("c", granted, 1)

        relay.permits.ask_leader = grant_late
        assert (await relay_once(relay)).status == 200
        assert len(told.request_heads) == 1
        assert len(other.request_heads) == 1
        told.stop()
        other.stop()

    async def test_an_old_version_that_leaves_is_replaced_by_its_rest(self):
        relay = make_relay()
        relay.rollouts["ops"] = ["v2", "growing", 100, 1, 1]
        told, rest = await start_endpoints(
            relay,
            relay_fixtures.ScriptedEndpoint(answer()),
            relay_fixtures.ScriptedEndpoint(name="e2"),
        )
        relay.suspect_until["e2"] = relay.now() + 60.0
        statuses = [(await relay_once(relay)).status for _ in range(10)]
        assert statuses == [200] * 10
        assert len(told.request_heads) == 1
        assert len(rest.request_heads) == 9
        told.stop()
        rest.stop()

    async def test_shared_parts_are_placed_elsewhere(self):
        relay = make_relay()
        prompt = requests.Prompt(
            "m", 1000, 10, (requests.Part("s", 900), requests.Part("u", 100))
        )
        endpoints = await start_endpoints(
            relay,
            relay_fixtures.ScriptedEndpoint(answer()),
            relay_fixtures.ScriptedEndpoint(answer(), name="e2"),
            relay_fixtures.ScriptedEndpoint(name="e3"),
        )
        relay.suspect_until["e3"] = relay.now() + 60.0
        for _ in range(10):
            caller = await relay_once(relay, prompt=prompt)
            assert caller.status == 200
        arrived = [len(endpoint.request_heads) for endpoint in endpoints]
        assert arrived == [1, 1, 8]
        for endpoint in endpoints:
            endpoint.stop()

    async def test_a_request_that_may_not_run_twice_is_sent_once(self):
        route = relay_fixtures.make_route(kind=routeconfig.ONCE, max_attempts=1)
        relay = make_relay(route)
        told, other = await start_endpoints(
            relay,
            relay_fixtures.ScriptedEndpoint(answer("500 No")),
            relay_fixtures.ScriptedEndpoint(name="e2"),
        )
        relay.suspect_until["e2"] = relay.now() + 60.0
        assert (await relay_once(relay)).status == 500
        assert not other.request_heads
        told.stop()
        other.stop()


def other_row(relay, name):
    return relay.directory.rows[name].endpoint


def address_of(relay, name):
    return other_row(relay, name).address


def leaving_stream(count, *, breaks=False):
    """Returns a step that streams events after a head with the statement."""

    async def step(head, writer):
        writer.write(
            b"HTTP/1.1 200 OK\r\nX-Attempt-Id: attempt-1\r\n"
            b"Server-Leaving: 1\r\nContent-Type: text/event-stream\r\n"
            b"Transfer-Encoding: chunked\r\n\r\n"
        )
        for number in range(1, count + 1):
            data = f"id: {number}\ndata: x\n\n".encode()
            writer.write(b"%x\r\n%b\r\n" % (len(data), data))
            await writer.drain()
            await asyncio.sleep(0.01)
        if breaks:
            writer.transport.abort()
            return
        writer.write(b"0\r\n\r\n")
        await writer.drain()

    return step


class TestRefusal:
    async def test_all_endpoints_leave_and_the_refusal_says_so(self):
        relay = make_relay()
        endpoints = await start_endpoints(
            relay,
            relay_fixtures.ScriptedEndpoint(answer()),
            relay_fixtures.ScriptedEndpoint(answer(), name="e2"),
        )
        for _ in range(2):
            assert (await relay_once(relay)).status == 200
        started_at = relay.now()
        refused = await relay_once(relay)
        assert refused.status == 503
        assert b"all 2 endpoints are leaving" in refused.data
        assert relay.now() - started_at < 0.1
        assert b"retry-after" in dict(refused.headers)
        for endpoint in endpoints:
            assert len(endpoint.request_heads) == 1
            endpoint.stop()

    async def test_the_old_version_leaves_and_the_refusal_says_so(self):
        relay = make_relay()
        relay.rollouts["ops"] = ["v2", "growing", 0, 1, 1]
        told, new = await start_endpoints(
            relay,
            relay_fixtures.ScriptedEndpoint(answer()),
            relay_fixtures.ScriptedEndpoint(name="e2", version="v2"),
        )
        assert (await relay_once(relay)).status == 200
        refused = await relay_once(relay)
        assert refused.status == 503
        assert b"all 1 endpoints of the version are leaving" in refused.data
        assert not new.request_heads
        told.stop()
        new.stop()

    async def test_an_entry_that_has_just_started_does_not_wait_either(self):
        relay = make_relay()
        relay.started_at = relay.now()
        (told,) = await start_endpoints(
            relay, relay_fixtures.ScriptedEndpoint(answer())
        )
        await relay_once(relay)
        started_at = relay.now()
        assert (await relay_once(relay)).status == 503
        assert relay.now() - started_at < 0.1
        told.stop()


def forward_to(discovery, *addresses):
    """Adds members; returns the messages that they are sent."""
    messages = []
    discovery.member_addresses = lambda: [discovery.member.address, *addresses]
    discovery.member.link_to = lambda address: types.SimpleNamespace(
        send_oneway=lambda message: messages.append((address, message))
    )
    return messages


class TestControl:
    """What entries tell each other through control."""

    def make_watcher(self):
        relay = make_relay()
        watcher = control_watch.ControlWatcher(
            relay=relay, seeds=[], listen_address="127.0.0.1:1"
        )
        feed = control_watch.ControlFeed(address="127.0.0.1:2", now=relay.now())
        watcher.feeds[feed.address] = feed
        return watcher, feed

    async def test_an_entry_reports_statements_until_they_expire(self):
        watcher, _ = self.make_watcher()
        relay = watcher.relay
        directory.record_leaving(
            relay.directory, leaving.Start("e9", 5), relay.now() - 10.0
        )
        ((name, born_ms, age_s),) = watcher._report()["leaving"]
        assert (name, born_ms, round(age_s)) == ("e9", 5, 10)
        later = relay.now() + leaving.RETENTION_S
        relay.now = lambda: later
        watcher.feeds.clear()
        watcher.tick()
        assert watcher._report()["leaving"] == []

    async def test_control_tells_the_waiting_entries_and_members(self):
        components = test_duties.make_components()
        discovery = components.discovery
        forwarded = forward_to(discovery, "127.0.0.1:9")
        discovery.apply_announcement(test_crashes.make_endpoint("a"))
        first = await discovery.watch(test_duties.watch(discovery, "e2"))
        waiting = asyncio.ensure_future(
            discovery.watch(
                test_duties.watch(discovery, "e2", version=first.version)
            )
        )
        await asyncio.sleep(0)
        born_ms = discovery.directory.rows["a"].endpoint.born_ms
        statements = [["a", born_ms, 0.5]]
        discovery._record_watch(
            test_duties.watch(discovery, "e1", leaving=statements), 0
        )
        reply = await asyncio.wait_for(waiting, 0.2)
        (sent,) = compressed_json.decode(reply.news)["endpoints"]
        assert directory.from_json(sent).state == directory.LEAVING
        ((address, message),) = forwarded
        assert address == "127.0.0.1:9"
        announced = directory.from_json(json.loads(message.announcements[0]))
        assert (announced.id, announced.state) == ("a", directory.LEAVING)

    @pytest.mark.parametrize("known_born_ms", [None, 1])
    def test_a_deregistration_goes_before_a_late_heartbeat(self, known_born_ms):
        receiver = test_duties.make_components().discovery
        member = test_duties.make_components().discovery
        forwarded = forward_to(receiver, "127.0.0.1:9")
        if known_born_ms is not None:
            former = test_crashes.make_endpoint("a", born_ms=known_born_ms)
            receiver.apply_announcement(former)
        assert receiver.announce(receiver.make_gone("a", 5))
        ((_, message),) = forwarded
        told = directory.from_json(json.loads(message.announcements[0]))
        member.apply_announcement(told)
        late = test_crashes.make_endpoint("a", born_ms=5, sequence=2)
        for discovery in (receiver, member):
            discovery.apply_announcement(late)
            assert state_of(discovery.directory) == directory.GONE
            restarted = late._replace(born_ms=6)
            discovery.apply_announcement(restarted)
            assert state_of(discovery.directory) == directory.READY

    def test_a_deregistration_without_a_start_ends_those_until_now(self):
        receiver = test_duties.make_components().discovery
        member = test_duties.make_components().discovery
        forwarded = forward_to(receiver, "127.0.0.1:9")
        receiver.wall = lambda: 0.010
        assert receiver.announce(receiver.make_gone("a", None))
        ((_, message),) = forwarded
        told = directory.from_json(json.loads(message.announcements[0]))
        member.apply_announcement(told)
        late = test_crashes.make_endpoint("a", born_ms=9, sequence=2)
        for discovery in (receiver, member):
            discovery.apply_announcement(late)
            assert state_of(discovery.directory) == directory.GONE
            discovery.apply_announcement(late._replace(born_ms=11))
            assert state_of(discovery.directory) == directory.READY

    def test_several_unknown_endpoints_deregister(self):
        discovery = test_duties.make_components().discovery
        for name, born_ms in (("a", 7), ("b", 5), ("c", 6)):
            assert discovery.announce(discovery.make_gone(name, born_ms))
            late = test_crashes.make_endpoint(name, born_ms=born_ms)
            discovery.apply_announcement(late)
        states = [r.endpoint.state for r in discovery.directory.rows.values()]
        assert states == 3 * [directory.GONE]

    def test_control_applies_a_statement_to_a_later_heartbeat(self):
        discovery = test_duties.make_components().discovery
        endpoint = test_crashes.make_endpoint("a")
        statements = [["a", endpoint.born_ms, 0.5]]
        discovery._record_watch(
            test_duties.watch(discovery, leaving=statements), 0
        )
        discovery.apply_announcement(endpoint)
        assert state_of(discovery.directory) == directory.LEAVING

    def test_control_forgets_statements_in_time(self):
        components = test_duties.make_components()
        discovery = components.discovery
        discovery._record_watch(
            test_duties.watch(discovery, leaving=[["a", 1, 0.0]]), 0
        )
        components.member.time += leaving.RETENTION_S + 1.0
        discovery.remove_expired()
        assert not discovery.directory.leaving_starts.stated_at

    async def test_a_drain_after_a_statement_is_acknowledged_once_entries_know(
        self,
    ):
        discovery = test_duties.make_components().discovery
        discovery.now = asyncio.get_running_loop().time
        endpoint = test_crashes.make_endpoint("a")
        discovery.apply_announcement(endpoint)
        behind = test_duties.watch(discovery)
        discovery._record_watch(behind, discovery.directory.revision)
        discovery.record_leaving({directory.start_of(endpoint): 0.0}, "e1")
        discovery.apply_announcement(
            endpoint._replace(sequence=9, state=directory.LEAVING)
        )
        assert not await discovery.wait_for_entries("a")
        discovery._record_watch(behind, discovery.directory.revision)
        discovery.apply_announcement(test_crashes.make_endpoint("b"))
        assert await discovery.wait_for_entries("a")

    async def test_an_entry_learns_of_it_and_closes_its_idle_connections(
        self, recorded
    ):
        watcher, feed = self.make_watcher()
        relay = watcher.relay
        (endpoint,) = await start_endpoints(
            relay, relay_fixtures.ScriptedEndpoint()
        )
        await relay_once(relay)
        address = address_of(relay, "e1")
        assert relay.pool.idle[address]
        left = other_row(relay, "e1")._replace(state=directory.LEAVING)
        reply = test_watching.make_reply(endpoints=[left])
        watcher._apply_reply(feed, reply)
        watcher._apply_reply(feed, reply)
        assert not relay.pool.idle.get(address)
        line = (events.Event.ENDPOINT_LEAVING, "e1", 1, feed.address)
        assert recorded.count(line) == 1
        assert (await relay_once(relay)).status == 503
        endpoint.stop()
