"""Hypothesis state machine for model requests over failing runners."""

import asyncio
import json
import random

import entry_fixtures
import hypothesis.strategies as st
import virtual
from hypothesis import stateful

from _arbutuswalk.entry import crash_quarantine
from _arbutuswalk.entry import migration
from _arbutuswalk.entry import model_requests
from _arbutuswalk.entry import model_routes
from _arbutuswalk.entry import upstream_announcements
from _arbutuswalk.load import checks
from _arbutuswalk.load import workload
from _arbutuswalk.routing import upstreams
from _arbutuswalk.standin import engine
from _arbutuswalk.state import view
from _arbutuswalk.streams import answer
from _arbutuswalk.streams import attempts

TOKEN_INTERVAL_S = 0.05
MAX_TOKENS = 12
RUNNER_COUNT = 5
MODES = ["good", "good", "good", "broke", "silent", "cross", "error", "down"]
POISON_PROMPT = "poison"


class Runner:
    """A runner that announces itself and generates verifiable tokens."""

    def __init__(self, identity, incarnation):
        self.identity = identity
        self.incarnation = incarnation
        self.alive = True
        self.leaving = False
        self.sequence = 0
        self.running = 0

    def next_announcement(self):
        self.sequence += 1
        return entry_fixtures.make_announcement(
            self.identity,
            "model",
            incarnation=self.incarnation,
            sequence=self.sequence,
            address=f"127.0.0.1:{9000 + int(self.identity[1:])}",
            instance=f"{self.identity}-{self.incarnation}",
            leaving=self.leaving,
            leave_in_s=2.0 if self.leaving else 0.0,
        )


class Fleet:
    """The runners and the faults of connections to them."""

    def __init__(self, loop, rng):
        self.loop = loop
        self.rng = rng
        self.modes = ["good"]
        self.runners = {}
        self.incarnation = 0
        self.killed_by = {}
        for i in range(RUNNER_COUNT):
            self.start(f"u{i}")

    def start(self, identity):
        self.incarnation += 1
        self.runners[identity] = Runner(identity, self.incarnation)

    def runner_at(self, address):
        return self.runners[f"u{int(address.rpartition(':')[2]) - 9000}"]

    def die(self, runner, reference=None):
        if runner.alive:
            runner.alive = False
            # A leaving runner is lost in any case and counts against no
            # request.
            if reference and not runner.leaving:
                kills = self.killed_by.get(reference, 0)
                self.killed_by[reference] = kills + 1

    async def run(self, order, deadlines, on_events, may_leave):
        runner = self.runner_at(order.address)
        mode = self.rng.choice(self.modes)
        await asyncio.sleep(0.002)
        if not runner.alive or mode == "down":
            return attempts.NotConnected(reason="refused")
        if mode == "cross":
            return attempts.Crossed(got="another")
        if mode == "error":
            return attempts.Declined(status=500, detail="fault")

        async def wait_until_left():
            await asyncio.sleep(deadlines.gap_s)
            while not may_leave():
                await asyncio.sleep(attempts.SILENCE_CHECK_INTERVAL_S)
            return attempts.Silent(after_s=deadlines.gap_s)

        return await self._generate(
            runner, order, wait_until_left, on_events, mode
        )

    async def _generate(self, runner, order, wait_until_left, on_events, mode):
        prompt = model_requests.prompt_of(order.body)
        reference = engine.parse_reference(prompt)
        nonce, position = engine.continuation_start(
            order.body.get("continue_from")
        )
        fault_position = self.rng.randint(position, MAX_TOKENS)
        while position < order.body["max_tokens"]:
            await asyncio.sleep(TOKEN_INTERVAL_S)
            if POISON_PROMPT in prompt and position >= 3:
                self.die(runner, reference)
            if not runner.alive:
                return attempts.Broke(reason="reset")
            if position == fault_position and mode == "broke":
                return attempts.Broke(reason="cut")
            if position == fault_position and mode == "silent":
                return await wait_until_left()
            token = engine.format_token(reference, nonce, position)
            choice = {"index": 0, "text": token}
            body = json.dumps({"choices": [choice]}).encode()
            on_events([b"data: " + body])
            position += 1
        on_events([b"data: [DONE]"])
        return attempts.Completed(cached_tokens=0)


