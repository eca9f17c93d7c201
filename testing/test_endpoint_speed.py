"""Speeds of endpoints: measured, compared, exchanged and used, without I/O."""

import asyncio
import math
import random

import pytest
import relay_fixtures
import test_crashes
import test_relay
import test_status_feeds

from _arbutuswalk.base import metrics
from _arbutuswalk.control import speed_reports
from _arbutuswalk.relay import attempt_timing
from _arbutuswalk.relay import endpoint_speeds
from _arbutuswalk.relay import placement
from _arbutuswalk.relay import report_feed
from _arbutuswalk.relay import request as requests
from _arbutuswalk.routing import directory
from _arbutuswalk.routing import endpoint_speed
from _arbutuswalk.routing import selection
from _arbutuswalk.state import routeconfig
from _arbutuswalk.wire import speed_fields
from bench import endpoint_speed as simulations

SLOWNESS = {"slow": 1 / 0.6, "typical": 1.0, "fast": 1 / 1.6}
GAP_S = 0.02


def make_samples(slowness, count, seed=1, stall_share=0.15):
    """Samples of an endpoint that is 2.5 times slower for a share of them."""
    rng = random.Random(seed)
    return [
        endpoint_speed.Measures(None, round(100 * math.log(GAP_S * factor)))
        for _ in range(count)
        for stall in [2.5 if rng.random() < stall_share else 1.0]
        for factor in [slowness * stall * rng.lognormvariate(0, 0.1)]
    ]


def make_upstream(count, **changes):
    factors = list(SLOWNESS.values()) * 4
    return {
        f"e{i}": make_samples(factor, count, seed=i, **changes)
        for i, factor in enumerate(factors)
    }


class TestFindSlowness:
    def test_few_samples_with_stalls_are_enough(self):
        found = endpoint_speed.find_slowness(make_upstream(20))
        for i, true_factor in enumerate(list(SLOWNESS.values()) * 4):
            assert found.get(f"e{i}", 1.0) == pytest.approx(
                true_factor, rel=0.25
            )

    @pytest.mark.parametrize("seed", range(20))
    def test_equal_endpoints_stay_equal(self, seed):
        samples = {
            f"e{i}": make_samples(1.0, 8, seed=100 * seed + i)
            for i in range(12)
        }
        assert endpoint_speed.find_slowness(samples) == {}

    def test_too_few_samples_or_endpoints_tell_nothing(self):
        assert endpoint_speed.find_slowness({}) == {}
        few_samples = make_upstream(endpoint_speed.MIN_SAMPLES - 1)
        assert endpoint_speed.find_slowness(few_samples) == {}
        few_endpoints = dict(list(make_upstream(30).items())[:3])
        assert endpoint_speed.find_slowness(few_endpoints) == {}

    def test_endpoints_that_read_prompts_all_the_time_are_not_slow(self):
        samples = {
            f"e{i}": make_samples(6.0 if i % 2 else 1.0, 20, seed=i)
            for i in range(12)
        }
        assert endpoint_speed.find_slowness(samples) is None

    def test_endpoints_that_do_so_at_times_are_not_slow(self):
        samples = {
            f"e{i}": make_samples(6.0, 5 + i, seed=i)
            + make_samples(1.0, 15 - i, seed=i)
            for i in range(12)
        }
        assert endpoint_speed.find_slowness(samples) is None

    def test_one_that_seems_faster_than_possible_is_typical(self):
        samples = make_upstream(20)
        samples["e1"] = make_samples(0.1, 20)
        assert endpoint_speed.find_slowness(samples)["e1"] == 1.0


class TestMeasures:
    def test_the_time_in_a_queue_is_not_measured(self):
        idle = endpoint_speed.ReadLoad(1000, 0, 1, 64)
        assert endpoint_speed.measure_read(idle, 0.1) is not None
        for queued in (
            idle._replace(waiting_tokens=1001),
            idle._replace(running=33),
        ):
            assert endpoint_speed.measure_read(queued, 0.1) is None

    def test_tiny_and_cached_prompts_are_not_measured(self):
        load = endpoint_speed.ReadLoad(100, 0, 0, 64)
        assert endpoint_speed.measure_read(load, 0.1) is None

    def test_the_pace_leaves_out_gaps_of_others_prompts(self):
        undisturbed = endpoint_speed.measure_pace([0.02] * 8)
        disturbed = endpoint_speed.measure_pace([0.02] * 3 + [0.2] * 5)
        assert disturbed == undisturbed
        assert endpoint_speed.measure_pace([0.02, 0.02]) is None


class Clock:
    def __init__(self):
        self.time = 100.0

    def __call__(self):
        return self.time


@pytest.fixture
def clock():
    return Clock()


@pytest.fixture
def timing(clock):
    relay = relay_fixtures.make_relay()
    relay.now = clock
    prompt = requests.Prompt("m", 1000, 30, ())
    return attempt_timing.AttemptTiming(
        relay=relay,
        request=relay_fixtures.make_request(relay, prompt=prompt),
        chosen=placement.Placement(test_crashes.make_endpoint("e"), 1000),
    )


