"""Runs ASGI applications inside a stand-in, and cuts them off abruptly."""

import asyncio
import contextlib

import uvicorn


class Server(uvicorn.Server):
    """A server that can stop as if its machine were gone.

    Attributes:
        task: The task that serves.
    """

    task: asyncio.Task | None = None

    @contextlib.contextmanager
    def capture_signals(self):
        """Installs no signal handlers."""
        yield

    async def begin(self) -> None:
        """Starts to serve and returns once the socket listens."""
        self.task = asyncio.ensure_future(self.serve())
        while not self.started and not self.task.done():
            await asyncio.sleep(0.005)
        if self.task.done():
            self.task.result()

    async def cut(self) -> None:
        """Aborts every connection and closes the socket."""
        for listener in getattr(self, "servers", []):
            listener.close()
        for connection in list(self.server_state.connections):
            transport = getattr(connection, "transport", None)
            if transport is not None:
                transport.abort()
        for task in list(self.server_state.tasks):
            task.cancel()
        self.should_exit = True
        self.force_exit = True
        if self.task is not None:
            await asyncio.gather(self.task, return_exceptions=True)


def make(app: object, address: str) -> Server:
    """Returns a server for ``app`` at ``IP:port``."""
    host, _, port = address.rpartition(":")
    config = uvicorn.Config(
        app,
        host=host,
        port=int(port),
        log_config=None,
        access_log=False,
        lifespan="off",
        backlog=2048,
    )
    return Server(config)
