"""Connections to upstreams that another process opens and passes on.

The peer is asked in one message; after its reply the connection carries the
upstream's bytes.
"""

import asyncio
import dataclasses

from _arbutuswalk.streams import connection as connections
from _arbutuswalk.streams import pool
from _arbutuswalk.wire import codec
from _arbutuswalk.wire import sockets
from _arbutuswalk.wire.gen.arbutus import ttypes

CONNECTIONS_LOST = "connections to endpoints are lost"
"""Reason of a peer whose tunnels are as dead as its own connections. Peers of
former builds name none of this kind."""


@dataclasses.dataclass(frozen=True, kw_only=True)
class PeerFailed:
    """The peer could not be asked, or cannot open connections itself.

    Attributes:
        reason: Why not.
        is_silent: Whether nothing was heard of the peer at all.
        has_lost_tunnels: Whether the peer says that its tunnels are dead.
    """

    reason: str
    is_silent: bool = False
    has_lost_tunnels: bool = False


MAX_REPLY_BYTES = 4096
"""Largest reply of a peer: a reason and some flags."""


class Handshake(asyncio.Protocol):
    """Receives a peer's reply to a request for a tunnel.

    Bytes after the reply are not kept: no upstream sends any before a request.

    Attributes:
        received: Bytes of the reply so far.
        reply: The reply; None if the connection ended before or is no tunnel.
    """

    def __init__(self):
        self.received = b""
        self.reply = asyncio.get_running_loop().create_future()

    def data_received(self, data: bytes) -> None:
        """Decodes the reply once it is complete."""
        if self.reply.done():
            return
        self.received += data[: MAX_REPLY_BYTES + 1]
        prefix = codec.LENGTH_PREFIX
        if len(self.received) < prefix.size:
            return
        (length,) = prefix.unpack_from(self.received)
        payload = self.received[prefix.size :]
        if length > MAX_REPLY_BYTES or len(payload) > length:
            self._set_reply(None)
        elif len(payload) == length:
            decoded = codec.decode(payload)
            is_frame = not isinstance(decoded, codec.BadFrame)
            message = decoded[2] if is_frame else None
            is_reply = isinstance(message, ttypes.TunnelReply)
            self._set_reply(message if is_reply else None)

    def connection_lost(self, error: Exception | None) -> None:
        """Ends the wait for the reply."""
        self._set_reply(None)

    def _set_reply(self, reply: ttypes.TunnelReply | None) -> None:
        if not self.reply.done():
            self.reply.set_result(reply)


async def open_tunnel(
    connection: connections.Connection, *, name: str, timeout_s: float
) -> pool.NotOpened | PeerFailed | None:
    """Opens a connection through its peer; returns why that failed, if so.

    Args:
        connection: Connection without a transport, which names the peer.
        name: Id of this process.
        timeout_s: Time-out of all of it.
    """
    loop = asyncio.get_running_loop()
    host, _, port = connection.peer.rpartition(":")
    transport = None
    try:
        async with asyncio.timeout(timeout_s):
            transport, handshake = await loop.create_connection(
                Handshake, host, int(port)
            )
            sockets.set_options(
                transport.get_extra_info("socket"), sockets.UPSTREAM
            )
            request = ttypes.TunnelRequest(
                entry=name, address=connection.address
            )
            transport.write(codec.encode(1, request, reply=False))
            reply = await handshake.reply
    except (TimeoutError, OSError, ValueError, OverflowError) as error:
        if transport is not None:
            transport.abort()
        return PeerFailed(
            reason=str(error) or "timed out",
            is_silent=isinstance(error, TimeoutError),
        )
    failure = _find_failure(reply, transport)
    if failure is not None:
        transport.abort()
        return failure
    transport.set_protocol(connection)
    connection.connection_made(transport)
    return None


def _find_failure(
    reply: ttypes.TunnelReply | None, transport: asyncio.Transport
) -> pool.NotOpened | PeerFailed | None:
    if reply is None or (reply.opened and transport.is_closing()):
        return PeerFailed(reason="connection closed")
    if reply.opened:
        return None
    if reply.ask_another:
        return PeerFailed(
            reason=reply.reason,
            has_lost_tunnels=reply.reason == CONNECTIONS_LOST,
        )
    return pool.NotOpened(reason=reply.reason, refused=reply.refused)
