"""HTTP connection to an upstream that carries one exchange at a time.

Unexpected bytes and a response to another request both exclude the connection
from reuse. A mismatched response is skipped, so that the right one may follow.
So is one without an id on a connection that has carried another exchange, if
the upstream echoes ids: it may be a late second response to that exchange.
"""

import asyncio
import collections
import enum
import select
from collections.abc import Callable

import httptools

from _arbutuswalk.base import clock
from _arbutuswalk.base import events
from _arbutuswalk.streams import replies
from _arbutuswalk.streams import response_limits
from _arbutuswalk.wire import sockets

MAX_BUFFERED_BYTES = 256 * 1024
"""Bytes buffered for a slow caller above which reading is paused."""
MAX_READ_BYTES = 16 * 1024
"""Bytes that are read at once. Parsing them must not delay other connections,
even if each chunk of the body is a single byte."""
NO_BODY_STATUSES = (204, 304)
IDENTITY_CODING = b"identity"
"""Transfer coding that is none."""


class BodyEnd(enum.StrEnum):
    """What ends the body of a response."""

    NO_BODY = "no body"
    LENGTH = "length"
    CHUNKS = "chunks"
    CONNECTION_END = "connection end"


class Exchange:
    """One request on a connection and the response to it.

    Attributes:
        expected_id: Id that the response must carry.
        echoes_id: Whether the upstream is known to echo ids. Then a response
            without one is accepted only as the first on a connection.
        has_body: Whether a response to this method has a body.
        on_body: Called with each chunk of the body directly from the parser, so
            that no task is woken per chunk; None to buffer the chunks.
        on_reply: Called with the interpretation of each response's status and
            headers, also of a response to another exchange.
        mismatched_id: Id of a received response to another exchange, or empty.
        skipped_unidentified: Whether a response without an id was skipped.
        status: Status of the response, 0 before it is known.
        headers: Headers of the response.
        reply: Interpretation of status and headers, None before they are known.
        body_end: What ends the body, None before the headers are known.
        chunks: Buffered chunks of the body.
        buffered_bytes: Total size of the buffered chunks.
        complete: Whether the response has been received completely.
        failure: Why the response ended early, empty if it has not.
        closed_by_peer: Whether the end of the connection ended the response.
        last_received_at: When data was last received.
        changed: Set when any of these has changed since the last wait for it.
    """

    def __init__(
        self,
        *,
        expected_id: str,
        has_body: bool,
        echoes_id: bool = False,
        on_body: Callable[[bytes], None] | None = None,
        on_reply: Callable[[replies.Reply], None] = lambda reply: None,
    ):
        self.expected_id = expected_id
        self.echoes_id = echoes_id
        self.has_body = has_body
        self.on_body = on_body
        self.on_reply = on_reply
        self.mismatched_id = ""
        self.skipped_unidentified = False
        self.status = 0
        self.headers: replies.Headers = []
        self.reply: replies.Reply | None = None
        self.body_end: BodyEnd | None = None
        self.chunks: collections.deque[bytes] = collections.deque()
        self.buffered_bytes = 0
        self.complete = False
        self.failure = ""
        self.closed_by_peer = False
        self.last_received_at = clock.monotonic()
        self.changed = asyncio.Event()

    @property
    def ended(self) -> bool:
        """Whether the response is complete or has failed."""
        return self.complete or bool(self.failure)

    async def wait_for_change(self, timeout_s: float) -> bool:
        """Waits for a change since the last call; returns false on a timeout.

        A change between two calls ends the second one at once: the caller may
        not have seen it.
        """
        try:
            async with asyncio.timeout(max(0.0, timeout_s)):
                await self.changed.wait()
        except TimeoutError:
            return False
        self.changed.clear()
        return True

    def fail(self, reason: str) -> None:
        """Ends the response unless it has ended."""
        if not self.ended:
            self.failure = reason
            self.changed.set()

    def take_body(self) -> bytes:
        """Removes and returns the buffered part of the body."""
        data = b"".join(self.chunks)
        self.chunks.clear()
        self.buffered_bytes = 0
        return data


# Each read is parsed before the next, so connections can share a buffer.
_read_buffer = memoryview(bytearray(MAX_READ_BYTES))


