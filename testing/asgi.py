"""Calls an ASGI application without a socket."""

import asyncio
import json
from typing import NamedTuple


class Response(NamedTuple):
    """A complete response."""

    status: int
    headers: dict
    body: bytes

    @property
    def json(self):
        return json.loads(self.body)


async def call(
    app, method, path, *, headers=None, body=b"", disconnect_after=None
):
    """Sends one request.

    ``disconnect_after`` is the number of body parts after which the caller
    disconnects.
    """
    target, _, query = path.partition("?")
    scope = {
        "type": "http",
        "asgi": {"version": "3.0"},
        "http_version": "1.1",
        "method": method,
        "scheme": "http",
        "path": target,
        "raw_path": target.encode(),
        "query_string": query.encode(),
        "root_path": "",
        "headers": [
            (name.lower().encode(), value.encode("latin-1"))
            for name, value in (headers or {}).items()
        ],
        "client": ("127.0.0.1", 1),
        "server": ("127.0.0.1", 2),
    }
    disconnected = asyncio.Event()
    incoming = [{"type": "http.request", "body": body, "more_body": False}]
    sent = []

    async def receive():
        if incoming:
            return incoming.pop(0)
        await disconnected.wait()
        return {"type": "http.disconnect"}

    async def send(message):
        sent.append(message)
        if disconnect_after is not None and len(sent) > disconnect_after:
            disconnected.set()

    await app(scope, receive, send)
    start = next(m for m in sent if m["type"] == "http.response.start")
    response_headers = {
        name.decode().lower(): value.decode()
        for name, value in start.get("headers", [])
    }
    response_body = b"".join(m.get("body", b"") for m in sent)
    return Response(start["status"], response_headers, response_body)