class StreamMachine(stateful.RuleBasedStateMachine):
    """Two entries, five runners, callers that resend crashing requests."""

    def __init__(self):
        super().__init__()
        self.loop = virtual.VirtualLoop()
        self.original_functions = (
            attempts.run,
            crash_quarantine._probe,
            migration.copy_cache,
        )
        self.sent = []
        self.crashing = []
        self.request_count = 0

    @stateful.initialize(seed=st.integers(0, 2**16))
    def begin(self, seed):
        self.rng = random.Random(seed)
        self.control = entry_fixtures.Control(self.loop, self.rng)
        self.fleet = Fleet(self.loop, self.rng)
        self.entries = [
            entry_fixtures.make_entry(self.loop, self.control, name)
            for name in ("a", "b")
        ]
        attempts.run = self.fleet.run
        crash_quarantine._probe = self._probe
        migration.copy_cache = self._skip_cache_copy
        for entry in self.entries:
            entry.start_request = lambda request, entry=entry: (
                model_routes.start_task(entry, request)
            )
        self.background = self.loop.create_task(self._upkeep())

    async def _probe(self, address):
        await asyncio.sleep(0.001)
        return "open" if self.fleet.runner_at(address).alive else "refused"

    async def _skip_cache_copy(self, entry, row, request):
        await asyncio.sleep(0.01)

    async def _upkeep(self):
        """Renews announcements and views and expires upstreams."""
        while True:
            for entry in self.entries:
                entry.view = json.loads(
                    json.dumps(view.parts_since(self.control.tables, -1))
                )
                crash_quarantine.apply_isolations(entry)
                self._report_active(entry)
                for runner in self.fleet.runners.values():
                    if runner.alive:
                        self._announce(entry, runner)
                upstreams.expire(entry.upstreams, self.loop.time())
            await asyncio.sleep(0.3)

    def _report_active(self, entry):
        """Records the log index and the occupied upstreams of a sync."""
        self.control.entry_reports[entry.name] = (
            self.control.index,
            crash_quarantine.occupied_upstreams(entry),
        )

    def _announce(self, entry, runner):
        upstream_announcements.apply_announcement(
            entry, runner.next_announcement(), age_s=0.0
        )

    def _run_for(self, seconds):
        self.loop.run_until_complete(asyncio.sleep(seconds))

    def _send(self, entry, reference, text):
        self.request_count += 1
        body = {
            "model": "model",
            "prompt": f"{text} ref:{reference}",
            "max_tokens": MAX_TOKENS,
            "stream": True,
        }
        raw = json.dumps(body).encode()
        request = model_requests.ModelRequest(
            request_id=f"{entry.name}~{self.request_count}",
            workspace="w",
            weight=1,
            key="",
            route="completions",
            raw=raw,
            body=body,
            deadline=self.loop.time() + 120,
            priority=5,
            now=self.loop.time(),
        )

        async def start():
            model_routes.accept_request(entry, request)

        self.loop.run_until_complete(start())
        return request

    @stateful.rule(i=st.integers(0, 1), count=st.integers(1, 4))
    def send(self, i, count):
        for _ in range(count):
            reference = f"r{self.request_count}"
            request = self._send(self.entries[i], reference, "hello")
            self.sent.append((reference, request))

    @stateful.precondition(lambda self: len(self.crashing) < 2)
    @stateful.rule(i=st.integers(0, 1))
    def send_crashing(self, i):
        reference = f"p{len(self.crashing)}"
        request = self._send(self.entries[i], reference, POISON_PROMPT)
        self.crashing.append((reference, [request]))

    @stateful.precondition(lambda self: self.crashing)
    @stateful.rule(i=st.integers(0, 1))
    def resend_crashing(self, i):
        """Resends a crashing request that ended, unless it is convicted."""
        reference, requests = self.crashing[-1]
        if requests[-1].answer.ended and not self._is_convicted(
            requests[-1], i
        ):
            request = self._send(self.entries[i], reference, POISON_PROMPT)
            requests.append(request)

    def _is_convicted(self, request, i):
        return self.entries[i].convicted_until_ms(request.fingerprint) > 0

    @stateful.rule(
        modes=st.lists(st.sampled_from(MODES), min_size=3, max_size=6)
    )
    def change_faults(self, modes):
        self.fleet.modes = modes

    @stateful.rule(seconds=st.sampled_from([0.05, 0.3, 1.0, 4.0]))
    def time_passes(self, seconds):
        self._run_for(seconds)

    @stateful.rule(i=st.integers(0, RUNNER_COUNT - 1))
    def reclaim_with_notice(self, i):
        runner = self.fleet.runners[f"u{i}"]
        if runner.alive and not runner.leaving:
            runner.leaving = True
            for entry in self.entries:
                self.loop.run_until_complete(
                    self._announce_on_loop(entry, runner)
                )
            self.loop.call_later(2.0, self.fleet.die, runner)

    async def _announce_on_loop(self, entry, runner):
        self._announce(entry, runner)

    @stateful.rule()
    def reclaim_a_domain(self):
        """Reclaims three of the five runners at once, with 2 s of notice."""
        for i in range(3):
            self.reclaim_with_notice(i)

    @stateful.rule(i=st.integers(0, RUNNER_COUNT - 1))
    def replace(self, i):
        if not self.fleet.runners[f"u{i}"].alive:
            self.fleet.start(f"u{i}")

    @stateful.invariant()
    def crashing_requests_take_two_runners_at_most(self):
        if hasattr(self, "fleet"):
            for reference, count in self.fleet.killed_by.items():
                assert count <= 2, (reference, count)

    def teardown(self):
        try:
            if hasattr(self, "fleet"):
                self.fleet.modes = ["good"]
                self._run_for(3)  # until all leaving runners are gone
                for i in range(RUNNER_COUNT):
                    self.replace(i)
                self._run_for(100)
                self._check()
        finally:
            attempts.run, crash_quarantine._probe, migration.copy_cache = (
                self.original_functions
            )
            virtual.close(self.loop)

    def _check(self):
        self.crashing_requests_take_two_runners_at_most()
        for reference, request in self.sent:
            result = request.answer
            assert result.ended, f"{reference} hangs: {request.history}"
            if result.problem is not None:
                self._check_problem(reference, request)
                continue
            item = workload.Item(
                **dict.fromkeys(workload.Item._fields, "")
            )._replace(ref=reference, max_tokens=MAX_TOKENS)
            assert checks.check_text(item, result.text()) == ""

    def _check_problem(self, reference, request):
        """A harmless request may fail only by errors that upstreams return."""
        problem: answer.Problem = request.answer.problem
        assert problem.title == "upstream error", (problem, request.history)
