"""Explicit-state checks of the specifications and of their broken twins.

Bounds: three nodes, three terms, two entries for election and commit; four
nodes, two terms, two entries for membership; one key and two entries for the
ledger. Twins of membership start from a state in which their fault is near.
"""

import models
import pytest

MAX_STATES = 400_000


def check(protocol):
    sound, report, trace = models.holds(protocol, MAX_STATES)
    assert report["exhaustive"], report
    return sound, trace


class TestAgreementModel:
    def test_election_and_commit(self):
        sound, trace = check(models.agreement(models.Bounds()))
        assert sound, trace

    def test_membership(self):
        bounds = models.Bounds(nodes=4, terms=2, members=True, crashes=False)
        sound, trace = check(models.agreement(bounds))
        assert sound, trace

    @pytest.mark.parametrize("fault", ["forgets_votes", "ignores_log_on_votes"])
    def test_broken_election_is_caught(self, fault):
        faults = models.Faults(**{fault: True})
        sound, _ = check(models.agreement(models.Bounds(terms=2), faults))
        assert not sound

    def test_commit_of_old_terms_is_caught(self):
        start = models.blank(3)._replace(
            term=(1, 1, 1), voted=(0, 0, -1), log=((1,), (), ())
        )
        faults = models.Faults(commits_old_terms=True)
        sound, _ = check(
            models.agreement(models.Bounds(terms=4), faults, start)
        )
        assert not sound

    def test_two_changes_at_once_are_caught(self):
        own = ((1, None),)
        start = models.blank(4)._replace(
            term=(1, 1, 1, 1),
            voted=(0, 0, 0, -1),
            role=(models.LEADER, "F", "F", "F"),
            log=(own, own, own, ()),
            known=(1, 0, 0, 0),
            committed=own,
        )
        bounds = models.Bounds(
            nodes=4, terms=2, entries=3, members=True, crashes=False
        )
        faults = models.Faults(changes_two_at_once=True)
        sound, _ = check(models.agreement(bounds, faults, start))
        assert not sound


class TestLedgerModel:
    def test_calls_run_at_most_once(self):
        sound, trace = check(models.ledger_model())
        assert sound, trace

    @pytest.mark.parametrize(
        "fault", ["withdraws_lost", "regrants_unknown", "sends_ungranted"]
    )
    def test_broken_ledger_is_caught(self, fault):
        faults = models.LedgerFaults(**{fault: True})
        sound, _ = check(models.ledger_model(faults))
        assert not sound
