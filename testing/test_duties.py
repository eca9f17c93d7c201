"""Duty holder, usage reports, service discovery and the endpoint cache."""

import asyncio
import os
import pathlib
import stat

import pytest
import test_crashes

from _arbutuswalk.agreement import replica as replicas
from _arbutuswalk.agreement import types
from _arbutuswalk.control import discovery as discoveries
from _arbutuswalk.control import duties
from _arbutuswalk.control import endpoint_cache
from _arbutuswalk.control import entry_count_cache
from _arbutuswalk.control import process
from _arbutuswalk.control import rollouts
from _arbutuswalk.control import route_parts
from _arbutuswalk.control import shared_pools
from _arbutuswalk.control import usage_reports
from _arbutuswalk.routing import directory
from _arbutuswalk.state import departures
from _arbutuswalk.state import rollout_evidence
from _arbutuswalk.state import tables as rows
from _arbutuswalk.wire import compressed_json
from _arbutuswalk.wire.gen.arbutus import ttypes

OPTIONS = duties.Options(
    usage=True,
    scaling=True,
    lease_s=3.0,
    window_s=5.0,
    delay_s=10.0,
    heartbeat_s=1.2,
)


class FakeReplica:
    def __init__(self):
        self.term = 1
        self.log = type("Log", (), {"members": types.Members()})()
        self.heard_membership = replicas.HeardMembership()


class FakeMember:
    """A member whose role and clocks are set by the test."""

    def __init__(self):
        self.time = 100.0
        self.wall_s = 1_000_000.0
        self.tables = rows.Tables()
        self.replica = FakeReplica()
        self.address = "127.0.0.1:1"
        self.is_leader = True
        self.is_current = True
        self.holds_lease = True
        self.hears_majority = True
        self.sent = []

    def is_current_in(self, term):
        return self.is_current and self.replica.term == term

    def now(self):
        return self.time

    def wall(self):
        return self.wall_s

    def link_to(self, address):
        raise AssertionError(f"unexpected message to {address}")


def make_components():
    member = FakeMember()
    discovery = discoveries.Discovery(member=member)

    async def commit(command, _):
        departures.record(member.tables, command)
        return True

    discovery.departure_log.commit = commit
    return process.Components("c", member, None, discovery)


def watch(discovery, entry="e1", incarnation=1, version=0, **report):
    return ttypes.Watch(
        entry=entry,
        incarnation=incarnation,
        session=discovery.session,
        version=version,
        routes_version=0,
        report=compressed_json.encode(
            {"ready": True, "address": entry, **report}
        ),
    )


class TestDutyHolder:
    def test_new_leader_waits_until_the_previous_lease_expires(self):
        components = make_components()
        holder = duties.DutyHolder(components=components, options=OPTIONS)
        assert holder.update_term()
        assert not holder.may_act()
        components.member.time += OPTIONS.lease_s
        assert not holder.may_act()
        components.member.time += duties.IN_FLIGHT_MARGIN_S + 0.01
        assert holder.may_act()

    def test_it_waits_again_after_reelection(self):
        components = make_components()
        holder = duties.DutyHolder(components=components, options=OPTIONS)
        holder.update_term()
        components.member.time += 10
        components.member.is_leader = False
        assert not holder.update_term()
        components.member.is_leader = True
        components.member.replica.term = 3
        holder.update_term()
        assert not holder.may_act()

    def test_it_may_not_act_without_the_leader_lease(self):
        components = make_components()
        holder = duties.DutyHolder(components=components, options=OPTIONS)
        holder.update_term()
        components.member.time += 10
        components.member.is_current = False
        assert not holder.may_act()


