"""Version moves: steps, evidence, deadlines, and the e-process."""

import copy
import random

import entry_fixtures
import pytest

from _arbutuswalk.state import commands
from _arbutuswalk.state import compare
from _arbutuswalk.state import machine
from _arbutuswalk.state import moveplan
from _arbutuswalk.state import outcomes
from _arbutuswalk.state import tables as rows

BAKE_S = 20
DEADLINE_S = 200


def apply(tables, command, at_ms):
    payload = machine.stamp(command, at_ms)
    return machine.apply(tables, payload, tables.applied + 1)


def inventory(**versions):
    made = copy.deepcopy(entry_fixtures.INVENTORY)
    for upstream in made["upstreams"]:
        upstream["bake_s"] = BAKE_S
        upstream["rollout_deadline_s"] = DEADLINE_S
        upstream["version"] = versions.get(upstream["name"], "v1")
    return made


class World:
    """A move under synthetic traffic."""

    def __init__(self, upstream="model", rate=40, seed=1):
        self.upstream = upstream
        self.rate = rate
        self.rng = random.Random(seed)
        self.tables = rows.Tables()
        self.trials = moveplan.Trials()
        self.now_ms = 1000
        self.counts = {}
        self.up = {("model", "v1"), ("claims", "v1")}
        self.revision = 0
        self.new_ran = 0
        self.bad = 0
        self.apply()

    def apply(self, **versions):
        command = commands.Apply(
            f"op{self.revision}", "ann", self.revision, inventory(**versions)
        )
        outcome = apply(self.tables, command, self.now_ms)
        assert isinstance(outcome, outcomes.Accepted)
        self.revision += 1

    def move(self):
        return list(self.tables.moves.values())[-1]

    def tick(self, old_error=0.005, new_error=0.005, slow=0.1, new_slow=0.1):
        """Lets a quarter of a second of traffic pass, then decides."""
        self.now_ms += 250
        for move in self.tables.moves.values():
            for route, share in move.shares.items():
                for _ in range(round(self.rate / 4)):
                    self._one(
                        move, route, share, old_error, new_error, slow, new_slow
                    )
        for step in moveplan.decide(
            self.tables, self.reports(), self.trials, self.now_ms
        ):
            apply(self.tables, step, self.now_ms)

    def _one(self, move, route, share, old_error, new_error, slow, new_slow):
        new = self.rng.random() * 1000 < share
        version = move.new if new else move.old
        failed = self.rng.random() < (new_error if new else old_error)
        late = self.rng.random() < (new_slow if new else slow)
        side = f"{move.upstream}|{version}|{route}"
        ran, errors, slows, timed = self.counts.get(side, (0, 0, 0, 0))
        self.counts[side] = (
            ran + 1,
            errors + failed,
            slows + (late and not failed),
            timed + (not failed),
        )
        self.new_ran += new
        self.bad += new and failed

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
                    for name, version in self.up
                },
            }
        }

    def run(self, seconds, **rates):
        for _ in range(seconds * 4):
            self.tick(**rates)
            if self.move().state not in ("waiting", "growing", "baking"):
                return


class TestGoodVersion:
    @pytest.mark.parametrize("upstream", ["model", "claims"])
    def test_is_done_by_the_deadline(self, upstream):
        world = World(upstream)
        world.apply(**{upstream: "v2"})
        world.up.add((upstream, "v2"))
        world.run(DEADLINE_S)
        assert world.move().state == "done", world.move()
        assert world.tables.versions[upstream] == "v2"

    def test_quiet_traffic_still_moves(self):
        world = World(rate=4)
        world.apply(model="v2")
        world.up.add(("model", "v2"))
        world.run(DEADLINE_S)
        assert world.move().state == "done", world.move()

    def test_route_that_is_quiet_when_the_move_begins_still_moves(self):
        """The first share must not follow from a moment without traffic."""
        world = World(rate=0)
        world.apply(model="v2")
        world.up.add(("model", "v2"))
        world.run(3)
        world.rate = 4
        world.run(DEADLINE_S)
        assert world.move().state == "done", world.move()

    def test_shared_incident_is_not_its_fault(self):
        world = World()
        world.apply(model="v2")
        world.up.add(("model", "v2"))
        world.run(30, old_error=0.3, new_error=0.3)
        world.run(DEADLINE_S)
        assert world.move().state == "done", world.move()

    def test_non_repeatable_routes_wait_for_the_others(self):
        world = World("claims")
        world.apply(claims="v2")
        world.up.add(("claims", "v2"))
        for _ in range(200):
            world.tick()
            shares = world.move().shares
            if shares["claim"]:
                break
        assert shares["lots"] >= moveplan.REPEATABLE_FIRST
        assert shares["claim"] <= 50


