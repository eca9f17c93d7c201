"""Placing, numbers of endpoints, rollouts and final answers, without I/O."""

import random

import pytest
import relay_fixtures

from _arbutuswalk.relay import results
from _arbutuswalk.routing import outliers
from _arbutuswalk.routing import recent_parts
from _arbutuswalk.routing import selection
from _arbutuswalk.state import evidence
from _arbutuswalk.state import fleetplan
from _arbutuswalk.state import rolloutplan
from _arbutuswalk.state import rollouts
from _arbutuswalk.state import routeconfig
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


class TestPlacing:
    def test_requests_that_share_parts_meet(self):
        work = selection.PromptProfile(5000, (("wide", 2000), ("narrow", 2500)))
        chosen = {
            selection.choose(
                make_candidates(9), work, (), (draw, 1 - draw - 0.01)
            ).id
            for draw in (0.0, 0.3, 0.6, 0.9)
        }
        assert len(chosen) == 1

    def test_a_crowded_endpoint_is_left(self):
        work = selection.PromptProfile(5000, (("wide", 2000), ("narrow", 2500)))
        candidates = make_candidates(9)
        first = selection.choose(candidates, work, (), (0.1, 0.9))
        assert first.tokens == 500
        crowded = [
            each._replace(waiting_tokens=20_000 * (each.id == first.id))
            for each in candidates
        ]
        second = selection.choose(crowded, work, (), (0.1, 0.9))
        assert second.id != first.id
        assert second.tokens == 3000

    def test_one_that_got_the_part_lately_need_not_read_it_again(self):
        work = selection.PromptProfile(5000, (("narrow", 4500),))
        candidates = make_candidates(3)
        first = selection.choose(candidates, work, (), (0.1, 0.9))
        others = [each for each in candidates if each.id != first.id]
        held = selection.choose(others, work, {others[1].id}, (0.1, 0.9))
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

    def test_plain_requests_go_where_the_fewest_wait(self):
        candidates = [
            each._replace(running=running, slots=6)
            for each, running in zip(make_candidates(3), (4, 1, 3), strict=True)
        ]
        assert selection.choose(candidates, None, (), (0.5, 0.5)).id == "e1"

    def test_a_hot_part_is_spread_over_more_endpoints(self):
        """Every request shares one part; ours beside always-the-first."""
        rng = random.Random(7)
        work = selection.PromptProfile(4000, (("hot", 3000),))
        loads = {f"e{i}": 0 for i in range(9)}
        for _ in range(200):
            candidates = [
                each._replace(waiting_tokens=loads[each.id])
                for each in make_candidates(9)
            ]
            draws = (rng.random(), rng.random())
            chosen = selection.choose(candidates, work, (), draws)
            loads[chosen.id] += chosen.tokens
        mean = sum(loads.values()) / len(loads)
        assert max(loads.values()) < 2.5 * mean

    def test_what_was_sent_long_ago_is_forgotten(self):
        found = recent_parts.RecentParts()
        found.record("p", "e1", 0.0)
        assert found.endpoints_holding("p", recent_parts.PART_RETENTION_S) == {
            "e1"
        }
        assert (
            found.endpoints_holding("p", recent_parts.PART_RETENTION_S + 0.1)
            == set()
        )


class TestHealth:
    def play(self, rates, seed, requests=400):
        """Sends requests where nothing doubtful is; returns the failures."""
        rng = random.Random(seed)
        known = outliers.OutlierDetector()
        names = sorted(rates)
        failed = 0
        for number in range(requests):
            now = number * 0.05
            doubtful = known.outliers(names, now)
            usable = [n for n in names if n not in doubtful] or names
            name = rng.choice(usable)
            fails = rng.random() < rates[name]
            failed += fails
            known.record(name, failed=fails, now=now)
        return failed / requests

    @pytest.mark.parametrize("seed", range(5))
    def test_a_grey_endpoint_gets_less(self, seed):
        rates = {"a": 0.0, "b": 0.0, "c": 0.6}
        assert self.play(rates, seed) < 0.6 / 3 * 0.75

    @pytest.mark.parametrize("seed", range(5))
    def test_failures_that_all_share_make_none_doubtful_for_long(self, seed):
        rng = random.Random(seed)
        known = outliers.OutlierDetector()
        doubted = 0
        for number in range(600):
            now = number * 0.05
            name = rng.choice("abc")
            known.record(name, failed=rng.random() < 0.14, now=now)
            doubted += len(known.outliers(["a", "b", "c"], now))
        assert doubted / 600 < 0.5

    def test_what_is_known_fades(self):
        known = outliers.OutlierDetector()
        for _ in range(20):
            known.record("a", failed=True, now=0.0)
        assert known.outliers(["a", "b"], 1.0) == {"a"}
        assert known.outliers(["a", "b"], 10.0) == set()


