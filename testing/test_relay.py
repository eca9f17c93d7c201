"""Requests relayed to endpoints that answer wrongly, late or not at all."""

import asyncio

import pytest
import relay_fixtures

from _arbutuswalk.relay import answer_buffers
from _arbutuswalk.relay import relaying
from _arbutuswalk.routing import directory
from _arbutuswalk.state import routeconfig
from _arbutuswalk.streams import connection

NON_IDEMPOTENT_ROUTE = relay_fixtures.make_route(
    kind=routeconfig.ONCE, max_attempts=1
)
STREAM_ROUTE = relay_fixtures.make_route(
    kind=routeconfig.STREAM, resumable=True, timeout_s=3.0
)
NON_RESUMABLE_ROUTE = relay_fixtures.make_route(
    kind=routeconfig.STREAM, resumable=False, max_attempts=1, timeout_s=3.0
)
NOT_EXECUTED_HEADER = "X-Not-Executed: 1\r\n"


async def relay_to(relay, *endpoints, **changes):
    started = [await each.start(relay) for each in endpoints]
    caller = relay_fixtures.RecordingCaller()
    request = relay_fixtures.make_request(relay, **changes)
    caller_delivery = caller.make_delivery(relay, request)
    await relaying.relay_request(relay, request, caller_delivery)
    for each in started:
        each.stop()
    relay.pool.close()
    return caller


