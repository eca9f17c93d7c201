"""Rows with a field that only a later build knows, in messages between builds.

One such row ended the whole reply or report: the entry lost that control
process for as long as the builds differed.
"""

import json

import pytest
import test_duties
import test_report_checks
import test_watching

from _arbutuswalk.control import discovery as discoveries
from _arbutuswalk.control import entry_reports
from _arbutuswalk.control import rollouts
from _arbutuswalk.routing import directory
from _arbutuswalk.state import rollout_evidence
from _arbutuswalk.state import routeconfig
from _arbutuswalk.wire import slot_messages

ENDPOINT = directory.Endpoint(
    "e", 1, 2, "model", "127.0.0.1:9", "d1", "v1", 4, "ready", False, 0.0
)
LATER = "later"
STATEMENTS = {"e": [1, 2.0, 0.0, LATER]}
REFUSED = {"f": [0.0, 0.0, LATER]}


def later(row):
    return [*row, LATER]


class TestReplies:
    @pytest.mark.parametrize(
        "changes",
        [
            {"endpoints": [later(ENDPOINT)]},
            {"heartbeats": [later(directory.heartbeat_of(ENDPOINT))]},
            {"loads": {"e": [3, 4, LATER]}},
            {"limits": STATEMENTS},
            {"brittle": STATEMENTS},
            {"refused": REFUSED},
            {"pools": {"w": [1.0, 0.0, LATER]}},
            {"rollouts": {"m": ["v2", "growing", 1, 2, 3, 4, 5, "r", LATER]}},
        ],
        ids=lambda changes: next(iter(changes)),
    )
    def test_reply_with_a_later_field_is_applied(self, changes):
        watcher, feed = test_watching.make_watcher()
        known = test_watching.make_reply(endpoints=[ENDPOINT])
        assert watcher._try_apply_reply(feed, known) == ""
        reply = test_watching.make_reply(**changes)
        assert watcher._try_apply_reply(feed, reply) == ""
        assert watcher.relay.directory.rows["e"].endpoint == ENDPOINT
        if "loads" in changes:
            assert watcher.relay.other_loads["e"] == (3, 4)


class TestReports:
    @pytest.mark.parametrize(
        "report",
        [
            {"loads": {"e": [3, 4, LATER]}},
            {"limits": STATEMENTS},
            {"brittle": STATEMENTS},
            {"leaving": [["e", 1, 0.0, LATER]]},
            {"refused": REFUSED},
        ],
        ids=lambda report: next(iter(report)),
    )
    def test_report_with_a_later_field_is_stored(self, report):
        discovery = discoveries.Discovery(member=test_duties.FakeMember())
        assert test_report_checks.reply_to(discovery, entry="e1", **report)
        assert ("e1", 1) in discovery.entries
        assert test_report_checks.reply_to(discovery, entry="e2")
        if "loads" in report:
            assert discovery.loads() == {"e": (3, 4)}

    def test_later_counts_of_outcomes_are_ignored(self):
        """The rollouts of a leader of the former build stood still."""
        report = {"rollout_outcomes": [["m", "v2", "r/0", *range(8), 99]]}
        totals = entry_reports.outcome_counts(report)
        sums = rollouts.sum_outcomes(totals, "m", "v2")
        assert sums.new == {"r/0": rollout_evidence.Counts(*range(8))}


class TestSlots:
    def test_content_with_later_fields_is_read(self):
        content = slot_messages.Content(
            ended=(slot_messages.Ended("l", "e", 1),),
            unleased=(slot_messages.Unleased("e", 1, 2),),
            ask=slot_messages.Ask(
                "l", 1.0, 2.0, (slot_messages.Candidate("e", 1, 4, 3.0),)
            ),
        )
        ended, unleased, ask = json.loads(slot_messages.encode(content))
        ask[3] = list(map(later, ask[3]))
        values = [
            list(map(later, ended)),
            list(map(later, unleased)),
            later(ask),
            LATER,
        ]
        assert slot_messages.decode(json.dumps(values).encode()) == content


class TestConfigurations:
    def test_configuration_with_later_fields_comes_into_force(self):
        """It was acknowledged and came into force at no former entry."""
        config = routeconfig.RouteConfig(
            version=3,
            routes=(
                routeconfig.Route(
                    "r",
                    "h",
                    "/",
                    routeconfig.ONCE,
                    1.0,
                    1.0,
                    0,
                    (routeconfig.Target("m", 1),),
                    1,
                    False,
                    False,
                    False,
                    0.0,
                ),
            ),
            upstreams=(
                routeconfig.Upstream(
                    "m",
                    4,
                    routeconfig.Engine(4, 100),
                    routeconfig.Scaling(1, 2, 3.0, 0.5, {"d1": 1.0}),
                ),
            ),
            workspaces=(
                routeconfig.Workspace("w", ("k",), None, False, 1, 0.0, 0.0),
            ),
            limits=routeconfig.Limits(0, 0.0),
            warm_ups=(routeconfig.WarmUp("m", 3.0, 8.6),),
        )
        values = json.loads(json.dumps(routeconfig.to_json(config)))
        for route in values["routes"]:
            route[7] = list(map(later, route[7]))
        for upstream in values["upstreams"]:
            upstream[2:] = map(later, upstream[2:])
        for name in ("routes", "upstreams", "workspaces", "warm_ups"):
            values[name] = list(map(later, values[name]))
        values["limits"] = later(values["limits"])
        values["head_limits"] = later(values["head_limits"])
        assert routeconfig.from_json(values) == config
