"""Runners that leave and restart at the same addresses, on virtual time.

The entries and control processes are those of ``limit_cluster``.
"""

import asyncio
import types

import limit_cluster
from arbutuswalk_platform import headers

DRAIN_DEADLINE_S = 2.0
BEAT_INTERVAL_S = 0.3
MISDIRECTED = 421
NEVER = float("inf")


class Start:
    """One start of a runner.

    Attributes:
        told_at: When each entry was first told that it leaves.
        arrivals: Time, entry and time of sending of each request it took.
    """

    def __init__(self, name, born_ms, address):
        self.name = name
        self.born_ms = born_ms
        self.address = address
        self.is_leaving = False
        self.status = 200
        self.sequence = 0
        self.told_at = {}
        self.arrivals = []

    def announcement(self):
        self.sequence += 1
        return limit_cluster.make_announcement(
            self.name, self.born_ms, self.sequence, self.address
        )


class Connection:
    """A connection to the start that runs at an address."""

    peer = ""

    def __init__(self, cluster, entry, start):
        self.cluster = cluster
        self.entry = entry
        self.start = start
        self.reusable = True
        self.timers = []

    def send_request(self, data, exchange):
        loop = asyncio.get_running_loop()
        self.timers = [
            loop.call_later(limit_cluster.HOP_S, self._arrive, data, exchange)
        ]

    def _arrive(self, data, exchange):
        loop = asyncio.get_running_loop()
        start = self.start
        if start not in self.cluster.running.values():
            exchange.failure = "connection lost: reset"
            exchange.changed.set()
            return
        expected = f"\r\nx-expected-instance: {start.name}\r\n".encode()
        status = start.status if expected in data.lower() else MISDIRECTED
        if status != MISDIRECTED:
            sent_at = self.cluster.sent_at[exchange.expected_id]
            start.arrivals.append((loop.time(), self.entry, sent_at))
        self.timers.append(
            loop.call_later(
                limit_cluster.SERVICE_TIME_S, self._answer, exchange, status
            )
        )

    def _answer(self, exchange, status):
        answer_headers = [(b"x-attempt-id", exchange.expected_id.encode())]
        if self.start.is_leaving:
            answer_headers.append((b"server-leaving", b"1"))
            if status != MISDIRECTED:
                now = asyncio.get_running_loop().time()
                self.start.told_at.setdefault(self.entry, now)
        exchange.status, exchange.headers = status, answer_headers
        exchange.reply = headers.interpret_response(status, answer_headers)
        exchange.on_reply(exchange.reply)
        exchange.complete = True
        exchange.changed.set()

    def resume_reading(self):
        pass

    def abort(self):
        for timer in self.timers:
            timer.cancel()


class Pool(limit_cluster.FakePool):
    """Opens connections to the starts that run now."""

    async def acquire(self, address, *, non_idempotent):
        start = self.cluster.running[address]
        return Connection(self.cluster, self.entry, start)


class Cluster(limit_cluster.Cluster):
    """Entries, control processes and runners that leave.

    Attributes:
        running: Start that runs at each address.
        starts: All starts so far.
        sent_at: When a consumer sent each request, by id.
    """

    def __init__(self, *, seed, entries=4, runners=3):
        self.running = {}
        self.starts = []
        self.sent_at = {}
        self.runner_count = 0
        super().__init__(seed=seed, entries=entries, endpoints=0)
        for number in range(runners):
            self.start_runner(f"127.1.0.1:{number + 1}")
        self.loop.run_until_complete(self._announce_until_known())

    async def _announce_until_known(self):
        self.beat_task = self.loop.create_task(self._send_beats())
        await asyncio.sleep(1.0)

    async def _send_beats(self):
        while True:
            for start in self.running.values():
                self.beat(start.announcement())
            await asyncio.sleep(BEAT_INTERVAL_S)

    def beat(self, announcement):
        for service in self.controls:
            if service is not None:
                service.discovery.apply_announcement(announcement)

    def start_runner(self, address, name=None):
        """Starts a runner at an address, in place of the one there."""
        self.runner_count += 1
        born_ms = int(self.now * 1000) + self.runner_count
        start = Start(name or f"i-{self.runner_count}", born_ms, address)
        self.running[address] = start
        self.starts.append(start)
        self.beat(start.announcement())
        return start

    def start_control(self, index):
        super().start_control(index)
        self.controls[index].member.link_to = self._link_to

    def _link_to(self, address):
        """Returns a link to the control process at an address."""
        index = int(address.rpartition(":")[2]) - 1

        def send_oneway(message):
            service = self.controls[index]
            if service is not None:
                self.loop.create_task(service.handle(message))

        return types.SimpleNamespace(send_oneway=send_oneway)

    def start_entry(self, index):
        start_tasks = super().start_entry(index)
        self.entries[index].relay.pool = Pool(self, index)
        for start in self.starts:
            start.told_at.pop(index, None)
        return start_tasks

    async def _send(self, relay):
        self.sent_at[f"a{self.request_count + 1}"] = self.now
        await super()._send(relay)

    def late_arrivals(self):
        """Returns the requests sent too late after the entry was told."""
        return [
            (start.name, start.born_ms, arrival)
            for start in self.starts
            for arrival in start.arrivals
            for _, entry, sent_at in [arrival]
            if sent_at > start.told_at.get(entry, NEVER) + DRAIN_DEADLINE_S
        ]

    def served_fraction(self):
        return self.statuses.count(200) / len(self.statuses)
