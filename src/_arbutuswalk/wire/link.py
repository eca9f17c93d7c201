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
from _arbutuswalk.wire import peer_limits
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
READ_BYTES = 64 * 1024
"""Largest part of a frame that is read at once."""
SILENT_PEER_CHECK_INTERVAL_S = 5.0

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
    reader: asyncio.StreamReader, *, max_bytes: int = codec.MAX_FRAME_BYTES
) -> tuple[int, bool, object] | codec.BadFrame | None:
    """Reads one frame; returns None at the end of the connection."""
    payload = await _read_payload(reader, max_bytes=max_bytes)
    return codec.decode(payload) if isinstance(payload, bytes) else payload


async def _read_payload(
    reader: asyncio.StreamReader,
    *,
    max_bytes: int = codec.MAX_FRAME_BYTES,
    on_received: Callable[[int], None] = lambda _: None,
) -> bytes | codec.BadFrame | None:
    """Reads a frame without its length; reports the parts of a large one."""
    try:
        length_prefix = await reader.readexactly(codec.LENGTH_PREFIX.size)
        (length,) = codec.LENGTH_PREFIX.unpack(length_prefix)
        if length > max_bytes:
            return codec.BadFrame(reason=f"frame of {length} bytes")
        if length <= READ_BYTES:
            return await reader.readexactly(length)
        parts = []
        while length:
            parts.append(await reader.readexactly(min(length, READ_BYTES)))
            length -= len(parts[-1])
            on_received(len(parts[-1]))
        return b"".join(parts)
    except (asyncio.IncompleteReadError, OSError):
        return None


class LinkServer:
    """Accepts links and passes each message to one handler.

    Attributes:
        address: ``IP:port`` it listens on.
        handler: Called with each message; returns its reply.
        peers: The open connections.
    """

    def __init__(
        self, *, address: str, handler: Handler, max_connections: int = 0
    ):
        self.address = address
        self.handler = handler
        self.server: asyncio.Server | None = None
        self.peers = peer_limits.Peers(
            max_connections=max_connections
            or peer_limits.default_max_connections()
        )
        self.tasks: set[asyncio.Task] = set()
        self.check_task: asyncio.Task | None = None

    async def start(self) -> None:
        """Opens the listening socket.

        Raises:
            OSError: The address cannot be used.
        """
        host, _, port = self.address.rpartition(":")
        self.server = await asyncio.start_server(
            self._serve, host, int(port), backlog=self.peers.backlog
        )
        self.check_task = background.start(
            "silent peers", self._disconnect_silent_peers()
        )

    async def stop(self) -> None:
        """Closes the listening socket and all connections."""
        if self.server is not None:
            self.server.close()
        if self.check_task is not None:
            self.check_task.cancel()
        for writer in list(self.peers.connected):
            writer.transport.abort()
        for task in list(self.tasks):
            task.cancel()
        await asyncio.gather(*self.tasks, return_exceptions=True)

    async def _disconnect_silent_peers(self) -> None:
        loop = asyncio.get_running_loop()
        while True:
            await asyncio.sleep(SILENT_PEER_CHECK_INTERVAL_S)
            self.peers.disconnect_silent(loop.time())

    async def _serve(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        loop = asyncio.get_running_loop()
        peer = self.peers.add(writer, loop.time())
        if peer is None:
            writer.transport.abort()
            return
        try:
            sockets.set_options(writer.get_extra_info("socket"), sockets.LINK)
            while True:
                payload = await _read_payload(
                    reader,
                    on_received=lambda size: self.peers.add_incomplete(
                        peer, size
                    ),
                )
                self.peers.end_frame(peer)
                if payload is None:
                    return
                peer.record_frame(loop.time())
                decoded = payload
                if isinstance(payload, bytes):
                    decoded = codec.decode(payload)
                if isinstance(decoded, codec.BadFrame):
                    name = writer.get_extra_info("peername")
                    events.warn(
                        events.Event.FRAME_REFUSED, name, decoded.reason
                    )
                    return
                self._dispatch(decoded, peer, len(payload))
                await peer.wait_for_room()
        except OSError:
            return  # the connection was lost
        finally:
            self.peers.remove(peer)
            writer.transport.abort()

    def _dispatch(
        self,
        decoded: tuple[int, bool, object],
        peer: peer_limits.Peer,
        size: int,
    ) -> None:
        call_number, _, message = decoded
        writer = peer.writer
        if isinstance(message, ttypes.Ping):
            pong = codec.encode(0, ttypes.Ping(), reply=True)
            writer.write(pong)
            return
        if isinstance(message, codec.UnknownMessage):
            name = writer.get_extra_info("peername")
            events.record(events.Event.MESSAGE_UNKNOWN, name)
            if call_number:
                reply = ttypes.Done(ok=False)
                writer.write(codec.encode(call_number, reply, reply=True))
            return
        task = background.start(
            "link handler", self._handle(call_number, message, peer)
        )
        peer.start_call(size)
        self.tasks.add(task)
        task.add_done_callback(self.tasks.discard)
        task.add_done_callback(lambda _: peer.end_call(size))

    async def _handle(
        self, call_number: int, message: object, peer: peer_limits.Peer
    ) -> None:
        writer = peer.writer
        if call_number:
            try:
                await peer.wait_for_reader()
            except OSError:
                return  # nobody reads the reply
        reply = await self.handler(message)
        if call_number and reply is not None and not writer.is_closing():
            if peer.leaves_replies_unread():
                peer.disconnect("replies unread")
                return
            writer.write(codec.encode(call_number, reply, reply=True))
