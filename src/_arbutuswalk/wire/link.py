"""Framed links: calls with timeouts, one-way messages, heartbeats.

A link that stays silent longer than ``SILENCE_LIMIT_S`` while something was
expected of it is closed and replaced; nobody waits for it.
"""

import asyncio
import dataclasses
from collections.abc import Awaitable
from collections.abc import Callable

from _arbutuswalk.base import clock
from _arbutuswalk.base import events
from _arbutuswalk.wire import codec
from _arbutuswalk.wire import sockets
from _arbutuswalk.wire.gen.arbutus import ttypes

HEARTBEAT_S = 0.5
SILENCE_LIMIT_S = 2.0
CONNECT_TIMEOUTS_S = (0.25, 0.5, 1.0)
"""Time for a connection to open, by how many tries failed before. The kernel
sends a lost first packet again after 1 s; a new try at once finds a machine
that has come up meanwhile. Longer ones bear slow links."""
MAX_BUFFERED_BYTES = 64 * 1024 * 1024

Handler = Callable[[object], Awaitable[object | None]]
"""Takes one message; returns the reply, or None for one-way messages."""


@dataclasses.dataclass(frozen=True, kw_only=True)
class LinkDown:
    """The call was not answered because the link failed.

    Attributes:
        reason: What happened.
        sent: Whether any byte of the call may have left.
    """

    reason: str
    sent: bool


@dataclasses.dataclass(frozen=True, kw_only=True)
class TimedOut:
    """The call was sent and not answered in time."""

    after_s: float


