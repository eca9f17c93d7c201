"""Endpoint choice, outliers, scaling, rollouts and retries, without I/O."""

import random

import pytest
import relay_fixtures

from _arbutuswalk.relay import results
from _arbutuswalk.routing import outliers
from _arbutuswalk.routing import recent_parts
from _arbutuswalk.routing import selection
from _arbutuswalk.state import rollout_evidence
from _arbutuswalk.state import rollout_policy
from _arbutuswalk.state import rollouts
from _arbutuswalk.state import routeconfig
from _arbutuswalk.state import scaling_policy
from _arbutuswalk.state import tables as rows

SCALING = routeconfig.Scaling(
    1, 6, 4.0, 0.18, {"d1": 0.85, "d2": 1.2, "d3": 1.0}
)


def make_candidates(count, **changes):
    values = {
        "running": 0,
        "waiting_tokens": 0,
        "slots": 64,
        "near": True,
        "doubtful": False,
    }
    return [
        selection.Candidate(id=f"e{i}", **{**values, **changes})
        for i in range(count)
    ]


class TestEndpointChoice:
    def test_requests_that_share_prompt_parts_go_to_one_endpoint(self):
        profile = selection.PromptProfile(
            5000, (("wide", 2000), ("narrow", 2500))
        )
        chosen = {
            selection.choose(
                make_candidates(9), profile, (), (draw, 1 - draw - 0.01)
            ).id
            for draw in (0.0, 0.3, 0.6, 0.9)
        }
        assert len(chosen) == 1

    def test_an_overloaded_endpoint_is_avoided(self):
        profile = selection.PromptProfile(
            5000, (("wide", 2000), ("narrow", 2500))
        )
        candidates = make_candidates(9)
        first = selection.choose(candidates, profile, (), (0.1, 0.9))
        assert first.tokens == 500
        overloaded = [
            each._replace(waiting_tokens=20_000 * (each.id == first.id))
            for each in candidates
        ]
        second = selection.choose(overloaded, profile, (), (0.1, 0.9))
        assert second.id != first.id
        assert second.tokens == 3000

    def test_an_endpoint_that_recently_got_a_prompt_part_computes_only_the_rest(
        self,
    ):
        profile = selection.PromptProfile(5000, (("narrow", 4500),))
        candidates = make_candidates(3)
        first = selection.choose(candidates, profile, (), (0.1, 0.9))
        others = [each for each in candidates if each.id != first.id]
        held = selection.choose(others, profile, {others[1].id}, (0.1, 0.9))
        assert held.tokens == 500

    def test_doubtful_endpoints_come_last(self):
        doubtful, good = make_candidates(2)
        doubtful = doubtful._replace(doubtful=True)
        good = good._replace(running=50)
        for draw in (0.0, 0.5, 0.99):
            found = selection.choose([doubtful, good], None, (), (draw, draw))
            assert found.id == good.id
        assert selection.choose([doubtful], None, (), (0.1, 0.1))
        assert selection.choose([], None, (), (0.1, 0.1)) is None

    def test_plain_requests_go_to_the_least_loaded_endpoint(self):
        candidates = [
            each._replace(running=running, slots=6)
            for each, running in zip(make_candidates(3), (4, 1, 3), strict=True)
        ]
        assert selection.choose(candidates, None, (), (0.5, 0.5)).id == "e1"

    def test_a_popular_prompt_part_is_spread_over_more_endpoints(self):
        """A prompt part of all requests must not overload one endpoint."""
        rng = random.Random(7)
        profile = selection.PromptProfile(4000, (("hot", 3000),))
        loads = {f"e{i}": 0 for i in range(9)}
        for _ in range(200):
            candidates = [
                each._replace(waiting_tokens=loads[each.id])
                for each in make_candidates(9)
            ]
            draws = (rng.random(), rng.random())
            chosen = selection.choose(candidates, profile, (), draws)
            loads[chosen.id] += chosen.tokens
        mean = sum(loads.values()) / len(loads)
        assert max(loads.values()) < 2.5 * mean

    def test_old_prompt_parts_expire(self):
        sent_parts = recent_parts.RecentParts()
        sent_parts.record("p", "e1", 0.0)
        assert sent_parts.endpoints_holding(
            "p", recent_parts.PART_RETENTION_S
        ) == {"e1"}
        assert (
            sent_parts.endpoints_holding(
                "p", recent_parts.PART_RETENTION_S + 0.1
            )
            == set()
        )