class FleetWorld:
    """A platform that starts endpoints after a while and takes them back."""

    def __init__(self, ready):
        self.fleet = fleetplan.Fleet()
        self.ready = dict(ready)
        self.booting = []
        self.dry_until = {}
        self.now = 0.0
        self.cost = 0.0

    def step(self, running, passed=0.25):
        self.now += passed
        for at, key, count in list(self.booting):
            if at <= self.now:
                self.booting.remove((at, key, count))
                self.ready[key] = self.ready.get(key, 0) + count
        fleetplan.note_load(self.fleet, running, self.now)
        for order in fleetplan.decide(
            self.fleet, SCALING, self.ready, self.now
        ):
            self.take(order)
        for (domain, reclaimable), count in self.ready.items():
            price = SCALING.prices[domain]
            part = SCALING.reclaimable_price if reclaimable else 1.0
            self.cost += count * price * part * passed

    def take(self, order):
        key = (order.domain, order.reclaimable)
        have = self.ready.get(key, 0) + sum(
            count for _, other, count in self.booting if other == key
        )
        dry = order.reclaimable and self.now < self.dry_until.get(
            order.domain, 0
        )
        accepted = not (dry and order.count > have)
        fleetplan.note_outcome(
            self.fleet, order, accepted=accepted, now=self.now
        )
        if not accepted:
            return
        if order.count > have:
            later = self.now + SCALING.boot_s
            self.booting.append((later, key, order.count - have))
        else:
            self.booting = [each for each in self.booting if each[1] != key]
            self.ready[key] = min(self.ready.get(key, 0), order.count)

    def reclaim(self, domain, dry_s):
        self.ready[domain, True] = 0
        fleetplan.note_reclaim(self.fleet, domain, self.now)
        for name in SCALING.prices:
            self.dry_until[name] = self.now + dry_s

    @property
    def total(self):
        return sum(self.ready.values())


def make_fleet_world():
    return FleetWorld({(d, False): 3 for d in SCALING.prices})


class TestFleet:
    def test_reclaimable_endpoints_take_the_place_of_on_demand_ones(self):
        world = make_fleet_world()
        for _ in range(80):
            world.step(running=20)
            assert world.total >= 5
        on_demand = sum(
            count for (_, kind), count in world.ready.items() if not kind
        )
        assert on_demand == 0
        assert world.total >= 20 / fleetplan.REQUESTS_PER_ENDPOINT

    def test_it_costs_less_than_the_fleet_it_found(self):
        world = make_fleet_world()
        for _ in range(240):
            world.step(running=30)
        fixed = 3 * sum(SCALING.prices.values()) * 60
        assert world.cost < 0.5 * fixed

    def test_reclaimed_domains_are_filled_in_while_there_are_none(self):
        world = make_fleet_world()
        for _ in range(80):
            world.step(running=60)
        world.reclaim("d1", dry_s=13.0)
        world.reclaim("d3", dry_s=13.0)
        for _ in range(24):
            world.step(running=60)
        assert world.total >= 60 / fleetplan.ON_DEMAND_REQUESTS
        assert sum(c for (_, kind), c in world.ready.items() if not kind) > 0
        for _ in range(120):
            world.step(running=60)
        on_demand = sum(
            count for (_, kind), count in world.ready.items() if not kind
        )
        assert on_demand == 0

    def test_in_a_shortage_the_next_reclaim_is_provided_for(self):
        world = make_fleet_world()
        for _ in range(80):
            world.step(running=60)
        world.reclaim("d1", dry_s=13.0)
        least = 60 / fleetplan.ON_DEMAND_REQUESTS
        for _ in range(24):
            world.step(running=60)
            assert world.total >= least
        for domain in ("d2", "d3"):
            assert world.total - world.ready[domain, True] >= least

    def test_a_short_peak_orders_nothing_at_full_price(self):
        world = make_fleet_world()
        for _ in range(80):
            world.step(running=30)
        before = fleetplan.needed(world.fleet, SCALING, world.now)
        for _ in range(16):
            world.step(running=200)
        assert fleetplan.needed(world.fleet, SCALING, world.now) == before

    def test_a_notice_counts_at_once(self):
        world = make_fleet_world()
        for _ in range(80):
            world.step(running=60)
        world.reclaim("d1", dry_s=13.0)
        orders = fleetplan.decide(
            world.fleet, SCALING, world.ready, world.now + 0.1
        )
        assert sum(o.count for o in orders if not o.reclaimable) > 1
        assert not any(o.domain == "d1" and o.reclaimable for o in orders)

    def test_bounds_of_a_domain_hold_for_both_kinds_together(self):
        world = make_fleet_world()
        rng = random.Random(3)
        for tick in range(400):
            if tick % 60 == 50:
                world.reclaim(rng.choice(sorted(SCALING.prices)), 6.0)
            world.step(running=rng.choice([5, 40, 90]))
            for domain in SCALING.prices:
                placed = sum(
                    world.fleet.placed[domain, kind].count
                    for kind in (False, True)
                )
                assert placed <= SCALING.maximum
        assert world.total >= fleetplan.LEAST_ENDPOINTS

    def test_a_lost_endpoint_is_ordered_again(self):
        world = make_fleet_world()
        for _ in range(80):
            world.step(running=30)
        key = next(key for key, count in world.ready.items() if count > 1)
        before = world.ready[key]
        world.ready[key] -= 1
        for _ in range(80):
            world.step(running=30)
        assert world.ready[key] >= before


