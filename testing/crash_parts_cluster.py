"""Endpoints that requests with one part in their prompts crash.

The entries and control processes are those of ``limit_cluster``.
"""

import asyncio

import limit_cluster
import relay_fixtures
from arbutuswalk_platform import headers

from _arbutuswalk.relay import relaying
from _arbutuswalk.relay import request as requests
from _arbutuswalk.routing import crashes
from _arbutuswalk.state import routeconfig
from _arbutuswalk.streams import connection as connections
from _arbutuswalk.streams import pool as pools

CONTACT_S = 3.0
MAX_LATE_REQUESTS = 3
FIRST_TOKEN_S = 0.05
ANSWER_S = 0.3
RESTART_S = 4.0
TICK_INTERVAL_S = 0.5
HEARTBEAT_INTERVAL_S = relay_fixtures.OPTIONS.heartbeat_s
FIRST_PARTS = [f"first-{number}" for number in range(8)]
SUBJECT_PARTS = [f"subject-{number}" for number in range(100)]
BAD_PART = "bad"
BAD_KEY = crashes.part_key(BAD_PART)


class Endpoint:
    """One start of an endpoint.

    Attributes:
        running: Connections with a request that has not been answered.
        alive: Whether it runs.
    """

    def __init__(self, cluster, number, address):
        self.cluster = cluster
        self.name = f"i-{number}"
        self.born_ms = number
        self.address = address
        self.sequence = 0
        self.running = []
        self.alive = True

    def announcement(self):
        self.sequence += 1
        return limit_cluster.make_announcement(
            self.name, self.born_ms, self.sequence, self.address
        )

    def end(self):
        self.alive = False
        for connection in self.running:
            connection.lose()
        self.running = []


class Connection:
    """A connection to one start of an endpoint."""

    peer = ""

    def __init__(self, cluster, endpoint):
        self.cluster = cluster
        self.endpoint = endpoint
        self.reusable = True
        self.exchange = None
        self.timers = []

    def send_request(self, data, exchange):
        self.exchange = exchange
        loop = asyncio.get_running_loop()
        self.timers = [loop.call_later(limit_cluster.HOP_S, self._arrive)]

    def _arrive(self):
        loop = asyncio.get_running_loop()
        if not self.endpoint.alive:
            self.lose()
            return
        self.endpoint.running.append(self)
        sent = self.cluster.sent[self.exchange.expected_id]
        sent.arrived = True
        if sent.crashes:
            self.cluster.crasher_arrivals.append(loop.time())
            self.timers.append(loop.call_later(FIRST_TOKEN_S, self._crash))
        else:
            self.timers.append(loop.call_later(ANSWER_S, self._answer))

    def _crash(self):
        if self.endpoint.alive:
            self.cluster.crash_times.append(self.cluster.now)
            self.cluster.end_endpoint(self.endpoint)

    def _answer(self):
        exchange = self.exchange
        self.endpoint.running.remove(self)
        answer_headers = [(b"x-attempt-id", exchange.expected_id.encode())]
        exchange.status, exchange.headers = 200, answer_headers
        exchange.body_end = connections.BodyEnd.CHUNKS
        exchange.reply = headers.interpret_response(200, answer_headers)
        exchange.complete = True
        exchange.changed.set()

    def lose(self):
        self.abort()
        self.exchange.closed_by_peer = True
        self.exchange.failure = "connection lost: closed"
        self.exchange.changed.set()

    def resume_reading(self):
        pass

    def abort(self):
        for timer in self.timers:
            timer.cancel()


class Pool(limit_cluster.FakePool):
    """Opens connections to the endpoints that run now."""

    async def acquire(self, address, *, non_idempotent):
        return await self.open(address)

    async def open(self, address):
        await asyncio.sleep(limit_cluster.HOP_S)
        endpoint = self.cluster.running.get(address)
        if endpoint is None or not endpoint.alive:
            return pools.NotOpened(reason="refused", refused=True)
        return Connection(self.cluster, endpoint)


class Sent:
    """A request that was sent.

    Attributes:
        at: When.
        crashes: Whether it crashes the endpoints that answer it.
        parts: Ids of its parts.
        arrived: Whether it reached an endpoint.
        status: Status of the answer, 0 if there is none.
    """

    def __init__(self, at, crashes, parts):
        self.at = at
        self.crashes = crashes
        self.parts = parts
        self.arrived = False
        self.status = 0


