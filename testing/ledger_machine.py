"""Hypothesis state machine for non-idempotent calls; counts their runs."""

import asyncio
import random

import entry_fixtures
import hypothesis.strategies as st
import virtual
from hypothesis import stateful

from _arbutuswalk.entry import at_most_once
from _arbutuswalk.entry import exchange
from _arbutuswalk.entry import service_routes
from _arbutuswalk.routing import upstreams
from _arbutuswalk.state import commands
from _arbutuswalk.state import entries
from _arbutuswalk.state import inventory as inventories
from _arbutuswalk.streams import answer

CONTROL_MODES = ["ok", "ok", "ok", "lost", "deaf", "late"]
EXCHANGE_MODES = ["run", "run", "refuse", "lose", "drop", "late", "hang"]
UPSTREAMS = ["u1", "u2"]


class Exchange:
    """Upstreams that may lose requests and responses, or delay them."""

    def __init__(self, loop, rng):
        self.loop = loop
        self.rng = rng
        self.modes = ["run"]
        self.runs = []
        self.answers = {}

    def _run(self, order):
        self.runs.append((order.key, order.request_id))
        self.answers[order.key] = f"done {order.key}".encode()

    async def run(self, pool, order, *, timeout_s, fresh):
        if order.method == "GET":
            return self._status(order)
        mode = self.rng.choice(self.modes)
        await asyncio.sleep(0.005)
        if mode == "refuse":
            return exchange.NotOpened(reason="refused")
        if mode == "drop":
            return exchange.Lost(reason="never arrived")
        if mode == "late":
            delay_s = self.rng.random() * 10
            self.loop.call_later(delay_s, self._run, order)
            return exchange.Lost(reason="arrives later")
        if mode == "hang":
            self._run(order)
            await asyncio.sleep(timeout_s)
            return exchange.Lost(reason="no answer")
        self._run(order)
        if mode == "lose":
            return exchange.Lost(reason="answer lost")
        return exchange.Reply(
            status=200, content_type="text/plain", body=self.answers[order.key]
        )

    def _status(self, order):
        key = order.path.rpartition("/")[2]
        if self.rng.random() < 0.6:
            return exchange.Lost(reason="status lost")
        if key not in self.answers:
            return exchange.Reply(status=404, content_type="", body=b"")
        return exchange.Reply(
            status=200, content_type="text/plain", body=self.answers[key]
        )


