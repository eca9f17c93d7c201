"""Version moves: steps, evidence, deadlines and the sequential test."""

import copy
import random

import entry_fixtures
import pytest

from _arbutuswalk.state import commands
from _arbutuswalk.state import compare
from _arbutuswalk.state import move_policy
from _arbutuswalk.state import outcomes
from _arbutuswalk.state import state_machine
from _arbutuswalk.state import tables as rows

BAKE_S = 20
DEADLINE_S = 200


def apply(tables, command, at_ms):
    payload = state_machine.stamp(command, at_ms)
    return state_machine.apply(tables, payload, tables.applied + 1)


def make_inventory(**versions):
    inventory = copy.deepcopy(entry_fixtures.INVENTORY)
    for upstream in inventory["upstreams"]:
        upstream["bake_s"] = BAKE_S
        upstream["rollout_deadline_s"] = DEADLINE_S
        upstream["version"] = versions.get(upstream["name"], "v1")
    return inventory


class MoveSimulation:
    """Simulates a move under synthetic traffic."""

    def __init__(self, upstream="model", rate=40, seed=1):
        self.upstream = upstream
        self.rate = rate
        self.rng = random.Random(seed)
        self.tables = rows.Tables()
        self.trials = move_policy.MoveTrials()
        self.now_ms = 1000
        self.counts = {}
        self.available_versions = {("model", "v1"), ("claims", "v1")}
        self.revision = 0
        self.new_requests = 0
        self.new_failures = 0
        self.apply()

    def apply(self, **versions):
        command = commands.Apply(
            f"op{self.revision}",
            "ann",
            self.revision,
            make_inventory(**versions),
        )
        outcome = apply(self.tables, command, self.now_ms)
        assert isinstance(outcome, outcomes.Accepted)
        self.revision += 1

    def last_move(self):
        return list(self.tables.moves.values())[-1]

    def tick(
        self, old_error=0.005, new_error=0.005, old_slow=0.1, new_slow=0.1
    ):
        """Simulates a quarter of a second of traffic and applies due steps."""
        self.now_ms += 250
        for move in self.tables.moves.values():
            for route, share in move.shares.items():
                for _ in range(round(self.rate / 4)):
                    self._record_request(
                        move,
                        route,
                        share,
                        old_error,
                        new_error,
                        old_slow,
                        new_slow,
                    )
        for step in move_policy.decide(
            self.tables, self.reports(), self.trials, self.now_ms
        ):
            apply(self.tables, step, self.now_ms)

    def _record_request(
        self, move, route, share, old_error, new_error, old_slow, new_slow
    ):
        is_new = self.rng.random() * 1000 < share
        version = move.new if is_new else move.old
        failed = self.rng.random() < (new_error if is_new else old_error)
        slow = self.rng.random() < (new_slow if is_new else old_slow)
        key = f"{move.upstream}|{version}|{route}"
        ran, errors, slow_count, timed = self.counts.get(key, (0, 0, 0, 0))
        self.counts[key] = (
            ran + 1,
            errors + failed,
            slow_count + (slow and not failed),
            timed + (not failed),
        )
        self.new_requests += is_new
        self.new_failures += is_new and failed

    def reports(self):
        return {
            "e": {
                "evidence": dict(self.counts),
                "upstreams": {
                    f"{name}-{version}": [
                        name,
                        version,
                        "i",
                        "d",
                        "c",
                        4,
                        0,
                        True,
                    ]
                    for name, version in self.available_versions
                },
            }
        }

    def run(self, seconds, **outcome_rates):
        for _ in range(seconds * 4):
            self.tick(**outcome_rates)
            if self.last_move().state not in ("waiting", "growing", "baking"):
                return


