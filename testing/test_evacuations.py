"""Evacuations of failure domains, without processes."""

import asyncio
import json
import time

import asgi
import fakes
import pytest
import relay_fixtures
import test_duties
import test_entry
import test_scaling_rollouts
import test_watching
from arbutuswalk_platform import control_api

from _arbutuswalk.control import evacuations as control_evacuations
from _arbutuswalk.control import scaling
from _arbutuswalk.control import service as services
from _arbutuswalk.entry import control_sync
from _arbutuswalk.entry import placement
from _arbutuswalk.relay import crash_probes
from _arbutuswalk.relay import evacuations as relay_evacuations
from _arbutuswalk.relay import path_opener
from _arbutuswalk.relay import relaying
from _arbutuswalk.relay import tunnel_server
from _arbutuswalk.state import commands
from _arbutuswalk.state import evacuations
from _arbutuswalk.state import move_policy
from _arbutuswalk.state import outcomes
from _arbutuswalk.state import rollouts
from _arbutuswalk.state import state_machine
from _arbutuswalk.state import tables as rows
from _arbutuswalk.state import view
from _arbutuswalk.streams import pool
from _arbutuswalk.wire.gen.arbutus import ttypes

BEGIN, FINISH = commands.BeginEvacuation, commands.FinishEvacuation


def apply(tables, command, at_ms=1):
    payload = state_machine.stamp(command, at_ms)
    return state_machine.apply(tables, payload, tables.applied + 1)


class TestState:
    def test_a_resend_is_accepted_and_changes_nothing(self):
        tables = rows.Tables()
        for _ in range(2):
            assert apply(tables, BEGIN("d", 0)) == outcomes.Accepted(revision=1)
        for _ in range(2):
            assert apply(tables, FINISH("d", 1)) == outcomes.Accepted(
                revision=2
            )
        assert evacuations.evacuated_domains(tables) == frozenset()

    def test_of_two_operators_the_last_committed_holds(self):
        tables = rows.Tables()
        apply(tables, BEGIN("d", 0))
        assert isinstance(apply(tables, FINISH("d", 0)), outcomes.Stale)
        assert isinstance(apply(tables, FINISH("d", 1)), outcomes.Accepted)
        assert isinstance(apply(tables, BEGIN("d", 2)), outcomes.Accepted)
        assert evacuations.evacuated_domains(tables) == {"d"}

    def test_an_order_delayed_past_the_next_one_does_not_undo_it(self):
        tables = rows.Tables()
        apply(tables, BEGIN("d", 0))
        apply(tables, FINISH("d", 1))
        assert isinstance(apply(tables, BEGIN("d", 0)), outcomes.Stale)
        assert evacuations.evacuated_domains(tables) == frozenset()

    def test_a_domain_that_was_never_evacuated_may_be_opened(self):
        """An entry may remember it from before control lost its disks."""
        tables = rows.Tables()
        assert isinstance(apply(tables, FINISH("d", 0)), outcomes.Accepted)
        assert tables.evacuations["d"].step == 1

    def test_snapshots_contain_them(self):
        tables = rows.Tables()
        apply(tables, BEGIN("d", 0), at_ms=7)
        loaded = state_machine.load(state_machine.dump(tables))
        assert loaded.evacuations == {
            "d": rows.EvacuationRow("evacuated", 1, 7)
        }
        assert state_machine.dump(loaded) == state_machine.dump(tables)
        former = json.loads(state_machine.dump(rows.Tables()))
        del former["evacuations"]
        loaded = state_machine.load(json.dumps(former).encode())
        assert loaded.evacuations == {}

    def test_a_former_build_takes_no_snapshot_without_them(self, monkeypatch):
        cluster = fakes.Cluster(snapshot_interval_entries=5)
        cluster.run(4)
        with monkeypatch.context() as former_build:
            former_build.delitem(commands._COMMAND_TYPES, "BeginEvacuation")
            cluster.propose(BEGIN("d", 0), "begin")
            for number in range(20):
                cluster.propose(commands.Tick(), number)
                cluster.run(0.1)
            for node in cluster.nodes.values():
                assert not node.core.tables.evacuations
                node.crash()
        cluster.settle()
        cluster.run(1)
        for node in cluster.nodes.values():
            assert evacuations.evacuated_domains(node.core.tables) == {"d"}

    def test_entries_of_the_inventory_get_them_with_it(self):
        """A former build fails at the name of a part that it lacks."""
        tables = rows.Tables()
        apply(tables, BEGIN("d", 0))
        parts = view.parts_since(tables, 0)
        assert parts.keys() == {"configuration"}
        assert parts["configuration"]["evacuated"] == ["d"]
        tables.changed["later"] = tables.applied
        assert view.parts_since(tables, 0) == parts


