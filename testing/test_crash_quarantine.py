"""Detection of upstream deaths at an entry, and reports to its peers."""

import asyncio
import json
import random

import entry_fixtures
import pytest
import virtual

from _arbutuswalk.entry import crash_quarantine
from _arbutuswalk.entry import execution
from _arbutuswalk.entry import link_handler
from _arbutuswalk.entry import model_requests
from _arbutuswalk.entry import peer_inquiries
from _arbutuswalk.entry import peer_updates
from _arbutuswalk.entry import placement
from _arbutuswalk.entry import upstream_announcements
from _arbutuswalk.routing import upstreams
from _arbutuswalk.state import commands
from _arbutuswalk.streams import attempts
from _arbutuswalk.wire.gen.arbutus import ttypes

ENTRY_NAMES = ("a", "b")


class TestProbe:
    async def test_closing_listener_counts_as_refused(self):
        """An exiting process still accepts connections for a moment."""

        async def end(_, writer):
            server.close()
            writer.transport.abort()

        server = await asyncio.start_server(end, "127.0.0.1", 0)
        port = server.sockets[0].getsockname()[1]
        probe = await crash_quarantine._probe(f"127.0.0.1:{port}")
        assert probe == crash_quarantine._REFUSED

    async def test_any_response_counts_as_answered(self):
        async def answer(reader, writer):
            await reader.readline()
            writer.write(b"HTTP/1.1 404 Not Found\r\n\r\n")
            await writer.drain()
            writer.close()

        server = await asyncio.start_server(answer, "127.0.0.1", 0)
        port = server.sockets[0].getsockname()[1]
        assert (
            await crash_quarantine._probe(f"127.0.0.1:{port}")
            == crash_quarantine._ANSWERED
        )
        server.close()

    async def test_silent_listener_counts_as_no_answer(self, monkeypatch):
        monkeypatch.setattr(crash_quarantine, "PROBE_TIMEOUT_S", 0.05)

        async def hold(reader, _):
            await reader.read()

        server = await asyncio.start_server(hold, "127.0.0.1", 0)
        port = server.sockets[0].getsockname()[1]
        probe = await crash_quarantine._probe(f"127.0.0.1:{port}")
        assert probe == crash_quarantine._NO_ANSWER
        server.close()


@pytest.fixture
def loop():
    virtual_loop = virtual.VirtualLoop()
    yield virtual_loop
    virtual.close(virtual_loop)


@pytest.fixture
def entries(loop):
    control = entry_fixtures.Control(loop, random.Random(1))
    return [
        entry_fixtures.make_entry(loop, control, name) for name in ENTRY_NAMES
    ]


class TestPeerSuspects:
    def receive_suspects(self, entry, fingerprints):
        update = {"kind": peer_updates.SUSPECTS, "fingerprints": fingerprints}
        message = ttypes.UpstreamNews(
            announcements=[json.dumps(update).encode()]
        )
        upstream_announcements.on_peer_updates(entry, message)

    def test_suspect_counts_before_the_report_is_committed(self, entries):
        assert not entries[1].is_suspect("f")
        self.receive_suspects(entries[1], ["f"])
        assert entries[1].is_suspect("f")
        assert not entries[1].is_suspect("g")

    def test_peer_suspect_expires(self, loop, entries):
        self.receive_suspects(entries[1], ["f"])
        loop.run_until_complete(
            asyncio.sleep(crash_quarantine.PEER_SUSPECT_TTL_S + 0.1)
        )
        assert not entries[1].is_suspect("f")
        crash_quarantine.expire_peer_suspects(entries[1])
        assert entries[1].peer_suspects == {}

    def test_death_report_sends_the_suspects_to_peers(
        self, loop, entries, monkeypatch
    ):
        sent_updates = []
        monkeypatch.setattr(
            peer_updates,
            "send_to_peers",
            lambda entry, update: sent_updates.append(update),
        )
        entry = entries[0]
        announcement = entry_fixtures.make_announcement("u0", "model")
        upstreams.announce(
            entry.upstreams, announcement, announced_at=loop.time()
        )
        row = entry.upstreams.rows["u0"]
        row.unconfirmed_crashes.add("f")
        loop.run_until_complete(crash_quarantine.report_death(entry, row))
        assert sent_updates == [
            {"kind": peer_updates.SUSPECTS, "fingerprints": ["f"]}
        ]


def make_request(entry):
    body = {"model": "model", "prompt": "ref:i0", "max_tokens": 4}
    return model_requests.ModelRequest(
        request_id="a~1",
        workspace="w",
        weight=1,
        key="",
        route="completions",
        raw=json.dumps(body).encode(),
        body=body,
        deadline=entry.now() + 10,
        priority=5,
        now=entry.now(),
    )


