"""Entries and control processes that exchange quota use on a simulated clock.

The entries' admission and watches and control's discovery are the real ones;
the links between them are replaced by calls.
"""

import random

import relay_fixtures
import test_duties
from arbutuswalk_platform import headers

from _arbutuswalk.control import discovery as discoveries
from _arbutuswalk.limits import quota_levels
from _arbutuswalk.relay import admission
from _arbutuswalk.relay import control_watch
from _arbutuswalk.relay import relay_state
from _arbutuswalk.relay import request as requests
from _arbutuswalk.state import routeconfig
from _arbutuswalk.wire import compressed_json
from _arbutuswalk.wire import watch_timing
from _arbutuswalk.wire.gen.arbutus import ttypes

START = 1000.0
STEP_S = 0.02
MEAN_COST = 9000
QUOTA_TOLERANCE = quota_levels.QuotaTolerance(
    window_s=8.0, overshoot=0.1, tolerance=110_000
)


class Cluster:
    """Entries and control processes; a stopped one is None.

    Attributes:
        now: Simulated time in seconds.
        entries: Watcher of each entry.
        controls: Discovery of each control process.
        cut_off: Indices of the entries that cannot reach control.
        replies_due: Time of the next reply, by (entry, control) index.
        connects_at: Time of the next attempt to connect, by the same.
        admitted: Time and cost of each admitted request.
        refused: Time and cost of each refused request.
    """

    def __init__(self, *, seed, entries=7, controls=3, rate, burst):
        self.rng = random.Random(seed)
        self.now = START
        self.config = relay_fixtures.make_config(rate_per_s=rate, burst=burst)
        self.entries = [None] * entries
        self.controls = [None] * controls
        self.cut_off = set()
        self.replies_due = {}
        self.connects_at = {}
        self.admitted = []
        self.refused = []
        for index in range(controls):
            self.start_control(index)
        for index in range(entries):
            self.start_entry(index)
        self.run(2.0, tokens_per_s=1)
        self.admitted.clear()

    def start_entry(self, index):
        relay = relay_state.Relay(
            name=f"e{index}",
            domain="d1",
            dialect=headers.DIALECT,
            options=relay_fixtures.OPTIONS._replace(quota=QUOTA_TOLERANCE),
            now=lambda: self.now,
            wall=lambda: self.now,
            rng=self.rng,
        )
        watcher = control_watch.ControlWatcher(
            relay=relay, seeds=[], listen_address=relay.name
        )
        for control in range(len(self.controls)):
            watcher.feeds[_address(control)] = control_watch.ControlFeed(
                address=_address(control), now=self.now
            )
        self.entries[index] = watcher

    def stop_entry(self, index):
        self.entries[index] = None
        self._drop_replies(lambda entry, _: entry == index)

    def cut_entry(self, index):
        self.cut_off.add(index)
        self._drop_replies(lambda entry, _: entry == index)
        for feed in self.entries[index].feeds.values():
            feed.connected = False

    def reconnect_entry(self, index):
        self.cut_off.remove(index)

    def start_control(self, index):
        member = test_duties.FakeMember()
        member.now = member.wall = lambda: self.now
        member.address = _address(index)
        discovery = discoveries.Discovery(member=member)
        if self.now > START:
            discovery.restored_entry_count = len(self.entries)
        addresses = [_address(i) for i in range(len(self.controls))]
        discovery.member_addresses = lambda: addresses
        self.controls[index] = discovery

    def stop_control(self, index):
        self.controls[index] = None
        self._drop_replies(lambda _, control: control == index)
        for watcher in self.entries:
            if watcher is not None:
                watcher.feeds[_address(index)].connected = False

    def run(self, duration_s, *, tokens_per_s, cost_factor=1.0):
        """Sends requests to random entries that have reached control."""
        mean_cost = MEAN_COST * cost_factor
        end = self.now + duration_s
        next_request_at = self.now
        while self.now < end:
            self.now += STEP_S
            self._exchange()
            while next_request_at < self.now:
                next_request_at += self.rng.expovariate(
                    tokens_per_s / mean_cost
                )
                cost = min(39_600, self.rng.lognormvariate(8.9, 0.7))
                self._request(int(cost * cost_factor))

    def max_admitted_in_window(self):
        window_s = QUOTA_TOLERANCE.window_s
        return max(
            sum(
                cost
                for admitted_at, cost in self.admitted
                if start <= admitted_at < start + window_s
            )
            for start, _ in self.admitted
        )

    def permitted_in_window(self):
        workspace = self.config.workspaces[0]
        base = workspace.rate_per_s * QUOTA_TOLERANCE.window_s + workspace.burst
        return base * (1 + QUOTA_TOLERANCE.overshoot) + (
            QUOTA_TOLERANCE.tolerance
        )

    def _request(self, cost):
        ready = [
            watcher
            for watcher in self.entries
            if watcher and watcher.relay.ready
        ]
        if not ready:
            return
        relay = self.rng.choice(ready).relay
        outcome = admission.admit(relay, _make_incoming(relay, cost))
        is_admitted = isinstance(outcome, requests.Request)
        outcomes = self.admitted if is_admitted else self.refused
        outcomes.append((self.now, cost))

    def _exchange(self):
        pairs = [
            (entry, control)
            for entry, watcher in enumerate(self.entries)
            for control, discovery in enumerate(self.controls)
            if watcher is not None
            and discovery is not None
            and entry not in self.cut_off
        ]
        self.rng.shuffle(pairs)
        for entry, control in pairs:
            watcher, discovery = self.entries[entry], self.controls[control]
            feed = watcher.feeds[_address(control)]
            pair = entry, control
            if pair not in self.replies_due:
                delay_s = self.rng.uniform(0, watch_timing.RETRY_INTERVAL_S)
                connects_at = self.connects_at.setdefault(
                    pair, self.now + delay_s
                )
                if connects_at <= self.now:
                    del self.connects_at[pair]
                    self._send_watch(pair, feed, watcher, discovery)
            elif self.replies_due[pair] <= self.now:
                watcher._apply_reply(feed, _make_reply(discovery))
                if watcher.relay.route_table is None:
                    values = routeconfig.to_json(self.config)
                    control_watch.apply_routes(watcher.relay, values, "test")
                self._send_watch(pair, feed, watcher, discovery)

    def _send_watch(self, pair, feed, watcher, discovery):
        message = watcher._make_watch_message(feed)
        discovery._record_watch(message, 0)
        is_new = message.session != discovery.session
        wait_s = 0.0 if is_new else watch_timing.MAX_WAIT_S
        self.replies_due[pair] = self.now + wait_s

    def _drop_replies(self, is_dropped):
        for times in (self.replies_due, self.connects_at):
            for pair in [pair for pair in times if is_dropped(*pair)]:
                del times[pair]


def _address(control):
    return f"127.0.0.1:{control + 1}"


def _make_reply(discovery):
    return ttypes.WatchReply(
        session=discovery.session,
        version=discovery.directory.revision,
        news=compressed_json.encode(discovery._build_update(0, has_share=True)),
    )


def _make_incoming(relay, cost):
    return admission.IncomingRequest(
        id="a",
        method="POST",
        host="h.example",
        path="/a/x",
        target="/a/x",
        key="key",
        deadline_s=5.0,
        headers=[],
        body=b"",
        prompt=requests.Prompt("m", cost, 0, ()),
        last_event="",
        received_at=relay.now(),
    )
