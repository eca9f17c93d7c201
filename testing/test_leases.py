"""Leases of entries: what the leader may conclude about them."""

import json

import pytest

from _arbutuswalk.control import leases
from _arbutuswalk.state import commands
from _arbutuswalk.state import state_machine
from _arbutuswalk.state import tables as rows
from _arbutuswalk.wire.gen.arbutus import ttypes


@pytest.fixture
def tables():
    made = rows.Tables()
    command = commands.RegisterEntry("e", 1, "a", "l", "d", 1, "r")
    state_machine.apply(made, state_machine.stamp(command, 1), 1)
    return made


def sync(revision, view_version=0, active=()):
    return ttypes.Sync(
        entry="e",
        incarnation=1,
        view_version=view_version,
        revision=revision,
        report=json.dumps({"active": list(active)}).encode(),
    )


class TestInForce:
    def test_entry_that_serves_the_revision_is_not_behind(self, tables):
        made = leases.Leases(since=0.0)
        made.note(sync(4), 1.0)
        assert made.behind(tables, 4, 1.0) == []
        assert made.behind(tables, 5, 1.0) == ["e"]

    def test_stamp_that_ran_out_is_not_behind(self, tables):
        made = leases.Leases(since=0.0)
        made.grant(sync(4), 10.0)
        assert made.behind(tables, 5, 10.0 + leases.LEASE_S - 0.01) == ["e"]
        assert made.behind(tables, 5, 10.0 + leases.LEASE_S) == []

    def test_word_of_an_entry_extends_nothing(self, tables):
        made = leases.Leases(since=0.0)
        made.grant(sync(4), 10.0)
        made.note(sync(4), 12.0)
        assert made.behind(tables, 5, 10.0 + leases.LEASE_S) == []

    def test_new_leader_counts_every_entry_as_freshly_stamped(self, tables):
        made = leases.Leases(since=100.0)
        assert made.behind(tables, 1, 100.0 + leases.LEASE_S - 0.01) == ["e"]
        assert made.behind(tables, 1, 100.0 + leases.LEASE_S) == []

    def test_silent_entry_is_lost_after_its_stamps_ran_out(self, tables):
        made = leases.Leases(since=0.0)
        made.grant(sync(1), 10.0)
        assert made.lost(tables, 10.0 + leases.LEASE_S) == []
        assert made.lost(tables, 10.1 + leases.LOST_S) == [("e", 1)]


class TestAlone:
    def test_every_entry_has_to_have_seen_the_reservation(self, tables):
        made = leases.Leases(since=0.0)
        command = commands.Isolate("f", "u", 1, "e")
        state_machine.apply(tables, state_machine.stamp(command, 1), 7)
        made.note(sync(1, view_version=6), 1.0)
        assert not made.is_alone(tables, "u")
        made.note(sync(1, view_version=7, active=["u"]), 1.1)
        assert not made.is_alone(tables, "u")
        made.note(sync(1, view_version=7), 1.2)
        assert made.is_alone(tables, "u")
