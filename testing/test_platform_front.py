"""Callers' requests, drain and readiness of an entry, over real connections."""

import asyncio
import json
import logging
import platform as standard_platform
import subprocess
import sys

import endless_endpoint
import process_fixtures
import pytest
import relay_fixtures
from arbutuswalk_platform import callers
from arbutuswalk_platform import entry
from arbutuswalk_platform import probes
from arbutuswalk_platform import server

from _arbutuswalk.base import events
from _arbutuswalk.base import structured_log
from _arbutuswalk.relay import admission
from _arbutuswalk.relay import request as requests
from _arbutuswalk.state import routeconfig

VALID_REQUEST = (
    b"POST /a/x HTTP/1.1\r\nHost: h.example\r\nX-Attempt-Id: attempt-1\r\n"
    b"X-Key: key\r\nX-Deadline-Ms: 1000\r\nContent-Length: 4\r\n\r\nbody"
)


class RunningEntry:
    """A caller listener with its relay and one scripted endpoint."""

    def __init__(self, config=None, steps=()):
        self.relay = relay_fixtures.make_relay(config)
        self.relay.started_at -= 60
        self.endpoint = relay_fixtures.ScriptedEndpoint(*steps)
        self.listener = server.Listener(
            address="127.0.0.1:0",
            app=callers.make_app(self.relay),
            limits=lambda: entry.connection_limits(self.relay),
        )

    async def __aenter__(self):
        await self.endpoint.start(self.relay)
        await self.listener.start()
        self.port = self.listener.server.sockets[0].getsockname()[1]
        return self

    async def __aexit__(self, *_):
        self.endpoint.stop()
        self.relay.pool.close()
        await self.listener.stop()

    async def connect(self):
        return await asyncio.open_connection("127.0.0.1", self.port)

    async def accepted_connection(self):
        """Returns the listener's side of the only connection."""
        while not self.listener.server_state.connections:
            await asyncio.sleep(0.01)
        (connection,) = self.listener.server_state.connections
        return connection

    async def send_request(self, data, wait_s=10.0):
        reader, writer = await self.connect()
        writer.write(data)
        head = await asyncio.wait_for(reader.readuntil(b"\r\n\r\n"), wait_s)
        writer.close()
        return int(head.split()[1]), head.lower()


