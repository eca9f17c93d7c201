"""The log names what ended the search for another endpoint, and why."""

import pytest
import relay_fixtures
import test_relay

from _arbutuswalk.base import events
from _arbutuswalk.routing import directory
from _arbutuswalk.state import routeconfig

RESUMABLE = test_relay.STREAM_ROUTE
BROKEN = relay_fixtures.send_stream((1, "a"), end=False, close=True)
LOST = relay_fixtures.send_bytes(b"", reset=True)


@pytest.fixture
def lines(monkeypatch):
    """Collects the lines of the log as dictionaries, by event."""
    recorded = {}

    def record(event, *fields):
        names = events._FIELD_PATTERN.findall(event.message)
        recorded[event] = dict(zip(names, fields, strict=True))

    monkeypatch.setattr(events, "record", record)
    return recorded


def make_relay(route, **options):
    return relay_fixtures.make_relay(
        relay_fixtures.make_config(route), **options
    )


def make_endpoints(count, step):
    endpoints = [
        relay_fixtures.ScriptedEndpoint(name=f"e{number}")
        for number in range(count)
    ]
    for endpoint in endpoints:
        endpoint.steps = 4 * [step]
    return endpoints


async def break_stream(route, endpoints=2, step=BROKEN, **options):
    relay = make_relay(route, **options)
    caller = await test_relay.relay_to(relay, *make_endpoints(endpoints, step))
    assert caller.status == 200
    assert not caller.complete


class TestBrokenStreams:
    async def check(self, lines, decision, inputs):
        line = lines[events.Event.BROKEN_OFF]
        assert (line["decision"], line["inputs"]) == (decision, inputs)

    async def test_a_route_that_is_not_resumable(self, lines):
        await break_stream(test_relay.NON_RESUMABLE_ROUTE)
        inputs = f"kind {routeconfig.STREAM}"
        await self.check(lines, "not repeatable", inputs)

    async def test_a_spent_retry_budget(self, lines):
        await break_stream(RESUMABLE, retry_ratio=0.5, retry_extra=0.0)
        await self.check(lines, "retry budget", "0 of 0.4 in 10 s")

    async def test_no_attempts_left(self, lines):
        await break_stream(RESUMABLE, endpoints=3)
        await self.check(lines, "max_attempts", "2 of 2")

    async def test_no_other_endpoint(self, lines):
        await break_stream(RESUMABLE, endpoints=1)
        inputs = f"no endpoint is ready, 1 tried, 1 {directory.READY}"
        await self.check(lines, "no endpoint", inputs)

    async def test_no_time_left(self, lines):
        silent = relay_fixtures.send_stream((1, "a"), end=False)
        await break_stream(RESUMABLE._replace(timeout_s=0.3), step=silent)
        line = lines[events.Event.BROKEN_OFF]
        assert line["decision"] == "time left"
        assert float(line["inputs"].removesuffix(" s")) < 0.03


class TestFailuresAndRefusals:
    async def test_a_call_that_may_not_be_repeated(self, lines):
        relay = make_relay(test_relay.NON_IDEMPOTENT_ROUTE)
        await test_relay.relay_to(relay, *make_endpoints(2, LOST))
        line = lines[events.Event.FAILED]
        assert line["decision"] == "not repeatable"
        assert line["inputs"] == f"kind {routeconfig.ONCE}"

    async def test_an_upstreams_own_failure(self, lines):
        relay = make_relay(relay_fixtures.make_route())
        failing = relay_fixtures.send_answer(status="500 Bad")
        await test_relay.relay_to(relay, *make_endpoints(3, failing))
        line = lines[events.Event.FAILED]
        assert line["decision"] == "max_attempts"
        assert line["inputs"] == "2 of 2"

    async def test_a_request_that_crashes_endpoints(self, lines):
        relay = make_relay(relay_fixtures.make_route())
        relay.refusals.add("f", relay.now())
        await test_relay.relay_to(relay, *make_endpoints(1, LOST))
        line = lines[events.Event.REFUSED]
        assert (line["decision"], line["inputs"]) == ("refused", "f")

    async def test_an_upstream_without_endpoints(self, lines):
        relay = make_relay(relay_fixtures.make_route())
        relay.started_at -= 60
        await test_relay.relay_to(relay)
        line = lines[events.Event.REFUSED]
        assert line["decision"] == "no endpoint"
        assert line["inputs"] == "no endpoint is ready, 0 tried"
