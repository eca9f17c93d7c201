"""Answers whose status is none, as callers read them."""

import asyncio

import pytest
import relay_fixtures
import test_answer_ends

from _arbutuswalk.control import platform_client

HEAD = b"X-Attempt-Id: attempt-1\r\nX-Server-Signature: s\r\n"
RESTS = {
    "length": b"Content-Length: 2\r\n\r\nok",
    "chunks": b"Transfer-Encoding: chunked\r\n\r\n2\r\nok\r\n0\r\n\r\n",
    "connection end": b"\r\nok",
}
ROUTES = {
    "once": test_answer_ends.ONCE_ROUTE,
    "stream": test_answer_ends.ROUTE,
}


def each(name, table):
    return pytest.mark.parametrize(name, list(table.values()), ids=list(table))


class TestStatuses:
    """Guards against a status that is none, passed on or dropped (MIXED)."""

    @pytest.mark.parametrize("status", ["000", "001", "099", "600", "999"])
    @each("route", ROUTES)
    @each("rest", RESTS)
    async def test_the_caller_gets_a_failure(self, status, route, rest):
        answer = f"HTTP/1.1 {status} Trouble\r\n".encode() + HEAD + rest
        step = relay_fixtures.send_bytes(answer, close=True)
        received, heads = await test_answer_ends.play(route, step)
        assert (received.status, received.complete) == (502, True)
        assert len(heads) == 1

    @each("rest", RESTS)
    async def test_another_endpoint_answers_an_idempotent_request(self, rest):
        answer = b"HTTP/1.1 000 Trouble\r\n" + HEAD + rest
        received, heads = await test_answer_ends.play(
            relay_fixtures.make_route(timeout_s=3.0),
            relay_fixtures.send_bytes(answer, close=True),
            relay_fixtures.send_answer(),
        )
        assert (received.status, received.body) == (200, b"ok")
        assert len(heads) == 2

    async def test_the_platform_answers_no_notices(self):
        endpoint = await asyncio.start_server(
            relay_fixtures.ScriptedEndpoint(
                relay_fixtures.send_bytes(
                    b"HTTP/1.1 000 Trouble\r\nContent-Length: 2\r\n\r\n{}"
                )
            ).serve,
            "127.0.0.1",
            0,
        )
        port = endpoint.sockets[0].getsockname()[1]
        client = platform_client.PlatformClient(address=f"127.0.0.1:{port}")
        outcome = await client.notices(0)
        await client.close()
        endpoint.close()
        assert isinstance(outcome, platform_client.NoAnswer)
