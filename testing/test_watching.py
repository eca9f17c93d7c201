"""An entry that follows control, and goes on without it."""

import asyncio
import json

import relays
import test_crashes

from _arbutuswalk.relay import core
from _arbutuswalk.relay import watching
from _arbutuswalk.routing import directory
from _arbutuswalk.wire import compressed_json
from _arbutuswalk.wire.gen.arbutus import ttypes


class Clock:
    def __init__(self):
        self.time = 1000.0

    def __call__(self):
        return self.time


def make_watcher():
    relay = relays.make_relay()
    relay.now = Clock()
    relay.started_at = relay.now()
    watcher = watching.Watcher(relay=relay, seeds=[], listens_on="127.0.0.1:1")
    feed = watching.Feed(address="127.0.0.1:2", now=relay.now())
    watcher.feeds[feed.address] = feed
    return watcher, feed


def news(**changes):
    values = {
        "endpoints": [],
        "members": [],
        "rollouts": {},
        "loads": {},
        "taken": {},
        "entries": 1,
        "silent": 0,
        "wall": 0.0,
        "term": 1,
        "refused": [],
        "routes_version": 0,
    }
    payload = compressed_json.encode({**values, **changes})
    return ttypes.WatchReply(session="s", version=1, news=payload)


class TestWithoutControl:
    def test_known_endpoints_stay_while_nobody_answers(self):
        watcher, feed = make_watcher()
        watcher._take(feed, news(endpoints=[test_crashes.make_endpoint("a")]))
        feed.answered = False
        for _ in range(200):
            watcher.relay.now.time += 0.5
            feed.heard_at = watcher.relay.now()
            watcher.tick()
        assert "a" in watcher.relay.directory.rows

    def test_they_get_time_to_be_heard_when_control_is_back(self):
        watcher, feed = make_watcher()
        watcher._take(feed, news(endpoints=[test_crashes.make_endpoint("a")]))
        feed.answered = False
        watcher.relay.now.time += 100
        feed.heard_at = watcher.relay.now()
        watcher.tick()
        watcher._take(feed, news())
        watcher.tick()
        assert "a" in watcher.relay.directory.rows
        watcher.relay.now.time += watching.FORGET_S + 1
        watcher._take(feed, news())
        watcher.tick()
        assert "a" not in watcher.relay.directory.rows


class TestLearning:
    async def test_the_longest_wait_does_not_begin_anew_with_each_news(self):
        watcher, _ = make_watcher()
        relay = watcher.relay
        waiting = asyncio.ensure_future(relay.learn(lambda: False))
        for _ in range(3):
            await asyncio.sleep(0)
            relay.now.time += 0.6 * core.MOST_WAIT_S
            relay.tell()
            await asyncio.sleep(0)
        await asyncio.sleep(0)
        assert waiting.done()
        assert waiting.result() is False


class TestNews:
    def test_an_older_configuration_is_not_taken(self):
        watcher, feed = make_watcher()
        before = watcher.relay.table
        config = json.loads(json.dumps(relays.make_config(version=1)._asdict()))
        watcher._serve_routes(config, "test")
        watcher._take(feed, news(routes_version=1))
        assert watcher.relay.table is before
        assert watcher.fetching is None

    async def test_a_newer_configuration_is_fetched_and_not_told_again(self):
        watcher, feed = make_watcher()
        watcher._take(feed, news(routes_version=5))
        assert not watcher.fetching.done()
        assert watcher._message(feed).routes_version == 5
        watcher.fetching.cancel()

    def test_own_loads_are_taken_out_of_the_sums(self):
        watcher, feed = make_watcher()
        watcher.relay.add_load("a", 2, 100)
        watcher._message(feed)
        watcher._take(feed, news(loads={"a": [5, 150], "b": [1, 0]}))
        assert watcher.relay.others == {"a": (3, 50), "b": (1, 0)}

    def test_a_leaving_endpoint_is_not_ready_at_once(self):
        watcher, feed = make_watcher()
        leaving = test_crashes.make_endpoint("a", state=directory.LEAVING)
        watcher._take(feed, news(endpoints=[leaving]))
        row = watcher.relay.directory.rows["a"]
        assert row.endpoint.state == directory.LEAVING
