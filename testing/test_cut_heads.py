"""Endpoints that stop inside the head of an answer and close."""

import pytest
import relay_fixtures
import test_answer_ends
import test_platform_front

from _arbutuswalk.relay import relaying

BODY = b"id: 9\ndata: 9\n\n"
HEAD = (
    b"HTTP/1.1 200 OK\r\nX-Attempt-Id: attempt-1\r\n"
    b"X-Server-Signature: s\r\nContent-Type: text/event-stream\r\n"
    b"Content-Length: %d\r\n\r\n" % len(BODY)
)
INTERIM = b"HTTP/1.1 103 Early Hints\r\nLink: </x>\r\n\r\n"
LATE_ANSWER = (
    b"HTTP/1.1 200 OK\r\nX-Attempt-Id: earlier\r\nContent-Length: 4\r\n\r\nlate"
)
HEADS = {
    "length": HEAD,
    "chunks": HEAD.replace(
        b"Content-Length: %d" % len(BODY), b"Transfer-Encoding: chunked"
    ),
    "connection end": HEAD.replace(b"Content-Length: %d\r\n" % len(BODY), b""),
    "no body": b"HTTP/1.1 204 None\r\nX-Attempt-Id: attempt-1\r\n\r\n",
}
PRECEDING = {"alone": b"", "interim": INTERIM, "late answer": LATE_ANSWER}
ROUTES = {
    "once": test_answer_ends.ONCE_ROUTE,
    "idempotent": relay_fixtures.make_route(max_attempts=1),
    "stream": test_answer_ends.ROUTE,
    "resumable": test_answer_ends.RESUMABLE_ROUTE._replace(max_attempts=1),
}
ROUTE_CASES = pytest.mark.parametrize(
    "route", list(ROUTES.values()), ids=list(ROUTES)
)
HEAD_CASES = pytest.mark.parametrize(
    "head", list(HEADS.values()), ids=list(HEADS)
)


class TestHeadThatIsCut:
    @ROUTE_CASES
    @HEAD_CASES
    async def test_it_is_no_answer_wherever_it_ends(self, route, head):
        """Guards against a 200 with a short body that is framed as whole."""
        config = relay_fixtures.make_config(route)
        for position in range(len(head)):
            relay = relay_fixtures.make_relay(config)
            endpoint = await relay_fixtures.ScriptedEndpoint(
                relay_fixtures.send_bytes(head[:position], close=True)
            ).start(relay)
            caller = relay_fixtures.RecordingCaller()
            request = relay_fixtures.make_request(relay)
            await relaying.relay_request(
                relay, request, caller.make_delivery(relay, request)
            )
            assert caller.status == 502, head[:position]
            assert len(endpoint.request_heads) == 1
            endpoint.stop()
            relay.pool.close()

    @pytest.mark.parametrize("reset", [False, True], ids=["closed", "reset"])
    @pytest.mark.parametrize(
        "preceding", list(PRECEDING.values()), ids=list(PRECEDING)
    )
    @ROUTE_CASES
    @HEAD_CASES
    async def test_its_caller_gets_a_failure(
        self, route, head, preceding, reset
    ):
        data = preceding + head[:-1]
        end = relay_fixtures.send_bytes(
            data, close=not reset, reset=reset, wait_s=0.02
        )
        received, heads = await test_answer_ends.play(route, end)
        assert received.status == 502
        assert received.complete
        assert len(heads) == 1

    @HEAD_CASES
    async def test_on_a_kept_connection_it_is_no_answer_either(self, head):
        config = relay_fixtures.make_config(test_answer_ends.ONCE_ROUTE)
        async with test_platform_front.RunningEntry(config) as running_entry:
            cut = relay_fixtures.send_bytes(head[:-1], close=True)
            endpoint = running_entry.endpoint
            endpoint.steps = [relay_fixtures.send_answer(), cut]
            first = await test_answer_ends.request_answer(running_entry)
            second = await test_answer_ends.request_answer(running_entry)
        assert (first.status, second.status) == (200, 502)
        assert endpoint.connection_count == 1
        assert len(endpoint.request_heads) == 2
