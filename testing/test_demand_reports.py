"""Demand of many entries, summed by control processes, without I/O."""

import pytest
import test_duties
import test_status_feeds
import test_workspace_demand

from _arbutuswalk.base import events
from _arbutuswalk.base import metrics
from _arbutuswalk.control import demand_reports
from _arbutuswalk.control import discovery as discoveries
from _arbutuswalk.control import report_checks
from _arbutuswalk.relay import report_feed
from _arbutuswalk.relay import workspace_demand
from _arbutuswalk.wire import demand_fields

ENTRY_COUNT = 80
STEP_S = 0.4
USUAL_PER_S = 100.0
NAMES = [f"w{i}" for i in range(8)]
FADING_S = 16.0
"""Time in which a burst of 600 a second averages out to less than a twentieth
of the usual 800 a second, and is reported."""
SERVED = 0.6
"""Share of what is asked that is admitted in a shortage."""


class Group:
    """Entries that report to one control process, with one clock."""

    def __init__(self, entry_count=ENTRY_COUNT):
        self.entries = {
            f"n{i}": test_workspace_demand.Entry() for i in range(entry_count)
        }
        self.now = 100.0
        self.restart()

    def restart(self):
        """Starts the control process; entries connect anew."""
        self.metrics = metrics.Metrics()
        self.reports = demand_reports.DemandReports(metrics=self.metrics)
        for entry in self.entries.values():
            entry.feed = report_feed.ReportFeed()

    def watch(self, name, incarnation=1):
        """Sends a report and its reply; returns both."""
        entry = self.entries[name]
        report = entry.report()
        assert not report_checks.find_problem(report)
        self.reports.record((name, incarnation), report, self.now)
        since = report["demand"][0]
        news = self.reports.parts(None, since, self.now)
        workspace_demand.record_reply(
            entry.demand, entry.feed, news, self.now, entry.metrics
        )
        return report, news

    def advance(self, duration_s):
        self.now += duration_s
        for entry in self.entries.values():
            entry.now = self.now

    def run(self, duration_s, hot="", factor=7.0, served=SERVED):
        """Lets every entry receive its part of the demand."""
        for _ in range(round(duration_s / STEP_S)):
            self.advance(STEP_S)
            for i, name in enumerate(self.entries):
                entry = self.entries[name]
                for workspace in NAMES:
                    rate = USUAL_PER_S * (factor if workspace == hot else 1)
                    cost = rate * STEP_S / len(self.entries)
                    entry.ask(workspace, cost=cost, share=served)
                if i % 3 != round(self.now / STEP_S) % 3:
                    self.watch(name)

    def asked(self, workspace):
        """Returns the summed rate of a workspace."""
        return self.reports.demand["u"].asked[workspace][5]

    def sum_now(self):
        self.reports.updated_at = self.now
        self.reports._add_up(self.now)

    def excess_at(self, name):
        """Returns the workspaces over their shares, as an entry knows it."""
        entry = self.entries[name]
        found = {workspace: entry.excess(workspace) for workspace in NAMES}
        return {key: value for key, value in found.items() if value > 1.0}


@pytest.fixture(name="group")
def make_group():
    return Group()