class Link:
    """Client side of a connection to one address, opened on demand.

    Attributes:
        address: ``IP:port`` of the other side.
        pending: Future of each unanswered call.
        heard_at: When a byte last came in, in seconds.
        failed_tries: Tries to connect that failed since the last success.
    """

    def __init__(self, *, address: str, now: clock.Clock = clock.monotonic):
        self.address = address
        self.now = now
        self.pending: dict[int, asyncio.Future] = {}
        self.heard_at = 0.0
        self.last_call = 0
        self.failed_tries = 0
        self.writer: asyncio.StreamWriter | None = None
        self.tasks: set[asyncio.Task] = set()
        self.opening = asyncio.Lock()

    async def call(
        self, message: object, *, timeout_s: float
    ) -> object | LinkDown | TimedOut:
        """Sends ``message`` and waits for its reply."""
        failure = await self.open()
        if failure is not None:
            return failure
        self.last_call += 1
        number = self.last_call
        future = asyncio.get_running_loop().create_future()
        self.pending[number] = future
        self.writer.write(codec.encode(number, message, reply=False))
        try:
            return await asyncio.wait_for(future, timeout_s)
        except TimeoutError:
            return TimedOut(after_s=timeout_s)
        finally:
            self.pending.pop(number, None)

    def post(self, message: object) -> bool:
        """Sends a one-way message if the link is open; else opens it.

        Returns:
            Whether the message was handed to an open connection.
        """
        if self.writer is None:
            if not self.opening.locked():
                self._spawn(self.open())
            return False
        if self.writer.transport.get_write_buffer_size() > MAX_BUFFERED_BYTES:
            return False
        self.writer.write(codec.encode(0, message, reply=False))
        return True

    async def open(self) -> LinkDown | None:
        """Opens the connection unless it is open."""
        async with self.opening:
            if self.writer is not None:
                return None
            host, _, port = self.address.rpartition(":")
            try:
                reader, writer = await asyncio.wait_for(
                    asyncio.open_connection(host, int(port)),
                    self._connect_timeout_s(),
                )
                sockets.detect_silence(writer.get_extra_info("socket"))
            except (TimeoutError, OSError, ValueError) as error:
                # The connection may be lost again before its socket is set up,
                # and an address that another process gave may be none.
                self.failed_tries += 1
                reason = str(error) or "connect timed out"
                return LinkDown(reason=reason, sent=False)
            self.failed_tries = 0
            self.writer = writer
            self.heard_at = self.now()
            self._spawn(self._read(reader, writer))
            self._spawn(self._heartbeat(writer))
            return None

    def _connect_timeout_s(self) -> float:
        last = len(CONNECT_TIMEOUTS_S) - 1
        return CONNECT_TIMEOUTS_S[min(self.failed_tries, last)]

    def close(self, reason: str = "closed") -> None:
        """Drops the connection; unanswered calls fail at once."""
        writer, self.writer = self.writer, None
        if writer is not None:
            writer.transport.abort()
        for future in self.pending.values():
            if not future.done():
                future.set_result(LinkDown(reason=reason, sent=True))
        self.pending.clear()

    async def stop(self) -> None:
        """Closes the link and ends its tasks."""
        self.close()
        for task in self.tasks:
            task.cancel()
        await asyncio.gather(*self.tasks, return_exceptions=True)

    async def _read(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        reason = "closed by the other side"
        while True:
            decoded = await read_frame(reader)
            if decoded is None or isinstance(decoded, codec.BadFrame):
                reason = getattr(decoded, "reason", reason)
                break
            self.heard_at = self.now()
            number, _, message = decoded
            future = self.pending.pop(number, None)
            if future is not None and not future.done():
                future.set_result(message)
        if self.writer is writer:
            self.close(reason)

    async def _heartbeat(self, writer: asyncio.StreamWriter) -> None:
        while self.writer is writer:
            writer.write(codec.encode(0, ttypes.Ping(), reply=False))
            await asyncio.sleep(HEARTBEAT_S)
            silence = self.now() - self.heard_at
            if self.writer is writer and silence > SILENCE_LIMIT_S:
                events.log(events.Event.LINK_REPLACED, self.address, "silent")
                self.close("silent")

    def _spawn(self, coroutine: Awaitable) -> None:
        task = asyncio.ensure_future(coroutine)
        self.tasks.add(task)
        task.add_done_callback(self.tasks.discard)


async def read_frame(
    reader: asyncio.StreamReader,
) -> tuple[int, bool, object] | codec.BadFrame | None:
    """Reads one frame; None when the connection ends."""
    try:
        head = await reader.readexactly(codec.LENGTH.size)
        (length,) = codec.LENGTH.unpack(head)
        if length > codec.MAX_FRAME_BYTES:
            return codec.BadFrame(reason=f"frame of {length} bytes")
        payload = await reader.readexactly(length)
    except (asyncio.IncompleteReadError, OSError):
        return None
    return codec.decode(payload)


class LinkServer:
    """Listens for links and hands each message to one handler.

    Attributes:
        address: ``IP:port`` it listens on.
        handler: Takes each message and returns its reply.
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
        """Closes the socket and every connection."""
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
            sockets.detect_silence(writer.get_extra_info("socket"))
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
            return  # lost before its socket was set up
        finally:
            self.writers.discard(writer)
            writer.transport.abort()

    def _dispatch(
        self,
        decoded: tuple[int, bool, object],
        writer: asyncio.StreamWriter,
    ) -> None:
        number, _, message = decoded
        if isinstance(message, ttypes.Ping):
            pong = codec.encode(0, ttypes.Ping(), reply=True)
            writer.write(pong)
            return
        task = asyncio.ensure_future(self._answer(number, message, writer))
        self.tasks.add(task)
        task.add_done_callback(self._finished)

    async def _answer(
        self, number: int, message: object, writer: asyncio.StreamWriter
    ) -> None:
        reply = await self.handler(message)
        if number and reply is not None and not writer.is_closing():
            writer.write(codec.encode(number, reply, reply=True))

    def _finished(self, task: asyncio.Task) -> None:
        self.tasks.discard(task)
        if not task.cancelled() and task.exception() is not None:
            events.warn(
                events.Event.TASK_FAILED, "link handler", task.exception()
            )
