"""Entries with unequal load whose connections to endpoints are counted."""

import asyncio
import collections

import limit_cluster
from arbutuswalk_platform import headers

from _arbutuswalk.streams import pool

HOP_S = limit_cluster.HOP_S


class Transport:
    """The transport of a connection that is open until it is closed."""

    def __init__(self, connection):
        self.connection = connection

    def is_closing(self):
        return not self.connection.is_open

    def close(self):
        self.connection.close()


class Connection:
    """A connection to a ``CountingEndpoint``."""

    peer = ""

    def __init__(self, endpoint, loop):
        self.address = endpoint.address
        self.endpoint = endpoint
        self.loop = loop
        self.transport = Transport(self)
        self.reusable = self.is_open = True
        self.keep_alive_s = self.exchange = None
        self.idle_since = loop.time()

    def has_unread_data(self):
        return False

    def resume_reading(self):
        pass

    def send_request(self, data, exchange):
        self.exchange = exchange
        self.loop.call_later(HOP_S, self.endpoint.receive, self)

    def end_exchange(self):
        self.exchange = None
        self.idle_since = self.loop.time()

    def abort(self):
        self.reusable = False
        self.close()

    def close(self):
        if self.is_open:
            self.is_open = False
            self.endpoint.open_count -= 1


class CountingEndpoint(limit_cluster.Endpoint):
    """An endpoint that serves as many requests at a time as it has slots.

    Attributes:
        open_count: Open connections of all entries.
        most_open: The most connections that were open at a time.
        opened: Connections opened so far.
    """

    def __init__(self, name, address, slots, service_time_s):
        super().__init__(name, address)
        self.slots = slots
        self.service_time_s = service_time_s
        self.open_count = self.most_open = self.opened = self.running = 0
        self.queue = collections.deque()

    def announcement(self):
        return super().announcement()._replace(slots=self.slots)

    def connect(self, loop):
        self.open_count += 1
        self.opened += 1
        self.most_open = max(self.most_open, self.open_count)
        return Connection(self, loop)

    def receive(self, connection):
        self.queue.append(connection)
        self._start()

    def _start(self):
        while self.queue and self.running < self.slots:
            connection = self.queue.popleft()
            if connection.is_open:
                self.running += 1
                connection.loop.call_later(
                    self.service_time_s, self._answer, connection
                )

    def _answer(self, connection):
        self.running -= 1
        exchange = connection.exchange
        if exchange is not None:
            fields = [(b"x-attempt-id", exchange.expected_id.encode())]
            exchange.status, exchange.headers = 200, fields
            exchange.reply = headers.interpret_response(200, fields)
            exchange.complete = True
            exchange.changed.set()
        self._start()


class Cluster(limit_cluster.Cluster):
    """Entries of which the first get most of the requests."""

    def __init__(
        self,
        *,
        entries,
        limit,
        slots=6,
        endpoints=3,
        service_time_s=0.1,
        seed=1,
    ):
        self.limit, self.slots = limit, slots
        self.service_time_s = service_time_s
        self.weights = [1 / (index + 1) for index in range(entries)]
        super().__init__(seed=seed, entries=entries, endpoints=endpoints)

    def make_config(self):
        config = super().make_config()
        upstreams = tuple(
            upstream._replace(connection_limit=self.limit)
            for upstream in config.upstreams
        )
        return config._replace(upstreams=upstreams)

    def make_endpoint(self, name, address):
        return CountingEndpoint(name, address, self.slots, self.service_time_s)

    def make_pool(self, entry):
        entry_pool = pool.Pool(
            read_reply=headers.interpret_response, now=self.loop.time
        )

        async def connect(address):
            endpoint = self.endpoints_by_address[address]
            connection = endpoint.connect(self.loop)
            await asyncio.sleep(2 * HOP_S)
            return connection

        entry_pool.open = connect
        return entry_pool

    def choose_entry(self, entries):
        return self.rng.choices(range(len(self.entries)), self.weights)[0]

    def run(self, duration_s, *, requests_per_s):
        """Sends requests and closes expired connections as entries do."""

        async def close_expired():
            while True:
                await asyncio.sleep(0.5)
                for watcher in self.entries:
                    watcher.relay.pool.close_expired()

        task = self.loop.create_task(close_expired())
        super().run(duration_s, requests_per_s=requests_per_s)
        task.cancel()

    def most_open(self):
        return max(endpoint.most_open for endpoint in self.endpoints)

    def opened(self):
        return sum(endpoint.opened for endpoint in self.endpoints)

    def refused(self):
        return sum(status == 503 for status in self.statuses)