class TestUsageReports:
    def test_counts_are_summed_over_entries_and_incarnations(self):
        components = make_components()
        discovery = components.discovery
        for message in (
            watch(discovery, "e1", 1, usage={"7": {"a": 3}}),
            watch(discovery, "e1", 2, usage={"7": {"a": 4, "b": 1}}),
            watch(discovery, "e2", 1, usage={"7": {"a": 5}, "8": {"a": 9}}),
        ):
            discovery._record_watch(message, 0)
        assert usage_reports.sum_counts(components, 7) == {"a": 12, "b": 1}

    def test_settled_windows_are_sent_until_they_are_accepted(self):
        components = make_components()
        reports = usage_reports.SentReports(window_s=5.0)
        components.member.tables.usage = {"7": {"a": 1}, "8": {"a": 2}}
        assert usage_reports.unsent_windows(components, reports) == [
            (7, {"a": 1}),
            (8, {"a": 2}),
        ]
        reports.accepted_windows.add(7)
        assert usage_reports.unsent_windows(components, reports) == [
            (8, {"a": 2})
        ]
        reports.clear()
        assert len(usage_reports.unsent_windows(components, reports)) == 2

    def test_median_ignores_one_clock_that_stepped(self):
        components = make_components()
        for number in range(4):
            wall = 1_000_000.0 + 0.01 * number
            message = watch(components.discovery, f"e{number}", wall=wall)
            components.discovery._record_watch(message, 0)
        components.member.wall_s += 2.0
        assert usage_reports.median_time(components) == pytest.approx(
            1_000_000.0, abs=0.1
        )


