"""Endpoints that write an earlier refusal again on a kept connection."""

import asyncio

import pytest
import relay_fixtures

from _arbutuswalk.relay import relaying
from _arbutuswalk.state import routeconfig

ONCE_ROUTE = relay_fixtures.make_route(kind=routeconfig.ONCE, max_attempts=1)
STREAM_ROUTE = relay_fixtures.make_route(
    kind=routeconfig.STREAM, resumable=False, max_attempts=1
)
IDEMPOTENT_ROUTE = relay_fixtures.make_route()
RESUMABLE_ROUTE = relay_fixtures.make_route(
    kind=routeconfig.STREAM, resumable=True
)
WORK_S = 0.05
"""Time between the late refusal and the answer of the request."""
REFUSALS = {
    "503": "503 Full",
    "429": "429 Too Many",
    "421": "421 Misdirected",
    "400": "400 Bad",
}
ROUTES_THAT_RUN_ONCE = pytest.mark.parametrize(
    "route", [ONCE_ROUTE, STREAM_ROUTE], ids=["once", "stream"]
)
REPEATABLE_ROUTES = pytest.mark.parametrize(
    "route", [IDEMPOTENT_ROUTE, RESUMABLE_ROUTE], ids=["idempotent", "stream"]
)
ALL_REFUSALS = pytest.mark.parametrize(
    "status", REFUSALS.values(), ids=REFUSALS
)
ECHOES = pytest.mark.parametrize(
    "echo", ["", "X-Attempt-Id: attempt-1\r\n"], ids=["no-id", "earlier-id"]
)


def encode_refusal(status, echo):
    return (
        f"HTTP/1.1 {status}\r\n{echo}X-Not-Executed: 1\r\n"
        "Content-Length: 4\r\n\r\nfull"
    ).encode()


def refuse_late(status, echo):
    """Writes a refusal, then runs the request and answers it."""

    async def step(head, writer):
        writer.write(encode_refusal(status, echo))
        await writer.drain()
        await asyncio.sleep(WORK_S)
        await relay_fixtures.send_answer(b"data: 1\n\n", echo="attempt-2")(
            head, writer
        )

    return step


async def send(relay, request_id):
    caller = relay_fixtures.RecordingCaller()
    request = relay_fixtures.make_request(relay, id=request_id)
    await relaying.relay_request(
        relay, request, caller.make_delivery(relay, request)
    )
    return caller


async def play(route, late_step):
    """Returns the answer of a request on the connection of a refused one.

    The other endpoint starts only after the first request.

    Returns:
        The caller, and the requests that each endpoint got after the first.
    """
    relay = relay_fixtures.make_relay(relay_fixtures.make_config(route))
    first_refusal = encode_refusal("503 Full", "X-Attempt-Id: attempt-1\r\n")
    faulty = await relay_fixtures.ScriptedEndpoint(
        relay_fixtures.send_bytes(first_refusal), late_step, name="e1"
    ).start(relay)
    assert (await send(relay, "attempt-1")).status == 503
    assert relay.pool.idle
    other = await relay_fixtures.ScriptedEndpoint(
        relay_fixtures.send_answer(b"data: 1\n\n", echo="attempt-2"), name="e2"
    ).start(relay)
    # The other endpoint is chosen last.
    relay.suspect_until["e2"] = relay.now() + 10.0
    caller = await send(relay, "attempt-2")
    for endpoint in (faulty, other):
        endpoint.stop()
    relay.pool.close()
    assert faulty.connection_count == 1
    return caller, (len(faulty.request_heads) - 1, len(other.request_heads))


class TestRefusalWrittenAgain:
    @ROUTES_THAT_RUN_ONCE
    @ALL_REFUSALS
    @ECHOES
    async def test_a_request_that_runs_is_neither_refused_nor_run_again(
        self, route, status, echo
    ):
        """Guards against REFUSED and TWICE.

        A second refusal without an id that arrived after the next request had
        been sent was taken for its answer.
        """
        caller, runs = await play(route, refuse_late(status, echo))
        assert (caller.status, caller.data) == (200, b"data: 1\n\n")
        assert caller.complete
        assert runs == (1, 0)

    @ROUTES_THAT_RUN_ONCE
    @ECHOES
    async def test_one_whose_own_answer_is_lost_gets_no_refusal(
        self, route, echo
    ):
        late = relay_fixtures.send_bytes(
            encode_refusal("503 Full", echo), close=True, wait_s=WORK_S
        )
        caller, runs = await play(route, late)
        assert caller.status == 502
        assert runs == (1, 0)

    @REPEATABLE_ROUTES
    async def test_an_answer_that_follows_at_once_counts(self, route):
        answer = (
            b"HTTP/1.1 200 OK\r\nX-Attempt-Id: attempt-2\r\n"
            b"Content-Length: 9\r\n\r\ndata: 1\n\n"
        )
        caller, runs = await play(
            route,
            relay_fixtures.send_bytes(encode_refusal("503 Full", "") + answer),
        )
        assert (caller.status, caller.data) == (200, b"data: 1\n\n")
        assert runs == (1, 0)

    @REPEATABLE_ROUTES
    async def test_a_repeatable_request_is_sent_elsewhere_at_once(self, route):
        caller, runs = await play(
            route,
            relay_fixtures.send_bytes(
                encode_refusal("503 Full", ""), wait_s=30.0
            ),
        )
        assert (caller.status, caller.data) == (200, b"data: 1\n\n")
        assert runs == (1, 1)


class TestFirstResponseOfAConnection:
    @ALL_REFUSALS
    async def test_it_needs_no_id(self, status):
        relay = relay_fixtures.make_relay(
            relay_fixtures.make_config(ONCE_ROUTE)
        )
        refusing = await relay_fixtures.ScriptedEndpoint(
            relay_fixtures.send_bytes(encode_refusal(status, "")), name="e1"
        ).start(relay)
        caller = await send(relay, "attempt-1")
        assert caller.status == 503
        refusing.stop()
        relay.pool.close()


class TestAnswerWrittenAgain:
    async def test_one_without_an_id_is_not_taken_for_the_next_answer(self):
        """Guards against MIXED: the earlier answer had no id either time."""

        async def answer_late(head, writer):
            writer.write(b"HTTP/1.1 200 OK\r\nContent-Length: 5\r\n\r\nwrong")
            await writer.drain()
            await asyncio.sleep(WORK_S)
            await relay_fixtures.send_answer(b"right", echo="attempt-2")(
                head, writer
            )

        caller, runs = await play(ONCE_ROUTE, answer_late)
        assert (caller.status, caller.data) == (200, b"right")
        assert runs == (1, 0)
