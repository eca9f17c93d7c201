"""A connection to an upstream: one exchange at a time, nothing trusted.

Bytes that come while no answer is due make the connection unusable, and so
does an answer to another request unless the right one follows it.
"""

import asyncio
import collections
from collections.abc import Callable

import httptools

from _arbutuswalk.base import clock
from _arbutuswalk.streams import replies
from _arbutuswalk.wire import sockets

MAX_HEADER_BYTES = 64 * 1024
PAUSE_BYTES = 256 * 1024
"""Bytes waiting for a slow caller at which reading stops."""
NO_BODY_STATUSES = (204, 304)


class Exchange:
    """One request on a connection and the answer to it.

    Attributes:
        sent_id: Id that the answer has to bear.
        has_body: Whether the answer to this method has a body.
        feed: Takes pieces of the body in the callback that brings them, so
            that no task wakes up for each; None to keep them.
        crossed_id: Id that an answer bore which belongs to another exchange.
        status: Answer's status, 0 before it is known.
        headers: Answer's headers.
        reply: What they mean, None before.
        pieces: Pieces of the body not taken yet.
        waiting_bytes: Their size.
        complete: Whether the whole answer has come.
        failure: Why there is no more to come, empty while there may be.
        heard_at: When a byte of the answer last came.
    """

    def __init__(
        self,
        *,
        sent_id: str,
        has_body: bool,
        feed: Callable[[bytes], None] | None = None,
    ):
        self.sent_id = sent_id
        self.has_body = has_body
        self.feed = feed
        self.crossed_id = ""
        self.status = 0
        self.headers: replies.Headers = []
        self.reply: replies.Reply | None = None
        self.pieces: collections.deque[bytes] = collections.deque()
        self.waiting_bytes = 0
        self.complete = False
        self.failure = ""
        self.heard_at = clock.monotonic()
        self.news = asyncio.Event()

    @property
    def over(self) -> bool:
        """Whether nothing more will come."""
        return self.complete or bool(self.failure)

    async def news_within(self, left_s: float) -> bool:
        """Waits until something new is known; false if time runs out."""
        self.news.clear()
        try:
            async with asyncio.timeout(max(0.0, left_s)):
                await self.news.wait()
        except TimeoutError:
            return False
        return True

    def take(self) -> bytes:
        """Returns all pieces that wait, in one."""
        data = b"".join(self.pieces)
        self.pieces.clear()
        self.waiting_bytes = 0
        return data


