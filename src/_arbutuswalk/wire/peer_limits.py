"""Limits on what the peers of a process's links make it hold.

Reading from a peer pauses while it has too many calls unanswered or too many
bytes of replies unread. Frames that are incomplete are limited in all: beyond
the limit the peer with the most of them is disconnected, so that one that never
completes a frame does not cost others theirs.
"""

import asyncio
import resource

from _arbutuswalk.base import events

MAX_CALLS_AHEAD = 4096
"""Messages of one peer that are being handled."""
MAX_CALL_BYTES_AHEAD = 32 * 1024 * 1024
"""Bytes of the messages of one peer that are being handled: two of the largest.
A change that a member forwards waits for acknowledgements that follow it on the
same link, so that one must not pause it."""
MAX_UNREAD_BYTES = 4 * 1024 * 1024
"""Bytes of replies that wait for one peer to read."""
MAX_INCOMPLETE_BYTES = 32 * 1024 * 1024
"""Bytes received of all peers' incomplete frames: two of the largest."""
DESCRIPTORS_FRACTION = 0.5
"""Fraction of the process's descriptors that links may take."""
BACKLOG_FRACTION = 0.25
"""Connections that are accepted at a time, before they are counted, as a
fraction of all."""
MAX_BACKLOG = 100
SILENT_CONNECTION_TIMEOUT_S = 60.0
"""Time without a complete frame after which a peer is disconnected: over a
hundred heartbeats, and enough for the largest frame at 3.75 Mbit/s."""


def default_max_connections() -> int:
    """Returns the most connections if no setting states them, 0 for any."""
    limit, _ = resource.getrlimit(resource.RLIMIT_NOFILE)
    if limit == resource.RLIM_INFINITY:
        return 0
    return max(1, int(DESCRIPTORS_FRACTION * limit))


class Peer:
    """A connection and what the process holds for it.

    Attributes:
        writer: The connection.
        calls: Messages that are being handled.
        call_bytes: Their size.
        incomplete_bytes: Bytes received of a large incomplete frame.
        heard_at: When the last frame was complete, in seconds of the event
            loop, or when the connection was accepted.
        has_sent: Whether any frame was.
        handled: Set when a message was handled.
    """

    def __init__(self, *, writer: asyncio.StreamWriter, now: float):
        self.writer = writer
        self.calls = 0
        self.call_bytes = 0
        self.incomplete_bytes = 0
        self.heard_at = now
        self.has_sent = False
        self.handled = asyncio.Event()
        writer.transport.set_write_buffer_limits(high=MAX_UNREAD_BYTES)

    def record_frame(self, now: float) -> None:
        """Records that a frame was complete."""
        self.heard_at = now
        self.has_sent = True

    def start_call(self, size: int) -> None:
        """Counts a message that is handled from now on."""
        self.calls += 1
        self.call_bytes += size

    def end_call(self, size: int) -> None:
        """Counts a message as handled."""
        self.calls -= 1
        self.call_bytes -= size
        self.handled.set()

    async def wait_for_room(self) -> None:
        """Waits until another message may be read.

        Raises:
            OSError: The connection was lost.
        """
        while (
            self.calls >= MAX_CALLS_AHEAD
            or self.call_bytes >= MAX_CALL_BYTES_AHEAD
        ):
            self.handled.clear()
            await self.handled.wait()
        await self.wait_for_reader()

    async def wait_for_reader(self) -> None:
        """Waits while too many bytes of replies are unread.

        Raises:
            OSError: The connection was lost.
        """
        if self.writer.transport.get_write_buffer_size() > MAX_UNREAD_BYTES:
            await self.writer.drain()

    def leaves_replies_unread(self) -> bool:
        """Returns whether replies wait beyond what pausing calls allows.

        Those of calls that were being handled when it paused may add to it.
        """
        size = self.writer.transport.get_write_buffer_size()
        return size > 2 * MAX_UNREAD_BYTES

    def disconnect(self, reason: str) -> None:
        """Closes the connection."""
        name = self.writer.get_extra_info("peername")
        events.record(events.Event.PEER_DISCONNECTED, name, reason)
        self.writer.transport.abort()


class Peers:
    """All connections to the links of a process.

    Attributes:
        max_connections: Most connections, 0 for any number.
        connected: The peers.
        incomplete_bytes: Bytes of their incomplete frames.
    """

    def __init__(self, *, max_connections: int):
        self.max_connections = max_connections
        self.connected: dict[asyncio.StreamWriter, Peer] = {}
        self.incomplete_bytes = 0

    @property
    def backlog(self) -> int:
        """How many connections are accepted at a time."""
        if not self.max_connections:
            return MAX_BACKLOG
        share = int(BACKLOG_FRACTION * self.max_connections)
        return max(1, min(MAX_BACKLOG, share))

    def add(self, writer: asyncio.StreamWriter, now: float) -> Peer | None:
        """Adds a connection, in place of one that has never sent a frame.

        Returns:
            The peer, or None if there are too many without it.
        """
        if self.max_connections and (
            len(self.connected) >= self.max_connections
        ):
            idle = next(
                (p for p in self.connected.values() if not p.has_sent), None
            )
            if idle is None:
                return None
            idle.disconnect("too many connections, and none of its frames")
            self.remove(idle)
        peer = self.connected[writer] = Peer(writer=writer, now=now)
        return peer

    def remove(self, peer: Peer) -> None:
        """Removes a connection."""
        self.end_frame(peer)
        self.connected.pop(peer.writer, None)

    def add_incomplete(self, peer: Peer, size: int) -> None:
        """Counts received bytes of a frame, until ``end_frame``."""
        peer.incomplete_bytes += size
        self.incomplete_bytes += size
        while self.incomplete_bytes > MAX_INCOMPLETE_BYTES:
            largest = max(
                self.connected.values(), key=lambda p: p.incomplete_bytes
            )
            largest.disconnect(
                f"most of incomplete frames over {MAX_INCOMPLETE_BYTES} bytes"
            )
            self.remove(largest)

    def end_frame(self, peer: Peer) -> None:
        """Ends the count of a frame that is complete or given up."""
        self.incomplete_bytes -= peer.incomplete_bytes
        peer.incomplete_bytes = 0

    def disconnect_silent(self, now: float) -> None:
        """Closes connections without a complete frame for too long."""
        for peer in list(self.connected.values()):
            if now - peer.heard_at > SILENT_CONNECTION_TIMEOUT_S:
                peer.disconnect("no complete frame")
                self.remove(peer)
