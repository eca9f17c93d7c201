"""Requests through the relay, against endpoints that misbehave."""

import asyncio

import pytest
import relays

from _arbutuswalk.relay import attempts
from _arbutuswalk.relay import relaying
from _arbutuswalk.routing import directory
from _arbutuswalk.state import routeconfig
from _arbutuswalk.streams import connection

ONCE = relays.make_route(kind=routeconfig.ONCE, max_attempts=1)
STREAM = relays.make_route(
    kind=routeconfig.STREAM, resumable=True, timeout_s=3.0
)
FINAL_STREAM = relays.make_route(
    kind=routeconfig.STREAM, resumable=False, max_attempts=1, timeout_s=3.0
)
NOT_RUN = "X-Not-Executed: 1\r\n"


async def run(relay, *endpoints, **changes):
    started = [await each.start(relay) for each in endpoints]
    caller = relays.Caller()
    request = relays.make_request(relay, **changes)
    to_caller = caller.deliver(relay, request)
    await relaying.relay_request(relay, request, to_caller)
    for each in started:
        each.stop()
    relay.pool.close()
    return caller


class TestAnswers:
    async def test_an_answer_is_passed_on_unchanged(self):
        relay = relays.make_relay()
        endpoint = relays.Endpoint(relays.answer(b"bytes \x00\xff"))
        caller = await run(relay, endpoint)
        assert (caller.status, caller.data) == (200, b"bytes \x00\xff")
        assert (b"x-server-signature", b"s") in caller.headers
        assert caller.complete

    async def test_the_endpoint_gets_what_the_caller_sent(self):
        relay = relays.make_relay()
        endpoint = relays.Endpoint()
        await run(relay, endpoint)
        head = endpoint.heads[0]
        assert head.startswith("POST /a/x?y=1 HTTP/1.1\r\n")
        assert "x-expected-instance: e1" in head
        assert "x-tenant: w" in head
        assert endpoint.bodies == [b"body"]

    async def test_the_time_left_is_passed_on_and_never_more(self):
        relay = relays.make_relay()
        endpoint = relays.Endpoint()
        now = relay.now()
        await run(relay, endpoint, came_at=now - 0.5, deadline=now + 0.5)
        line = next(
            line
            for line in endpoint.heads[0].split("\r\n")
            if line.startswith("x-deadline-ms")
        )
        assert 300 < int(line.partition(":")[2]) <= 500

    async def test_an_answer_larger_than_what_may_wait_comes_whole(self):
        """Reading pauses for slow callers only, not before they get a byte."""
        body = b"x" * (4 * connection.MAX_BUFFERED_BYTES)
        relay = relays.make_relay()
        caller = await run(relay, relays.Endpoint(relays.answer(body)))
        assert (caller.status, caller.data) == (200, body)

    async def test_an_answer_larger_than_may_be_held_is_none(self, monkeypatch):
        monkeypatch.setattr(attempts, "MAX_WHOLE_BYTES", 1000)
        relay = relays.make_relay()
        endpoints = [relays.Endpoint(relays.answer(b"x" * 1001))]
        caller = await run(relay, *endpoints, route=ONCE)
        assert caller.status == 502

    async def test_an_answer_without_length_ends_with_its_connection(self):
        relay = relays.make_relay()
        unframed = b"HTTP/1.1 200 OK\r\nX-Attempt-Id: attempt-1\r\n\r\nrest"
        caller = await run(
            relay, relays.Endpoint(relays.raw(unframed, close=True))
        )
        assert (caller.status, caller.data) == (200, b"rest")

    async def test_one_without_length_that_is_reset_is_not_complete(self):
        relay = relays.make_relay(relays.make_config(ONCE))
        unframed = b"HTTP/1.1 200 OK\r\nX-Attempt-Id: attempt-1\r\n\r\nrest"
        caller = await run(
            relay,
            relays.Endpoint(relays.raw(unframed, reset=True, wait_s=0.05)),
        )
        assert caller.status == 502

    async def test_a_late_answer_to_another_request_is_skipped(self):
        relay = relays.make_relay(relays.make_config(ONCE))
        wrong = (
            b"HTTP/1.1 200 OK\r\nX-Attempt-Id: other\r\n"
            b"Content-Length: 5\r\n\r\nwrong"
        )
        right = (
            b"HTTP/1.1 200 OK\r\nX-Attempt-Id: attempt-1\r\n"
            b"Content-Length: 5\r\n\r\nright"
        )
        endpoint = relays.Endpoint(relays.raw(wrong + right))
        caller = await run(relay, endpoint)
        assert (caller.status, caller.data) == (200, b"right")
        assert not relay.pool.idle

    async def test_bytes_after_an_answer_make_the_connection_unusable(self):
        relay = relays.make_relay()
        twice = relays.raw(
            b"HTTP/1.1 200 OK\r\nX-Attempt-Id: attempt-1\r\n"
            b"Content-Length: 2\r\n\r\nokHTTP/1.1 200 OK\r\n"
            b"X-Attempt-Id: attempt-1\r\nContent-Length: 5\r\n\r\nagain"
        )
        endpoint = await relays.Endpoint(twice, relays.answer()).start(relay)
        for expected in (b"ok", b"ok"):
            caller = relays.Caller()
            request = relays.make_request(relay)
            await relaying.relay_request(
                relay, request, caller.deliver(relay, request)
            )
            assert caller.data == expected
        assert endpoint.connections == 2
        endpoint.stop()

    async def test_a_clean_connection_is_used_again(self):
        relay = relays.make_relay()
        endpoint = await relays.Endpoint().start(relay)
        for _ in range(3):
            request = relays.make_request(relay)
            await relaying.relay_request(
                relay, request, relays.Caller().deliver(relay, request)
            )
        assert endpoint.connections == 1
        endpoint.stop()