class Cluster(limit_cluster.Cluster):
    """Entries, control processes and endpoints that crash.

    Attributes:
        running: Endpoint that runs at each address.
        sent: Requests by id.
        crash_times: When crashing requests ended endpoints.
        crasher_arrivals: When crashing requests reached endpoints.
    """

    def __init__(self, *, seed, entries=8, endpoints=9):
        self.running = {}
        self.sent = {}
        self.crash_times = []
        self.crasher_arrivals = []
        self.endpoint_count = 0
        super().__init__(seed=seed, entries=entries, endpoints=0)
        for number in range(endpoints):
            self.start_endpoint(f"127.1.0.1:{number + 1}")
        self.loop.run_until_complete(self._settle())

    async def _settle(self):
        self.beat_task = self.loop.create_task(self._send_beats())
        await asyncio.sleep(1.0)

    async def _send_heartbeats(self):
        while True:
            for watcher in self.entries:
                if watcher is not None:
                    watcher.tick()
            await asyncio.sleep(TICK_INTERVAL_S)

    async def _send_beats(self):
        while True:
            for endpoint in self.running.values():
                if endpoint.alive:
                    self.beat(endpoint)
            await asyncio.sleep(HEARTBEAT_INTERVAL_S)

    def beat(self, endpoint):
        announcement = endpoint.announcement()
        for service in self.controls:
            if service is not None:
                service.discovery.apply_announcement(announcement)

    def make_config(self):
        return relay_fixtures.make_config(
            relay_fixtures.make_route(
                kind=routeconfig.ONCE, max_attempts=1, timeout_s=3.0
            )
        )

    def start_endpoint(self, address):
        self.endpoint_count += 1
        endpoint = Endpoint(self, self.endpoint_count, address)
        self.running[address] = endpoint
        self.beat(endpoint)

    def end_endpoint(self, endpoint):
        endpoint.end()
        self.loop.call_later(RESTART_S, self.start_endpoint, endpoint.address)

    def living_endpoints(self):
        return [each for each in self.running.values() if each.alive]

    def choose_endpoint(self):
        return self.rng.choice(self.living_endpoints())

    def start_entry(self, index):
        start_tasks = super().start_entry(index)
        self.entries[index].relay.pool = Pool(self, index)
        return start_tasks

    def play(self, duration_s, *, sound_per_s, crashing_per_s, bad_position):
        """Sends sound and crashing requests at random to all entries."""
        self.loop.run_until_complete(
            self._play(duration_s, sound_per_s, crashing_per_s, bad_position)
        )

    async def _play(
        self, duration_s, sound_per_s, crashing_per_s, bad_position
    ):
        end = self.now + duration_s
        share = crashing_per_s / (sound_per_s + crashing_per_s)
        while self.now < end:
            await asyncio.sleep(
                self.rng.expovariate(sound_per_s + crashing_per_s)
            )
            watcher = self.entries[self.choose_entry(None)]
            if watcher is None:
                continue
            parts = [
                self.rng.choice(FIRST_PARTS),
                self.rng.choice(SUBJECT_PARTS),
            ]
            crashes = self.rng.random() < share
            if crashes:
                parts.insert(bad_position, BAD_PART)
            self.loop.create_task(
                self.send_prompt(watcher.relay, parts, crashes)
            )

    async def send_prompt(self, relay, parts, crashes, fingerprint=""):
        self.request_count += 1
        request_id = f"a{self.request_count}"
        sent = self.sent[request_id] = Sent(self.now, crashes, parts)
        part_ids = [*parts, f"own-{self.request_count}"]
        prompt = requests.Prompt(
            "m", 100, 10, tuple(requests.Part(p, 10) for p in part_ids)
        )
        request = relay_fixtures.make_request(
            relay,
            id=request_id,
            fingerprint=fingerprint or request_id,
            prompt=prompt,
        )
        caller = relay_fixtures.RecordingCaller()
        await relaying.relay_request(
            relay, request, caller.make_delivery(relay, request)
        )
        sent.status = caller.status

    def late_arrivals(self):
        """Returns how often crashing requests reached endpoints too late."""
        if len(self.crash_times) < 5:
            return 0
        from_then = sorted(self.crash_times)[4] + CONTACT_S
        return sum(at > from_then for at in self.crasher_arrivals)

    def served_fraction(self, since, part=None):
        """Returns the share of sound requests that reach an endpoint."""
        sound = [
            sent
            for sent in self.sent.values()
            if not sent.crashes
            and sent.at >= since
            and (part is None or part in sent.parts)
        ]
        return sum(sent.status == 200 for sent in sound) / len(sound)
