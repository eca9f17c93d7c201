"""Loads and heartbeats that control processes send entries."""

import random

import pytest
import relay_fixtures
import test_duties
import virtual

from _arbutuswalk.control import discovery as discoveries
from _arbutuswalk.control import entry_reports
from _arbutuswalk.relay import control_watch
from _arbutuswalk.relay import status_feeds
from _arbutuswalk.routing import directory
from _arbutuswalk.wire import compressed_json
from _arbutuswalk.wire import watch_timing
from _arbutuswalk.wire.gen.arbutus import ttypes

OWN_DOMAIN = "d1"
DOMAINS = ["d1", "d2", "d3", "d4", "d5"]
ENDPOINT_COUNT = 78
ENTRY_COUNT = 191
HEARTBEAT_S = 1.2
STEP_S = 0.05
MAX_FAR_SHARE = HEARTBEAT_S / status_feeds.FAR_INTERVAL_S
"""Largest share of the former bytes of loads and heartbeats between failure
domains: one reply in five has loads, and a heartbeat of every endpoint, of
which each was sent once before."""


class Clock:
    def __init__(self):
        self.time = 1000.0

    def __call__(self):
        return self.time


class Group:
    """Control processes in some failure domains, and one entry that watches.

    Watches are exchanged in steps, without waits. Each can be lost, with or
    without its reply.

    Attributes:
        sent: Bytes of reports and replies, by failure domain of the process.
        lost_before, lost_after: Domains whose watches are lost before and
            after they were received.
    """

    def __init__(self, domains=DOMAINS):
        self.clock = Clock()
        self.discoveries = {}
        self.lost_before, self.lost_after = set(), set()
        self.sent = dict.fromkeys(domains, 0)
        relay = relay_fixtures.make_relay()
        relay.now = self.clock
        relay.domain = OWN_DOMAIN
        self.relay = relay
        self.watcher = control_watch.ControlWatcher(
            relay=relay, seeds=[], listen_address="127.0.0.1:1"
        )
        for i, domain in enumerate(domains):
            address = f"127.0.0.1:{2 + i}"
            feed = control_watch.ControlFeed(address=address, now=self.clock())
            self.watcher.feeds[address] = feed
            self.start(domain)
        self.feeds = dict(
            zip(domains, self.watcher.feeds.values(), strict=True)
        )
        self.addresses = list(self.watcher.feeds)

    def start(self, domain):
        """Starts a control process that knows nothing yet."""
        member = test_duties.FakeMember()
        member.now = self.clock
        discovery = discoveries.Discovery(member=member, domain=domain)
        discovery.member_addresses = lambda: self.addresses
        self.discoveries[domain] = discovery

    def announce(self, endpoint, domains=None):
        for domain in domains or self.discoveries:
            self.discoveries[domain].apply_announcement(endpoint)

    def exchange(self, domain):
        """Sends one watch to a process and applies its reply."""
        feed, discovery = self.feeds[domain], self.discoveries[domain]
        message = self.watcher._make_watch_message(feed)
        if domain in self.lost_before:
            return self._lose(feed)
        reply = virtual.run(self._reply(discovery, message))
        if domain in self.lost_after:
            return self._lose(feed)
        self.sent[domain] += len(message.report) + len(reply.news)
        assert self.watcher._try_apply_reply(feed, reply) == ""
        return compressed_json.decode(reply.news)

    async def _reply(self, discovery, message):
        discovery.changed.set()
        return await discovery.watch(message)

    def _lose(self, feed):
        feed.connected = False
        feed.status = status_feeds.StatusFeed()

    def exchange_all(self):
        return {domain: self.exchange(domain) for domain in self.feeds}

    def settle(self):
        """Lets every process know all entries."""
        self.exchange_all()
        self.clock.time += discoveries.SETTLING_TIME_S
        self.exchange_all()


def make_endpoints(count=ENDPOINT_COUNT):
    return [
        directory.Endpoint(
            id=f"i-{i * 2654435761 % 2**32:08x}",
            born_ms=1_764_860_000_000 + i,
            sequence=1,
            upstream="model",
            address=f"10.128.{i // 250}.{i % 250}:8080",
            domain=DOMAINS[i % 5],
            version="v1",
            slots=48,
            state=directory.READY,
        )
        for i in range(count)
    ]


def beat(endpoint, sequence):
    return endpoint._replace(sequence=sequence)


@pytest.fixture
def group():
    new_group = Group()
    for endpoint in make_endpoints(5):
        new_group.announce(endpoint)
    new_group.settle()
    return new_group


