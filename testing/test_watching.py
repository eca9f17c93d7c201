"""An entry that watches control, and continues without it."""

import asyncio
import json

import pytest
import relay_fixtures
import test_crashes

from _arbutuswalk.relay import control_watch
from _arbutuswalk.relay import relay_state
from _arbutuswalk.routing import directory
from _arbutuswalk.routing import refusals
from _arbutuswalk.wire import compressed_json
from _arbutuswalk.wire import watch_timing
from _arbutuswalk.wire.gen.arbutus import ttypes


class FakeClock:
    def __init__(self):
        self.time = 1000.0

    def __call__(self):
        return self.time


def make_watcher():
    relay = relay_fixtures.make_relay()
    relay.now = FakeClock()
    relay.started_at = relay.now()
    watcher = control_watch.ControlWatcher(
        relay=relay, seeds=[], listen_address="127.0.0.1:1"
    )
    feed = control_watch.ControlFeed(address="127.0.0.1:2", now=relay.now())
    watcher.feeds[feed.address] = feed
    return watcher, feed


def make_reply(**changes):
    values = {
        "endpoints": [],
        "members": [],
        "rollouts": {},
        "loads": {},
        "taken": {},
        "entries": 1,
        "is_settled": True,
        "silent": 0,
        "wall": 0.0,
        "term": 1,
        "refused": {},
        "routes_version": 0,
    }
    payload = compressed_json.encode({**values, **changes})
    return ttypes.WatchReply(session="s", version=1, news=payload)


class TestRestartedControl:
    @pytest.mark.parametrize("is_settled", [False, True])
    def test_it_lifts_no_refusal(self, is_settled):
        watcher, feed = make_watcher()
        watcher._apply_reply(feed, make_reply(refused={"f": [0.0, 0.0]}))
        watcher._apply_reply(
            feed, make_reply(refused={}, is_settled=is_settled)
        )
        assert set(watcher.relay.refusals.rows) == {"f"}
        assert set(watcher._report()["refused"]) == {"f"}

    def test_it_adds_refusals_before_it_knows_all_entries(self):
        watcher, feed = make_watcher()
        watcher._apply_reply(feed, make_reply(refused={"f": [0.0, 0.0]}))
        watcher._apply_reply(
            feed, make_reply(refused={"g": [0.0, 0.0]}, is_settled=False)
        )
        assert set(watcher.relay.refusals.rows) == {"f", "g"}

    def test_refusals_end_without_it(self):
        watcher, feed = make_watcher()
        watcher._apply_reply(feed, make_reply(refused={"f": [0.0, 0.0]}))
        del watcher.feeds[feed.address]
        watcher.relay.now.time += refusals.RETENTION_S - 1.0
        watcher.tick()
        assert set(watcher.relay.refusals.rows) == {"f"}
        watcher.relay.now.time += 2.0
        watcher.tick()
        assert not watcher.relay.refusals.rows

    def test_a_former_versions_list_is_understood(self):
        watcher, feed = make_watcher()
        watcher._apply_reply(feed, make_reply(refused=["f"]))
        assert set(watcher.relay.refusals.rows) == {"f"}


class TestWithoutControl:
    def test_known_endpoints_are_kept_while_control_is_lost(self):
        watcher, feed = make_watcher()
        watcher._apply_reply(
            feed, make_reply(endpoints=[test_crashes.make_endpoint("a")])
        )
        feed.connected = False
        for _ in range(200):
            watcher.relay.now.time += 0.5
            feed.last_answer_at = watcher.relay.now()
            watcher.tick()
        assert "a" in watcher.relay.directory.rows

    def test_endpoints_expire_only_some_time_after_control_is_back(self):
        watcher, feed = make_watcher()
        watcher._apply_reply(
            feed, make_reply(endpoints=[test_crashes.make_endpoint("a")])
        )
        feed.connected = False
        watcher.relay.now.time += 100
        feed.last_answer_at = watcher.relay.now()
        watcher.tick()
        watcher._apply_reply(feed, make_reply())
        watcher.tick()
        assert "a" in watcher.relay.directory.rows
        watcher.relay.now.time += control_watch.ENDPOINT_RETENTION_S + 1
        watcher._apply_reply(feed, make_reply())
        watcher.tick()
        assert "a" not in watcher.relay.directory.rows


