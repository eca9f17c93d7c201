"""Refusals of requests that would be answered late, and what callers get."""

import asyncio

import pytest
import relay_fixtures
from arbutuswalk_platform import callers
from arbutuswalk_platform import settings as platform_settings

from _arbutuswalk.base import events
from _arbutuswalk.base import settings
from _arbutuswalk.limits import late_admission
from _arbutuswalk.relay import admission
from _arbutuswalk.relay import first_data_estimates
from _arbutuswalk.relay import late_requests
from _arbutuswalk.relay import relay_state
from _arbutuswalk.relay import request as requests
from _arbutuswalk.routing import selection
from _arbutuswalk.state import routeconfig
from bench import admission as plays

OBJECTIVE_S = 1.0


def decide(wait_s, *, own_s=0.1, priority=0, in_use=(0, 1, 2), **changes):
    return late_admission.decide(
        late_admission.Estimate(own_s, wait_s),
        priority=priority,
        priorities_in_use=in_use,
        **{"left_s": OBJECTIVE_S, "excess": 1.0, **changes},
    )


def max_wait(**changes):
    """Returns the longest wait that is accepted, in steps of 10 ms."""
    waits = [step / 100 for step in range(200)]
    return max(w for w in waits if not decide(w, **changes).is_late)


class TestDecision:
    def test_less_urgent_requests_are_refused_first(self):
        waits = [max_wait(priority=priority) for priority in (0, 1, 2)]
        assert waits == sorted(set(waits), reverse=True)

    def test_the_least_urgent_in_use_is_not_held_back_by_none(self):
        assert max_wait(priority=2, in_use=(2,)) == max_wait(priority=0)

    def test_half_of_the_requests_show_an_overload(self):
        assert not late_admission.is_overloaded([])
        assert not late_admission.is_overloaded([0.1, 0.2, 0.9, 0.2, 0.9])
        assert late_admission.is_overloaded([0.1, 0.5, 0.9, 0.2, 0.9])

    def test_a_workspace_over_its_share_is_refused_before_less_urgent_ones(
        self,
    ):
        assert max_wait(priority=0, excess=7.0) < max_wait(priority=1)
        assert max_wait(priority=1, excess=7.0) < max_wait(priority=2)
        assert max_wait(excess=0.2) == max_wait(excess=1.0)

    @pytest.mark.parametrize("own_s", [0.0, 0.3, 5.0])
    def test_nothing_is_refused_while_there_is_room(self, own_s):
        """Also a request that is late by its own work alone."""
        least_s = max_wait(own_s=own_s, priority=9, excess=100.0)
        assert least_s >= min(0.5 * OBJECTIVE_S - own_s, 0.25 * OBJECTIVE_S)

    def test_retry_after_is_when_it_would_be_served_and_spread(self):
        late = decide(2.0)
        expected_s = late.estimate_s - late.limit_s
        assert late_admission.retry_after(late, 0.0) == expected_s
        assert late_admission.retry_after(late, 0.9) > 1.4 * expected_s
        longest_s = late_admission.retry_after(decide(99.0), 0.9)
        assert longest_s == late_admission.MAX_RETRY_AFTER_S


def learn(took_s, count=40, exceptions=()):
    """Returns what answers show, the first of which were exceptions."""
    times = first_data_estimates.FirstDataTimes(has_fixed_time=True, now=0.0)
    times.record(selection.Work(10, 0), took_s(10), 0.0)
    for number in range(count):
        work = 300 + 50 * (number * 7 % count)
        took = took_s(work)
        if number < len(exceptions):
            took = exceptions[number]
        times.record(selection.Work(work / 2, work / 2), took, 0.0)
    return times


WORK = selection.Work(1000, 3000)


def read_s(work):
    return 0.02 + work / 10_000