class Connection(asyncio.Protocol):
    """A connection to one upstream.

    Attributes:
        address: ``IP:port`` of the upstream.
        exchange: Exchange under way, None while idle.
        idle_since: When the last exchange ended.
        idle_s: How long the upstream keeps an idle connection, if known.
        usable: Whether another exchange may begin.
    """

    def __init__(
        self,
        *,
        address: str,
        read: Callable[[int, replies.Headers], replies.Reply],
        on_close: Callable[["Connection"], None],
    ):
        self.address = address
        self.read = read
        self.on_close = on_close
        self.exchange: Exchange | None = None
        self.idle_since = clock.monotonic()
        self.idle_s: float | None = None
        self.usable = True
        self.transport: asyncio.Transport | None = None
        self.parser: httptools.HttpResponseParser | None = None
        self.headers: replies.Headers = []
        self.header_bytes = 0
        self.status = 0
        self.until_close = False
        self.skipping = False

    def connection_made(self, transport: asyncio.Transport) -> None:
        """Sets the socket up."""
        self.transport = transport
        sock = transport.get_extra_info("socket")
        if sock is not None:
            sockets.detect_silence(sock)

    def begin(self, data: bytes, exchange: Exchange) -> None:
        """Sends a request whose answer goes to ``exchange``."""
        self.exchange = exchange
        self.parser = httptools.HttpResponseParser(self)
        self.transport.write(data)

    def abort(self) -> None:
        """Closes the connection at once; its upstream stops the work."""
        self.usable = False
        if self.transport is not None:
            self.transport.abort()

    def data_received(self, data: bytes) -> None:
        """Feeds the parser, which calls back below."""
        exchange = self.exchange
        if exchange is None:
            self.abort()
            return
        exchange.heard_at = clock.monotonic()
        try:
            self.parser.feed_data(data)
        except httptools.HttpParserError as error:
            self._fail(f"not HTTP: {error}")
            self.abort()

    def eof_received(self) -> None:
        """Completes an answer that ends with its connection."""
        if self.exchange is not None and self.until_close:
            self._complete()

    def connection_lost(self, error: Exception | None) -> None:
        """Ends what was not complete."""
        self.usable = False
        self._fail(f"connection lost: {error or 'closed'}")
        self.on_close(self)

    def on_message_begin(self) -> None:
        """Starts an answer; one too many makes the connection unusable."""
        self.headers = []
        self.header_bytes = 0
        if self.exchange is None or self.exchange.over:
            self.usable = False

    def on_header(self, name: bytes, value: bytes) -> None:
        """Keeps a header."""
        self.header_bytes += len(name) + len(value)
        if self.header_bytes > MAX_HEADER_BYTES:
            raise ValueError("headers too large")
        self.headers.append((name.lower(), value.strip()))

    def on_headers_complete(self) -> None:
        """Hands status and headers over, if they answer this request."""
        self.status = self.parser.get_status_code()
        exchange = self.exchange
        if exchange is None or exchange.over or self._is_interim():
            return
        reply = self.read(self.status, self.headers)
        self.skipping = reply.answers not in ("", exchange.sent_id)
        if self.skipping:
            self.usable = False
            exchange.crossed_id = reply.answers
            exchange.news.set()
            return
        self.until_close = exchange.has_body and self._ends_with_close()
        if self.until_close or reply.closing:
            self.usable = False
        self.idle_s = reply.idle_s
        exchange.status = self.status
        exchange.headers = self.headers
        exchange.reply = reply
        exchange.news.set()
        if not exchange.has_body:
            self.usable = False
            self._complete()

    def on_body(self, data: bytes) -> None:
        """Queues a piece of the body."""
        exchange = self.exchange
        if exchange is None or exchange.over or self.skipping:
            return
        if exchange.feed is not None:
            exchange.feed(data)
            return
        exchange.pieces.append(data)
        exchange.waiting_bytes += len(data)
        if exchange.waiting_bytes > PAUSE_BYTES:
            self.transport.pause_reading()
        exchange.news.set()

    def on_message_complete(self) -> None:
        """Completes the answer, unless it was interim or another's."""
        if self._is_interim() or self.skipping or self.until_close:
            self.skipping = False
            return
        if not self.parser.should_keep_alive():
            self.usable = False
        self._complete()

    def taken(self) -> None:
        """Goes on reading after a slow caller took what waited."""
        if not self.transport.is_closing():
            self.transport.resume_reading()

    def finish(self) -> None:
        """Ends the exchange; the connection may be used again if it is clean.

        A request whose bytes have not all left would run into the next one.
        """
        self.exchange = None
        self.idle_since = clock.monotonic()
        if self.transport.get_write_buffer_size():
            self.usable = False

    def _is_interim(self) -> bool:
        return 100 <= self.status < 200

    def _ends_with_close(self) -> bool:
        if self.status in NO_BODY_STATUSES:
            return False
        names = {name for name, _ in self.headers}
        return not names & {b"content-length", b"transfer-encoding"}

    def _complete(self) -> None:
        exchange = self.exchange
        if exchange is not None and not exchange.over:
            exchange.complete = True
            exchange.news.set()

    def _fail(self, reason: str) -> None:
        self.usable = False
        exchange = self.exchange
        if exchange is not None and not exchange.over:
            exchange.failure = reason
            exchange.news.set()
