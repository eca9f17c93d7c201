"""Explicit-state checks of the specifications and of faulty variants.

Bounds: three nodes, three terms, two entries for election and commit; four
nodes, two terms, two entries for membership; one key and two entries for the
ledger. Faulty variants of membership start from a state close to a violation.
"""

import protocol_models
import pytest

MAX_STATES = 400_000


def check_model(protocol):
    invariants_hold, report, trace = protocol_models.check_invariants(
        protocol, MAX_STATES
    )
    assert report["exhaustive"], report
    return invariants_hold, trace


class TestAgreementModel:
    def test_election_and_commit(self):
        invariants_hold, trace = check_model(
            protocol_models.agreement_model(protocol_models.Bounds())
        )
        assert invariants_hold, trace

    def test_membership(self):
        bounds = protocol_models.Bounds(
            nodes=4, terms=2, members=True, crashes=False
        )
        invariants_hold, trace = check_model(
            protocol_models.agreement_model(bounds)
        )
        assert invariants_hold, trace

    @pytest.mark.parametrize("fault", ["forgets_votes", "ignores_log_on_votes"])
    def test_faulty_election_is_detected(self, fault):
        faults = protocol_models.Faults(**{fault: True})
        invariants_hold, _ = check_model(
            protocol_models.agreement_model(
                protocol_models.Bounds(terms=2), faults
            )
        )
        assert not invariants_hold

    def test_commit_of_old_terms_is_detected(self):
        start = protocol_models.initial_state(3)._replace(
            term=(1, 1, 1), voted=(0, 0, -1), log=((1,), (), ())
        )
        faults = protocol_models.Faults(commits_old_terms=True)
        invariants_hold, _ = check_model(
            protocol_models.agreement_model(
                protocol_models.Bounds(terms=4), faults, start
            )
        )
        assert not invariants_hold

    def test_two_changes_at_once_are_detected(self):
        one_entry_log = ((1, None),)
        start = protocol_models.initial_state(4)._replace(
            term=(1, 1, 1, 1),
            voted=(0, 0, 0, -1),
            role=(protocol_models.LEADER, "F", "F", "F"),
            log=(one_entry_log, one_entry_log, one_entry_log, ()),
            commit_length=(1, 0, 0, 0),
            committed=one_entry_log,
        )
        bounds = protocol_models.Bounds(
            nodes=4, terms=2, entries=3, members=True, crashes=False
        )
        faults = protocol_models.Faults(changes_two_at_once=True)
        invariants_hold, _ = check_model(
            protocol_models.agreement_model(bounds, faults, start)
        )
        assert not invariants_hold


class TestLedgerModel:
    def test_calls_run_at_most_once(self):
        invariants_hold, trace = check_model(protocol_models.ledger_model())
        assert invariants_hold, trace

    @pytest.mark.parametrize(
        "fault", ["withdraws_lost", "regrants_unknown", "sends_ungranted"]
    )
    def test_faulty_ledger_is_detected(self, fault):
        faults = protocol_models.LedgerFaults(**{fault: True})
        invariants_hold, _ = check_model(protocol_models.ledger_model(faults))
        assert not invariants_hold
