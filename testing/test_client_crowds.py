"""Clients over the limits neither end nor hang a process."""

import asyncio

import client_crowds
import pytest
import relay_fixtures

CALLERS, READINESS, METRICS = "callers", "readiness", "metrics"
OPERATORS, LOOKUPS = "operators", "lookups"
ANNOUNCE = "/v1/upstreams/announce"
SERVICE = "/v1/services/plain"
REPLACE = "/v1/Configuration.Replace"
READY = "/v1/readiness"
RESOLUTION = "/v1/resolution?name=h.example"
MANY_CLIENTS = 60
MANY_HEADS = 250
ANSWER = 4 * 1024 * 1024 * b"x"
BODY_ADDRESSES = [
    (CALLERS, "/a/x"),
    (READINESS, READY),
    (OPERATORS, REPLACE),
    (OPERATORS, "/v1/Instances.Heartbeat/i-9"),
    (LOOKUPS, RESOLUTION),
]
SENT_AHEAD_ADDRESSES = [
    (CALLERS, "/a/x"),
    (READINESS, READY),
    (OPERATORS, "/v1/Configuration.Read"),
    (LOOKUPS, RESOLUTION),
]


@pytest.fixture
async def cluster(tmp_path):
    new_cluster = client_crowds.Cluster(tmp_path)
    try:
        await new_cluster.start()
        yield new_cluster
    finally:
        await new_cluster.stop()


def address_of(cluster, listener):
    ports = {
        CALLERS: cluster.callers_port,
        READINESS: cluster.readiness_port,
        OPERATORS: cluster.operators_port,
        LOOKUPS: cluster.lookups_port,
        METRICS: 9464,
    }
    is_entry = listener in (CALLERS, READINESS)
    ips = cluster.entry_ips if is_entry else cluster.control_ips
    return ips[0], ports[listener]


async def check(cluster, listener, pieces, **options):
    """Lets a crowd send, and checks the process beside and after it."""
    address = address_of(cluster, listener)
    process = cluster.processes[address[0]]

    async def assert_serves():
        await cluster.assert_serves(address[0])

    await check_process(process, address, pieces, assert_serves, **options)


async def check_process(process, address, pieces, assert_serves, **options):
    async with client_crowds.Crowd(address, pieces, **options):
        await asyncio.sleep(client_crowds.STANDSTILL_S)
        used_by_crowd = client_crowds.measure(process)
        print("used beside the crowd:", used_by_crowd)
        assert used_by_crowd is not None
        assert used_by_crowd.peak_mb < client_crowds.MEMORY_MB
        assert used_by_crowd.descriptors < client_crowds.DESCRIPTORS
        await assert_serves()
    await assert_serves()
    used = client_crowds.measure(process)
    assert used is not None
    assert used.peak_mb < client_crowds.MEMORY_MB


@pytest.fixture
async def unlimited(cluster):
    """The cluster with a configuration that sets no limits."""
    await cluster.replace_config(4, {})
    return cluster


class TestBodies:
    @pytest.mark.parametrize(("listener", "path"), BODY_ADDRESSES)
    async def test_one_that_is_announced_far_over_the_limit(
        self, cluster, listener, path
    ):
        await check(
            cluster, listener, lambda: client_crowds.announced_body(path)
        )

    @pytest.mark.parametrize(("listener", "path"), BODY_ADDRESSES)
    async def test_one_that_is_sent_far_over_the_limit(
        self, cluster, listener, path
    ):
        await check(
            cluster, listener, lambda: client_crowds.endless_chunks(path)
        )

    @pytest.mark.parametrize(
        "make_body",
        [client_crowds.announced_body, client_crowds.endless_chunks],
    )
    async def test_one_without_a_limit_in_the_configuration(
        self, unlimited, make_body
    ):
        await check(unlimited, CALLERS, lambda: make_body("/a/x"))

    @pytest.mark.parametrize(
        ("listener", "path"), [(CALLERS, "/a/x"), (OPERATORS, REPLACE)]
    )
    async def test_many_that_are_never_complete(
        self, unlimited, listener, path
    ):
        await check(
            unlimited,
            listener,
            lambda: client_crowds.unfinished_body(path),
            clients=MANY_CLIENTS,
        )


class TestRequestsSentAhead:
    @pytest.mark.parametrize(("listener", "path"), SENT_AHEAD_ADDRESSES)
    async def test_without_the_usual_headers_and_unread(
        self, cluster, listener, path
    ):
        await check(
            cluster, listener, lambda: client_crowds.requests_ahead(path)
        )

    async def test_with_bodies_and_unread(self, cluster):
        await check(cluster, CALLERS, lambda: client_crowds.posts_ahead("/a/x"))


class TestHeads:
    @pytest.mark.parametrize(
        ("listener", "path"), [(CALLERS, "/a/x"), (READINESS, READY)]
    )
    async def test_many_that_are_never_complete(
        self, unlimited, listener, path
    ):
        await check(
            unlimited,
            listener,
            lambda: client_crowds.unfinished_head(path),
            clients=MANY_HEADS,
        )

    async def test_upgrades_that_are_not_supported(self, cluster):
        await check(cluster, CALLERS, lambda: client_crowds.upgrade("/a/x"))


class TestUnreadAnswers:
    async def test_large_ones(self, cluster):
        answer = relay_fixtures.send_answer(ANSWER)
        cluster.endpoint.steps = MANY_CLIENTS * [answer]
        await check(
            cluster,
            CALLERS,
            lambda: client_crowds.one_request("/a/x"),
            clients=MANY_CLIENTS,
        )


class TestConnections:
    @pytest.mark.parametrize(
        "listener", [CALLERS, READINESS, METRICS, OPERATORS, LOOKUPS]
    )
    async def test_more_idle_ones_than_descriptors(self, cluster, listener):
        await check(
            cluster,
            listener,
            client_crowds.nothing,
            clients=client_crowds.DESCRIPTORS + 100,
        )


class TestChatFront:
    @pytest.mark.parametrize(
        ("pieces", "clients"),
        [
            (lambda: client_crowds.endless_chunks("/v1/entries"), None),
            (lambda: client_crowds.endless_chunks(ANNOUNCE), None),
            (lambda: client_crowds.unfinished_body(SERVICE), MANY_CLIENTS),
            (lambda: client_crowds.requests_ahead("/v1/entries"), None),
            (lambda: client_crowds.requests_ahead("/metrics"), None),
            (lambda: client_crowds.unfinished_head("/metrics"), MANY_HEADS),
            (client_crowds.nothing, client_crowds.DESCRIPTORS + 100),
        ],
        ids=[
            "body not read",
            "body read",
            "unfinished bodies",
            "requests ahead",
            "metrics ahead",
            "unfinished heads",
            "idle",
        ],
    )
    async def test_clients_over_the_limits(
        self, process_group, pieces, clients
    ):
        cluster = client_crowds.ChatCluster(process_group)
        try:
            await cluster.start_all(entry_count=1)
            address = cluster.entry_addresses[0]
            host, _, port = address.rpartition(":")
            await check_process(
                process_group.processes["entry-0"],
                (host, int(port)),
                pieces,
                lambda: cluster.assert_serves(address),
                clients=clients or client_crowds.CLIENTS,
            )
        finally:
            await cluster.client.stop()
