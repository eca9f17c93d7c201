"""Orders of endpoints during and after a rollout."""

import pytest
import relay_fixtures
import test_duties

from _arbutuswalk.control import scaling
from _arbutuswalk.routing import directory
from _arbutuswalk.state import rollouts
from _arbutuswalk.state import routeconfig
from _arbutuswalk.state import scaling_policy
from _arbutuswalk.state import tables as rows

HEARTBEAT_S = 1.2
SILENCE_S = 4.1
SCALING = routeconfig.Scaling(
    1, 6, 4.0, 0.18, {"d1": 0.85, "d2": 1.2, "d3": 1.0}
)


def make_components(state):
    components = test_duties.make_components()
    member = components.member
    config = relay_fixtures.make_config()._replace(
        upstreams=(routeconfig.Upstream("ops", 100, None, SCALING),)
    )
    member.tables.routes = routeconfig.to_json(config)
    member.tables.routes_version = 1
    member.tables.rollouts["ops"] = rows.RolloutRow(
        "v2", state, 0, 2, 0, 15_000, int(member.wall() * 1000), ""
    )
    for version in ("v1", "v2"):
        announce_all(components, version, directory.READY, 1)
    components.discovery.loads = lambda: {"v1-d1-0": [72, 0]}
    return components


def make_fleets(heartbeat_s=HEARTBEAT_S):
    return scaling.Fleets(heartbeat_s=heartbeat_s)


def announce_all(components, version, state, sequence):
    for domain in SCALING.prices:
        for index in range(5):
            endpoint = directory.Endpoint(
                f"{version}-{domain}-{index}",
                1,
                sequence,
                "ops",
                f"{version}.{domain}.{index}:1",
                domain,
                version,
                64,
                state,
                reclaimable=True,
            )
            components.discovery.apply_announcement(endpoint)


class TestOrdersBesideARollout:
    @pytest.mark.parametrize(
        ("state", "given_up"),
        [(rollouts.REVERTED, "v2"), (rollouts.COMPLETED, "v1")],
    )
    def test_none_while_the_given_up_version_still_runs(self, state, given_up):
        components = make_components(state)
        fleets = make_fleets()
        assert scaling.decide_orders(components, fleets) == []
        announce_all(components, given_up, directory.LEAVING, 2)
        orders = scaling.decide_orders(components, fleets)
        assert orders == [
            ("ops", scaling_policy.Order(domain, True, 6))
            for domain in sorted(SCALING.prices)
        ]

    def test_a_version_that_is_never_stopped_blocks_no_orders(self):
        components = make_components(rollouts.REVERTED)
        components.member.wall_s += scaling.MAX_VERSION_OVERLAP_S
        assert scaling.decide_orders(components, make_fleets())

    def test_silent_endpoints_of_the_old_version_block_no_orders(self):
        components = make_components(rollouts.COMPLETED)
        components.member.time += SILENCE_S
        announce_all(components, "v2", directory.READY, 2)
        assert scaling.decide_orders(components, make_fleets())

    def test_the_end_of_the_given_up_version_is_no_reclaim(self):
        components = make_components(rollouts.REVERTED)
        fleets = make_fleets()
        fleet = fleets.fleet("ops")
        for domain in SCALING.prices:
            order = scaling_policy.Order(domain, True, 6)
            scaling_policy.record_order_outcome(
                fleet, order, accepted=True, now=99.0
            )
        announce_all(components, "v2", directory.LEAVING, 2)
        scaling.decide_orders(components, fleets)
        assert fleet.refused_at == {}


class TestSilentEndpoints:
    @pytest.mark.parametrize("heartbeat_s", [0.2, 1.0, 1.2, 2.0, 5.0])
    def test_three_missed_heartbeats_count_whatever_their_interval(
        self, heartbeat_s
    ):
        components = make_components(rollouts.COMPLETED)
        fleets = make_fleets(heartbeat_s)
        components.member.time += 3 * heartbeat_s
        assert scaling.decide_orders(components, fleets) == []
        components.member.time += 0.5 * heartbeat_s
        announce_all(components, "v2", directory.READY, 2)
        assert scaling.decide_orders(components, fleets)
