"""Simulates the decision on a rollout: requests, entries, reports, leaders.

Requests arrive at random, entries assign them to versions by the share that
they know, measure latencies and report their counts. Nothing uses a network or
a clock. Run as a program, it plays generated cases: ``--seeds 500``.
"""

import argparse
import collections
import heapq
import itertools
import random
from typing import NamedTuple

from _arbutuswalk.control import rollouts as control_rollouts
from _arbutuswalk.relay import attempt_timing
from _arbutuswalk.relay import rollout_outcomes
from _arbutuswalk.state import counter_sum
from _arbutuswalk.state import rollout_policy
from _arbutuswalk.state import rollouts
from _arbutuswalk.state import tables as rows

EXPOSURE = rollout_policy.Exposure(share=0.1, extra=50)
MAX_BAD_ANSWERS = 50
MIN_BAD_ANSWERS = 15
"""Bad answers below which there is not enough evidence to require a result."""
ROLLBACK_DEADLINE_S = 5.0
WARM_UP_S = 12.0
TICK_S = 0.2
REPORT_INTERVAL_S = 0.4
SHARE_DELAY_S = 0.4
BYTES_PER_EVENT = 50
DEADLINE_S = 6.0


class Kind(NamedTuple):
    """A kind of request.

    Attributes:
        route: Route.
        tokens: Median of the prompt size.
        shared: Tokens of it that a cache may hold.
        events: Median of the number of events, 0 for buffered answers.
    """

    route: str
    tokens: int
    shared: int
    events: int


KINDS = (
    Kind("history", 2900, 6300, 13),
    Kind("explain", 1800, 570, 6),
    Kind("note", 540, 170, 70),
    Kind("status", 0, 0, 0),
)
MIXES = {
    "even": (1, 1, 1, 1),
    "models": (35, 38, 16, 0),
    "mostly cheap": (3, 3, 3, 91),
    "one kind": (0, 0, 1, 0),
}


class Fault(NamedTuple):
    """What is wrong with a version.

    Attributes:
        slowdown: Multiple of the latency.
        what: ``first``, ``pace`` or ``all``.
        when: ``start``, ``late`` or ``load``.
        where: ``all``, ``route`` or ``long``.
        portion: Share of the requests concerned that are slow.
    """

    slowdown: float
    what: str = "all"
    when: str = "start"
    where: str = "all"
    portion: float = 1.0


class Case(NamedTuple):
    """One rollout.

    Attributes:
        fault: Fault of the new version, None for a good one.
        per_s: Requests a second.
        mix: Name of the mix of kinds.
        entries: Number of entries.
        duration_s: Duration that the operator ordered.
        overload: Additional multiple of a version's latencies when it has all
            the traffic.
        cold: Whether the new version starts with empty caches.
        restart_at: Fraction of the duration at which the leader is replaced by
            a process that has just started; 0 for never.
        spread: Standard deviation of the latencies' logarithm.
        seed: Seed.
    """

    fault: Fault | None
    per_s: float = 40.0
    mix: str = "models"
    entries: int = 8
    duration_s: float = 15.0
    overload: float = 0.0
    cold: bool = True
    restart_at: float = 0.0
    spread: float = 0.4
    seed: int = 0


class Result(NamedTuple):
    """What became of a rollout.

    Attributes:
        state: Final state.
        reason: Reason of the last step.
        ended_at: Time of the last step, in seconds since the order.
        new_requests: Requests sent to the new version.
        requests: All requests from the order to the deadline.
        late_requests: Requests sent to it later than the permitted time after
            its 50th bad answer.
        bad_answers: Bad answers that it gave.
    """

    state: str
    reason: str
    ended_at: float
    new_requests: int
    requests: int
    late_requests: int
    bad_answers: int


