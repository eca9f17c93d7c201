"""Duties by one holder, usage reports, the hub and remembered endpoints."""

import asyncio
import os
import pathlib
import stat

import pytest
import test_crashes

from _arbutuswalk.agreement import types
from _arbutuswalk.control import duties
from _arbutuswalk.control import hub as hubs
from _arbutuswalk.control import process
from _arbutuswalk.control import remembered
from _arbutuswalk.control import usage_reports
from _arbutuswalk.routing import directory
from _arbutuswalk.state import tables as rows
from _arbutuswalk.wire import compressed_json
from _arbutuswalk.wire.gen.arbutus import ttypes

OPTIONS = duties.Options(
    usage=True, scaling=True, lease_s=3.0, window_s=5.0, delay_s=10.0
)


class FakeReplica:
    def __init__(self):
        self.term = 1
        self.log = type("Log", (), {"members": types.Members()})()


class FakeMember:
    """A member whose role and clocks a test sets."""

    def __init__(self):
        self.time = 100.0
        self.wall_s = 1_000_000.0
        self.tables = rows.Tables()
        self.replica = FakeReplica()
        self.address = "127.0.0.1:1"
        self.is_leader = True
        self.is_current = True
        self.holds_lease = True
        self.sent = []

    def now(self):
        return self.time

    def wall(self):
        return self.wall_s

    def link_to(self, address):
        raise AssertionError(f"nothing goes to {address}")


def make_parts():
    member = FakeMember()
    return process.Parts("c", member, None, hubs.Hub(member=member))


def watch(hub, entry="e1", incarnation=1, version=0, **report):
    return ttypes.Watch(
        entry=entry,
        incarnation=incarnation,
        session=hub.session,
        version=version,
        routes_version=0,
        report=compressed_json.encode(
            {"ready": True, "address": entry, **report}
        ),
    )


class TestHolder:
    def test_a_new_leader_waits_the_old_ones_lease_out(self):
        parts = make_parts()
        holder = duties.Holder(parts=parts, options=OPTIONS)
        assert holder.follow_term()
        assert not holder.may_act()
        parts.member.time += OPTIONS.lease_s
        assert not holder.may_act()
        parts.member.time += duties.MARGIN_S + 0.01
        assert holder.may_act()

    def test_it_waits_again_when_it_leads_again(self):
        parts = make_parts()
        holder = duties.Holder(parts=parts, options=OPTIONS)
        holder.follow_term()
        parts.member.time += 10
        parts.member.is_leader = False
        assert not holder.follow_term()
        parts.member.is_leader = True
        parts.member.replica.term = 3
        holder.follow_term()
        assert not holder.may_act()

    def test_without_its_lease_it_does_nothing(self):
        parts = make_parts()
        holder = duties.Holder(parts=parts, options=OPTIONS)
        holder.follow_term()
        parts.member.time += 10
        parts.member.is_current = False
        assert not holder.may_act()


class TestUsageReports:
    def test_counts_add_up_over_entries_and_their_starts(self):
        parts = make_parts()
        hub = parts.hub
        for message in (
            watch(hub, "e1", 1, usage={"7": {"a": 3}}),
            watch(hub, "e1", 2, usage={"7": {"a": 4, "b": 1}}),
            watch(hub, "e2", 1, usage={"7": {"a": 5}, "8": {"a": 9}}),
        ):
            hub._note(message, 0)
        assert usage_reports.count(parts, 7) == {"a": 12, "b": 1}

    def test_settled_windows_are_sent_until_they_are_accepted(self):
        parts = make_parts()
        reports = usage_reports.Reports(window_s=5.0)
        parts.member.tables.usage = {"7": {"a": 1}, "8": {"a": 2}}
        assert usage_reports.unsent(parts, reports) == [
            (7, {"a": 1}),
            (8, {"a": 2}),
        ]
        reports.sent.add(7)
        assert usage_reports.unsent(parts, reports) == [(8, {"a": 2})]
        reports.forget_sent()
        assert len(usage_reports.unsent(parts, reports)) == 2

    def test_one_clock_that_stepped_is_outvoted(self):
        parts = make_parts()
        for number in range(4):
            wall = 1_000_000.0 + 0.01 * number
            message = watch(parts.hub, f"e{number}", wall=wall)
            parts.hub._note(message, 0)
        parts.member.wall_s += 2.0
        assert usage_reports.true_time(parts) == pytest.approx(
            1_000_000.0, abs=0.1
        )


