"""Endpoints that warm up get few requests, from all entries together."""

import math

import pytest
import relay_fixtures
import test_duties
import test_endpoint_limits
import test_permits
import warm_up_cluster

from _arbutuswalk.limits import permits
from _arbutuswalk.relay import control_features
from _arbutuswalk.relay import crash_probes
from _arbutuswalk.relay import evacuations
from _arbutuswalk.relay import leaving_endpoints
from _arbutuswalk.relay import permit_client
from _arbutuswalk.relay import placement
from _arbutuswalk.relay import warm_up_limits
from _arbutuswalk.routing import directory
from _arbutuswalk.routing import leaving
from _arbutuswalk.routing import warm_ups
from _arbutuswalk.state import routeconfig
from _arbutuswalk.streams import pool
from _arbutuswalk.wire import codec
from _arbutuswalk.wire.gen.arbutus import ttypes

START = leaving.Start("e1", 1)
REQUESTS_PER_S = 120.0
SEEDS = range(2)
ENDPOINT = directory.Endpoint(
    "e1", 1, 1, "ops", "127.0.0.1:9", "d1", "v1", 8, directory.READY
)


class TestReopenedDomains:
    def test_their_endpoints_are_assumed_to_warm_up(self):
        """All entries would send to them at once before they announce it."""
        config = relay_fixtures.make_config()._replace(
            warm_ups=(routeconfig.WarmUp("ops", 3.0, 8.6),)
        )
        relay = relay_fixtures.make_relay(config)
        directory.announce(relay.directory, ENDPOINT, relay.now())
        for step, state in enumerate(("evacuated", "open"), start=1):
            assert warm_up_limits.rate(relay, ENDPOINT) is None
            news = {"evacuations": {"d1": [state, step, step]}}
            evacuations.merge(relay, news, "a")
        assert warm_up_limits.rate(relay, ENDPOINT) == 8.6


class TestWarmUps:
    def test_an_endpoint_that_announces_none_is_not_recorded(self):
        table = warm_ups.WarmUps()
        table.record(START, 0.0, 1.0)
        assert not table.ends_at
        assert table.share(START, 1.0) == 1.0

    def test_the_last_announcement_decides(self):
        table = warm_ups.WarmUps()
        table.record(START, 3.0, 1.0)
        assert table.left_s(START, 2.0) == 2.0
        table.record(START, 0.0, 2.0)
        assert table.left_s(START, 2.0) == 0.0

    def test_the_share_grows_after_the_warm_up(self):
        table = warm_ups.WarmUps()
        table.record(START, 3.0, 1.0)
        shares = [table.share(START, now) for now in (3.9, 4.0, 5.5, 7.0)]
        assert shares == [warm_ups.MIN_SHARE, warm_ups.MIN_SHARE, 0.75, 1.0]

    def test_an_assumption_outlasts_announcements_made_before_it(self):
        table = warm_ups.WarmUps()
        table.assume(START, 3.0, 1.0)
        table.record(START, 0.0, 2.9)
        assert table.left_s(START, 2.9) > 0
        table.record(START, 0.0, 3.0)
        assert table.left_s(START, 3.0) == 0

    def test_endpoints_in_full_use_are_forgotten(self):
        table = warm_ups.WarmUps()
        table.record(START, 3.0, 1.0)
        table.expire({START}, 6.9)
        assert START in table.ends_at
        table.expire({START}, 7.0)
        assert not table.ends_at


class TestDirectory:
    def test_only_a_new_warm_up_is_a_change(self):
        known = directory.Directory()
        changes = [
            directory.announce(
                known, ENDPOINT._replace(sequence=i, cold_s=left_s), float(i)
            )
            for i, left_s in enumerate([0.0, 3.0, 1.8, 3.0, 0.0])
        ]
        assert changes == [True, True, False, True, False]
        directory.expire_leaving(known, 4.0 + warm_ups.SLOW_START_S)
        assert not known.warm_ups.ends_at

    def test_an_older_announcement_changes_no_warm_up(self):
        known = directory.Directory()
        directory.announce(known, ENDPOINT._replace(sequence=3), 1.0)
        directory.announce(
            known, ENDPOINT._replace(sequence=2, cold_s=3.0), 1.0
        )
        assert not known.warm_ups.ends_at