class TestStartupWait:
    async def test_the_longest_wait_does_not_restart_with_each_update(self):
        watcher, _ = make_watcher()
        relay = watcher.relay
        waiting = asyncio.ensure_future(relay.wait_until_known(lambda: False))
        for _ in range(3):
            await asyncio.sleep(0)
            relay.now.time += 0.6 * relay_state.MAX_STARTUP_WAIT_S
            relay.notify_waiters()
            await asyncio.sleep(0)
        await asyncio.sleep(0)
        assert waiting.done()
        assert waiting.result() is False


class TestReplies:
    def test_an_older_configuration_is_not_applied(self):
        watcher, feed = make_watcher()
        before = watcher.relay.route_table
        config = json.loads(
            json.dumps(relay_fixtures.make_config(version=1)._asdict())
        )
        watcher._apply_fetched_routes(config, "test")
        watcher._apply_reply(feed, make_reply(routes_version=1))
        assert watcher.relay.route_table is before
        assert watcher.fetch_task is None

    async def test_a_newer_configuration_is_fetched_and_not_requested_again(
        self,
    ):
        watcher, feed = make_watcher()
        watcher._apply_reply(feed, make_reply(routes_version=5))
        assert not watcher.fetch_task.done()
        assert watcher._make_watch_message(feed).routes_version == 5
        watcher.fetch_task.cancel()

    def test_own_loads_are_subtracted_from_the_totals(self):
        watcher, feed = make_watcher()
        watcher.relay.add_load("a", 2, 100)
        watcher._make_watch_message(feed)
        watcher._apply_reply(
            feed, make_reply(loads={"a": [5, 150], "b": [1, 0]})
        )
        assert watcher.relay.other_loads == {"a": (3, 50), "b": (1, 0)}

    def test_a_leaving_endpoint_is_not_ready_at_once(self):
        watcher, feed = make_watcher()
        leaving = test_crashes.make_endpoint("a", state=directory.LEAVING)
        watcher._apply_reply(feed, make_reply(endpoints=[leaving]))
        row = watcher.relay.directory.rows["a"]
        assert row.endpoint.state == directory.LEAVING


class TestUnexpectedError:
    async def test_the_watch_goes_on_if_no_message_can_be_sent(
        self, monkeypatch, caplog
    ):
        """Guards against a watch that ends for good and counts as connected.

        Entries removed all endpoints, as no announcement arrived any more.
        """
        watcher, feed = make_watcher()
        connected = []

        async def call(message, *, timeout_s):
            connected.append(feed.connected)
            if len(connected) == 4:
                await asyncio.Event().wait()
            if len(connected) == 2:
                raise OverflowError("int too big to convert")
            return make_reply()

        monkeypatch.setattr(feed.link, "call", call)
        monkeypatch.setattr(watch_timing, "RETRY_INTERVAL_S", 0.01)
        task = asyncio.ensure_future(watcher._watch(feed))
        async with asyncio.timeout(5):
            while len(connected) < 4 and not task.done():
                await asyncio.sleep(0.01)
        assert connected[:4] == [False, True, False, True]
        assert "E104" in caplog.text
        task.cancel()

    async def test_the_watch_goes_on_and_asks_for_everything(
        self, monkeypatch, caplog
    ):
        watcher, feed = make_watcher()
        replies = [make_reply(members=None), make_reply(routes_version=0)]
        sent = []

        async def call(message, *, timeout_s):
            sent.append(message)
            if not replies:
                await asyncio.Event().wait()
            return replies.pop(0)

        monkeypatch.setattr(feed.link, "call", call)
        monkeypatch.setattr(watch_timing, "RETRY_INTERVAL_S", 0.01)
        feed.session, feed.revision = "s", 7
        task = asyncio.ensure_future(watcher._watch(feed))
        async with asyncio.timeout(5):
            while len(sent) < 3:
                await asyncio.sleep(0.01)
        assert [message.version for message in sent] == [7, 0, 1]
        assert [message.session for message in sent] == ["s", "", "s"]
        assert feed.connected
        assert "E104" in caplog.text
        task.cancel()