class TestBadVersion:
    @pytest.mark.parametrize("seed", range(5))
    def test_that_fails_at_once_is_taken_back(self, seed):
        world = World(seed=seed)
        world.apply(model="v2")
        world.up.add(("model", "v2"))
        world.run(60, new_error=0.5)
        assert world.move().state == "taken_back"
        assert world.bad < 12
        assert set(world.move().shares.values()) == {0}
        assert world.tables.versions["model"] == "v1"

    def test_that_fails_while_baking_is_taken_back(self):
        world = World()
        world.apply(model="v2")
        world.up.add(("model", "v2"))
        while world.move().state != "baking":
            world.tick()
        world.run(10, new_error=0.3)
        assert world.move().state == "taken_back"

    def test_that_is_slow_is_taken_back(self):
        world = World()
        world.apply(model="v2")
        world.up.add(("model", "v2"))
        world.run(100, new_slow=0.6)
        assert world.move().state == "taken_back"
        assert "slow" in world.move().reason

    def test_is_not_started_again_by_an_edit_elsewhere(self):
        world = World()
        world.apply(model="v2")
        world.up.add(("model", "v2"))
        world.run(60, new_error=0.9)
        world.apply(model="v2", claims="v1")
        assert len(world.tables.moves) == 1
        world.apply(model="v1")
        world.apply(model="v2")
        assert len(world.tables.moves) == 2


class TestDeadline:
    def test_without_instances_it_is_taken_back(self):
        world = World()
        world.apply(model="v2")
        world.run(DEADLINE_S + 1)
        assert world.move().state == "taken_back"
        assert "deadline" in world.move().reason

    def test_without_evidence_it_is_taken_back(self):
        world = World()
        world.apply(model="v2")
        world.up.add(("model", "v2"))
        world.run(15)
        world.rate = 0
        world.run(DEADLINE_S)
        assert world.move().state == "taken_back"


class TestSuperseding:
    def test_newer_target_ends_the_move(self):
        world = World()
        world.apply(model="v2")
        world.apply(model="v3")
        states = [row.state for row in world.tables.moves.values()]
        assert states == ["superseded", "waiting"]
        assert world.move().old == "v1"

    def test_two_moves_at_once(self):
        world = World()
        world.apply(model="v2", claims="v2")
        world.up |= {("model", "v2"), ("claims", "v2")}
        for _ in range(DEADLINE_S * 4):
            world.tick()
        states = [row.state for row in world.tables.moves.values()]
        assert states == ["done", "done"]

    def test_stale_step_is_ignored(self):
        world = World()
        world.apply(model="v2")
        (move,) = world.tables.moves
        step = commands.StepMove(move, 7, "done", {}, "late")
        outcome = apply(world.tables, step, world.now_ms)
        assert isinstance(outcome, outcomes.Stale)


class TestControlFailover:
    def test_new_leader_goes_on_from_the_tables(self):
        world = World()
        world.apply(model="v2")
        world.up.add(("model", "v2"))
        world.run(15)
        world.trials = moveplan.Trials()
        world.tables = machine.load(machine.dump(world.tables))
        world.run(DEADLINE_S)
        assert world.move().state == "done", world.move()


class TestComparison:
    def test_is_rarely_wrong_when_both_are_equal(self):
        """Ville's bound: at most one run in a thousand crosses."""
        rng = random.Random(11)
        crossed = 0
        for _ in range(300):
            test = compare.Comparison()
            rate = rng.choice([0.0, 0.01, 0.05, 0.2])
            for _ in range(100):
                old = sum(rng.random() < rate for _ in range(18))
                new = sum(rng.random() < rate for _ in range(3))
                test.update(compare.Block(18, old, 3, new))
            crossed += test.log_evidence >= moveplan.LOG_THRESHOLD
        assert crossed <= 3

    def test_five_failures_in_a_row_suffice(self):
        test = compare.Comparison()
        test.update(compare.Block(100, 0, 0, 0))
        for _ in range(5):
            test.update(compare.Block(5, 0, 1, 1))
        assert test.log_evidence >= moveplan.LOG_THRESHOLD

    def test_good_outcomes_never_count_against(self):
        test = compare.Comparison()
        for _ in range(500):
            test.update(compare.Block(5, 0, 5, 0))
        assert test.log_evidence < 1