class FakeService:
    """The service of a leader, or of one that no leader answers."""

    def __init__(self, components, has_leader=True, former=False):
        self.member = components.member
        self.tables = self.member.tables
        self.listed_domains = ("d1", "d2")
        self.has_leader = has_leader
        self.former = former
        self.before_submit = None

    async def handle(self, message):
        if not self.has_leader:
            self.member.time += 0.5
            return ttypes.ReadReply(status=ttypes.Status.NOT_LEADER, leader="")
        if self.former:
            return ttypes.ReadReply(
                status=ttypes.Status.INVALID, reason="unknown query"
            )
        if isinstance(message, ttypes.Read):
            row = evacuations.find(self.tables, message.argument)
            return ttypes.ReadReply(
                status=services.OK, result=json.dumps(row._asdict()).encode()
            )
        if self.before_submit is not None:
            command, self.before_submit = self.before_submit, None
            apply(self.tables, command)
        outcome = apply(self.tables, commands.decode(message.command))
        return ttypes.SubmitReply(
            status=services.OK, result=outcomes.encode(outcome)
        )


async def order(components, what, domain):
    app = control_api.make_operators_app(components)
    path = f"/v1/Evacuation.{what}/{domain}"
    return await asgi.call(app, "POST", path, body=b"")


def make_components(**options):
    components = test_duties.make_components()
    return components._replace(service=FakeService(components, **options))


class TestPlatformCalls:
    async def test_both_orders_and_their_resends_are_acknowledged(self):
        components = make_components()
        tables = components.member.tables
        for what, evacuated in (("Begin", {"d1"}), ("Finish", set())) * 2:
            for _ in range(2):
                assert (await order(components, what, "d1")).status == 200
                assert evacuations.evacuated_domains(tables) == evacuated

    async def test_an_unknown_zone_gets_404(self):
        components = make_components()
        for what in ("Begin", "Finish"):
            assert (await order(components, what, "d9")).status == 404
        assert not components.member.tables.evacuations

    async def test_one_that_only_an_endpoint_names_is_known(self):
        components = make_components()
        test_scaling_rollouts.announce_all(components, "v1", "ready", 1)
        assert (await order(components, "Begin", "d3")).status == 200

    async def test_an_order_that_another_overtakes_is_given_again(self):
        components = make_components()
        assert (await order(components, "Begin", "d1")).status == 200
        components.service.before_submit = FINISH("d1", 1)
        assert (await order(components, "Begin", "d1")).status == 200
        tables = components.member.tables
        assert tables.evacuations["d1"][:2] == ("evacuated", 3)

    @pytest.mark.parametrize(
        "options", [{"has_leader": False}, {"former": True}]
    )
    async def test_without_a_leader_that_can_it_is_unavailable(self, options):
        """A 400, which a former build's reply was, would end the call."""
        components = make_components(**options)
        answer = await order(components, "Begin", "d1")
        assert answer.status == 503
        assert answer.headers["retry-after"] == "1"


def news(**states):
    return {"evacuations": {domain: list(s) for domain, s in states.items()}}


class TestWhatAnEntryKnows:
    def test_a_member_that_lags_takes_nothing_back(self):
        relay = relay_fixtures.make_relay()
        for row, evacuated in (
            (("evacuated", 1, 5), {"d1"}),
            (("open", 2, 5), set()),
            (("evacuated", 1, 5), set()),
            (("evacuated", 3, 9), {"d1"}),
            # Control has lost its disks since, and counts from the start.
            (("open", 1, 11), set()),
        ):
            relay_evacuations.merge(relay, news(d1=row), "a")
            assert relay.evacuations.domains == evacuated

    @pytest.mark.parametrize(
        "odd",
        [
            {},
            {"evacuations": None},
            {"evacuations": [1]},
            news(d1=()),
            news(d1=("open",)),
            news(d1=("open", 9, "9")),
            news(d1=("open", -1, 99)),
            news(d1=(None, 9, 9)),
            {"evacuations": {"d1": "open"}},
            news(**{"": ("open", 9, 9)}),
        ],
    )
    def test_a_reply_without_usable_ones_changes_nothing(self, odd):
        watcher, feed = test_watching.make_watcher()
        reply = test_watching.make_reply(**news(d1=("evacuated", 1, 5)))
        watcher._apply_reply(feed, reply)
        watcher._apply_reply(feed, test_watching.make_reply(**odd))
        assert watcher.relay.evacuations.domains == {"d1"}

    def test_a_state_or_field_of_a_later_build_keeps_requests_away(self):
        relay = relay_fixtures.make_relay()
        relay_evacuations.merge(relay, news(d1=("later", 1, 5, "x")), "a")
        assert relay.evacuations.domains == {"d1"}


