"""Time to the first event from endpoints of different speed, simulated.

Entries place model requests side by side.

An endpoint works in steps: each generates a token of every running request and
reads one chunk of the waiting prompts. Its speed is a factor of all its times;
besides, it stalls for short times. It keeps the most recently used parts of
prompts. Entries know each other's loads with a lag, as control reports them.
"""

import collections
import heapq
import itertools
import random
import statistics
import time
from typing import NamedTuple

from _arbutuswalk.base import metrics
from _arbutuswalk.control import speed_reports
from _arbutuswalk.relay import endpoint_speeds
from _arbutuswalk.relay import report_feed
from _arbutuswalk.routing import directory
from _arbutuswalk.routing import endpoint_speed
from _arbutuswalk.routing import recent_parts
from _arbutuswalk.routing import selection

STEP_S = 0.00617
STEP_S_PER_REQUEST = 0.0000329
READ_TOKENS_PER_S = 30_900.0
CHUNK_TOKENS = 1024
TOKENS_PER_EVENT = 3
CACHE_TOKENS = 300_000
SLOTS = 64
REPORT_INTERVAL_S = 0.4
STALL_SHARE = 0.15
STALL_FACTOR = 2.5
STALL_S = 0.6
SPEEDS = (0.6, 1.0, 1.6)
ENDPOINT_COUNT = 30
SEED_COUNT = 3
DURATION_S = 40.0
WARM_UP_S = 10.0
LOADS = (1.0, 1.5, 2.0)
TIMED_DECISIONS = 3000


class Kind(NamedTuple):
    """Requests of one kind: their rate, and sizes in tokens.

    Attributes:
        rate_per_s: Requests per second.
        parts: Tokens and number of different ones of each shared part.
        own_tokens: Mean of the tokens of the prompt's own part.
        events: Mean number of events of the answer.
    """

    rate_per_s: float
    parts: tuple[tuple[int, int], ...]
    own_tokens: int
    events: int


KINDS = {
    "digest": Kind(41.6, ((2520, 4), (3780, 66)), 2890, 17),
    "report": Kind(50.1, ((341, 4), (227, 119)), 1800, 8),
    "chat": Kind(40.9, ((103, 4), (68, 65)), 543, 81),
}


class Work(NamedTuple):
    """One request, and the times of its events once it has run."""

    profile: selection.PromptProfile
    output_tokens: int
    sent_at: float
    on_first: object
    event_times: list


class Engine:
    """One endpoint."""

    def __init__(self, simulation, row, slowness):
        self.simulation = simulation
        self.endpoint = row
        self.slowness = slowness
        self.waiting = collections.deque()
        self.running = {}
        self.cached = collections.OrderedDict()
        self.is_busy = False
        self.busy_s = 0.0

    def submit(self, work):
        self.waiting.append([work, self._uncached(work.profile)])
        if not self.is_busy:
            self._step()

    def _uncached(self, profile):
        tokens, is_cached = profile.tokens, True
        for part, part_tokens in profile.parts:
            is_cached = is_cached and part in self.cached
            tokens -= part_tokens * is_cached
            self.cached[part] = part_tokens
            self.cached.move_to_end(part)
        while sum(self.cached.values()) > CACHE_TOKENS:
            self.cached.popitem(last=False)
        return tokens

    def _step(self):
        self.is_busy = bool(self.waiting or self.running)
        if not self.is_busy:
            return
        took_s = STEP_S + STEP_S_PER_REQUEST * len(self.running)
        budget = CHUNK_TOKENS
        while self.waiting and budget and len(self.running) < SLOTS:
            first = self.waiting[0]
            read = min(first[1], budget)
            first[1] -= read
            budget -= read
            if first[1] > 0:
                break
            self.waiting.popleft()
            self.running[id(first[0])] = [first[0], 0]
        took_s += (CHUNK_TOKENS - budget) / READ_TOKENS_PER_S
        took_s *= self.slowness * self.simulation.stall_factor(self.endpoint.id)
        self.busy_s += took_s
        self.simulation.schedule(took_s, self._finish_step)

    def _finish_step(self):
        now = self.simulation.now
        for key, state in list(self.running.items()):
            work = state[0]
            state[1] += 1
            if state[1] % TOKENS_PER_EVENT == 1:
                work.event_times.append(now)
                if state[1] == 1:
                    work.on_first(now)
            if state[1] >= work.output_tokens:
                del self.running[key]
                work.on_first(None)
        self._step()


