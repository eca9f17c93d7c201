"""Decisions on paused endpoints, without a network."""

import asyncio
import random

import hypothesis
import pause_cluster
import pytest
import relay_fixtures
import virtual
from hypothesis import strategies

from _arbutuswalk.limits import pauses
from _arbutuswalk.relay import endpoint_pauses
from _arbutuswalk.relay import permitted_placement
from _arbutuswalk.relay import placement
from _arbutuswalk.relay import results
from _arbutuswalk.routing import stated_limits
from _arbutuswalk.streams import replies

OBJECTIVE_S = 0.8
BORN_MS = 100


def record(table, pause_s, now, *, born_ms=BORN_MS, draw=0.0, share=8.0):
    return table.record(
        "i",
        born_ms,
        pause_s,
        now,
        now_ms=int(now * 1000),
        slot_share=share,
        draw=draw,
    )


def count_sent(table, start, end):
    """Returns the requests sent if one is offered every millisecond."""
    times = [start + ms / 1000 for ms in range(round((end - start) * 1000))]
    return sum(table.reserve("i", BORN_MS, 0.0, now) == 0.0 for now in times)


class TestOverlappingPauses:
    def test_a_later_shorter_one_does_not_end_an_earlier_longer_one(self):
        table = pauses.Pauses()
        record(table, 5.0, 10.0)
        assert record(table, 1.0, 11.0) == 4.0
        assert table.left_s("i", BORN_MS, 12.5) == 2.5

    def test_a_later_longer_one_extends_it(self):
        table = pauses.Pauses()
        record(table, 5.0, 10.0)
        assert record(table, 5.0, 11.0) == 5.0

    def test_one_in_the_release_starts_another_pause(self):
        table = pauses.Pauses()
        record(table, 1.0, 10.0)
        assert count_sent(table, 11.0, 11.5) > 0
        record(table, 2.0, 11.5)
        assert count_sent(table, 11.5, 13.5) == 0

    def test_one_of_a_former_start_does_not_cut_the_next_starts(self):
        table = pauses.Pauses()
        record(table, 5.0, 10.0, born_ms=9_000)
        record(table, 9.0, 10.1, born_ms=20_000)
        assert record(table, 1.0, 10.2, born_ms=9_000) == 0.0
        assert table.left_s("i", 20_000, 10.2) == pytest.approx(8.9)

    def test_all_reports_and_pauses_are_forgotten_in_the_end(self):
        table = pauses.Pauses()
        record(table, 1.0, 10.0)
        table.invalid_from.add(("i", BORN_MS))
        table.remove_unused({"i"}, 11.5)
        assert table.rows
        assert table.invalid_from
        table.remove_unused({}, 11.0 + pauses.RELEASE_S)
        assert not table.rows
        assert not table.invalid_from


class TestRelease:
    def test_requests_are_released_at_an_increasing_rate(self):
        table = pauses.Pauses()
        record(table, 1.0, 10.0, share=40.0)
        sent = [
            count_sent(table, start, start + 0.25)
            for start in (11.0, 11.25, 11.5, 11.75)
        ]
        assert sent == sorted(sent)
        assert sent[0] <= 4
        assert 36 <= sum(sent) <= 42

    def test_it_ends(self):
        table = pauses.Pauses()
        record(table, 1.0, 10.0)
        now = 11.0 + pauses.RELEASE_S
        assert count_sent(table, now, now + 0.1) == 100

    def test_an_endpoint_with_few_slots_is_used_again_soon(self):
        table = pauses.Pauses()
        record(table, 1.0, 10.0, share=0.01)
        assert count_sent(table, 11.0, 12.0) >= pauses.MIN_RAMP_REQUESTS

    def test_entries_start_at_different_times(self):
        starts = set()
        for draw in (0.0, 0.5, 1.0):
            table = pauses.Pauses()
            record(table, 1.0, 10.0, draw=draw)
            starts.add(table.wait_s("i", BORN_MS, 10.0))
        assert len(starts) == 3
        assert max(starts) <= 1.0 + pauses.END_SPREAD_S