class TestPermits:
    def test_a_bucket_of_a_warm_up_gathers_few_permits(self):
        bucket = permits.PermitBucket(now=0.0)
        granted = sum(
            isinstance(
                bucket.take("e", 20.0, 0.0, 9.0, permits.WARM_UP_BURST),
                permits.Granted,
            )
            for _ in range(9)
        )
        assert granted == permits.WARM_UP_BURST

    def test_permits_of_a_warm_up_record_no_stated_limit(self):
        issuer, member = test_permits.make_issuer()
        message = ttypes.PermitRequest(
            entry="e1",
            endpoint="i",
            born_ms=1,
            rate_per_s=2.0,
            statement_age_s=0.0,
            max_wait_s=0.0,
            warms_up=True,
        )
        assert issuer.issue(message).wait_s == 0.5
        assert not issuer.discovery.stated_limits.statements
        member.time += 20.0
        issuer.remove_unknown()
        assert not issuer.warm_up_buckets

    def test_the_message_is_read_with_and_without_the_field(self):
        for warms_up in (True, None):
            message = ttypes.PermitRequest(
                "e1", "i", 1, 2.0, 0.0, 0.0, warms_up
            )
            frame = codec.encode(1, message, reply=False)
            decoded = codec.decode(frame[codec.LENGTH_PREFIX.size :])
            assert decoded[2].warms_up is warms_up

    def test_a_leader_of_a_former_build_is_not_asked(self):
        discovery = test_duties.make_components().discovery
        news = discovery._build_update(0, has_share=False)
        assert control_features.from_json(news).warm_up_permits
        del news["warm_up_permits"]
        assert not control_features.from_json(news).warm_up_permits


def make_relay(*, left_s=3.0, rate_per_s=2.0):
    limits = routeconfig.WarmUp("ops", 3.0, rate_per_s)
    config = relay_fixtures.make_config()
    if rate_per_s:
        config = config._replace(warm_ups=(limits,))
    relay = relay_fixtures.make_relay(config)
    leaving_endpoints.merge_announcement(
        relay, ENDPOINT._replace(cold_s=left_s), "test"
    )
    return relay


class TestEntry:
    @pytest.mark.parametrize(
        ("left_s", "rate_per_s", "limit"),
        [(3.0, 2.0, 2.0), (0.0, 2.0, None), (3.0, 0.0, None)],
    )
    def test_only_a_limited_warm_up_needs_permits(
        self, left_s, rate_per_s, limit
    ):
        relay = make_relay(left_s=left_s, rate_per_s=rate_per_s)
        assert warm_up_limits.rate(relay, ENDPOINT) == limit

    async def test_a_request_without_a_valid_permit_is_not_sent(self):
        relay = make_relay(left_s=0.0)
        endpoint = await relay_fixtures.ScriptedEndpoint().start(relay)
        acquire = relay.pool.acquire

        async def acquire_late(address, **options):
            row = relay.directory.rows["e1"].endpoint
            news = row._replace(sequence=9, cold_s=3.0)
            leaving_endpoints.merge_announcement(relay, news, "test")
            return await acquire(address, **options)

        relay.pool.acquire = acquire_late
        caller = await test_endpoint_limits.relay_once(relay)
        assert caller.status == 503
        assert endpoint.request_heads == []
        endpoint.stop()

    def test_a_permit_expires(self):
        relay = make_relay()
        valid_until = warm_up_limits.permit_ends_at(relay, ENDPOINT)
        args = relay, ENDPOINT
        assert not warm_up_limits.needs_other_permit(*args, valid_until, 0.0)
        assert warm_up_limits.needs_other_permit(*args, valid_until - 1.0, 0.0)
        assert warm_up_limits.needs_other_permit(*args, None, 0.0)

    @pytest.mark.parametrize("is_path_failure", [True, False])
    def test_an_unreachable_endpoint_may_warm_up(self, is_path_failure):
        relay = make_relay(left_s=0.0)
        failure = pool.NotOpened(
            reason="t", refused=False, is_path_failure=is_path_failure
        )
        crash_probes.record_not_opened(relay, ENDPOINT, failure)
        is_limited = warm_up_limits.rate(relay, ENDPOINT) is not None
        assert is_limited != is_path_failure

    def test_an_endpoint_that_was_hard_to_reach_may_warm_up(self):
        relay = make_relay(left_s=0.0)
        assert not warm_up_limits.needs_other_permit(relay, ENDPOINT, None, 0.4)
        assert warm_up_limits.needs_other_permit(relay, ENDPOINT, None, 0.6)

    @pytest.mark.parametrize(
        ("draw", "tried", "chosen"),
        [(0.4, set(), "e1"), (0.6, set(), "e2"), (0.6, {"e2"}, "e1")],
    )
    def test_some_requests_consider_it_only_if_no_other_serves(
        self, draw, tried, chosen
    ):
        """It has the lower load, so that those which consider it choose it."""
        relay = make_relay()
        relay.rng.random = lambda: draw
        directory.announce(
            relay.directory,
            ENDPOINT._replace(id="e2", address="127.0.0.1:8"),
            relay.now(),
        )
        relay.add_load("e2", 3, 0)
        request = relay_fixtures.make_request(relay)
        found = placement.find_placement(
            relay, request, tried, max_permit_wait_s=math.inf
        )
        assert found.endpoint.id == chosen

    async def test_the_refusal_names_the_time_of_the_next_permit(self):
        relay = make_relay()
        relay.rng.random = lambda: 0.0

        async def deny(*_):
            return permit_client.LeaderDecision(
                "c", permits.Denied(wait_s=1.5), 1
            )

        relay.permits.ask_leader = deny
        refused = await test_endpoint_limits.relay_once(relay)
        assert refused.status == 503
        headers = dict(refused.headers)
        assert float(headers[b"retry-after"]) == pytest.approx(1.5, abs=0.1)