class TestRequests:
    async def test_valid_request_is_answered_and_connection_is_kept_alive(self):
        async with RunningEntry() as running_entry:
            reader, writer = await running_entry.connect()
            for _ in range(2):
                writer.write(VALID_REQUEST)
                head = await reader.readuntil(b"\r\n\r\n")
                assert head.startswith(b"HTTP/1.1 200")
                assert await reader.readexactly(2) == b"ok"
            writer.close()
            assert running_entry.endpoint.request_bodies == [b"body", b"body"]
            assert (
                "x-key" not in running_entry.endpoint.request_heads[0].lower()
            )

    @pytest.mark.parametrize(
        ("data", "status"),
        [
            (VALID_REQUEST.replace(b"X-Key: key", b"X-Key: other"), 401),
            (VALID_REQUEST.replace(b"X-Key: key\r\n", b""), 401),
            (VALID_REQUEST.replace(b"/a/x", b"/b/x"), 404),
            (VALID_REQUEST.replace(b"h.example", b"other.example"), 404),
            (VALID_REQUEST.replace(b"X-Attempt-Id: attempt-1\r\n", b""), 400),
            (
                VALID_REQUEST.replace(
                    b"X-Key: key", b"X-Key: key\r\nX-Key: key"
                ),
                400,
            ),
        ],
        ids=["key", "no key", "path", "host", "no id", "two keys"],
    )
    async def test_rejected_request_does_not_reach_an_endpoint(
        self, data, status
    ):
        async with RunningEntry() as running_entry:
            assert (await running_entry.send_request(data))[0] == status
            assert not running_entry.endpoint.request_heads

    @pytest.mark.parametrize(
        "data",
        [
            VALID_REQUEST.replace(
                b"Content-Length: 4",
                b"Content-Length: 4\r\nTransfer-Encoding: chunked",
            ),
            VALID_REQUEST.replace(
                b"Content-Length: 4", b"Content-Length: 4\r\nContent-Length: 9"
            ),
            VALID_REQUEST.replace(b"X-Key: key", b"X-Key: key\r\n folded: 1"),
            VALID_REQUEST.replace(
                b"X-Key: key", b"X-Odd: a\x00b\r\nX-Key: key"
            ),
            VALID_REQUEST.replace(b"X-Key: key", b"X Odd: 1\r\nX-Key: key"),
            VALID_REQUEST.replace(b"Content-Length: 4", b"Content-Length: -4"),
            VALID_REQUEST.replace(b"/a/x", b"/a/\x01x"),
            b"garbage\r\n\r\n",
        ],
        ids=[
            "both lengths",
            "two lengths",
            "folded",
            "control byte",
            "space in name",
            "negative length",
            "control byte in path",
            "garbage",
        ],
    )
    async def test_malformed_request_does_not_reach_an_endpoint(self, data):
        async with RunningEntry() as running_entry:
            status, _ = await running_entry.send_request(data)
            assert status == 400
            assert not running_entry.endpoint.request_heads

    async def test_request_without_a_configuration_gets_503_instead_of_404(
        self,
    ):
        async with RunningEntry() as running_entry:
            running_entry.relay.route_table = None
            status, head = await running_entry.send_request(VALID_REQUEST)
            assert status == 503
            assert b"retry-after" in head

    async def test_request_to_a_new_process_waits_for_the_configuration(self):
        async with RunningEntry() as running_entry:
            table, running_entry.relay.route_table = (
                running_entry.relay.route_table,
                None,
            )
            running_entry.relay.started_at = running_entry.relay.now()
            response_task = asyncio.ensure_future(
                running_entry.send_request(VALID_REQUEST)
            )
            await asyncio.sleep(0.05)
            running_entry.relay.route_table = table
            running_entry.relay.notify_waiters()
            assert (await response_task)[0] == 200

    async def test_oversized_body_is_refused(self):
        async with RunningEntry() as running_entry:
            body = b"x" * 100_001
            head = VALID_REQUEST.partition(b"\r\n\r\n")[0].replace(
                b"Content-Length: 4", b"Content-Length: 100001"
            )
            status, _ = await running_entry.send_request(
                head + b"\r\n\r\n" + body
            )
            assert status == 413

    async def test_oversized_body_is_not_buffered(self):
        async with RunningEntry() as running_entry:
            head = VALID_REQUEST.partition(b"\r\n\r\n")[0].replace(
                b"Content-Length: 4", b"Transfer-Encoding: chunked"
            )
            reader, writer = await running_entry.connect()
            writer.write(head + b"\r\n\r\n")
            memory = endless_endpoint.resident_bytes()
            part = 1024 * 1024 * b"x"
            for _ in range(64):
                writer.write(b"100000\r\n" + part + b"\r\n")
                await writer.drain()
            growth = endless_endpoint.resident_bytes() - memory
            writer.write(b"0\r\n\r\n")
            answer = await asyncio.wait_for(reader.readuntil(b"\r\n"), 10)
            assert answer.split()[1] == b"413"
            assert growth < 16 * len(part)
            assert not running_entry.endpoint.request_heads
            writer.close()

    async def test_chunked_body_reaches_the_endpoint_complete(self):
        async with RunningEntry() as running_entry:
            data = VALID_REQUEST.partition(b"\r\n\r\n")[0].replace(
                b"Content-Length: 4", b"Transfer-Encoding: chunked"
            )
            data += b"\r\n\r\n2\r\nbo\r\n2\r\ndy\r\n0\r\n\r\n"
            assert (await running_entry.send_request(data))[0] == 200
            assert running_entry.endpoint.request_bodies == [b"body"]

    async def test_quota_refusal_has_a_retry_after_header(self):
        config = relay_fixtures.make_config(rate_per_s=1.0, burst=10.0)
        async with RunningEntry(config) as running_entry:
            statuses = [
                (await running_entry.send_request(VALID_REQUEST))
                for _ in range(3)
            ]
            assert statuses[0][0] == 200
            status, head = statuses[-1]
            assert status == 429
            assert b"retry-after" in head


