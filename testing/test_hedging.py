"""Second attempts for slow answers: decisions, and what callers get."""

import asyncio
import random

import pytest
import relay_fixtures
import virtual

from _arbutuswalk.limits import hedging
from _arbutuswalk.relay import attempts
from _arbutuswalk.relay import hedged_attempts
from _arbutuswalk.relay import placement
from _arbutuswalk.relay import relaying
from _arbutuswalk.relay import results
from _arbutuswalk.relay import silence
from _arbutuswalk.routing import directory
from _arbutuswalk.state import rollouts

SHARE = 0.05
OBJECTIVE_S = 0.3


class TestDelay:
    def test_half_the_objective_while_there_are_few_answers(self):
        latencies = hedging.Latencies(now=0.0)
        for _ in range(hedging.MIN_SAMPLES - 1):
            latencies.record(0.02, 0.0)
        assert hedging.delay(latencies, SHARE, OBJECTIVE_S, 1.0) == 0.15

    def test_the_share_of_the_answers_takes_longer(self):
        latencies = hedging.Latencies(now=0.0)
        for position in range(100):
            latencies.record(0.02 if position < 94 else 0.5, 0.0)
        delay_s = hedging.delay(latencies, SHARE, OBJECTIVE_S, 1.0)
        assert delay_s == pytest.approx(0.5, rel=0.02)
        delay_s = hedging.delay(latencies, 0.1, OBJECTIVE_S, 3.0)
        assert delay_s == pytest.approx(0.02, rel=0.02)

    def test_old_answers_are_forgotten(self):
        latencies = hedging.Latencies(now=0.0)
        for _ in range(100):
            latencies.record(0.5, 0.0)
        later = 2 * hedging.WINDOW_S + 1
        for _ in range(100):
            latencies.record(0.02, later)
        delay_s = hedging.delay(latencies, SHARE, OBJECTIVE_S, later + 2)
        assert delay_s == pytest.approx(0.02, rel=0.02)


class TestAllowance:
    @pytest.mark.parametrize("requests_each", [4, 1000])
    def test_many_entries_keep_to_the_share_together(self, requests_each):
        """60 entries, all of whose requests are slow."""
        rng = random.Random(1)
        made = 0
        for _ in range(60):
            allowance = hedging.Allowance(share=SHARE, rng=rng)
            for _ in range(requests_each):
                allowance.record_request()
                made += allowance.try_acquire()
        earned = SHARE * 60 * requests_each
        assert 0.5 * earned < made <= earned + 4 * earned**0.5

    def test_a_quiet_time_earns_no_burst(self):
        allowance = hedging.Allowance(share=SHARE, rng=random.Random(1))
        for _ in range(1000):
            allowance.record_request()
        made = sum(allowance.try_acquire() for _ in range(100))
        assert made == hedging.MAX_SAVED_ATTEMPTS

    def test_half_of_the_retry_budget_is_left_to_retries(self):
        assert hedging.leaves_budget(retries=4, limit=10.0)
        assert not hedging.leaves_budget(retries=5, limit=10.0)


class FakeExchange:
    def __init__(self):
        self.reply = None


class FakeAttempt:
    """An attempt without a network, whose result comes after a time.

    Attributes:
        script: (seconds, result) by endpoint, or a list of them.
    """

    script = {}
    ended = []
    cancelled = []

    def __init__(self, *, relay, caller_delivery, chosen, retry):
        self.relay = relay
        self.delivery = caller_delivery
        self.request = caller_delivery.request
        self.endpoint = chosen.endpoint
        self.exchange = FakeExchange()
        self.started_at = relay.now()

    async def run(self):
        name = self.endpoint.id
        takes_s, result = self.script[name]
        try:
            await asyncio.sleep(takes_s)
        except asyncio.CancelledError:
            self.cancelled.append(name)
            raise
        self.ended.append(name)
        return result


def answered(status=200, body=b"ok"):
    return results.Answered(
        status=status, headers=[], body=body, body_end="length"
    )


LOST = results.Lost(reason="reset")
NOT_RUN = results.NotRun(reason="status 503")


