"""Departures of endpoints: committed before they are acknowledged."""

import asyncio
import json
import types

import asgi
import platform_fixtures
import pytest
import relay_fixtures
import test_crashes
import test_duties
import test_odd_entries
import test_status_feeds
from arbutuswalk_platform import control_api

from _arbutuswalk.agreement import raftlog
from _arbutuswalk.agreement import types as agreement_types
from _arbutuswalk.control import departure_log
from _arbutuswalk.control import discovery as discoveries
from _arbutuswalk.control import durable_replica
from _arbutuswalk.control import endpoint_cache
from _arbutuswalk.relay import placement
from _arbutuswalk.routing import directory
from _arbutuswalk.routing import leaving
from _arbutuswalk.state import commands
from _arbutuswalk.state import departures
from _arbutuswalk.state import routeconfig
from _arbutuswalk.state import state_machine
from _arbutuswalk.state import tables as rows
from _arbutuswalk.wire.gen.arbutus import ttypes

LEAVING_CALLS = {
    "Heartbeat": {**test_odd_entries.BEAT, "state": "draining", "sequence": 99},
    "Deregister": {"born": test_odd_entries.BEAT["born"]},
}
HEARTBEAT_S = 1.2
SAVED_S = endpoint_cache.UNCONFIRMED_HEARTBEATS * HEARTBEAT_S + 1.5
"""Time in which a new control process has saved its endpoints."""

IN_FORCE_S = 1.0
"""Time in which entries learn what a new leader has committed."""


def apply(tables, command, at_ms):
    payload = state_machine.stamp(command, at_ms)
    return state_machine.apply(tables, payload, tables.applied + 1)


class TestTable:
    def test_departures_survive_a_snapshot(self):
        tables = rows.Tables()
        apply(tables, commands.RecordDepartures([["i-1", 5]]), 1000)
        restored = state_machine.load(state_machine.dump(tables))
        assert departures.is_recorded(restored, "i-1", 5)
        assert not departures.is_recorded(restored, "i-1", 6)

    def test_a_resend_changes_nothing(self):
        tables = rows.Tables()
        for at_ms in (1000, 2000):
            apply(tables, commands.RecordDepartures([["i-1", 5]]), at_ms)
        assert [row.at_ms for row in tables.departures.values()] == [1000]
        assert tables.departures_changed == 1

    def test_old_ones_are_removed(self):
        tables = rows.Tables()
        apply(tables, commands.RecordDepartures([["i-1", 5]]), 1000)
        apply(tables, commands.RecordDepartures([["i-2", 5]]), 2000)
        apply(tables, commands.Tick(), 1000 + departures.RETENTION_MS)
        assert not departures.is_recorded(tables, "i-1", 5)
        assert departures.is_recorded(tables, "i-2", 5)

    def test_the_oldest_make_room(self, monkeypatch):
        monkeypatch.setattr(departures, "MAX_DEPARTURES", 3)
        tables = rows.Tables()
        starts = [[f"i-{number}", 5] for number in range(5)]
        apply(tables, commands.RecordDepartures(starts), 1000)
        kept = [row.endpoint_id for row in tables.departures.values()]
        assert kept == ["i-2", "i-3", "i-4"]

    @pytest.mark.parametrize(
        "starts", [None, "i-1", [["i-1"]], [["", 5]], [[5, 5]], [["i-1", -1]]]
    )
    def test_invalid_ones_are_not_proposed(self, starts):
        assert departure_log.find_problem(commands.RecordDepartures(starts))
        valid = commands.RecordDepartures([["i-1", 5]])
        assert departure_log.find_problem(valid) == ""


class TestLog:
    @pytest.fixture
    def log(self):
        return departure_log.DepartureLog(member=test_duties.FakeMember())

    async def test_those_that_arrive_together_share_a_command(self, log):
        batches = []

        async def commit(command, _):
            batches.append(len(command.starts))
            await asyncio.sleep(0)
            return True

        log.commit = commit
        starts = [leaving.Start(f"i-{n}", 5) for n in range(100)]
        recorded = await asyncio.gather(*map(log.record, starts))
        assert all(recorded)
        assert sum(batches) == 100
        assert len(batches) <= 2

    async def test_one_that_is_committed_needs_no_command(self, log):
        command = commands.RecordDepartures([["i-1", 5]])
        departures.record(log.member.tables, command)
        assert await log.record(leaving.Start("i-1", 5))
        assert not await log.record(leaving.Start("i-1", 6))

    async def test_the_wait_for_a_commit_is_limited(self, log, monkeypatch):
        monkeypatch.setattr(departure_log, "COMMIT_TIMEOUT_S", 0.05)

        async def commit(*_):
            await asyncio.sleep(10)

        log.commit = commit
        start = leaving.Start("i-1", 5)
        assert not await asyncio.wait_for(log.record(start), 5)
        log.task.cancel()