class TestRepeatable:
    @pytest.mark.parametrize(
        "broken",
        [
            relays.raw(b"", reset=True),
            relays.raw(b"garbage\r\n\r\n", close=True),
            relays.raw(
                b"HTTP/1.1 200 OK\r\nContent-Length: 9\r\n\r\ncut", close=True
            ),
            relays.answer(status="500 Bad"),
        ],
        ids=["reset", "garbage", "cut", "failure"],
    )
    async def test_it_is_sent_once_more_to_another_endpoint(self, broken):
        relay = relays.make_relay()
        first = relays.Endpoint(broken, name="e1")
        second = relays.Endpoint(broken, name="e2")
        third = relays.Endpoint(name="e3")
        first.steps = second.steps = third.steps = [broken]
        caller = await run(relay, first, second, third)
        assert caller.status == 200
        arrivals = [*first.heads, *second.heads, *third.heads]
        assert len(arrivals) == 2

    async def test_it_runs_on_no_more_endpoints_than_its_route_allows(self):
        relay = relays.make_relay()
        steps = [relays.raw(b"", reset=True) for _ in range(9)]
        endpoints = [relays.Endpoint(name=f"e{i}") for i in range(4)]
        for endpoint in endpoints:
            endpoint.steps = steps
        caller = await run(relay, *endpoints)
        assert caller.status == 502
        assert sum(len(each.heads) for each in endpoints) == 2

    async def test_the_upstreams_own_failure_is_the_answer_in_the_end(self):
        relay = relays.make_relay()
        failing = relays.answer(b"no", status="500 Bad")
        caller = await run(
            relay,
            relays.Endpoint(failing, name="e1"),
            relays.Endpoint(failing, name="e2"),
        )
        assert (caller.status, caller.data) == (500, b"no")
        assert (b"x-server-signature", b"s") in caller.headers

    async def test_no_room_for_retries_means_no_second_endpoint(self):
        relay = relays.make_relay(retry_ratio=0.0, retry_extra=0.0)
        first = relays.Endpoint(name="e1")
        second = relays.Endpoint(name="e2")
        first.steps = second.steps = [relays.raw(b"", reset=True)]
        caller = await run(relay, first, second)
        assert caller.status == 502
        assert len(first.heads) + len(second.heads) == 1


