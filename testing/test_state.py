"""State machine: configuration, entries, quarantine, orders and charges."""

import entry_fixtures
import hypothesis
import hypothesis.strategies as st
import pytest

from _arbutuswalk.state import charges
from _arbutuswalk.state import commands
from _arbutuswalk.state import outcomes
from _arbutuswalk.state import state_machine
from _arbutuswalk.state import tables as rows
from _arbutuswalk.state import view


@pytest.fixture
def tables():
    return rows.Tables()


def apply(tables, command, at_ms=1):
    payload = state_machine.stamp(command, at_ms)
    return state_machine.apply(tables, payload, tables.applied + 1)


def configure(tables, operation, expected, operator="ann", **changes):
    inventory = {**entry_fixtures.INVENTORY, **changes}
    command = commands.Apply(operation, operator, expected, inventory)
    return apply(tables, command)


class TestConfiguration:
    def test_first_is_accepted(self, tables):
        assert configure(tables, "a", 0) == outcomes.Accepted(revision=1)

    def test_exactly_one_of_two_concurrent_operators_is_accepted(self, tables):
        first = configure(tables, "a", 0, "ann")
        second = configure(tables, "b", 0, "bob")
        assert isinstance(first, outcomes.Accepted)
        assert second == outcomes.Conflict(
            revision=1, operator="ann", operation="a"
        )

    def test_resend_returns_the_first_outcome_after_later_changes(self, tables):
        configure(tables, "a", 0)
        configure(tables, "b", 1)
        assert configure(tables, "a", 0) == outcomes.Accepted(revision=1)
        assert tables.revision == 2

    def test_resend_of_a_conflicting_operation_stays_a_conflict(self, tables):
        configure(tables, "a", 0)
        configure(tables, "b", 0)
        again = configure(tables, "b", 0)
        assert isinstance(again, outcomes.Conflict)
        assert tables.revision == 1

    def test_same_operation_with_another_body_is_refused(self, tables):
        configure(tables, "a", 0)
        outcome = configure(tables, "a", 0, domains=["d1", "d2", "d3"])
        assert isinstance(outcome, outcomes.Reused)

    @hypothesis.given(
        st.lists(
            st.tuples(st.sampled_from("abcdef"), st.integers(0, 4)),
            max_size=30,
        )
    )
    def test_revisions_only_grow_and_operations_count_once(self, sent):
        tables = rows.Tables()
        accepted = {}
        for operation, expected in sent:
            before = tables.revision
            outcome = configure(tables, operation, expected)
            assert tables.revision in (before, before + 1)
            if isinstance(outcome, outcomes.Accepted):
                known = accepted.setdefault(operation, outcome.revision)
                assert known == outcome.revision
        assert tables.revision == len(accepted)


class TestEntries:
    def test_restart_replaces_the_old_incarnation(self, tables):
        register(tables, 1)
        register(tables, 5)
        assert tables.entries["e"].incarnation == 5
        assert isinstance(register(tables, 3), outcomes.Stale)

    def test_gone_entry_must_register_a_new_incarnation(self, tables):
        register(tables, 1)
        apply(tables, commands.SetEntryState("e", 1, "gone"))
        assert isinstance(register(tables, 1), outcomes.Stale)
        assert isinstance(register(tables, 2), outcomes.Accepted)

    def test_state_change_of_an_old_incarnation_is_ignored(self, tables):
        register(tables, 1)
        register(tables, 2)
        apply(tables, commands.SetEntryState("e", 1, "gone"))
        assert tables.entries["e"].state == "serving"


def register(tables, incarnation):
    return apply(
        tables, commands.RegisterEntry("e", incarnation, "a", "l", "d", 1, "r")
    )


def report(tables, upstream, *fingerprints, incarnation=1):
    return apply(
        tables,
        commands.ReportDeath(upstream, incarnation, list(fingerprints)),
    )


