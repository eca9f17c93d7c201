"""Route configurations: validation, JSON, lookup and publication."""

import json
import random

import pytest
import relay_fixtures

from _arbutuswalk.routing import routetable
from _arbutuswalk.state import commands
from _arbutuswalk.state import outcomes
from _arbutuswalk.state import routeconfig
from _arbutuswalk.state import state_machine
from _arbutuswalk.state import tables as rows


def make_config(version=1, routes=None, workspaces=()):
    return routeconfig.RouteConfig(
        version=version,
        routes=tuple(
            routes if routes is not None else [relay_fixtures.make_route()]
        ),
        upstreams=(
            routeconfig.Upstream("ops", 100, None, None),
            routeconfig.Upstream(
                "llm",
                370,
                routeconfig.Engine(64, 500_000),
                routeconfig.Scaling(1, 6, 4.0, 0.18, {"d1": 1.0, "d2": 0.8}),
            ),
        ),
        workspaces=tuple(workspaces),
        limits=routeconfig.Limits(1000, 15.0),
        head_limits=routeconfig.HeadLimits(16384, 3.0),
    )


def make_workspace(name, *keys):
    return routeconfig.Workspace(name, keys, 1, True, 200, 1000.0, 1000.0)


class TestCheck:
    def test_a_valid_configuration_has_no_problems(self):
        assert routeconfig.check(make_config()) == []

    @pytest.mark.parametrize(
        ("routes", "part"),
        [
            ([relay_fixtures.make_route(timeout_s=0)], "time-out"),
            ([relay_fixtures.make_route(kind="odd")], "kind"),
            ([relay_fixtures.make_route(prefix="a/")], "prefix"),
            (
                [
                    relay_fixtures.make_route(
                        targets=(routeconfig.Target("gone", 1),)
                    )
                ],
                "unknown upstream",
            ),
            (
                [
                    relay_fixtures.make_route(
                        targets=(routeconfig.Target("ops", 0),)
                    )
                ],
                "add up to 0",
            ),
            ([relay_fixtures.make_route(targets=())], "add up to 0"),
            (
                [
                    relay_fixtures.make_route(),
                    relay_fixtures.make_route(name="r2"),
                ],
                "place is taken",
            ),
        ],
    )
    def test_each_problem_is_reported(self, routes, part):
        problems = routeconfig.check(make_config(routes=routes))
        assert any(part in problem for problem in problems)

    def test_workspaces_may_not_share_a_key(self):
        shared = [make_workspace("a", "k"), make_workspace("b", "k")]
        problems = routeconfig.check(make_config(workspaces=shared))
        assert problems == ["workspaces a and b share a key"]


class TestJson:
    def test_a_round_trip_changes_nothing(self):
        config = make_config(workspaces=[make_workspace("a", "k", "l")])
        text = json.dumps(routeconfig.to_json(config))
        assert routeconfig.from_json(json.loads(text)) == config


class TestStoredByAFormerVersion:
    @pytest.mark.parametrize("requires_keys", [False, True])
    def test_workspaces_show_whether_keys_are_required(self, requires_keys):
        workspaces = [make_workspace("w")] if requires_keys else []
        values = json.loads(
            json.dumps(routeconfig.to_json(make_config(workspaces=workspaces)))
        )
        del values["requires_keys"]
        config = routeconfig.from_json(values)
        assert config.requires_keys is requires_keys


class TestFind:
    @pytest.mark.parametrize(
        ("path", "name"),
        [
            ("/a/b/c", "long"),
            ("/a/b/", "long"),
            ("/a/b", "short"),
            ("/a/", "short"),
            ("/a", "root"),
            ("/x/y", "root"),
        ],
    )
    def test_the_longest_prefix_wins(self, path, name):
        table = routetable.RouteTable(
            config=make_config(
                routes=[
                    relay_fixtures.make_route(name="root", prefix="/"),
                    relay_fixtures.make_route(name="short", prefix="/a/"),
                    relay_fixtures.make_route(name="long", prefix="/a/b/"),
                ]
            )
        )
        assert routetable.find_route(table, "h.example", path).name == name

    def test_another_host_has_no_route(self):
        table = routetable.RouteTable(config=make_config())
        assert routetable.find_route(table, "other.example", "/a/b") is None

    def test_weights_split_the_requests(self):
        targets = (
            routeconfig.Target("ops", 90),
            routeconfig.Target("llm", 10),
        )
        rng = random.Random(1)
        route = relay_fixtures.make_route(targets=targets)
        drawn = [routetable.pick_target(route, rng) for _ in range(2000)]
        assert 120 < drawn.count("llm") < 280


class TestPublish:
    def publish(self, tables, version, source):
        config = routeconfig.to_json(make_config(version=version))
        command = commands.PublishRoutes(version, config, source)
        payload = state_machine.stamp(command, 1000)
        return state_machine.apply(tables, payload, tables.applied + 1)

    def test_the_highest_version_wins_and_others_are_accepted(self):
        tables = rows.Tables()
        self.publish(tables, 5, "five")
        assert self.publish(tables, 3, "three") == outcomes.Accepted(revision=5)
        assert tables.routes_source == "five"

    def test_other_content_for_the_current_version_is_ignored(self):
        tables = rows.Tables()
        self.publish(tables, 5, "five")
        self.publish(tables, 5, "other")
        assert tables.routes_source == "five"

    def test_a_snapshot_keeps_configuration_rollouts_and_usage(self):
        tables = rows.Tables()
        self.publish(tables, 5, "five")
        for command in (
            commands.BeginRollout("llm", "v2", 12000),
            commands.SettleUsage(7, {"a": 3}),
        ):
            state_machine.apply(tables, state_machine.stamp(command, 1000), 9)
        loaded = state_machine.load(state_machine.dump(tables))
        assert loaded.routes_version == 5
        assert loaded.rollouts == tables.rollouts
        assert loaded.usage == {"7": {"a": 3}}
        config = routeconfig.from_json(loaded.routes)
        assert config == make_config(version=5)


class TestUsage:
    def test_the_first_settlement_of_a_window_stands(self):
        tables = rows.Tables()
        for counts in ({"a": 3}, {"a": 4}):
            command = commands.SettleUsage(7, counts)
            state_machine.apply(tables, state_machine.stamp(command, 1000), 1)
        assert tables.usage == {"7": {"a": 3}}
