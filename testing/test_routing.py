"""Upstream table, prefix index, choice of upstream and version shares."""

import entry_fixtures
import hypothesis
import hypothesis.strategies as st
import pytest

from _arbutuswalk.routing import announcements
from _arbutuswalk.routing import choose
from _arbutuswalk.routing import prefixes
from _arbutuswalk.routing import upstreams
from _arbutuswalk.routing import version_outcomes
from _arbutuswalk.routing import versions


def row(identity, running=0, slots=4, cache_tokens=4096, price=0):
    announcement = entry_fixtures.make_announcement(
        identity,
        "model",
        running=running,
        slots=slots,
        cache_tokens=cache_tokens,
    )
    new_row = upstreams.Row(announcement=announcement, announced_at=0.0)
    new_row.price_micro_per_hour = price
    return new_row


class TestAnnouncements:
    def test_valid_announcement_is_returned_unchanged(self):
        raw = entry_fixtures.make_announcement("u", "model")
        assert announcements.check(raw) == raw

    @pytest.mark.parametrize("key", ["id", "address", "incarnation", "slots"])
    def test_missing_key_is_named(self, key):
        raw = entry_fixtures.make_announcement("u", "model")
        del raw[key]
        bad = announcements.check(raw)
        assert isinstance(bad, announcements.BadAnnouncement)
        assert key in bad.problems[0]

    @pytest.mark.parametrize("raw", [None, [], "x", 7, {}])
    def test_other_values_are_rejected(self, raw):
        bad = announcements.check(raw)
        assert isinstance(bad, announcements.BadAnnouncement)


@pytest.fixture
def table():
    upstream_table = upstreams.Table()
    upstreams.announce(
        upstream_table,
        entry_fixtures.make_announcement("u", "model"),
        announced_at=10.0,
    )
    return upstream_table


class TestUpstreamTable:
    def test_identity_of_another_is_refused(self, table):
        other = entry_fixtures.make_announcement(
            "u", "model", address="127.0.0.1:66", sequence=9
        )
        outcome = upstreams.announce(table, other, announced_at=10.1)
        assert isinstance(outcome, upstreams.Refused)
        assert table.rows["u"].announcement["address"] == "127.0.0.1:9"

    def test_new_incarnation_may_be_elsewhere(self, table):
        other = entry_fixtures.make_announcement(
            "u", "model", address="1.1.1.1:1", incarnation=2
        )
        outcome = upstreams.announce(table, other, announced_at=10.1)
        assert isinstance(outcome, upstreams.Joined)
        assert outcome.replaced is not None

    def test_old_incarnation_is_refused(self, table):
        newer = entry_fixtures.make_announcement("u", "model", incarnation=5)
        upstreams.announce(table, newer, announced_at=10.1)
        outcome = upstreams.announce(
            table,
            entry_fixtures.make_announcement("u", "model", sequence=99),
            announced_at=10.2,
        )
        assert isinstance(outcome, upstreams.Refused)

    def test_older_announcement_changes_nothing(self, table):
        newer = entry_fixtures.make_announcement(
            "u", "model", sequence=5, running=3
        )
        upstreams.announce(table, newer, announced_at=11.0)
        older = entry_fixtures.make_announcement(
            "u", "model", sequence=4, running=1
        )
        upstreams.announce(table, older, announced_at=12.0)
        assert table.rows["u"].announcement["running"] == 3
        assert table.rows["u"].announced_at == 11.0

    def test_missed_heartbeats_make_suspect_then_gone(self, table):
        assert upstreams.usable(table, "model", 11.0)
        assert not upstreams.usable(table, "model", 11.9)
        assert table.rows
        gone = upstreams.expire(table, 14.1)
        assert [g.row.announcement["id"] for g in gone] == ["u"]
        assert not table.rows

    def test_leaving_upstream_gets_no_new_requests(self, table):
        leaving = entry_fixtures.make_announcement(
            "u", "model", sequence=2, leaving=True, leave_in_s=3.0
        )
        outcome = upstreams.announce(table, leaving, announced_at=10.5)
        assert outcome.now_leaving
        assert not upstreams.usable(table, "model", 10.5)

    def test_platform_notice_marks_all_on_the_instance(self, table):
        (marked,) = upstreams.mark_leaving(table, {"i-u": 3.0}, 10.0)
        assert marked.leaves_at == 13.0
        assert upstreams.mark_leaving(table, {"i-u": 3.0}, 10.0) == []
        assert not upstreams.usable(table, "model", 10.0)

    def test_load_is_the_announced_one_plus_later_attempts(self, table):
        known_row = table.rows["u"]
        known_row.sent_since_report = 3
        known_row.ended_since_report = 1
        assert known_row.load == 2
        fresh = entry_fixtures.make_announcement(
            "u", "model", sequence=2, running=2
        )
        upstreams.announce(table, fresh, announced_at=10.4)
        assert known_row.load == 2


class TestPrefixIndex:
    def test_shared_start_shares_hashes(self):
        a = prefixes.hash_blocks("x" * 1000 + "a" * 600)
        b = prefixes.hash_blocks("x" * 1000 + "b" * 600)
        assert a[:3] == b[:3]
        assert a[3] != b[3]

    def test_index_forgets_the_least_recently_used(self):
        index = prefixes.PrefixIndex(capacity_tokens=2 * prefixes.BLOCK_TOKENS)
        index.record(["a", "b"])
        index.record(["a", "c"])
        assert index.match(["a", "c"]) == 2
        assert index.match(["b"]) == 0

    def test_gap_lowers_trust_and_keeps_the_index(self):
        index = prefixes.PrefixIndex(capacity_tokens=6400)
        index.apply_event(1, ["a"], [])
        index.apply_event(4, ["b"], [])
        assert index.match(["a", "b"]) == 2
        assert index.trust == 0.5
        index.apply_event(3, [], ["a"])
        assert index.match(["a"]) == 1

    def test_removed_blocks_are_forgotten(self):
        index = prefixes.PrefixIndex(capacity_tokens=6400)
        index.apply_event(1, ["a", "b"], [])
        index.apply_event(2, [], ["a"])
        assert index.match(["a"]) == 0


