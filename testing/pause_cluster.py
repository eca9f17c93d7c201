"""Entries and endpoints that ask for pauses, on virtual time.

The entries' data path is the real one. The connections to endpoints and the
announcements by control are replaced by calls after random delays.
"""

import asyncio
import collections
import random
from typing import NamedTuple

import relay_fixtures
import virtual
from arbutuswalk_platform import headers

from _arbutuswalk.relay import control_watch
from _arbutuswalk.relay import relay_state
from _arbutuswalk.relay import relaying
from _arbutuswalk.routing import directory
from _arbutuswalk.state import routeconfig

GRACE_S = 0.5
"""Time after an endpoint's answer from which its pause has to be kept."""
MAX_HOP_S = 0.1
MAX_CONNECT_S = 0.5
MAX_ANNOUNCEMENT_DELAY_S = 0.8
MAX_SERVICE_S = 0.3
LONGEST_PAUSE_S = 4.0
LONGEST_PHASE_S = 3.0


class Start(NamedTuple):
    """One start of an endpoint."""

    id: str
    born_ms: int
    address: str


class Arrival(NamedTuple):
    """One request at an endpoint.

    Attributes:
        at: When it arrived, in seconds.
        entry: Number of the start of the entry that sent it.
        start: The endpoint.
        told_at: When the answer was sent, in seconds.
        pause_s: Pause that the answer asked for, None for none.
    """

    at: float
    entry: int
    start: Start
    told_at: float
    pause_s: float | None


class Cluster:
    """Entries, endpoints and all requests at endpoints.

    Attributes:
        relays: Entry by the number of its start.
        starts: Current start of the endpoint at each address.
        pausing: Addresses at which all requests are turned away.
        arrivals: Requests at endpoints, except those answered 421.
        received: Those of them whose answer has reached the entry; it gives up
            an answer at the deadline of the request.
        statuses: Status of each request that has ended.
        tasks: Task of each request.
    """

    def __init__(self, *, seed, entries=3, endpoints=3):
        self.rng = random.Random(seed)
        self.loop = virtual.VirtualLoop()
        self.config = relay_fixtures.make_config(
            relay_fixtures.make_route(timeout_s=3.0, objective_s=0.6),
            relay_fixtures.make_route(
                name="o", prefix="/o/", kind=routeconfig.ONCE, max_attempts=1
            ),
        )
        self.relays = {}
        self.starts = {}
        self.pausing = set()
        self.arrivals = []
        self.received = set()
        self.statuses = []
        self.tasks = []
        self.entry_starts = 0
        self.endpoint_starts = 0
        self.request_count = 0
        for number in range(endpoints):
            self.start_endpoint(f"i-{number}", f"127.1.0.1:{number + 1}")
        for _ in range(entries):
            self.start_entry()

    def close(self):
        virtual.close(self.loop)

    @property
    def now(self):
        return self.loop.time()

    def start_entry(self):
        self.entry_starts += 1
        relay = relay_state.Relay(
            name=f"e{self.entry_starts}",
            domain="d1",
            dialect=headers.DIALECT,
            options=relay_fixtures.OPTIONS,
            now=self.loop.time,
            wall=self.loop.time,
            rng=random.Random(self.rng.random()),
        )
        relay.entry_count = 3
        relay.pool = Pool(self, self.entry_starts)
        values = routeconfig.to_json(self.config)
        control_watch.apply_routes(relay, values, "test")
        self.relays[self.entry_starts] = relay
        for start in self.starts.values():
            announce(relay, start, self.now)

    def restart_entry(self):
        del self.relays[self.rng.choice(list(self.relays))]
        self.start_entry()

    def start_endpoint(self, name, address):
        """Starts an endpoint; entries learn of it after different times."""
        self.endpoint_starts += 1
        start = Start(name, int(self.now * 1000), address)
        self.starts[address] = start
        for relay in self.relays.values():
            delay_s = self.rng.uniform(0, MAX_ANNOUNCEMENT_DELAY_S)
            self.loop.call_later(delay_s, announce, relay, start, self.now)

    def restart_endpoint(self):
        address = self.rng.choice(list(self.starts))
        name = self.starts[address].id
        if self.rng.random() < 0.3:
            name = f"i-{self.endpoint_starts}-new"
        self.start_endpoint(name, address)

    def change_pausing(self):
        """Lets no endpoint, some or all of them turn requests away."""
        share = self.rng.choice([0.0, 0.3, 0.6, 1.0])
        self.pausing = {a for a in self.starts if self.rng.random() < share}

    def run(self, duration_s, *, requests_per_s):
        """Sends requests while endpoints pause and everything restarts."""
        self.loop.run_until_complete(self._run(duration_s, requests_per_s))

    async def _run(self, duration_s, requests_per_s):
        end = self.now + duration_s
        tasks = [
            asyncio.ensure_future(self._repeat(end, LONGEST_PHASE_S, change))
            for change in (
                self.change_pausing,
                self.restart_endpoint,
                self.restart_entry,
            )
        ]
        send = self._repeat(end, 2 / requests_per_s, self._start_request)
        await asyncio.gather(send, *tasks)
        await asyncio.gather(*self.tasks)

    async def _repeat(self, end, longest_wait_s, change):
        while self.now < end:
            await asyncio.sleep(self.rng.uniform(0, longest_wait_s))
            change()

    def _start_request(self):
        relay = self.rng.choice(list(self.relays.values()))
        self.tasks.append(self.loop.create_task(self._send(relay)))

    async def _send(self, relay):
        self.request_count += 1
        request = relay_fixtures.make_request(
            relay,
            id=f"a{self.request_count}",
            fingerprint="",
            route=self.rng.choice(self.config.routes),
        )
        caller = relay_fixtures.RecordingCaller()
        await relaying.relay_request(
            relay, request, caller.make_delivery(relay, request)
        )
        self.statuses.append(caller.status)

    def make_answer(self, entry, address):
        """Returns status, headers and record of an endpoint's answer."""
        start = self.starts[address]
        delay_s = self.rng.uniform(0.01, MAX_SERVICE_S)
        told_at = self.now + delay_s
        status, answer_headers, pause_s = 200, [], None
        if address in self.pausing:
            pause_s = round(self.rng.uniform(0.1, LONGEST_PAUSE_S), 2)
            status = 503
            answer_headers = [(b"retry-after", str(pause_s).encode())]
            if self.rng.random() < 0.7:
                answer_headers.append((b"x-not-executed", b"1"))
        arrival = Arrival(self.now, entry, start, told_at, pause_s)
        self.arrivals.append(arrival)
        return status, answer_headers, arrival

    def requests_in_pauses(self):
        """Returns the pauses with requests inside, and these requests."""
        rows = collections.defaultdict(list)
        for arrival in self.arrivals:
            rows[arrival.entry, arrival.start].append(arrival)
        found = {}
        for told in self.arrivals:
            if told.pause_s is not None:
                inside = [
                    later
                    for later in rows[told.entry, told.start]
                    if GRACE_S <= later.at - told.told_at <= told.pause_s
                ]
                if inside:
                    found[told] = inside
        return found