@pytest.fixture
def make_cluster():
    clusters = []

    def make(**options):
        cluster = warm_up_cluster.Cluster(**options)
        clusters.append(cluster)
        cluster.run(1.5, requests_per_s=REQUESTS_PER_S)
        return cluster

    yield make
    for cluster in clusters:
        cluster.close()


def nothing(cluster):
    pass


def kill_the_leader(cluster):
    cluster.stop_control(0)
    cluster.run(0.3, requests_per_s=REQUESTS_PER_S)
    cluster.elect(1)


def move_the_leader_often(cluster):
    for number in range(6):
        cluster.elect(number % 3)
        cluster.run(0.2, requests_per_s=REQUESTS_PER_S)


def cut_off_entries(cluster):
    cluster.cut_off |= {0, 1, 2, 3, 4, 5}


def cut_off_all_entries(cluster):
    cluster.cut_off |= set(range(len(cluster.entries)))


def warm_up_again(cluster):
    cluster.warm_up(*range(len(cluster.endpoints)), restarts=False)


def restart_again(cluster):
    cluster.warm_up(*range(len(cluster.endpoints)))


def hold_connections_up(cluster):
    for endpoint in cluster.endpoints:
        cluster.reachable_at[endpoint.address] = cluster.now + 1.2


FAULTS = [
    nothing,
    kill_the_leader,
    move_the_leader_often,
    cut_off_entries,
    cut_off_all_entries,
    warm_up_again,
    restart_again,
    hold_connections_up,
]


class TestCluster:
    @pytest.mark.parametrize("seed", SEEDS)
    @pytest.mark.parametrize("fault", FAULTS)
    def test_no_second_brings_more_than_is_tolerated(
        self, make_cluster, fault, seed
    ):
        cluster = make_cluster(seed=seed)
        cluster.warm_up(0, 1, 2)
        cluster.run(1.0, requests_per_s=REQUESTS_PER_S)
        fault(cluster)
        cluster.run(2.0, requests_per_s=REQUESTS_PER_S)
        most = cluster.most_in_second()
        assert 0 < most <= warm_up_cluster.PERMITTED_IN_SECOND

    @pytest.mark.parametrize("seed", SEEDS)
    def test_permits_are_used_while_requests_are_refused(
        self, make_cluster, seed
    ):
        cluster = make_cluster(seed=seed)
        cluster.warm_up(0, 1, 2)
        since = cluster.now
        cluster.run(3.0, requests_per_s=REQUESTS_PER_S)
        for index in range(3):
            arrivals = cluster.arrivals_since(index, since)
            assert arrivals >= 0.9 * 3.0 * warm_up_cluster.RATE_PER_S

    @pytest.mark.parametrize("seed", SEEDS)
    def test_no_request_is_refused_while_another_endpoint_has_room(
        self, make_cluster, seed
    ):
        cluster = make_cluster(seed=seed)
        cluster.warm_up(0, 1)
        cluster.statuses.clear()
        cluster.run(7.0, requests_per_s=50.0)
        assert cluster.refused_fraction() == 0

    @pytest.mark.parametrize("seed", SEEDS)
    def test_requests_return_gradually(self, make_cluster, seed):
        cluster = make_cluster(seed=seed)
        cluster.warm_up(0)
        cluster.run(3.0, requests_per_s=REQUESTS_PER_S)
        since = cluster.now
        cluster.run(0.5, requests_per_s=REQUESTS_PER_S)
        even_share = 0.5 * REQUESTS_PER_S / 3
        assert cluster.arrivals_since(0, since) <= even_share
        cluster.run(4.0, requests_per_s=REQUESTS_PER_S)
        since = cluster.now
        cluster.run(4.0, requests_per_s=REQUESTS_PER_S)
        assert cluster.arrivals_since(0, since) >= 2 * even_share

    def test_an_entry_in_touch_learns_it_at_once(self, make_cluster):
        cluster = make_cluster(seed=1)
        cluster.warm_up(0, restarts=False)
        cluster.run(warm_up_cluster.NEWS_S, requests_per_s=1.0)
        endpoint = cluster.endpoints[0].name
        for watcher in cluster.entries:
            row = watcher.relay.directory.rows[endpoint]
            assert warm_up_limits.rate(watcher.relay, row.endpoint)
