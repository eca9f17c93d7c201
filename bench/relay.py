"""Processor time of relaying, per request and per event, and start-up time.

Callers, endpoints and the relay run in one process; the same traffic without
the relay is taken off. ``python -m bench.relay``.
"""

import asyncio
import os
import pathlib
import subprocess
import sys
import time

ROOT = pathlib.Path(__file__).parent.parent
sys.path[:0] = [str(ROOT / "platform"), str(ROOT / "testing")]

import relay_fixtures  # noqa: E402
from arbutuswalk_platform import callers  # noqa: E402
from arbutuswalk_platform import server  # noqa: E402

from _arbutuswalk.state import routeconfig  # noqa: E402

REQUESTS = 2000
EVENTS = 20000
HEAD = (
    b"POST /a/x HTTP/1.1\r\nHost: h.example\r\nX-Attempt-Id: attempt-1\r\n"
    b"X-Key: key\r\nX-Deadline-Ms: 60000\r\nContent-Length: 4\r\n\r\nbody"
)


async def ask(port, end):
    """Sends one request on a new connection; returns what came."""
    reader, writer = await asyncio.open_connection("127.0.0.1", port)
    writer.write(HEAD)
    data = await reader.readuntil(end)
    writer.close()
    return data


async def requests(port, count):
    """Sends requests on one kept connection."""
    reader, writer = await asyncio.open_connection("127.0.0.1", port)
    for _ in range(count):
        writer.write(HEAD)
        await reader.readuntil(b"\r\n\r\nok")
    writer.close()


async def measure(work):
    """Returns the processor seconds that ``work`` took."""
    before = time.process_time()
    await work
    return time.process_time() - before


async def run_requests():
    """Returns microseconds of processor for each relayed request."""
    relay = relay_fixtures.make_relay()
    endpoint = await relay_fixtures.ScriptedEndpoint().start(relay)
    direct = endpoint.server.sockets[0].getsockname()[1]
    listener = server.Listener(
        address="127.0.0.1:0", app=callers.make_app(relay)
    )
    await listener.start()
    port = listener.server.sockets[0].getsockname()[1]
    alone = await measure(requests(direct, REQUESTS))
    relayed = await measure(requests(port, REQUESTS))
    endpoint.stop()
    await listener.stop()
    return (relayed - alone) / REQUESTS * 1e6


async def run_events():
    """Returns microseconds of processor for each relayed event."""
    route = relay_fixtures.make_route(kind=routeconfig.STREAM, timeout_s=60.0)
    relay = relay_fixtures.make_relay(relay_fixtures.make_config(route))
    events = [(number, "text " * 10) for number in range(EVENTS)]
    steps = [
        relay_fixtures.send_stream(*events),
        relay_fixtures.send_stream(*events),
    ]
    endpoint = await relay_fixtures.ScriptedEndpoint(*steps).start(relay)
    direct = endpoint.server.sockets[0].getsockname()[1]
    listener = server.Listener(
        address="127.0.0.1:0", app=callers.make_app(relay)
    )
    await listener.start()
    port = listener.server.sockets[0].getsockname()[1]
    end = f"id: {EVENTS - 1}\n".encode()
    alone = await measure(drain(direct, end))
    relayed = await measure(drain(port, end))
    endpoint.stop()
    await listener.stop()
    return (relayed - alone) / EVENTS * 1e6


async def drain(port, end):
    """Reads a stream until its last event."""
    reader, writer = await asyncio.open_connection("127.0.0.1", port)
    writer.write(HEAD)
    tail = b""
    while end not in tail:
        tail = tail[-len(end) :] + await reader.read(65536)
    writer.close()


def run_start(program):
    """Returns seconds until a program has read its imports."""
    code = (
        f"import sys; sys.path[:0] = ['src', 'platform'];"
        f"import arbutuswalk_platform.{program}"
    )
    before = time.monotonic()
    subprocess.run([sys.executable, "-c", code], cwd=ROOT, check=True)
    return time.monotonic() - before


def main():
    """Prints the figures."""
    print(f"processors: {os.cpu_count()}")
    print(f"request: {asyncio.run(run_requests()):.0f} us of processor")
    print(f"event: {asyncio.run(run_events()):.1f} us of processor")
    for program in ("entry", "control"):
        best = min(run_start(program) for _ in range(5))
        print(f"start of {program}: {best:.2f} s until imports are done")


if __name__ == "__main__":
    main()
