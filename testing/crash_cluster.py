"""Entries that exchange news of a crashing request, on virtual time.

The entries' placement, probes' conclusions, death reports and the quarantine's
tables are the real ones. Connections, links and control's delays are simulated,
each delay drawn at random.
"""

import asyncio
import json
import random
from typing import NamedTuple

import entry_fixtures
import virtual

from _arbutuswalk.entry import crash_quarantine
from _arbutuswalk.entry import link_handler
from _arbutuswalk.entry import migration
from _arbutuswalk.entry import model_requests
from _arbutuswalk.entry import model_routes
from _arbutuswalk.entry import placement
from _arbutuswalk.entry import upstream_announcements
from _arbutuswalk.routing import upstreams
from _arbutuswalk.state import commands
from _arbutuswalk.state import view
from _arbutuswalk.streams import attempts
from _arbutuswalk.wire import link

RUNNER_COUNT = 4
POISON, HARMLESS = "ref:poison", "ref:i"
TOKEN_S, MAX_TOKENS = 0.01, 8
ANNOUNCEMENT_INTERVAL_S = 0.4
SETTLING_S = 12.0


class Delays(NamedTuple):
    """Longest delays in seconds; each one is drawn evenly up to it.

    Attributes:
        connect_s: From a dispatch until the runner has the request.
        broken_s: From a death until an entry sees its connections end.
        link_s: Of a message between two entries.
        control_s: Of a command at control.
        view_s: From a change of the state until an entry has its view.
        probe_s: Of a probe's outcome.
        closed_link_fraction: Fraction of messages that find a link closed and
            are lost unless they are sent again once it is open.
        control_modes: Possible outcomes of a command, as in
            ``entry_fixtures.Control``.
        unanswered_probes: Whether a dead runner's address refuses no
            connection, as when its machine is gone.
    """

    connect_s: float = 0.002
    broken_s: float = 0.005
    link_s: float = 0.005
    control_s: float = 0.01
    view_s: float = 0.1
    probe_s: float = 0.002
    closed_link_fraction: float = 0.0
    control_modes: tuple[str, ...] = ("ok",)
    unanswered_probes: bool = False


class PeerLink:
    """A link to another entry that keeps messages in order."""

    def __init__(self, cluster, peer_name):
        self.cluster = cluster
        self.peer_name = peer_name
        self.arrives_at = 0.0
        self.was_opened = False

    async def open(self):
        """Opens the link if it is closed; it is not lost again at once."""
        await asyncio.sleep(self.cluster.draw(self.cluster.delays.link_s))
        self.was_opened = True

    def send_oneway(self, message):
        fraction = self.cluster.delays.closed_link_fraction
        is_closed = self.cluster.rng.random() < fraction
        if is_closed and not self.was_opened:
            return False
        self.was_opened = False
        self.cluster.loop.create_task(self._deliver(message))
        return True

    async def call(self, message, *, timeout_s):
        try:
            async with asyncio.timeout(timeout_s):
                reply = await self._deliver(message)
                await asyncio.sleep(
                    self.cluster.draw(self.cluster.delays.link_s)
                )
                return reply
        except TimeoutError:
            return link.LinkDown(reason="late", possibly_sent=True)

    async def _deliver(self, message):
        now = self.cluster.loop.time()
        delay_s = self.cluster.draw(self.cluster.delays.link_s)
        self.arrives_at = max(self.arrives_at, now + delay_s)
        await asyncio.sleep(self.arrives_at - now)
        return await self.cluster.handlers[self.peer_name](message)


class DelayedClient(entry_fixtures.Client):
    """A client of control whose commands and reads take time."""

    def __init__(self, cluster):
        super().__init__(cluster.control)
        self.cluster = cluster

    async def submit(self, command, *, timeout_s):
        delay_s = self.cluster.draw(self.cluster.delays.control_s)
        await asyncio.sleep(delay_s / 2)
        outcome = await super().submit(command, timeout_s=timeout_s)
        await asyncio.sleep(delay_s / 2)
        return outcome

    async def read(self, query, argument="", *, timeout_s):
        await asyncio.sleep(self.cluster.draw(self.cluster.delays.control_s))
        return await super().read(query, argument, timeout_s=timeout_s)


