"""Endpoints of the soak: they record each arrival and send heartbeats."""

import asyncio
import contextlib
import hashlib
import random
import time
from typing import NamedTuple

from aiohttp import web

from soak import proxy

EVENTS_PER_STREAM = 8
EVENT_INTERVAL_S = 0.02
SERVICE_TIME_S = 0.01
HEARTBEAT_INTERVAL_S = 0.3
SHORTEST_PAUSE_S = 0.6
LONGEST_PAUSE_S = 2.0
NOT_EXECUTED_RATIO = 0.7
"""Fraction of the requests turned away that are marked as not executed."""


class Arrival(NamedTuple):
    """One arrival of a request at an endpoint.

    Attributes:
        request_id: Id of the caller's attempt.
        signature: ``request_signature`` of the request.
        endpoint_id: Id of the endpoint.
        received_at: Event loop time of the arrival, in seconds.
        incarnation: Number of the endpoint's start.
        pause_s: Pause that its answer asked for if it was turned away, None
            if it was run.
    """

    request_id: str
    signature: str
    endpoint_id: str
    received_at: float
    incarnation: int = 0
    pause_s: float | None = None


def request_signature(method, target, body):
    """Returns a text by which caller and endpoint compare a request."""
    return f"{method} {target} {hashlib.sha256(body).hexdigest()[:12]}"


def expected_body(request_id, signature):
    """Returns the only correct response body."""
    return f"{request_id}|{signature}".encode()