class TestGoodVersion:
    @pytest.mark.parametrize("upstream", ["model", "claims"])
    def test_move_is_done_by_the_deadline(self, upstream):
        simulation = MoveSimulation(upstream)
        simulation.apply(**{upstream: "v2"})
        simulation.available_versions.add((upstream, "v2"))
        simulation.run(DEADLINE_S)
        assert simulation.last_move().state == "done", simulation.last_move()
        assert simulation.tables.versions[upstream] == "v2"

    def test_quiet_traffic_still_moves(self):
        simulation = MoveSimulation(rate=4)
        simulation.apply(model="v2")
        simulation.available_versions.add(("model", "v2"))
        simulation.run(DEADLINE_S)
        assert simulation.last_move().state == "done", simulation.last_move()

    def test_route_that_is_quiet_when_the_move_begins_still_moves(self):
        """The first share must not be based on a moment without traffic."""
        simulation = MoveSimulation(rate=0)
        simulation.apply(model="v2")
        simulation.available_versions.add(("model", "v2"))
        simulation.run(3)
        simulation.rate = 4
        simulation.run(DEADLINE_S)
        assert simulation.last_move().state == "done", simulation.last_move()

    def test_failures_of_both_versions_do_not_take_it_back(self):
        simulation = MoveSimulation()
        simulation.apply(model="v2")
        simulation.available_versions.add(("model", "v2"))
        simulation.run(30, old_error=0.3, new_error=0.3)
        simulation.run(DEADLINE_S)
        assert simulation.last_move().state == "done", simulation.last_move()

    def test_non_idempotent_routes_wait_for_the_others(self):
        simulation = MoveSimulation("claims")
        simulation.apply(claims="v2")
        simulation.available_versions.add(("claims", "v2"))
        for _ in range(200):
            simulation.tick()
            shares = simulation.last_move().shares
            if shares["claim"]:
                break
        assert shares["lots"] >= move_policy.MIN_IDEMPOTENT_SHARE_PER_MILLE
        assert shares["claim"] <= 50


class TestBadVersion:
    @pytest.mark.parametrize("seed", range(5))
    def test_version_that_fails_from_the_start_is_taken_back(self, seed):
        simulation = MoveSimulation(seed=seed)
        simulation.apply(model="v2")
        simulation.available_versions.add(("model", "v2"))
        simulation.run(60, new_error=0.5)
        assert simulation.last_move().state == "taken_back"
        assert simulation.new_failures < 12
        assert set(simulation.last_move().shares.values()) == {0}
        assert simulation.tables.versions["model"] == "v1"

    def test_version_that_fails_while_baking_is_taken_back(self):
        simulation = MoveSimulation()
        simulation.apply(model="v2")
        simulation.available_versions.add(("model", "v2"))
        while simulation.last_move().state != "baking":
            simulation.tick()
        simulation.run(10, new_error=0.3)
        assert simulation.last_move().state == "taken_back"

    def test_slow_version_is_taken_back(self):
        simulation = MoveSimulation()
        simulation.apply(model="v2")
        simulation.available_versions.add(("model", "v2"))
        simulation.run(100, new_slow=0.6)
        assert simulation.last_move().state == "taken_back"
        assert "slow" in simulation.last_move().reason

    def test_taken_back_version_is_not_restarted_by_an_unrelated_change(self):
        simulation = MoveSimulation()
        simulation.apply(model="v2")
        simulation.available_versions.add(("model", "v2"))
        simulation.run(60, new_error=0.9)
        simulation.apply(model="v2", claims="v1")
        assert len(simulation.tables.moves) == 1
        simulation.apply(model="v1")
        simulation.apply(model="v2")
        assert len(simulation.tables.moves) == 2


