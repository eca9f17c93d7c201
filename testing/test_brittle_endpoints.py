"""Endpoints that state that they are brittle."""

import brittle_cluster
import limit_cluster
import pytest
import relay_fixtures
import test_endpoint_limits
from arbutuswalk_platform import headers

from _arbutuswalk.relay import brittle_endpoints
from _arbutuswalk.routing import directory
from _arbutuswalk.routing import leaving

SEEDS = range(2)
DURATION_S = 12.0


@pytest.fixture
def make_cluster():
    clusters = []

    def make(**options):
        cluster = brittle_cluster.Cluster(**options)
        clusters.append(cluster)
        return cluster

    yield make
    for cluster in clusters:
        cluster.close()


class TestAllEntries:
    """All endpoints of an upstream are brittle."""

    @pytest.mark.parametrize("seed", SEEDS)
    @pytest.mark.parametrize("load", [0.9, 2.0, 4.0])
    @pytest.mark.parametrize("brittle", [1, 2, 5, 20])
    @pytest.mark.parametrize("entries", [8, 72])
    def test_they_do_not_fall_over_for_what_they_turn_away(
        self, make_cluster, entries, brittle, load, seed
    ):
        cluster = make_cluster(seed=seed, entries=entries, brittle=brittle)
        cluster.run_load(DURATION_S, load)
        assert cluster.falls() <= cluster.permitted_falls()


def lose_control(cluster, load):
    cluster.disturb(-1)
    for index in range(len(cluster.controls)):
        cluster.stop_control(index)
    cluster.run_load(4.0, load)
    for index in range(len(cluster.controls)):
        cluster.start_control(index)
    cluster.elect(1)
    cluster.disturb(-1)


def move_leader(cluster, load):
    for index in (1, 2, 0):
        cluster.elect(index)
        cluster.run_load(1.5, load)


def freeze_leader(cluster, load):
    cluster.disturb(-1)
    cluster.frozen.add(0)
    cluster.run_load(2.0, load)
    cluster.elect(1)
    cluster.run_load(2.0, load)
    cluster.disturb(-1)
    cluster.frozen.clear()


def restart_entries(cluster, load):
    for index in range(2):
        cluster.disturb(index)
        cluster.stop_entry(index)
        cluster.run_load(1.0, load)
        cluster.start_entry(index)
        cluster.run_load(1.0, load)
        cluster.disturb(index)


def cut_off_an_entry(cluster, load):
    cluster.cut_off.add(0)
    cluster.run_load(3.0, load)
    cluster.cut_off.clear()
    cluster.disturb(0)


def restart_endpoints(cluster, load):
    for endpoint in cluster.endpoints:
        endpoint.stop()
        cluster.run_load(2.0, load)


def end_and_begin(cluster, load):
    before = cluster.endpoints[0].brittle
    for endpoint in cluster.endpoints:
        endpoint.state_brittle(None)
    cluster.run_load(4.0, load)
    for endpoint in cluster.endpoints:
        endpoint.state_brittle(before)


FAULTS = (
    lose_control,
    move_leader,
    freeze_leader,
    restart_entries,
    cut_off_an_entry,
    restart_endpoints,
    end_and_begin,
)


class TestFaults:
    """Brittle endpoints while control, entries or endpoints fail."""

    @pytest.mark.parametrize("seed", SEEDS)
    @pytest.mark.parametrize("load", [0.9, 2.0])
    @pytest.mark.parametrize("brittle", [1, 5])
    @pytest.mark.parametrize("fault", FAULTS)
    def test_no_more_endpoints_fall_over_than_permitted(
        self, make_cluster, fault, brittle, load, seed
    ):
        cluster = make_cluster(seed=seed, entries=12, brittle=brittle)
        cluster.run_load(5.0, load)
        fault(cluster, load)
        cluster.run_load(6.0, load)
        assert cluster.falls() <= cluster.permitted_falls()


class TestUnseenUse:
    @pytest.mark.parametrize("seed", SEEDS)
    @pytest.mark.parametrize("brittle", [1, 2, 20])
    @pytest.mark.parametrize("load", [0.4, 0.9])
    def test_endpoints_with_fewer_free_slots_than_announced_stay_up(
        self, make_cluster, load, brittle, seed
    ):
        cluster = make_cluster(
            seed=seed, entries=12, brittle=brittle, hidden_slots=1
        )
        cluster.run_load(DURATION_S, load)
        assert cluster.falls() <= cluster.permitted_falls()


class TestServed:
    """Requests that the endpoints have room for are served."""

    @pytest.mark.parametrize("entries", [8, 72])
    def test_half_the_load_is_served_as_without_the_term(
        self, make_cluster, entries
    ):
        cluster = make_cluster(seed=1, entries=entries, brittle=1)
        assert cluster.run_load(8.0, 0.5) >= 0.99

    @pytest.mark.parametrize("entries", [8, 72])
    @pytest.mark.parametrize("load", [0.9, 2.0])
    def test_most_slots_are_used_under_high_load(
        self, make_cluster, load, entries
    ):
        cluster = make_cluster(seed=1, entries=entries, brittle=1)
        assert cluster.run_load(8.0, load) * load >= 0.85

    def test_without_rejections_permitted_at_all_none_falls(self, make_cluster):
        cluster = make_cluster(seed=1, entries=12, brittle=0)
        assert cluster.run_load(8.0, 0.9) * 0.9 >= 0.85
        assert cluster.all_falls() == 0


