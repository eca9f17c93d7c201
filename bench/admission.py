"""What callers of an overloaded upstream get, with and without refusals.

Entries place model requests side by side, on the code of the relay and a
virtual clock. An endpoint reads prompts one after the other; one that is not
read by its caller's deadline is dropped. Entries know each other's loads with a
lag, as control reports them.
"""

import collections
import heapq
import itertools
import pathlib
import random
import sys
import time
from typing import NamedTuple

_ROOT = pathlib.Path(__file__).resolve().parent.parent
sys.path[:0] = [str(_ROOT / "testing"), str(_ROOT / "platform")]

import relay_fixtures  # noqa: E402

from _arbutuswalk.relay import late_requests  # noqa: E402
from _arbutuswalk.relay import placement  # noqa: E402
from _arbutuswalk.relay import relay_state  # noqa: E402
from _arbutuswalk.relay import request as requests  # noqa: E402
from _arbutuswalk.relay import workspace_demand  # noqa: E402
from _arbutuswalk.routing import directory  # noqa: E402
from _arbutuswalk.state import routeconfig  # noqa: E402

READ_TOKENS_PER_S = 20_000.0
FIXED_S = 0.01
MEAN_TOKENS = 2000
SHARED_TOKENS = 300
SHARED_PARTS = 40
STREAM_S = 1.0
STALL_SHARE = 0.02
STALL_S = 0.4
CACHED_SHARE = 0.1
OBJECTIVE_S = 1.0
TIMEOUT_S = 3.0
REPORT_INTERVAL_S = 0.4
PRIORITIES = (0, 1, 2)
WORKSPACES = ("hot", *(f"w{number}" for number in range(1, 8)))
HOT_FACTOR = 7
DURATION_S = 40.0
WARM_UP_S = 5.0
TIMED_DECISIONS = 3000
SEED_COUNT = 3


class Outcome(NamedTuple):
    """What one caller got: the time to its first event, None if refused."""

    workspace: str
    priority: int
    asked_at: float
    first_s: float | None

    @property
    def is_in_time(self):
        return self.first_s is not None and self.first_s <= OBJECTIVE_S


class Play:
    """Entries and endpoints under a load, relative to what they can read."""

    def __init__(
        self,
        *,
        load,
        rejects_late,
        hot_factor=1,
        hears_control=True,
        entry_count=12,
        endpoint_count=8,
        seed=1,
    ):
        self.rng = random.Random(seed)
        self.now = 1000.0
        self.queue = []
        self.numbers = itertools.count()
        self.free_at = [self.now] * endpoint_count
        self.weights = [hot_factor, *[1] * (len(WORKSPACES) - 1)]
        capacity = endpoint_count / (FIXED_S + MEAN_TOKENS / READ_TOKENS_PER_S)
        self.rate_per_s = load * capacity
        room = max(0.0, sum(self.weights) / load - len(WORKSPACES) + 1)
        self.hot_excess = max(1.0, hot_factor / max(1.0, room))
        self.hears_control = hears_control
        self.outcomes = []
        self.entries = [
            self._make_entry(rejects_late) for _ in range(entry_count)
        ]
        for i, entry in enumerate(self.entries):
            first_s = REPORT_INTERVAL_S * i / entry_count
            self.schedule(first_s, lambda entry=entry: self._report(entry))
        self._schedule_next()

    def _make_entry(self, rejects_late):
        config = relay_fixtures.make_config(
            relay_fixtures.make_route(
                kind=routeconfig.STREAM,
                objective_s=OBJECTIVE_S,
                timeout_s=TIMEOUT_S,
            )
        )
        relay = relay_fixtures.make_relay(config, rejects_late=rejects_late)
        relay.now = lambda: self.now
        relay.rng = self.rng
        for number in range(len(self.free_at)):
            endpoint = directory.Endpoint(
                f"e{number}", 1, 1, "ops", f"e:{number}", "d1", "v1", 64,
                "ready",
            )  # fmt: skip
            directory.announce(relay.directory, endpoint, float("inf"))
        return relay

    def excess(self, demand, upstream, workspace, now):
        """Stands for the shares that control finds."""
        is_known = self.hears_control and workspace == WORKSPACES[0]
        return self.hot_excess if is_known else 1.0

    def schedule(self, after_s, action):
        item = (self.now + after_s, next(self.numbers), action)
        heapq.heappush(self.queue, item)

    def run(self, duration_s=DURATION_S):
        """Plays the load; returns the outcomes after a warm-up."""
        started_at = self.now
        excess, workspace_demand.excess = workspace_demand.excess, self.excess
        try:
            while self.queue[0][0] <= started_at + duration_s:
                self.now, _, action = heapq.heappop(self.queue)
                action()
        finally:
            workspace_demand.excess = excess
        return [
            outcome
            for outcome in self.outcomes
            if outcome.asked_at > started_at + WARM_UP_S
        ]

    def _schedule_next(self):
        def arrive():
            self._schedule_next()
            self._ask(self.rng.choice(self.entries))

        self.schedule(self.rng.expovariate(self.rate_per_s), arrive)

    def make_request(self, relay):
        tokens = max(1, int(self.rng.expovariate(1 / MEAN_TOKENS)))
        (workspace,) = self.rng.choices(WORKSPACES, self.weights)
        known = relay.route_table.config.workspaces[0]
        return relay_fixtures.make_request(
            relay,
            workspace=known._replace(
                name=workspace, priority=self.rng.choice(PRIORITIES)
            ),
            prompt=requests.Prompt(
                "m",
                SHARED_TOKENS + tokens,
                100,
                (
                    requests.Part(
                        f"p{self.rng.randrange(SHARED_PARTS)}", SHARED_TOKENS
                    ),
                    requests.Part("own", tokens),
                ),
            ),
        )

    def _ask(self, relay):
        request = self.make_request(relay)
        not_sent = None
        if relay.options.rejects_late:
            not_sent = late_requests.admit(relay, request)
        first_s = None if not_sent else self._send(relay, request)
        self.outcomes.append(
            Outcome(request.workspace.name, request.priority, self.now, first_s)
        )

    def _send(self, relay, request):
        """Sends a request; returns the time to its first event."""
        chosen = placement.find_placement(relay, request, set())
        check = late_requests.FirstDataCheck(
            relay=relay, request=request, chosen=chosen
        )
        name, tokens = chosen.endpoint.id, chosen.uncached_tokens
        relay.add_load(name, 1, tokens)
        number = int(name[1:])
        read_at = max(self.now, self.free_at[number])
        if read_at >= request.deadline:
            self.schedule(TIMEOUT_S, lambda: relay.add_load(name, -1, -tokens))
            return float("inf")
        read = 0 if self.rng.random() < CACHED_SHARE else tokens
        placement.record_sent(relay, request, name)
        took_s = FIXED_S + read / READ_TOKENS_PER_S
        if self.rng.random() < STALL_SHARE:
            took_s += STALL_S
        self.free_at[number] = read_at + took_s
        first_s = read_at + took_s - self.now

        def record_first():
            check.record_first_data()
            relay.add_load(name, 0, -tokens)
            self.schedule(STREAM_S, lambda: relay.add_load(name, -1, 0))

        self.schedule(first_s, record_first)
        return first_s

    def _report(self, entry):
        if not self.hears_control:
            return
        self.schedule(REPORT_INTERVAL_S, lambda: self._report(entry))
        totals = collections.defaultdict(relay_state.Load)
        for other in self.entries:
            if other is not entry:
                for name, load in other.own_loads.items():
                    total = totals[name]
                    totals[name] = relay_state.Load(
                        total.running + load.running,
                        total.waiting_tokens + load.waiting_tokens,
                    )
        entry.other_loads = dict(totals)