class TestNearProcesses:
    def test_only_the_near_one_sends_every_status(self, group):
        replies = group.exchange_all()
        assert [d for d, news in replies.items() if "loads" in news] == ["d1"]

    def test_others_send_it_once_in_a_while(self, group):
        group.clock.time += status_feeds.FAR_INTERVAL_S
        replies = group.exchange_all()
        assert all("loads" in news for news in replies.values())

    @pytest.mark.parametrize("lost", ["lost_before", "lost_after"])
    def test_all_send_it_while_the_near_one_is_lost(self, group, lost):
        setattr(group, lost, {OWN_DOMAIN})
        group.exchange(OWN_DOMAIN)
        replies = group.exchange_all()
        del replies[OWN_DOMAIN]
        assert all("loads" in news for news in replies.values())

    def test_all_send_it_until_a_new_near_one_knows_all_entries(self, group):
        group.start(OWN_DOMAIN)
        group.exchange(OWN_DOMAIN)
        assert all("loads" in n for n in group.exchange_all().values())

    def test_without_a_domain_of_its_own_all_send_it(self):
        group = Group(domains=["d2", "d3"])
        group.settle()
        assert all("loads" in n for n in group.exchange_all().values())


class TestHeartbeats:
    def test_a_heartbeat_keeps_an_endpoint_alive(self, group):
        endpoint = make_endpoints(1)[0]
        group.clock.time += HEARTBEAT_S
        group.announce(beat(endpoint, 2))
        group.exchange(OWN_DOMAIN)
        row = group.relay.directory.rows[endpoint.id]
        assert row.announced_at == group.clock()
        assert row.endpoint.sequence == 2

    def test_an_unknown_endpoint_is_sent_whole(self, group):
        endpoint = make_endpoints(1)[0]
        directory.remove(group.relay.directory, endpoint.id)
        group.announce(beat(endpoint, 2))
        group.exchange(OWN_DOMAIN)
        assert endpoint.id not in group.relay.directory.rows
        group.exchange(OWN_DOMAIN)
        assert group.relay.directory.rows[endpoint.id].endpoint.sequence == 2

    def test_one_of_an_older_start_changes_nothing(self, group):
        endpoint = make_endpoints(1)[0]
        newer = endpoint._replace(born_ms=endpoint.born_ms + 1, sequence=1)
        group.announce(newer, domains=["d2"])
        group.exchange("d2")
        group.announce(beat(endpoint, 9), domains=[OWN_DOMAIN])
        group.exchange(OWN_DOMAIN)
        assert group.relay.directory.rows[endpoint.id].endpoint == newer

    def test_one_does_not_make_a_leaving_endpoint_ready(self, group):
        endpoint = make_endpoints(1)[0]
        leaving = endpoint._replace(state=directory.LEAVING, sequence=2)
        group.announce(leaving, domains=["d2"])
        group.exchange("d2")
        group.announce(beat(endpoint, 9), domains=[OWN_DOMAIN])
        group.exchange(OWN_DOMAIN)
        row = group.relay.directory.rows[endpoint.id]
        assert row.endpoint.state == directory.LEAVING

    def test_changes_come_from_every_process(self, group):
        endpoint = make_endpoints(1)[0]
        gone = endpoint._replace(state=directory.GONE)
        group.announce(gone, domains=["d4"])
        news = group.exchange("d4")
        assert "loads" not in news
        assert group.relay.directory.rows[endpoint.id].endpoint == gone

    def test_they_arrive_while_the_near_process_is_cut_off(self, group):
        """It still answers the entry, but hears nothing of endpoints."""
        others = DOMAINS[1:]
        endpoints = make_endpoints(5)
        oldest_s = 0.0
        for step in range(int(20 / STEP_S)):
            group.clock.time += STEP_S
            if step % int(HEARTBEAT_S / STEP_S) == 0:
                for endpoint in endpoints:
                    group.announce(beat(endpoint, 2 + step), domains=others)
            if step % int(watch_timing.MAX_WAIT_S / STEP_S) == 0:
                group.exchange_all()
            rows = group.relay.directory.rows.values()
            assert len(rows) == len(endpoints)
            oldest_row = min(rows, key=lambda row: row.announced_at)
            age_s = group.clock() - oldest_row.announced_at
            oldest_s = max(oldest_s, age_s)
        assert oldest_s <= (
            HEARTBEAT_S
            + status_feeds.FAR_INTERVAL_S
            + 2 * watch_timing.MAX_WAIT_S
        )


class TestFormerVersions:
    def test_an_entry_that_does_not_ask_gets_everything(self):
        discovery = discoveries.Discovery(member=test_duties.FakeMember())
        endpoint = make_endpoints(1)[0]
        discovery.apply_announcement(endpoint)
        revision = discovery.directory.revision
        discovery.apply_announcement(beat(endpoint, 2))
        message = test_duties.watch(discovery, version=revision)
        reply = virtual.run(discovery.watch(message))
        news = compressed_json.decode(reply.news)
        assert [row[2] for row in news["endpoints"]] == [2]
        assert news["loads"] == {}

    def test_an_entry_understands_a_process_that_sends_everything(self, group):
        endpoint = beat(make_endpoints(1)[0], 2)
        update = group.discoveries["d2"]._build_update(0, has_share=False)
        del update["domain"]
        update["endpoints"] = [endpoint]
        reply = ttypes.WatchReply(
            session="former", version=1, news=compressed_json.encode(update)
        )
        assert group.watcher._try_apply_reply(group.feeds["d2"], reply) == ""
        row = group.relay.directory.rows[endpoint.id]
        assert row.endpoint.sequence == 2