class SoakEndpoint:
    """An endpoint behind a fault-injecting proxy.

    Attributes:
        name: Id of the endpoint.
        cluster: Processes that receive its heartbeats.
        arrivals: Arrivals at all endpoints of the soak, shared.
        state: State in its heartbeats.
        drain_acked_at: When control acknowledged its drain, or None.
        limit_per_s: Limit that its responses state, None for no limit.
        rejections_per_s: Rejections that it survives, as its responses state
            if it is brittle, else None.
        states_leaving: Whether its responses state that it leaves.
        pausing: Whether it turns all requests away and asks for pauses.
        turned_away: Requests that endpoints turned away, shared.
    """

    def __init__(self, *, name, cluster, arrivals, turned_away):
        self.name = name
        self.cluster = cluster
        self.arrivals = arrivals
        self.turned_away = turned_away
        self.pausing = False
        self.rng = random.Random(name)
        self.born_ms = 0
        self.state = "ready"
        self.drain_acked_at = None
        self.limit_per_s = None
        self.rejections_per_s = None
        self.states_leaving = False
        self.proxy = None
        self.app_runner = None
        self.heartbeat_task = None
        self.sequence = 0
        self.incarnation = 0

    async def start(self):
        """Starts a new incarnation of the endpoint, at a new address."""
        app = web.Application()
        app.router.add_route("*", "/{path:.*}", self._handle_request)
        self.app_runner = web.AppRunner(app, shutdown_timeout=0)
        await self.app_runner.setup()
        site = web.TCPSite(self.app_runner, "127.0.0.1", 0)
        await site.start()
        port = self.app_runner.addresses[0][1]
        self.proxy = proxy.FaultProxy(target=f"127.0.0.1:{port}")
        self.address = await self.proxy.start()
        self.incarnation += 1
        self.state, self.drain_acked_at = "ready", None
        self.limit_per_s, self.pausing = None, False
        self.states_leaving = False
        self.born_ms = time.time_ns() // 1_000_000
        self.heartbeat_task = asyncio.ensure_future(self._heartbeat_loop())

    async def stop(self):
        """Stops the endpoint at once, without a drain."""
        if self.heartbeat_task is None:
            return
        self.heartbeat_task.cancel()
        await asyncio.gather(self.heartbeat_task, return_exceptions=True)
        self.heartbeat_task = None
        self.proxy.stop()
        await self.app_runner.cleanup()

    async def drain(self):
        """Announces the drain, completes its requests, and stops."""
        self.state = "draining"
        await asyncio.sleep(1.5)
        await self.stop()

    async def _heartbeat_loop(self):
        while True:
            self.sequence += 1
            await self._send_heartbeat()
            await asyncio.sleep(HEARTBEAT_INTERVAL_S)

    async def _send_heartbeat(self):
        state = self.state
        heartbeat = {
            "service": "ops",
            "address": self.address,
            "zone": "d1",
            "version": "v1",
            "slots": 8,
            "state": state,
            "sequence": self.sequence,
            "born": self.born_ms,
        }
        for ip in self.cluster.control_ips:
            url = f"http://{ip}:{self.cluster.operators_port}"
            url += f"/v1/Instances.Heartbeat/{self.name}"
            status, _ = await self.cluster.http_request(
                "POST", url, json=heartbeat
            )
            if status == 200:
                if state == "draining" and self.drain_acked_at is None:
                    self.drain_acked_at = asyncio.get_running_loop().time()
                return

    async def _handle_request(self, request):
        request_id = request.headers.get("X-Attempt-Id", "")
        response_headers = {
            "X-Attempt-Id": request_id,
            "X-Server-Signature": self.name,
        }
        if self.limit_per_s is not None:
            response_headers["Server-Limit"] = str(self.limit_per_s)
        if self.rejections_per_s is not None:
            response_headers["Server-Brittle"] = str(self.rejections_per_s)
        if self.states_leaving:
            response_headers["Server-Leaving"] = "1"
        if request.headers.get("X-Expected-Instance") != self.name:
            return web.Response(status=421, headers=response_headers)
        body = await request.read()
        signature = request_signature(request.method, request.raw_path, body)
        now = asyncio.get_running_loop().time()
        if self.pausing:
            return self._turn_away(request_id, signature, response_headers)
        self.arrivals.append(
            Arrival(request_id, signature, self.name, now, self.incarnation)
        )
        if request.path.startswith("/s/"):
            return await self._send_stream(request, response_headers)
        await asyncio.sleep(SERVICE_TIME_S)
        return web.Response(
            body=expected_body(request_id, signature), headers=response_headers
        )

    def _turn_away(self, request_id, signature, response_headers):
        """Returns a response that asks the entry for a pause."""
        now = asyncio.get_running_loop().time()
        pause_s = self.rng.uniform(SHORTEST_PAUSE_S, LONGEST_PAUSE_S)
        pause_s = round(pause_s, 2)
        self.turned_away.append(
            Arrival(
                request_id, signature, self.name, now, self.incarnation, pause_s
            )
        )
        response_headers["Retry-After"] = str(pause_s)
        if self.rng.random() < NOT_EXECUTED_RATIO:
            response_headers["X-Not-Executed"] = "1"
        return web.Response(status=503, headers=response_headers)

    async def _send_stream(self, request, response_headers):
        first_event_id = int(request.headers.get("Last-Event-Id") or 0) + 1
        response = web.StreamResponse(
            headers={**response_headers, "Content-Type": "text/event-stream"}
        )
        with contextlib.suppress(ConnectionError):
            await response.prepare(request)
            for event_id in range(first_event_id, EVENTS_PER_STREAM + 1):
                await asyncio.sleep(EVENT_INTERVAL_S)
                await response.write(
                    stream_event(response_headers["X-Attempt-Id"], event_id)
                )
            await response.write_eof()
        return response


def stream_event(request_id, event_id):
    """Returns one event of a request's stream."""
    return f"id: {event_id}\ndata: {request_id}.{event_id}\n\n".encode()


def expected_stream(request_id):
    """Returns the only correct stream."""
    return b"".join(
        stream_event(request_id, event_id)
        for event_id in range(1, EVENTS_PER_STREAM + 1)
    )


def make_endpoints(cluster, count, arrivals, turned_away):
    """Returns the endpoints of a soak, not started."""
    return [
        SoakEndpoint(
            name=f"i-{number}",
            cluster=cluster,
            arrivals=arrivals,
            turned_away=turned_away,
        )
        for number in range(count)
    ]