class TestEstimate:
    def test_it_is_that_of_the_work(self):
        estimate = learn(read_s).estimate(WORK, 1.0)
        assert sum(estimate) == pytest.approx(0.42, rel=0.1)
        assert estimate.wait_s == pytest.approx(0.3, rel=0.1)

    @pytest.mark.parametrize("took_s", [3.0, 0.02])
    def test_stalls_and_cached_prompts_do_not_mislead(self, took_s):
        times = learn(read_s, exceptions=[took_s] * 8)
        assert sum(times.estimate(WORK, 1.0)) == pytest.approx(0.42, rel=0.2)

    def test_there_is_none_of_few_small_or_old_answers(self):
        few = learn(read_s, count=first_data_estimates.MIN_SAMPLES - 1)
        assert few.estimate(WORK, 1.0) is None
        small = first_data_estimates.FirstDataTimes(
            has_fixed_time=True, now=0.0
        )
        for _ in range(40):
            small.record(selection.Work(20, 0), 0.05, 0.0)
        assert small.estimate(WORK, 1.0) is None
        old = learn(read_s)
        assert old.estimate(WORK, 1.0) is not None
        too_late = first_data_estimates.MAX_AGE_S + 1
        assert old.estimate(WORK, too_late) is None

    def test_an_idle_endpoint_is_not_blamed_for_a_former_overload(self):
        times = learn(lambda work: 0.02 + work / 2000)
        estimate = times.estimate(selection.Work(100, 0), 1.0)
        assert sum(estimate) < 0.2

    def test_work_that_is_not_known_counts_as_others(self):
        """Answers became slower by a load that no entry reports."""
        times = learn(read_s)
        times.estimate(WORK, 0.5)
        for _ in range(first_data_estimates.MAX_SAMPLES):
            times.record(selection.Work(1000, 0), 1.12, 1.0)
        estimate = times.estimate(selection.Work(1000, 0), 1.0)
        assert estimate.own_s == pytest.approx(0.12, rel=0.1)
        assert estimate.wait_s == pytest.approx(1.0, rel=0.1)

    def test_of_a_queue_for_slots(self):
        """Half as many requests wait as there are slots."""
        times = first_data_estimates.FirstDataTimes(
            has_fixed_time=False, now=0.0
        )
        for _ in range(20):
            times.record(selection.Work(1.0, 0.0), 0.2, 0.0)
        candidate = selection.Candidate("e", 5, 0, 4, True, False)
        estimate = times.estimate(selection.expected_queue(candidate), 1.0)
        assert estimate == pytest.approx((0.2, 0.1))


@pytest.fixture(scope="module")
def overload():
    """Outcomes of a load of 1.5 with one workspace at 7 times its usual."""
    return {
        rejects_late: plays.Play(
            load=1.5, rejects_late=rejects_late, hot_factor=7
        ).run(25.0)
        for rejects_late in (False, True)
    }


class TestOverload:
    """The endpoints can read two thirds of the tokens in time."""

    def test_more_callers_get_answers_in_time(self, overload):
        assert plays.share_in_time(overload[False]) < 0.1
        assert plays.share_in_time(overload[True]) > 0.5

    def test_the_urgent_get_more_of_them(self, overload):
        shares = [
            plays.share_in_time(overload[True], priorities=(priority,))
            for priority in plays.PRIORITIES
        ]
        assert shares[0] > shares[1] > shares[2] > 0.3

    def test_a_hot_workspace_does_not_take_the_others_room(self, overload):
        hot, *others = plays.WORKSPACES
        hot_share = plays.share_in_time(overload[True], [hot])
        assert plays.share_in_time(overload[True], others) > hot_share
        for workspace in others:
            assert plays.share_in_time(overload[True], [workspace]) > 0.5

    def test_without_control_answers_are_still_in_time(self):
        """Shares and loads of other entries are not known, estimates are."""
        play = plays.Play(
            load=1.5, rejects_late=True, hot_factor=7, hears_control=False
        )
        assert plays.share_in_time(play.run(20.0)) > 0.3

    def test_nothing_is_refused_at_half_load(self):
        outcomes = plays.Play(load=0.5, rejects_late=True).run(20.0)
        assert plays.share_refused(outcomes) < 0.01


def overload_relay(relay, kind=routeconfig.IDEMPOTENT):
    """Makes the entry know that the endpoint is busy for 2 s."""
    key = first_data_estimates.Key("ops", kind, False)
    for _ in range(first_data_estimates.MIN_SAMPLES):
        relay.first_data.record(key, selection.Work(1.0, 0.0), 0.2, relay.now())
    relay.other_loads = {"e1": relay_state.Load(44, 0)}


def make_incoming(**changes):
    values = {
        "id": "attempt-1",
        "method": "GET",
        "host": "h.example",
        "path": "/a/x",
        "target": "/a/x",
        "key": "key",
        "deadline_s": None,
        "headers": [],
        "body": b"",
        "prompt": None,
        "last_event": "",
        "received_at": asyncio.get_running_loop().time(),
    }
    return admission.IncomingRequest(**{**values, **changes})


async def make_overloaded(rejects_late=True, **route):
    config = relay_fixtures.make_config(
        relay_fixtures.make_route(**route), rate_per_s=100.0, burst=100.0
    )
    relay = relay_fixtures.make_relay(config, rejects_late=rejects_late)
    endpoint = await relay_fixtures.ScriptedEndpoint().start(relay)
    overload_relay(relay, route.get("kind", routeconfig.IDEMPOTENT))
    return relay, endpoint