class TestOutlierDetector:
    def simulate(self, rates, seed, requests=400):
        """Avoids outliers; returns the failure rate."""
        rng = random.Random(seed)
        detector = outliers.OutlierDetector()
        endpoint_names = sorted(rates)
        failed = 0
        for request_number in range(requests):
            now = request_number * 0.05
            outlier_names = detector.outliers(endpoint_names, now)
            candidates = [
                other for other in endpoint_names if other not in outlier_names
            ] or endpoint_names
            name = rng.choice(candidates)
            fails = rng.random() < rates[name]
            failed += fails
            detector.record(name, failed=fails, now=now)
        return failed / requests

    @pytest.mark.parametrize("seed", range(5))
    def test_a_partly_failing_endpoint_gets_fewer_requests(self, seed):
        rates = {"a": 0.0, "b": 0.0, "c": 0.6}
        assert self.simulate(rates, seed) < 0.6 / 3 * 0.75

    @pytest.mark.parametrize("seed", range(5))
    def test_failures_of_all_endpoints_make_none_an_outlier_for_long(
        self, seed
    ):
        rng = random.Random(seed)
        detector = outliers.OutlierDetector()
        outlier_count = 0
        for number in range(600):
            now = number * 0.05
            name = rng.choice("abc")
            detector.record(name, failed=rng.random() < 0.14, now=now)
            outlier_count += len(detector.outliers(["a", "b", "c"], now))
        assert outlier_count / 600 < 0.5

    def test_old_failures_expire(self):
        detector = outliers.OutlierDetector()
        for _ in range(20):
            detector.record("a", failed=True, now=0.0)
        assert detector.outliers(["a", "b"], 1.0) == {"a"}
        assert detector.outliers(["a", "b"], 10.0) == set()


class FleetSimulation:
    """Simulates a platform with start-up delays, reclaims and shortages."""

    def __init__(self, ready):
        self.fleet = scaling_policy.FleetState()
        self.ready = dict(ready)
        self.starting = []
        self.unavailable_until = {}
        self.now = 0.0
        self.cost = 0.0

    def step(self, running, elapsed_s=0.25):
        self.now += elapsed_s
        for ready_at, pool_key, count in list(self.starting):
            if ready_at <= self.now:
                self.starting.remove((ready_at, pool_key, count))
                self.ready[pool_key] = self.ready.get(pool_key, 0) + count
        scaling_policy.record_load(self.fleet, running, self.now)
        for order in scaling_policy.decide(
            self.fleet, SCALING, self.ready, self.now
        ):
            self.place_order(order)
        for (domain, reclaimable), count in self.ready.items():
            price = SCALING.prices[domain]
            price_factor = SCALING.reclaimable_price if reclaimable else 1.0
            self.cost += count * price * price_factor * elapsed_s

    def place_order(self, order):
        pool_key = (order.domain, order.reclaimable)
        existing = self.ready.get(pool_key, 0) + sum(
            count
            for _, starting_key, count in self.starting
            if starting_key == pool_key
        )
        unavailable = (
            order.reclaimable
            and self.now < self.unavailable_until.get(order.domain, 0)
        )
        accepted = not (unavailable and order.count > existing)
        scaling_policy.record_order_outcome(
            self.fleet, order, accepted=accepted, now=self.now
        )
        if not accepted:
            return
        if order.count > existing:
            ready_at = self.now + SCALING.boot_s
            self.starting.append((ready_at, pool_key, order.count - existing))
        else:
            self.starting = [
                item for item in self.starting if item[1] != pool_key
            ]
            self.ready[pool_key] = min(self.ready.get(pool_key, 0), order.count)

    def reclaim(self, domain, unavailable_s):
        self.ready[domain, True] = 0
        scaling_policy.record_reclaim(self.fleet, domain, self.now)
        for name in SCALING.prices:
            self.unavailable_until[name] = self.now + unavailable_s

    @property
    def total(self):
        return sum(self.ready.values())


def make_fleet_simulation():
    return FleetSimulation({(domain, False): 3 for domain in SCALING.prices})


