"""Answers to callers with HTTP/1.0, who read neither chunks nor broken ends."""

import asyncio

import pytest
import test_entry
from arbutuswalk_platform import server

from _arbutuswalk.wire import whole_answers

PARTS = [b"id: 1\ndata: a\n\n", b"id: 2\ndata: b\n\n"]
START = {"type": "http.response.start", "status": 200, "headers": []}


def make_app(parts, *, completes=True, raises=False, headers=()):
    async def app(scope, receive, send):
        await send({**START, "headers": list(headers)})
        for part in parts:
            await send(
                {"type": "http.response.body", "body": part, "more_body": True}
            )
        if raises:
            raise ConnectionError("broken off")
        if completes:
            await send({"type": "http.response.body", "body": b""})

    return app


async def call(app, version=b"1.0", method=b"GET"):
    """Returns status, headers and body as the caller received them."""
    listener = server.Listener(address="127.0.0.1:0", app=app)
    await listener.start()
    port = listener.server.sockets[0].getsockname()[1]
    reader, writer = await asyncio.open_connection("127.0.0.1", port)
    writer.write(method + b" / HTTP/" + version + b"\r\nHost: h\r\n\r\n")
    if version == b"1.1":
        writer.write_eof()
    received = await asyncio.wait_for(reader.read(), 5)
    writer.close()
    await listener.stop()
    head, _, body = received.partition(b"\r\n\r\n")
    status_line, *lines = head.lower().split(b"\r\n")
    headers = dict(line.split(b": ", 1) for line in lines)
    return int(status_line.split()[1]), headers, body


class TestCallersWithHttp10:
    async def test_a_stream_is_sent_with_its_length(self):
        status, headers, body = await call(make_app(PARTS))
        assert (status, body) == (200, b"".join(PARTS))
        assert headers[b"content-length"] == b"%d" % len(body)
        assert b"transfer-encoding" not in headers

    @pytest.mark.parametrize("raises", [False, True])
    @pytest.mark.parametrize("count", [0, 1, 2])
    async def test_one_that_breaks_off_is_no_success(self, count, raises):
        app = make_app(PARTS[:count], completes=False, raises=raises)
        status, headers, body = await call(app)
        assert status >= 500
        assert headers[b"content-length"] == b"%d" % len(body)
        assert PARTS[0] not in body

    async def test_a_length_is_kept(self):
        app = make_app([b"body"], headers=[(b"content-length", b"4")])
        status, headers, body = await call(app)
        assert (status, headers[b"content-length"], body) == (
            200,
            b"4",
            b"body",
        )

    async def test_one_that_is_too_large_is_no_success(self, monkeypatch):
        monkeypatch.setattr(whole_answers, "MAX_ANSWER_BYTES", 10)
        status, _, body = await call(make_app(PARTS))
        assert status == 502
        assert PARTS[0] not in body


class TestCallersWithHttp11:
    async def test_a_stream_is_sent_in_chunks(self):
        status, headers, _ = await call(make_app(PARTS), version=b"1.1")
        assert status == 200
        assert headers[b"transfer-encoding"] == b"chunked"


class TestChatFront:
    def test_its_application_answers_them_whole(self):
        edge = test_entry.Edge()
        sent = []

        async def ask():
            scope = {
                "type": "http",
                "http_version": "1.0",
                "method": "GET",
                "path": "/v1/entries",
                "raw_path": b"/v1/entries",
                "query_string": b"",
                "root_path": "",
                "headers": [],
            }

            async def receive():
                return {"type": "http.request", "body": b""}

            async def send(message):
                sent.append(message)

            await edge.app(scope, receive, send)

        edge.run(ask())
        edge.close()
        headers = dict(sent[0]["headers"])
        assert int(headers[b"content-length"]) == len(sent[1]["body"])