def announce(relay, start, born_at):
    """Announces an endpoint to an entry."""
    endpoint = directory.Endpoint(
        id=start.id,
        born_ms=start.born_ms,
        sequence=int(born_at * 1000),
        upstream="ops",
        address=start.address,
        domain="d1",
        version="v1",
        slots=8,
        state=directory.READY,
    )
    directory.announce(relay.directory, endpoint, relay.now())


class Pool:
    """Opens connections to the endpoints of a cluster."""

    def __init__(self, cluster, entry):
        self.cluster = cluster
        self.entry = entry
        self.idle = {}

    async def acquire(self, address, *, non_idempotent):
        if self.cluster.rng.random() < 0.3:
            await asyncio.sleep(self.cluster.rng.uniform(0, MAX_CONNECT_S))
        return Connection(self.cluster, self.entry, address)

    def release(self, connection):
        pass

    def close_idle(self, address):
        pass


class Connection:
    """A connection to the address of an endpoint."""

    peer = ""

    def __init__(self, cluster, entry, address):
        self.cluster = cluster
        self.entry = entry
        self.address = address
        self.timer = None

    def send_request(self, data, exchange):
        hop_s = self.cluster.rng.uniform(0, MAX_HOP_S)
        loop = asyncio.get_running_loop()
        self.timer = loop.call_later(hop_s, self._arrive, data, exchange)

    def _arrive(self, data, exchange):
        expected = self.cluster.starts[self.address].id.encode()
        status, answer_headers, arrival = 421, [], None
        if b"x-expected-instance: " + expected + b"\r\n" in data:
            status, answer_headers, arrival = self.cluster.make_answer(
                self.entry, self.address
            )
        told_at = arrival.told_at if arrival else self.cluster.now
        self.timer = asyncio.get_running_loop().call_at(
            told_at + self.cluster.rng.uniform(0, MAX_HOP_S),
            self._answer,
            exchange,
            status,
            answer_headers,
            arrival,
        )

    def _answer(self, exchange, status, answer_headers, arrival):
        self.cluster.received.add(arrival)
        exchange.status, exchange.headers = status, answer_headers
        exchange.reply = headers.interpret_response(status, answer_headers)
        exchange.complete = True
        exchange.changed.set()

    def resume_reading(self):
        pass

    def abort(self):
        if self.timer is not None:
            self.timer.cancel()