class Case:
    """One request on endpoints that answer after stated times."""

    def __init__(self, monkeypatch):
        monkeypatch.setattr(attempts, "Attempt", FakeAttempt)
        monkeypatch.setattr(FakeAttempt, "ended", [])
        monkeypatch.setattr(FakeAttempt, "cancelled", [])
        self.monkeypatch = monkeypatch
        self.options = {"extra_attempts": SHARE}
        self.endpoint_fields = {}
        self.route_fields = {}
        self.prepare = lambda relay: None
        self.caller = relay_fixtures.RecordingCaller()
        self.took_s = 0.0
        self.relay = None

    def play(self, **script):
        """Sends a request to the first endpoint; returns the status."""
        self.monkeypatch.setattr(FakeAttempt, "script", script)
        virtual.run(self._play(list(script)))
        return self.caller.status

    async def _play(self, names):
        clock = asyncio.get_running_loop().time
        config = relay_fixtures.make_config(
            relay_fixtures.make_route(
                objective_s=OBJECTIVE_S, **self.route_fields
            )
        )
        self.relay = relay = relay_fixtures.make_relay(config, **self.options)
        relay.now = clock
        relay.started_at = clock() - 100
        for port, name in enumerate(names, start=9000):
            values = {
                "id": name,
                "born_ms": 1,
                "sequence": 1,
                "upstream": "ops",
                "address": f"127.0.0.1:{port}",
                "domain": "d1",
                "version": "v1",
                "slots": 4,
                "state": directory.READY,
            }
            endpoint = directory.Endpoint(**{**values, **self.endpoint_fields})
            directory.announce(relay.directory, endpoint, relay.now())
        allowance = relay.hedging.allowance("r")
        allowance.saved = 1.0
        first = relay.directory.rows[names[0]].endpoint
        self.monkeypatch.setattr(
            relaying.permitted_placement,
            "find",
            self._find(first, relaying.permitted_placement.find),
        )
        self.prepare(relay)
        request = relay_fixtures.make_request(relay)
        started_at = relay.now()
        await relaying.relay_request(
            relay, request, self.caller.make_delivery(relay, request)
        )
        self.took_s = relay.now() - started_at

    @staticmethod
    def _find(first, find):
        async def find_first(relay, request, tried):
            if first.id in tried:
                return await find(relay, request, tried)
            return placement.Placement(first, 0)

        return find_first


@pytest.fixture
def case(monkeypatch):
    return Case(monkeypatch)


class TestCallers:
    def test_a_slow_endpoint_is_overtaken(self, case):
        status = case.play(slow=(0.9, answered()), fast=(0.02, answered()))
        assert status == 200
        assert case.took_s == pytest.approx(0.5 * OBJECTIVE_S + 0.02, abs=0.01)
        assert FakeAttempt.cancelled == ["slow"]
        assert not case.relay.suspect_until

    def test_the_answer_counts_that_comes_first(self, case):
        case.play(first=(0.2, answered()), second=(0.9, answered()))
        assert case.took_s == pytest.approx(0.2, abs=0.01)
        assert FakeAttempt.cancelled == ["second"]
        assert not case.relay.suspect_until

    def test_a_fast_answer_causes_no_second_attempt(self, case):
        case.play(first=(0.02, answered()), second=(0.02, answered()))
        assert FakeAttempt.ended == ["first"]
        assert case.relay.hedging.allowance("r").saved >= 1.0

    @pytest.mark.parametrize("failure", [LOST, NOT_RUN, answered(500)])
    def test_a_failure_does_not_end_the_other_attempt(self, case, failure):
        status = case.play(first=(0.2, failure), second=(0.3, answered()))
        assert status == 200
        status = case.play(first=(0.6, answered()), second=(0.1, failure))
        assert status == 200

    def test_two_lost_attempts_are_the_most_of_this_route(self, case):
        lost = (0.2, LOST)
        status = case.play(first=lost, second=lost, third=lost)
        assert status == 502
        assert len(FakeAttempt.ended) == 2

    def test_a_failure_is_not_held_until_the_deadline(self, case):
        """The first endpoint never answers, the second one fails."""
        case.route_fields = {"timeout_s": 30.0}
        status = case.play(first=(29.0, LOST), second=(0.1, answered(500)))
        assert status == 500
        assert case.took_s < 0.15 + 0.1 + silence.LEAVE_AFTER_S + 0.1

    def test_attempts_side_by_side_are_counted_once_each(self, case):
        case.route_fields = {"max_attempts": 3}
        lost = (0.2, LOST)
        assert case.play(first=lost, second=lost, third=lost) == 502
        assert len(FakeAttempt.ended) == 3
        window = case.relay.retry_window("ops")
        assert len(window.retries) == 2

    def test_an_upstreams_own_failure_is_kept(self, case):
        assert case.play(first=(0.2, answered(500)), second=(0.3, LOST)) == 500

    def test_without_the_setting_nothing_is_sent_twice(self, case):
        case.options = {}
        case.play(first=(0.9, answered()), second=(0.02, answered()))
        assert FakeAttempt.ended == ["first"]