class TestDeadline:
    def test_outcomes_before_the_leader_knew_an_entry_are_no_evidence(self):
        simulation = MoveSimulation()
        simulation.apply(model="v2")
        simulation.tick()
        simulation.trials = move_policy.MoveTrials()
        reports = simulation.reports()
        move = simulation.last_move()
        for version in (move.old, move.new):
            late = {f"model|{version}|{route}" for route in move.shares}
            reports["late"] = {
                "evidence": {
                    **reports.get("late", {}).get("evidence", {}),
                    **dict.fromkeys(late, (1000, 900, 0, 100)),
                }
            }
        for known in ({"e": reports["e"]}, reports):
            move_policy.decide(
                simulation.tables, known, simulation.trials, simulation.now_ms
            )
        assert simulation.trials.routes
        for trial in simulation.trials.routes.values():
            assert trial.evidence.errors.new_failed == 0
            assert trial.evidence.errors.old_failed == 0

    def test_move_without_instances_is_taken_back(self):
        simulation = MoveSimulation()
        simulation.apply(model="v2")
        simulation.run(DEADLINE_S + 1)
        assert simulation.last_move().state == "taken_back"
        assert "deadline" in simulation.last_move().reason

    def test_move_without_evidence_is_taken_back(self):
        simulation = MoveSimulation()
        simulation.apply(model="v2")
        simulation.available_versions.add(("model", "v2"))
        simulation.run(15)
        simulation.rate = 0
        simulation.run(DEADLINE_S)
        assert simulation.last_move().state == "taken_back"


class TestSuperseding:
    def test_newer_target_ends_the_move(self):
        simulation = MoveSimulation()
        simulation.apply(model="v2")
        simulation.apply(model="v3")
        states = [row.state for row in simulation.tables.moves.values()]
        assert states == ["superseded", "waiting"]
        assert simulation.last_move().old == "v1"

    def test_two_concurrent_moves(self):
        simulation = MoveSimulation()
        simulation.apply(model="v2", claims="v2")
        simulation.available_versions |= {("model", "v2"), ("claims", "v2")}
        for _ in range(DEADLINE_S * 4):
            simulation.tick()
        states = [row.state for row in simulation.tables.moves.values()]
        assert states == ["done", "done"]

    def test_stale_step_is_ignored(self):
        simulation = MoveSimulation()
        simulation.apply(model="v2")
        (move,) = simulation.tables.moves
        step = commands.StepMove(move, 7, "done", {}, "late")
        outcome = apply(simulation.tables, step, simulation.now_ms)
        assert isinstance(outcome, outcomes.Stale)


class TestControlFailover:
    def test_new_leader_continues_from_the_tables(self):
        simulation = MoveSimulation()
        simulation.apply(model="v2")
        simulation.available_versions.add(("model", "v2"))
        simulation.run(15)
        simulation.trials = move_policy.MoveTrials()
        simulation.tables = state_machine.load(
            state_machine.dump(simulation.tables)
        )
        simulation.run(DEADLINE_S)
        assert simulation.last_move().state == "done", simulation.last_move()


class TestComparison:
    def test_false_positives_are_rare_for_equal_versions(self):
        """By Ville's inequality at most one run in a thousand crosses."""
        rng = random.Random(11)
        false_positives = 0
        for _ in range(300):
            comparison = compare.Comparison()
            rate = rng.choice([0.0, 0.01, 0.05, 0.2])
            for _ in range(100):
                old_failures = sum(rng.random() < rate for _ in range(18))
                new_failures = sum(rng.random() < rate for _ in range(3))
                comparison.update(
                    compare.Block(18, old_failures, 3, new_failures)
                )
            false_positives += (
                comparison.log_evidence >= move_policy.LOG_EVIDENCE_THRESHOLD
            )
        assert false_positives <= 3

    def test_five_consecutive_failures_reach_the_threshold(self):
        comparison = compare.Comparison()
        comparison.update(compare.Block(100, 0, 0, 0))
        for _ in range(5):
            comparison.update(compare.Block(5, 0, 1, 1))
        assert comparison.log_evidence >= move_policy.LOG_EVIDENCE_THRESHOLD

    def test_successes_never_count_against_the_new_version(self):
        comparison = compare.Comparison()
        for _ in range(500):
            comparison.update(compare.Block(5, 0, 5, 0))
        assert comparison.log_evidence < 1