def receive(timing, clock, event_count):
    timing.start()
    clock.time += 0.1
    timing.record_first_data()
    for _ in range(event_count):
        clock.time += GAP_S
        timing.record_further_data(b"data: x\n\n")


class TestAttempts:
    def test_a_complete_stream_is_measured(self, timing, clock):
        receive(timing, clock, 5)
        timing.record_end(ran=True, failed=False)
        (sample,) = timing.relay.endpoint_speeds.samples
        assert sample.measures.pace == round(100 * math.log(GAP_S))
        assert sample.measures.read == round(100 * math.log(0.1 / 1000))

    @pytest.mark.parametrize("ran", [True, False])
    def test_a_failed_one_is_not(self, timing, clock, ran):
        receive(timing, clock, 5)
        timing.record_end(ran=ran, failed=True)
        assert not timing.relay.endpoint_speeds.samples

    def test_an_answer_in_one_piece_is_not(self, timing, clock):
        receive(timing, clock, 0)
        timing.record_end(ran=True, failed=False)
        assert not timing.relay.endpoint_speeds.samples

    def test_an_error_without_events_is_not(self, timing, clock):
        timing.start()
        clock.time += 0.001
        timing.record_end(ran=True, failed=True)
        assert not timing.relay.endpoint_speeds.samples


class TestRelayedStreams:
    async def test_the_gaps_of_a_relayed_stream_are_measured(self):
        relay = relay_fixtures.make_relay(
            relay_fixtures.make_config(
                relay_fixtures.make_route(kind=routeconfig.STREAM)
            )
        )

        async def stream(head, writer):
            await relay_fixtures.send_stream((1, "a"), end=False)(head, writer)
            for _ in range(5):
                await asyncio.sleep(GAP_S)
                writer.write(b"9\r\ndata: x\n\n\r\n")
            writer.write(b"0\r\n\r\n")

        await test_relay.relay_to(
            relay,
            relay_fixtures.ScriptedEndpoint(stream),
            prompt=requests.Prompt("m", 1000, 30, ()),
        )
        (sample,) = relay.endpoint_speeds.samples
        assert sample.endpoint_id == "e1"
        assert sample.measures.pace >= 100 * math.log(GAP_S / 2)
        assert sample.measures.read is not None


class TestReports:
    """One entry that reports to a control process."""

    @pytest.fixture(autouse=True)
    def known(self):
        self.directory = directory.Directory()
        self.reports = speed_reports.SpeedReports()
        self.speeds = endpoint_speeds.EndpointSpeeds()
        self.feed = report_feed.ReportFeed()
        self.metrics = metrics.Metrics()
        self.now = 100.0
        for i in range(12):
            self.announce(f"e{i}")

    def announce(self, name, born_ms=1):
        endpoint = test_crashes.make_endpoint("e", id=name, born_ms=born_ms)
        endpoint = endpoint._replace(address=f"{name}:{born_ms}")
        directory.announce(self.directory, endpoint, self.now)
        return endpoint

    def add(self, name, measures, born_ms=1):
        self.speeds.add(endpoint_speeds.Sample(name, born_ms, measures))

    def report(self):
        return endpoint_speeds.to_json(self.speeds, self.feed)

    def watch(self):
        report = self.report()
        self.reports.record(("n", 1), report, self.directory, self.now)
        since = report.get("speeds", [0])[0]
        news = self.reports.parts(self.directory, since, self.now)
        self.receive(news)
        return news

    def receive(self, news):
        endpoint_speeds.record_reply(
            self.speeds, self.feed, news, self.now, self.metrics
        )

    def learn(self, seed):
        for i, factor in enumerate(list(SLOWNESS.values()) * 4):
            for measures in make_samples(factor, 5, seed=12 * seed + i):
                self.add(f"e{i}", measures)
            self.watch()

    def learn_twice(self):
        for seed in range(4):
            self.learn(seed)
            self.now += speed_reports.UPDATE_INTERVAL_S
        self.watch()

    def factor(self, name):
        endpoint = self.directory.rows[name].endpoint
        return self.speeds.factor(endpoint, self.now)

    def test_speeds_come_back(self):
        self.learn_twice()
        assert self.factor("e0") > 1.3
        assert self.factor("e1") == pytest.approx(1.0, rel=0.2)
        assert self.factor("e2") < 0.75
        assert 'slowness_percent{endpoint="e0"}' in self.metrics.render()

    def test_nothing_is_sent_without_samples(self):
        assert self.report() == {}
        assert self.watch() == {}

    def test_nothing_is_sent_while_endpoints_are_equal(self):
        for i in range(12):
            for measures in make_samples(1.0, 10, seed=i):
                self.add(f"e{i}", measures)
            self.watch()
        for _ in range(4):
            self.now += speed_reports.UPDATE_INTERVAL_S
            assert self.watch() == {}

    def test_a_lost_reply_counts_no_sample_twice_and_loses_none(self):
        first, second = make_samples(1.0, 2)
        self.add("e0", first)
        self.reports.record(("n", 1), self.report(), self.directory, self.now)
        self.add("e0", second)
        self.watch()
        assert [m for _, m in self.reports.starts["e0"].samples] == [
            first,
            second,
        ]
        assert self.report() == {}

    def test_a_new_start_of_an_endpoint_is_typical(self):
        self.learn_twice()
        self.announce("e0", born_ms=2)
        assert self.factor("e0") == 1.0
        self.now += speed_reports.UPDATE_INTERVAL_S
        assert "e0" not in self.watch()["speeds"][1]

    def test_samples_of_a_former_start_are_ignored(self):
        self.announce("e0", born_ms=2)
        self.add("e0", make_samples(3.0, 1)[0], born_ms=1)
        self.watch()
        assert "e0" not in self.reports.starts

    def test_speeds_that_control_no_longer_confirms_are_forgotten(self):
        self.learn_twice()
        self.now += endpoint_speeds.MAX_AGE_S + 1
        assert self.factor("e0") == 1.0

    def test_unchanged_speeds_are_sent_again_before_that(self):
        self.learn_twice()
        self.now += speed_reports.REFRESH_INTERVAL_S
        assert "speeds" in self.watch()

    @pytest.mark.parametrize(
        "value",
        [None, 1, [], [1], ["x", {}], [1, []], [1, {"e0": 1}]]
        + [
            [1, {"e0": fields}]
            for fields in ([], [1], [1, 99], [1, "x"], [-1, 3], [1, 1.5])
        ],
    )
    def test_odd_speeds_are_ignored(self, value):
        self.receive({"speeds": value})
        assert self.factor("e0") == 1.0

    def test_a_row_of_a_later_build_is_read(self):
        self.receive({"speeds": [1, {"e0": [1, 5, "later"]}, "later"]})
        assert self.factor("e0") == speed_fields.factor(5)


