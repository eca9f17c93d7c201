"""Reports of entries that cannot be read must not stop the others' updates."""

import pytest
import test_duties
import test_watching
import virtual

from _arbutuswalk.control import discovery as discoveries
from _arbutuswalk.control import report_checks
from _arbutuswalk.relay import control_watch

WRONG_VALUES = {
    "loads": [["a", 1, 2], {"a": 1}, {"a": ["x", 0]}, {"a": [1]}],
    "deaths": [["f"], {"f": 1}, {"f": {"e": "x"}}],
    "successes": [["f"], {"f": "x"}],
    "refused": ["f", {"f": 1.0}, {"f": ["x", "y"]}],
    "taken": [{"w": "x"}, ["w"]],
    "returned": [{"w": None}],
    "levels": [{"w": 1}, ["x"]],
    "usage": [{"1": 3}, {"1": {"w": "x"}}],
    "rollout_outcomes": [{}, [["m"]], [["m", "v", "r", "x"]]],
    "limits": [["e"], {"e": [1]}, {"e": ["x", 1, 1]}],
    "leaving": [{"e": 1}, [["e", 1]], [["e", "x", 1]]],
    "speeds": [
        {},
        [0, 1],
        [0, "x", []],
        [0, 1.5, []],
        [0, 1, [["e", 1, 2]]],
        [0, 1, [["e", 1, "x", 2]]],
        [0, 1, [["e", 1, 1e9, None]]],
        [0, 1, [["e", 1, float("nan"), None]]],
    ],
    "wall": ["now", None],
    "uptime_s": ["x"],
    "unknown": [1, [1]],
    "status_since": ["x"],
    "ready": [1],
    "address": [None],
}


def wrong_reports():
    for key, values in WRONG_VALUES.items():
        for value in values:
            yield pytest.param({key: value}, id=f"{key}={value}")


def reply_to(discovery, **report):
    discovery.changed.set()
    return virtual.run(discovery.watch(test_duties.watch(discovery, **report)))


class TestReports:
    @pytest.mark.parametrize("report", list(wrong_reports()))
    def test_one_that_cannot_be_read_is_not_stored(self, report):
        discovery = discoveries.Discovery(member=test_duties.FakeMember())
        with pytest.raises(ValueError, match="wrong type"):
            reply_to(discovery, entry="bad", **report)
        assert not discovery.entries
        for second in range(3):
            discovery.member.time += second
            assert reply_to(discovery, entry="good", loads={"a": [1, 2]})
        assert discovery.loads() == {"a": (1, 2)}

    def test_one_of_a_watcher_is_accepted(self):
        watcher, feed = test_watching.make_watcher()
        message = watcher._make_watch_message(feed)
        assert report_checks.decode(message.report)

    def test_values_of_a_later_version_are_accepted(self):
        assert report_checks.find_problem({"later": object()}) == ""

    def test_former_lists_are_accepted(self):
        report = {"refused": ["f"], "deaths": {"f": ["e/1"]}}
        assert report_checks.find_problem(report) == ""


class TestReplies:
    @pytest.mark.parametrize(
        "changes",
        [
            {"endpoints": [["a"]]},
            {"heartbeats": [["a"]]},
            {"loads": {"a": 1}},
            {"taken": None},
            {"members": None},
        ],
        ids=str,
    )
    def test_one_that_cannot_be_read_is_asked_for_again(self, changes):
        watcher, feed = test_watching.make_watcher()
        reply = test_watching.make_reply(**changes)
        assert "unusable reply" in watcher._try_apply_reply(feed, reply)
        assert (feed.session, feed.revision) == ("", 0)
        assert isinstance(feed, control_watch.ControlFeed)
        reply = test_watching.make_reply()
        assert watcher._try_apply_reply(feed, reply) == ""
