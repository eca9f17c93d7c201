"""Rollouts of versions that answer more slowly, decided without I/O."""

import asyncio

import pytest
import relay_fixtures
import rollout_simulation
import test_crashes
import test_duties

from _arbutuswalk.control import rollouts as control_rollouts
from _arbutuswalk.relay import attempt_timing
from _arbutuswalk.relay import placement
from _arbutuswalk.relay import rollout_outcomes
from _arbutuswalk.state import rollout_evidence
from _arbutuswalk.state import rollout_policy
from _arbutuswalk.state import rollouts
from _arbutuswalk.state import tables as rows

Case = rollout_simulation.Case
Fault = rollout_simulation.Fault


def play(case):
    return rollout_simulation.Simulation(case).play()


def assert_within_bounds(case):
    result = play(case)
    assert result.state == rollouts.REVERTED, result
    assert not rollout_simulation.find_problem(case, result), result


class TestSlowVersions:
    @pytest.mark.parametrize("what", ["first", "pace", "all"])
    @pytest.mark.parametrize("slowdown", [2, 3, 5, 8])
    def test_a_slower_version_is_reverted_within_the_bounds(
        self, slowdown, what
    ):
        fault = Fault(slowdown, what)
        for seed in range(2):
            assert_within_bounds(Case(fault, per_s=28.0, seed=seed))

    @pytest.mark.parametrize("slowdown", [2, 3, 8])
    @pytest.mark.parametrize("when", ["late", "load"])
    def test_one_that_turns_slow_is_reverted(self, slowdown, when):
        case = Case(Fault(slowdown, when=when), per_s=60.0)
        assert play(case).state == rollouts.REVERTED

    @pytest.mark.parametrize("where", ["route", "long"])
    @pytest.mark.parametrize("slowdown", [3, 5, 8])
    def test_one_that_is_slow_for_some_requests_is_reverted(
        self, slowdown, where
    ):
        case = Case(Fault(slowdown, where=where), per_s=60.0)
        assert play(case).state == rollouts.REVERTED

    @pytest.mark.parametrize("portion", [0.5, 0.7])
    def test_one_with_some_slow_answers_is_reverted(self, portion):
        fault = Fault(4, portion=portion)
        assert_within_bounds(Case(fault, per_s=28.0))

    @pytest.mark.parametrize("slowdown", [3, 5, 8])
    def test_a_slow_version_with_few_requests_is_reverted(self, slowdown):
        for seed in range(3):
            case = Case(Fault(slowdown), per_s=5.0, seed=seed)
            assert_within_bounds(case)

    @pytest.mark.parametrize("slowdown", [3, 5])
    def test_a_slow_version_beside_an_overloaded_one_is_reverted(
        self, slowdown
    ):
        case = Case(Fault(slowdown), per_s=60.0, overload=1.0)
        assert_within_bounds(case)

    @pytest.mark.parametrize("mix", list(rollout_simulation.MIXES))
    def test_a_slow_version_is_reverted_whatever_is_requested(self, mix):
        assert_within_bounds(Case(Fault(3), mix=mix, per_s=28.0))

    @pytest.mark.parametrize("restart_at", [0.2, 0.45, 0.8])
    def test_a_leader_without_the_evidence_reverts_a_slow_version(
        self, restart_at
    ):
        case = Case(Fault(3), per_s=28.0, restart_at=restart_at)
        assert play(case).state == rollouts.REVERTED


class TestGoodVersions:
    @pytest.mark.parametrize("mix", list(rollout_simulation.MIXES))
    @pytest.mark.parametrize("per_s", [28.0, 60.0])
    def test_a_good_version_is_completed(self, mix, per_s):
        case = Case(None, mix=mix, per_s=per_s)
        assert play(case).state == rollouts.COMPLETED

    @pytest.mark.parametrize("seed", range(4))
    def test_one_with_full_load_is_completed(self, seed):
        case = Case(None, overload=1.0, per_s=28.0, seed=seed)
        assert play(case).state == rollouts.COMPLETED

    def test_one_is_completed_by_a_new_leader(self):
        case = Case(None, restart_at=0.6, per_s=28.0)
        assert play(case).state == rollouts.COMPLETED


