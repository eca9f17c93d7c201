"""Entries that callers' look-ups return at hundreds of entries."""

import collections
import random
from types import SimpleNamespace

import aiohttp
import process_fixtures
import pytest
import test_duties
from arbutuswalk_platform import control_api
from arbutuswalk_platform import server

from _arbutuswalk.base import capacities
from _arbutuswalk.control import discovery as discoveries
from _arbutuswalk.control import lookups
from _arbutuswalk.wire import compressed_json
from _arbutuswalk.wire.gen.arbutus import ttypes

DOMAINS = ["d1", "d2", "d3", "d4", "d5"]
ENTRY_COUNT = 191
LIMIT = 64


def make_entries(count=ENTRY_COUNT):
    return [
        lookups.EntryAddress(f"10.1.{i // 250}.{i % 250}:80", DOMAINS[i % 5])
        for i in range(count)
    ]


@pytest.fixture(params=DOMAINS)
def domain(request):
    return request.param


class TestSelection:
    def test_every_entry_gets_callers(self):
        selected = {
            entry
            for domain in DOMAINS
            for entry in lookups.select(
                make_entries(), domain=domain, limit=LIMIT
            )
        }
        assert selected == set(make_entries())

    def test_the_load_is_even(self):
        """Callers of equal numbers in all domains choose at random."""
        loads = collections.Counter()
        for domain in DOMAINS:
            for entry in lookups.select(
                make_entries(), domain=domain, limit=LIMIT
            ):
                loads[entry] += 1 / LIMIT
        mean = len(DOMAINS) / ENTRY_COUNT
        assert max(loads.values()) <= 3 * mean

    def test_the_order_of_discovery_does_not_matter(self, domain):
        shuffled = make_entries()
        random.Random(1).shuffle(shuffled)
        assert lookups.select(
            shuffled, domain=domain, limit=LIMIT
        ) == lookups.select(make_entries(), domain=domain, limit=LIMIT)

    def test_entries_of_the_callers_domain_come_first(self, domain):
        selected = lookups.select(make_entries(), domain=domain, limit=LIMIT)
        assert len(selected) == LIMIT
        own = [entry for entry in make_entries() if entry.domain == domain]
        assert set(own) <= set(selected)

    def test_the_loss_of_the_callers_domain_leaves_others(self, domain):
        many = make_entries(2000)
        selected = lookups.select(many, domain=domain, limit=LIMIT)
        assert sum(e.domain != domain for e in selected) >= LIMIT // 4

    def test_a_lost_entry_replaces_no_other(self, domain):
        before = lookups.select(make_entries(), domain=domain, limit=LIMIT)
        for lost in before:
            remaining = [e for e in make_entries() if e != lost]
            after = lookups.select(remaining, domain=domain, limit=LIMIT)
            assert set(before) - set(after) == {lost}

    def test_few_entries_are_all_returned(self, domain):
        entries = make_entries(8)
        selected = lookups.select(entries, domain=domain, limit=LIMIT)
        assert sorted(selected) == sorted(entries)

    def test_callers_elsewhere_get_entries(self):
        entries = make_entries()
        selected = lookups.select(entries, domain="", limit=LIMIT)
        assert len(selected) == LIMIT


async def look_up(entries, domain):
    """Returns the addresses that a control process returns over HTTP."""
    discovery = discoveries.Discovery(member=test_duties.FakeMember())
    for i, entry in enumerate(entries):
        report = {
            "address": entry.address,
            "domain": entry.domain,
            "ready": True,
            **capacities.to_json(capacities.Capacity(cores=entry.cores)),
        }
        discovery._record_watch(
            ttypes.Watch(
                entry=f"e{i}",
                incarnation=1,
                session="",
                version=0,
                routes_version=0,
                report=compressed_json.encode(report),
            ),
            0,
        )
    components = SimpleNamespace(discovery=discovery)
    (port,) = process_fixtures.free_ports(1)
    listener = server.Listener(
        address=f"127.0.0.1:{port}",
        app=control_api.make_lookups_app(components, 5.0),
    )
    await listener.start()
    url = f"http://127.0.0.1:{port}/v1/resolution?name=h&region=r&zone={domain}"
    async with (
        aiohttp.ClientSession() as session,
        session.get(url) as response,
    ):
        reply = await response.json()
    await listener.stop()
    return reply["addresses"]


class TestReplies:
    async def test_a_look_up_prefers_the_callers_domain(self):
        addresses = await look_up(make_entries(), "d3")
        own = {e.address for e in make_entries() if e.domain == "d3"}
        assert len(addresses) == control_api.MAX_LOOKUP_ADDRESSES
        assert own <= set(addresses)

    async def test_a_look_up_leaves_out_small_entries_of_other_domains(self):
        entries = [
            entry._replace(cores=1.0 + 2 * (i % 2))
            for i, entry in enumerate(make_entries(60))
        ]
        addresses = await look_up(entries, "d3")
        selected = lookups.select(entries, domain="d3", limit=LIMIT)
        assert addresses == [entry.address for entry in selected]
        assert len(addresses) < 60