class Simulation:
    """Plays one case."""

    def __init__(self, case):
        self.case = case
        self.rng = random.Random(repr(case))
        self.queue = []
        self.order = itertools.count()
        self.entries = [
            rollout_outcomes.RolloutOutcomes() for _ in range(case.entries)
        ]
        self.sums = counter_sum.CounterSum()
        self.row = rows.RolloutRow(
            "v2",
            rollouts.GROWING,
            0,
            0,
            0,
            int(case.duration_s * 1000),
            0,
            "",
        )
        self.shares = [(0.0, 0)]
        self.trial = None
        self.now = -WARM_UP_S
        self.requests = 0
        self.new_sent = []
        self.bad_answers = []
        self.used_shared = collections.Counter()

    def play(self):
        self.at(-WARM_UP_S, self.arrive)
        self.at(0.0, self.tick)
        for index in range(self.case.entries):
            self.at(self.rng.random() * REPORT_INTERVAL_S, self.report, index)
        if self.case.restart_at:
            self.at(self.case.restart_at * self.case.duration_s, self.restart)
        while self.queue:
            self.now, _, call, arguments = heapq.heappop(self.queue)
            if self.now > self.case.duration_s + 2 * TICK_S:
                break
            call(*arguments)
        late = []
        if len(self.bad_answers) >= MAX_BAD_ANSWERS:
            bound = (
                sorted(self.bad_answers)[MAX_BAD_ANSWERS - 1]
                + ROLLBACK_DEADLINE_S
            )
            late = [sent_at for sent_at in self.new_sent if sent_at > bound]
        return Result(
            self.row.state,
            self.row.reason,
            self.shares[-1][0],
            len(self.new_sent),
            self.requests,
            len(late),
            len(self.bad_answers),
        )

    def at(self, time, call, *arguments):
        heapq.heappush(self.queue, (time, next(self.order), call, arguments))

    def restart(self):
        self.sums = counter_sum.CounterSum()
        self.trial = None

    def report(self, index):
        values = {
            (upstream, version, group, position): count
            for upstream, version, group, *counts in self.entries[
                index
            ].to_json()
            for position, count in enumerate(counts)
        }
        self.sums.record(index, values, counts_from_zero=False)
        self.at(self.now + REPORT_INTERVAL_S, self.report, index)

    def tick(self):
        self.at(self.now + TICK_S, self.tick)
        if self.row.state != rollouts.GROWING:
            return
        sums = control_rollouts.sum_outcomes(self.sums.totals, "u", "v2")
        if self.trial is None:
            self.trial = rollout_policy.RolloutTrial(
                counted=sums, began_at=0.0, first_seen_at=self.now
            )
        step = rollout_policy.decide(
            "u",
            self.row,
            self.trial,
            sums=sums,
            new_version_serving=self.now > 1.0,
            exposure=EXPOSURE,
            now=self.now,
        )
        if step is None:
            return
        self.row = self.row._replace(
            state=step.state,
            share=step.share,
            step=self.row.step + 1,
            reason=step.reason,
        )
        self.shares.append((self.now, step.share))

    def share(self, delay_s):
        known = [share for at, share in self.shares if at <= self.now - delay_s]
        return known[-1] / 1000 if known else 0.0

    def arrive(self):
        case, rng = self.case, self.rng
        self.at(self.now + rng.expovariate(case.per_s), self.arrive)
        kind = rng.choices(KINDS, MIXES[case.mix])[0]
        delay_s = rng.random() * SHARE_DELAY_S
        is_new = rng.random() < self.share(delay_s)
        tokens = int(kind.tokens * rng.lognormvariate(0, 1)) + kind.shared
        if not kind.tokens:
            tokens = 0
        first_s, event_s, is_bad = self.latencies(kind, tokens, is_new)
        events = (
            max(1, int(kind.events * rng.lognormvariate(0, 0.8)))
            if kind.events
            else 0
        )
        if 0 <= self.now <= case.duration_s:
            self.requests += 1
            if is_new:
                self.new_sent.append(self.now)
        if is_bad:
            self.at(self.now + first_s, self.bad_answers.append, self.now)
        Attempt(self, kind, tokens, is_new).start(first_s, event_s, events)

    def latencies(self, kind, tokens, is_new):
        """Returns the latency to the first data, that of an event, is_bad."""
        case, rng = self.case, self.rng
        uncached = tokens - kind.shared
        thing = (kind.route, rng.randrange(60), is_new)
        is_warm = self.used_shared[thing] or (not is_new and rng.random() < 0.6)
        if not (case.cold and is_new):
            is_warm = rng.random() < 0.6
        self.used_shared[thing] += 1
        if not is_warm:
            uncached += kind.shared
        share = self.share(0.0) if is_new else 1 - self.share(0.0)
        load = 1 + case.overload * share
        noise = rng.lognormvariate(0, case.spread)
        first_s = (0.05 + uncached / 60_000) * load * noise
        event_s = 0.016 * load * rng.lognormvariate(0, case.spread / 2)
        fault = case.fault
        if not (is_new and fault and self.is_struck(fault, kind, tokens)):
            return first_s, event_s, False
        if fault.what == "pace" and not kind.events:
            return first_s, event_s, False
        if fault.what in ("first", "all"):
            first_s *= fault.slowdown
        if fault.what in ("pace", "all"):
            event_s *= fault.slowdown
        return first_s, event_s, True

    def is_struck(self, fault, kind, tokens):
        if fault.when == "late" and self.now < 0.55 * self.case.duration_s:
            return False
        if fault.when == "load" and self.share(0.0) < 0.3:
            return False
        if fault.where == "route" and kind.route != "explain":
            return False
        typical = kind.tokens + kind.shared
        if fault.where == "long" and tokens < max(1, 1.5 * typical):
            return False
        return self.rng.random() < fault.portion