class Connection(asyncio.BufferedProtocol):
    """A connection to one upstream.

    Attributes:
        address: ``IP:port`` of the upstream.
        read_reply: Interprets the status and headers of a response.
        on_close: Called once the connection has closed.
        peer: Address of the process that passes its bytes on, empty if it is
            the upstream's own.
        exchange: Current exchange, None while idle.
        idle_since: When the last exchange ended.
        keep_alive_s: How long the upstream keeps an idle connection, if known.
        reusable: Whether the connection may carry another exchange.
        requests_sent: Number of requests sent on it.
        in_body: Whether the headers of the current response are complete.
        ends_at_close: Whether the end of the connection ends the body.
        ignoring_body: Whether the current response is a mismatched one.
        limits: What was received of the answer beside its body.
    """

    def __init__(
        self,
        *,
        address: str,
        read_reply: Callable[[int, replies.Headers], replies.Reply],
        on_close: Callable[["Connection"], None],
        peer: str = "",
    ):
        self.address = address
        self.read_reply = read_reply
        self.on_close = on_close
        self.peer = peer
        self.exchange: Exchange | None = None
        self.idle_since = clock.monotonic()
        self.keep_alive_s: float | None = None
        self.reusable = True
        self.requests_sent = 0
        self.transport: asyncio.Transport | None = None
        self.parser: httptools.HttpResponseParser | None = None
        self.headers: replies.Headers = []
        self.status = 0
        self.in_body = False
        self.ends_at_close = False
        self.ignoring_body = False
        self.limits = response_limits.ResponseLimits()

    def connection_made(self, transport: asyncio.Transport) -> None:
        """Configures detection of dead peers on the socket."""
        self.transport = transport
        sock = transport.get_extra_info("socket")
        if sock is not None:
            sockets.set_options(sock, sockets.UPSTREAM)

    def has_unread_data(self) -> bool:
        """Whether data or the end of the connection waits to be read.

        Such bytes were sent before the next request and would be taken for the
        start of its answer.
        """
        poll = select.poll()
        poll.register(self.transport.get_extra_info("socket"), select.POLLIN)
        return bool(poll.poll(0))

    def send_request(self, data: bytes, exchange: Exchange) -> None:
        """Sends a request; its response is stored in ``exchange``."""
        self.exchange = exchange
        self.requests_sent += 1
        self.parser = httptools.HttpResponseParser(self)
        self.limits = response_limits.ResponseLimits()
        self.transport.write(data)

    def abort(self) -> None:
        """Closes the connection at once, so that the upstream stops work."""
        self.reusable = False
        if self.transport is not None:
            self.transport.abort()

    def get_buffer(self, sizehint: int) -> memoryview:
        """Returns the buffer for the next read."""
        return _read_buffer

    def buffer_updated(self, nbytes: int) -> None:
        """Processes the data that was read into the buffer."""
        self.data_received(_read_buffer[:nbytes])

    def data_received(self, data: memoryview) -> None:
        """Passes data to the parser, which calls the ``on_`` methods."""
        exchange = self.exchange
        if exchange is None or exchange.ended:
            self._fail_and_abort("bytes on an idle connection")
            return
        exchange.last_received_at = clock.monotonic()
        self.limits.add_received(len(data))
        try:
            self.parser.feed_data(data)
            self.limits.check_framing()
        except httptools.HttpParserError as error:
            self._fail_and_abort(self.limits.exceeded or f"not HTTP: {error}")
        except httptools.HttpParserUpgrade:
            self._fail_and_abort("not HTTP: the upstream switches protocols")
        except response_limits.LimitExceededError as error:
            self._fail_and_abort(str(error))

    def eof_received(self) -> None:
        """Completes a response whose body ends with the connection.

        One that ends while the request is still being sent may be cut off: the
        upstream resets a connection of which it has not read all.
        """
        self._record_closed_by_peer()
        if self.ends_at_close and self._is_sending():
            self._fail_and_abort("connection ended before the request was sent")
            return
        # The end of a connection through a peer may be that of the peer.
        is_upstreams_end = self.ends_at_close and not self.peer
        if self.exchange is not None and is_upstreams_end:
            self._complete()

    def connection_lost(self, error: Exception | None) -> None:
        """Fails an exchange that is not complete."""
        self.reusable = False
        self._record_closed_by_peer()
        self._set_failure(f"connection lost: {error or 'closed'}")
        self.on_close(self)

    def on_message_begin(self) -> None:
        """Starts a response, unless the answer is already complete."""
        self.headers = []
        self.in_body = False
        if self.exchange.ended:
            self.limits.reject_response()

    def on_header(self, name: bytes, value: bytes) -> None:
        """Stores a header, up to the limit for all headers together.

        Trailers are dropped: they must not be taken for headers.
        """
        self.limits.add_header(name, value)
        if not self.in_body:
            self.headers.append((name.lower(), value.strip()))

    def on_headers_complete(self) -> None:
        """Stores status and headers if they belong to this exchange."""
        self.in_body = True
        self.status = self.parser.get_status_code()
        self.limits.check_status(self.status)
        exchange = self.exchange
        if exchange.ended or self._is_interim():
            return
        reply = self.read_reply(self.status, self.headers)
        exchange.on_reply(reply)
        self.ignoring_body = not self._is_expected(reply)
        if self.ignoring_body:
            self.reusable = False
            exchange.mismatched_id = reply.answered_id
            exchange.skipped_unidentified |= not reply.answered_id
            exchange.changed.set()
            return
        exchange.body_end = self._find_body_end()
        self.ends_at_close = exchange.body_end == BodyEnd.CONNECTION_END
        if self.ends_at_close or reply.closes_connection:
            self.reusable = False
        self.keep_alive_s = reply.keep_alive_s
        exchange.status = self.status
        exchange.headers = self.headers
        exchange.reply = reply
        exchange.changed.set()
        if not exchange.has_body:
            self.reusable = False
            self._complete()

    def on_body(self, data: bytes) -> None:
        """Buffers a chunk of the body or passes it to the callback."""
        exchange = self.exchange
        if exchange.ended:
            return
        if self.ignoring_body:
            self.limits.add_skipped_body(len(data))
            return
        self.limits.add_body(len(data))
        if exchange.on_body is not None:
            exchange.on_body(data)
            return
        exchange.chunks.append(data)
        exchange.buffered_bytes += len(data)
        if exchange.buffered_bytes > MAX_BUFFERED_BYTES:
            self.transport.pause_reading()
        exchange.changed.set()

    def on_message_complete(self) -> None:
        """Completes the response, unless it is interim or mismatched."""
        if self._is_interim() or self.ignoring_body:
            self.ignoring_body = False
            self.limits.add_skipped_response()
            return
        if self.ends_at_close:
            return
        if not self.parser.should_keep_alive():
            self.reusable = False
        self._complete()

    def resume_reading(self) -> None:
        """Resumes reading after the buffered body was taken."""
        if not self.transport.is_closing():
            self.transport.resume_reading()

    def end_exchange(self) -> None:
        """Ends the exchange and excludes reuse if request bytes are unsent.

        The rest of an unsent request would be taken for part of the next one.
        """
        self.exchange = None
        self.idle_since = clock.monotonic()
        if self.transport.get_write_buffer_size():
            self.reusable = False

    def _is_sending(self) -> bool:
        """Returns whether the upstream has not received the whole request."""
        if self.transport.get_write_buffer_size():
            return True
        sock = self.transport.get_extra_info("socket")
        return sock is not None and sockets.unacknowledged_bytes(sock) > 0

    def _is_expected(self, reply: replies.Reply) -> bool:
        if reply.answered_id:
            return reply.answered_id == self.exchange.expected_id
        return self.requests_sent == 1 or not self.exchange.echoes_id

    def _is_interim(self) -> bool:
        return 100 <= self.status < 200

    def _find_body_end(self) -> BodyEnd:
        if not self.exchange.has_body or self.status in NO_BODY_STATUSES:
            return BodyEnd.NO_BODY
        codings = replies.list_values(self.headers, b"transfer-encoding")
        if any(coding != IDENTITY_CODING for coding in codings):
            return BodyEnd.CHUNKS
        if any(name == b"content-length" for name, _ in self.headers):
            return BodyEnd.LENGTH
        return BodyEnd.CONNECTION_END

    def _complete(self) -> None:
        if not self.exchange.ended:
            self.exchange.complete = True
            self.exchange.changed.set()

    def _record_closed_by_peer(self) -> None:
        if self.exchange is not None and not self.exchange.ended:
            self.exchange.closed_by_peer = True

    def _fail_and_abort(self, reason: str) -> None:
        """Fails the exchange, unless the bytes follow a complete answer."""
        if self.exchange is None or self.exchange.ended:
            events.record(events.Event.UNEXPECTED_BYTES, self.address, reason)
        self._set_failure(reason)
        self.abort()

    def _set_failure(self, reason: str) -> None:
        self.reusable = False
        if self.exchange is not None:
            self.exchange.fail(reason)