class TestNoSecondAttempt:
    """Cases in which a slow answer is awaited."""

    def check(self, case):
        case.play(first=(0.9, answered()), second=(0.02, answered()))
        assert FakeAttempt.ended == ["first"]
        assert case.caller.status == 200

    @pytest.mark.parametrize(
        "fields",
        [
            {"kind": "non_idempotent"},
            {"kind": "stream", "resumable": True},
            {"max_attempts": 1},
        ],
    )
    def test_for_a_route(self, case, fields):
        case.route_fields = fields
        self.check(case)

    def test_without_a_free_place(self, case):
        """The load: all endpoints are full, so a copy delays others."""

        def fill(relay):
            for name in relay.directory.rows:
                relay.own_loads[name] = relay_fixtures.relay_state.Load(4, 0)

        case.prepare = fill
        self.check(case)

    def test_while_requests_wait_for_a_connection(self, case):
        case.prepare = lambda relay: relay.connection_waiters.update(ops=[1])
        self.check(case)

    def test_when_the_allowance_is_used_up(self, case):
        case.prepare = lambda relay: vars(relay.hedging.allowance("r")).update(
            saved=0.0
        )
        self.check(case)

    def test_when_retries_need_the_budget(self, case):
        case.options |= {"retry_ratio": 0.0, "retry_extra": 2.0}
        self.check(case)

    def test_of_an_upstream_that_refused_late_requests(self, case):
        case.prepare = lambda relay: relay.late_refusals.refused_at.update(
            ops=relay.now()
        )
        self.check(case)

    def test_during_a_rollout(self, case):
        case.prepare = lambda relay: relay.rollouts.update(
            ops=["v2", rollouts.GROWING, 0, 0]
        )
        self.check(case)


async def send_nothing(head, writer):
    """Waits for the next request, or for the end of the connection."""


class TestPlacement:
    @pytest.mark.parametrize("share", [0.0, SHARE])
    async def test_requests_that_come_together_are_spread(self, share):
        """Each sees those placed before it, also within one turn."""
        relay = relay_fixtures.make_relay(extra_attempts=share)
        endpoints = [
            await relay_fixtures.ScriptedEndpoint(name=name).start(relay)
            for name in ("e1", "e2", "e3", "e4")
        ]
        calls = []
        for _ in range(8):
            request = relay_fixtures.make_request(relay)
            delivery = relay_fixtures.RecordingCaller().make_delivery(
                relay, request
            )
            calls.append(relaying.relay_request(relay, request, delivery))
        await asyncio.gather(*calls)
        for endpoint in endpoints:
            endpoint.stop()
        assert [len(e.request_heads) for e in endpoints] == [2, 2, 2, 2]


class TestLeavingCaller:
    async def test_both_endpoints_are_left(self):
        """Both requests end when the caller closes its connection."""
        relay = relay_fixtures.make_relay(extra_attempts=SHARE)
        relay.hedging.allowance("r").saved = 1.0
        endpoints = [
            await relay_fixtures.ScriptedEndpoint(
                send_nothing, name=name
            ).start(relay)
            for name in ("e1", "e2")
        ]
        request = relay_fixtures.make_request(relay)
        delivery = relay_fixtures.RecordingCaller().make_delivery(
            relay, request
        )
        task = asyncio.ensure_future(
            relaying.relay_request(relay, request, delivery)
        )
        while not all(endpoint.request_heads for endpoint in endpoints):
            await asyncio.sleep(0.01)
        delivery.mark_caller_left()
        await task
        for endpoint in endpoints:
            await asyncio.wait_for(endpoint.connection_lost.wait(), 5)
            endpoint.stop()
        assert relay.own_loads == {}


class TestShare:
    def test_of_slow_answers_under_load(self, monkeypatch):
        """400 requests on three endpoints, one of which stalls at times."""
        slowest = {
            share: play_stalls(monkeypatch, share) for share in (0.0, SHARE)
        }
        assert slowest[SHARE].late < slowest[0.0].late / 2
        assert slowest[SHARE].extra <= SHARE * 400 + 1


class Played:
    def __init__(self, late, extra):
        self.late, self.extra = late, extra


def play_stalls(monkeypatch, share):
    """Returns the answers over the objective, and the extra attempts."""
    rng = random.Random(5)
    took, extra = [], 0
    allowance = hedging.Allowance(share=share, rng=rng)
    latencies = hedging.Latencies(now=0.0)
    for number in range(400):
        now = number * 0.1
        first_s = 0.5 if rng.random() < 0.03 else rng.uniform(0.02, 0.04)
        allowance.record_request()
        delay_s = hedging.delay(latencies, share, OBJECTIVE_S, now)
        if share and first_s > delay_s and allowance.try_acquire():
            extra += 1
            first_s = min(first_s, delay_s + rng.uniform(0.02, 0.04))
        took.append(first_s)
        latencies.record(first_s, now)
    return Played(sum(each > OBJECTIVE_S for each in took), extra)


def test_result_of_an_overtaken_attempt_may_have_run():
    tally = results.tally_result(results.Tally(), hedged_attempts.OVERTAKEN)
    assert tally.runs == 1
