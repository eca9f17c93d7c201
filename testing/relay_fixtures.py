"""Fixtures: a relay, scripted endpoints on loopback and a recording caller."""

import asyncio
import json
import socket
import struct

from arbutuswalk_platform import headers

from _arbutuswalk.limits import quota_levels
from _arbutuswalk.relay import control_watch
from _arbutuswalk.relay import delivery
from _arbutuswalk.relay import relay_state
from _arbutuswalk.relay import request as requests
from _arbutuswalk.routing import directory
from _arbutuswalk.state import routeconfig

OPTIONS = relay_state.Options(
    retry_ratio=0.2,
    retry_extra=400.0,
    retry_window_s=10.0,
    usage_window_s=5.0,
    quota=quota_levels.QuotaTolerance(
        window_s=8.0, overshoot=0.1, tolerance=0.0
    ),
    heartbeat_s=1.2,
)


def make_route(**changes):
    values = {
        "name": "r",
        "host": "h.example",
        "prefix": "/a/",
        "kind": routeconfig.IDEMPOTENT,
        "timeout_s": 1.0,
        "objective_s": 0.3,
        "priority": 2,
        "targets": (routeconfig.Target("ops", 1),),
        "max_attempts": 2,
        "anonymous": False,
        "affinity": False,
        "resumable": False,
        "gap_s": 0.0,
    }
    return routeconfig.Route(**{**values, **changes})


def make_config(*routes, version=1, **workspace):
    values = {
        "name": "w",
        "keys": ("key",),
        "priority": None,
        "by_tokens": True,
        "default_tokens": 10,
        "rate_per_s": 0.0,
        "burst": 0.0,
    }
    return routeconfig.RouteConfig(
        version=version,
        routes=routes or (make_route(),),
        upstreams=(routeconfig.Upstream("ops", 100, None, None),),
        workspaces=(routeconfig.Workspace(**{**values, **workspace}),),
        limits=routeconfig.Limits(100_000, 15.0),
    )


def make_relay(config=None, **changes):
    relay = relay_state.Relay(
        name="entry-1",
        domain="d1",
        dialect=headers.DIALECT,
        options=OPTIONS._replace(**changes),
    )
    relay.entry_count = 1
    config = config or make_config()
    values = json.loads(json.dumps(routeconfig.to_json(config)))
    control_watch.apply_routes(relay, values, "test")
    return relay


def make_request(relay, **changes):
    route = changes.pop("route", relay.route_table.config.routes[0])
    now = relay.now()
    values = {
        "id": "attempt-1",
        "method": "POST",
        "target": "/a/x?y=1",
        "headers": [(b"host", b"h.example"), (b"x-attempt-id", b"attempt-1")],
        "body": b"body",
        "route": route,
        "upstream": "ops",
        "workspace": relay.route_table.config.workspaces[0],
        "received_at": now,
        "deadline": now + route.timeout_s,
        "caller_deadline_s": route.timeout_s,
        "prompt": None,
        "last_event": "",
        "fingerprint": "f",
    }
    return requests.Request(**{**values, **changes})


class RecordingCaller:
    """Records the answer sent to a caller."""

    def __init__(self):
        self.status = 0
        self.headers = []
        self.data = b""
        self.complete = False

    async def send_head(self, status, headers):
        self.status, self.headers = status, headers

    async def send_body(self, data):
        self.data += data

    async def end_answer(self):
        self.complete = True

    def make_delivery(self, relay, request):
        sender = requests.AnswerSender(
            send_head=self.send_head,
            send_body=self.send_body,
            end_answer=self.end_answer,
        )
        return delivery.Delivery(relay=relay, request=request, sender=sender)


class ScriptedEndpoint:
    """A scripted endpoint; each request runs the next step of the script.

    A step is called with the request head and the writer of the connection.

    Attributes:
        backlog: Connections that may wait for the event loop to accept them.
    """

    backlog = 100

    def __init__(self, *steps, name="e1", upstream="ops", **announced):
        self.steps = list(steps)
        self.name = name
        self.upstream = upstream
        self.announced = announced
        self.request_heads = []
        self.request_bodies = []
        self.connection_count = 0
        self.connection_lost = asyncio.Event()
        self.server = None

    async def start(self, relay):
        self.server = await asyncio.start_server(
            self.serve, "127.0.0.1", 0, backlog=self.backlog
        )
        port = self.server.sockets[0].getsockname()[1]
        values = {
            "id": self.name,
            "born_ms": 1,
            "sequence": 1,
            "upstream": self.upstream,
            "address": f"127.0.0.1:{port}",
            "domain": "d1",
            "version": "v1",
            "slots": 4,
            "state": directory.READY,
        }
        announced = directory.Endpoint(**{**values, **self.announced})
        directory.announce(relay.directory, announced, relay.now())
        return self

    async def serve(self, reader, writer):
        self.connection_count += 1
        try:
            while True:
                head = (await reader.readuntil(b"\r\n\r\n")).decode()
                size = 0
                for line in head.lower().split("\r\n"):
                    if line.startswith("content-length:"):
                        size = int(line.partition(":")[2])
                self.request_bodies.append(await reader.readexactly(size))
                self.request_heads.append(head)
                step = self.steps.pop(0) if self.steps else send_answer()
                await step(head, writer)
                if writer.is_closing():
                    return
        except (
            asyncio.IncompleteReadError,
            asyncio.CancelledError,
            ConnectionError,
        ):
            self.connection_lost.set()
        finally:
            writer.close()

    def stop(self):
        self.server.close()


def send_answer(body=b"ok", status="200 OK", echo="attempt-1", extra=""):
    async def step(head, writer):
        writer.write(
            f"HTTP/1.1 {status}\r\nX-Attempt-Id: {echo}\r\n"
            f"X-Server-Signature: s\r\n{extra}"
            f"Content-Length: {len(body)}\r\n\r\n".encode()
            + body
        )
        await writer.drain()

    return step


def reset_connection(writer):
    """Closes a connection with a TCP reset instead of a FIN."""
    sock = writer.get_extra_info("socket")
    zero_linger = struct.pack("ii", 1, 0)
    sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, zero_linger)
    writer.transport.abort()


def send_bytes(data, close=False, reset=False, wait_s=0.0):
    async def step(head, writer):
        writer.write(data)
        await writer.drain()
        await asyncio.sleep(wait_s)
        if reset:
            reset_connection(writer)
        elif close:
            writer.close()

    return step


def stay_silent(wait_s=30.0):
    async def step(head, writer):
        await asyncio.sleep(wait_s)

    return step


def send_stream(*events, end=True, close=False, extra=""):
    """Returns a step that sends (id, text) events as chunks."""

    async def step(head, writer):
        writer.write(
            b"HTTP/1.1 200 OK\r\nX-Attempt-Id: attempt-1\r\n"
            b"X-Server-Signature: first\r\nContent-Type: text/event-stream\r\n"
            b"Transfer-Encoding: chunked\r\n\r\n"
        )
        for number, text in events:
            data = f"id: {number}\ndata: {text}\n\n".encode()
            writer.write(b"%x\r\n%b\r\n" % (len(data), data))
            await writer.drain()
            await asyncio.sleep(0)
        if extra:
            data = extra.encode()
            writer.write(b"%x\r\n%b\r\n" % (len(data), data))
        if end:
            writer.write(b"0\r\n\r\n")
        await writer.drain()
        if close:
            await asyncio.sleep(0.01)
            writer.transport.abort()

    return step