class TestOnce:
    @pytest.mark.parametrize(
        "broken",
        [
            relays.raw(b"", reset=True),
            relays.raw(b"", close=True),
            relays.raw(b"garbage\r\n\r\n", close=True),
            relays.raw(
                b"HTTP/1.1 200 OK\r\nContent-Length: 9\r\n\r\ncut", close=True
            ),
        ],
        ids=["reset", "closed", "garbage", "cut"],
    )
    async def test_an_unclear_outcome_is_never_sent_again(self, broken):
        relay = relays.make_relay(relays.make_config(ONCE))
        first = relays.Endpoint(name="e1")
        second = relays.Endpoint(name="e2")
        first.steps = second.steps = [broken]
        caller = await run(relay, first, second)
        assert caller.status == 502
        assert len(first.heads) + len(second.heads) == 1

    async def test_one_that_has_not_run_goes_to_another_endpoint(self):
        relay = relays.make_relay(relays.make_config(ONCE))
        full = relays.answer(status="503 Full", extra=NOT_RUN)
        first = relays.Endpoint(name="e1")
        second = relays.Endpoint(name="e2")
        first.steps = second.steps = [full]
        caller = await run(relay, first, second)
        assert caller.status == 200

    async def test_one_that_nobody_ran_is_refused_with_a_time_to_return(self):
        relay = relays.make_relay(relays.make_config(ONCE))
        full = relays.answer(status="503 Full", extra=NOT_RUN)
        caller = await run(relay, relays.Endpoint(full))
        assert caller.status == 503
        assert any(name == b"retry-after" for name, _ in caller.headers)
        assert not any(n == b"x-server-signature" for n, _ in caller.headers)

    async def test_the_address_of_another_endpoint_has_not_run_it(self):
        relay = relays.make_relay(relays.make_config(ONCE))
        other = relays.answer(status="421 Misdirected")
        caller = await run(relay, relays.Endpoint(other))
        assert caller.status == 503

    async def test_silence_until_the_deadline_promises_nothing(self):
        route = ONCE._replace(timeout_s=0.2)
        relay = relays.make_relay(relays.make_config(route))
        caller = await run(relay, relays.Endpoint(relays.silent()))
        assert caller.status == 504

    async def test_no_endpoint_means_a_refusal_at_once(self):
        relay = relays.make_relay(relays.make_config(ONCE))
        relay.started_at -= 60
        caller = await run(relay)
        assert caller.status == 503
        assert not await relay.learn(lambda: False)

    async def test_a_new_process_waits_for_its_first_endpoint(self):
        relay = relays.make_relay(relays.make_config(ONCE))
        endpoint = relays.Endpoint()
        caller = relays.Caller()
        request = relays.make_request(relay)
        task = asyncio.ensure_future(
            relaying.relay_request(
                relay, request, caller.deliver(relay, request)
            )
        )
        await asyncio.sleep(0.05)
        await endpoint.start(relay)
        relay.tell()
        await task
        assert caller.status == 200
        endpoint.stop()


