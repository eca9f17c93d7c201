"""Opens connections to endpoints for entries that cannot reach them."""

import asyncio

from _arbutuswalk.base import background
from _arbutuswalk.relay import evacuations
from _arbutuswalk.relay import relay_state
from _arbutuswalk.routing import directory
from _arbutuswalk.streams import pool
from _arbutuswalk.streams import tunnels
from _arbutuswalk.wire import codec
from _arbutuswalk.wire import link
from _arbutuswalk.wire import sockets
from _arbutuswalk.wire.gen.arbutus import ttypes

REQUEST_TIMEOUT_S = 1.0
CONNECT_TIMEOUT_S = 0.4
"""Below the time-out of the entry that waits, so that it learns the result."""
MAX_TUNNELS = 1000
"""A quarter of the descriptors of an entry, as each tunnel takes two."""
MAX_WAITING = 200
"""Connections beside the tunnels that may still ask for one."""
MAX_REQUEST_BYTES = 4096
"""Largest frame that asks for a tunnel."""
COPY_BYTES = 64 * 1024


class TunnelServer:
    """Accepts requests for tunnels.

    Attributes:
        address: ``IP:port`` it listens on.
        relay: State of this entry.
        server: The listener, None before the start.
        tasks: One for each open tunnel.
    """

    def __init__(self, *, address: str, relay: relay_state.Relay):
        self.address = address
        self.relay = relay
        self.server: asyncio.Server | None = None
        self.tasks: set[asyncio.Task] = set()

    async def start(self) -> None:
        """Opens the listening socket.

        Raises:
            OSError: The address cannot be bound.
        """
        host, _, port = self.address.rpartition(":")
        self.server = await asyncio.start_server(self._accept, host, int(port))

    async def stop(self) -> None:
        """Stops listening and closes all tunnels."""
        if self.server is not None:
            self.server.close()
        for task in list(self.tasks):
            task.cancel()
        await asyncio.gather(*self.tasks, return_exceptions=True)

    def _accept(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        if len(self.tasks) >= MAX_TUNNELS + MAX_WAITING:
            writer.transport.abort()
            return
        task = background.start("tunnel", self._serve(reader, writer))
        self.tasks.add(task)
        task.add_done_callback(self.tasks.discard)

    async def _serve(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        upstream = None
        try:
            sockets.set_options(
                writer.get_extra_info("socket"), sockets.UPSTREAM
            )
            async with asyncio.timeout(REQUEST_TIMEOUT_S):
                decoded = await link.read_frame(
                    reader, max_bytes=MAX_REQUEST_BYTES
                )
            if decoded is None or isinstance(decoded, codec.BadFrame):
                return
            call_number, _, message = decoded
            if not isinstance(message, ttypes.TunnelRequest):
                return
            opened = await self._open(message.address)
            is_open = not isinstance(opened, ttypes.TunnelReply)
            reply = opened
            if is_open:
                upstream = opened[1]
                reply = _make_reply("")
            self.relay.metrics.count("tunnels_served", f'opened="{is_open}"')
            writer.write(codec.encode(call_number, reply, reply=True))
            await writer.drain()
            if is_open:
                await _splice((reader, writer), opened)
        except (TimeoutError, OSError):
            return
        finally:
            for each in (writer, upstream):
                if each is not None:
                    each.close()

    async def _open(
        self, address: str
    ) -> tuple[asyncio.StreamReader, asyncio.StreamWriter] | ttypes.TunnelReply:
        relay = self.relay
        if relay.paths.is_cut_off and relay.paths.is_silent:
            return _make_reply(tunnels.CONNECTIONS_LOST, ask_another=True)
        if relay.draining or relay.paths.is_cut_off:
            return _make_reply("no path to endpoints", ask_another=True)
        if len(self.tasks) > MAX_TUNNELS:
            return _make_reply("too many tunnels", ask_another=True)
        row = relay.directory.rows.get(
            relay.directory.ids_by_address.get(address, "")
        )
        if row is None or row.endpoint.state == directory.GONE:
            return _make_reply("unknown endpoint", ask_another=True)
        if evacuations.is_evacuated(relay, row.endpoint):
            return _make_reply("evacuated failure domain")
        host, _, port = address.rpartition(":")
        try:
            async with asyncio.timeout(CONNECT_TIMEOUT_S):
                reader, writer = await asyncio.open_connection(host, int(port))
            sockets.set_options(
                writer.get_extra_info("socket"), sockets.UPSTREAM
            )
        except (TimeoutError, OSError) as error:
            failure = pool.not_opened(error)
            relay.paths.record_failure(address, refused=failure.refused)
            return _make_reply(failure.reason, refused=failure.refused)
        relay.paths.record_success()
        return reader, writer


def _make_reply(
    reason: str, *, refused: bool = False, ask_another: bool = False
) -> ttypes.TunnelReply:
    return ttypes.TunnelReply(
        opened=not reason,
        reason=reason,
        refused=refused,
        ask_another=ask_another,
    )


async def _splice(
    caller: tuple[asyncio.StreamReader, asyncio.StreamWriter],
    upstream: tuple[asyncio.StreamReader, asyncio.StreamWriter],
) -> None:
    """Passes bytes on until either side ends its connection."""
    copies = [
        asyncio.ensure_future(_copy(caller[0], upstream[1])),
        asyncio.ensure_future(_copy(upstream[0], caller[1])),
    ]
    try:
        await asyncio.wait(copies, return_when=asyncio.FIRST_COMPLETED)
    finally:
        for copy in copies:
            copy.cancel()
        await asyncio.gather(*copies, return_exceptions=True)
        upstream[1].transport.abort()


async def _copy(
    reader: asyncio.StreamReader, writer: asyncio.StreamWriter
) -> None:
    while data := await reader.read(COPY_BYTES):
        writer.write(data)
        await writer.drain()