class TestAnswers:
    async def test_an_answer_is_passed_on_unchanged(self):
        relay = relay_fixtures.make_relay()
        endpoint = relay_fixtures.ScriptedEndpoint(
            relay_fixtures.send_answer(b"bytes \x00\xff")
        )
        caller = await relay_to(relay, endpoint)
        assert (caller.status, caller.data) == (200, b"bytes \x00\xff")
        assert (b"x-server-signature", b"s") in caller.headers
        assert caller.complete

    async def test_the_endpoint_gets_what_the_caller_sent(self):
        relay = relay_fixtures.make_relay()
        endpoint = relay_fixtures.ScriptedEndpoint()
        await relay_to(relay, endpoint)
        head = endpoint.request_heads[0]
        assert head.startswith("POST /a/x?y=1 HTTP/1.1\r\n")
        assert "x-expected-instance: e1" in head
        assert "x-tenant: w" in head
        assert endpoint.request_bodies == [b"body"]

    async def test_the_time_left_is_passed_on_and_never_more(self):
        relay = relay_fixtures.make_relay()
        endpoint = relay_fixtures.ScriptedEndpoint()
        now = relay.now()
        await relay_to(
            relay, endpoint, received_at=now - 0.5, deadline=now + 0.5
        )
        line = next(
            line
            for line in endpoint.request_heads[0].split("\r\n")
            if line.startswith("x-deadline-ms")
        )
        assert 300 < int(line.partition(":")[2]) <= 500

    async def test_an_answer_over_the_pause_limit_is_complete(self):
        """Reading pauses for slow callers only, not before the first byte."""
        body = b"x" * (4 * connection.MAX_BUFFERED_BYTES)
        relay = relay_fixtures.make_relay()
        caller = await relay_to(
            relay,
            relay_fixtures.ScriptedEndpoint(relay_fixtures.send_answer(body)),
        )
        assert (caller.status, caller.data) == (200, body)

    async def test_an_answer_over_the_buffer_limit_is_a_failure(
        self, monkeypatch
    ):
        monkeypatch.setattr(answer_buffers, "MAX_ANSWER_BYTES", 1000)
        relay = relay_fixtures.make_relay()
        endpoints = [
            relay_fixtures.ScriptedEndpoint(
                relay_fixtures.send_answer(b"x" * 1001)
            )
        ]
        caller = await relay_to(relay, *endpoints, route=NON_IDEMPOTENT_ROUTE)
        assert caller.status == 502

    async def test_an_answer_without_length_ends_with_its_connection(self):
        relay = relay_fixtures.make_relay()
        unframed = b"HTTP/1.1 200 OK\r\nX-Attempt-Id: attempt-1\r\n\r\nrest"
        caller = await relay_to(
            relay,
            relay_fixtures.ScriptedEndpoint(
                relay_fixtures.send_bytes(unframed, close=True)
            ),
        )
        assert (caller.status, caller.data) == (200, b"rest")

    async def test_an_answer_without_length_that_is_reset_is_incomplete(self):
        relay = relay_fixtures.make_relay(
            relay_fixtures.make_config(NON_IDEMPOTENT_ROUTE)
        )
        unframed = b"HTTP/1.1 200 OK\r\nX-Attempt-Id: attempt-1\r\n\r\nrest"
        caller = await relay_to(
            relay,
            relay_fixtures.ScriptedEndpoint(
                relay_fixtures.send_bytes(unframed, reset=True, wait_s=0.05)
            ),
        )
        assert caller.status == 502

    async def test_trailers_are_not_passed_on_as_headers(self):
        relay = relay_fixtures.make_relay()
        chunked = (
            b"HTTP/1.1 200 OK\r\nX-Attempt-Id: attempt-1\r\n"
            b"X-Server-Signature: s\r\nTransfer-Encoding: chunked\r\n\r\n"
            b"2\r\nok\r\n0\r\nX-Server-Signature: other\r\nX-A: b\r\n\r\n"
        )
        caller = await relay_to(
            relay,
            relay_fixtures.ScriptedEndpoint(relay_fixtures.send_bytes(chunked)),
        )
        assert (caller.status, caller.data) == (200, b"ok")
        assert caller.headers == [
            (b"x-attempt-id", b"attempt-1"),
            (b"x-server-signature", b"s"),
        ]

    async def test_a_late_answer_to_another_request_is_skipped(self):
        relay = relay_fixtures.make_relay(
            relay_fixtures.make_config(NON_IDEMPOTENT_ROUTE)
        )
        wrong = (
            b"HTTP/1.1 200 OK\r\nX-Attempt-Id: other\r\n"
            b"Content-Length: 5\r\n\r\nwrong"
        )
        right = (
            b"HTTP/1.1 200 OK\r\nX-Attempt-Id: attempt-1\r\n"
            b"Content-Length: 5\r\n\r\nright"
        )
        endpoint = relay_fixtures.ScriptedEndpoint(
            relay_fixtures.send_bytes(wrong + right)
        )
        caller = await relay_to(relay, endpoint)
        assert (caller.status, caller.data) == (200, b"right")
        assert not relay.pool.idle

    async def test_bytes_after_an_answer_make_the_connection_unusable(self):
        relay = relay_fixtures.make_relay()
        twice = relay_fixtures.send_bytes(
            b"HTTP/1.1 200 OK\r\nX-Attempt-Id: attempt-1\r\n"
            b"Content-Length: 2\r\n\r\nokHTTP/1.1 200 OK\r\n"
            b"X-Attempt-Id: attempt-1\r\nContent-Length: 5\r\n\r\nagain"
        )
        endpoint = await relay_fixtures.ScriptedEndpoint(
            twice, relay_fixtures.send_answer()
        ).start(relay)
        for expected in (b"ok", b"ok"):
            caller = relay_fixtures.RecordingCaller()
            request = relay_fixtures.make_request(relay)
            await relaying.relay_request(
                relay, request, caller.make_delivery(relay, request)
            )
            assert caller.data == expected
        assert endpoint.connection_count == 2
        endpoint.stop()

    async def test_a_clean_connection_is_reused(self):
        relay = relay_fixtures.make_relay()
        endpoint = await relay_fixtures.ScriptedEndpoint().start(relay)
        for _ in range(3):
            request = relay_fixtures.make_request(relay)
            await relaying.relay_request(
                relay,
                request,
                relay_fixtures.RecordingCaller().make_delivery(relay, request),
            )
        assert endpoint.connection_count == 1
        endpoint.stop()


