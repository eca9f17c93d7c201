"""What is blamed for the deaths of endpoints, and how long it is refused."""

import pytest

from _arbutuswalk.control import crash_reports
from _arbutuswalk.control import entry_reports
from _arbutuswalk.routing import crash_blame
from _arbutuswalk.routing import refusals

NEVER = crash_blame.NO_SUCCESS
TIMES = [float(second) for second in range(1, 9)]

DEATHS = {"f": {"a/1": 3.0, "b/1": 2.0, "c/1": 1.0}}


def make_deaths(**times_by_key):
    """Returns deaths of the starts a, b, c and so on by key."""
    return {
        key: {
            start: at
            for start, at in zip("abcdefgh", times, strict=False)
            if at is not None
        }
        for key, times in times_by_key.items()
    }


def find_keys(deaths, successes, refused=()):
    blamed = crash_blame.find_blamed(deaths, successes, refused)
    return [blame.key for blame in blamed]


class TestFindBlamed:
    @pytest.mark.parametrize(
        ("key", "last_success", "enough"),
        [
            ("f", NEVER, crash_blame.REQUEST_DEATHS),
            ("part/p", NEVER, crash_blame.PART_DEATHS),
            ("f", 0.5, crash_blame.DEATHS_AFTER_SUCCESS),
            ("part/p", 0.5, crash_blame.DEATHS_AFTER_SUCCESS),
        ],
    )
    def test_only_enough_deaths_are_no_coincidence(
        self, key, last_success, enough
    ):
        for count in range(8):
            deaths = make_deaths(**{key: TIMES[:count]})
            found = find_keys(deaths, {key: last_success})
            assert found == ([key] if count >= enough else [])

    def test_deaths_before_a_success_do_not_count(self):
        deaths = make_deaths(f=TIMES)
        assert find_keys(deaths, {"f": 2.5}) == ["f"]
        assert find_keys(deaths, {"f": 3.5}) == []

    def test_it_is_not_blamed_before_all_entries_have_reported(self):
        assert find_keys(make_deaths(f=TIMES), {}) == []

    def test_endpoints_that_fail_together_count_once(self):
        at_once = [1.0, 1.1, 1.2, 1.21, 1.22, 1.23]
        deaths = make_deaths(f=at_once)
        assert find_keys(deaths, {"f": 0.9}) == []
        assert find_keys(deaths, {"f": NEVER}) == []

    def test_they_all_count_beside_another_moment_without_a_success(self):
        deaths = make_deaths(f=[1.0, 1.1, 2.0])
        assert find_keys(deaths, {"f": NEVER}) == ["f"]

    def test_what_has_succeeded_before_is_not_blamed_beside_what_never_has(
        self,
    ):
        deaths = make_deaths(common=TIMES, p=TIMES[:6])
        successes = {"common": 0.9, "p": NEVER}
        assert find_keys(deaths, successes) == ["p", "common"]
        deaths = make_deaths(common=TIMES, p=TIMES[:7])
        assert find_keys(deaths, successes) == ["p"]

    def test_a_request_is_blamed_before_its_parts(self):
        deaths = make_deaths(**{"part/p": TIMES[:4], "z": TIMES[:4]})
        successes = {"part/p": NEVER, "z": NEVER}
        assert find_keys(deaths, successes) == ["z"]

    def test_its_part_is_blamed_after_two_deaths_without_the_request(self):
        successes = {"f": NEVER, "part/p": NEVER}
        deaths = make_deaths(**{"f": TIMES[:3], "part/p": TIMES[:4]})
        assert find_keys(deaths, successes, refused=["f"]) == []
        deaths = make_deaths(**{"f": TIMES[:3], "part/p": TIMES[:5]})
        assert find_keys(deaths, successes, refused=["f"]) == ["part/p"]

    def test_two_causes_are_both_blamed(self):
        first, second = TIMES[:3], 3 * [None] + TIMES[3:6]
        deaths = make_deaths(f=first, g=second, common=TIMES[:6])
        successes = {"f": NEVER, "g": NEVER, "common": 0.5}
        assert find_keys(deaths, successes) == ["f", "g"]

    def test_the_number_of_candidates_is_bounded(self):
        deaths = make_deaths(
            **{f"p{number}": [1.0, 2.0] for number in range(1000)},
            worst=[1.0, 2.0, 3.0],
        )
        candidates = crash_blame.find_candidates(deaths)
        assert len(candidates) == crash_blame.MAX_CANDIDATES
        assert candidates[0] == "worst"


