"""Framed links: calls with timeouts, one-way messages, heartbeats.

A link on which nothing arrives for longer than ``SILENCE_TIMEOUT_S`` is closed,
and its unanswered calls fail at once. The next message opens a new connection.
"""

import asyncio
import dataclasses
from collections.abc import Awaitable
from collections.abc import Callable

from _arbutuswalk.base import background
from _arbutuswalk.base import clock
from _arbutuswalk.base import events
from _arbutuswalk.wire import codec
from _arbutuswalk.wire import sockets
from _arbutuswalk.wire.gen.arbutus import ttypes

HEARTBEAT_INTERVAL_S = 0.5
SILENCE_TIMEOUT_S = 2.0
CONNECT_TIMEOUTS_S = (0.25, 0.5, 1.0)
"""Connect timeouts by the number of failed attempts before. The kernel resends
a lost first packet only after 1 s; a new attempt is quicker to reach an
instance that has started meanwhile. The longer timeouts allow for slow links.
"""
MAX_SEND_BUFFER_BYTES = 64 * 1024 * 1024

Handler = Callable[[object], Awaitable[object | None]]
"""Handles one message; returns its reply, or None for one-way messages."""


@dataclasses.dataclass(frozen=True, kw_only=True)
class LinkDown:
    """The call was not answered because the link failed.

    Attributes:
        reason: Why the link failed.
        possibly_sent: Whether any byte of the call may have been sent.
    """

    reason: str
    possibly_sent: bool


@dataclasses.dataclass(frozen=True, kw_only=True)
class TimedOut:
    """The call was sent but not answered within ``after_s``."""

    after_s: float