class TestInterleavings:
    """Announcements and watches in any order, some lost, processes restarted.

    Afterwards the entry has to have what the processes have.
    """

    @pytest.mark.parametrize("seed", range(30))
    def test_the_entry_ends_with_the_processes_directory(self, seed):
        rng = random.Random(seed)
        group = Group(domains=DOMAINS[:3])
        endpoints = {e.id: e for e in make_endpoints(6)}
        for _ in range(300):
            self.step(group, endpoints, rng)
        group.lost_before, group.lost_after = set(), set()
        for endpoint in endpoints.values():
            group.announce(beat(endpoint, endpoint.sequence + 1))
        for _ in range(3):
            group.clock.time += status_feeds.FAR_INTERVAL_S
            group.exchange_all()
        expected = {
            endpoint_id: row.endpoint
            for endpoint_id, row in group.discoveries[
                "d1"
            ].directory.rows.items()
        }
        assert {
            endpoint_id: row.endpoint
            for endpoint_id, row in group.relay.directory.rows.items()
        } == expected

    def step(self, group, endpoints, rng):
        group.clock.time += rng.uniform(0, 0.2)
        domain = rng.choice(list(group.feeds))
        endpoint = rng.choice(list(endpoints.values()))
        action = rng.random()
        if action < 0.3:
            endpoint = beat(endpoint, endpoint.sequence + 1)
        elif action < 0.35:
            endpoint = endpoint._replace(state=directory.LEAVING)
        elif action < 0.4:
            endpoint = endpoint._replace(
                born_ms=endpoint.born_ms + 1, sequence=1, state=directory.READY
            )
        elif action < 0.42:
            group.start(domain)
        elif action < 0.44:
            group.relay.directory.rows.pop(endpoint.id, None)
        elif action < 0.5:
            group.lost_before = set(rng.sample(list(group.feeds), 1))
            group.lost_after = set(rng.sample(list(group.feeds), 1))
        else:
            group.exchange(domain)
        if endpoint is not endpoints[endpoint.id]:
            endpoints[endpoint.id] = endpoint
            heard_by = rng.sample(list(group.feeds), rng.randint(1, 3))
            group.announce(endpoint, domains=heard_by)


class TestSums:
    def test_replies_of_a_short_time_share_them(self):
        shared_value, computed = entry_reports.SharedValue(), []

        def compute():
            computed.append({})
            return computed[-1]

        entry_reports.shared(shared_value, 0.5, 1.0, compute)
        entry_reports.shared(shared_value, 0.9, 1.04, compute)
        assert len(computed) == 1
        entry_reports.shared(shared_value, 0.9, 1.06, compute)
        assert len(computed) == 2

    def test_a_new_entry_is_counted_at_once(self):
        discovery = discoveries.Discovery(member=test_duties.FakeMember())
        discovery.is_settled = lambda: True
        for count in (1, 2, 3):
            message = test_duties.watch(discovery, entry=f"e{count}")
            discovery.changed.set()
            reply = virtual.run(discovery.watch(message))
            assert compressed_json.decode(reply.news)["entries"] == count

    def test_they_include_what_the_entry_just_reported(self):
        discovery = discoveries.Discovery(member=test_duties.FakeMember())
        for running in (1, 5):
            message = test_duties.watch(
                discovery, loads={"a": [running, 0]}, status_since=0
            )
            discovery.changed.set()
            reply = virtual.run(discovery.watch(message))
            news = compressed_json.decode(reply.news)
            assert news["loads"] == {"a": [running, 0]}


class TestBytes:
    """Watches of one of 191 entries, with 78 endpoints."""

    def play(self, monkeypatch, to_json=status_feeds.to_json):
        group = Group()
        rng = random.Random(1)
        endpoints = make_endpoints()
        for discovery in group.discoveries.values():
            for i in range(ENTRY_COUNT):
                loads = {
                    endpoint.id: [rng.randint(1, 3), rng.randint(0, 9000)]
                    for endpoint in rng.sample(endpoints, 4)
                }
                discovery._record_watch(
                    test_duties.watch(discovery, entry=f"e{i}", loads=loads), 0
                )
        monkeypatch.setattr(status_feeds, "to_json", to_json)
        for endpoint in endpoints:
            group.announce(endpoint)
        group.settle()
        group.sent = dict.fromkeys(DOMAINS, 0)
        for step in range(1, 30):
            group.clock.time += watch_timing.MAX_WAIT_S
            for endpoint in endpoints[step % 3 :: 3]:
                group.announce(beat(endpoint, 1 + step))
            group.exchange_all()
        del group.sent[OWN_DOMAIN]
        return sum(group.sent.values())

    def test_few_of_status_cross_failure_domains(self, monkeypatch):
        former_bytes = self.play(monkeypatch, lambda *_, **__: {})
        without_status = {"status_since": None}
        other_bytes = self.play(monkeypatch, lambda *_, **__: without_status)
        status_bytes = self.play(monkeypatch) - other_bytes
        assert status_bytes <= MAX_FAR_SHARE * (former_bytes - other_bytes)
