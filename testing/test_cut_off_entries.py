"""Callers of entries that are cut off from all endpoints."""

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