class Link:
    """Client side of a connection to one address, opened on demand.

    Attributes:
        address: ``IP:port`` of the other side.
        pending_calls: Future of each unanswered call.
        last_received_at: When a frame last came in, in seconds.
        failed_attempts: Failed attempts to connect since the last success.
    """

    def __init__(self, *, address: str, now: clock.Clock = clock.monotonic):
        self.address = address
        self.now = now
        self.pending_calls: dict[int, asyncio.Future] = {}
        self.last_received_at = 0.0
        self.last_call_number = 0
        self.failed_attempts = 0
        self.writer: asyncio.StreamWriter | None = None
        self.tasks: set[asyncio.Task] = set()
        self.open_lock = asyncio.Lock()

    async def call(
        self, message: object, *, timeout_s: float
    ) -> object | LinkDown | TimedOut:
        """Sends ``message`` and waits for its reply."""
        failure = await self.open()
        if failure is not None:
            return failure
        self.last_call_number += 1
        call_number = self.last_call_number
        frame = codec.encode(call_number, message, reply=False)
        future = asyncio.get_running_loop().create_future()
        self.pending_calls[call_number] = future
        self.writer.write(frame)
        try:
            async with asyncio.timeout(timeout_s):
                return await future
        except TimeoutError:
            return TimedOut(after_s=timeout_s)
        finally:
            self.pending_calls.pop(call_number, None)

    def send_oneway(self, message: object) -> bool:
        """Sends a one-way message if the link is open, else starts opening it.

        Returns:
            Whether the message was written to an open connection.
        """
        if self.writer is None:
            if not self.open_lock.locked():
                self._start_task(self.open())
            return False
        if (
            self.writer.transport.get_write_buffer_size()
            > MAX_SEND_BUFFER_BYTES
        ):
            return False
        self.writer.write(codec.encode(0, message, reply=False))
        return True

    async def open(self) -> LinkDown | None:
        """Opens the connection if it is not open."""
        async with self.open_lock:
            if self.writer is not None:
                return None
            host, _, port = self.address.rpartition(":")
            try:
                async with asyncio.timeout(self._connect_timeout_s()):
                    reader, writer = await asyncio.open_connection(
                        host, int(port)
                    )
                sockets.set_options(
                    writer.get_extra_info("socket"), sockets.LINK
                )
            except (TimeoutError, OSError, ValueError, OverflowError) as error:
                # The connection may be lost before its socket options are set,
                # and an address given by another process may be invalid.
                self.failed_attempts += 1
                reason = str(error) or "connect timed out"
                return LinkDown(reason=reason, possibly_sent=False)
            self.failed_attempts = 0
            self.writer = writer
            self.last_received_at = self.now()
            self._start_task(self._read_replies(reader, writer))
            self._start_task(self._send_heartbeats(writer))
            return None

    def _connect_timeout_s(self) -> float:
        last_position = len(CONNECT_TIMEOUTS_S) - 1
        return CONNECT_TIMEOUTS_S[min(self.failed_attempts, last_position)]

    def close(self, reason: str = "closed") -> None:
        """Aborts the connection; its unanswered calls fail at once."""
        writer, self.writer = self.writer, None
        if writer is not None:
            writer.transport.abort()
        for future in self.pending_calls.values():
            if not future.done():
                future.set_result(LinkDown(reason=reason, possibly_sent=True))
        self.pending_calls.clear()

    async def stop(self) -> None:
        """Closes the link and cancels its tasks."""
        self.close()
        for task in self.tasks:
            task.cancel()
        await asyncio.gather(*self.tasks, return_exceptions=True)

    async def _read_replies(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        reason = "closed by the other side"
        while True:
            decoded = await read_frame(reader)
            if decoded is None or isinstance(decoded, codec.BadFrame):
                reason = getattr(decoded, "reason", reason)
                break
            self.last_received_at = self.now()
            call_number, _, message = decoded
            future = self.pending_calls.pop(call_number, None)
            if future is None or future.done():
                continue
            if isinstance(message, codec.UnknownMessage):
                message = LinkDown(reason="unknown reply", possibly_sent=True)
            future.set_result(message)
        if self.writer is writer:
            self.close(reason)

    async def _send_heartbeats(self, writer: asyncio.StreamWriter) -> None:
        while self.writer is writer:
            writer.write(codec.encode(0, ttypes.Ping(), reply=False))
            await asyncio.sleep(HEARTBEAT_INTERVAL_S)
            silent_s = self.now() - self.last_received_at
            if self.writer is writer and silent_s > SILENCE_TIMEOUT_S:
                events.log(events.Event.LINK_REPLACED, self.address, "silent")
                self.close("silent")

    def _start_task(self, coroutine: Awaitable) -> None:
        task = asyncio.ensure_future(coroutine)
        self.tasks.add(task)
        task.add_done_callback(self.tasks.discard)


async def read_frame(
    reader: asyncio.StreamReader,
) -> tuple[int, bool, object] | codec.BadFrame | None:
    """Reads one frame; returns None at the end of the connection."""
    try:
        length_prefix = await reader.readexactly(codec.LENGTH_PREFIX.size)
        (length,) = codec.LENGTH_PREFIX.unpack(length_prefix)
        if length > codec.MAX_FRAME_BYTES:
            return codec.BadFrame(reason=f"frame of {length} bytes")
        payload = await reader.readexactly(length)
    except (asyncio.IncompleteReadError, OSError):
        return None
    return codec.decode(payload)


class LinkServer:
    """Accepts links and passes each message to one handler.

    Attributes:
        address: ``IP:port`` it listens on.
        handler: Called with each message; returns its reply.
    """

    def __init__(self, *, address: str, handler: Handler):
        self.address = address
        self.handler = handler
        self.server: asyncio.Server | None = None
        self.writers: set[asyncio.StreamWriter] = set()
        self.tasks: set[asyncio.Task] = set()

    async def start(self) -> None:
        """Opens the listening socket.

        Raises:
            OSError: The address cannot be used.
        """
        host, _, port = self.address.rpartition(":")
        self.server = await asyncio.start_server(self._serve, host, int(port))

    async def stop(self) -> None:
        """Closes the listening socket and all connections."""
        if self.server is not None:
            self.server.close()
        for writer in list(self.writers):
            writer.transport.abort()
        for task in list(self.tasks):
            task.cancel()
        await asyncio.gather(*self.tasks, return_exceptions=True)

    async def _serve(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        self.writers.add(writer)
        try:
            sockets.set_options(writer.get_extra_info("socket"), sockets.LINK)
            while True:
                decoded = await read_frame(reader)
                if decoded is None:
                    return
                if isinstance(decoded, codec.BadFrame):
                    peer = writer.get_extra_info("peername")
                    events.warn(
                        events.Event.FRAME_REFUSED, peer, decoded.reason
                    )
                    return
                self._dispatch(decoded, writer)
        except OSError:
            return  # the connection was lost before its options were set
        finally:
            self.writers.discard(writer)
            writer.transport.abort()

    def _dispatch(
        self,
        decoded: tuple[int, bool, object],
        writer: asyncio.StreamWriter,
    ) -> None:
        call_number, _, message = decoded
        if isinstance(message, ttypes.Ping):
            pong = codec.encode(0, ttypes.Ping(), reply=True)
            writer.write(pong)
            return
        if isinstance(message, codec.UnknownMessage):
            peer = writer.get_extra_info("peername")
            events.record(events.Event.MESSAGE_UNKNOWN, peer)
            if call_number:
                reply = ttypes.Done(ok=False)
                writer.write(codec.encode(call_number, reply, reply=True))
            return
        task = background.start(
            "link handler", self._handle(call_number, message, writer)
        )
        self.tasks.add(task)
        task.add_done_callback(self.tasks.discard)

    async def _handle(
        self, call_number: int, message: object, writer: asyncio.StreamWriter
    ) -> None:
        reply = await self.handler(message)
        if call_number and reply is not None and not writer.is_closing():
            writer.write(codec.encode(call_number, reply, reply=True))