class TestQuarantine:
    def test_first_death_makes_suspects_without_conviction(self, tables):
        report(tables, "u", "f", "g")
        assert set(tables.suspects) == {"f", "g"}
        assert tables.convicted == {}

    def test_second_death_convicts_the_suspect_that_ran_alone(self, tables):
        report(tables, "u", "f", "g")
        apply(tables, commands.Isolate("f", "v", 1, "e"))
        outcome = report(tables, "v", "f")
        assert isinstance(outcome, outcomes.Convicted)
        assert set(tables.convicted) == {"f"}
        assert set(tables.suspects) == {"g"}

    def test_death_with_two_running_requests_convicts_neither(self, tables):
        apply(tables, commands.Isolate("f", "v", 1, "e"))
        report(tables, "v", "f", "other")
        assert tables.convicted == {}
        assert set(tables.suspects) == {"f", "other"}
        assert tables.isolations == {}

    def test_report_that_contradicts_a_conviction_makes_suspects(self, tables):
        """An entry that missed a restart reports the previous incarnation."""
        isolate(tables, "f", "v")
        report(tables, "v", "f")
        assert report(tables, "v", "x", "y") == outcomes.Accepted()
        assert set(tables.convicted) == {"f"}
        assert set(tables.suspects) == {"x", "y"}

    def test_report_of_another_entry_comes_first(self, tables):
        apply(tables, commands.Isolate("f", "v", 1, "e"))
        report(tables, "v", "other")
        assert tables.suspects == {}
        report(tables, "v", "f")
        assert tables.convicted == {}
        assert set(tables.suspects) == {"f", "other"}

    def test_death_before_the_reservation_convicts_nobody(self, tables):
        """An entry that did not know of a death reserved the dead upstream."""
        apply(tables, commands.Isolate("f", "v", 1, "e"))
        apply(tables, commands.ReportDeath("v", 1, ["f"], "other"))
        assert tables.convicted == {}
        assert set(tables.suspects) == {"f"}

    def test_another_entry_does_not_end_a_reservation(self, tables):
        """An entry whose own reservation was not answered releases it."""
        apply(tables, commands.Isolate("f", "v", 1, "e"))
        apply(tables, commands.Release("f", "v", False, "other"))
        assert set(tables.isolations) == {"v"}
        apply(tables, commands.Release("f", "v", False, "e"))
        assert tables.isolations == {}

    def test_dead_incarnation_cannot_be_reserved(self, tables):
        report(tables, "v", "f")
        assert isinstance(isolate(tables, "f", "v"), outcomes.Stale)

    def test_one_death_convicts_one_request(self, tables):
        isolate(tables, "f", "v")
        report(tables, "v", "f")
        later = commands.Isolate("g", "v", 2, "e")
        apply(tables, later)
        report(tables, "v", "g")
        assert set(tables.convicted) == {"f"}

    def test_isolation_is_one_to_one(self, tables):
        assert isolate(tables, "f", "u") == outcomes.Granted()
        assert isolate(tables, "f", "u") == outcomes.Granted()
        assert isinstance(isolate(tables, "g", "u"), outcomes.Occupied)
        assert isinstance(isolate(tables, "f", "v"), outcomes.Occupied)

    def test_completion_clears_the_suspect(self, tables):
        report(tables, "u", "f")
        isolate(tables, "f", "v")
        apply(tables, commands.Release("f", "v", True))
        assert tables.suspects == {}
        assert tables.isolations == {}

    def test_reservation_ends_with_its_entry(self, tables):
        register(tables, 1)
        isolate(tables, "f", "u")
        apply(tables, commands.SetEntryState("e", 1, "gone"))
        assert tables.isolations == {}

    def test_conviction_ends_by_log_time(self, tables):
        isolate(tables, "f", "u")
        report(tables, "u", "f")
        apply(tables, commands.Tick(), at_ms=700_000)
        assert tables.convicted == {}


def isolate(tables, fingerprint, upstream):
    return apply(tables, commands.Isolate(fingerprint, upstream, 1, "e"))


