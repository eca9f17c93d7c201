"""Entries and endpoints that fall over when they turn too much away.

The entries' data path and watches, and control's part are the real ones, as in
``limit_cluster``.
"""

import asyncio
import collections

import limit_cluster
from arbutuswalk_platform import headers

from _arbutuswalk.streams import pool

HOP_S = limit_cluster.HOP_S
CONTACT_THRESHOLD_S = 3.0
FALL_WINDOW_S = 1.0
DOWN_S = 4.0
MEAN_SERVICE_S = 0.1


class Connection:
    """A connection to a ``BrittleEndpoint``."""

    peer = ""

    def __init__(self, endpoint, entry):
        self.address = endpoint.address
        self.endpoint = endpoint
        self.entry = entry
        self.born_ms = endpoint.born_ms
        self.reusable = self.is_open = True
        self.exchange = None
        self.is_meant = True

    def resume_reading(self):
        pass

    def send_request(self, data, exchange):
        self.exchange = exchange
        self.is_meant = b": %s\r\n" % self.endpoint.name.encode() in data
        loop = asyncio.get_running_loop()
        loop.call_later(HOP_S, self.endpoint.receive, self)

    def answer(self, status, *extra):
        exchange, self.exchange = self.exchange, None
        if exchange is None or not self.is_open:
            return
        fields = [(b"x-attempt-id", exchange.expected_id.encode()), *extra]
        reply = headers.interpret_response(status, fields)
        exchange.on_reply(reply)
        exchange.status, exchange.headers = status, fields
        exchange.reply = reply
        exchange.complete = True
        exchange.changed.set()

    def reset(self):
        self.is_open = False
        exchange, self.exchange = self.exchange, None
        if exchange is not None:
            exchange.closed_by_peer = True
            exchange.fail("reset")

    def abort(self):
        self.is_open = False


class BrittleEndpoint(limit_cluster.Endpoint):
    """An endpoint with slots and a queue that falls over.

    Attributes:
        brittle: What its answers state, None for nothing.
        rejected: Time and entry of what it turned away for want of room.
        falls: Falls that count.
        all_falls: Falls, also those caused by entries out of touch.
        served: Requests that it answered.
    """

    def __init__(self, cluster, name, address, slots):
        super().__init__(name, address)
        self.cluster = cluster
        self.slots = slots
        self.born_ms = 1
        self.brittle = None
        self.brittle_since = 0.0
        self.is_up = True
        self.rejected = collections.deque()
        self.falls = self.all_falls = self.served = 0
        self.queue = collections.deque()
        self.running = {}

    def announcement(self):
        if not self.is_up:
            return None
        self.sequence += 1
        return limit_cluster.make_announcement(
            self.name, self.born_ms, self.sequence, self.address
        )._replace(slots=self.slots)

    def state_brittle(self, value):
        self.brittle, self.brittle_since = value, self.cluster.now

    def is_strict(self):
        since = self.brittle_since + CONTACT_THRESHOLD_S
        return self.brittle is not None and self.cluster.now >= since

    def receive(self, connection):
        if not connection.is_open:
            return
        if connection.born_ms != self.born_ms or not self.is_up:
            connection.reset()
            return
        if not connection.is_meant:
            self._later(connection, 421)
            return
        cluster = self.cluster
        if len(self.running) < self.slots - cluster.hidden_slots:
            self._begin(connection)
            return
        room = cluster.short_queue if self.is_strict() else cluster.long_queue
        self.queue = collections.deque(c for c in self.queue if c.is_open)
        if len(self.queue) < room:
            self.queue.append(connection)
            return
        self._reject(connection)

    def _begin(self, connection):
        timer = self.cluster.loop.call_later(
            MEAN_SERVICE_S * self.cluster.rng.uniform(0.5, 1.5),
            self._end,
            connection,
        )
        self.running[connection] = timer

    def _end(self, connection):
        del self.running[connection]
        self.served += connection.is_open
        self._later(connection, 200)
        usable = self.slots - self.cluster.hidden_slots
        while self.queue and len(self.running) < usable:
            following = self.queue.popleft()
            if following.is_open:
                self._begin(following)

    def _later(self, connection, status, *extra):
        if self.brittle is not None:
            extra += ((b"server-brittle", str(self.brittle).encode()),)
        self.cluster.loop.call_later(HOP_S, connection.answer, status, *extra)

    def _reject(self, connection):
        now = self.cluster.now
        self._later(connection, 503, (b"x-not-executed", b"1"))
        if not self.is_strict():
            return
        self.rejected.append((now, connection.entry))
        while self.rejected[0][0] < now - FALL_WINDOW_S:
            self.rejected.popleft()
        if len(self.rejected) > self.brittle:
            touching = sum(
                self.cluster.is_in_touch(entry) for _, entry in self.rejected
            )
            self.all_falls += 1
            self.falls += touching > len(self.rejected) / 2
            self.stop()

    def stop(self):
        """Ends this start; another begins some seconds later."""
        self.is_up = False
        self.rejected.clear()
        for timer in self.running.values():
            timer.cancel()
        for connection in (*self.running, *self.queue):
            connection.reset()
        self.running, self.queue = {}, collections.deque()
        self.cluster.loop.call_later(DOWN_S, self._start)

    def _start(self):
        self.is_up = True
        self.sequence = 0
        self.born_ms = int(self.cluster.now * 1000)
        if self.cluster.rng.random() < 0.5:
            self.name = f"{self.name}n"