class Entry:
    """What one entry knows."""

    def __init__(self, name):
        self.key = (name, 1)
        self.own = collections.defaultdict(lambda: [0, 0])
        self.other = {}
        self.parts = recent_parts.RecentParts()
        self.speeds = endpoint_speeds.EndpointSpeeds()
        self.feed = report_feed.ReportFeed()
        self.metrics = metrics.Metrics()


class Simulation:
    """Entries and endpoints on a virtual clock.

    Attributes:
        learns: Whether entries report speeds and use them.
        first_s: Time to the first event of every request, by kind.
    """

    def __init__(
        self, *, slowness, entry_count=60, load=1.0, learns=True, seed=1
    ):
        self.rng = random.Random(seed)
        self.learns = learns
        self.load = load
        self.now = 0.0
        self.queue = []
        self.numbers = itertools.count()
        self.stalls = {}
        self.directory = directory.Directory()
        self.engines = {}
        for i, factor in enumerate(slowness):
            self.start_endpoint(f"e{i}", factor)
        self.entries = [Entry(f"n{i}") for i in range(entry_count)]
        self.control = speed_reports.SpeedReports()
        self.first_s = {kind: [] for kind in KINDS}
        for kind in KINDS:
            self._schedule_next(kind)
        for i, entry in enumerate(self.entries):
            first_s = REPORT_INTERVAL_S * i / entry_count
            self.schedule(first_s, lambda entry=entry: self._watch(entry))

    def start_endpoint(self, name, slowness, born_ms=1):
        endpoint = directory.Endpoint(
            name, born_ms, 1, "m", f"{name}:1", "d1", "v1", SLOTS, "ready"
        )
        directory.announce(self.directory, endpoint, self.now)
        self.engines[name] = Engine(self, endpoint, slowness)

    def schedule(self, after_s, action):
        item = (self.now + after_s, next(self.numbers), action)
        heapq.heappush(self.queue, item)

    def run(self, until):
        while self.queue[0][0] <= until:
            self.now, _, action = heapq.heappop(self.queue)
            action()

    def stall_factor(self, name):
        number = int(self.now / STALL_S)
        key = name, number
        if key not in self.stalls:
            self.stalls[key] = self.rng.random() < STALL_SHARE
        return STALL_FACTOR if self.stalls[key] else 1.0

    def _schedule_next(self, kind):
        def arrive():
            self._schedule_next(kind)
            self._place(kind)

        rate = KINDS[kind].rate_per_s * self.load
        self.schedule(self.rng.expovariate(rate), arrive)

    def _place(self, kind):
        entry = self.rng.choice(self.entries)
        shape = KINDS[kind]
        parts = tuple(
            (f"{kind}{depth}-{self.rng.randrange(count)}", tokens)
            for depth, (tokens, count) in enumerate(shape.parts)
        )
        own_tokens = max(1, int(self.rng.expovariate(1 / shape.own_tokens)))
        profile = selection.PromptProfile(
            own_tokens + sum(tokens for _, tokens in parts), parts
        )
        choice = self.choose(entry, profile)
        entry.parts.record(parts[-1][0], choice.id, self.now)
        self._send(entry, kind, profile, choice)

    def choose(self, entry, profile):
        return selection.choose(
            [self._candidate(entry, each) for each in self.engines.values()],
            profile,
            entry.parts.endpoints_holding(profile.parts[-1][0], self.now),
            (self.rng.random(), self.rng.random()),
        )

    def _candidate(self, entry, engine):
        name = engine.endpoint.id
        own, other = entry.own[name], entry.other.get(name, (0, 0))
        return selection.Candidate(
            id=name,
            running=own[0] + other[0],
            waiting_tokens=own[1] + other[1],
            slots=SLOTS,
            near=True,
            doubtful=False,
            slowness=entry.speeds.factor(engine.endpoint, self.now),
        )

    def _send(self, entry, kind, profile, choice):
        candidate = self._candidate(entry, self.engines[choice.id])
        endpoint = self.engines[choice.id].endpoint
        load = endpoint_speed.ReadLoad(
            choice.tokens, candidate.waiting_tokens, candidate.running, SLOTS
        )
        sent_at, times = self.now, []
        own = entry.own[choice.id]
        own[0] += 1
        own[1] += choice.tokens

        def on_progress(first_at):
            if first_at is not None:
                own[1] -= choice.tokens
                self.first_s[kind].append((sent_at, first_at - sent_at))
                return
            own[0] -= 1
            gaps = [after - at for at, after in itertools.pairwise(times)]
            measures = endpoint_speed.Measures(
                endpoint_speed.measure_read(load, times[0] - sent_at),
                endpoint_speed.measure_pace(gaps[: endpoint_speed.MAX_GAPS]),
            )
            if self.learns and any(each is not None for each in measures):
                entry.speeds.add(
                    endpoint_speeds.Sample(
                        endpoint.id, endpoint.born_ms, measures
                    )
                )

        events = max(1, int(self.rng.expovariate(1 / KINDS[kind].events)))
        self.engines[choice.id].submit(
            Work(
                profile, events * TOKENS_PER_EVENT, sent_at, on_progress, times
            )
        )

    def _watch(self, entry):
        self.schedule(REPORT_INTERVAL_S, lambda: self._watch(entry))
        totals = collections.defaultdict(lambda: [0, 0])
        for other in self.entries:
            if other is not entry:
                for name, load in other.own.items():
                    totals[name][0] += load[0]
                    totals[name][1] += load[1]
        entry.other = totals
        report = endpoint_speeds.to_json(entry.speeds, entry.feed)
        self.control.record(entry.key, report, self.directory, self.now)
        since = report.get("speeds", [0])[0]
        news = self.control.parts(self.directory, since, self.now)
        endpoint_speeds.record_reply(
            entry.speeds, entry.feed, news, self.now, entry.metrics
        )


