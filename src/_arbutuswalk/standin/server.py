"""An ASGI server for simulated processes that can be aborted."""

import asyncio
import contextlib

import uvicorn


class Server(uvicorn.Server):
    """A server that can stop abruptly, as if its instance were lost.

    Attributes:
        serve_task: The task that runs the server, or None before its start.
    """

    serve_task: asyncio.Task | None = None

    @contextlib.contextmanager
    def capture_signals(self):
        """Overrides uvicorn's method: installs no signal handlers."""
        yield

    async def start_listening(self) -> None:
        """Starts the server and returns once its socket listens."""
        self.serve_task = asyncio.ensure_future(self.serve())
        while not self.started and not self.serve_task.done():
            await asyncio.sleep(0.005)
        if self.serve_task.done():
            self.serve_task.result()

    async def abort(self) -> None:
        """Closes the socket and aborts all connections and requests."""
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
        if self.serve_task is not None:
            await asyncio.gather(self.serve_task, return_exceptions=True)


def make_server(app: object, address: str) -> Server:
    """Returns a server for ``app`` that listens on ``IP:port``."""
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
