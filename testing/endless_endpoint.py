"""Endpoint that sends bytes without end, from a thread of its own.

The thread keeps the sending out of the event loop under test, so that its
latency and its processor time are those of the entry.
"""

import asyncio
import contextlib
import itertools
import socket
import threading
import time

from _arbutuswalk.routing import directory

BLOCK_BYTES = 64 * 1024
TRICKLE_INTERVAL_S = 0.1
MAX_SENDING_S = 20.0
"""Longest sending of one answer, so that no thread outlives a failed test."""


class EndlessEndpoint:
    """An endpoint whose answers have a start and an endlessly repeated part.

    Attributes:
        start: First bytes of each answer, sent at once.
        repeated: Bytes that follow until the connection is closed.
        trickle: Whether the repeated part comes a byte at a time.
        pause_s: Seconds between the first and the repeated part.
        ends: Times at which connections were closed by the other side.
        sent_bytes: Bytes sent on all connections.
    """

    def __init__(self, start, repeated, *, trickle=False, name="endless"):
        self.start = start
        self.repeated = repeated
        self.trickle = trickle
        self.pause_s = 0.0
        self.name = name
        self.request_heads = []
        self.connection_count = 0
        self.ends = []
        self.sent_bytes = 0
        self.listener = socket.create_server(("127.0.0.1", 0))
        self.thread = threading.Thread(target=self._run, daemon=True)
        self.loop = None
        self.accept_task = None
        self.serve_tasks = set()

    @property
    def address(self):
        return f"127.0.0.1:{self.listener.getsockname()[1]}"

    def listen(self):
        self.thread.start()
        return self

    def announce(self, relay, upstream="ops"):
        values = {
            "id": self.name,
            "born_ms": 1,
            "sequence": 1,
            "upstream": upstream,
            "address": self.address,
            "domain": "d1",
            "version": "v1",
            "slots": 4,
            "state": directory.READY,
        }
        announced = directory.Endpoint(**values)
        directory.announce(relay.directory, announced, relay.now())

    def stop(self):
        with contextlib.suppress(RuntimeError):
            self.loop.call_soon_threadsafe(self.accept_task.cancel)
        self.listener.close()

    def _run(self):
        with contextlib.suppress(asyncio.CancelledError):
            asyncio.run(self._accept())

    async def _accept(self):
        self.loop = asyncio.get_running_loop()
        self.accept_task = asyncio.current_task()
        self.listener.setblocking(False)
        with contextlib.suppress(OSError):
            while True:
                connection, _ = await self.loop.sock_accept(self.listener)
                self.connection_count += 1
                task = self.loop.create_task(self._serve(connection))
                self.serve_tasks.add(task)
                task.add_done_callback(self.serve_tasks.discard)

    async def _serve(self, connection):
        connection.setblocking(False)
        with connection, contextlib.suppress(OSError):
            head = b""
            while b"\r\n\r\n" not in head:
                data = await self.loop.sock_recv(connection, BLOCK_BYTES)
                if not data:
                    return
                head += data
            self.request_heads.append(head)
            try:
                async with asyncio.timeout(MAX_SENDING_S):
                    await self._send_endlessly(connection)
            finally:
                self.ends.append(time.monotonic())

    async def _send_endlessly(self, connection):
        await self.loop.sock_sendall(connection, self.start)
        await asyncio.sleep(self.pause_s)
        if self.trickle:
            for number in itertools.cycle(range(len(self.repeated))):
                byte = self.repeated[number : number + 1]
                await self.loop.sock_sendall(connection, byte)
                self.sent_bytes += 1
                await asyncio.sleep(TRICKLE_INTERVAL_S)
        block = self.repeated * max(1, BLOCK_BYTES // len(self.repeated))
        while True:
            await self.loop.sock_sendall(connection, block)
            self.sent_bytes += len(block)
            await asyncio.sleep(0)


def resident_bytes():
    with open("/proc/self/statm") as statm:
        return int(statm.read().split()[1]) * 4096
