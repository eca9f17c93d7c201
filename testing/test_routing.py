"""Upstream table, prefix index, choice and version shares."""

import entry_fixtures
import hypothesis
import hypothesis.strategies as st
import pytest

from _arbutuswalk.routing import announcements
from _arbutuswalk.routing import choose
from _arbutuswalk.routing import evidence
from _arbutuswalk.routing import prefixes
from _arbutuswalk.routing import upstreams
from _arbutuswalk.routing import versions


def row(identity, running=0, slots=4, cache_tokens=4096, price=0):
    said = entry_fixtures.said(
        identity,
        "model",
        running=running,
        slots=slots,
        cache_tokens=cache_tokens,
    )
    made = upstreams.Row(said=said, heard_at=0.0)
    made.price = price
    return made


class TestAnnouncements:
    def test_good_one_is_completed(self):
        raw = entry_fixtures.said("u", "model")
        assert announcements.check(raw) == raw

    @pytest.mark.parametrize("key", ["id", "address", "incarnation", "slots"])
    def test_missing_key_is_named(self, key):
        raw = entry_fixtures.said("u", "model")
        del raw[key]
        bad = announcements.check(raw)
        assert isinstance(bad, announcements.BadAnnouncement)
        assert key in bad.problems[0]

    @pytest.mark.parametrize("raw", [None, [], "x", 7, {}])
    def test_anything_else_is_refused(self, raw):
        bad = announcements.check(raw)
        assert isinstance(bad, announcements.BadAnnouncement)


@pytest.fixture
def table():
    made = upstreams.Table()
    upstreams.announce(made, entry_fixtures.said("u", "model"), heard_at=10.0)
    return made


class TestTable:
    def test_identity_of_another_is_refused(self, table):
        other = entry_fixtures.said(
            "u", "model", address="127.0.0.1:66", sequence=9
        )
        outcome = upstreams.announce(table, other, heard_at=10.1)
        assert isinstance(outcome, upstreams.Refused)
        assert table.rows["u"].said["address"] == "127.0.0.1:9"

    def test_new_incarnation_may_be_elsewhere(self, table):
        other = entry_fixtures.said(
            "u", "model", address="1.1.1.1:1", incarnation=2
        )
        outcome = upstreams.announce(table, other, heard_at=10.1)
        assert isinstance(outcome, upstreams.Joined)
        assert outcome.replaced is not None

    def test_old_incarnation_is_refused(self, table):
        newer = entry_fixtures.said("u", "model", incarnation=5)
        upstreams.announce(table, newer, heard_at=10.1)
        outcome = upstreams.announce(
            table, entry_fixtures.said("u", "model", sequence=99), heard_at=10.2
        )
        assert isinstance(outcome, upstreams.Refused)

    def test_late_news_change_nothing(self, table):
        newer = entry_fixtures.said("u", "model", sequence=5, running=3)
        upstreams.announce(table, newer, heard_at=11.0)
        older = entry_fixtures.said("u", "model", sequence=4, running=1)
        upstreams.announce(table, older, heard_at=12.0)
        assert table.rows["u"].said["running"] == 3
        assert table.rows["u"].heard_at == 11.0

    def test_missed_heartbeats_make_suspect_then_gone(self, table):
        assert upstreams.usable(table, "model", 11.0)
        assert not upstreams.usable(table, "model", 11.9)
        assert table.rows
        gone = upstreams.expire(table, 14.1)
        assert [g.row.said["id"] for g in gone] == ["u"]
        assert not table.rows

    def test_leaving_upstream_gets_nothing_at_once(self, table):
        leaving = entry_fixtures.said(
            "u", "model", sequence=2, leaving=True, leave_in_s=3.0
        )
        outcome = upstreams.announce(table, leaving, heard_at=10.5)
        assert outcome.now_leaving
        assert not upstreams.usable(table, "model", 10.5)

    def test_platform_notice_marks_all_on_the_instance(self, table):
        (marked,) = upstreams.mark_leaving(table, {"i-u": 3.0}, 10.0)
        assert marked.leaves_at == 13.0
        assert upstreams.mark_leaving(table, {"i-u": 3.0}, 10.0) == []
        assert not upstreams.usable(table, "model", 10.0)

    def test_load_is_the_report_and_what_was_sent_since(self, table):
        one = table.rows["u"]
        one.sent = 3
        one.ended = 1
        assert one.load == 2
        fresh = entry_fixtures.said("u", "model", sequence=2, running=2)
        upstreams.announce(table, fresh, heard_at=10.4)
        assert one.load == 2