async def relay_one(relay, **changes):
    request = relay_fixtures.make_request(relay, **changes)
    caller = relay_fixtures.RecordingCaller()
    await relaying.relay_request(
        relay, request, caller.make_delivery(relay, request)
    )
    return caller


async def start_both(relay, *steps):
    return [
        await relay_fixtures.ScriptedEndpoint(
            *steps, name=f"e-{domain}", domain=domain
        ).start(relay)
        for domain in ("d1", "d2")
    ]


class TestRequests:
    async def test_none_reaches_an_evacuated_domain_until_it_is_open(self):
        relay = relay_fixtures.make_relay()
        first, second = await start_both(relay)
        relay_evacuations.merge(relay, news(d1=("evacuated", 1, 5)), "a")
        for _ in range(20):
            assert (await relay_one(relay)).status == 200
        counts = len(first.request_heads), len(second.request_heads)
        assert counts == (0, 20)
        relay_evacuations.merge(relay, news(d1=("open", 2, 6)), "a")
        for _ in range(20):
            assert (await relay_one(relay)).status == 200
        assert first.request_heads

    async def test_they_are_refused_at_once_if_no_other_domain_is_left(self):
        relay = relay_fixtures.make_relay()
        endpoints = await start_both(relay)
        both = news(d1=("evacuated", 1, 5), d2=("evacuated", 1, 5))
        relay_evacuations.merge(relay, both, "a")
        started_at = time.monotonic()
        caller = await relay_one(relay)
        assert caller.status == 503
        assert b"evacuated" in caller.data
        assert time.monotonic() - started_at < 0.2
        assert not any(endpoint.request_heads for endpoint in endpoints)

    async def test_one_that_runs_there_ends_there_and_is_repeated_elsewhere(
        self,
    ):
        relay = relay_fixtures.make_relay()
        first, second = await start_both(relay)
        relay_evacuations.merge(relay, news(d2=("evacuated", 1, 5)), "a")

        async def finish_late(head, writer):
            await asyncio.sleep(0.05)
            await relay_fixtures.send_answer(b"late")(head, writer)

        first.steps = [
            finish_late,
            relay_fixtures.send_bytes(b"", close=True, wait_s=0.05),
        ]
        tasks = [asyncio.ensure_future(relay_one(relay)) for _ in range(2)]
        while len(first.request_heads) < 2:
            await asyncio.sleep(0.01)
        swapped = news(d1=("evacuated", 1, 6), d2=("open", 2, 6))
        relay_evacuations.merge(relay, swapped, "a")
        bodies = [(await task).data for task in tasks]
        assert sorted(bodies) == [b"late", b"ok"]
        assert len(first.request_heads) == 2
        assert len(second.request_heads) == 1

    async def test_one_whose_connection_opens_too_late_goes_elsewhere(
        self, monkeypatch
    ):
        relay = relay_fixtures.make_relay()
        first, second = await start_both(relay)
        acquire = relay.pool.acquire

        async def evacuate_meanwhile(address, **options):
            connection = await acquire(address, **options)
            row = ("evacuated", 1, 5)
            relay_evacuations.merge(relay, news(d1=row), "a")
            return connection

        monkeypatch.setattr(relay.pool, "acquire", evacuate_meanwhile)
        assert (await relay_one(relay)).status == 200
        assert not first.request_heads
        assert len(second.request_heads) == 1


