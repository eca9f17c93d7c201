"""Endpoints required by tokens, played in virtual time beside today's count."""

import random
from typing import NamedTuple

import pytest
import relay_fixtures
import test_duties
import test_scaling_rollouts
from arbutuswalk_platform import settings

from _arbutuswalk.base import settings as base_settings
from _arbutuswalk.control import scaling
from _arbutuswalk.control import sizing
from _arbutuswalk.routing import endpoint_speed
from _arbutuswalk.state import routeconfig
from _arbutuswalk.state import scaling_policy
from _arbutuswalk.state import token_sizing

TICK_S = 0.25
SCALING = routeconfig.Scaling(
    1, 20, 4.0, 0.22, {"d1": 0.85, "d2": 1.2, "d3": 1.0}
)
OBJECTIVES = token_sizing.Objectives(0.5, 0.0, 64, is_model=True)


class Engine(NamedTuple):
    """Speed of the endpoints that are played, in seconds."""

    read_s: float
    pace_s: float


TYPICAL = Engine(1 / 15_000, 0.02)
SLOW = Engine(1 / 5_000, 0.04)
FAST = Engine(1 / 60_000, 0.01)
EVENTS = 40
TOKENS = 1200


class Play:
    """Endpoints that read prompts in turn, and the orders for them.

    Attributes:
        work: End of the prompts to be read, by endpoint of each pool.
        requests: Arrival, first event and end of each request, by endpoint.
        outcomes: Arrival and whether the objective was kept.
    """

    def __init__(self, *, engine, by_tokens, seed=1, ready=4):
        self.engine = engine
        self.by_tokens = by_tokens
        self.rng = random.Random(seed)
        self.fleet = scaling_policy.FleetState()
        self.sizing = token_sizing.Sizing()
        self.pools = {(name, True): ready for name in SCALING.prices}
        self.booting = []
        self.work = {}
        self.requests = []
        self.outcomes = []
        self.dry_until = 0.0
        self.now = 0.0
        self.endpoint_s = 0.0
        self.cost = 0.0
        self._apply()

    def _apply(self):
        """Adds and removes endpoints; requests that lose theirs start again."""
        wanted = {
            (key, index)
            for key, count in self.pools.items()
            for index in range(count)
        }
        for lost in self.work.keys() - wanted:
            del self.work[lost]
        for added in sorted(wanted - self.work.keys()):
            self.work[added] = self.now
        for request in self.requests:
            if request[3] not in self.work and request[1] > self.now:
                self._place(request)

    def _place(self, request):
        choices = self.rng.sample(sorted(self.work), min(3, len(self.work)))
        endpoint = min(choices, key=self.work.get)
        begin = max(self.now, self.work[endpoint])
        first = begin + request[4] * self.engine.read_s
        self.work[endpoint] = first
        request[1:4] = [first, first + EVENTS * self.engine.pace_s, endpoint]

    def run(self, until, rate):
        """Plays until a time at a rate, which is a number or a function."""
        while self.now < until:
            per_s = rate(self.now) if callable(rate) else rate
            next_tick = self.now + TICK_S
            while (arrival := self.now + self.rng.expovariate(per_s)) < (
                next_tick
            ):
                self.now = arrival
                tokens = self.rng.choice((TOKENS // 2, TOKENS, TOKENS * 3 // 2))
                request = [arrival, 0.0, 0.0, None, tokens]
                self._place(request)
                self.requests.append(request)
            self.now = next_tick
            self._tick()

    def _tick(self):
        for item in [item for item in self.booting if item[0] <= self.now]:
            self.booting.remove(item)
            self.pools[item[1]] = self.pools.get(item[1], 0) + item[2]
        for request in list(self.requests):
            if request[2] <= self.now:
                self.requests.remove(request)
                late_s = request[1] - request[0]
                is_kept = late_s <= OBJECTIVES.first_event_s
                self.outcomes.append((request[0], is_kept))
        waiting = [each for each in self.requests if each[1] > self.now]
        running, serving = len(self.requests), len(self.work)
        sample = token_sizing.Sample(
            running,
            len({each[3] for each in waiting}),
            sum(each[4] for each in waiting),
            serving,
        )
        counts = None
        if self.by_tokens:
            speed = token_sizing.Speed(*self.engine) if self.now > 2 else None
            token_sizing.record(self.sizing, sample, speed, self.now)
            counts = token_sizing.update(
                self.sizing, OBJECTIVES, SCALING, self.now
            )
        scaling_policy.record_load(self.fleet, running, self.now)
        for order in scaling_policy.decide(
            self.fleet, SCALING, self.pools, self.now, counts
        ):
            self._order(order)
        self._apply()
        self.endpoint_s += serving * TICK_S
        for (domain, reclaimable), count in self.pools.items():
            factor = SCALING.reclaimable_price if reclaimable else 1.0
            self.cost += count * SCALING.prices[domain] * factor * TICK_S

    def _order(self, order):
        key = (order.domain, order.reclaimable)
        have = self.pools.get(key, 0)
        starting = sum(item[2] for item in self.booting if item[1] == key)
        more = order.count - have - starting
        is_accepted = not (
            order.reclaimable and more > 0 and self.now < self.dry_until
        )
        scaling_policy.record_order_outcome(
            self.fleet, order, accepted=is_accepted, now=self.now
        )
        if is_accepted and more > 0:
            self.booting.append((self.now + SCALING.boot_s, key, more))
        elif more < 0:
            self.booting = [item for item in self.booting if item[1] != key]
            self.pools[key] = min(have, order.count)

    def reclaim(self, domain, dry_s):
        """Takes a domain away at once; no reclaimable ones for some time."""
        self.pools[domain, True] = 0
        self.dry_until = self.now + dry_s
        scaling_policy.record_reclaim(self.fleet, domain, self.now)
        self._apply()

    def share(self, since):
        """Returns the share of requests since a time that were in time."""
        kept = [is_kept for at, is_kept in self.outcomes if at >= since]
        return sum(kept) / len(kept)


def steady(play):
    play.run(60, 40)


def wave(play):
    """Three times the load within 10 s."""
    play.run(50, lambda now: 30 * (1 + 2 * min(1, max(0, (now - 20) / 10))))


def reclaim(play):
    play.run(25, 40)
    play.reclaim("d1", 14)
    play.run(45, 40)


def compare(load, engine, seeds=(0, 1, 2)):
    """Returns shares in time and endpoint-seconds of today's count and ours."""
    results = []
    for by_tokens in (False, True):
        plays = [
            Play(engine=engine, by_tokens=by_tokens, seed=seed)
            for seed in seeds
        ]
        for play in plays:
            load(play)
        results.append(sum(play.share(20) for play in plays) / len(plays))
        results.append(sum(play.endpoint_s for play in plays) / len(plays))
    return results


class TestPlayedLoads:
    @pytest.mark.parametrize("load", [steady, wave, reclaim])
    def test_slow_endpoints_are_more_and_keep_more_in_time(self, load):
        before, before_s, share, endpoint_s = compare(load, SLOW)
        assert share > max(before, 0.98)
        assert endpoint_s > before_s

    @pytest.mark.parametrize("load", [steady, wave, reclaim])
    def test_fast_endpoints_are_fewer_and_keep_all_in_time(self, load):
        _, before_s, share, endpoint_s = compare(load, FAST)
        assert share > 0.995
        assert endpoint_s < 0.75 * before_s

    @pytest.mark.parametrize("load", [steady, wave, reclaim])
    def test_typical_endpoints_keep_all_in_time(self, load):
        assert compare(load, TYPICAL)[2] > 0.995


def make_sizing(
    running=40, reading=4, waiting_tokens=4800, speed=TYPICAL, rise=0.0
):
    """Returns a sizing after 8 s of load, and when they end."""
    state = token_sizing.Sizing()
    for tick in range(32):
        sample = token_sizing.Sample(
            running + rise * tick, reading, waiting_tokens, 10
        )
        known = token_sizing.Speed(*speed) if speed else None
        token_sizing.record(state, sample, known, tick * TICK_S)
    return state, 31 * TICK_S


def required(objectives=OBJECTIVES, **load):
    state, now = make_sizing(**load)
    return token_sizing.update(state, objectives, SCALING, now)


class TestRequired:
    def test_unknown_speed_or_objective_gives_todays_count(self):
        assert required(speed=None) is None
        assert required(OBJECTIVES._replace(first_event_s=0.0)) is None
        fleet = scaling_policy.FleetState()
        scaling_policy.record_load(fleet, 43, 0.0)
        scaling_policy.record_load(fleet, 43, 10.0)
        assert scaling_policy.reclaimable_count(fleet, SCALING, 10.0) == 11
        assert scaling_policy.required_count(fleet, SCALING, 10.0) == 9

    def test_one_stalled_sample_moves_nothing(self):
        state, now = make_sizing()
        before = token_sizing.update(state, OBJECTIVES, SCALING, now)
        stalled = token_sizing.Sample(400, 10, 90_000, 10)
        now += TICK_S
        token_sizing.record(state, stalled, None, now)
        after = token_sizing.update(state, OBJECTIVES, SCALING, now)
        assert after == pytest.approx(before)

    def test_a_rising_load_is_met_before_it_comes(self):
        at_present = 4 / token_sizing.MAX_UTILIZATION
        counts = required(rise=3.0)
        assert counts.bound == "prompt reading"
        assert counts.reclaimable > 1.4 * at_present
        assert counts.on_demand == pytest.approx(at_present)

    def test_a_growing_backlog_requires_more_than_now_serve(self):
        state = token_sizing.Sizing()
        for tick in range(32):
            sample = token_sizing.Sample(80, 10, 9000 * tick, 10)
            speed = token_sizing.Speed(*TYPICAL)
            token_sizing.record(state, sample, speed, tick * TICK_S)
        counts = token_sizing.update(state, OBJECTIVES, SCALING, 31 * TICK_S)
        assert counts.on_demand > 12
        assert counts.bound.startswith("prompt reading")

    def test_slow_streams_require_more_endpoints(self):
        slow = TYPICAL._replace(pace_s=0.04)
        demanding = OBJECTIVES._replace(gap_s=0.02)
        # The batch of 8 would be 3.2 at the permitted pace.
        counts = required(demanding, running=80, reading=1, speed=slow)
        assert counts.bound.startswith("generation")
        assert counts.on_demand == 80 / token_sizing.MIN_BATCH

    def test_other_upstreams_use_half_of_their_slots(self):
        plain = token_sizing.Objectives(0.0, 0.0, 8, is_model=False)
        counts = required(plain, reading=0, waiting_tokens=0, speed=None)
        assert counts.on_demand == pytest.approx(40 / (8 * 0.7))
        assert counts.bound == "slots, domain lost"
        one = SCALING._replace(prices={"d1": 1.0})
        state, now = make_sizing(reading=0, waiting_tokens=0, speed=None)
        counts = token_sizing.update(state, plain, one, now)
        assert (counts.reclaimable, counts.bound) == (10, "slots")

    def test_a_peak_is_held_and_silent_entries_lower_nothing(self):
        state, now = make_sizing()
        peak = token_sizing.update(state, OBJECTIVES, SCALING, now)
        for tick in range(1, 200):
            at = now + tick * TICK_S
            token_sizing.record(
                state, token_sizing.Sample(0, 0, 0, 10), None, at
            )
            is_complete = at > 30
            counts = token_sizing.update(
                state, OBJECTIVES, SCALING, at, is_complete=is_complete
            )
            if at <= 30:
                assert counts == peak
            if at <= 50:
                assert counts.reclaimable == peak.reclaimable
        assert counts.reclaimable == 0

    def test_bounds_of_the_configuration_hold(self):
        fleet = scaling_policy.FleetState()
        for needed, expected in ((900.0, 60), (0.1, 2)):
            counts = token_sizing.Counts(needed, needed, "")
            fleet.loaded_since = 0.0
            for count in (
                scaling_policy.reclaimable_count,
                scaling_policy.required_count,
            ):
                assert count(fleet, SCALING, 9.0, counts) == expected


class TestSpeeds:
    def test_the_mean_endpoint_counts_and_one_stall_does_not(self):
        samples = [[endpoint_speed.Measures(-900, -400)] * 9 for _ in range(4)]
        samples[1] = [endpoint_speed.Measures(-700, None)] * 9
        found = endpoint_speed.typical_seconds(samples)
        samples[0] = [*samples[0], endpoint_speed.Measures(0, 100)]
        assert endpoint_speed.typical_seconds(samples) == found
        assert found.read_s == pytest.approx(2.718281828**-8.5)
        assert endpoint_speed.typical_seconds([samples[0][:5]]) is None


class TestControl:
    def play(self, method):
        """Returns the orders of 8 s under load, with speeds known."""
        components = test_scaling_rollouts.make_components("none")
        components.member.tables.rollouts.clear()
        upstream = routeconfig.Upstream(
            "ops", 100, routeconfig.Engine(64, 300_000), SCALING
        )
        route = relay_fixtures.make_route(
            kind=routeconfig.STREAM, objective_s=0.5
        )
        config = relay_fixtures.make_config(route)
        components.member.tables.routes = routeconfig.to_json(
            config._replace(upstreams=(upstream,))
        )
        discovery = components.discovery
        fields = [["v1-d1-0", 1, -900, -400]] * 8
        discovery.speeds.record(
            ("e", 1), {"speeds": [0, 8, fields]}, discovery.directory, 100.0
        )
        discovery.loads = lambda: {
            f"v1-d1-{index}": [18, 1000] for index in range(4)
        }
        fleets = scaling.Fleets(heartbeat_s=30.0, method=method)
        for _ in range(32):
            orders = scaling.decide_orders(components, fleets)
            components.member.time += TICK_S
        return components, fleets, orders

    def test_the_default_is_todays_count(self):
        _, fleets, orders = self.play(test_duties.OPTIONS.sizing)
        assert fleets.sizings is None
        assert sum(order.count for _, order in orders) == 18

    def test_by_tokens_the_count_and_its_bound_are_metrics(self):
        components, fleets, orders = self.play(sizing.TOKENS)
        counts = fleets.sizings.by_upstream["ops"].counts
        ordered = sum(order.count for _, order in orders)
        assert ordered == token_sizing.whole(counts.reclaimable) < 18
        name = f'upstream="ops",kind="reclaimable",bound="{counts.bound}"'
        counters = components.discovery.metrics.counters
        assert counters[sizing.METRIC, name] == ordered
        sizing.remove_metrics(components)
        assert not any(key == sizing.METRIC for key, _ in counters)

    def test_an_unknown_method_is_refused(self):
        field = next(
            field for field in settings.CONTROL_FIELDS if field.key == "sizing"
        )
        result = base_settings.check(
            {"sizing": "guess"}, (field,), where="file"
        )
        assert "sizing" in result.problems[0]
        assert "requests or tokens" in result.problems[0]
        assert base_settings.check({}, (field,), where="f") == {
            "sizing": "requests"
        }