BRITTLE = "Server-Brittle: 5\r\n"


def announce(relay, name):
    endpoint = limit_cluster.make_announcement(name, 1, 1, "127.1.0.1:1")
    directory.announce(relay.directory, endpoint, relay.now())


def make_two_endpoints(relay):
    """Returns two known endpoints, the first of which states 3."""
    for name in ("e1", "e2"):
        announce(relay, name)
    first, second = (relay.directory.rows[n].endpoint for n in ("e1", "e2"))
    reply = headers.interpret_response(200, [(b"server-brittle", b"3")])
    brittle_endpoints.record_reply(relay, first, reply, "r")
    return first, second


class TestStatements:
    @pytest.mark.parametrize(
        ("value", "limit"),
        [(b"12", 12.0), (b"0", 0.0), (b" 1 ", 1.0), (b"2.5", 2.5)],
        ids=str,
    )
    def test_a_decimal_number_is_valid(self, value, limit):
        reply = headers.interpret_response(200, [(b"server-brittle", value)])
        assert reply.rejections_per_s == limit
        assert reply.invalid_brittle is None

    @pytest.mark.parametrize(
        "value", [b"", b"-1", b"nan", b"1e9", b"two", b"9" * 400], ids=str
    )
    def test_anything_else_is_not(self, value):
        reply = headers.interpret_response(200, [(b"server-brittle", value)])
        assert reply.rejections_per_s is None
        assert reply.invalid_brittle == value.decode()[:40]

    def test_two_values_are_not(self):
        pair = (b"server-brittle", b"3")
        reply = headers.interpret_response(200, [pair, pair])
        assert reply.rejections_per_s is None
        assert reply.invalid_brittle == "3, 3"

    async def test_the_last_answer_decides(self):
        relay = relay_fixtures.make_relay()
        endpoint = await relay_fixtures.ScriptedEndpoint(
            relay_fixtures.send_answer(extra=BRITTLE),
            relay_fixtures.send_answer(extra="Server-Brittle: x\r\n"),
            relay_fixtures.send_answer(),
        ).start(relay)
        row = relay.directory.rows["e1"].endpoint
        seen = []
        for _ in range(3):
            await test_endpoint_limits.relay_once(relay)
            seen.append(brittle_endpoints.rejections_per_s(relay, row))
            relay.slots.replied_at = -10.0
        endpoint.stop()
        assert seen == [5.0, 5.0, None]

    def test_an_invalid_value_is_logged_once_for_each_start(self):
        relay = relay_fixtures.make_relay()
        announce(relay, "e1")
        row = relay.directory.rows["e1"].endpoint
        reply = headers.interpret_response(200, [(b"server-brittle", b"x")])
        for _ in range(2):
            brittle_endpoints.record_reply(relay, row, reply, "r")
        assert relay.slots.invalid_from == {leaving.Start("e1", row.born_ms)}
        assert brittle_endpoints.rejections_per_s(relay, row) is None

    def test_a_start_that_has_not_answered_is_like_the_others(self):
        relay = relay_fixtures.make_relay()
        _, second = make_two_endpoints(relay)
        assert brittle_endpoints.rejections_per_s(relay, second) == 3.0
        newer = second._replace(born_ms=second.born_ms + 1)
        assert brittle_endpoints.rejections_per_s(relay, newer) == 3.0

    def test_a_start_that_states_nothing_is_not(self):
        relay = relay_fixtures.make_relay()
        _, second = make_two_endpoints(relay)
        reply = headers.interpret_response(200, [])
        brittle_endpoints.record_reply(relay, second, reply, "r")
        assert brittle_endpoints.rejections_per_s(relay, second) is None

    def test_an_answer_of_another_endpoint_at_the_address_states_nothing(self):
        relay = relay_fixtures.make_relay()
        first, _ = make_two_endpoints(relay)
        reply = headers.interpret_response(421, [(b"server-brittle", b"9")])
        brittle_endpoints.record_reply(relay, first, reply, "r")
        assert brittle_endpoints.rejections_per_s(relay, first) == 3.0

    async def test_one_that_also_asked_for_a_pause_is_waited_for(self):
        relay = relay_fixtures.make_relay()
        relay.rng.random = lambda: 0.0
        endpoint = await relay_fixtures.ScriptedEndpoint(
            relay_fixtures.send_answer(
                status="503 Full", extra=BRITTLE + "Retry-After: 0.05\r\n"
            ),
            relay_fixtures.send_answer(),
        ).start(relay)
        await test_endpoint_limits.relay_once(relay)
        relay.slots.replied_at = -10.0
        relay.entry_count = 1
        caller = await test_endpoint_limits.relay_once(relay)
        endpoint.stop()
        assert caller.status == 200

    def test_other_entries_learn_it_from_control(self, make_cluster):
        cluster = make_cluster(seed=1, entries=8, brittle=3)
        cluster.run(1.5, requests_per_s=20.0, entries=[0])
        relay = cluster.entries[7].relay
        endpoint = next(iter(relay.directory.rows.values())).endpoint
        assert brittle_endpoints.rejections_per_s(relay, endpoint) == 3.0