class TestPrefixes:
    def test_shared_start_shares_hashes(self):
        a = prefixes.hash_blocks("x" * 1000 + "a" * 600)
        b = prefixes.hash_blocks("x" * 1000 + "b" * 600)
        assert a[:3] == b[:3]
        assert a[3] != b[3]

    def test_index_forgets_the_least_recently_used(self):
        index = prefixes.PrefixIndex(capacity_tokens=2 * prefixes.BLOCK_TOKENS)
        index.note(["a", "b"])
        index.note(["a", "c"])
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
    def test_nothing_when_all_slots_are_taken(self):
        assert choose.choose([row("a", running=4)], features()) is None

    def test_warm_cache_is_preferred(self):
        rows = [row(name) for name in "abc"]
        rows[1].index.note(features().blocks)
        assert choose.choose(rows, features()) is rows[1]

    def test_warm_but_crowded_is_left(self):
        rows = [row("a", running=14, slots=16), row("b", slots=16)]
        short = features("y" * 300)
        rows[0].index.note(short.blocks)
        assert choose.choose(rows, short) is rows[1]

    def test_entries_agree_without_talking(self):
        first = [row(name) for name in "abcde"]
        second = [row(name) for name in "edcba"]
        chosen = [choose.choose(r, features()) for r in (first, second)]
        assert chosen[0].said["id"] == chosen[1].said["id"]

    def test_dear_instance_is_used_last(self):
        rows = [row("a", price=3000), row("b", price=1000)]
        assert choose.choose(rows, features()) is rows[1]

    def test_avoided_one_is_better_than_none(self):
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


def moving(share):
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


class TestVersions:
    def test_without_a_move_all_go_to_the_version_in_use(self):
        view = {"versions": {"model": "v1"}, "live": {}}
        assert versions.pick(view, "model", "chat", "r") == ("v1", "")

    def test_share_is_kept(self):
        picks = [
            versions.pick(moving(100), "model", "chat", f"r{i}")[0]
            for i in range(5000)
        ]
        assert 400 < picks.count("v2") < 600

    def test_request_keeps_its_side_as_the_share_grows(self):
        for i in range(300):
            name = f"r{i}"
            if versions.pick(moving(50), "model", "chat", name)[0] == "v2":
                later = versions.pick(moving(500), "model", "chat", name)
                assert later[0] == "v2"

    def test_new_falls_back_to_old_and_never_the_other_way(self):
        assert versions.pick(moving(1000), "model", "chat", "r") == (
            "v2",
            "v1",
        )
        assert versions.pick(moving(0), "model", "chat", "r") == ("v1", "")


SIDE = evidence.Side("model", "v2", "chat")
OLD = evidence.Side("model", "v1", "chat")


def note(made, side, failed, latency=0.1):
    return made.note(
        side,
        failed=failed,
        latency_s=latency,
        baseline=OLD,
        on_trial=side == SIDE,
    )


class TestEvidence:
    def test_failing_version_is_cut_off_at_the_third(self):
        made = evidence.Evidence()
        cuts = [note(made, SIDE, True) for _ in range(4)]
        assert cuts == [False, False, True, False]
        assert SIDE in made.cut

    def test_old_version_is_never_cut(self):
        made = evidence.Evidence()
        assert not any(note(made, OLD, True) for _ in range(20))

    def test_shared_incident_is_not_the_new_versions_fault(self):
        made = evidence.Evidence()
        for _ in range(30):
            note(made, OLD, True)
        assert not any(note(made, SIDE, True) for _ in range(4))

    def test_slow_is_measured_against_the_old_version(self):
        made = evidence.Evidence()
        for _ in range(40):
            note(made, OLD, False, 0.1)
        note(made, SIDE, False, 0.15)
        note(made, SIDE, False, 0.5)
        assert made.counts_of(SIDE).slow == 1
        assert made.counts_of(SIDE).timed == 2

    def test_without_a_baseline_nothing_counts_as_quick(self):
        made = evidence.Evidence()
        note(made, SIDE, False, 9.0)
        assert made.counts_of(SIDE).timed == 0
