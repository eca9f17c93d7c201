"""Fake engines on a virtual clock, for the decisions alone.

An engine batches continuously: each step gives every running request a token,
and a fuller batch makes the step longer. Its prefix cache is bounded, its load
report lags by half a second. This is a rig for decisions, no simulator of
clusters: no network, no processes.
"""

import collections
import heapq
import itertools
import random

from _arbutuswalk.routing import choose
from _arbutuswalk.routing import prefixes
from _arbutuswalk.routing import upstreams

REPORT_S = 0.5
STEP_S = 0.022
STEP_PER_RUNNING_S = 0.0012
PREFILL_TOKENS_PER_S = 6000.0


def said(identity, slots, running, cache_tokens, sequence):
    return {
        "id": identity,
        "incarnation": 1,
        "sequence": sequence,
        "address": "127.0.0.1:1",
        "upstream": "model",
        "version": "v1",
        "instance": identity,
        "domain": "d1",
        "instance_class": "c",
        "slots": slots,
        "running": running,
        "cache_tokens": cache_tokens,
        "leaving": False,
        "leave_in_s": 0.0,
    }


class Clock:
    """Events in order of time."""

    def __init__(self):
        self.now = 0.0
        self.heap = []
        self.order = itertools.count()

    def at(self, when, action):
        heapq.heappush(self.heap, (when, next(self.order), action))

    def run(self, until):
        while self.heap and self.heap[0][0] <= until:
            self.now, _, action = heapq.heappop(self.heap)
            action()


class Engine:
    """One engine."""

    def __init__(self, clock, identity, slots=16, cache_tokens=40_000):
        self.clock = clock
        self.identity = identity
        self.slots = slots
        self.capacity = cache_tokens // prefixes.BLOCK_TOKENS
        self.cache_tokens = cache_tokens
        self.cache = collections.OrderedDict()
        self.running = []
        self.waiting = collections.deque()
        self.prefill_until = 0.0
        self.computed = 0
        self.stored = []
        self.removed = []
        self.stepping = False

    def submit(self, job):
        self.waiting.append(job)
        if not self.stepping:
            self.stepping = True
            self._step()

    def _admit(self):
        spent = 0.0
        while self.waiting and len(self.running) < self.slots:
            job = self.waiting.popleft()
            held = 0
            for block in job.features.blocks:
                if block not in self.cache:
                    break
                held += prefixes.BLOCK_TOKENS
            uncached = max(0, job.features.prompt_tokens - held)
            self.computed += uncached
            spent += uncached / PREFILL_TOKENS_PER_S
            for block in job.features.blocks:
                if block not in self.cache:
                    self.stored.append(block)
                self.cache[block] = None
                self.cache.move_to_end(block)
            while len(self.cache) > self.capacity:
                self.removed.append(self.cache.popitem(last=False)[0])
            self.running.append(job)
        return spent

    def _step(self):
        spent = self._admit()
        if not self.running:
            self.stepping = False
            return
        spent += STEP_S + STEP_PER_RUNNING_S * len(self.running)
        self.clock.at(self.clock.now + spent, self._finish_step)

    def _finish_step(self):
        now = self.clock.now
        for job in self.running:
            job.token(now)
        for job in [j for j in self.running if j.left <= 0]:
            self.running.remove(job)
            job.ended(now)
        self._step()


class Job:
    """One request."""

    def __init__(self, number, prompt, tokens, arrived, workspace="w"):
        self.number = number
        self.features = choose.features_of(prompt)
        self.left = tokens
        self.arrived = arrived
        self.workspace = workspace
        self.first = None
        self.last = None
        self.gaps = []
        self.done_at = None
        self.on_end = lambda: None

    def token(self, now):
        if self.first is None:
            self.first = now - self.arrived
        else:
            self.gaps.append(now - self.last)
        self.last = now
        self.left -= 1

    def ended(self, now):
        self.done_at = now
        self.on_end()


class Pool:
    """Engines and what several entries know of them.

    Cache events reach all entries with the next report; every
    ``lost_every``-th is lost.
    """

    def __init__(self, clock, engines, entries, lost_every=7):
        self.lost_every = lost_every
        self.clock = clock
        self.engines = {engine.identity: engine for engine in engines}
        self.tables = [upstreams.Table() for _ in range(entries)]
        self.sequence = 0
        self.report()

    def _publish(self, engine):
        stored, removed = engine.stored, engine.removed
        engine.stored, engine.removed = [], []
        if self.sequence % self.lost_every == 0:
            return
        for table in self.tables:
            row = table.rows.get(engine.identity)
            if row is not None:
                row.prefix_index.apply_event(self.sequence, stored, removed)

    def report(self):
        self.sequence += 1
        for engine in self.engines.values():
            self._publish(engine)
            running = len(engine.running) + len(engine.waiting)
            for table in self.tables:
                upstreams.announce(
                    table,
                    said(
                        engine.identity,
                        engine.slots,
                        running,
                        engine.cache_tokens,
                        self.sequence,
                    ),
                    announced_at=self.clock.now,
                )
        self.clock.at(self.clock.now + REPORT_S, self.report)


def dossier_jobs(rng, count, rate, dossiers=40, reuse=1.1):
    """Returns jobs over shared dossiers, as Restwaarde's appraisals."""
    jobs = []
    now = 0.0
    texts = [
        f"dossier {i} "
        + "".join(
            rng.choice("abcdefghijklmnop")
            for _ in range(rng.randint(4000, 12000))
        )
        for i in range(dossiers)
    ]
    for number in range(count):
        now += rng.expovariate(rate)
        text = texts[int(rng.paretovariate(reuse)) % dossiers]
        prompt = f"{text}\nlot {number}"
        jobs.append(Job(number, prompt, rng.randint(30, 150), now))
    return jobs


def seeds(count):
    return [random.Random(7000 + i) for i in range(count)]