class TestDiscovery:
    async def test_an_update_is_returned_at_once(self):
        discovery = make_components().discovery
        discovery.apply_announcement(test_crashes.make_endpoint("a"))
        reply = await discovery.watch(watch(discovery))
        news = compressed_json.decode(reply.news)
        assert [endpoint[0] for endpoint in news["endpoints"]] == ["a"]
        assert reply.version == discovery.directory.revision

    async def test_a_change_ends_a_waiting_watch(self):
        discovery = make_components().discovery
        first = await discovery.watch(watch(discovery))
        waiting = asyncio.ensure_future(
            discovery.watch(watch(discovery, version=first.version))
        )
        await asyncio.sleep(0)
        discovery.apply_announcement(test_crashes.make_endpoint("a"))
        reply = await asyncio.wait_for(waiting, 10)
        assert compressed_json.decode(reply.news)["endpoints"]

    def test_a_configuration_is_announced_and_sent_in_parts(self, monkeypatch):
        monkeypatch.setattr(route_parts, "PART_BYTES", 7)
        components = make_components()
        tables = components.member.tables
        tables.routes_version, tables.routes = 4, {"version": 4, "routes": []}
        assert (
            components.discovery._build_update(0, has_share=True)[
                "routes_version"
            ]
            == 4
        )
        data = b""
        while True:
            request = ttypes.RoutesRequest(offset=len(data))
            part = components.discovery.routes_part(request)
            data += part.data
            if len(data) >= part.size:
                break
        assert compressed_json.decode(data) == tables.routes

    async def test_a_watch_waits_once_a_version_was_announced(self):
        """Guards against a busy loop of watches while a version is fetched.

        If the version were announced again, each watch would end at once.
        """
        components = make_components()
        tables = components.member.tables
        tables.routes_version, tables.routes = 4, {"version": 4, "routes": []}
        first = await components.discovery.watch(watch(components.discovery))
        announced = watch(components.discovery, version=first.version)
        assert components.discovery._has_update(announced, first.version)
        announced.routes_version = 4
        assert not components.discovery._has_update(announced, first.version)

    async def test_waits_until_every_entry_knows_that_an_endpoint_leaves(self):
        components = make_components()
        discovery = components.discovery
        discovery.apply_announcement(test_crashes.make_endpoint("a"))
        discovery._record_watch(watch(discovery), discovery.directory.revision)
        discovery.apply_announcement(
            test_crashes.make_endpoint("a", state=directory.LEAVING)
        )
        waiting = asyncio.ensure_future(discovery.wait_for_entries())
        await asyncio.sleep(0.05)
        assert not waiting.done()
        discovery._record_watch(watch(discovery), discovery.directory.revision)
        assert await asyncio.wait_for(waiting, 10)

    def test_silent_entries_are_not_ready_but_still_known(self):
        components = make_components()
        discovery = components.discovery
        discovery._record_watch(watch(discovery, "e1"), 0)
        components.member.time += discoveries.ENTRY_SILENCE_TIMEOUT_S + 0.1
        discovery._record_watch(watch(discovery, "e2"), 0)
        assert set(discovery.reachable_entries()) == {"e2"}
        components.member.time += (
            discoveries.LOOKUP_SILENCE_TIMEOUT_S
            - discoveries.ENTRY_SILENCE_TIMEOUT_S
        )
        discovery._record_watch(watch(discovery, "e2"), 0)
        assert [r["address"] for r in discovery.ready_entries()] == ["e2"]
        assert discovery.known_entries() == {"e1", "e2"}

    def test_an_entry_that_left_is_not_known(self):
        discovery = make_components().discovery
        discovery._record_watch(watch(discovery, "e1", left=True), 0)
        assert discovery.known_entries() == set()

    def test_loads_and_used_quotas_are_summed(self):
        components = make_components()
        discovery = components.discovery
        components.member.time += 1.0
        for name in ("e1", "e2"):
            report = {"loads": {"a": [2, 100]}, "taken": {"w": 5.0}}
            message = watch(discovery, name, uptime_s=0.5, **report)
            discovery._record_watch(message, 0)
        assert discovery.loads() == {"a": (4, 200)}
        assert discovery.quota_use.totals == {"w": 10.0}

    def test_use_before_the_start_of_control_is_not_counted(self):
        components = make_components()
        discovery = components.discovery
        components.member.time += 1.0
        for taken in (5.0, 7.0):
            message = watch(discovery, uptime_s=9.0, taken={"w": taken})
            discovery._record_watch(message, 0)
        assert discovery.quota_use.totals == {"w": 2.0}

    def test_an_entry_that_returns_after_its_retention_is_not_counted_twice(
        self,
    ):
        components = make_components()
        discovery = components.discovery
        components.member.time += 3.0
        for uptime_s, taken in ((0.5, 0.0), (0.9, 500.0), (62.0, 800.0)):
            message = watch(discovery, uptime_s=uptime_s, taken={"w": taken})
            discovery._record_watch(message, 0)
            if taken:
                components.member.time += discoveries.ENTRY_RETENTION_S + 1
                discovery.remove_expired()
        assert discovery.quota_use.totals == {"w": 500.0}

    def test_outcomes_before_the_start_of_control_are_no_evidence(self):
        components = make_components()
        discovery = components.discovery
        components.member.time += 1.0
        for entry, failed in (("e1", 0), ("e2", 500), ("e1", 3)):
            outcomes = [["u", "v1", "r/0", 1000 + failed, failed]]
            message = watch(
                discovery, entry, uptime_s=9.0, rollout_outcomes=outcomes
            )
            discovery._record_watch(message, 0)
        new, old = rollouts.sum_outcomes(discovery.outcomes.totals, "u", "v2")
        assert new == {}
        assert old == {"r/0": rollout_evidence.Counts(ran=3, failed=3)}

    def test_outcomes_of_an_entry_that_ended_stay_counted(self):
        components = make_components()
        discovery = components.discovery
        components.member.time += 1.0
        counts = [9, 1, 8, 2, 1, 6, 3, 2]
        message = watch(
            discovery,
            "e1",
            uptime_s=0.5,
            rollout_outcomes=[["u", "v2", "r/0", *counts]],
        )
        discovery._record_watch(message, 0)
        components.member.time += discoveries.ENTRY_RETENTION_S + 1
        discovery.remove_expired()
        new, old = rollouts.sum_outcomes(discovery.outcomes.totals, "u", "v2")
        assert new == {"r/0": rollout_evidence.Counts(*counts)}
        assert old == {}

    def test_the_entry_count_of_a_new_process_is_the_restored_one(self):
        components = make_components()
        discovery = components.discovery
        discovery.restored_entry_count = 7
        discovery._record_watch(watch(discovery, "e1"), 0)
        assert discovery._build_update(0, has_share=True)["entries"] == 7
        components.member.time += discoveries.SETTLING_TIME_S
        assert discovery._build_update(0, has_share=True)["entries"] == 1


