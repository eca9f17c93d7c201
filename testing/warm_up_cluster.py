"""Entries and endpoints that warm up, on virtual time.

The entries' data path and watches, and control's part are the real ones, as in
``limit_cluster``.
"""

import asyncio

import limit_cluster

from _arbutuswalk.state import routeconfig

RATE_PER_S = 8.6
DURATION_S = 3.0
PERMITTED_IN_SECOND = 1.5 * RATE_PER_S + 5
NEWS_S = 0.05
"""Time in which all entries in touch with control learn an announcement."""
MAX_HOP_S = 0.03


class Endpoint(limit_cluster.Endpoint):
    """An endpoint that announces how long it warms up.

    Attributes:
        born_ms: Its current start.
        warm_ups: Times of the announcement and end of each warm-up.
    """

    def __init__(self, name, address):
        super().__init__(name, address)
        self.born_ms = 1
        self.warm_ups = []

    def announcement(self):
        now = asyncio.get_running_loop().time()
        ends_at = self.warm_ups[-1][1] if self.warm_ups else now
        return (
            super()
            .announcement()
            ._replace(
                slots=8, born_ms=self.born_ms, cold_s=max(0.0, ends_at - now)
            )
        )

    def most_in_second(self):
        """Returns the most arrivals in a second of an announced warm-up."""
        counts = [0]
        for announced_at, ends_at in self.warm_ups:
            times = [
                at
                for at, _ in self.arrivals
                if announced_at + NEWS_S <= at < ends_at
            ]
            counts += [
                sum(start <= at < start + 1.0 for at in times)
                for start in times
            ]
        return max(counts)


class Connection(limit_cluster.FakeConnection):
    """A connection on which requests take a random time."""

    def send_request(self, data, exchange):
        loop = asyncio.get_running_loop()
        hop_s = self.cluster.rng.uniform(0.0, MAX_HOP_S)
        service_s = self.cluster.service_s
        self.timers = [
            loop.call_later(hop_s, self._arrive),
            loop.call_later(hop_s + service_s, self._answer, exchange),
        ]


class Pool(limit_cluster.FakePool):
    """Opens connections, late to endpoints that cannot be reached."""

    async def acquire(self, address, *, non_idempotent):
        endpoint = self.cluster.endpoints_by_address[address]
        left_s = self.cluster.reachable_at.get(address, 0.0) - self.cluster.now
        await asyncio.sleep(max(0.0, left_s))
        return Connection(self.cluster, self.entry, endpoint)


class Cluster(limit_cluster.Cluster):
    """Entries, control and endpoints that warm up.

    Attributes:
        reachable_at: When connections to an address can be opened, if not yet.
        service_s: Time that a request takes.
    """

    def __init__(self, *, seed, entries=24, service_s=0.05, **options):
        self.reachable_at = {}
        self.service_s = service_s
        super().__init__(seed=seed, entries=entries, **options)

    def make_config(self):
        return (
            super()
            .make_config()
            ._replace(
                warm_ups=(routeconfig.WarmUp("ops", DURATION_S, RATE_PER_S),)
            )
        )

    def make_endpoint(self, name, address):
        return Endpoint(name, address)

    def make_pool(self, entry):
        return Pool(self, entry)

    def warm_up(self, *indexes, duration_s=DURATION_S, restarts=True):
        """Starts warm-ups, which are announced at once."""
        for endpoint in (self.endpoints[index] for index in indexes):
            endpoint.warm_ups.append((self.now, self.now + duration_s))
            if restarts:
                endpoint.born_ms += 1
            self.loop.run_until_complete(self._announce(endpoint))

    async def _announce(self, endpoint):
        announcement = endpoint.announcement()
        for service in self.controls:
            if service is not None:
                service.discovery.apply_announcement(announcement)

    def most_in_second(self):
        return max(endpoint.most_in_second() for endpoint in self.endpoints)

    def arrivals_since(self, index, since):
        return sum(at >= since for at, _ in self.endpoints[index].arrivals)
