"""What control concludes while watches of running entries are lost or late."""

import asyncio
import random

import pytest
import virtual
import watch_network

ENTRY_COUNT = 20
LATENCY_S = 0.02
SAMPLE_INTERVAL_S = 0.01


def run(coroutine):
    loop = virtual.VirtualLoop()
    try:
        return loop.run_until_complete(coroutine)
    finally:
        virtual.close(loop)


class TestLookups:
    @pytest.mark.parametrize("latency_s", [0.001, 0.12])
    @pytest.mark.parametrize("lost", ["watch", "reply"])
    def test_one_lost_watch_removes_no_entry(
        self, monkeypatch, lost, latency_s
    ):
        network = watch_network.Network(monkeypatch, latency_s=latency_s)
        run(self.lose_one(network, lost))

    async def lose_one(self, network, lost):
        network.start_control()
        network.start_entry()
        await asyncio.sleep(2)
        assert network.discovery.ready_entries()
        network.next_lost = lost
        end_at = network.now() + 5
        while network.now() < end_at:
            await asyncio.sleep(SAMPLE_INTERVAL_S)
            assert network.discovery.ready_entries()
        assert network.next_lost == ""


class TestRestartAfterAPowerLossOfAll:
    @pytest.mark.parametrize("seed", range(8))
    def test_control_counts_all_entries_before_it_is_settled(
        self, monkeypatch, seed
    ):
        network = watch_network.Network(monkeypatch, latency_s=LATENCY_S)
        run(self.start_all(network, random.Random(seed)))

    async def start_all(self, network, rng):
        for _ in range(ENTRY_COUNT):
            network.start_entry()
            await asyncio.sleep(rng.uniform(0, 0.4))
        await asyncio.sleep(rng.uniform(2, 4))
        network.start_control()
        discovery = network.discovery
        while not discovery.is_settled():
            await asyncio.sleep(SAMPLE_INTERVAL_S)
        assert len(discovery.known_entries()) == ENTRY_COUNT
