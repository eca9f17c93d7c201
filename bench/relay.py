"""Processor time of relaying, per request and per event, and import time.

Callers, endpoints and the relay share one process; the processor time of the
same traffic without the relay is subtracted. Run by ``python -m bench.relay``.
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

REQUEST_COUNT = 2000
EVENT_COUNT = 20000
REQUEST = (
    b"POST /a/x HTTP/1.1\r\nHost: h.example\r\nX-Attempt-Id: attempt-1\r\n"
    b"X-Key: key\r\nX-Deadline-Ms: 60000\r\nContent-Length: 4\r\n\r\nbody"
)


async def send_request(port, end_marker):
    """Sends one request on a new connection; returns its answer."""
    reader, writer = await asyncio.open_connection("127.0.0.1", port)
    writer.write(REQUEST)
    answer = await reader.readuntil(end_marker)
    writer.close()
    return answer


async def send_requests(port, request_count):
    """Sends requests in sequence on one connection."""
    reader, writer = await asyncio.open_connection("127.0.0.1", port)
    for _ in range(request_count):
        writer.write(REQUEST)
        await reader.readuntil(b"\r\n\r\nok")
    writer.close()


async def measure_cpu_s(awaitable):
    """Returns the processor seconds that ``awaitable`` took."""
    started_s = time.process_time()
    await awaitable
    return time.process_time() - started_s


async def measure_request_us():
    """Returns the processor time of a relayed request in microseconds."""
    relay = relay_fixtures.make_relay()
    endpoint = await relay_fixtures.ScriptedEndpoint().start(relay)
    endpoint_port = endpoint.server.sockets[0].getsockname()[1]
    listener = server.Listener(
        address="127.0.0.1:0", app=callers.make_app(relay)
    )
    await listener.start()
    relay_port = listener.server.sockets[0].getsockname()[1]
    direct_s = await measure_cpu_s(send_requests(endpoint_port, REQUEST_COUNT))
    relayed_s = await measure_cpu_s(send_requests(relay_port, REQUEST_COUNT))
    endpoint.stop()
    await listener.stop()
    return (relayed_s - direct_s) / REQUEST_COUNT * 1e6


async def measure_event_us():
    """Returns the processor time of a relayed event in microseconds."""
    route = relay_fixtures.make_route(kind=routeconfig.STREAM, timeout_s=60.0)
    relay = relay_fixtures.make_relay(relay_fixtures.make_config(route))
    events = [(number, "text " * 10) for number in range(EVENT_COUNT)]
    steps = [
        relay_fixtures.send_stream(*events),
        relay_fixtures.send_stream(*events),
    ]
    endpoint = await relay_fixtures.ScriptedEndpoint(*steps).start(relay)
    endpoint_port = endpoint.server.sockets[0].getsockname()[1]
    listener = server.Listener(
        address="127.0.0.1:0", app=callers.make_app(relay)
    )
    await listener.start()
    relay_port = listener.server.sockets[0].getsockname()[1]
    end_marker = f"id: {EVENT_COUNT - 1}\n".encode()
    direct_s = await measure_cpu_s(read_stream(endpoint_port, end_marker))
    relayed_s = await measure_cpu_s(read_stream(relay_port, end_marker))
    endpoint.stop()
    await listener.stop()
    return (relayed_s - direct_s) / EVENT_COUNT * 1e6


async def read_stream(port, end_marker):
    """Sends a request and reads its stream until ``end_marker``."""
    reader, writer = await asyncio.open_connection("127.0.0.1", port)
    writer.write(REQUEST)
    tail = b""
    while end_marker not in tail:
        tail = tail[-len(end_marker) :] + await reader.read(65536)
    writer.close()


def measure_import_s(program):
    """Returns the seconds that a program takes to import its modules."""
    code = (
        f"import sys; sys.path[:0] = ['src', 'platform'];"
        f"import arbutuswalk_platform.{program}"
    )
    started_s = time.monotonic()
    subprocess.run([sys.executable, "-c", code], cwd=ROOT, check=True)
    return time.monotonic() - started_s


def main():
    """Runs the benchmark and prints its results."""
    print(f"processors: {os.cpu_count()}")
    print(
        f"request: {asyncio.run(measure_request_us()):.0f} us of processor time"
    )
    print(f"event: {asyncio.run(measure_event_us()):.1f} us of processor time")
    for program in ("entry", "control"):
        shortest_s = min(measure_import_s(program) for _ in range(5))
        print(f"start of {program}: {shortest_s:.2f} s until its imports end")


if __name__ == "__main__":
    main()