class TestFleet:
    def test_reclaimable_endpoints_replace_on_demand_ones(self):
        simulation = make_fleet_simulation()
        for _ in range(80):
            simulation.step(running=20)
            assert simulation.total >= 5
        on_demand = sum(
            count
            for (_, reclaimable), count in simulation.ready.items()
            if not reclaimable
        )
        assert on_demand == 0
        assert simulation.total >= 20 / scaling_policy.REQUESTS_PER_ENDPOINT

    def test_cost_falls_below_that_of_the_initial_fleet(self):
        simulation = make_fleet_simulation()
        for _ in range(240):
            simulation.step(running=30)
        initial_fleet_cost = 3 * sum(SCALING.prices.values()) * 60
        assert simulation.cost < 0.5 * initial_fleet_cost

    def test_on_demand_endpoints_replace_reclaimed_domains_during_a_shortage(
        self,
    ):
        simulation = make_fleet_simulation()
        for _ in range(80):
            simulation.step(running=60)
        simulation.reclaim("d1", unavailable_s=13.0)
        simulation.reclaim("d3", unavailable_s=13.0)
        for _ in range(24):
            simulation.step(running=60)
        assert (
            simulation.total
            >= 60 / scaling_policy.REQUESTS_PER_ON_DEMAND_ENDPOINT
        )
        assert (
            sum(
                endpoint_count
                for (_, reclaimable), endpoint_count in simulation.ready.items()
                if not reclaimable
            )
            > 0
        )
        for _ in range(120):
            simulation.step(running=60)
        on_demand = sum(
            count
            for (_, reclaimable), count in simulation.ready.items()
            if not reclaimable
        )
        assert on_demand == 0

    def test_capacity_survives_the_next_reclaim_during_a_shortage(self):
        simulation = make_fleet_simulation()
        for _ in range(80):
            simulation.step(running=60)
        simulation.reclaim("d1", unavailable_s=13.0)
        minimum = 60 / scaling_policy.REQUESTS_PER_ON_DEMAND_ENDPOINT
        for _ in range(24):
            simulation.step(running=60)
            assert simulation.total >= minimum
        for domain in ("d2", "d3"):
            assert simulation.total - simulation.ready[domain, True] >= minimum

    def test_a_short_peak_orders_no_on_demand_endpoints(self):
        simulation = make_fleet_simulation()
        for _ in range(80):
            simulation.step(running=30)
        before = scaling_policy.required_count(
            simulation.fleet, SCALING, simulation.now
        )
        for _ in range(16):
            simulation.step(running=200)
        assert (
            scaling_policy.required_count(
                simulation.fleet, SCALING, simulation.now
            )
            == before
        )

    def test_a_reclaim_notice_takes_effect_immediately(self):
        simulation = make_fleet_simulation()
        for _ in range(80):
            simulation.step(running=60)
        simulation.reclaim("d1", unavailable_s=13.0)
        orders = scaling_policy.decide(
            simulation.fleet, SCALING, simulation.ready, simulation.now + 0.1
        )
        assert sum(order.count for order in orders if not order.reclaimable) > 1
        assert not any(
            order.domain == "d1" and order.reclaimable for order in orders
        )

    def test_bounds_of_a_domain_hold_for_both_kinds_together(self):
        simulation = make_fleet_simulation()
        rng = random.Random(3)
        for tick in range(400):
            if tick % 60 == 50:
                simulation.reclaim(rng.choice(sorted(SCALING.prices)), 6.0)
            simulation.step(running=rng.choice([5, 40, 90]))
            for domain in SCALING.prices:
                placed = sum(
                    simulation.fleet.accepted_orders[domain, reclaimable].count
                    for reclaimable in (False, True)
                )
                assert placed <= SCALING.maximum
        assert simulation.total >= scaling_policy.MIN_ENDPOINTS

    def test_a_lost_endpoint_is_ordered_again(self):
        simulation = make_fleet_simulation()
        for _ in range(80):
            simulation.step(running=30)
        key = next(key for key, count in simulation.ready.items() if count > 1)
        before = simulation.ready[key]
        simulation.ready[key] -= 1
        for _ in range(80):
            simulation.step(running=30)
        assert simulation.ready[key] >= before