class TestIdempotentRequests:
    @pytest.mark.parametrize(
        "broken",
        [
            relay_fixtures.send_bytes(b"", reset=True),
            relay_fixtures.send_bytes(b"garbage\r\n\r\n", close=True),
            relay_fixtures.send_bytes(
                b"HTTP/1.1 200 OK\r\nContent-Length: 9\r\n\r\ncut", close=True
            ),
            relay_fixtures.send_answer(status="500 Bad"),
        ],
        ids=["reset", "garbage", "cut", "failure"],
    )
    async def test_it_is_retried_once_at_another_endpoint(self, broken):
        relay = relay_fixtures.make_relay()
        first = relay_fixtures.ScriptedEndpoint(broken, name="e1")
        second = relay_fixtures.ScriptedEndpoint(broken, name="e2")
        third = relay_fixtures.ScriptedEndpoint(name="e3")
        first.steps = second.steps = third.steps = [broken]
        caller = await relay_to(relay, first, second, third)
        assert caller.status == 200
        arrivals = [
            *first.request_heads,
            *second.request_heads,
            *third.request_heads,
        ]
        assert len(arrivals) == 2

    async def test_it_runs_on_no_more_endpoints_than_its_route_allows(self):
        relay = relay_fixtures.make_relay()
        steps = [relay_fixtures.send_bytes(b"", reset=True) for _ in range(9)]
        endpoints = [
            relay_fixtures.ScriptedEndpoint(name=f"e{i}") for i in range(4)
        ]
        for endpoint in endpoints:
            endpoint.steps = steps
        caller = await relay_to(relay, *endpoints)
        assert caller.status == 502
        assert sum(len(each.request_heads) for each in endpoints) == 2

    async def test_the_upstreams_own_failure_is_the_final_answer(self):
        relay = relay_fixtures.make_relay()
        failing = relay_fixtures.send_answer(b"no", status="500 Bad")
        caller = await relay_to(
            relay,
            relay_fixtures.ScriptedEndpoint(failing, name="e1"),
            relay_fixtures.ScriptedEndpoint(failing, name="e2"),
        )
        assert (caller.status, caller.data) == (500, b"no")
        assert (b"x-server-signature", b"s") in caller.headers

    async def test_an_exhausted_retry_budget_means_no_second_endpoint(self):
        relay = relay_fixtures.make_relay(retry_ratio=0.0, retry_extra=0.0)
        first = relay_fixtures.ScriptedEndpoint(name="e1")
        second = relay_fixtures.ScriptedEndpoint(name="e2")
        first.steps = second.steps = [
            relay_fixtures.send_bytes(b"", reset=True)
        ]
        caller = await relay_to(relay, first, second)
        assert caller.status == 502
        assert len(first.request_heads) + len(second.request_heads) == 1