def share_in_time(outcomes, workspaces=WORKSPACES, priorities=PRIORITIES):
    """Returns the share of some callers that got their first event in time."""
    chosen = [
        outcome.is_in_time
        for outcome in outcomes
        if outcome.workspace in workspaces and outcome.priority in priorities
    ]
    return sum(chosen) / max(1, len(chosen))


def share_refused(outcomes):
    """Returns the share of the callers that were refused."""
    return sum(each.first_s is None for each in outcomes) / len(outcomes)


def time_decision(play, decide):
    """Returns the processor time of a decision, in microseconds."""
    relay = play.entries[0]
    request = play.make_request(relay)
    started_at = time.process_time()
    for _ in range(TIMED_DECISIONS):
        decide(relay, request)
    return (time.process_time() - started_at) / TIMED_DECISIONS * 1e6


def print_play(**changes):
    """Plays a load for some seeds and prints what callers get."""
    outcomes = [
        outcome
        for seed in range(1, 1 + SEED_COUNT)
        for outcome in Play(seed=seed, **changes).run()
    ]
    sent = [each for each in outcomes if each.first_s is not None]
    by_priority = " ".join(
        f"{share_in_time(outcomes, priorities=(priority,)):.3f}"
        for priority in PRIORITIES
    )
    print(
        " ".join(f"{name} {value}" for name, value in changes.items()),
        f"in time {share_in_time(outcomes):.3f}"
        f" refused {share_refused(outcomes):.3f}"
        f" of sent in time {share_in_time(sent):.3f}"
        f" by priority {by_priority}"
        f" hot {share_in_time(outcomes, WORKSPACES[:1]):.3f}"
        f" others {share_in_time(outcomes, WORKSPACES[1:]):.3f}",
        flush=True,
    )


def main():
    for load, hot_factor in ((0.5, 1), (0.9, 1), (1.5, 1), (1.5, HOT_FACTOR)):
        for rejects_late in (False, True):
            print_play(
                load=load, rejects_late=rejects_late, hot_factor=hot_factor
            )
    hot = {"load": 1.5, "rejects_late": True, "hot_factor": HOT_FACTOR}
    print_play(**hot, hears_control=False)
    print_play(**hot, entry_count=1)
    for count in (8, 30, 60):
        play = Play(load=0.7, rejects_late=True, endpoint_count=count)
        play.run(WARM_UP_S)
        whole_us = time_decision(play, late_requests.admit)
        place_us = time_decision(
            play,
            lambda relay, request: placement.find_placement(
                relay, request, set()
            ),
        )
        print(
            f"{count} endpoints: admission {whole_us:.0f} us, of which"
            f" placement {place_us:.0f} us"
        )


if __name__ == "__main__":
    main()
