"""One connection to an upstream that streams, without layers in between.

A token is handled in the callback that brings it: no task wakes up for it.
Every attempt has a connection of its own, so that none can be silent from an
earlier use. Parsing is httptools'.
"""

import asyncio
from collections.abc import Callable

import httptools

MAX_HEADERS_BYTES = 64 * 1024


class StreamConnection(asyncio.Protocol):
    """Sends one request and hands on the pieces of its answer.

    Attributes:
        request: Bytes of the whole request.
        on_headers: Called once status and headers are known.
        on_body: Called with each piece of the body.
        headers: Answer's headers by lower-case name, once complete.
        status: Answer's status, zero before.
        started: Set when the headers are complete, or the end has come.
        ended: Set when the answer is complete, or will never be.
        reason: Why the answer ended, empty if it is complete.
        heard_at: When a byte last came, in the loop's seconds.
    """

    def __init__(
        self,
        *,
        request: bytes,
        on_headers: Callable[["StreamConnection"], None],
        on_body: Callable[[bytes], None],
    ):
        self.request = request
        self.on_headers = on_headers
        self.on_body = on_body
        self.headers: dict[str, str] = {}
        self.status = 0
        self.reason = ""
        self.loop = asyncio.get_running_loop()
        self.started = self.loop.create_future()
        self.ended = self.loop.create_future()
        self.heard_at = self.loop.time()
        self.header_bytes = 0
        self.transport: asyncio.Transport | None = None
        self.parser = httptools.HttpResponseParser(self)

    def connection_made(self, transport: asyncio.Transport) -> None:
        """Sends the request."""
        self.transport = transport
        transport.write(self.request)

    def data_received(self, data: bytes) -> None:
        """Feeds the parser, which calls back below."""
        self.heard_at = self.loop.time()
        try:
            self.parser.feed_data(data)
        except httptools.HttpParserError as error:
            self.end(f"not HTTP: {error}")

    def connection_lost(self, error: Exception | None) -> None:
        """Ends an answer that was not complete."""
        self.end(f"connection lost: {error or 'closed'}")

    def on_header(self, name: bytes, value: bytes) -> None:
        """Keeps a header."""
        self.header_bytes += len(name) + len(value)
        if self.header_bytes > MAX_HEADERS_BYTES:
            self.end("headers too large")
            return
        self.headers[name.decode("latin-1").lower()] = value.decode("latin-1")

    def on_headers_complete(self) -> None:
        """Tells that status and headers are known."""
        self.status = self.parser.get_status_code()
        self.on_headers(self)
        if not self.started.done():
            self.started.set_result(None)

    def on_message_complete(self) -> None:
        """Ends a complete answer."""
        self.end("")

    def end(self, reason: str) -> None:
        """Ends the answer once and closes the connection."""
        if self.ended.done():
            return
        self.reason = reason
        self.ended.set_result(None)
        if not self.started.done():
            self.started.set_result(None)
        if self.transport is not None:
            self.transport.abort()


async def open_connection(
    address: str,
    request: bytes,
    on_headers: Callable[[StreamConnection], None],
    on_body: Callable[[bytes], None],
    *,
    timeout_s: float,
) -> StreamConnection:
    """Connects and sends the request.

    Raises:
        OSError: No connection opened.
        TimeoutError: No connection opened in time.
    """
    host, _, port = address.rpartition(":")
    loop = asyncio.get_running_loop()
    async with asyncio.timeout(timeout_s):
        _, protocol = await loop.create_connection(
            lambda: StreamConnection(
                request=request, on_headers=on_headers, on_body=on_body
            ),
            host,
            int(port),
        )
    return protocol