class TestWatches:
    def test_samples_and_speeds_are_part_of_watches(self):
        group = test_status_feeds.Group()
        endpoints = test_status_feeds.make_endpoints(12)
        for endpoint in endpoints:
            group.announce(endpoint)
        group.settle()
        for seed in range(4):
            for i, endpoint in enumerate(endpoints):
                factor = list(SLOWNESS.values())[i % 3]
                for measures in make_samples(factor, 5, seed=12 * seed + i):
                    group.relay.endpoint_speeds.add(
                        endpoint_speeds.Sample(
                            endpoint.id, endpoint.born_ms, measures
                        )
                    )
                group.exchange_all()
            group.clock.time += speed_reports.UPDATE_INTERVAL_S
        group.exchange_all()
        factor = group.relay.endpoint_speeds.factor
        assert factor(endpoints[0], group.clock()) > 1.3
        assert factor(endpoints[2], group.clock()) < 0.75


def make_candidate(name, **changes):
    values = selection.Candidate(name, 2, 1000, 64, True, False)
    return values._replace(**changes)


class TestChoice:
    profile = selection.PromptProfile(2000, ())

    def choose(self, candidates, profile):
        return selection.choose(candidates, profile, (), (0.1, 0.9)).id

    def test_the_faster_one_of_equal_load_is_chosen(self):
        for names in (("a", "b"), ("b", "a")):
            candidates = [
                make_candidate(name, slowness=SLOWNESS[kind])
                for name, kind in zip(names, ("slow", "fast"), strict=True)
            ]
            for profile in (self.profile, None):
                assert self.choose(candidates, profile) == names[1]

    def test_a_fast_one_is_left_when_its_queue_takes_longer(self):
        fast = make_candidate("a", slowness=0.625, waiting_tokens=9000)
        slow = make_candidate("b", slowness=1.66)
        assert self.choose([fast, slow], self.profile) == "b"


def first_times(slowness, *, learns, until):
    simulation = simulations.Simulation(
        slowness=slowness, entry_count=60, learns=learns
    )
    simulation.run(until)
    return simulation, [
        took_s
        for times in simulation.first_s.values()
        for sent_at, took_s in times
        if sent_at > 10.0
    ]


class TestPlacement:
    def test_first_events_come_sooner_from_unequal_endpoints(self):
        """60 entries place requests side by side on 30 endpoints."""
        slowness = list(SLOWNESS.values()) * 10
        _, before = first_times(slowness, learns=False, until=26.0)
        simulation, after = first_times(slowness, learns=True, until=26.0)
        assert sum(after) / len(after) < 0.95 * sum(before) / len(before)
        for share in (0.9, 0.99):
            later, earlier = (
                simulations.quantile(times, share) for times in (before, after)
            )
            assert earlier < 0.95 * later
        for name, (_, steps) in simulation.control.table.items():
            true_factor = simulation.engines[name].slowness
            assert speed_fields.factor(steps) == pytest.approx(
                true_factor, rel=0.35
            )

    def test_equal_endpoints_are_chosen_as_without_speeds(self):
        _, before = first_times([1.0] * 30, learns=False, until=20.0)
        simulation, after = first_times([1.0] * 30, learns=True, until=20.0)
        assert after == before
        assert simulation.control.revision == 0