class TestSums:
    def test_they_cover_all_entries(self, group):
        group.run(20.0)
        assert group.reports.entry_count == ENTRY_COUNT
        assert group.asked("w0") == pytest.approx(USUAL_PER_S, rel=0.1)
        assert group.reports.demand["u"].admitted == pytest.approx(
            SERVED * USUAL_PER_S * len(NAMES), rel=0.1
        )

    def test_a_lost_a_repeated_and_a_reordered_report_change_nothing(self):
        group = Group(entry_count=2)
        for name in group.entries:
            group.entries[name].ask("a", cost=400)
        former, _ = group.watch("n0")
        lost = group.entries["n1"].report()
        group.advance(workspace_demand.REPORT_INTERVAL_S)
        group.entries["n0"].ask("a", cost=400)
        group.entries["n1"].ask("a", cost=400)
        report, _ = group.watch("n0")
        assert group.watch("n1")[0]["demand"][1] > lost["demand"][1]
        for again in (report, former):
            group.reports.record(("n0", 1), again, group.now)
        group.sum_now()
        assert group.asked("a") == pytest.approx(2 * 160, rel=0.02)

    def test_a_late_report_of_a_former_process_does_not_count(self):
        group = Group(entry_count=1)
        group.entries["n0"].ask("a", cost=400)
        late = group.entries["n0"].report()
        group.entries["n0"] = test_workspace_demand.Entry()
        group.entries["n0"].ask("a", cost=4)
        group.watch("n0", incarnation=2)
        group.reports.record(("n0", 1), late, group.now)
        group.sum_now()
        assert group.asked("a") == 1

    def test_an_entry_that_dies_counts_for_some_seconds(self, group):
        group.run(20.0)
        dead = [f"n{i}" for i in range(20)]
        for name in dead:
            del group.entries[name]
        group.run(demand_reports.REPORT_RETENTION_S + 3 * STEP_S)
        group.run(demand_reports.UPDATE_INTERVAL_S)
        assert group.reports.entry_count == ENTRY_COUNT - len(dead)
        group.run(demand_reports.ENTRY_RETENTION_S)
        assert not group.reports.received.keys() & set(dead)


class TestShares:
    def test_seven_times_the_usual_leaves_the_others_alone(self, group):
        group.run(20.0, hot="w0")
        for name in group.entries:
            excess = group.excess_at(name)
            assert excess.keys() == {"w0"}
            share = (
                SERVED * (len(NAMES) + 6) * USUAL_PER_S
                - (len(NAMES) - 1) * USUAL_PER_S
            )
            assert excess["w0"] == pytest.approx(
                7 * USUAL_PER_S / share, rel=demand_fields.STEP - 1
            )
        assert 'workspace="w0"} ' in group.metrics.render()

    def test_it_is_inside_its_share_again_soon_after(self, group):
        group.run(20.0, hot="w0")
        group.run(FADING_S, served=1.0)
        assert not any(map(group.excess_at, group.entries))

    def test_both_changes_are_logged_once(self, group, monkeypatch):
        logged = []
        monkeypatch.setattr(events, "record", lambda *args: logged.append(args))
        group.run(20.0, hot="w0")
        group.run(FADING_S, served=1.0)
        event = events.Event.WORKSPACE_SHARE_CHANGED
        assert [fields[:3] for fields in logged] == [(event, "u", "w0")] * 2
        assert [fields[3] > 1.0 for fields in logged] == [True, False]

    def test_anonymous_requests_are_never_over_their_share(self, group):
        for entry in group.entries.values():
            entry.ask("", cost=4000, share=0.1)
        group.run(8.0, served=1.0)
        assert group.reports.revision
        assert not group.reports.table

    def test_unchanged_shares_are_sent_again_before_they_are_too_old(
        self, group
    ):
        group.run(20.0, hot="w0")
        for _ in range(5):
            group.run(workspace_demand.MAX_AGE_S / 2, hot="w0")
            assert group.excess_at("n0")

    def test_an_entry_that_has_just_started_is_sent_them_at_once(self, group):
        group.run(20.0, hot="w0")
        group.entries["new"] = test_workspace_demand.Entry()
        group.advance(0.1)
        group.watch("new")
        assert group.excess_at("new").keys() == {"w0"}

    def test_a_restart_sends_nothing_until_all_entries_have_reported(
        self, group
    ):
        group.run(20.0, hot="w0")
        group.restart()
        group.advance(0.1)
        for name in group.entries:
            assert group.watch(name)[1] == {}
        assert group.excess_at("n0")
        group.run(demand_reports.SETTLING_TIME_S, hot="w0")
        assert group.reports.entry_count == ENTRY_COUNT
        group.run(workspace_demand.MAX_AGE_S, hot="w0")
        assert group.excess_at("n0").keys() == {"w0"}

    def test_a_pause_of_control_empties_no_shares(self, group):
        group.run(20.0, hot="w0")
        group.advance(workspace_demand.MAX_AGE_S)
        table = group.reports.table
        for name in group.entries:
            assert "shares" not in group.watch(name)[1]
        assert group.reports.table is table