def make_start_order(name="o1", fence=1):
    return commands.OrderInstance(
        name, "start", "i1", "model", "v1", "d1", "c", True, fence
    )


class TestFleet:
    def test_order_is_recorded_before_it_is_sent(self, tables):
        apply(tables, make_start_order())
        assert tables.instances["i1"].state == "starting"
        apply(tables, commands.SettleOrder("o1", "done", 77))
        assert tables.instances["i1"].state == "running"
        assert tables.instances["i1"].price_micro_per_hour == 77

    def test_reclaim_notice_of_an_unordered_instance_reaches_the_view(
        self, tables
    ):
        apply(tables, commands.MarkInstance("theirs", 2.5))
        parts = view.parts_since(tables, 0)
        assert parts == {"leaving": {"theirs": 2.5}}
        apply(tables, commands.Tick(), at_ms=700_000)
        assert tables.leaving == {}

    def test_order_with_a_lower_fence_is_stale(self, tables):
        apply(tables, make_start_order("o1", fence=5))
        outcome = apply(tables, make_start_order("o2", fence=4))
        assert isinstance(outcome, outcomes.Stale)

    def test_refused_start_leaves_no_instance(self, tables):
        apply(tables, make_start_order())
        apply(tables, commands.SettleOrder("o1", "refused", 0))
        assert tables.instances["i1"].state == "gone"


uses = st.lists(
    st.builds(
        charges.InstanceUsage,
        bill_micro=st.integers(0, 10**9),
        idle_account=st.sampled_from(["", "ann", "bob"]),
        busy=st.dictionaries(
            st.sampled_from(["w1", "w2", "w3"]), st.integers(0, 10**6)
        ),
        capacity=st.integers(0, 10**6),
    ),
    max_size=8,
)


class TestCharges:
    @hypothesis.given(uses)
    def test_amounts_sum_to_the_bill_exactly(self, drawn):
        amounts = charges.divide(drawn)
        assert sum(amounts.values()) == sum(use.bill_micro for use in drawn)
        assert all(amount >= 0 for amount in amounts.values())

    def test_idle_time_is_charged_to_the_owner(self):
        use = charges.InstanceUsage(1000, "ann", {"w1": 25}, 100)
        assert charges.divide([use]) == {"workspace/w1": 250, "idle/ann": 750}

    def test_interval_is_settled_once(self, tables):
        command = commands.Charge(1, 10, {"idle/ann": 10})
        apply(tables, command)
        assert isinstance(apply(tables, command), outcomes.Stale)
        assert tables.billed_micro == 10

    def test_amounts_that_do_not_sum_are_refused(self, tables):
        outcome = apply(tables, commands.Charge(1, 10, {"idle/ann": 9}))
        assert isinstance(outcome, outcomes.Stale)
        assert tables.charges == {}


class TestStateMachine:
    def test_unknown_command_changes_nothing(self, tables):
        outcome = state_machine.apply(tables, b'5 ["Nonsense", 1]', 1)
        assert isinstance(outcome, outcomes.Stale)
        assert tables.applied == 1

    def test_view_contains_only_changed_parts(self, tables):
        configure(tables, "a", 0)
        known = view.version(tables)
        register(tables, 1)
        assert set(view.parts_since(tables, known)) == {"entries"}
        assert view.parts_since(tables, view.version(tables)) == {}

    @pytest.mark.parametrize(
        "outcome",
        [
            outcomes.Accepted(revision=4),
            outcomes.Conflict(revision=1, operator="a", operation="b"),
            outcomes.Granted(),
        ],
    )
    def test_outcomes_round_trip(self, outcome):
        assert outcomes.decode(outcomes.encode(outcome)) == outcome

    @hypothesis.given(st.binary(max_size=60))
    def test_any_bytes_decode_to_a_command_or_none(self, data):
        decoded = commands.decode(data)
        assert decoded is None or isinstance(decoded, tuple)