class TestGeneratedRollouts:
    @pytest.mark.parametrize("seed", range(20))
    def test_a_version_several_times_slower_is_never_completed(self, seed):
        case = rollout_simulation.generate_case(seed, is_good=False)
        case = case._replace(
            fault=case.fault._replace(
                slowdown=max(3, case.fault.slowdown), where="all", when="start"
            ),
            per_s=max(5, case.per_s),
            mix="models",
            spread=min(0.4, case.spread),
        )
        assert play(case).state == rollouts.REVERTED


GROUP = rollout_outcomes.Group("u", "r", 5)


def make_outcomes(latency_s, size=1000, count=20):
    outcomes = rollout_outcomes.RolloutOutcomes()
    for _ in range(count):
        outcomes.add_sample(
            GROUP, rollout_outcomes.FIRST_DATA, size=size, took=latency_s
        )
    return outcomes


class TestComparableLatencies:
    def test_a_latency_is_compared_with_prompts_of_its_size(self):
        outcomes = make_outcomes(0.1, size=1000)
        for _ in range(20):
            outcomes.add_sample(
                GROUP, rollout_outcomes.FIRST_DATA, size=9000, took=1.0
            )
        for size in (1000, 9000):
            outcomes.record_latency(
                GROUP, "v2", rollout_outcomes.FIRST_DATA, size=size, took=0.9
            )
        assert outcomes.to_json() == [
            ["u", "v2", "r/5", 0, 0, 2, 1, 1, 0, 0, 0]
        ]

    def test_nothing_is_counted_without_samples(self):
        outcomes = make_outcomes(0.1, count=3)
        outcomes.record_latency(
            GROUP, "v2", rollout_outcomes.FIRST_DATA, size=1000, took=9.0
        )
        assert outcomes.to_json() == []

    def test_samples_of_other_routes_serve_a_new_route(self):
        outcomes = make_outcomes(0.1)
        group = GROUP._replace(route="other")
        outcomes.record_latency(
            group, "v2", rollout_outcomes.FIRST_DATA, size=1000, took=9.0
        )
        assert outcomes.counts[group, "v2"].first_data == [1, 1, 1]


def make_evidence(new, old):
    evidence = rollout_evidence.Evidence(counted=rollout_evidence.Sums({}, {}))
    sums = rollout_evidence.Sums(
        {"r/0": rollout_evidence.Counts(*new)},
        {"r/0": rollout_evidence.Counts(*old)},
    )
    rollout_evidence.update(evidence, sums)
    return evidence


class TestDoubt:
    @pytest.mark.parametrize(
        ("timed", "doubled", "is_doubted"),
        [
            (3, 0, True),
            (4, 0, False),
            (19, 5, False),
            (20, 4, False),
            (20, 5, True),
            (20, 8, True),
            (500, 200, False),
            (500, 240, True),
        ],
    )
    def test_a_median_that_may_have_doubled_prevents_completion(
        self, timed, doubled, is_doubted
    ):
        evidence = make_evidence(
            (timed, 0, timed, 0, doubled), (900, 0, 900, 0, 90)
        )
        assert bool(rollout_evidence.find_doubt(evidence)) == is_doubted

    def test_latencies_that_could_not_be_compared_prevent_completion(self):
        evidence = make_evidence((9, 0), (9, 0))
        assert rollout_evidence.find_doubt(evidence)

    def test_an_old_version_that_only_fails_does_not(self):
        evidence = make_evidence((9, 0), (9, 9))
        assert not rollout_evidence.find_doubt(evidence)

    def test_evidence_short_of_a_reversal_prevents_completion(self):
        evidence = make_evidence(
            (60, 0, 60, 0, 5, 60, 6, 6), (300, 0, 300, 0, 20, 300, 4, 4)
        )
        assert not rollout_evidence.find_regression(evidence)
        assert "slow pace" in rollout_evidence.find_doubt(evidence)

    def test_streams_at_half_the_pace_prevent_completion(self):
        evidence = make_evidence((9, 0, 9, 0, 0, 4, 0, 2), (9, 0, 9, 0, 0))
        assert "pace" in rollout_evidence.find_doubt(evidence)


class Clock:
    def __init__(self):
        self.now = 100.0