class Attempt:
    """One attempt; mirrors the calls of ``attempt_timing``."""

    def __init__(self, simulation, kind, tokens, is_new):
        self.simulation = simulation
        self.outcomes = simulation.rng.choice(simulation.entries)
        self.version = "v2" if is_new else "v1"
        state = simulation.row.state
        self.compared = (
            state == rollouts.GROWING and simulation.now > SHARE_DELAY_S
        )
        self.is_sample = not is_new
        self.size = tokens
        self.group = rollout_outcomes.Group(
            "u", kind.route, rollout_outcomes.size_band(tokens)
        )
        self.is_overdue = False

    def start(self, first_s, event_s, events):
        simulation = self.simulation
        bounds = self.outcomes.bounds(
            self.group, rollout_outcomes.FIRST_DATA, self.size
        )
        if self.compared and bounds and first_s > max(bounds):
            self.is_overdue = True
            simulation.at(
                simulation.now + max(bounds),
                self.outcomes.record_overdue,
                self.group,
                self.version,
                rollout_outcomes.FIRST_DATA,
            )
        ends_at = simulation.now + min(DEADLINE_S, first_s + events * event_s)
        is_late = first_s + events * event_s > DEADLINE_S
        simulation.at(ends_at, self.end, is_late)
        if first_s >= DEADLINE_S:
            return
        first_at = simulation.now + first_s
        simulation.at(
            first_at, self.record, rollout_outcomes.FIRST_DATA, first_s
        )
        streaming_s = events * event_s
        if streaming_s:
            pace_at = min(
                first_at + max(attempt_timing.PACE_AFTER_S, event_s),
                first_at + streaming_s,
                ends_at,
            )
            pace = event_s / BYTES_PER_EVENT
            simulation.at(pace_at, self.record, rollout_outcomes.PACE, pace)

    def record(self, measure, took):
        is_counted = measure == rollout_outcomes.FIRST_DATA and self.is_overdue
        if self.compared and not is_counted:
            self.outcomes.record_latency(
                self.group, self.version, measure, size=self.size, took=took
            )
        if self.is_sample:
            self.outcomes.add_sample(
                self.group, measure, size=self.size, took=took
            )

    def end(self, is_late):
        if self.compared:
            self.outcomes.record_end(self.group, self.version, failed=is_late)


def generate_case(seed, *, is_good):
    """Draws a case; the traffic suffices to judge a faulty group."""
    rng = random.Random(f"{seed} {is_good}")
    fault = None
    if not is_good:
        fault = Fault(
            slowdown=rng.choice((2, 3, 5, 8)),
            what=rng.choice(("first", "pace", "all")),
            when=rng.choice(("start", "start", "late", "load")),
            where=rng.choice(("all", "all", "route", "long")),
        )
    return Case(
        fault=fault,
        per_s=rng.choice((2, 5, 28, 60, 130)),
        mix=rng.choice(tuple(MIXES)),
        entries=rng.choice((3, 8)),
        duration_s=rng.choice((12.0, 15.0, 20.0)),
        overload=rng.choice((0.0, 0.0, 1.0)),
        cold=rng.random() < 0.7,
        restart_at=rng.choice((0.0, 0.0, 0.45, 0.8)),
        spread=rng.choice((0.2, 0.4, 0.7)),
        seed=seed,
    )


def find_problem(case, result):
    """Returns which bound a result breaks; empty if it breaks none."""
    if case.fault is None:
        return "" if result.state == rollouts.COMPLETED else "good reverted"
    if result.bad_answers < MIN_BAD_ANSWERS:
        return ""
    if result.state == rollouts.COMPLETED:
        return "completed"
    if result.late_requests:
        return "late requests"
    allowed = EXPOSURE.share * result.requests + EXPOSURE.extra
    return "exposure" if result.new_requests > allowed else ""


def main():
    parser = argparse.ArgumentParser()
    parser.add_argument("--seeds", type=int, default=200)
    parser.add_argument("--good", action="store_true")
    options = parser.parse_args()
    states = collections.Counter()
    for seed in range(options.seeds):
        case = generate_case(seed, is_good=options.good)
        result = Simulation(case).play()
        problem = find_problem(case, result)
        states[result.state, problem] += 1
        if problem:
            print(problem, tuple(case), tuple(result))
    print(states)


if __name__ == "__main__":
    main()