class TestNonIdempotentRequests:
    @pytest.mark.parametrize(
        "broken",
        [
            relay_fixtures.send_bytes(b"", reset=True),
            relay_fixtures.send_bytes(b"", close=True),
            relay_fixtures.send_bytes(b"garbage\r\n\r\n", close=True),
            relay_fixtures.send_bytes(
                b"HTTP/1.1 200 OK\r\nContent-Length: 9\r\n\r\ncut", close=True
            ),
        ],
        ids=["reset", "closed", "garbage", "cut"],
    )
    async def test_an_unclear_outcome_is_never_sent_again(self, broken):
        relay = relay_fixtures.make_relay(
            relay_fixtures.make_config(NON_IDEMPOTENT_ROUTE)
        )
        first = relay_fixtures.ScriptedEndpoint(name="e1")
        second = relay_fixtures.ScriptedEndpoint(name="e2")
        first.steps = second.steps = [broken]
        caller = await relay_to(relay, first, second)
        assert caller.status == 502
        assert len(first.request_heads) + len(second.request_heads) == 1

    async def test_a_request_that_has_not_run_is_retried_elsewhere(self):
        relay = relay_fixtures.make_relay(
            relay_fixtures.make_config(NON_IDEMPOTENT_ROUTE)
        )
        full = relay_fixtures.send_answer(
            status="503 Full", extra=NOT_EXECUTED_HEADER
        )
        first = relay_fixtures.ScriptedEndpoint(name="e1")
        second = relay_fixtures.ScriptedEndpoint(name="e2")
        first.steps = second.steps = [full]
        caller = await relay_to(relay, first, second)
        assert caller.status == 200

    async def test_a_request_that_no_endpoint_ran_is_refused_with_retry_after(
        self,
    ):
        relay = relay_fixtures.make_relay(
            relay_fixtures.make_config(NON_IDEMPOTENT_ROUTE)
        )
        full = relay_fixtures.send_answer(
            status="503 Full", extra=NOT_EXECUTED_HEADER
        )
        caller = await relay_to(relay, relay_fixtures.ScriptedEndpoint(full))
        assert caller.status == 503
        assert any(name == b"retry-after" for name, _ in caller.headers)
        assert not any(n == b"x-server-signature" for n, _ in caller.headers)

    async def test_a_misdirected_request_has_not_run(self):
        relay = relay_fixtures.make_relay(
            relay_fixtures.make_config(NON_IDEMPOTENT_ROUTE)
        )
        other = relay_fixtures.send_answer(status="421 Misdirected")
        caller = await relay_to(relay, relay_fixtures.ScriptedEndpoint(other))
        assert caller.status == 503

    async def test_silence_until_the_deadline_is_a_timeout(self):
        route = NON_IDEMPOTENT_ROUTE._replace(timeout_s=0.2)
        relay = relay_fixtures.make_relay(relay_fixtures.make_config(route))
        caller = await relay_to(
            relay, relay_fixtures.ScriptedEndpoint(relay_fixtures.stay_silent())
        )
        assert caller.status == 504

    async def test_no_endpoint_means_a_refusal_at_once(self):
        relay = relay_fixtures.make_relay(
            relay_fixtures.make_config(NON_IDEMPOTENT_ROUTE)
        )
        relay.started_at -= 60
        caller = await relay_to(relay)
        assert caller.status == 503
        assert not await relay.wait_until_known(lambda: False)

    async def test_a_new_process_waits_for_its_first_endpoint(self):
        relay = relay_fixtures.make_relay(
            relay_fixtures.make_config(NON_IDEMPOTENT_ROUTE)
        )
        endpoint = relay_fixtures.ScriptedEndpoint()
        caller = relay_fixtures.RecordingCaller()
        request = relay_fixtures.make_request(relay)
        task = asyncio.ensure_future(
            relaying.relay_request(
                relay, request, caller.make_delivery(relay, request)
            )
        )
        await asyncio.sleep(0.05)
        await endpoint.start(relay)
        relay.notify_waiters()
        await task
        assert caller.status == 200
        endpoint.stop()