class Cluster:
    """Entries and runners, of which a crashing request kills each it reaches.

    Attributes:
        entries: Entries by name.
        alive: Ids of the runners that run.
        deaths: Time, entry and runner of each death.
        trace: What happened to the crashing request, for a failure's message.
        crashing, harmless: Requests that were sent.
        answered_at: Time at which each crashing request was answered, by id.
    """

    def __init__(self, monkeypatch, *, seed, delays, entries=2):
        self.loop = virtual.VirtualLoop()
        self.rng = random.Random(seed)
        self.delays = delays
        self.control = entry_fixtures.Control(self.loop, self.rng)
        self.control.modes = list(delays.control_modes)
        self.alive = {f"u{i}" for i in range(RUNNER_COUNT)}
        self.sequence = 0
        self.deaths, self.trace = [], []
        self.crashing, self.harmless = [], []
        self.answered_at = {}
        self.entries, self.handlers = {}, {}
        for name in "abc"[:entries]:
            self._add_entry(name)
        monkeypatch.setattr(attempts, "run", self._run_attempt)
        monkeypatch.setattr(crash_quarantine, "_probe", self._probe)
        monkeypatch.setattr(migration, "copy_cache", self._skip_cache_copy)
        tasks = [self._announce_runners()]
        tasks += [self._sync(entry) for entry in self.entries.values()]
        self.tasks = [self.loop.create_task(task) for task in tasks]
        self.run_for(1.0)

    def close(self):
        virtual.close(self.loop)

    def draw(self, longest_s):
        return self.rng.uniform(0, longest_s)

    def run_for(self, seconds):
        self.loop.run_until_complete(asyncio.sleep(seconds))

    def log(self, text):
        self.trace.append(f"{self.loop.time():.4f} {text}")

    def _add_entry(self, name):
        entry = entry_fixtures.make_entry(self.loop, self.control, name)
        self.control.commit(
            commands.RegisterEntry(name, 2, "-", name, "d1", 1, "local")
        )
        entry.control = DelayedClient(self)
        links = {}
        entry.link_to = lambda address: links.setdefault(
            address, PeerLink(self, address)
        )
        self.entries[name] = entry
        self.handlers[name] = link_handler.make_handler(entry)

    async def _sync(self, entry):
        """Reports what an entry runs and updates its view, as control does."""
        while True:
            index = self.control.index
            parts = json.loads(
                json.dumps(view.parts_since(self.control.tables, -1))
            )
            await asyncio.sleep(self.draw(self.delays.view_s))
            entry.view = parts
            crash_quarantine.apply_isolations(entry)
            for name in list(entry.queues):
                placement.place_queued(entry, name)
            occupied = crash_quarantine.occupied_upstreams(entry)
            self.control.entry_reports[entry.name] = index, occupied
            await asyncio.sleep(0.005)

    async def _announce_runners(self):
        while True:
            self.sequence += 1
            for i in range(RUNNER_COUNT):
                for entry in self.entries.values():
                    self.loop.create_task(
                        self._announce(entry, i, self.sequence)
                    )
            for entry in self.entries.values():
                upstreams.expire(entry.upstreams, self.loop.time())
                crash_quarantine.expire_peer_suspects(entry)
            await asyncio.sleep(ANNOUNCEMENT_INTERVAL_S)

    async def _announce(self, entry, i, sequence):
        if f"u{i}" not in self.alive:
            return
        delay_s = self.draw(self.delays.link_s)
        await asyncio.sleep(delay_s)
        announcement = entry_fixtures.make_announcement(
            f"u{i}",
            "model",
            sequence=sequence,
            address=f"127.0.0.1:{9000 + i}",
        )
        upstream_announcements.apply_announcement(
            entry, announcement, age_s=delay_s
        )

    async def _run_attempt(self, order, deadlines, on_events, may_leave):
        runner = f"u{int(order.address[-1])}"
        name = order.request_id.partition("~")[0]
        is_poison = order.body["prompt"] == POISON
        await asyncio.sleep(self.draw(self.delays.connect_s))
        if runner not in self.alive:
            if is_poison:
                self.log(f"{order.request_id} refused by {runner}")
            return attempts.NotConnected(reason="refused", refused=True)
        if is_poison:
            self.alive.remove(runner)
            self.deaths.append((self.loop.time(), name, runner))
            self.log(f"{order.request_id} kills {runner}")
        for i in range(MAX_TOKENS):
            if runner not in self.alive:
                await asyncio.sleep(self.draw(self.delays.broken_s))
                if is_poison:
                    self.log(f"{order.request_id} sees the end of {runner}")
                return attempts.Broke(reason="reset")
            await asyncio.sleep(TOKEN_S)
            choice = {"index": 0, "text": f"{i} "}
            body = json.dumps({"choices": [choice]}).encode()
            on_events([b"data: " + body])
        on_events([b"data: [DONE]"])
        return attempts.Completed(cached_tokens=0)

    async def _probe(self, address):
        is_alive = f"u{int(address[-1])}" in self.alive
        if not is_alive and self.delays.unanswered_probes:
            await asyncio.sleep(crash_quarantine.PROBE_TIMEOUT_S)
            return crash_quarantine._NO_ANSWER
        await asyncio.sleep(self.draw(self.delays.probe_s))
        if is_alive:
            return crash_quarantine._ANSWERED
        return crash_quarantine._REFUSED

    async def _skip_cache_copy(self, entry, row, request):
        await asyncio.sleep(0.01)

    def send(self, name, prompt):
        """Sends a request to an entry, which refuses a convicted one."""
        entry = self.entries[name]
        body = {"model": "model", "prompt": prompt, "max_tokens": MAX_TOKENS}
        request = model_requests.ModelRequest(
            request_id=f"{name}~{len(self.crashing)}-{len(self.harmless)}",
            workspace="w",
            weight=1,
            key="",
            route="completions",
            raw=json.dumps(body).encode(),
            body=body,
            deadline=entry.now() + 10.0,
            priority=5,
            now=entry.now(),
        )
        is_poison = prompt == POISON
        (self.crashing if is_poison else self.harmless).append(request)
        if is_poison:
            self.log(f"{request.request_id} sent")
            request.answer.readers.add(lambda: self._note_answer(request))
        if entry.convicted_until_ms(request.fingerprint):
            request.answer.fail(crash_quarantine.convicted_problem(request, 0))
            return
        problem = placement.early_refusal(entry, request)
        if problem is not None:
            request.answer.fail(problem)
            return
        model_routes.accept_request(entry, request)

    def _note_answer(self, request):
        if request.answer.ended:
            now = self.loop.time()
            self.answered_at.setdefault(request.request_id, now)

    async def send_both_kinds(self, *, harmless, crashing):
        """Sends harmless requests, and one crashing request again and again.

        Args:
            harmless: Number of requests and interval between them.
            crashing: The same for the crashing request.
        """

        async def send_all(prompts, interval_s):
            for i, prompt in enumerate(prompts):
                names = list(self.entries)
                self.send(names[i % len(names)], prompt)
                await asyncio.sleep(interval_s)

        count, interval_s = harmless
        await asyncio.gather(
            send_all([f"{HARMLESS}{i}" for i in range(count)], interval_s),
            send_all([POISON] * crashing[0], crashing[1]),
        )

    def play(self, *, harmless=(200, 0.025), crashing=(50, 0.05)):
        """Sends both kinds and waits until all have been answered."""
        self.loop.run_until_complete(
            self.send_both_kinds(harmless=harmless, crashing=crashing)
        )
        self.run_for(SETTLING_S)

    def failed_harmless(self):
        return [
            (request.request_id, request.answer.problem, request.history)
            for request in self.harmless
            if not request.answer.done or request.answer.problem
        ]