class RolloutSimulation:
    """Simulates traffic over two versions with delayed reports."""

    def __init__(self, seed, failure_rate=0.0, fails_from_s=0.0, old_rate=0.02):
        self.rng = random.Random(seed)
        self.failure_rate = failure_rate
        self.fails_from_s = fails_from_s
        self.old_rate = old_rate
        self.row = rows.RolloutRow("v2", "growing", 0, 0, 0, 12000, 0, "")
        self.trial = rollout_policy.RolloutTrial(
            counted=rollout_evidence.Sums({}, {}),
            began_at=0.0,
            first_seen_at=0.0,
        )
        self.counts = {"v1": [0] * 3, "v2": [0] * 3}
        self.history = []
        self.new_requests = 0
        self.requests = 0

    def run(self, per_s=100):
        now = 0.0
        while now < 12.4 and self.row.state == "growing":
            now += 0.2
            shares = [
                past_share
                for decided_at, past_share in self.history
                if decided_at <= now - 0.2
            ]
            share = shares[-1] if shares else 0
            for _ in range(int(per_s * 0.2)):
                self.request(share, now)
            new_version_serving = now > 4.0
            counts_by_version = {
                version: {"r/0": rollout_evidence.Counts(*counts)}
                for version, counts in self.counts.items()
            }
            step = rollout_policy.decide(
                "u",
                self.row,
                self.trial,
                sums=rollout_evidence.Sums(
                    counts_by_version["v2"], counts_by_version["v1"]
                ),
                new_version_serving=new_version_serving,
                exposure=rollout_policy.Exposure(share=0.1, extra=50),
                now=now,
            )
            if step is not None:
                self.row = self.row._replace(
                    state=step.state,
                    share=step.share,
                    step=self.row.step + 1,
                    reason=step.reason,
                )
                self.history.append((now, step.share))
        return self.row

    def request(self, share, now):
        self.requests += 1
        is_new = self.rng.random() * 1000 < share
        version = "v2" if is_new else "v1"
        self.new_requests += is_new
        is_failing = is_new and now >= self.fails_from_s
        failure_probability = (
            self.failure_rate
            if is_failing and self.failure_rate
            else self.old_rate
        )
        counts = self.counts[version]
        counts[0] += 1
        counts[1] += self.rng.random() < failure_probability
        counts[2] += 1


class TestRollout:
    @pytest.mark.parametrize("seed", range(20))
    @pytest.mark.parametrize("old_rate", [0.0, 0.02, 0.14])
    def test_a_good_version_is_completed_in_time(self, seed, old_rate):
        row = RolloutSimulation(seed, old_rate=old_rate).run()
        assert row.state == rollouts.COMPLETED, row.reason

    @pytest.mark.parametrize("seed", range(20))
    @pytest.mark.parametrize(
        ("rate", "from_s"), [(0.3, 0.0), (0.5, 0.0), (0.4, 7.5), (0.4, 9.0)]
    )
    def test_a_bad_version_is_reverted_within_the_canary_share(
        self, seed, rate, from_s
    ):
        simulation = RolloutSimulation(
            seed, failure_rate=rate, fails_from_s=from_s
        )
        row = simulation.run()
        assert row.state == rollouts.REVERTED, row.reason
        if from_s == 0.0:
            assert simulation.new_requests <= 0.1 * 100 * 12 + 50

    def test_a_rollout_without_evidence_is_reverted_at_the_end(self):
        assert RolloutSimulation(1).run(per_s=0).state == rollouts.REVERTED


class TestRetryDecisions:
    @pytest.mark.parametrize(
        ("kind", "resumable", "result", "again"),
        [
            (routeconfig.IDEMPOTENT, False, results.Lost(reason=""), True),
            (routeconfig.ONCE, False, results.Lost(reason=""), False),
            (routeconfig.STREAM, False, results.Lost(reason=""), False),
            (routeconfig.STREAM, True, results.Lost(reason=""), True),
            (routeconfig.ONCE, False, results.NotRun(reason=""), True),
            (routeconfig.ONCE, False, results.NotSent(reason=""), True),
            (routeconfig.IDEMPOTENT, False, results.TimedOut(reason=""), False),
        ],
    )
    def test_only_repeatable_requests_are_retried(
        self, kind, resumable, result, again
    ):
        route = relay_fixtures.make_route(kind=kind, resumable=resumable)
        tally = results.tally_result(results.Tally(), result)
        no_retry = results.why_no_retry(result, route, tally, 1.0)
        assert (no_retry is None) == again

    def test_a_request_that_may_have_run_is_not_refused(self):
        tally = results.tally_result(results.Tally(), results.Lost(reason=""))
        tally = results.tally_result(tally, results.NotSent(reason=""))
        final = results.NotSent(reason="")
        assert results.final_status(final, tally) == 502
        assert results.final_status(final, results.Tally()) == 503

    def test_no_retry_without_time_left(self):
        route = relay_fixtures.make_route()
        lost = results.Lost(reason="")
        tally = results.tally_result(results.Tally(), lost)
        no_retry = results.why_no_retry(lost, route, tally, 0.01)
        assert no_retry.decision == "time left"