def make_timing(clock, version="v2", state=rollouts.GROWING):
    relay = relay_fixtures.make_relay()
    relay.now = lambda: clock.now
    relay.rollouts["ops"] = ["v2", state, 60, 1, 0]
    request = relay_fixtures.make_request(relay)
    timing = attempt_timing.AttemptTiming(
        relay=relay,
        request=request,
        chosen=placement.Placement(
            test_crashes.make_endpoint("e", version=version), 0
        ),
    )
    for _ in range(20):
        for measure, took in (
            (rollout_outcomes.FIRST_DATA, 0.01),
            (rollout_outcomes.PACE, 0.001),
        ):
            relay.rollout_outcomes.add_sample(
                timing.group, measure, size=0, took=took
            )
    return timing


def counts_of(timing):
    return timing.relay.rollout_outcomes.counts[timing.group, timing.version]


class TestAttemptTiming:
    async def test_data_that_is_overdue_counts_before_it_arrives(self):
        clock = Clock()
        timing = make_timing(clock)
        timing.start()
        await asyncio.sleep(0.05)
        assert counts_of(timing).first_data == [1, 1, 1]
        clock.now += 0.05
        timing.record_first_data()
        assert counts_of(timing).first_data == [1, 1, 1]

    async def test_data_in_time_counts_as_not_slow(self):
        clock = Clock()
        timing = make_timing(clock)
        timing.start()
        clock.now += 0.01
        timing.record_first_data()
        await asyncio.sleep(0.05)
        assert counts_of(timing).first_data == [1, 0, 0]

    def test_the_pace_of_a_long_stream_counts_before_its_end(self):
        clock = Clock()
        timing = make_timing(clock)
        timing.record_first_data()
        clock.now += attempt_timing.PACE_AFTER_S
        timing.record_further_data(bytes(50))
        assert counts_of(timing).pace == [1, 1, 1]
        timing.record_end(ran=True, failed=False)
        assert counts_of(timing).pace == [1, 1, 1]
        assert counts_of(timing).ran == 1

    def test_the_pace_of_a_short_stream_counts_at_its_end(self):
        clock = Clock()
        timing = make_timing(clock)
        timing.record_first_data()
        clock.now += 0.05
        timing.record_further_data(bytes(50))
        timing.record_end(ran=True, failed=False)
        assert counts_of(timing).pace == [1, 0, 0]

    @pytest.mark.parametrize(
        ("version", "state", "samples"),
        [
            ("v2", rollouts.GROWING, 20),
            ("v1", rollouts.GROWING, 21),
            ("v2", rollouts.COMPLETED, 21),
        ],
    )
    def test_only_a_new_version_gives_no_samples(self, version, state, samples):
        timing = make_timing(Clock(), version, state)
        timing.record_first_data()
        kept = timing.relay.rollout_outcomes.samples
        key = "ops", timing.group.route, rollout_outcomes.FIRST_DATA
        assert len(kept[key]) == samples

    def test_nothing_is_counted_without_a_rollout(self):
        timing = make_timing(Clock(), "v2", rollouts.COMPLETED)
        timing.record_first_data()
        timing.record_end(ran=True, failed=False)
        assert timing.relay.rollout_outcomes.to_json() == []


class TestLeaderChange:
    async def test_a_new_leader_has_the_evidence_from_before(self, monkeypatch):
        components = test_duties.make_components()
        member = components.member
        member.is_current = False
        member.tables.rollouts["u"] = rows.RolloutRow(
            "v2", rollouts.GROWING, 60, 1, 1_000_000_000, 15_000, 0, ""
        )
        submitted = []

        async def submit(_, step, __):
            submitted.append(step)

        monkeypatch.setattr(control_rollouts, "_submit", submit)
        trials = {}
        exposure = rollout_policy.Exposure(share=0.1, extra=50)
        for ran, slow in ((0, 0), (40, 2), (80, 4)):
            member.time += 1.0
            totals = components.discovery.outcomes.totals
            for version, slow_count in (("v1", slow), ("v2", ran // 2)):
                for position, count in enumerate((ran, 0, ran, slow_count)):
                    totals["u", version, "r/0", position] = count
            await control_rollouts.tick(components, exposure, trials)
        assert not submitted
        member.is_current = True
        await control_rollouts.tick(components, exposure, trials)
        assert [step.state for step in submitted] == [rollouts.REVERTED]