class TestReports:
    """One control process that merges the reports of all entries."""

    def make_entry(self, at, deaths=None, **report):
        report["deaths"] = deaths or {}
        return entry_reports.KnownEntry(1, 0, report, at)

    def test_one_death_seen_by_many_entries_counts_once(self):
        reports = crash_reports.CrashReports()
        entries = [
            self.make_entry(10.0, {"f": {"a/1": 1.0}}, successes={"f": None})
            for _ in range(5)
        ]
        for now in (10.0, 12.0):
            reports.decide(entries, now)
        assert not reports.refusals.rows

    def test_deaths_at_several_entries_are_summed(self):
        reports = crash_reports.CrashReports()
        found = []
        for now in (10.0, 11.5):
            successes = dict.fromkeys(reports.candidates)
            entries = [
                self.make_entry(
                    now, {"f": {start: now - at}}, successes=successes
                )
                for start, at in (("a/1", 7.0), ("b/1", 8.0), ("c/1", 9.0))
            ]
            reports.decide(entries, now)
            found.append(set(reports.refusals.rows))
        assert found == [set(), {"f"}]

    @pytest.mark.parametrize(("late_s", "blamed"), [(0.0, False), (5.0, True)])
    def test_only_a_silent_entry_is_not_waited_for(self, late_s, blamed):
        reports = crash_reports.CrashReports()
        for now in (10.0, 11.5):
            entries = [
                self.make_entry(now, DEATHS, successes={"f": None}),
                self.make_entry(now - late_s, successes={}),
            ]
            reports.decide(entries, now)
        assert ("f" in reports.refusals.rows) == blamed

    def test_a_former_versions_entry_is_not_waited_for(self):
        reports = crash_reports.CrashReports()
        for now in (10.0, 11.5):
            entries = [
                self.make_entry(now, DEATHS, successes={"f": None}),
                self.make_entry(now, {"f": ["d/1"]}),
            ]
            reports.decide(entries, now)
        assert "f" in reports.refusals.rows

    def test_a_success_at_any_entry_clears(self):
        reports = crash_reports.CrashReports()
        for now in (10.0, 11.5):
            entries = [
                self.make_entry(now, DEATHS, successes={"f": None}),
                self.make_entry(now, successes={"f": 0.5}),
            ]
            reports.decide(entries, now)
        assert not reports.refusals.rows


class TestRefusals:
    def test_a_refusal_lasts_while_such_requests_come(self):
        table = refusals.Refusals()
        table.add("f", 0.0)
        for now in range(50, 301, 50):
            table.expire(now)
            assert table.find(["e", "f"], now) == "f"
        table.expire(300 + refusals.RETENTION_S + 1.0)
        assert table.find(["f"], 400.0) == ""

    def test_it_ends_some_time_after_the_last_blame(self):
        table = refusals.Refusals()
        table.add("f", 0.0)
        for now in range(0, int(refusals.MAX_DURATION_S) + 2):
            table.find(["f"], now)
            table.expire(now)
        assert not table.rows

    def test_tables_of_several_processes_converge(self):
        first, second = refusals.Refusals(), refusals.Refusals()
        first.add("f", 10.0)
        second.add("f", 1005.0)
        second.add("g", 1000.0)
        assert first.merge(second.to_json(1020.0), 25.0) == ["g"]
        assert second.merge(first.to_json(26.0), 1021.0) == []
        assert first.rows == {
            "f": refusals.Refusal(10.0, 10.0),
            "g": refusals.Refusal(5.0, 5.0),
        }
        assert second.rows["f"] == refusals.Refusal(1005.0, 1005.0)

    def test_the_keys_of_a_former_version_are_taken_except_parts(self):
        table = refusals.Refusals()
        assert table.merge(["f", "part/p"], 10.0) == ["f"]
        assert table.merge({"part/q": [1.0, 1.0]}, 10.0) == ["part/q"]
        assert table.rows.keys() == {"f", "part/q"}

    def test_an_old_table_revives_no_refusal(self):
        table = refusals.Refusals()
        old = {"f": [70.0, refusals.RETENTION_S + 1.0]}
        table.merge(old, 100.0)
        assert not table.rows