STEPS = strategies.lists(
    strategies.tuples(
        strategies.sampled_from(["pause", "send", "restart"]),
        strategies.floats(0.0, 4.0),
        strategies.floats(0.0, 1.0),
    ),
    max_size=60,
)


class TestGeneratedPauses:
    @hypothesis.given(steps=STEPS)
    def test_no_request_is_sent_inside_a_stated_pause(self, steps):
        table = pauses.Pauses()
        now, born_ms, stated = 10.0, 9_999, []
        for kind, duration_s, wait_s in steps:
            now += wait_s
            if kind == "pause":
                record(table, duration_s, now, born_ms=born_ms, draw=wait_s)
                stated.append(now + duration_s)
            elif kind == "restart":
                born_ms, stated = int(now * 1000) + 1, []
                now += 0.002
            else:
                delay_s = table.reserve("i", born_ms, duration_s, now)
                if delay_s is not None:
                    # nothing is stated while it waits
                    assert all(now + delay_s >= ends_at for ends_at in stated)
        left_s = table.wait_s("i", born_ms, now)
        longest_s = max([0.0, *(ends_at - now for ends_at in stated)])
        assert left_s <= longest_s + pauses.RELEASE_S


class Entry:
    """An entry on virtual time; no request is sent."""

    def __init__(self, **announced):
        route = relay_fixtures.make_route(objective_s=OBJECTIVE_S)
        self.relay = relay_fixtures.make_relay(
            relay_fixtures.make_config(route)
        )
        self.loop = asyncio.get_running_loop()
        self.relay.now = self.relay.wall = self.loop.time
        self.relay.rng.random = lambda: 0.0
        self.relay.started_at = 0.0
        for name in ("i-1", "i-2"):
            start = pause_cluster.Start(name, BORN_MS, f"127.1.1.1:{name[2:]}")
            pause_cluster.announce(self.relay, start, BORN_MS)

    def endpoint(self, name):
        return self.relay.directory.rows[name].endpoint

    def pause(self, name, pause_s):
        reply = replies.Reply(True, "", False, None, False, pause_s=pause_s)
        endpoint_pauses.record_reply(
            self.relay, self.endpoint(name), reply, "a"
        )

    async def find(self, age_s=0.0, **changes):
        """Returns the endpoint's id or the refusal, and the time it took."""
        request = relay_fixtures.make_request(self.relay, **changes)
        request = request._replace(received_at=request.received_at - age_s)
        started_at = self.loop.time()
        found = await permitted_placement.find(self.relay, request, set())
        if isinstance(found, placement.Placement):
            found = found.endpoint.id
        return found, self.loop.time() - started_at


def on_virtual_time(test):
    """Runs a coroutine function of a test on virtual time."""

    def run(self):
        virtual.run(test(self))

    run.__doc__ = test.__doc__
    return run