class TestSteps:
    @pytest.mark.parametrize(
        ("factor", "before", "expected"),
        [(1.3, 0, 0), (1.33, 0, 2), (1.3, 1, 1), (1.04, 1, 0), (1.06, 1, 1)]
        + [(100.0, 0, 25), (1.0, 25, 0)],
    )
    def test_they_change_only_by_more_than_chance(
        self, factor, before, expected
    ):
        assert demand_fields.steps(factor, before) == expected


class TestWatches:
    def exchange(self, *, rejects_late):
        group = test_status_feeds.Group()
        relay = group.relay
        relay.options = relay.options._replace(rejects_late=rejects_late)
        for _ in range(20):
            for workspace, cost in (("a", 700), ("b", 100)):
                args = relay.workspace_demand, "u", workspace, 5
                workspace_demand.record_asked(*args, cost, group.clock())
                workspace_demand.record_admitted(*args, 100, group.clock())
            replies = group.exchange_all()
            group.clock.time += STEP_S
        return group, replies

    def test_shares_come_back_if_late_requests_are_rejected(self):
        group, _ = self.exchange(rejects_late=True)
        demand = group.relay.workspace_demand
        excess = workspace_demand.excess(demand, "u", "a", group.clock())
        assert excess == pytest.approx(7, rel=0.25)
        assert workspace_demand.excess(demand, "u", "b", group.clock()) == 1.0

    def test_other_deployments_exchange_nothing(self):
        group, replies = self.exchange(rejects_late=False)
        assert not any("shares" in news for news in replies.values())
        for discovery in group.discoveries.values():
            (entry,) = discovery.entries.values()
            assert "demand" not in entry.report
            assert not discovery.demand.received

    def test_a_control_process_of_a_former_build_is_told_once(self):
        """It ignores the field and sends none."""
        entry = test_workspace_demand.Entry()
        entry.ask("a")
        entry.report()
        workspace_demand.record_reply(
            entry.demand, entry.feed, {}, entry.now, entry.metrics
        )
        assert entry.report() == {"demand": [0, 1]}
        assert entry.excess("a") == 1.0

    @pytest.mark.parametrize(("revision", "since"), [(0, 0), (4, 7)])
    def test_a_revision_of_a_former_process_does_not_count(
        self, revision, since
    ):
        report = {"status_since": 0, "demand": [7, 1]}
        wanted = discoveries.watch_updates.wanted_by(report, revision)
        assert wanted.shares_since == since

    def test_an_entry_of_a_former_build_is_sent_none(self):
        discovery = discoveries.Discovery(member=test_duties.FakeMember())
        discovery.demand.revision = 3
        report = {"status_since": 0, "speeds": [0, 0, []]}
        wanted = discoveries.watch_updates.wanted_by(report, 1)
        assert wanted.shares_since is None
        assert discovery.demand.parts(None, wanted.shares_since, 1.0) == {}

    @pytest.mark.parametrize(
        "value",
        [1, {}, [], [1], [1, "x"], [1, 1, []], [-1, 1], [1, 1, {"u": 1}]]
        + [[1, 1, {"u": fields}] for fields in ([1, ["a"]], [1, [2], []])]
        + [[1, 1, {"u": [rate, [], []]}] for rate in (1e99, -1, "x")]
        + [
            [1, 1, {"u": [1, ["a"], [row]]}]
            for row in ([], [1], [1, 2], ["x", []], [0.5, []], [-1, []])
            + ([1, [-1]], [1, ["x"]], [1, [float("nan")]], [1, [1e99]])
        ],
    )
    def test_odd_demand_is_refused(self, value):
        assert report_checks.find_problem({"demand": value})

    def test_demand_of_a_later_build_is_read(self):
        fields = {"u": [1, ["a"], [[5, [2.5, 9], "later"]], "later"]}
        report = {"demand": [0, 1, fields, "later"]}
        assert not report_checks.find_problem(report)
        reports = demand_reports.DemandReports(metrics=metrics.Metrics())
        reports.record(("n", 1), report, 1.0)
        reports._add_up(1.0)
        assert reports.demand["u"].asked == {"a": {5: 2.5}}