class LedgerMachine(stateful.RuleBasedStateMachine):
    """Two entries and resending callers; messages and entries may be lost."""

    def __init__(self):
        super().__init__()
        self.loop = virtual.VirtualLoop()
        self.original_run = exchange.run
        self.entries = {}
        self.incarnation = 1
        self.sent = []
        self.call_count = 0

    @stateful.initialize(seed=st.integers(0, 2**16))
    def begin(self, seed):
        self.rng = random.Random(seed)
        self.control = entry_fixtures.Control(self.loop, self.rng)
        self.exchange = Exchange(self.loop, self.rng)
        self.control.modes = CONTROL_MODES
        self.exchange.modes = EXCHANGE_MODES
        exchange.run = self.exchange.run
        for name in ("a", "b"):
            self._start_entry(name)

    def _start_entry(self, name):
        self.incarnation += 1
        entry = entry_fixtures.make_entry(
            self.loop, self.control, name, self.incarnation
        )
        for identity in UPSTREAMS:
            upstreams.announce(
                entry.upstreams,
                entry_fixtures.make_announcement(identity, "claims"),
                announced_at=self.loop.time(),
            )
        self.entries[name] = entry

    def _run_for(self, seconds):
        for entry in self.entries.values():
            for row in entry.upstreams.rows.values():
                row.announced_at = self.loop.time() + seconds
                row.failed_at = float("-inf")
        self.loop.run_until_complete(asyncio.sleep(seconds))

    @stateful.rule(
        control=st.lists(st.sampled_from(CONTROL_MODES), min_size=1),
        upstream=st.lists(st.sampled_from(EXCHANGE_MODES), min_size=1),
    )
    def change_faults(self, control, upstream):
        self.control.modes = control
        self.exchange.modes = upstream

    @stateful.rule(
        name=st.sampled_from(["a", "b"]),
        key=st.integers(0, 3),
        body=st.sampled_from([b"x", b"x", b"x", b"other"]),
    )
    def send(self, name, key, body):
        entry = self.entries[name]
        upstream = inventories.find_upstream(entry.inventory, "claims")
        self.call_count += 1
        call = service_routes.ServiceCall(
            call_id=f"{name}~{self.call_count}",
            workspace="w",
            upstream=upstream,
            route=upstream["routes"][0],
            method="POST",
            path="/claims",
            headers={},
            body=body,
            key=f"k{key}",
            deadline=self.loop.time() + 8,
            priority=5,
        )
        task = self.loop.create_task(at_most_once.run_call(entry, call))
        self.sent.append((name, call, task))

    @stateful.precondition(lambda self: self.sent)
    @stateful.rule(seconds=st.sampled_from([0.05, 6.0]))
    def resend_everywhere(self, seconds):
        """Resends the last call to every entry, as if its answer was lost."""
        _, call, _ = self.sent[-1]
        self._run_for(seconds)
        for name in self.entries:
            self.send(name, int(call.key[1:]), call.body)
        self._run_for(seconds)

    @stateful.rule(seconds=st.sampled_from([0.001, 0.006, 0.05, 1.0, 12.0]))
    def time_passes(self, seconds):
        self._run_for(seconds)

    @stateful.rule(
        name=st.sampled_from(["a", "b"]), reported_gone=st.booleans()
    )
    def entry_dies(self, name, reported_gone):
        """Kills an entry at any step of its calls, and restarts it.

        With ``reported_gone``, control records the death before the restart.
        """
        entry = self.entries[name]
        for owner, _, task in self.sent:
            if owner == name and not task.done():
                task.cancel()
        for task in list(entry.background_tasks):
            task.cancel()
        self.loop.run_until_complete(asyncio.sleep(0))
        if reported_gone:
            self.control.commit(
                commands.SetEntryState(name, entry.incarnation, entries.GONE)
            )
        self._start_entry(name)

    @stateful.rule(name=st.sampled_from(["a", "b"]))
    def entry_is_paused_and_declared_gone(self, name):
        """The entry keeps running while control has it recorded as gone."""
        entry = self.entries[name]
        self.control.commit(
            commands.SetEntryState(name, entry.incarnation, entries.GONE)
        )

    @stateful.rule(name=st.sampled_from(["a", "b"]))
    def entry_registers_again(self, name):
        entry = self.entries[name]
        self.incarnation += 1
        entry.incarnation = self.incarnation
        self.control.commit(
            commands.RegisterEntry(
                name, entry.incarnation, "x", "y", "d1", 1, "local"
            )
        )

    @stateful.invariant()
    def no_key_ran_twice(self):
        if not hasattr(self, "exchange"):
            return
        keys = [key for key, _ in self.exchange.runs]
        assert len(keys) == len(set(keys)), keys

    def _check_answers(self):
        ran = {call_id for _, call_id in self.exchange.runs}
        for _, call, task in self.sent:
            if not task.done() or task.cancelled():
                continue
            result = task.result()
            if isinstance(result, answer.Problem):
                refused = result.ran == "no"
                assert not (refused and call.call_id in ran), result
            else:
                assert result.body == f"done {call.key}".encode()

    def _check_records(self):
        """Checks that no record is still ``running`` after all attempts ended.

        Such a record would block its key until it expires.
        """
        for call, row in self.control.tables.calls.items():
            assert row.state != "running", (call, row)

    def teardown(self):
        try:
            if hasattr(self, "exchange"):
                self.control.modes = ["ok"]
                self._run_for(80)
                self.no_key_ran_twice()
                self._check_answers()
                self._check_records()
        finally:
            exchange.run = self.original_run
            virtual.close(self.loop)
