"""Service calls by ``entry.exchange`` over real connections."""

import asyncio

import pytest

from _arbutuswalk.entry import exchange
from _arbutuswalk.streams import attempts
from _arbutuswalk.streams import pool

ECHO_HEADER = b"X-Attempt-Id: mine\r\n"
COMPLETE_RESPONSE = (
    b"HTTP/1.1 200 OK\r\n" + ECHO_HEADER + b"Content-Length: 2\r\n\r\nok"
)


class FakeService:
    """Answers each request with the same bytes and may close afterwards."""

    def __init__(self, reply, close=False):
        self.reply = reply
        self.close = close
        self.heads = []
        self.connections = 0

    async def serve(self, reader, writer):
        self.connections += 1
        try:
            while True:
                head = await reader.readuntil(b"\r\n\r\n")
                self.heads.append(head.decode())
                writer.write(self.reply)
                if self.close:
                    break
        except asyncio.IncompleteReadError:
            pass
        writer.close()


def make_order(port, **changes):
    values = {
        "address": f"127.0.0.1:{port}",
        "method": "GET",
        "path": "/lots/1",
        "headers": {"accept": "text/plain"},
        "body": b"",
        "request_id": "r",
        "attempt_id": "mine",
        "key": "",
        "priority": 3,
        "echo": True,
    }
    return exchange.Order(**{**values, **changes})


@pytest.fixture
async def connection_pool():
    new_pool = pool.Pool(read_reply=attempts.read_reply)
    yield new_pool
    new_pool.close()


async def run_calls(connection_pool, service, times=1, fresh=False, **changes):
    server = await asyncio.start_server(service.serve, "127.0.0.1", 0)
    port = server.sockets[0].getsockname()[1]
    results = [
        await exchange.run(
            connection_pool,
            make_order(port, **changes),
            timeout_s=0.3,
            fresh=fresh,
        )
        for _ in range(times)
    ]
    server.close()
    return results


class TestCalls:
    async def test_complete_response(self, connection_pool):
        service = FakeService(COMPLETE_RESPONSE)
        (result,) = await run_calls(connection_pool, service, key="k")
        assert result == exchange.Reply(status=200, content_type="", body=b"ok")
        assert service.heads[0].startswith("GET /lots/1 HTTP/1.1\r\n")
        assert "Idempotency-Key: k\r\n" in service.heads[0]
        assert "X-Attempt-Id: mine\r\n" in service.heads[0]

    async def test_connection_is_kept_for_the_next_call(self, connection_pool):
        service = FakeService(COMPLETE_RESPONSE)
        await run_calls(connection_pool, service, times=3)
        assert service.connections == 1

    async def test_fresh_option_opens_a_connection_for_every_call(
        self, connection_pool
    ):
        service = FakeService(COMPLETE_RESPONSE)
        await run_calls(connection_pool, service, times=2, fresh=True)
        assert service.connections == 2

    async def test_path_cannot_add_headers(self, connection_pool):
        service = FakeService(COMPLETE_RESPONSE)
        path = "/lots/1 HTTP/1.1\r\nX-Evil: 1\r\n\r\n?a=b c"
        await run_calls(connection_pool, service, path=path)
        assert len(service.heads) == 1
        assert "X-Evil: 1\r\n" not in service.heads[0]


class TestIncompleteResponse:
    @pytest.mark.parametrize(
        "reply",
        [
            pytest.param(COMPLETE_RESPONSE[:-1], id="cut"),
            pytest.param(
                b"HTTP/1.1 200 OK\r\n" + ECHO_HEADER + b"\r\nok", id="no-length"
            ),
            pytest.param(
                COMPLETE_RESPONSE.replace(b"mine", b"other"), id="crossed"
            ),
            pytest.param(
                COMPLETE_RESPONSE.replace(ECHO_HEADER, b""), id="no-echo"
            ),
            pytest.param(b"garbage\r\n\r\n", id="not-http"),
        ],
    )
    async def test_outcome_is_unknown(self, connection_pool, reply):
        (result,) = await run_calls(
            connection_pool, FakeService(reply, close=True)
        )
        assert isinstance(result, exchange.Lost)
        assert not connection_pool.idle

    async def test_no_response_before_the_timeout(self, connection_pool):
        (result,) = await run_calls(connection_pool, FakeService(b""))
        assert result == exchange.Lost(
            reason="no complete response before the timeout"
        )

    async def test_response_too_large(self, connection_pool, monkeypatch):
        monkeypatch.setattr(exchange, "MAX_REPLY_BYTES", 1)
        (result,) = await run_calls(
            connection_pool, FakeService(COMPLETE_RESPONSE)
        )
        assert result == exchange.Lost(reason="response too large")

    async def test_refused_connection_is_reported_as_not_opened(
        self, connection_pool
    ):
        server = await asyncio.start_server(
            FakeService(b"").serve, "127.0.0.1", 0
        )
        port = server.sockets[0].getsockname()[1]
        server.close()
        await server.wait_closed()
        result = await exchange.run(
            connection_pool, make_order(port), timeout_s=0.3, fresh=False
        )
        assert isinstance(result, exchange.NotOpened)