class TestCallers:
    async def test_caller_disconnect_cancels_the_endpoint_request(self):
        route = relay_fixtures.make_route(
            kind=routeconfig.STREAM, timeout_s=30.0
        )
        steps = [relay_fixtures.send_stream((1, "a"), end=False)]
        async with RunningEntry(
            relay_fixtures.make_config(route), steps
        ) as running_entry:
            reader, writer = await running_entry.connect()
            writer.write(VALID_REQUEST.replace(b": 1000", b": 30000"))
            await reader.readuntil(b"data: a")
            writer.close()
            await asyncio.wait_for(
                running_entry.endpoint.connection_lost.wait(), 10
            )

    async def test_draining_entry_sends_connection_close(self):
        async with RunningEntry() as running_entry:
            running_entry.relay.draining = True
            status, head = await running_entry.send_request(VALID_REQUEST)
            assert status == 200
            assert b"connection: close" in head

    async def test_broken_off_response_lacks_the_final_chunk(self):
        route = relay_fixtures.make_route(
            kind=routeconfig.STREAM, max_attempts=1, timeout_s=3.0
        )
        steps = [relay_fixtures.send_stream((1, "a"), end=False, close=True)]
        async with RunningEntry(
            relay_fixtures.make_config(route), steps
        ) as running_entry:
            reader, writer = await running_entry.connect()
            writer.write(VALID_REQUEST)
            data = await reader.read()
            assert b"data: a" in data
            assert not data.endswith(b"0\r\n\r\n")
            writer.close()

    async def test_broken_off_response_leaves_structured_lines_only(
        self, capfd, monkeypatch
    ):
        monkeypatch.setattr(logging.getLogger(), "handlers", [])
        monkeypatch.setattr(structured_log, "_writers", [])
        writer = events.start_structured_log(1)
        route = relay_fixtures.make_route(
            kind=routeconfig.STREAM, max_attempts=1, timeout_s=3.0
        )
        steps = [relay_fixtures.send_stream((1, "a"), end=False, close=True)]
        config = relay_fixtures.make_config(route)
        async with RunningEntry(config, steps) as running_entry:
            reader, caller = await running_entry.connect()
            caller.write(VALID_REQUEST)
            await reader.read()
            caller.close()
        writer.flush()
        output, errors = capfd.readouterr()
        names = [json.loads(line)["name"] for line in output.splitlines()]
        assert "broken_off" in names
        assert "library_message" in names
        assert errors == ""


class TestDrain:
    """Drain of an entry, with ``DRAIN_ACCEPT_S`` set to zero."""

    @pytest.fixture(autouse=True)
    def no_accept_period(self, monkeypatch):
        monkeypatch.setattr(entry, "DRAIN_ACCEPT_S", 0.0)

    def start_drain(self, running_entry):
        return asyncio.ensure_future(
            entry._drain(
                running_entry.relay, running_entry.listener, grace_s=60.0
            )
        )

    async def test_draining_entry_accepts_no_connections_while_a_request_runs(
        self,
    ):
        """An entry that still served a stream took a new connection.

        It came 4.2 s after the signal, and its response was cut off at the end
        of the grace period.
        """
        release = asyncio.Event()

        async def delayed_answer(head, writer):
            await release.wait()
            await relay_fixtures.send_answer()(head, writer)

        async def connection_is_refused():
            try:
                _, writer = await running_entry.connect()
            except ConnectionRefusedError:
                return True
            writer.close()
            return False

        config = relay_fixtures.make_config(
            relay_fixtures.make_route(timeout_s=60.0)
        )
        async with RunningEntry(config, [delayed_answer]) as running_entry:
            data = VALID_REQUEST.replace(
                b"X-Deadline-Ms: 1000", b"X-Deadline-Ms: 60000"
            )
            response_task = asyncio.ensure_future(
                running_entry.send_request(data)
            )
            while not running_entry.endpoint.request_heads:
                await asyncio.sleep(0.01)
            draining = self.start_drain(running_entry)
            await process_fixtures.wait_until(
                connection_is_refused, max_polls=50, pause_s=0.02
            )
            assert not draining.done()
            release.set()
            status, head = await response_task
            assert status == 200
            assert b"connection: close" in head
            await asyncio.wait_for(draining, 10)

    async def test_request_still_being_read_is_answered_before_the_drain_ends(
        self,
    ):
        """A request that arrived while the process ended was cut off."""
        async with RunningEntry() as running_entry:
            reader, writer = await running_entry.connect()
            writer.write(VALID_REQUEST[:-2])
            while not running_entry.listener.server_state.connections:
                await asyncio.sleep(0.01)
            await asyncio.sleep(0.05)
            draining = self.start_drain(running_entry)
            done, _ = await asyncio.wait({draining}, timeout=0.3)
            assert not done
            writer.write(VALID_REQUEST[-2:])
            head = await reader.readuntil(b"\r\n\r\n")
            assert head.startswith(b"HTTP/1.1 200")
            assert await reader.read() == b"ok"
            await asyncio.wait_for(draining, 10)
            writer.close()


