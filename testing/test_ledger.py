"""Ledger of non-idempotent calls: each call runs at most once."""

import ledger_machine
import pytest
import state_machine_runner

from _arbutuswalk.entry import at_most_once
from _arbutuswalk.state import commands
from _arbutuswalk.state import ledger
from _arbutuswalk.state import outcomes
from _arbutuswalk.state import state_machine
from _arbutuswalk.state import tables as rows


class TestLedgerMachine(ledger_machine.LedgerMachine.TestCase):
    """Runs the state machine with the active Hypothesis profile."""


def begin(attempt="a1", digest="d", entry="e", incarnation=1):
    return commands.BeginCall(
        "w", "k", digest, attempt, entry, incarnation, "u", "r"
    )


@pytest.fixture
def state():
    tables = rows.Tables()
    apply(tables, commands.RegisterEntry("e", 1, "a", "l", "d", 1, "r"), 0)
    return tables


def apply(tables, command, at_ms=1):
    return state_machine.apply(
        tables, state_machine.stamp(command, at_ms), tables.applied + 1
    )


class TestBegin:
    def test_first_attempt_is_granted(self, state):
        assert apply(state, begin()) == outcomes.Granted()

    def test_resend_of_the_same_attempt_is_granted_again(self, state):
        apply(state, begin())
        assert apply(state, begin()) == outcomes.Granted()

    def test_another_attempt_gets_the_running_state(self, state):
        apply(state, begin())
        assert apply(state, begin("a2")).state == "running"

    def test_other_body_is_refused(self, state):
        apply(state, begin())
        outcome = apply(state, begin("a2", digest="other"))
        assert isinstance(outcome, outcomes.Reused)

    def test_unknown_entry_is_stale(self, state):
        outcome = apply(state, begin(entry="nobody"))
        assert isinstance(outcome, outcomes.Stale)

    def test_gone_entry_is_stale(self, state):
        apply(state, commands.SetEntryState("e", 1, "gone"))
        assert isinstance(apply(state, begin()), outcomes.Stale)


class TestAfterBegin:
    def test_withdrawn_call_may_begin_again(self, state):
        apply(state, begin())
        apply(state, commands.WithdrawCall("w", "k", "a1"))
        assert apply(state, begin("a2")) == outcomes.Granted()

    def test_intent_committed_after_its_withdrawal_is_refused(self, state):
        apply(state, commands.WithdrawCall("w", "k", "a1"))
        assert isinstance(apply(state, begin()), outcomes.Stale)
        assert ledger.find(state, "w", "k") == outcomes.Absent()
        assert apply(state, begin("a2")) == outcomes.Granted()

    def test_another_attempt_cannot_withdraw(self, state):
        apply(state, begin())
        apply(state, commands.WithdrawCall("w", "k", "a2"))
        assert apply(state, begin("a3")).state == "running"
        assert ledger.find(state, "w", "k").state == "running"

    def test_entry_death_makes_a_running_call_unknown(self, state):
        apply(state, begin())
        apply(state, commands.SetEntryState("e", 1, "gone"))
        assert ledger.find(state, "w", "k").state == "unknown"

    def test_late_answer_replaces_unknown(self, state):
        apply(state, begin())
        apply(state, commands.LoseCall("w", "k", "a1"))
        apply(state, commands.FinishCall("w", "k", "a1", 200, "t", "Ym9keQ=="))
        found = ledger.find(state, "w", "k")
        assert (found.state, found.body) == ("done", "Ym9keQ==")

    def test_records_expire_by_log_time(self, state):
        apply(state, begin(), at_ms=1000)
        late = 1000 + ledger.RECORD_RETENTION_MS
        apply(state, commands.Tick(), at_ms=late)
        assert isinstance(ledger.find(state, "w", "k"), outcomes.CallState)
        apply(state, commands.Tick(), at_ms=late + 2000)
        assert ledger.find(state, "w", "k") == outcomes.Absent()

    def test_log_time_never_goes_back(self, state):
        apply(state, commands.Tick(), at_ms=5000)
        apply(state, commands.Tick(), at_ms=10)
        assert state.time_ms == 5000


class TestInjectedFaults:
    """The checks of the state machine must detect each injected fault."""

    def test_retry_after_the_call_was_sent(self, monkeypatch):
        async def retry_anyway(entry, call, attempt, row):
            return await at_most_once._withdraw(entry, call, attempt)

        monkeypatch.setattr(at_most_once, "_resolve", retry_anyway)
        with pytest.raises(AssertionError):
            state_machine_runner.run_state_machine(ledger_machine.LedgerMachine)

    def test_unknown_call_granted_to_a_resend(self, monkeypatch):
        original_begin = ledger.begin

        def grant_unknown(tables, command):
            call = ledger.call_id(command.workspace, command.key)
            row = tables.calls.get(call)
            if row is not None and row.state == "unknown":
                del tables.calls[call]
            return original_begin(tables, command)

        monkeypatch.setitem(
            state_machine._HANDLERS, commands.BeginCall, grant_unknown
        )
        with pytest.raises(AssertionError):
            state_machine_runner.run_state_machine(ledger_machine.LedgerMachine)

    def test_send_without_waiting_for_the_grant(self, monkeypatch):
        async def send_ungranted(entry, call, attempt, outcome):
            row = next(iter(entry.upstreams.rows.values()))
            sent = await at_most_once._send(entry, call, attempt, row)
            return sent or at_most_once._not_run_problem("never opened")

        monkeypatch.setattr(at_most_once, "_answer_ungranted", send_ungranted)
        with pytest.raises(AssertionError):
            state_machine_runner.run_state_machine(ledger_machine.LedgerMachine)

    def test_records_that_expire_too_soon(self, monkeypatch):
        monkeypatch.setattr(ledger, "RECORD_RETENTION_MS", 3000)
        with pytest.raises(AssertionError):
            state_machine_runner.run_state_machine(ledger_machine.LedgerMachine)

    def test_call_with_unknown_outcome_reported_as_not_run(self, monkeypatch):
        monkeypatch.setattr(
            at_most_once,
            "_unknown_outcome_problem",
            at_most_once._not_run_problem,
        )
        with pytest.raises(AssertionError):
            state_machine_runner.run_state_machine(ledger_machine.LedgerMachine)