class TestApi:
    async def announce(self, components, call, body):
        app = control_api.make_operators_app(components)
        path = f"/v1/Instances.{call}/i-1"
        data = json.dumps(body).encode()
        return (await asgi.call(app, "POST", path, body=data)).status

    @pytest.mark.parametrize("call", LEAVING_CALLS)
    async def test_a_departure_is_acknowledged_once_it_is_committed(self, call):
        """Guards against a word that a kill of all processes loses (DRAIN)."""
        components = test_duties.make_components()
        log = components.discovery.departure_log
        beat = test_odd_entries.BEAT
        assert await self.announce(components, "Heartbeat", beat) == 200
        commit, log.commit = log.commit, departure_log.refuse
        body = LEAVING_CALLS[call]
        assert await self.announce(components, call, body) == 503
        known = components.discovery.directory.rows["i-1"].endpoint
        assert known.state != directory.READY
        log.commit = commit
        assert await self.announce(components, call, body) == 200
        tables = components.member.tables
        assert departures.is_recorded(tables, "i-1", beat["born"])

    async def test_one_of_a_former_start_is_committed_too(self):
        components = test_duties.make_components()
        beat = test_odd_entries.BEAT
        upstream = routeconfig.Upstream(beat["service"], 100, None, None)
        config = relay_fixtures.make_config()._replace(upstreams=(upstream,))
        tables = components.member.tables
        tables.routes = routeconfig.to_json(config)
        tables.routes_version = 1
        assert await self.announce(components, "Heartbeat", beat) == 200
        body = {"born": beat["born"] - 1}
        assert await self.announce(components, "Deregister", body) == 200
        assert departures.is_recorded(tables, "i-1", beat["born"] - 1)
        known = components.discovery.directory.rows["i-1"].endpoint
        assert known.state == directory.READY


class TestRestart:
    def make_discovery(self, *endpoints):
        """Returns a process that restores endpoints, of which "a" has left."""
        member = test_duties.FakeMember()
        gone = endpoints[0]
        departures.record(
            member.tables,
            commands.RecordDepartures([[gone.id, gone.born_ms]]),
        )
        member.tables.departures_changed = 1
        discovery = discoveries.Discovery(member=member)
        discovery.apply_departures()
        for endpoint in endpoints:
            discovery.apply_announcement(endpoint)
        return discovery

    def test_one_that_left_is_not_ready_again(self):
        gone = test_crashes.make_endpoint("a")
        other = test_crashes.make_endpoint("b")
        discovery = self.make_discovery(gone, other)
        late = gone._replace(sequence=gone.sequence + 1)
        discovery.apply_announcement(late)
        states = [r.endpoint.state for r in discovery.directory.rows.values()]
        assert states == [directory.LEAVING, directory.READY]

    def test_one_whose_commit_is_not_known_yet_is_not_ready(self):
        """Guards against its use until the group has a leader again."""
        later_build = b'["RecordDepartures",[["i-9",5]],"more"]'
        encoded = [
            commands.encode(commands.Tick()),
            commands.encode(commands.RecordDepartures([["i-1", 5]])),
            later_build,
        ]
        replica = types.SimpleNamespace(
            log=raftlog.RaftLog(
                snapshot_index=3,
                entries=[
                    ttypes.Entry(1, agreement_types.NOOP_KIND),
                    *(
                        ttypes.Entry(
                            1, agreement_types.COMMAND_KIND + b"7 " + command
                        )
                        for command in encoded
                    ),
                ],
            )
        )
        durable = durable_replica.DurableReplica(
            data=None, identity=None, timing=None, rng=None
        )
        durable.replica, durable.applied = replica, 3
        assert durable.unapplied_commands() == encoded
        recovered = departure_log.find_recovered(durable.unapplied_commands())
        assert recovered == [leaving.Start("i-1", 5)]

    def test_one_heard_of_much_later_is_not_ready(self):
        """The directory forgets statements long before the log does."""
        gone = test_crashes.make_endpoint("a")
        discovery = self.make_discovery(gone)
        discovery.member.time += 2 * leaving.RETENTION_S
        discovery.remove_expired()
        assert discovery.directory.rows == {}
        discovery.apply_announcement(gone._replace(sequence=99))
        known = discovery.directory.rows["a"].endpoint
        assert known.state == directory.LEAVING

    def test_a_later_start_is_ready(self):
        gone = test_crashes.make_endpoint("a")
        again = gone._replace(born_ms=gone.born_ms + 1)
        discovery = self.make_discovery(gone, again)
        assert discovery.directory.rows["a"].endpoint == again

    def test_one_that_is_committed_later_stops_being_ready(self):
        discovery = self.make_discovery(
            test_crashes.make_endpoint("a"), test_crashes.make_endpoint("b")
        )
        tables = discovery.member.tables
        tables.applied = 7
        born_ms = discovery.directory.rows["b"].endpoint.born_ms
        departures.record(tables, commands.RecordDepartures([["b", born_ms]]))
        discovery.apply_departures()
        assert directory.is_leaving(
            discovery.directory, leaving.Start("b", born_ms)
        )