class TestLostAttempts:
    """An attempt broke, and its upstream's death is not confirmed yet."""

    @pytest.fixture
    def linked_entries(self, entries, monkeypatch):
        def send(sender, update):
            message = ttypes.UpstreamNews(
                announcements=[json.dumps(update).encode()]
            )
            for entry in entries:
                if entry is not sender:
                    upstream_announcements.on_peer_updates(entry, message)

        monkeypatch.setattr(peer_updates, "send_to_peers", send)
        return entries

    def lose_attempt(self, loop, entry, monkeypatch, *, probe_s, is_dead):
        """Runs an attempt that breaks; returns the task that handles it."""

        async def run_attempt(*_):
            return attempts.Broke(reason="reset")

        async def probe(*_):
            await asyncio.sleep(probe_s)
            return is_dead

        monkeypatch.setattr(attempts, "run", run_attempt)
        monkeypatch.setattr(crash_quarantine, "is_dead", probe)
        announcement = entry_fixtures.make_announcement("u0", "model")
        upstreams.announce(
            entry.upstreams, announcement, announced_at=loop.time()
        )
        row = entry.upstreams.rows["u0"]
        request = make_request(entry)
        placement.reserve(row, request)
        state = execution.RunState(entry=entry, request=request, ticket=None)
        task = loop.create_task(execution._attempt(state, row))
        loop.run_until_complete(asyncio.sleep(0.01))
        return task

    async def held_for(self, entry):
        """Returns for how long a resend of the request is held."""
        started = entry.now()
        await crash_quarantine.wait_while_unconfirmed(
            entry, make_request(entry)
        )
        return entry.now() - started

    @pytest.mark.parametrize("index", [0, 1], ids=["same", "peer"])
    @pytest.mark.parametrize("is_dead", [False, True])
    def test_a_resend_waits_until_the_probe_has_ended(
        self, loop, linked_entries, monkeypatch, index, is_dead
    ):
        self.lose_attempt(
            loop, linked_entries[0], monkeypatch, probe_s=0.3, is_dead=is_dead
        )
        entry = linked_entries[index]
        held_s = loop.run_until_complete(self.held_for(entry))
        assert 0.25 <= held_s <= 0.35
        fingerprint = make_request(entry).fingerprint
        assert entry.is_suspect(fingerprint) is is_dead

    def test_a_resend_is_not_held_for_longer_than_a_probe_takes(
        self, loop, linked_entries, monkeypatch
    ):
        self.lose_attempt(
            loop, linked_entries[0], monkeypatch, probe_s=9.0, is_dead=False
        )
        held_s = loop.run_until_complete(self.held_for(linked_entries[1]))
        assert held_s <= crash_quarantine.UNCONFIRMED_TTL_S + 0.1

    @pytest.mark.parametrize("index", [0, 1], ids=["same", "peer"])
    def test_a_held_resend_without_news_does_not_run_beside_others(
        self, loop, linked_entries, monkeypatch, index
    ):
        """All held resends would run at once, each on another upstream."""
        self.lose_attempt(
            loop, linked_entries[0], monkeypatch, probe_s=9.0, is_dead=False
        )
        entry = linked_entries[index]
        loop.run_until_complete(self.held_for(entry))
        assert entry.is_suspect(make_request(entry).fingerprint)

    def test_other_requests_are_not_held(
        self, loop, linked_entries, monkeypatch
    ):
        self.lose_attempt(
            loop, linked_entries[0], monkeypatch, probe_s=0.3, is_dead=False
        )
        entry = linked_entries[1]
        request = make_request(entry)
        request.fingerprint = "other"
        started = entry.now()
        loop.run_until_complete(
            crash_quarantine.wait_while_unconfirmed(entry, request)
        )
        assert entry.now() == started