class TestStreams:
    async def test_events_are_passed_on_whole(self):
        relay = relays.make_relay(relays.make_config(STREAM))
        caller = await run(
            relay, relays.Endpoint(relays.stream((1, "a"), (2, "b")))
        )
        assert caller.data == b"id: 1\ndata: a\n\nid: 2\ndata: b\n\n"
        assert caller.complete

    async def test_a_broken_stream_goes_on_after_the_last_whole_event(self):
        relay = relays.make_relay(relays.make_config(STREAM))
        broken = relays.stream(
            (1, "a"), (2, "b"), end=False, close=True, extra="id: 3\nda"
        )
        rest = relays.stream((3, "c"), (4, "d"))
        first = relays.Endpoint(name="e1")
        second = relays.Endpoint(name="e2")
        first.steps = second.steps = [broken, rest]
        caller = await run(relay, first, second)
        ids = [
            line
            for line in caller.data.decode().split("\n")
            if line.startswith("id:")
        ]
        assert ids == ["id: 1", "id: 2", "id: 3", "id: 4"]
        assert caller.complete
        heads = first.heads + second.heads
        resumed = [head for head in heads if "last-event-id: 2" in head]
        assert len(resumed) == 1

    async def test_events_that_come_twice_are_left_out(self):
        relay = relays.make_relay(relays.make_config(STREAM))
        first = relays.Endpoint(name="e1")
        second = relays.Endpoint(name="e2")
        first.steps = second.steps = [
            relays.stream((1, "a"), (2, "b"), end=False, close=True),
            relays.stream((2, "b"), (3, "c")),
        ]
        caller = await run(relay, first, second)
        assert caller.data.count(b"id: 2\n") == 1

    async def test_a_final_stream_that_breaks_does_not_look_complete(self):
        relay = relays.make_relay(relays.make_config(FINAL_STREAM))
        first = relays.Endpoint(name="e1")
        second = relays.Endpoint(name="e2")
        first.steps = second.steps = [
            relays.stream((1, "a"), end=False, close=True)
        ]
        caller = await run(relay, first, second)
        assert caller.data == b"id: 1\ndata: a\n\n"
        assert not caller.complete
        assert len(first.heads) + len(second.heads) == 1

    async def test_a_caller_that_leaves_stops_the_endpoints_work(self):
        relay = relays.make_relay(relays.make_config(STREAM))

        async def endless(head, writer):
            await relays.stream((1, "a"), end=False)(head, writer)

        endpoint = await relays.Endpoint(endless).start(relay)
        request = relays.make_request(relay)
        to_caller = relays.Caller().deliver(relay, request)
        task = asyncio.ensure_future(
            relaying.relay_request(relay, request, to_caller)
        )
        while not to_caller.events:
            await asyncio.sleep(0.01)
        to_caller.leave()
        await asyncio.wait_for(task, 10)
        await asyncio.wait_for(endpoint.lost.wait(), 10)
        endpoint.stop()

    async def test_a_stalled_stream_is_resumed_elsewhere(self):
        relay = relays.make_relay(relays.make_config(STREAM))

        async def stalls(head, writer):
            await relays.stream((1, "a"), end=False)(head, writer)
            await asyncio.sleep(30)

        first = relays.Endpoint(name="e1")
        second = relays.Endpoint(name="e2")
        first.steps = second.steps = [stalls, relays.stream((2, "b"))]
        caller = await run(relay, first, second)
        assert caller.complete
        assert caller.data.endswith(b"id: 2\ndata: b\n\n")


class TestLeavingEndpoints:
    async def test_a_leaving_endpoint_gets_nothing_new(self):
        relay = relays.make_relay()
        relay.started_at -= 60
        leaving = relays.Endpoint(name="e1", state=directory.LEAVING)
        staying = relays.Endpoint(name="e2")
        caller = await run(relay, leaving, staying)
        assert caller.status == 200
        assert not leaving.heads

    async def test_a_refused_connection_costs_no_retry(self):
        relay = relays.make_relay(retry_ratio=0.0, retry_extra=0.0)
        gone = await relays.Endpoint(name="e1").start(relay)
        gone.stop()
        await gone.server.wait_closed()
        caller = await run(relay, relays.Endpoint(name="e2"))
        assert caller.status == 200


class TestUsage:
    async def test_a_request_that_ran_counts_for_its_workspace(self):
        relay = relays.make_relay()
        await run(relay, relays.Endpoint())
        counts = list(relay.usage.counts.values())
        assert counts == [{"w": 1}]

    async def test_one_that_did_not_run_does_not(self):
        relay = relays.make_relay(relays.make_config(ONCE))
        full = relays.answer(status="503 Full", extra=NOT_RUN)
        await run(relay, relays.Endpoint(full))
        assert not relay.usage.counts
