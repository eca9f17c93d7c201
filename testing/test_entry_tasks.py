"""Unexpected errors in an entry's periodic tasks."""

import asyncio

import entry_fixtures
import pytest
import virtual

from _arbutuswalk.entry import control_sync
from _arbutuswalk.entry import maintenance
from _arbutuswalk.entry import placement
from _arbutuswalk.entry import request_copies
from _arbutuswalk.routing import upstreams
from _arbutuswalk.wire.gen.arbutus import ttypes

STEPS = {
    "expire upstreams": (upstreams, "expire"),
    "expire copies": (request_copies, "expire"),
    "place": (placement, "place_queued"),
}


@pytest.fixture
def loop():
    new_loop = virtual.VirtualLoop()
    yield new_loop
    virtual.close(new_loop)


@pytest.fixture
def entry(loop):
    control = entry_fixtures.Control(loop, None)
    return entry_fixtures.make_entry(loop, control, "a")


def fail_once(monkeypatch, module, name):
    """Makes a function fail at its first call; returns its later calls."""
    function, calls = getattr(module, name), []

    def fail_first(*arguments, **options):
        calls.append(arguments)
        if len(calls) == 1:
            raise ValueError("unexpected")
        return function(*arguments, **options)

    monkeypatch.setattr(module, name, fail_first)
    return calls


class TestMaintenance:
    @pytest.mark.parametrize("step", STEPS)
    def test_an_error_ends_no_other_step(
        self, monkeypatch, caplog, loop, entry, step
    ):
        entry.queue_for("model")
        calls = {name: fail_once(monkeypatch, *STEPS[name]) for name in [step]}[
            step
        ]
        task = loop.create_task(maintenance.run(entry))
        loop.run_until_complete(asyncio.sleep(1.0))
        assert not task.done()
        assert len(calls) > 5
        assert "unexpected" in caplog.text


class TestSync:
    def make_reply(self, view):
        return ttypes.SyncReply(
            status=ttypes.Status.OK, lease_ms=3000, view_version=7, view=view
        )

    def test_a_view_that_cannot_be_read_is_asked_for_again(
        self, caplog, loop, entry
    ):
        replies = [self.make_reply(b'{"entries": 3}'), self.make_reply(b"{")]
        asked_versions = []

        class Control:
            relay_addresses = ()

            async def call(self, message, *, timeout_s, before_attempt):
                asked_versions.append(message.view_version)
                await asyncio.sleep(0.01)
                before_attempt()
                return (
                    replies.pop()
                    if replies
                    else test.make_reply(b'{"entries": {}}')
                )

        test = self
        entry.control = Control()
        entry.registered = True
        task = loop.create_task(control_sync.run(entry))
        loop.run_until_complete(asyncio.sleep(1.0))
        assert not task.done()
        assert asked_versions[:3] == [0, 0, 0]
        assert entry.view["entries"] == {}
        assert entry.lease_expires_at > loop.time()
        assert "sync" in caplog.text
