"""Look-ups among entries of unequal capacity."""

import collections
import hashlib
import random
import statistics

import pytest
import test_duties
import test_report_checks
from arbutuswalk_platform import settings as platform_settings

from _arbutuswalk.base import capacities
from _arbutuswalk.base import events
from _arbutuswalk.control import discovery as discoveries
from _arbutuswalk.control import entry_places
from _arbutuswalk.control import lookups

DOMAINS = ("d1", "d2", "d3")
MANY_DOMAINS = (*DOMAINS, "d4", "d5")
LIMIT = 64
SIZES = (0.387, 0.645, 1.29)
MAX_RATIO = 1.6
"""A place more than 1.41 of them, in replies shorter by a tenth."""


def make_entries(count, sizes=SIZES, domains=DOMAINS):
    """Returns entries whose sizes take turns in each domain."""
    return [
        lookups.EntryAddress(
            f"10.1.{i // 250}.{i % 250}:80",
            domains[i % len(domains)],
            sizes[i // len(domains) % len(sizes)],
        )
        for i in range(count)
    ]


def select(entries, domain):
    return lookups.select(entries, domain=domain, limit=LIMIT)


def load_ratios(entries, domains=DOMAINS):
    """Returns loads by capacity, 1 where it is an entry's fair share.

    Callers of equal numbers in all domains choose at random.
    """
    loads = collections.Counter()
    for domain in domains:
        selected = select(entries, domain)
        for entry in selected:
            loads[entry] += 1 / len(selected) / len(domains)
    total = sum(entry.cores for entry in entries)
    ratios = collections.defaultdict(list)
    for entry in entries:
        ratios[entry.cores].append(loads[entry] / (entry.cores / total))
    return ratios


def select_by_hash(entries, domain):
    """Returns the addresses that were returned regardless of capacity."""

    def rank(entry):
        text = f"{domain}|{entry.address}"
        return hashlib.blake2b(text.encode()).digest()

    ranked = sorted(entries, key=rank)
    if len(ranked) <= LIMIT:
        return ranked
    own = [entry for entry in ranked if entry.domain == domain]
    others = [entry for entry in ranked if entry.domain != domain]
    own_count = max(min(len(own), 48), LIMIT - len(others))
    return own[:own_count] + others[: LIMIT - own_count]


class TestEqualCapacity:
    @pytest.mark.parametrize("count", [1, 8, 64, 80, 191])
    @pytest.mark.parametrize("cores", [0.0, 0.387, 2.0])
    @pytest.mark.parametrize("domain", [*DOMAINS, "", "other"])
    def test_replies_are_those_of_former_builds(self, count, cores, domain):
        entries = make_entries(count, sizes=(cores,))
        assert select(entries, domain) == select_by_hash(entries, domain)

    @pytest.mark.parametrize("count", [80, 191])
    def test_entries_that_state_none_are_average(self, count):
        entries = make_entries(count, sizes=(0.645, 0.0))
        assert select(entries, "d1") == select_by_hash(entries, "d1")

    def test_a_few_larger_ones_change_nothing(self):
        entries = make_entries(60, sizes=(0.645,))
        joined = lookups.EntryAddress("10.2.0.1:80", "d1", 1.29)
        for domain in DOMAINS:
            assert set(select([*entries, joined], domain)) == {*entries, joined}


class TestUnequalCapacity:
    @pytest.mark.parametrize(
        ("count", "domains"),
        [(24, DOMAINS), (80, DOMAINS), (191, MANY_DOMAINS)],
    )
    def test_shares_are_proportional(self, count, domains):
        """Small entries had twice their share, and large ones 0.6."""
        entries = make_entries(count, domains=domains)
        for ratios in load_ratios(entries, domains).values():
            assert 0.85 < statistics.fmean(ratios) < 1.15
            assert max(ratios) < MAX_RATIO

    def test_shares_are_proportional_in_unequal_domains(self):
        entries = [
            entry._replace(cores=SIZES[DOMAINS.index(entry.domain)])
            for entry in make_entries(80)
        ]
        for ratios in load_ratios(entries).values():
            assert 0.85 < statistics.fmean(ratios) < 1.15
            assert min(ratios) > 0

    @pytest.mark.parametrize("domain", MANY_DOMAINS)
    def test_the_loss_of_the_callers_domain_leaves_others(self, domain):
        for entries in (
            make_entries(80),
            make_entries(191, domains=MANY_DOMAINS),
            make_entries(1200, domains=MANY_DOMAINS),
        ):
            selected = select(entries, domain)
            others = [e for e in selected if e.domain != domain]
            assert len(others) >= len(selected) // 4

    @pytest.mark.parametrize(
        ("count", "domains", "most_replaced"),
        [(80, DOMAINS, 1), (191, MANY_DOMAINS, 3)],
    )
    def test_one_that_comes_or_goes_replaces_few(
        self, count, domains, most_replaced
    ):
        entries = make_entries(count, domains=domains)
        for domain in domains:
            with_all = set(select(entries, domain))
            for lost in entries:
                without = set(select([e for e in entries if e != lost], domain))
                assert len(with_all - without - {lost}) <= most_replaced
                assert len(without - with_all) <= most_replaced

    def test_a_lost_domain_moves_few_callers_of_the_others(self):
        entries = make_entries(80)
        left = [entry for entry in entries if entry.domain != "d3"]
        before = {e for e in select(entries, "d1") if e.domain != "d3"}
        kept = before & set(select(left, "d1"))
        assert len(kept) >= 0.85 * len(before)

    def test_the_order_of_discovery_does_not_matter(self):
        entries = make_entries(80)
        shuffled = random.Random(1).sample(entries, len(entries))
        assert select(entries, "d1") == select(shuffled, "d1")

    def test_what_callers_state_is_not_kept(self):
        """Any text may be stated as a failure domain."""
        entries = make_entries(80)
        first = set(select(entries, "other"))
        cached = entry_places._hash.cache_info().currsize
        for i in range(100):
            assert set(select(entries, f"other-{i}")) == first
        assert entry_places._hash.cache_info().currsize == cached

    @pytest.mark.parametrize("domain", ["d1", "d2", "", "other"])
    def test_few_entries_are_all_returned(self, domain):
        entries = make_entries(8)
        assert set(select(entries, domain)) == set(entries)

    def test_all_of_a_single_domain_are_returned(self):
        entries = make_entries(30, domains=("d1",))
        assert set(select(entries, "d1")) == set(entries)

    def test_a_very_large_one_does_not_take_all_places(self):
        entries = make_entries(79, sizes=(1.0,))
        huge = lookups.EntryAddress("10.2.0.1:80", "d1", 1e6)
        for domain in DOMAINS:
            own = {e for e in entries if e.domain == domain}
            assert own < set(select([*entries, huge], domain))


class TestReports:
    @pytest.mark.parametrize(
        "stated",
        [
            None,
            1.5,
            [1.5],
            {},
            {"cores": "1.5"},
            {"cores": None},
            {"cores": True},
            {"cores": -1},
            {"cores": float("nan")},
            {"cores": float("inf")},
            {"cores": 10**400},
            {"later": 1.5},
        ],
        ids=str,
    )
    def test_one_that_cannot_be_read_counts_as_none(self, stated):
        discovery = discoveries.Discovery(member=test_duties.FakeMember())
        test_report_checks.reply_to(discovery, entry="e1", capacity=stated)
        (report,) = discovery.ready_entries()
        assert not capacities.from_json(report).cores

    def test_a_stated_one_is_read(self):
        discovery = discoveries.Discovery(member=test_duties.FakeMember())
        stated = capacities.to_json(capacities.Capacity(cores=0.387))
        stated["capacity"]["later"] = ["x"]
        test_report_checks.reply_to(discovery, entry="e1", **stated)
        (report,) = discovery.ready_entries()
        assert capacities.from_json(report).cores == 0.387

    def test_none_is_reported_if_none_is_set(self):
        assert capacities.to_json(capacities.Capacity()) == {}


class TestSettings:
    @pytest.mark.parametrize(
        ("text", "cores"),
        [
            ("", 0.0),
            ("[capacity]", 0.0),
            ("[capacity]\ncore_speed = 2", 0.0),
            ("[capacity]\ncore_fraction = 0.5", 0.5),
            ("[capacity]\ncore_fraction = 0.5\ncore_speed = 3\nx = 1", 1.5),
        ],
    )
    def test_capacity_is_read(self, text, cores, tmp_path, monkeypatch):
        path = tmp_path / "settings.toml"
        path.write_text(text)
        monkeypatch.setenv(platform_settings.PATH_ENV_VARIABLE, str(path))
        values = platform_settings.load(())
        assert platform_settings.capacity(values).cores == cores


class TestCapacityLog:
    def test_changes_are_recorded_once(self, monkeypatch):
        recorded = []
        monkeypatch.setattr(events, "record", lambda *f: recorded.append(f[1:]))
        log = entry_places.CapacityLog()
        for entries in (
            make_entries(3, sizes=(0.0,)),
            make_entries(9),
            make_entries(12),
            make_entries(9, sizes=(*SIZES, 2.0)),
            make_entries(12, sizes=(*SIZES, 2.0)),
        ):
            log.update(entries)
        assert recorded == [(9, 9, 0.387, 1.29), (12, 12, 0.387, 2.0)]
