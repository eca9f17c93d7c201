"""Entries, control processes and endpoints with limits on virtual time.

The entries' data path and watches, and control's service and discovery are the
real ones. Links and the connections to endpoints are replaced by calls.
"""

import asyncio
import random

import relay_fixtures
import test_duties
import virtual
from arbutuswalk_platform import headers

from _arbutuswalk.control import discovery as discoveries
from _arbutuswalk.control import service as services
from _arbutuswalk.relay import control_watch
from _arbutuswalk.relay import relay_state
from _arbutuswalk.relay import relaying
from _arbutuswalk.routing import directory
from _arbutuswalk.state import routeconfig
from _arbutuswalk.wire import link

HOP_S = 0.001
SERVICE_TIME_S = 0.05
WINDOW_S = 4.0
HEARTBEAT_INTERVAL_S = 0.4


def make_announcement(name, born_ms, sequence, address):
    return directory.Endpoint(
        id=name,
        born_ms=born_ms,
        sequence=sequence,
        upstream="ops",
        address=address,
        domain="d1",
        version="v1",
        slots=64,
        state=directory.READY,
    )


class Endpoint:
    """An endpoint that records arrivals and states its limit.

    Attributes:
        limit: Limit that its answers state, None for no limit.
        arrivals: Time and entry of each request.
        told: When each entry first received an answer with a limit.
    """

    def __init__(self, name, address):
        self.name = name
        self.address = address
        self.limit = None
        self.sequence = 0
        self.arrivals = []
        self.told = {}

    def announcement(self):
        self.sequence += 1
        return make_announcement(self.name, 1, self.sequence, self.address)

    def state_limit(self, limit):
        self.limit = limit
        self.told.clear()

    def most_in_window(self, since=0.0):
        """Returns the most arrivals in one window, from entries it has told."""
        times = sorted(
            at
            for at, entry in self.arrivals
            if at >= since
            and entry in self.told
            and at >= self.told[entry] + 0.5
        )
        return max(
            (
                sum(start <= at < start + WINDOW_S for at in times)
                for start in times
            ),
            default=0,
        )


class FakeConnection:
    """A connection whose requests an ``Endpoint`` answers on virtual time."""

    peer = ""

    def __init__(self, cluster, entry, endpoint):
        self.cluster = cluster
        self.entry = entry
        self.endpoint = endpoint
        self.timers = []

    def send_request(self, data, exchange):
        loop = asyncio.get_running_loop()
        self.timers = [
            loop.call_later(HOP_S, self._arrive),
            loop.call_later(HOP_S + SERVICE_TIME_S, self._answer, exchange),
        ]

    def _arrive(self):
        now = asyncio.get_running_loop().time()
        self.endpoint.arrivals.append((now, self.entry))

    def _answer(self, exchange):
        endpoint = self.endpoint
        answer_headers = [(b"x-attempt-id", exchange.expected_id.encode())]
        if endpoint.limit is not None:
            value = f"{endpoint.limit}".encode()
            answer_headers.append((b"server-limit", value))
            now = asyncio.get_running_loop().time()
            endpoint.told.setdefault(self.entry, now)
        exchange.status, exchange.headers = 200, answer_headers
        exchange.reply = headers.interpret_response(200, answer_headers)
        exchange.complete = True
        exchange.changed.set()

    def resume_reading(self):
        pass

    def abort(self):
        for timer in self.timers:
            timer.cancel()


class FakePool:
    """Opens connections to the endpoints of a cluster."""

    def __init__(self, cluster, entry):
        self.cluster = cluster
        self.entry = entry
        self.idle = {}

    async def acquire(self, address, *, non_idempotent):
        endpoint = self.cluster.endpoints_by_address[address]
        return FakeConnection(self.cluster, self.entry, endpoint)

    def release(self, connection):
        pass

    def close_idle(self, address):
        pass


class FakeLink:
    """A link from an entry to a control process.

    Attributes:
        stopped: Whether the entry has stopped, so that nothing is answered.
    """

    def __init__(self, cluster, entry, control):
        self.cluster = cluster
        self.entry = entry
        self.control = control
        self.stopped = False

    async def call(self, message, *, timeout_s):
        await asyncio.sleep(HOP_S)
        cluster = self.cluster
        service = cluster.controls[self.control]
        if service is None:
            return link.LinkDown(reason="refused", possibly_sent=False)
        if self.entry in cluster.cut_off or self.control in cluster.frozen:
            await asyncio.sleep(timeout_s)
            return link.TimedOut(after_s=timeout_s)
        try:
            async with asyncio.timeout(timeout_s):
                reply = await service.handle(message)
        except TimeoutError:
            return link.TimedOut(after_s=timeout_s)
        await asyncio.sleep(HOP_S)
        is_lost = (
            self.entry in cluster.cut_off
            or self.control in cluster.frozen
            or cluster.controls[self.control] is not service
        )
        if is_lost:
            return link.LinkDown(reason="reset", possibly_sent=True)
        return reply

    def close(self, reason="closed"):
        pass

    async def stop(self):
        pass