def quantile(values, share):
    ordered = sorted(values)
    return ordered[min(len(ordered) - 1, int(share * len(ordered)))]


def simulate(*, load, seed, policy):
    """Simulates one policy: speeds unknown, learned or known at once."""
    slowness = [1 / SPEEDS[i % len(SPEEDS)] for i in range(ENDPOINT_COUNT)]
    simulation = Simulation(
        slowness=slowness, load=load, seed=seed, learns=policy == "learned"
    )
    if policy == "known":
        for entry in simulation.entries:
            entry.speeds.factor = lambda endpoint, now: (
                simulation.engines[endpoint.id].slowness
            )
    simulation.run(DURATION_S)
    return simulation


def first_times(simulation):
    """Returns the times to the first event after the warm-up."""
    return [
        took_s
        for times in simulation.first_s.values()
        for sent_at, took_s in times
        if sent_at > WARM_UP_S
    ]


def time_decision(simulation):
    """Returns the processor time of one decision, in microseconds."""
    entry = simulation.entries[0]
    profile = selection.PromptProfile(9000, (("a", 2000), ("b", 4000)))
    started_at = time.process_time()
    for _ in range(TIMED_DECISIONS):
        simulation.choose(entry, profile)
    return (time.process_time() - started_at) / TIMED_DECISIONS * 1e6


def main():
    rate = sum(kind.rate_per_s for kind in KINDS.values())
    print(
        f"{ENDPOINT_COUNT} endpoints of speeds {SPEEDS}, 60 entries;"
        f" medians of {SEED_COUNT} seeds, ms to the first event"
    )
    for load in LOADS:
        best_mean_s = None
        for policy in ("known", "learned", "unknown"):
            simulations = [
                simulate(load=load, seed=seed, policy=policy)
                for seed in range(1, 1 + SEED_COUNT)
            ]
            times = [first_times(simulation) for simulation in simulations]
            mean_s = statistics.median(map(statistics.mean, times))
            best_mean_s = best_mean_s or mean_s
            p50_s, p99_s = (
                statistics.median(quantile(each, share) for each in times)
                for share in (0.5, 0.99)
            )
            print(
                f"{load * rate:.0f}/s {policy:8} mean {mean_s * 1000:.0f}"
                f" p50 {p50_s * 1000:.0f} p99 {p99_s * 1000:.0f}"
                f" share of known {best_mean_s / mean_s:.2f}"
                f" decision {time_decision(simulations[0]):.0f} us",
                flush=True,
            )


if __name__ == "__main__":
    main()
