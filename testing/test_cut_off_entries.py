"""Callers of entries that are cut off from all endpoints."""

import time

import aiohttp
import cut_cluster
import pytest

CONTACT_THRESHOLD_S = 3.0
OBSERVED_S = 3.0
LEAST_SHARE = 2 / 3
"""Share served at the entries cut off, of that served at the others."""


@pytest.fixture
async def cluster(tmp_path, monkeypatch):
    async with (
        aiohttp.ClientSession(
            connector=aiohttp.TCPConnector(limit=0)
        ) as session,
        cut_cluster.running(
            cut_cluster.CutCluster(tmp_path, monkeypatch), session
        ) as running_cluster,
    ):
        yield running_cluster


class TestFirstAttempts:
    @pytest.mark.parametrize("cut_off", [1, 3])
    @pytest.mark.parametrize("how", ["silent", "reset", "refuse"])
    async def test_callers_of_entries_that_are_cut_off_are_served(
        self, cluster, how, cut_off
    ):
        ips = cluster.entry_ips
        await cluster.serve(ips, 1.0)
        cluster.cut.start(cluster.relays(cut_off), how)
        await cluster.serve(ips, CONTACT_THRESHOLD_S)
        shares = await cluster.serve(ips, OBSERVED_S)
        others = min(shares[ip] for ip in ips[cut_off:])
        assert others > 0.95
        assert all(
            shares[ip] >= LEAST_SHARE * others for ip in ips[:cut_off]
        ), shares


class TestPath:
    async def test_it_is_used_again_once_it_is_restored(self, cluster):
        relays = cluster.relays(2)
        cluster.cut.start(relays, "reset")
        await cluster.serve(cluster.entry_ips, 2.0)
        assert all(relay.paths.is_cut_off for relay in relays)
        cluster.cut.end()
        await cluster.serve(cluster.entry_ips, 1.5)
        for relay in relays:
            assert not relay.paths.is_cut_off
            idle = [c for each in relay.pool.idle.values() for c in each]
            assert idle
            assert not any(connection.peer for connection in idle)

    @pytest.mark.parametrize("how", ["silent", "reset"])
    async def test_requests_are_refused_at_once_if_no_entry_has_one(
        self, cluster, how
    ):
        cluster.cut.start(cluster.relays(len(cluster.entry_ips)), how)
        await cluster.serve(cluster.entry_ips, CONTACT_THRESHOLD_S)
        started_at = time.monotonic()
        statuses = [
            (await cluster.send_request(ip))[0] for ip in cluster.entry_ips
        ]
        assert statuses == [503] * len(statuses)
        assert time.monotonic() - started_at < 0.2 * len(statuses)
        cluster.cut.end()
        await cluster.serve(cluster.entry_ips, 1.5)
        shares = await cluster.serve(cluster.entry_ips, 1.0)
        assert min(shares.values()) == 1.0

    @pytest.mark.parametrize("how", ["silent", "reset", "refuse"])
    async def test_its_loss_is_not_taken_for_crashes_of_endpoints(
        self, cluster, how
    ):
        relays = cluster.relays(3)
        await cluster.serve(cluster.entry_ips, 0.5)
        cluster.cut.start(relays, how)
        await cluster.serve(cluster.entry_ips, 4.0)
        for relay in relays:
            assert not relay.crashes.deaths
            assert not relay.refusals.to_json(relay.now())
            assert len(relay.directory.rows) == 3