class TestPlacement:
    @on_virtual_time
    async def test_others_are_chosen_first(self):
        entry = Entry()
        entry.pause("i-1", 0.05)
        found = [await entry.find() for _ in range(9)]
        assert found == [("i-2", 0.0)] * 9

    @on_virtual_time
    async def test_a_request_waits_for_a_pause_that_ends_soon(self):
        entry = Entry()
        entry.pause("i-1", 0.15)
        entry.pause("i-2", 60.0)
        name, took_s = await entry.find()
        assert name == "i-1"
        assert took_s == pytest.approx(0.15)

    @on_virtual_time
    async def test_it_is_refused_at_once_if_the_wait_is_long(self):
        entry = Entry()
        entry.pause("i-1", 0.5)
        entry.pause("i-2", 60.0)
        refusal, took_s = await entry.find()
        assert isinstance(refusal, results.NotSent)
        assert took_s == 0.0
        assert refusal.retry_after_s == pytest.approx(0.5)
        assert "2 of 2 endpoints are paused" in refusal.reason

    @on_virtual_time
    async def test_it_does_not_wait_past_its_objective(self):
        entry = Entry()
        entry.pause("i-1", 0.15)
        entry.pause("i-2", 60.0)
        refusal, took_s = await entry.find(age_s=OBJECTIVE_S - 0.1)
        assert isinstance(refusal, results.NotSent)
        assert took_s == 0.0

    @on_virtual_time
    async def test_it_does_not_wait_past_its_deadline(self):
        entry = Entry()
        entry.pause("i-1", 0.15)
        entry.pause("i-2", 60.0)
        deadline = entry.loop.time() + 0.1
        refusal, took_s = await entry.find(deadline=deadline)
        assert isinstance(refusal, results.NotSent)
        assert took_s == 0.0

    @on_virtual_time
    async def test_waiting_requests_are_released_one_after_the_other(self):
        entry = Entry()
        entry.pause("i-1", 0.05)
        entry.pause("i-2", 60.0)
        found = await asyncio.gather(*(entry.find() for _ in range(8)))
        took = [took_s for name, took_s in found if name == "i-1"]
        assert 1 <= len(took) < 8
        assert len(set(took)) == len(took)

    @on_virtual_time
    async def test_a_request_that_waits_as_another_pause_is_stated_moves(self):
        entry = Entry()
        entry.pause("i-1", 0.1)
        entry.pause("i-2", 0.15)
        waiting = asyncio.ensure_future(entry.find())
        await asyncio.sleep(0.05)
        entry.pause("i-1", 60.0)
        name, took_s = await waiting
        assert name == "i-2"
        assert took_s == pytest.approx(0.15)

    @on_virtual_time
    async def test_callers_are_told_different_times(self):
        entry = Entry()
        entry.pause("i-1", 2.0)
        entry.pause("i-2", 60.0)
        entry.relay.rng.random = random.Random(1).random
        told = [(await entry.find())[0].retry_after_s for _ in range(5)]
        assert len(set(told)) == 5
        assert min(told) >= 2.0

    @on_virtual_time
    async def test_a_long_pause_is_not_understated(self):
        entry = Entry()
        entry.pause("i-1", 60.0)
        entry.pause("i-2", 90.0)
        refusal, _ = await entry.find()
        assert refusal.retry_after_s == pytest.approx(60.0)

    @on_virtual_time
    async def test_an_endpoint_that_is_announced_again_stays_paused(self):
        entry = Entry()
        entry.pause("i-1", 60.0)
        row = entry.relay.directory.rows.pop("i-1")
        entry.relay.pauses.remove_unused(
            entry.relay.directory.rows, entry.loop.time()
        )
        entry.relay.directory.rows["i-1"] = row
        assert [await entry.find() for _ in range(3)] == [("i-2", 0.0)] * 3


class TestOtherRules:
    @on_virtual_time
    async def test_no_permit_is_taken_for_a_paused_endpoint(self):
        entry = Entry()
        asked = []

        async def ask_leader(endpoint, statement, max_wait_s):
            asked.append(endpoint.id)
            return "no leader"

        entry.relay.permits.ask_leader = ask_leader
        for name in ("i-1", "i-2"):
            statement = stated_limits.Statement(BORN_MS, 9.0, 1.0)
            entry.relay.stated_limits.record(name, statement)
        entry.pause("i-1", 60.0)
        await entry.find()
        assert asked == ["i-2"]

    @pytest.mark.parametrize(
        ("state", "paused", "expected"),
        [
            ("completed", "i-2", "i-1"),
            ("completed", "i-1", "i-2"),
            ("reverted", "i-2", "i-1"),
            ("reverted", "i-1", None),
        ],
    )
    def test_versions_that_a_rollout_excludes_stay_excluded(
        self, state, paused, expected
    ):
        async def run():
            entry = Entry()
            rows = entry.relay.directory.rows
            endpoint = rows["i-2"].endpoint._replace(version="v2")
            rows["i-2"] = rows["i-2"]._replace(endpoint=endpoint)
            entry.relay.rollouts["ops"] = ["v2", state, 1000]
            entry.pause(paused, 60.0)
            return (await entry.find())[0]

        found = virtual.run(run())
        if expected is None:
            assert found.retry_after_s == pytest.approx(60.0)
        else:
            assert found == expected