class TestInquiries:
    """An upstream refuses a connection, so its process is gone."""

    @pytest.fixture
    def row(self, loop, entries):
        """An upstream that both entries know, as the second knows it."""
        announcement = entry_fixtures.make_announcement("u0", "model")
        for entry in entries:
            upstreams.announce(
                entry.upstreams, announcement, announced_at=loop.time()
            )
        return entries[1].upstreams.rows["u0"]

    def link_to_handler(self, entries, monkeypatch):
        class Link:
            async def call(self, message, *, timeout_s):
                await asyncio.sleep(0.01)
                return await link_handler.make_handler(entries[1])(message)

        monkeypatch.setattr(entries[0], "link_to", lambda address: Link())

    def test_a_request_that_runs_there_at_a_peer_is_held(
        self, loop, entries, monkeypatch, row
    ):
        self.link_to_handler(entries, monkeypatch)
        running, broken = make_request(entries[1]), "broken"
        entries[1].requests[running.request_id] = running
        placement.reserve(row, running)
        row.unconfirmed_crashes.add(broken)
        entry_fixtures.refresh(entries[0], entries[0].control.control)
        loop.run_until_complete(
            crash_quarantine.hold_requests_on(
                entries[0], entries[0].upstreams.rows["u0"]
            )
        )
        assert set(entries[0].unconfirmed_until) == {
            running.fingerprint,
            broken,
        }

    def test_a_request_of_a_reported_death_becomes_a_suspect(
        self, loop, entries, monkeypatch, row
    ):
        """The peer's own message about it may still be under way."""
        self.link_to_handler(entries, monkeypatch)
        row.unconfirmed_crashes.add("f")
        loop.run_until_complete(crash_quarantine.report_death(entries[1], row))
        entry_fixtures.refresh(entries[0], entries[0].control.control)
        loop.run_until_complete(
            crash_quarantine.hold_requests_on(
                entries[0], entries[0].upstreams.rows["u0"]
            )
        )
        assert entries[0].is_suspect("f")

    def test_nothing_is_placed_until_the_peers_have_answered(
        self, loop, entries, monkeypatch, row
    ):
        self.link_to_handler(entries, monkeypatch)
        entry = entries[0]
        entry_fixtures.refresh(entry, entry.control.control)
        request = make_request(entry)

        async def ask():
            crash_quarantine.start_inquiry(entry, row)
            assert not crash_quarantine.may_share(entry, request)
            await crash_quarantine.wait_while_unconfirmed(entry, request)

        loop.run_until_complete(ask())
        assert crash_quarantine.may_share(entry, request)

    def test_a_peer_that_does_not_answer_delays_nothing_for_long(
        self, loop, entries, row
    ):
        entry = entries[0]
        entry_fixtures.refresh(entry, entry.control.control)
        started = entry.now()
        loop.run_until_complete(crash_quarantine.hold_requests_on(entry, row))
        assert entry.now() - started <= peer_inquiries.ANSWER_TIMEOUT_S + 0.1


class TestReservations:
    def test_request_waits_while_the_last_upstream_is_reserved(
        self, loop, entries
    ):
        """With two of four upstreams dead, both others may be reserved."""
        entry = entries[0]
        announcement = entry_fixtures.make_announcement("u0", "model")
        upstreams.announce(
            entry.upstreams, announcement, announced_at=loop.time()
        )
        row = entry.upstreams.rows["u0"]
        row.isolated = "suspect"
        request = make_request(entry)
        assert placement.early_refusal(entry, request) is None

        async def wait():
            ticket = placement.enqueue(entry, request)
            row.isolated = ""
            placement.place_queued(entry, "model")
            return await placement.wait_for_placement(entry, request, ticket)

        assert loop.run_until_complete(wait()) is row

    def test_silent_connection_is_not_retried_on_a_reserved_upstream(
        self, loop, entries
    ):
        """The suspect there would not run alone."""
        entry = entries[0]
        for name in ("u0", "u1"):
            upstreams.announce(
                entry.upstreams,
                entry_fixtures.make_announcement(name, "model"),
                announced_at=loop.time(),
            )
        state = execution.RunState(
            entry=entry, request=make_request(entry), ticket=None
        )
        state.row_to_retry = entry.upstreams.rows["u0"]
        state.row_to_retry.isolated = "suspect"
        row = loop.run_until_complete(execution._reserve_upstream(state))
        assert row is entry.upstreams.rows["u1"]

    def test_request_is_refused_where_no_upstream_is_up(self, entries):
        request = make_request(entries[0])
        refusal = placement.early_refusal(entries[0], request)
        assert refusal.title == "no upstream"


class TestConvictions:
    def test_convicted_request_is_refused_before_the_view_tells(
        self, loop, entries
    ):
        """The view of the entry is older than the first of both deaths."""
        entry = entries[0]
        fingerprint = make_request(entry).fingerprint
        control = entry.control.control
        control.commit(commands.ReportDeath("u0", 1, [fingerprint]))
        control.commit(commands.Isolate(fingerprint, "u1", 1, entry.name))
        announcement = entry_fixtures.make_announcement("u1", "model")
        upstreams.announce(
            entry.upstreams, announcement, announced_at=loop.time()
        )
        row = entry.upstreams.rows["u1"]
        row.unconfirmed_crashes.add(fingerprint)
        blamed = loop.run_until_complete(
            crash_quarantine.report_death(entry, row)
        )
        assert blamed == fingerprint
        assert entry.convicted_until_ms(fingerprint)
