"""Simulated engines on a virtual clock, to compare routing decisions.

An engine uses continuous batching: each step generates one token of every
running request, and takes longer the more requests run. Its prefix cache is
bounded, and its load is reported every half second. Network and processes are
not simulated.
"""

import collections
import heapq
import itertools
import random

from _arbutuswalk.routing import choose
from _arbutuswalk.routing import prefixes
from _arbutuswalk.routing import upstreams

REPORT_INTERVAL_S = 0.5
BASE_STEP_S = 0.022
STEP_S_PER_RUNNING_REQUEST = 0.0012
PREFILL_TOKENS_PER_S = 6000.0


def make_announcement(engine_id, slots, running, cache_tokens, sequence):
    return {
        "id": engine_id,
        "incarnation": 1,
        "sequence": sequence,
        "address": "127.0.0.1:1",
        "upstream": "model",
        "version": "v1",
        "instance": engine_id,
        "domain": "d1",
        "instance_class": "c",
        "slots": slots,
        "running": running,
        "cache_tokens": cache_tokens,
        "leaving": False,
        "leave_in_s": 0.0,
    }


class Clock:
    """A virtual clock that runs scheduled actions in order of time."""

    def __init__(self):
        self.now = 0.0
        self.queue = []
        self.sequence_numbers = itertools.count()

    def schedule(self, due_at, action):
        heapq.heappush(
            self.queue, (due_at, next(self.sequence_numbers), action)
        )

    def run(self, until):
        while self.queue and self.queue[0][0] <= until:
            self.now, _, action = heapq.heappop(self.queue)
            action()


class Engine:
    """A simulated engine with slots, a queue and a prefix cache."""

    def __init__(self, clock, engine_id, slots=16, cache_tokens=40_000):
        self.clock = clock
        self.engine_id = engine_id
        self.slots = slots
        self.cache_capacity_blocks = cache_tokens // prefixes.BLOCK_TOKENS
        self.cache_tokens = cache_tokens
        self.cached_blocks = collections.OrderedDict()
        self.running = []
        self.waiting = collections.deque()
        self.prefill_until = 0.0
        self.computed_tokens = 0
        self.stored_blocks = []
        self.removed_blocks = []
        self.is_stepping = False

    def submit(self, request):
        self.waiting.append(request)
        if not self.is_stepping:
            self.is_stepping = True
            self._step()

    def _admit_waiting(self):
        duration_s = 0.0
        while self.waiting and len(self.running) < self.slots:
            request = self.waiting.popleft()
            cached_tokens = 0
            for block in request.features.blocks:
                if block not in self.cached_blocks:
                    break
                cached_tokens += prefixes.BLOCK_TOKENS
            uncached_tokens = max(
                0, request.features.prompt_tokens - cached_tokens
            )
            self.computed_tokens += uncached_tokens
            duration_s += uncached_tokens / PREFILL_TOKENS_PER_S
            for block in request.features.blocks:
                if block not in self.cached_blocks:
                    self.stored_blocks.append(block)
                self.cached_blocks[block] = None
                self.cached_blocks.move_to_end(block)
            while len(self.cached_blocks) > self.cache_capacity_blocks:
                self.removed_blocks.append(
                    self.cached_blocks.popitem(last=False)[0]
                )
            self.running.append(request)
        return duration_s

    def _step(self):
        duration_s = self._admit_waiting()
        if not self.running:
            self.is_stepping = False
            return
        duration_s += BASE_STEP_S + STEP_S_PER_RUNNING_REQUEST * len(
            self.running
        )
        self.clock.schedule(self.clock.now + duration_s, self._finish_step)

    def _finish_step(self):
        now = self.clock.now
        for request in self.running:
            request.record_token(now)
        for request in [
            finished for finished in self.running if finished.tokens_left <= 0
        ]:
            self.running.remove(request)
            request.finish(now)
        self._step()


class SimulatedRequest:
    """A request and the times of its tokens."""

    def __init__(self, number, prompt, max_tokens, arrived_at, workspace="w"):
        self.number = number
        self.features = choose.features_of(prompt)
        self.tokens_left = max_tokens
        self.arrived_at = arrived_at
        self.workspace = workspace
        self.first_token_s = None
        self.last_token_at = None
        self.token_gaps_s = []
        self.finished_at = None
        self.on_end = lambda: None

    def record_token(self, now):
        if self.first_token_s is None:
            self.first_token_s = now - self.arrived_at
        else:
            self.token_gaps_s.append(now - self.last_token_at)
        self.last_token_at = now
        self.tokens_left -= 1

    def finish(self, now):
        self.finished_at = now
        self.on_end()


class SimulatedFleet:
    """Engines and the upstream tables of several entries.

    Cache events are sent to all entries with the load reports, except those of
    every ``lost_report_interval``-th report, which are lost.
    """

    def __init__(self, clock, engines, entry_count, lost_report_interval=7):
        self.lost_report_interval = lost_report_interval
        self.clock = clock
        self.engines = {engine.engine_id: engine for engine in engines}
        self.entry_tables = [upstreams.Table() for _ in range(entry_count)]
        self.sequence = 0
        self.send_reports()

    def _send_cache_event(self, engine):
        stored_blocks, removed_blocks = (
            engine.stored_blocks,
            engine.removed_blocks,
        )
        engine.stored_blocks, engine.removed_blocks = [], []
        if self.sequence % self.lost_report_interval == 0:
            return
        for table in self.entry_tables:
            row = table.rows.get(engine.engine_id)
            if row is not None:
                row.prefix_index.apply_event(
                    self.sequence, stored_blocks, removed_blocks
                )

    def send_reports(self):
        self.sequence += 1
        for engine in self.engines.values():
            self._send_cache_event(engine)
            running = len(engine.running) + len(engine.waiting)
            for table in self.entry_tables:
                upstreams.announce(
                    table,
                    make_announcement(
                        engine.engine_id,
                        engine.slots,
                        running,
                        engine.cache_tokens,
                        self.sequence,
                    ),
                    announced_at=self.clock.now,
                )
        self.clock.schedule(
            self.clock.now + REPORT_INTERVAL_S, self.send_reports
        )


def make_dossier_requests(
    rng, request_count, requests_per_s, dossier_count=40, pareto_shape=1.1
):
    """Returns requests that share dossiers, as appraisals of Restwaarde."""
    requests = []
    now = 0.0
    dossier_texts = [
        f"dossier {i} "
        + "".join(
            rng.choice("abcdefghijklmnop")
            for _ in range(rng.randint(4000, 12000))
        )
        for i in range(dossier_count)
    ]
    for number in range(request_count):
        now += rng.expovariate(requests_per_s)
        dossier_text = dossier_texts[
            int(rng.paretovariate(pareto_shape)) % dossier_count
        ]
        prompt = f"{dossier_text}\nlot {number}"
        requests.append(
            SimulatedRequest(number, prompt, rng.randint(30, 150), now)
        )
    return requests


def make_rngs(count):
    return [random.Random(7000 + i) for i in range(count)]