class RolloutWorld:
    """Traffic over two versions, with the reports' lag."""

    def __init__(self, seed, bad_rate=0.0, bad_from_s=0.0, old_rate=0.02):
        self.rng = random.Random(seed)
        self.bad_rate = bad_rate
        self.bad_from_s = bad_from_s
        self.old_rate = old_rate
        self.row = rows.RolloutRow("v2", "growing", 0, 0, 0, 12000, 0, "")
        self.trial = rolloutplan.Trial(
            new=evidence.Sums(), old=evidence.Sums(), began_at=0.0
        )
        self.sums = {"v1": [0] * 4, "v2": [0] * 4}
        self.history = []
        self.to_new = 0
        self.requests = 0

    def run(self, per_s=100):
        now = 0.0
        while now < 12.4 and self.row.state == "growing":
            now += 0.2
            shares = [s for at, s in self.history if at <= now - 0.2]
            share = shares[-1] if shares else 0
            for _ in range(int(per_s * 0.2)):
                self.request(share, now)
            present = now > 4.0
            seen = {k: evidence.Sums(*v) for k, v in self.sums.items()}
            step = rolloutplan.decide(
                "u",
                self.row,
                self.trial,
                new=seen["v2"],
                old=seen["v1"],
                present=present,
                canary_share=0.1,
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
        self.to_new += is_new
        bad = is_new and now >= self.bad_from_s
        rate = self.bad_rate if bad and self.bad_rate else self.old_rate
        sums = self.sums[version]
        sums[0] += 1
        sums[1] += self.rng.random() < rate
        sums[2] += 1


class TestRollout:
    @pytest.mark.parametrize("seed", range(20))
    @pytest.mark.parametrize("old_rate", [0.0, 0.02, 0.14])
    def test_a_good_version_is_completed_in_time(self, seed, old_rate):
        row = RolloutWorld(seed, old_rate=old_rate).run()
        assert row.state == rollouts.COMPLETED, row.reason

    @pytest.mark.parametrize("seed", range(20))
    @pytest.mark.parametrize(
        ("rate", "from_s"), [(0.3, 0.0), (0.5, 0.0), (0.4, 7.5), (0.4, 9.0)]
    )
    def test_a_bad_version_is_reverted_within_its_exposure(
        self, seed, rate, from_s
    ):
        world = RolloutWorld(seed, bad_rate=rate, bad_from_s=from_s)
        row = world.run()
        assert row.state == rollouts.REVERTED, row.reason
        if from_s == 0.0:
            assert world.to_new <= 0.1 * 100 * 12 + 50

    def test_without_evidence_it_is_reverted_at_the_end(self):
        assert RolloutWorld(1).run(per_s=0).state == rollouts.REVERTED


class TestFinalAnswers:
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
    def test_only_what_may_be_repeated_is_sent_again(
        self, kind, resumable, result, again
    ):
        route = relay_fixtures.make_route(kind=kind, resumable=resumable)
        tally = results.tally_result(results.Tally(), result)
        assert results.may_retry(result, route, tally, 1.0) == again

    def test_no_refusal_once_it_may_have_run(self):
        tally = results.tally_result(results.Tally(), results.Lost(reason=""))
        tally = results.tally_result(tally, results.NotSent(reason=""))
        final = results.NotSent(reason="")
        assert results.final_status(final, tally) == 502
        assert results.final_status(final, results.Tally()) == 503

    def test_no_time_left_means_no_other_endpoint(self):
        route = relay_fixtures.make_route()
        lost = results.Lost(reason="")
        tally = results.tally_result(results.Tally(), lost)
        assert not results.may_retry(lost, route, tally, 0.01)