class Cluster:
    """Entries and control processes; a stopped one is None.

    Attributes:
        leader: Index of the control process that holds the leader lease, None
            for none.
        cut_off: Indices of the entries that cannot reach control.
        frozen: Indices of the control processes that do not answer.
        statuses: Status of each request that has ended.
    """

    def __init__(self, *, seed, entries=8, controls=3, endpoints=3, limit=None):
        self.rng = random.Random(seed)
        self.loop = virtual.VirtualLoop()
        self.config = self.make_config()
        self.leader = 0
        self.cut_off = set()
        self.frozen = set()
        self.statuses = []
        self.request_count = 0
        self.entries = [None] * entries
        self.controls = [None] * controls
        self.endpoints = [
            self.make_endpoint(f"i-{number}", f"127.1.0.1:{number + 1}")
            for number in range(endpoints)
        ]
        self.endpoints_by_address = {e.address: e for e in self.endpoints}
        self.loop.run_until_complete(self._start())
        if limit is not None:
            self.limit_endpoints(limit)

    def close(self):
        virtual.close(self.loop)

    @property
    def now(self):
        return self.loop.time()

    def limit_endpoints(self, *limits):
        """Lets the first endpoints state these limits, the others none."""
        limits += (None,) * (len(self.endpoints) - len(limits))
        for endpoint, limit in zip(self.endpoints, limits, strict=True):
            endpoint.state_limit(limit)

    def run(self, duration_s, *, requests_per_s, entries=None):
        """Sends requests to random entries that are ready."""
        self.loop.run_until_complete(
            self._run(duration_s, requests_per_s, entries)
        )

    def refused_fraction(self):
        return sum(s == 503 for s in self.statuses) / len(self.statuses)

    def start_control(self, index):
        member = test_duties.FakeMember()
        member.now = member.wall = self.loop.time
        member.address = _control_address(index)
        member.holds_lease = self.leader == index
        discovery = discoveries.Discovery(member=member)
        if self.now > self.started_at:
            discovery.restored_entry_count = len(self.entries)
        addresses = [_control_address(i) for i in range(len(self.controls))]
        discovery.member_addresses = lambda: addresses
        self.controls[index] = services.Service(
            member=member, name=f"c{index}", discovery=discovery
        )

    def stop_control(self, index):
        self.controls[index] = None
        if self.leader == index:
            self.elect(None)

    def elect(self, index):
        """Moves the leader lease to another control process."""
        self.leader = index
        self.term += 1
        for number, service in enumerate(self.controls):
            if service is not None:
                service.member.holds_lease = number == index
                service.member.is_leader = number == index
                service.member.replica.term = self.term
                service.discovery.notify_watches()

    def make_config(self):
        return relay_fixtures.make_config(
            relay_fixtures.make_route(timeout_s=3.0, objective_s=0.4)
        )

    def make_endpoint(self, name, address):
        return Endpoint(name, address)

    def make_pool(self, entry):
        return FakePool(self, entry)

    def start_entry(self, index):
        relay = relay_state.Relay(
            name=f"e{index}",
            domain="d1",
            dialect=headers.DIALECT,
            options=relay_fixtures.OPTIONS,
            now=self.loop.time,
            wall=self.loop.time,
            rng=random.Random(self.rng.random()),
        )
        relay.pool = self.make_pool(index)
        watcher = control_watch.ControlWatcher(
            relay=relay, seeds=[], listen_address=relay.name
        )
        for control in range(len(self.controls)):
            address = _control_address(control)
            feed = control_watch.ControlFeed(address=address, now=self.now)
            feed.link = FakeLink(self, index, control)
            watcher.feeds[address] = feed
        values = routeconfig.to_json(self.config)
        control_watch.apply_routes(relay, values, "test")
        self.entries[index] = watcher

        async def start_tasks():
            for feed in watcher.feeds.values():
                feed.task = asyncio.ensure_future(watcher._watch(feed))

        if asyncio._get_running_loop() is None:
            self.loop.run_until_complete(start_tasks())
        return start_tasks

    def stop_entry(self, index):
        watcher, self.entries[index] = self.entries[index], None
        for feed in watcher.feeds.values():
            feed.task.cancel()
        for endpoint in self.endpoints:
            endpoint.told.pop(index, None)

    async def _start(self):
        self.started_at = self.now
        self.term = 1
        for index in range(len(self.controls)):
            self.start_control(index)
        self.elect(0)
        for index in range(len(self.entries)):
            await self.start_entry(index)()
        self.loop.create_task(self._send_heartbeats())
        await asyncio.sleep(1.5)

    async def _send_heartbeats(self):
        while True:
            for endpoint in self.endpoints:
                announcement = endpoint.announcement()
                for service in self.controls:
                    if service is not None and announcement is not None:
                        service.discovery.apply_announcement(announcement)
            for watcher in self.entries:
                if watcher is not None:
                    watcher.tick()
            await asyncio.sleep(HEARTBEAT_INTERVAL_S)

    async def _run(self, duration_s, requests_per_s, entries):
        end = self.now + duration_s
        while True:
            pause_s = self.rng.expovariate(requests_per_s)
            if self.now + pause_s >= end:
                await asyncio.sleep(end - self.now)
                return
            await asyncio.sleep(pause_s)
            index = self.choose_entry(entries)
            watcher = self.entries[index]
            if watcher is not None:
                self.loop.create_task(self._send(watcher.relay))

    def choose_entry(self, entries):
        return self.rng.choice(entries or range(len(self.entries)))

    async def _send(self, relay):
        self.request_count += 1
        request = relay_fixtures.make_request(
            relay, id=f"a{self.request_count}", fingerprint=""
        )
        caller = relay_fixtures.RecordingCaller()
        await relaying.relay_request(
            relay, request, caller.make_delivery(relay, request)
        )
        self.statuses.append(caller.status)


def _control_address(control):
    return f"127.0.0.1:{control + 1}"


def permitted_in_window(limit):
    return 1.5 * limit * WINDOW_S + 5