class Pool:
    """Opens a connection for each request."""

    def __init__(self, cluster, entry):
        self.cluster = cluster
        self.entry = entry
        self.idle = {}

    async def acquire(self, address, *, non_idempotent):
        await asyncio.sleep(2 * HOP_S)
        endpoint = self.cluster.endpoints_by_address[address]
        if not endpoint.is_up:
            return pool.NotOpened(reason="refused", refused=True)
        return Connection(endpoint, self.entry)

    def release(self, connection):
        pass

    def close_idle(self, address):
        pass


class Cluster(limit_cluster.Cluster):
    """Entries in front of endpoints that are brittle from the start on.

    Attributes:
        hidden_slots: Slots of each endpoint that others use.
        short_queue: Requests that wait while endpoints are strict.
        long_queue: Requests that wait otherwise.
        disturbed: When each entry was last disturbed, and control as -1.
    """

    def __init__(
        self,
        *,
        seed,
        entries,
        brittle=None,
        slots=6,
        endpoints=3,
        short_queue=0,
        hidden_slots=0,
    ):
        self.slots = slots
        self.hidden_slots = hidden_slots
        self.short_queue, self.long_queue = short_queue, 4 * slots
        self.disturbed = {}
        super().__init__(seed=seed, entries=entries, endpoints=endpoints)
        for endpoint in self.endpoints:
            endpoint.state_brittle(brittle)

    def make_endpoint(self, name, address):
        return BrittleEndpoint(self, name, address, self.slots)

    def make_pool(self, entry):
        return Pool(self, entry)

    @property
    def capacity_per_s(self):
        """Requests that all endpoints serve in a second."""
        return sum(e.slots for e in self.endpoints) / MEAN_SERVICE_S

    def disturb(self, *entries):
        for entry in entries:
            self.disturbed[entry] = self.now

    def is_in_touch(self, entry):
        if entry in self.cut_off or self.leader is None or self.frozen:
            return False
        last = max(self.disturbed.get(key, -100.0) for key in (entry, -1))
        return self.now - last > CONTACT_THRESHOLD_S

    def run_load(self, duration_s, load):
        """Sends ``load`` times what the endpoints serve.

        Returns:
            The share of the requests that were answered by an endpoint.
        """
        self.statuses.clear()
        self.run(duration_s, requests_per_s=load * self.capacity_per_s)
        return sum(s == 200 for s in self.statuses) / len(self.statuses)

    def falls(self):
        return sum(e.falls for e in self.endpoints)

    def all_falls(self):
        return sum(e.all_falls for e in self.endpoints)

    def permitted_falls(self):
        return 2 + len(self.endpoints) / 10