class TestEntryCountCache:
    def test_a_saved_number_is_loaded(self, tmp_path):
        assert entry_count_cache.save(str(tmp_path), 7) is None
        assert entry_count_cache.load(str(tmp_path)) == 7

    @pytest.mark.parametrize("content", [b"", b"[7", b"{}", b"-7", b'"x"'])
    def test_a_damaged_file_is_ignored(self, tmp_path, content):
        path = pathlib.Path(tmp_path, entry_count_cache.FILE_NAME)
        path.write_bytes(content)
        assert entry_count_cache.load(str(tmp_path)) == 0

    def test_a_failed_write_is_reported(self, tmp_path):
        missing = str(tmp_path / "missing")
        assert isinstance(entry_count_cache.save(missing, 7), OSError)


class TestEndpointCache:
    def test_it_survives_a_power_loss_at_any_point(self, tmp_path, monkeypatch):
        """The content is synced before the rename, and the folder after it."""
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
        endpoint_cache.save(str(tmp_path), directory.Directory())
        assert steps == ["content", "name", "folder"]

    def test_saved_endpoints_are_loaded(self, tmp_path):
        endpoints = directory.Directory()
        directory.announce(endpoints, test_crashes.make_endpoint("a"), 0.0)
        assert endpoint_cache.save(str(tmp_path), endpoints) is None
        assert endpoint_cache.load(str(tmp_path)) == [
            test_crashes.make_endpoint("a")
        ]

    @pytest.mark.parametrize("content", [b"", b"[[1,", b"{}", b"[[1]]"])
    def test_a_damaged_file_is_ignored(self, tmp_path, content):
        pathlib.Path(tmp_path, endpoint_cache.FILE_NAME).write_bytes(content)
        assert endpoint_cache.load(str(tmp_path)) == []

    def test_a_failed_write_is_reported(self, tmp_path):
        missing = str(tmp_path / "missing")
        assert isinstance(
            endpoint_cache.save(missing, directory.Directory()), OSError
        )

    def test_endpoints_not_announced_again_are_unconfirmed(self):
        endpoints = directory.Directory()
        restored = [test_crashes.make_endpoint(name) for name in "ab"]
        for endpoint in restored:
            directory.announce(endpoints, endpoint, 0.0)
        announced_again = test_crashes.make_endpoint("b", sequence=2)
        directory.announce(endpoints, announced_again, 1.0)
        assert endpoint_cache.unconfirmed(endpoints, restored) == ["a"]


class TestSharedPools:
    def test_entries_with_reports_are_not_sent_the_shared_buckets(self):
        discovery = make_components().discovery
        use = {"taken": {"w": 5.0}, "levels": [70], "pool_age_s": 2.0}
        discovery._record_watch(watch(discovery, **use), 0)
        with_share = discovery._build_update(0, has_share=True)
        assert with_share["pools"] == {"w": [70, 2.0]}
        assert discovery._build_update(0, has_share=False)["pools"] == {}

    def test_the_lowest_level_and_the_highest_age_count(self):
        pools = shared_pools.SharedPools()
        reports = [
            {"taken": {"w": 1.0}, "levels": [70], "pool_age_s": 2.0},
            {"taken": {"w": 1.0}, "levels": [50], "pool_age_s": 1.0},
            {"taken": {"w": 1.0}, "levels": [None], "pool_age_s": 9.0},
        ]
        assert pools.summarize(reports, 0.0) == {"w": [50, 2.0]}
