"""Endpoints of the soak: they note every run and announce themselves."""

import asyncio
import contextlib
import hashlib
from typing import NamedTuple

from aiohttp import web

from soak import proxy

EVENTS = 8
EVENT_PAUSE_S = 0.02
WORK_S = 0.01
BEAT_S = 0.3


class Run(NamedTuple):
    """One arrival of a request at an endpoint.

    Attributes:
        request_id: Id of the caller's attempt.
        asked: What was asked for, as ``asked_for`` says it.
        endpoint: Id of the endpoint.
        at: When, in seconds.
    """

    request_id: str
    asked: str
    endpoint: str
    at: float


def asked_for(method, target, body):
    """Returns what a request asks for, so that both sides can compare."""
    return f"{method} {target} {hashlib.sha256(body).hexdigest()[:12]}"


def answer_to(request_id, asked):
    """Returns the body of the only right answer."""
    return f"{request_id}|{asked}".encode()


class Runner:
    """An endpoint with a proxy before it.

    Attributes:
        name: Its id.
        world: Processes that it announces itself to.
        runs: All runs of the soak, shared.
        state: What its heartbeats say.
        acked_leaving_at: When control acknowledged that it leaves, or None.
    """

    def __init__(self, *, name, world, runs):
        self.name = name
        self.world = world
        self.runs = runs
        self.state = "ready"
        self.acked_leaving_at = None
        self.proxy = None
        self.site = None
        self.beating = None
        self.sequence = 0
        self.born = 0

    async def start(self):
        """Starts a new process of the endpoint, at a new address."""
        app = web.Application()
        app.router.add_route("*", "/{path:.*}", self._serve)
        self.site = web.AppRunner(app, shutdown_timeout=0)
        await self.site.setup()
        site = web.TCPSite(self.site, "127.0.0.1", 0)
        await site.start()
        port = self.site.addresses[0][1]
        self.proxy = proxy.Proxy(target=f"127.0.0.1:{port}")
        self.address = await self.proxy.start()
        self.born += 1
        self.state, self.acked_leaving_at = "ready", None
        self.beating = asyncio.ensure_future(self._beat())

    async def stop(self):
        """Ends the process at once, without a word."""
        if self.beating is None:
            return
        self.beating.cancel()
        await asyncio.gather(self.beating, return_exceptions=True)
        self.beating = None
        self.proxy.stop()
        await self.site.cleanup()

    async def leave(self):
        """Says that it leaves, serves out, and ends."""
        self.state = "draining"
        await asyncio.sleep(1.5)
        await self.stop()

    async def _beat(self):
        while True:
            self.sequence += 1
            await self._announce()
            await asyncio.sleep(BEAT_S)

    async def _announce(self):
        state = self.state
        said = {
            "service": "ops",
            "address": self.address,
            "zone": "d1",
            "version": "v1",
            "slots": 8,
            "state": state,
            "sequence": self.sequence,
            "born": self.born,
        }
        for ip in self.world.controls:
            url = f"http://{ip}:{self.world.operators}"
            url += f"/v1/Instances.Heartbeat/{self.name}"
            status, _ = await self.world.call("POST", url, json=said)
            if status == 200:
                if state == "draining" and self.acked_leaving_at is None:
                    self.acked_leaving_at = asyncio.get_running_loop().time()
                return

    async def _serve(self, request):
        request_id = request.headers.get("X-Attempt-Id", "")
        echo = {"X-Attempt-Id": request_id, "X-Server-Signature": self.name}
        if request.headers.get("X-Expected-Instance") != self.name:
            return web.Response(status=421, headers=echo)
        body = await request.read()
        asked = asked_for(request.method, request.raw_path, body)
        now = asyncio.get_running_loop().time()
        self.runs.append(Run(request_id, asked, self.name, now))
        if request.path.startswith("/s/"):
            return await self._stream(request, echo)
        await asyncio.sleep(WORK_S)
        return web.Response(body=answer_to(request_id, asked), headers=echo)

    async def _stream(self, request, echo):
        first = int(request.headers.get("Last-Event-Id") or 0) + 1
        response = web.StreamResponse(
            headers={**echo, "Content-Type": "text/event-stream"}
        )
        with contextlib.suppress(ConnectionError):
            await response.prepare(request)
            for number in range(first, EVENTS + 1):
                await asyncio.sleep(EVENT_PAUSE_S)
                await response.write(event(echo["X-Attempt-Id"], number))
            await response.write_eof()
        return response


def event(request_id, number):
    """Returns an event of a request's stream."""
    return f"id: {number}\ndata: {request_id}.{number}\n\n".encode()


def whole_stream(request_id):
    """Returns the only right stream."""
    return b"".join(event(request_id, n) for n in range(1, EVENTS + 1))


def make(world, count, runs):
    """Returns the soak's endpoints, not started."""
    return [
        Runner(name=f"i-{number}", world=world, runs=runs)
        for number in range(count)
    ]