class TestConnections:
    async def test_no_probe_or_tunnel_is_opened_to_an_evacuated_domain(self):
        relay = relay_fixtures.make_relay()
        first, second = await start_both(relay)
        relay_evacuations.merge(relay, news(d1=("evacuated", 1, 5)), "a")
        endpoint, other = (
            relay.directory.rows[name].endpoint for name in ("e-d1", "e-d2")
        )
        crash_probes.start(relay, endpoint)
        crash_probes.start_silent(relay, endpoint)
        assert not relay.probed_starts
        assert path_opener._ready_addresses(relay) == [other.address]
        tunnels = tunnel_server.TunnelServer(address="", relay=relay)
        reply = await tunnels._open(endpoint.address)
        assert "evacuated" in reply.reason
        # The entry that asked goes to another endpoint, not to another peer.
        assert not reply.ask_another
        assert not reply.refused
        _, writer = await tunnels._open(other.address)
        writer.close()
        assert first.connection_count == 0

    async def test_a_request_leaves_a_lost_endpoint_of_an_evacuated_domain(
        self, monkeypatch
    ):
        """A domain is evacuated because it was lost."""
        relay = relay_fixtures.make_relay()
        first, second = await start_both(relay)
        first.steps = [relay_fixtures.stay_silent()]
        route = relay.route_table.config.routes[0]._replace(timeout_s=5.0)
        task = asyncio.ensure_future(relay_one(relay, route=route))
        while not first.request_heads:
            await asyncio.sleep(0.01)

        lost = relay.directory.rows["e-d1"].endpoint.address
        open_connection = relay.pool.open

        async def open_unless_lost(address):
            if address != lost:
                return await open_connection(address)
            return pool.NotOpened(reason="connect timed out", refused=False)

        monkeypatch.setattr(relay.pool, "open", open_unless_lost)
        relay_evacuations.merge(relay, news(d1=("evacuated", 1, 5)), "a")
        # Callers of the other domain go on.
        assert (await relay_one(relay)).status == 200
        started_at = time.monotonic()
        assert (await task).status == 200
        assert time.monotonic() - started_at < 3.0
        assert len(second.request_heads) == 2


class TestUpstreamsOfTheInventory:
    @pytest.fixture
    def edge(self):
        new_edge = test_entry.Edge()
        yield new_edge
        new_edge.close()

    def update(self, edge, *left_out):
        tables = edge.control.tables
        parts = view.parts_since(tables, edge.entry.view_version)
        for name in left_out:
            del parts["configuration"][name]
        control_sync._apply_view(edge.entry, parts, view.version(tables))
        found = placement.candidates(edge.entry, "model", "generate", "r")
        return bool(found)

    def test_none_of_an_evacuated_domain_is_a_candidate(self, edge):
        assert self.update(edge)
        edge.control.commit(BEGIN("d1", 0))
        assert not self.update(edge)
        assert edge.post(test_entry.PLAIN, test_entry.ask()).status == 503
        # A leader of a former build names no evacuated domains.
        tables = edge.control.tables
        edge.control.commit(commands.Apply("later", "ann", 1, tables.inventory))
        assert not self.update(edge, "evacuated")
        edge.control.commit(FINISH("d1", 1))
        assert self.update(edge)


class TestEndpointOrders:
    def orders(self, components, fleets):
        found = scaling.decide_orders(components, fleets)
        return {order.domain: order.count for _, order in found}

    def test_replacements_are_ordered_elsewhere_and_kept_for_a_time(self):
        components = test_scaling_rollouts.make_components(rollouts.COMPLETED)
        components.member.tables.rollouts.clear()
        tables, member = components.member.tables, components.member
        fleets = test_scaling_rollouts.make_fleets()
        now_ms = int(member.wall() * 1000)
        apply(tables, BEGIN("d1", 0), at_ms=now_ms)
        assert self.orders(components, fleets) == {"d2": 6, "d3": 6}
        apply(tables, FINISH("d1", 1), at_ms=now_ms)
        member.wall_s += 5
        assert "d1" not in self.orders(components, fleets)
        member.wall_s += 5
        assert "d1" in self.orders(components, fleets)

    def test_none_are_placed_if_all_domains_are_evacuated(self):
        components = test_scaling_rollouts.make_components(rollouts.COMPLETED)
        components.member.tables.rollouts.clear()
        for domain in test_scaling_rollouts.SCALING.prices:
            apply(components.member.tables, BEGIN(domain, 0))
        fleets = test_scaling_rollouts.make_fleets()
        assert self.orders(components, fleets) == {}


class TestVersions:
    def test_a_move_does_not_count_endpoints_of_an_evacuated_domain(self):
        def row(version, domain):
            return ["u", version, "i", domain, "c", 4, 0, True]

        reports = {
            "e": {"upstreams": {"1": row("v1", "d1"), "2": row("v2", "d2")}}
        }
        usable = move_policy.usable_versions(reports, frozenset({"d2"}))
        assert usable == {("u", "v1")}


class TestDescription:
    def test_all_domains_that_were_heard_of_are_shown(self):
        components = test_duties.make_components()
        test_scaling_rollouts.announce_all(components, "v1", "ready", 1)
        apply(components.member.tables, BEGIN("d1", 0), at_ms=7)
        shown = control_evacuations.describe(components.discovery, ("d0", "d1"))
        assert list(shown) == ["d0", "d1", "d2", "d3"]
        assert shown["d0"] == {
            **rows.EvacuationRow("open", 0, 0)._asdict(),
            "ready_endpoints": 0,
        }
        assert shown["d1"] == {
            **rows.EvacuationRow("evacuated", 1, 7)._asdict(),
            "ready_endpoints": 5,
        }