class TestHub:
    async def test_news_is_told_at_once(self):
        hub = make_parts().hub
        hub.take(test_crashes.make_endpoint("a"))
        reply = await hub.watch(watch(hub))
        news = compressed_json.decode(reply.news)
        assert [each[0] for each in news["endpoints"]] == ["a"]
        assert reply.version == hub.directory.revision

    async def test_a_waiting_watch_is_answered_by_a_change(self):
        hub = make_parts().hub
        first = await hub.watch(watch(hub))
        waiting = asyncio.ensure_future(
            hub.watch(watch(hub, version=first.version))
        )
        await asyncio.sleep(0)
        hub.take(test_crashes.make_endpoint("a"))
        reply = await asyncio.wait_for(waiting, 10)
        assert compressed_json.decode(reply.news)["endpoints"]

    def test_a_configuration_is_told_of_and_sent_in_parts(self, monkeypatch):
        monkeypatch.setattr(hubs, "ROUTES_PART_BYTES", 7)
        parts = make_parts()
        tables = parts.member.tables
        tables.routes_version, tables.routes = 4, {"version": 4, "routes": []}
        assert parts.hub._news(0)["routes_version"] == 4
        data = b""
        while True:
            request = ttypes.RoutesRequest(offset=len(data))
            part = parts.hub.routes_part(request)
            data += part.data
            if len(data) >= part.size:
                break
        assert compressed_json.decode(data) == tables.routes

    async def test_a_watch_waits_once_it_was_told_of_a_version(self):
        """Fetching takes a while; telling again would answer at once."""
        parts = make_parts()
        parts.member.tables.routes_version = 4
        first = await parts.hub.watch(watch(parts.hub))
        told = watch(parts.hub, version=first.version)
        assert parts.hub._has_news(told, first.version)
        told.routes_version = 4
        assert not parts.hub._has_news(told, first.version)

    async def test_leaving_is_confirmed_once_every_entry_has_it(self):
        parts = make_parts()
        hub = parts.hub
        hub.take(test_crashes.make_endpoint("a"))
        hub._note(watch(hub), hub.directory.revision)
        hub.take(test_crashes.make_endpoint("a", state=directory.LEAVING))
        confirming = asyncio.ensure_future(hub.confirm())
        await asyncio.sleep(0.05)
        assert not confirming.done()
        hub._note(watch(hub), hub.directory.revision)
        assert await asyncio.wait_for(confirming, 10)

    def test_silent_entries_are_not_named_but_still_counted(self):
        parts = make_parts()
        hub = parts.hub
        hub._note(watch(hub, "e1"), 0)
        parts.member.time += hubs.ENTRY_SILENT_S + 0.1
        hub._note(watch(hub, "e2"), 0)
        assert [r["address"] for r in hub.ready_entries()] == ["e2"]
        assert hub.known_entries() == {"e1", "e2"}

    def test_an_entry_that_leaves_no_longer_counts(self):
        hub = make_parts().hub
        hub._note(watch(hub, "e1", left=True), 0)
        assert hub.known_entries() == set()

    def test_loads_and_quota_takings_are_summed(self):
        hub = make_parts().hub
        for name in ("e1", "e2"):
            report = {"loads": {"a": [2, 100]}, "taken": {"w": 5.0}}
            hub._note(watch(hub, name, **report), 0)
        assert hub.loads() == {"a": (4, 200)}
        assert hub.taken() == {"w": 10.0}


class TestRemembered:
    def test_it_outlives_a_loss_of_power_whenever_it_comes(
        self, tmp_path, monkeypatch
    ):
        """Content reaches the disk before its name, the name before success."""
        steps = []
        real_fsync, real_rename = os.fsync, pathlib.Path.rename

        def fsync(handle):
            is_folder = stat.S_ISDIR(os.fstat(handle).st_mode)
            steps.append("folder" if is_folder else "content")
            real_fsync(handle)

        def rename(path, target):
            steps.append("name")
            return real_rename(path, target)

        monkeypatch.setattr(os, "fsync", fsync)
        monkeypatch.setattr(pathlib.Path, "rename", rename)
        remembered.save(str(tmp_path), directory.Directory())
        assert steps == ["content", "name", "folder"]

    def test_what_was_saved_is_read_back(self, tmp_path):
        found = directory.Directory()
        directory.announce(found, test_crashes.make_endpoint("a"), 0.0)
        assert remembered.save(str(tmp_path), found) is None
        assert remembered.load(str(tmp_path)) == [
            test_crashes.make_endpoint("a")
        ]

    @pytest.mark.parametrize("content", [b"", b"[[1,", b"{}", b"[[1]]"])
    def test_a_torn_file_is_no_file(self, tmp_path, content):
        pathlib.Path(tmp_path, remembered.NAME).write_bytes(content)
        assert remembered.load(str(tmp_path)) == []

    def test_a_folder_that_refuses_is_told(self, tmp_path):
        missing = str(tmp_path / "missing")
        assert isinstance(
            remembered.save(missing, directory.Directory()), OSError
        )

    def test_those_not_heard_again_are_named(self):
        found = directory.Directory()
        kept = [test_crashes.make_endpoint(name) for name in "ab"]
        for each in kept:
            directory.announce(found, each, 0.0)
        heard = test_crashes.make_endpoint("b", sequence=2)
        directory.announce(found, heard, 1.0)
        assert remembered.unheard(found, kept) == ["a"]
