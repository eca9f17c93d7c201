"""A loopback proxy that delays, holds and resets connections."""

import asyncio

CHUNK_BYTES = 64 * 1024


class Proxy:
    """Passes connections on to one target and disturbs them.

    Attributes:
        target: ``IP:port`` that connections go to.
        delay_s: Time by which each chunk is late.
        flows: Events that are set while bytes flow, by direction: ``to`` the
            target and ``back`` from it. A direction that is held keeps its
            bytes, as a cut does until packets are sent again.
    """

    def __init__(self, *, target):
        self.target = target
        self.delay_s = 0.0
        self.flows = {"to": asyncio.Event(), "back": asyncio.Event()}
        self.writers = set()
        self.server = None
        self.heal()

    async def start(self):
        """Listens; returns the address to use in the target's place."""
        self.server = await asyncio.start_server(self._serve, "127.0.0.1", 0)
        return f"127.0.0.1:{self.server.sockets[0].getsockname()[1]}"

    def stop(self):
        self.server.close()
        self.reset()

    def hold(self, *directions):
        for direction in directions:
            self.flows[direction].clear()

    def heal(self):
        self.delay_s = 0.0
        for flow in self.flows.values():
            flow.set()

    def reset(self):
        """Resets all open connections."""
        for writer in list(self.writers):
            writer.transport.abort()

    async def _serve(self, reader, writer):
        host, _, port = self.target.rpartition(":")
        try:
            far_reader, far_writer = await asyncio.open_connection(
                host, int(port)
            )
        except OSError:
            writer.transport.abort()
            return
        ends = {writer, far_writer}
        self.writers |= ends
        try:
            await asyncio.gather(
                self._pump(reader, far_writer, "to"),
                self._pump(far_reader, writer, "back"),
            )
        except (OSError, asyncio.CancelledError):
            pass
        finally:
            self.writers -= ends
            for each in ends:
                each.transport.abort()

    async def _pump(self, reader, writer, direction):
        while data := await reader.read(CHUNK_BYTES):
            if self.delay_s:
                await asyncio.sleep(self.delay_s)
            await self.flows[direction].wait()
            writer.write(data)
            await writer.drain()
        await self.flows[direction].wait()
        if writer.can_write_eof():
            writer.write_eof()
