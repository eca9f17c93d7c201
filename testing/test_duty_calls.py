"""Calls to the platform whose sender loses its right to make them."""

import asyncio
import sys

import pytest
import test_duties
from arbutuswalk_platform import platform_client

from _arbutuswalk.control import duties
from _arbutuswalk.control import usage_reports
from _arbutuswalk.streams import pool

ANSWER = b"HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n"


class Platform:
    """Counts the calls that arrive."""

    def __init__(self):
        self.calls = 0

    async def serve(self, reader, writer):
        if await reader.read(65536):
            self.calls += 1
            writer.write(ANSWER)
        writer.close()

    async def start(self):
        self.server = await asyncio.start_server(self.serve, "127.0.0.1", 0)
        return f"127.0.0.1:{self.server.sockets[0].getsockname()[1]}"


def lose_during_settlement(monkeypatch, lose):
    async def settle_slowly(*_):
        lose()

    monkeypatch.setattr(usage_reports, "settle_due_windows", settle_slowly)


def lose_before_connect(monkeypatch, lose):
    connect = pool.connect

    async def lose_and_connect(*arguments, **options):
        lose()
        return await connect(*arguments, **options)

    monkeypatch.setattr(pool, "connect", lose_and_connect)


def lose_during_connect(monkeypatch, lose):
    connect = pool.connect

    async def connect_slowly(*arguments, **options):
        opened = await connect(*arguments, **options)
        lose()
        return opened

    monkeypatch.setattr(pool, "connect", connect_slowly)


def lose_nothing(monkeypatch, lose):
    pass


def lose_lease(member):
    member.is_current = False


def lead_again(member):
    """Another member leads and acts, then this one is elected again."""
    member.replica.term += 2
    member.time += 10.0


class TestLostLeases:
    async def report(self, monkeypatch, lose_when, end_term=lose_lease):
        """Returns the calls that arrive for one report, and its outcome."""
        platform = Platform()
        client = platform_client.PlatformClient(
            address=await platform.start(), owner="c"
        )
        components = test_duties.make_components()
        components.member.tables.usage = {"7": {"a": 1}}

        async def settle_nothing(*_):
            pass

        monkeypatch.setattr(usage_reports, "settle_due_windows", settle_nothing)

        def lose():
            end_term(components.member)

        lose_when(monkeypatch, lose)
        holder = duties.DutyHolder(
            components=components, options=test_duties.OPTIONS
        )
        holder.update_term()
        components.member.time += 10
        reports = usage_reports.SentReports(window_s=5.0)
        await duties._report_usage(holder, client.platform_calls(), reports)
        platform.server.close()
        return platform.calls, reports.accepted_windows

    @pytest.mark.parametrize(
        "lose_when", [lose_before_connect, lose_during_connect]
    )
    async def test_a_call_is_not_sent_once_the_right_to_it_is_lost(
        self, monkeypatch, lose_when
    ):
        assert await self.report(monkeypatch, lose_when) == (0, set())

    @pytest.mark.parametrize(
        "lose_when",
        [lose_during_settlement, lose_before_connect, lose_during_connect],
    )
    async def test_a_call_is_not_sent_in_a_later_term_of_its_sender(
        self, monkeypatch, lose_when
    ):
        """Guards against a report with a lower fence than one before it."""
        outcome = await self.report(monkeypatch, lose_when, lead_again)
        assert outcome == (0, set())

    async def test_a_call_of_the_holder_is_sent(self, monkeypatch):
        assert await self.report(monkeypatch, lose_nothing) == (1, {7})


FIRST_CALL = """
import asyncio, sys
import arbutuswalk_platform.control
from arbutuswalk_platform import platform_client
from _arbutuswalk.control import duties

async def serve(reader, writer):
    await reader.read(65536)
    writer.write(b"HTTP/1.1 200 OK\\r\\nContent-Length: 0\\r\\n\\r\\n")

async def main():
    server = await asyncio.start_server(serve, "127.0.0.1", 0)
    port = server.sockets[0].getsockname()[1]
    client = platform_client.PlatformClient(
        address=f"127.0.0.1:{port}", owner="c"
    )
    before = set(sys.modules)
    report = duties.UsageReport(window=1, counts={}, fence=1)
    print(await client.report_usage(report, lambda: True))
    print(*sorted(set(sys.modules) - before))

asyncio.run(main())
"""


async def test_the_first_call_imports_nothing():
    """Guards against leaders that lose their lease to an import.

    Each new leader loaded an HTTP library with its first call, which took
    longer than a lease on a slow processor.
    """
    process = await asyncio.create_subprocess_exec(
        sys.executable, "-c", FIRST_CALL, stdout=asyncio.subprocess.PIPE
    )
    output, _ = await process.communicate()
    assert output.decode().split() == [duties.ACCEPTED]
