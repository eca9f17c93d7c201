"""Loopback proxy that delays, blocks and resets connections."""

import asyncio

CHUNK_BYTES = 64 * 1024


class FaultProxy:
    """Forwards connections to one target and injects faults into them.

    Attributes:
        target: ``IP:port`` to which connections are forwarded.
        delay_s: Delay of each chunk.
        flowing: Events that are set while bytes are forwarded, by direction:
            ``to`` the target and ``back`` from it. A blocked direction keeps
            its bytes, as a network partition does until packets are
            retransmitted.
    """

    def __init__(self, *, target):
        self.target = target
        self.delay_s = 0.0
        self.flowing = {"to": asyncio.Event(), "back": asyncio.Event()}
        self.open_writers = set()
        self.server = None
        self.restore()

    async def start(self):
        """Listens; returns the address to use instead of the target's."""
        self.server = await asyncio.start_server(
            self._handle_connection, "127.0.0.1", 0
        )
        return f"127.0.0.1:{self.server.sockets[0].getsockname()[1]}"

    def stop(self):
        self.server.close()
        self.reset_connections()

    def block(self, *directions):
        for direction in directions:
            self.flowing[direction].clear()

    def restore(self):
        self.delay_s = 0.0
        for event in self.flowing.values():
            event.set()

    def reset_connections(self):
        """Resets all open connections."""
        for writer in list(self.open_writers):
            writer.transport.abort()

    async def _handle_connection(self, reader, writer):
        host, _, port = self.target.rpartition(":")
        try:
            target_reader, target_writer = await asyncio.open_connection(
                host, int(port)
            )
        except OSError:
            writer.transport.abort()
            return
        connection_writers = {writer, target_writer}
        self.open_writers |= connection_writers
        try:
            await asyncio.gather(
                self._forward(reader, target_writer, "to"),
                self._forward(target_reader, writer, "back"),
            )
        except (OSError, asyncio.CancelledError):
            pass
        finally:
            self.open_writers -= connection_writers
            for connection_writer in connection_writers:
                connection_writer.transport.abort()

    async def _forward(self, reader, writer, direction):
        while chunk := await reader.read(CHUNK_BYTES):
            if self.delay_s:
                await asyncio.sleep(self.delay_s)
            await self.flowing[direction].wait()
            writer.write(chunk)
            await writer.drain()
        await self.flowing[direction].wait()
        if writer.can_write_eof():
            writer.write_eof()