class TestStreams:
    async def test_complete_events_are_forwarded(self):
        relay = relay_fixtures.make_relay(
            relay_fixtures.make_config(STREAM_ROUTE)
        )
        caller = await relay_to(
            relay,
            relay_fixtures.ScriptedEndpoint(
                relay_fixtures.send_stream((1, "a"), (2, "b"))
            ),
        )
        assert caller.data == b"id: 1\ndata: a\n\nid: 2\ndata: b\n\n"
        assert caller.complete

    async def test_a_broken_stream_resumes_after_the_last_complete_event(self):
        relay = relay_fixtures.make_relay(
            relay_fixtures.make_config(STREAM_ROUTE)
        )
        broken = relay_fixtures.send_stream(
            (1, "a"), (2, "b"), end=False, close=True, extra="id: 3\nda"
        )
        rest = relay_fixtures.send_stream((3, "c"), (4, "d"))
        first = relay_fixtures.ScriptedEndpoint(name="e1")
        second = relay_fixtures.ScriptedEndpoint(name="e2")
        first.steps = second.steps = [broken, rest]
        caller = await relay_to(relay, first, second)
        ids = [
            line
            for line in caller.data.decode().split("\n")
            if line.startswith("id:")
        ]
        assert ids == ["id: 1", "id: 2", "id: 3", "id: 4"]
        assert caller.complete
        heads = first.request_heads + second.request_heads
        resumed = [head for head in heads if "last-event-id: 2" in head]
        assert len(resumed) == 1

    async def test_duplicate_events_are_dropped(self):
        relay = relay_fixtures.make_relay(
            relay_fixtures.make_config(STREAM_ROUTE)
        )
        first = relay_fixtures.ScriptedEndpoint(name="e1")
        second = relay_fixtures.ScriptedEndpoint(name="e2")
        first.steps = second.steps = [
            relay_fixtures.send_stream(
                (1, "a"), (2, "b"), end=False, close=True
            ),
            relay_fixtures.send_stream((2, "b"), (3, "c")),
        ]
        caller = await relay_to(relay, first, second)
        assert caller.data.count(b"id: 2\n") == 1

    async def test_a_broken_non_resumable_stream_is_not_ended(self):
        relay = relay_fixtures.make_relay(
            relay_fixtures.make_config(NON_RESUMABLE_ROUTE)
        )
        first = relay_fixtures.ScriptedEndpoint(name="e1")
        second = relay_fixtures.ScriptedEndpoint(name="e2")
        first.steps = second.steps = [
            relay_fixtures.send_stream((1, "a"), end=False, close=True)
        ]
        caller = await relay_to(relay, first, second)
        assert caller.data == b"id: 1\ndata: a\n\n"
        assert not caller.complete
        assert len(first.request_heads) + len(second.request_heads) == 1

    async def test_a_caller_that_leaves_cancels_the_endpoints_request(self):
        relay = relay_fixtures.make_relay(
            relay_fixtures.make_config(STREAM_ROUTE)
        )

        async def endless(head, writer):
            await relay_fixtures.send_stream((1, "a"), end=False)(head, writer)

        endpoint = await relay_fixtures.ScriptedEndpoint(endless).start(relay)
        request = relay_fixtures.make_request(relay)
        caller_delivery = relay_fixtures.RecordingCaller().make_delivery(
            relay, request
        )
        task = asyncio.ensure_future(
            relaying.relay_request(relay, request, caller_delivery)
        )
        while not caller_delivery.event_count:
            await asyncio.sleep(0.01)
        caller_delivery.mark_caller_left()
        await asyncio.wait_for(task, 10)
        await asyncio.wait_for(endpoint.connection_lost.wait(), 10)
        endpoint.stop()

    async def test_a_stalled_stream_is_resumed_elsewhere(self):
        relay = relay_fixtures.make_relay(
            relay_fixtures.make_config(STREAM_ROUTE)
        )

        async def stalls(head, writer):
            await relay_fixtures.send_stream((1, "a"), end=False)(head, writer)
            await asyncio.sleep(30)

        first = relay_fixtures.ScriptedEndpoint(name="e1")
        second = relay_fixtures.ScriptedEndpoint(name="e2")
        first.steps = second.steps = [
            stalls,
            relay_fixtures.send_stream((2, "b")),
        ]
        caller = await relay_to(relay, first, second)
        assert caller.complete
        assert caller.data.endswith(b"id: 2\ndata: b\n\n")


class TestLeavingEndpoints:
    async def test_a_leaving_endpoint_gets_no_new_requests(self):
        relay = relay_fixtures.make_relay()
        relay.started_at -= 60
        leaving = relay_fixtures.ScriptedEndpoint(
            name="e1", state=directory.LEAVING
        )
        staying = relay_fixtures.ScriptedEndpoint(name="e2")
        caller = await relay_to(relay, leaving, staying)
        assert caller.status == 200
        assert not leaving.request_heads

    async def test_a_refused_connection_costs_no_retry(self):
        relay = relay_fixtures.make_relay(retry_ratio=0.0, retry_extra=0.0)
        gone = await relay_fixtures.ScriptedEndpoint(name="e1").start(relay)
        gone.stop()
        await gone.server.wait_closed()
        caller = await relay_to(
            relay, relay_fixtures.ScriptedEndpoint(name="e2")
        )
        assert caller.status == 200


class TestUsage:
    async def test_a_request_that_ran_counts_for_its_workspace(self):
        relay = relay_fixtures.make_relay()
        await relay_to(relay, relay_fixtures.ScriptedEndpoint())
        counts = list(relay.usage.counts.values())
        assert counts == [{"w": 1}]

    async def test_a_request_that_did_not_run_is_not_counted(self):
        relay = relay_fixtures.make_relay(
            relay_fixtures.make_config(NON_IDEMPOTENT_ROUTE)
        )
        full = relay_fixtures.send_answer(
            status="503 Full", extra=NOT_EXECUTED_HEADER
        )
        await relay_to(relay, relay_fixtures.ScriptedEndpoint(full))
        assert not relay.usage.counts