def features(text="y" * 2000):
    return choose.features_of(text)


class TestChoose:
    def test_none_is_chosen_when_all_slots_are_taken(self):
        assert choose.choose([row("a", running=4)], features()) is None

    def test_warm_cache_is_preferred(self):
        rows = [row(name) for name in "abc"]
        rows[1].prefix_index.record(features().blocks)
        assert choose.choose(rows, features()) is rows[1]

    def test_overloaded_upstream_with_warm_cache_is_not_chosen(self):
        rows = [row("a", running=14, slots=16), row("b", slots=16)]
        short = features("y" * 300)
        rows[0].prefix_index.record(short.blocks)
        assert choose.choose(rows, short) is rows[1]

    def test_entries_choose_alike_without_communication(self):
        first = [row(name) for name in "abcde"]
        second = [row(name) for name in "edcba"]
        chosen = [choose.choose(r, features()) for r in (first, second)]
        assert chosen[0].announcement["id"] == chosen[1].announcement["id"]

    def test_more_expensive_instance_is_used_last(self):
        rows = [row("a", price=3000), row("b", price=1000)]
        assert choose.choose(rows, features()) is rows[1]

    def test_avoided_upstream_is_used_if_no_other_is_free(self):
        rows = [row("a"), row("b", running=4)]
        avoid = frozenset([rows[0].key])
        assert choose.choose(rows, features(), avoid=avoid) is rows[0]

    @hypothesis.given(
        st.lists(st.integers(0, 5), min_size=1, max_size=6), st.text()
    )
    def test_never_a_full_one(self, loads, prompt):
        rows = [row(str(i), running=n) for i, n in enumerate(loads)]
        chosen = choose.choose(rows, choose.features_of(prompt))
        if chosen is None:
            assert all(n >= 4 for n in loads)
        else:
            assert chosen.load < 4


def make_view(share):
    return {
        "versions": {"model": "v1"},
        "live": {
            "m": {
                "upstream": "model",
                "old": "v1",
                "new": "v2",
                "shares": {"chat": share},
            }
        },
    }


class TestVersionShares:
    def test_without_a_move_all_go_to_the_version_in_use(self):
        view = {"versions": {"model": "v1"}, "live": {}}
        assert versions.pick_version(view, "model", "chat", "r") == ("v1", "")

    def test_new_version_gets_its_share(self):
        picks = [
            versions.pick_version(make_view(100), "model", "chat", f"r{i}")[0]
            for i in range(5000)
        ]
        assert 400 < picks.count("v2") < 600

    def test_request_keeps_its_version_as_the_share_grows(self):
        for i in range(300):
            name = f"r{i}"
            if (
                versions.pick_version(make_view(50), "model", "chat", name)[0]
                == "v2"
            ):
                later = versions.pick_version(
                    make_view(500), "model", "chat", name
                )
                assert later[0] == "v2"

    def test_only_the_new_version_has_a_fallback(self):
        assert versions.pick_version(make_view(1000), "model", "chat", "r") == (
            "v2",
            "v1",
        )
        assert versions.pick_version(make_view(0), "model", "chat", "r") == (
            "v1",
            "",
        )


NEW_VERSION = version_outcomes.OutcomeKey("model", "v2", "chat")
OLD_VERSION = version_outcomes.OutcomeKey("model", "v1", "chat")


def record_outcome(outcomes, key, failed, latency=0.1):
    return outcomes.record(
        key,
        failed=failed,
        latency_s=latency,
        baseline=OLD_VERSION,
        is_new_version=key == NEW_VERSION,
    )


class TestVersionOutcomes:
    def test_failing_version_is_cut_off_at_the_third_error(self):
        outcomes = version_outcomes.VersionOutcomes()
        cuts = [record_outcome(outcomes, NEW_VERSION, True) for _ in range(4)]
        assert cuts == [False, False, True, False]
        assert NEW_VERSION in outcomes.cut_off

    def test_old_version_is_never_cut_off(self):
        outcomes = version_outcomes.VersionOutcomes()
        assert not any(
            record_outcome(outcomes, OLD_VERSION, True) for _ in range(20)
        )

    def test_errors_of_both_versions_cause_no_cut_off(self):
        outcomes = version_outcomes.VersionOutcomes()
        for _ in range(30):
            record_outcome(outcomes, OLD_VERSION, True)
        assert not any(
            record_outcome(outcomes, NEW_VERSION, True) for _ in range(4)
        )

    def test_slow_is_measured_against_the_old_version(self):
        outcomes = version_outcomes.VersionOutcomes()
        for _ in range(40):
            record_outcome(outcomes, OLD_VERSION, False, 0.1)
        record_outcome(outcomes, NEW_VERSION, False, 0.15)
        record_outcome(outcomes, NEW_VERSION, False, 0.5)
        assert outcomes.counts_for(NEW_VERSION).slow == 1
        assert outcomes.counts_for(NEW_VERSION).timed == 2

    def test_without_a_baseline_latencies_are_not_compared(self):
        outcomes = version_outcomes.VersionOutcomes()
        record_outcome(outcomes, NEW_VERSION, False, 9.0)
        assert outcomes.counts_for(NEW_VERSION).timed == 0
