"""Leases of entries: what the leader may infer from them."""

import asyncio
import json
import types

import pytest
import virtual

from _arbutuswalk.control import leases
from _arbutuswalk.control import service
from _arbutuswalk.state import commands
from _arbutuswalk.state import state_machine
from _arbutuswalk.state import tables as rows
from _arbutuswalk.wire.gen.arbutus import ttypes


@pytest.fixture
def tables():
    new_tables = rows.Tables()
    command = commands.RegisterEntry("e", 1, "a", "l", "d", 1, "r")
    state_machine.apply(new_tables, state_machine.stamp(command, 1), 1)
    return new_tables


def sync(revision, view_version=0, active=()):
    return ttypes.Sync(
        entry="e",
        incarnation=1,
        view_version=view_version,
        revision=revision,
        report=json.dumps({"active": list(active)}).encode(),
    )


class TestEntriesBehind:
    def test_entry_that_serves_the_revision_is_not_behind(self, tables):
        lease_table = leases.Leases(leader_since=0.0)
        lease_table.record_sync(sync(4), 1.0)
        assert lease_table.entries_behind(tables, 4, 1.0) == []
        assert lease_table.entries_behind(tables, 5, 1.0) == ["e"]

    def test_entry_with_expired_lease_is_not_behind(self, tables):
        lease_table = leases.Leases(leader_since=0.0)
        lease_table.grant(sync(4), 10.0)
        assert lease_table.entries_behind(
            tables, 5, 10.0 + leases.LEASE_S - 0.01
        ) == ["e"]
        assert (
            lease_table.entries_behind(tables, 5, 10.0 + leases.LEASE_S) == []
        )

    def test_recording_a_request_does_not_extend_the_lease(self, tables):
        lease_table = leases.Leases(leader_since=0.0)
        lease_table.grant(sync(4), 10.0)
        lease_table.record_sync(sync(4), 12.0)
        assert (
            lease_table.entries_behind(tables, 5, 10.0 + leases.LEASE_S) == []
        )

    def test_new_leader_assumes_that_every_entry_holds_a_lease(self, tables):
        lease_table = leases.Leases(leader_since=100.0)
        assert lease_table.entries_behind(
            tables, 1, 100.0 + leases.LEASE_S - 0.01
        ) == ["e"]
        assert (
            lease_table.entries_behind(tables, 1, 100.0 + leases.LEASE_S) == []
        )

    def test_silent_entry_is_lost_after_its_lease_expired(self, tables):
        lease_table = leases.Leases(leader_since=0.0)
        lease_table.grant(sync(1), 10.0)
        assert lease_table.lost_entries(tables, 10.0 + leases.LEASE_S) == []
        assert lease_table.lost_entries(
            tables, 10.1 + leases.LOST_TIMEOUT_S
        ) == [("e", 1)]


class TestSyncs:
    """A member that leads and whose tables do not change."""

    @pytest.fixture
    def loop(self):
        new_loop = virtual.VirtualLoop()
        yield new_loop
        virtual.close(new_loop)

    @pytest.fixture
    def request_service(self, loop, tables):
        member = types.SimpleNamespace(
            now=loop.time,
            wall=loop.time,
            tables=tables,
            is_leader=True,
            is_current=True,
            changed=asyncio.Event(),
            replica=types.SimpleNamespace(term=1),
        )
        return service.Service(member=member, name="c")

    def grant_time(self, loop, request_service, at):
        loop.run_until_complete(asyncio.sleep(at - loop.time()))
        reply = loop.run_until_complete(
            request_service.handle(sync(1, view_version=1))
        )
        assert reply.status == ttypes.Status.OK
        return round(loop.time() - at, 3)

    def test_first_sync_at_a_new_leader_is_answered_at_once(
        self, loop, request_service
    ):
        """The entry may have waited for the old leader until now."""
        start = loop.time()
        held_s = service.MAX_SYNC_WAIT_S
        assert self.grant_time(loop, request_service, start + 1.0) == 0
        assert self.grant_time(loop, request_service, start + 1.1) == held_s

    def test_sync_after_a_pause_is_answered_at_once(
        self, loop, request_service
    ):
        """The entry may have tried to reach the leader for all that time."""
        start = loop.time()
        self.grant_time(loop, request_service, start + 1.0)
        assert self.grant_time(loop, request_service, start + 2.2) == 0


class TestIsIdle:
    def test_every_entry_must_have_seen_the_isolation(self, tables):
        lease_table = leases.Leases(leader_since=0.0)
        command = commands.Isolate("f", "u", 1, "e")
        state_machine.apply(tables, state_machine.stamp(command, 1), 7)
        lease_table.record_sync(sync(1, view_version=6), 1.0)
        assert not lease_table.is_idle(tables, "u")
        lease_table.record_sync(sync(1, view_version=7, active=["u"]), 1.1)
        assert not lease_table.is_idle(tables, "u")
        lease_table.record_sync(sync(1, view_version=7), 1.2)
        assert lease_table.is_idle(tables, "u")
