"""What an entry counts of the demand of workspaces, and knows of shares."""

import math

import pytest

from _arbutuswalk.base import metrics
from _arbutuswalk.relay import report_feed
from _arbutuswalk.relay import workspace_demand
from _arbutuswalk.wire import demand_fields

AVERAGING_TIME_S = workspace_demand.AVERAGING_TIME_S
INTERVAL_S = workspace_demand.REPORT_INTERVAL_S


class Entry:
    """Demand of one entry, with a clock."""

    def __init__(self):
        self.demand = workspace_demand.WorkspaceDemand()
        self.feed = report_feed.ReportFeed()
        self.metrics = metrics.Metrics()
        self.now = 100.0

    def ask(self, workspace, cost=1.0, upstream="u", priority=5, share=1.0):
        """Asks for something, of which ``share`` is admitted."""
        args = self.demand, upstream, workspace, priority
        workspace_demand.record_asked(*args, cost, self.now)
        if share:
            workspace_demand.record_admitted(*args, share * cost, self.now)

    def ask_steadily(self, workspace, rate_per_s, duration_s, **changes):
        for _ in range(round(rate_per_s * duration_s)):
            self.now += 1 / rate_per_s
            self.ask(workspace, **changes)

    def report(self):
        return workspace_demand.to_json(self.demand, self.feed, self.now)

    def receive(self, values, revision=1, entry_count=80, feed=None):
        workspace_demand.record_reply(
            self.demand,
            feed or self.feed,
            {"shares": [revision, entry_count, values]},
            self.now,
            self.metrics,
        )

    def excess(self, workspace, upstream="u"):
        return workspace_demand.excess(
            self.demand, upstream, workspace, self.now
        )


@pytest.fixture(name="entry")
def make_entry():
    return Entry()


class TestRates:
    def test_rates_are_by_upstream_workspace_and_priority(self, entry):
        entry.ask("a", cost=400)
        entry.ask("a", cost=800, priority=0, share=0)
        entry.ask("b", cost=400)
        entry.ask("b", upstream="v")
        assert entry.report() == {
            "demand": [
                0,
                1,
                {
                    "u": [200, ["a", "b"], [[0, [200, 0]], [5, [100, 100]]]],
                    "v": [0.25, ["b"], [[5, [0.25]]]],
                },
            ]
        }

    def test_a_steady_demand_shows_its_rate(self, entry):
        entry.ask_steadily("a", 20.0, 5 * AVERAGING_TIME_S, cost=300)
        admitted, _, [[_, asked]] = entry.report()["demand"][2]["u"]
        assert [admitted] == asked == [pytest.approx(6000, rel=0.05)]

    def test_a_former_demand_fades_and_is_forgotten(self, entry):
        entry.ask("a", cost=400)
        entry.now += AVERAGING_TIME_S
        _, _, rows = entry.report()["demand"][2]["u"]
        assert rows == [[5, [round(100 / math.e)]]]
        entry.now += 60.0
        assert entry.report() == {"demand": [0, 2, {}]}
        assert not entry.demand.asked

    def test_the_largest_rates_of_very_many_are_reported(self, entry):
        for i in range(workspace_demand.MAX_REPORTED + 1):
            entry.ask(f"w{i}", cost=4 + i)
        _, workspaces, _ = entry.report()["demand"][2]["u"]
        assert len(workspaces) == workspace_demand.MAX_REPORTED
        assert "w0" not in workspaces


class TestReports:
    def test_confirmed_rates_are_not_sent_again(self, entry):
        entry.ask("a")
        entry.report()
        entry.receive({}, revision=3)
        assert entry.report() == {"demand": [3, 1]}
        entry.now += INTERVAL_S
        assert len(entry.report()["demand"]) == 3

    def test_rates_whose_reply_was_lost_are_sent_again(self, entry):
        entry.ask("a")
        assert entry.report() == entry.report()

    def test_an_idle_entry_sends_no_rates(self, entry):
        for _ in range(3):
            entry.now += INTERVAL_S
            assert entry.report() == {"demand": [0, 0]}


class TestExcess:
    def test_only_those_over_their_shares_have_one(self, entry):
        entry.receive({"u": {"a": 5}})
        assert entry.excess("a") == demand_fields.factor(5)
        assert entry.excess("b") == entry.excess("a", "v") == 1.0
        assert 'workspace="a"} 249' in entry.metrics.render()

    def test_it_is_unknown_at_first(self, entry):
        assert entry.excess("a") == 1.0

    def test_it_ages_out_in_a_cut(self, entry):
        entry.receive({"u": {"a": 5}})
        entry.now += workspace_demand.MAX_AGE_S
        assert entry.excess("a") > 1.0
        entry.now += 0.1
        assert entry.excess("a") == 1.0

    def test_news_of_few_entries_does_not_replace_that_of_most(self, entry):
        other = report_feed.ReportFeed()
        entry.receive({"u": {"a": 5}})
        entry.receive({"u": {"b": 5}}, entry_count=30, feed=other)
        assert entry.excess("a") > 1.0
        assert entry.excess("b") == 1.0
        entry.now += workspace_demand.MAX_AGE_S + 0.1
        entry.receive({"u": {"b": 5}}, entry_count=30, feed=other)
        assert entry.excess("b") > 1.0

    @pytest.mark.parametrize(
        "shares",
        [None, 1, [], [1, 80], ["x", 80, {}], [1, -1, {}], [1, 80, []]]
        + [[1, 80, {"u": 1}], [1, 80, {"u": ["a"]}]]
        + [[1, 80, {"u": {"a": v}}] for v in (-1, 1.5, "x", None, 99, True)],
    )
    def test_odd_shares_are_ignored(self, entry, shares):
        workspace_demand.record_reply(
            entry.demand,
            entry.feed,
            {"shares": shares},
            entry.now,
            entry.metrics,
        )
        assert entry.excess("a") == 1.0

    def test_shares_of_a_later_build_are_read(self, entry):
        workspace_demand.record_reply(
            entry.demand,
            entry.feed,
            {"shares": [1, 80, {"u": {"a": 5}, "v": 7}, "later"]},
            entry.now,
            entry.metrics,
        )
        assert entry.excess("a") > 1.0