class TestAdmission:
    @pytest.mark.parametrize("kind", routeconfig.ROUTE_KINDS)
    async def test_a_late_request_is_refused_and_costs_no_quota(
        self, kind, monkeypatch
    ):
        recorded = []
        monkeypatch.setattr(
            late_requests.events, "record", lambda *args: recorded.append(args)
        )
        relay, endpoint = await make_overloaded(kind=kind)
        bucket = relay.quota_buckets["w"]
        before = bucket.taken, bucket.taken_since_report
        level = bucket.level
        refusal = admission.admit(relay, make_incoming())
        endpoint.stop()
        assert refusal.status == admission.STATUS_UNAVAILABLE
        assert 1.0 < refusal.retry_after_s <= 5.0
        event, *fields = recorded[-1]
        assert event == events.Event.LATE_REFUSED
        assert len(fields) == event.message.count("%s")
        assert 'late_refused{upstream="ops"' in relay.metrics.render()
        assert (bucket.taken, bucket.taken_since_report) == before
        assert bucket.level == pytest.approx(level, abs=5.0)
        assert not bucket.recent_takes
        assert relay.late_refusals.refused_recently("ops", relay.now())

    async def test_a_body_that_was_read_slowly_is_no_reason(self):
        """The objective has passed, and there is room."""
        relay, endpoint = await make_overloaded(timeout_s=30.0)
        relay.other_loads = {"e1": relay_state.Load(4, 0)}
        received_at = relay.now() - 2.0
        admitted = admission.admit(
            relay, make_incoming(received_at=received_at)
        )
        endpoint.stop()
        assert isinstance(admitted, requests.Request)

    async def test_a_stream_to_be_resumed_is_not_refused(self):
        relay, endpoint = await make_overloaded(
            kind=routeconfig.STREAM, resumable=True
        )
        admitted = admission.admit(relay, make_incoming(last_event="3"))
        endpoint.stop()
        assert isinstance(admitted, requests.Request)

    async def test_without_the_setting_nothing_changes(self, monkeypatch):
        relay, endpoint = await make_overloaded(rejects_late=False)
        monkeypatch.delattr(late_requests, "admit")
        monkeypatch.delattr(late_requests, "FirstDataCheck")
        status, _ = await call(relay)
        endpoint.stop()
        relay.pool.close()
        assert status == 200
        assert not relay.late_refusals.asked_at
        assert not relay.workspace_demand.asked

    async def test_without_a_usable_endpoint_other_rules_decide(self):
        relay, endpoint = await make_overloaded()
        endpoint.stop()
        relay.directory.rows.clear()
        admitted = admission.admit(relay, make_incoming())
        assert isinstance(admitted, requests.Request)


async def call(relay):
    """Sends a request through the platform's front; returns its answer."""
    sent = []
    received = [{"type": "http.request", "body": b"", "more_body": False}]

    async def receive():
        if received:
            return received.pop()
        return await asyncio.get_running_loop().create_future()

    async def send(message):
        sent.append(message)

    scope = {
        "type": "http",
        "method": "GET",
        "raw_path": b"/a/x",
        "path": "/a/x",
        "query_string": b"",
        "headers": [
            (b"host", b"h.example"),
            (b"x-attempt-id", b"attempt-1"),
            (b"x-key", b"key"),
        ],
    }
    await callers.make_app(relay)(scope, receive, send)
    return sent[0]["status"], dict(sent[0]["headers"])


class TestEndToEnd:
    async def test_late_refused_and_in_time_served(self):
        relay, endpoint = await make_overloaded()
        status, headers = await call(relay)
        assert status == 503
        assert float(headers[b"retry-after"]) > 1.0
        assert endpoint.request_heads == []
        relay.other_loads = {}
        status, headers = await call(relay)
        endpoint.stop()
        relay.pool.close()
        assert status == 200
        assert len(endpoint.request_heads) == 1
        assert "first_data_expected_seconds" in relay.metrics.render()


class TestSetting:
    def test_other_values_are_an_error(self):
        field = next(
            field
            for field in platform_settings.ENTRY_FIELDS
            if field.key == "reject_late"
        )
        assert settings.check({}, (field,), where="f") == {"reject_late": False}
        checked = settings.check({"reject_late": "yes"}, (field,), where="f")
        assert "reject_late" in checked.problems[0]