class TestRemovals:
    """What control no longer knows, as the entries learn it."""

    def is_doubtful(self, group):
        row = group.relay.directory.rows[group.endpoint.id]
        silent_s = group.relay.now() - row.announced_at
        return silent_s >= placement.doubtful_after_s(group.relay)

    def group_with_removal(self):
        group = test_status_feeds.Group(["d1", "d2"])
        group.settle()
        group.endpoint = test_status_feeds.make_endpoints(1)[0]
        group.announce(group.endpoint)
        group.exchange_all()
        group.discoveries["d1"].remove_endpoint(group.endpoint.id)
        return group

    def test_an_entry_uses_last_what_control_removed(self):
        """Guards against the use of endpoints of which nobody has heard."""
        group = self.group_with_removal()
        group.exchange("d1")
        assert self.is_doubtful(group)

    def test_not_if_it_knows_a_newer_heartbeat(self):
        group = self.group_with_removal()
        group.announce(group.endpoint._replace(sequence=9), ["d2"])
        group.clock.time += 10.0
        group.exchange("d2")
        group.exchange("d1")
        assert not self.is_doubtful(group)

    def test_one_that_announces_itself_again_is_used(self):
        group = self.group_with_removal()
        group.exchange("d1")
        group.announce(group.endpoint._replace(sequence=9))
        group.exchange("d1")
        assert not self.is_doubtful(group)

    def test_a_watch_waits_once_a_removal_was_sent(self):
        group = self.group_with_removal()
        group.exchange("d1")
        message = group.watcher._make_watch_message(group.feeds["d1"])
        discovery = group.discoveries["d1"]
        assert not discovery._has_update(message, message.version)

    def test_entries_that_know_of_a_departure_are_not_woken(self):
        """Guards against replies to all watches that tell nothing new."""
        group = test_status_feeds.Group(["d1"])
        endpoint = test_status_feeds.make_endpoints(1)[0]
        group.announce(endpoint)
        known = group.discoveries["d1"].directory.revision
        group.announce(endpoint._replace(sequence=2, state=directory.LEAVING))
        discovery = group.discoveries["d1"]
        revision = discovery.directory.revision
        waiting = discovery.changed
        discovery.remove_endpoint(endpoint.id)
        assert not waiting.is_set()
        assert not discovery.removed.since(revision)
        (removed,) = discovery.removed.since(known)
        assert removed.sequence == 2


class Cluster(platform_fixtures.PlatformCluster):
    """Keeps restored endpoints until an entry that starts has them, too."""

    def common_settings(self, ip):
        heartbeat_ms = int(HEARTBEAT_S * 1000)
        return {**super().common_settings(ip), "heartbeat_ms": heartbeat_ms}


class TestProcesses:
    @pytest.fixture
    async def cluster(self, tmp_path):
        new_cluster = Cluster(tmp_path)
        async with platform_fixtures.running(new_cluster):
            yield new_cluster

    async def kill_and_restart(self, cluster, control_ips, entry_ips):
        for ip in [*control_ips, *entry_ips]:
            cluster.kill(ip)
        await asyncio.sleep(0.5)
        for ip in control_ips:
            cluster.start_control(ip)
        for ip in entry_ips:
            cluster.start_entry(ip)

    @pytest.mark.parametrize("call", LEAVING_CALLS)
    async def test_a_departure_outlives_the_processes_that_heard_it(
        self, cluster, call
    ):
        """Guards against the use of one that left (DRAIN, review/12)."""
        await cluster.start_all("/a/")
        await asyncio.sleep(SAVED_S)
        cluster.heartbeat_tasks[0].cancel()
        body = {"born": 1}
        if call == "Heartbeat":
            body = {**cluster.heartbeat, "state": "draining", "sequence": 999}
        status, _ = await cluster.call_control(
            "POST", f"/v1/Instances.{call}/i-1", body
        )
        assert status == 200
        await self.kill_and_restart(
            cluster, cluster.control_ips, cluster.entry_ips[:1]
        )
        # The group has a leader again, and the departure is in force.
        await cluster.call_control("GET", "/v1/Configuration.Read")
        await asyncio.sleep(IN_FORCE_S)
        count = len(cluster.endpoint.request_heads)
        for _ in range(20):
            for ip in cluster.entry_ips:
                assert (await cluster.send_request(ip))[0] == 503
            await asyncio.sleep(0.1)
        assert len(cluster.endpoint.request_heads) == count

    async def test_one_that_starts_again_is_used(self, cluster):
        await cluster.start_all("/a/")
        cluster.heartbeat_tasks[0].cancel()
        status, _ = await cluster.call_control(
            "POST", "/v1/Instances.Deregister/i-1", {"born": 1}
        )
        assert status == 200
        again = relay_fixtures.ScriptedEndpoint(name="i-1")
        await cluster.start_heartbeats(again, born=2)
        for ip in cluster.entry_ips:
            await cluster.wait_for_status(ip, 200)