class TestReadiness:
    @pytest.mark.parametrize(
        ("known", "draining", "status"),
        [(True, False, 200), (False, False, 503), (True, True, 503)],
    )
    async def test_readiness_requires_a_configuration_and_no_drain(
        self, known, draining, status
    ):
        relay = relay_fixtures.make_relay()
        relay.draining = draining
        if not known:
            relay.route_table = None
        sent = []

        async def send(message):
            sent.append(message)

        app = probes.make_readiness_app(relay)
        await app({"path": "/v1/readiness"}, None, send)
        assert sent[0]["status"] == status


def make_incoming(**changes):
    values = {
        "id": "attempt-1",
        "method": "POST",
        "host": "h.example",
        "path": "/a/x",
        "target": "/a/x",
        "key": "k",
        "deadline_s": 3.0,
        "headers": [],
        "body": b"",
        "prompt": None,
        "last_event": "",
        "received_at": 0.0,
    }
    return admission.IncomingRequest(**{**values, **changes})


class TestAdmission:
    def test_workspace_priority_overrides_route_priority(self):
        config = relay_fixtures.make_config(priority=0)
        relay = relay_fixtures.make_relay(config)
        assert relay_fixtures.make_request(relay).priority == 0
        plain = relay_fixtures.make_relay()
        assert relay_fixtures.make_request(plain).priority == 2

    @pytest.mark.parametrize("key", ["k", "unknown", ""])
    @pytest.mark.parametrize("has_workspace", [False, True])
    def test_no_key_is_accepted_after_the_last_was_taken_away(
        self, key, has_workspace
    ):
        """Guards against a check of keys that ends with the last key.

        Requests with any key and without one ran, outside all quotas.
        """
        config = relay_fixtures.make_config(keys=())
        if not has_workspace:
            config = config._replace(workspaces=())
        relay = relay_fixtures.make_relay(config)
        refusal = admission.admit(relay, make_incoming(key=key))
        assert refusal.status == admission.STATUS_UNAUTHORIZED

    def test_an_empty_key_is_none(self):
        """Guards against callers without a key who get a workspace."""
        config = relay_fixtures.make_config(keys=("", "key"))
        relay = relay_fixtures.make_relay(config)
        refusal = admission.admit(relay, make_incoming(key=""))
        assert refusal.status == admission.STATUS_UNAUTHORIZED
        admitted = admission.admit(relay, make_incoming(key="key"))
        assert admitted.workspace.name == "w"

    def test_no_key_is_needed_on_an_anonymous_route_or_without_workspaces(
        self,
    ):
        anonymous = relay_fixtures.make_route(anonymous=True)
        for config in (
            relay_fixtures.make_config(anonymous, keys=()),
            relay_fixtures.make_config()._replace(
                workspaces=(), requires_keys=False
            ),
        ):
            relay = relay_fixtures.make_relay(config)
            admitted = admission.admit(relay, make_incoming(key=""))
            assert admitted.workspace is None

    @pytest.mark.parametrize(
        ("tokens", "is_admitted"),
        [(989, True), (991, False), (10**15, False)],
    )
    def test_a_request_above_the_quota_of_a_window_is_refused(
        self, tokens, is_admitted
    ):
        """Guards against QUOTA, and a workspace that is refused for ages.

        One request was admitted whatever its size, and took its tokens.
        """
        config = relay_fixtures.make_config(rate_per_s=100.0, burst=100.0)
        relay = relay_fixtures.make_relay(config)
        level = relay.quota_buckets["w"].level
        prompt = requests.Prompt("m", tokens, 0, ())
        incoming = make_incoming(key="key", prompt=prompt)
        admitted = admission.admit(relay, incoming)
        if is_admitted:
            assert isinstance(admitted, requests.Request)
        else:
            assert admitted.status == admission.STATUS_TOO_MANY_REQUESTS
            assert relay.quota_buckets["w"].level == level

    def test_quota_cost_is_the_number_of_tokens(self):
        relay = relay_fixtures.make_relay()
        assert admission.quota_cost(relay_fixtures.make_request(relay)) == 10


class TestImports:
    def test_platform_folder_does_not_shadow_the_standard_module(self):
        assert standard_platform.python_version()
        code = "import platform; print(platform.system())"
        completed = subprocess.run(
            [sys.executable, "-c", code],
            capture_output=True,
            check=True,
            text=True,
        )
        assert completed.stdout.strip() == standard_platform.system()
