"""Callers that send on kept connections while an entry is stopped."""

import asyncio
import signal

import process_fixtures
import pytest
import test_entry

CALLERS = 40
REQUEST = b"GET /v1/entries HTTP/1.1\r\nHost: entry\r\n\r\n"
EXIT_TIMEOUT_S = 20


class Calls:
    """Outcomes of the callers' requests.

    Attributes:
        answered: Number of complete answers.
        cut_off: Number of requests, sent on a connection that the entry had
            not said it would close, that got no answer.
    """

    def __init__(self):
        self.answered = 0
        self.cut_off = 0

    async def keep_calling(self, address):
        """Sends requests one after another until none can connect."""
        host, _, port = address.rpartition(":")
        while True:
            try:
                reader, writer = await asyncio.open_connection(host, port)
            except OSError:
                return
            is_first, is_kept = True, True
            while is_kept:
                try:
                    writer.write(REQUEST)
                    is_kept = await self.read_answer(reader)
                    is_first = False
                except (asyncio.IncompleteReadError, OSError):
                    # A listener that closes resets what it had not accepted.
                    self.cut_off += not is_first
                    break
            writer.close()

    async def read_answer(self, reader):
        """Reads an answer; returns whether the connection is kept."""
        head = (await reader.readuntil(b"\r\n\r\n")).lower()
        (length,) = (
            int(line.partition(b":")[2])
            for line in head.splitlines()
            if line.startswith(b"content-length:")
        )
        await reader.readexactly(length)
        self.answered += 1
        return b"connection: close" not in head


class TestKeptConnections:
    async def test_no_request_is_cut_off(self, cluster):
        await cluster.start_all(entry_count=1)
        process = cluster.process_group.processes["entry-0"]
        calls = Calls()
        tasks = [
            asyncio.ensure_future(
                calls.keep_calling(cluster.entry_addresses[0])
            )
            for _ in range(CALLERS)
        ]
        await process_fixtures.wait_until(lambda: is_answered(calls))
        process.send_signal(signal.SIGTERM)
        assert await asyncio.to_thread(process.wait, EXIT_TIMEOUT_S) == 0
        await asyncio.wait_for(asyncio.gather(*tasks), EXIT_TIMEOUT_S)
        assert calls.cut_off == 0


async def is_answered(calls):
    return calls.answered >= CALLERS


class TestHeaders:
    @pytest.fixture
    def edge(self):
        new_edge = test_entry.Edge()
        yield new_edge
        new_edge.close()

    @pytest.mark.parametrize("draining", [False, True])
    def test_an_entry_that_stops_says_that_it_closes(self, edge, draining):
        edge.entry.draining = draining
        for path in ("/v1/entries", "/missing"):
            headers = edge.get(path).headers
            assert (headers.get("connection") == "close") is draining
