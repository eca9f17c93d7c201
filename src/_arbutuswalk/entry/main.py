"""``arbutuswalk-entry``: one entry process."""

import asyncio
import contextlib
import sys
from typing import Any

import aiohttp
import uvicorn

from _arbutuswalk.base import clock
from _arbutuswalk.base import events
from _arbutuswalk.base import process
from _arbutuswalk.base import settings
from _arbutuswalk.entry import app
from _arbutuswalk.entry import core
from _arbutuswalk.entry import links
from _arbutuswalk.entry import syncing
from _arbutuswalk.entry import upkeep
from _arbutuswalk.state import commands
from _arbutuswalk.state import entries
from _arbutuswalk.wire import link

POOL_IDLE_S = 4.0
"""How long an idle pooled connection to an upstream is kept."""
CALLER_IDLE_S = 75
DRAIN_COMMAND_S = 3.0
BACKLOG = 2048

FIELDS = (
    settings.Field("id", "a name", settings.is_non_empty_string),
    settings.Field(
        "address", "IP:port for callers and upstreams", settings.is_address
    ),
    settings.Field(
        "link_address", "IP:port for other entries", settings.is_address
    ),
    settings.Field("domain", "a failure domain", settings.is_non_empty_string),
    settings.Field("region", "a region", settings.is_non_empty_string, "local"),
    settings.Field("weight", "a whole number", settings.is_non_negative_int, 1),
    settings.Field(
        "control",
        "a list of the IP:port of control processes",
        lambda v: settings.is_address_list(v) and bool(v),
    ),
    settings.Field("connect_s", "seconds", settings.is_positive, 1.0),
    settings.Field("first_byte_s", "seconds", settings.is_positive, 10.0),
    settings.Field("gap_s", "seconds", settings.is_positive, 2.0),
    settings.Field("service_timeout_s", "seconds", settings.is_positive, 10.0),
    settings.Field("resume_grace_s", "seconds", settings.is_positive, 5.0),
    settings.Field(
        "drain_s",
        "seconds that callers who know the address may still come",
        settings.is_positive,
        float(app.ENTRIES_TTL_S),
    ),
    settings.Field("drain_limit_s", "seconds", settings.is_positive, 3600.0),
    settings.Field(
        "log_level", "an absl log level", settings.is_non_empty_string, "info"
    ),
)


class Server(uvicorn.Server):
    """A server that leaves signals to the process."""

    @contextlib.contextmanager
    def capture_signals(self):
        """Installs no signal handlers."""
        yield


async def run(values: dict[str, Any]) -> int:
    """Runs the process until drained; returns its exit code."""
    async with _session(values) as session:
        entry = core.Entry(
            values=values,
            incarnation=int(clock.wall() * clock.MS_PER_S),
            session=session,
        )
        try:
            return await _serve(entry)
        finally:
            entry.pool.close()


def _session(values: dict[str, Any]) -> aiohttp.ClientSession:
    return aiohttp.ClientSession(
        connector=aiohttp.TCPConnector(limit=0, keepalive_timeout=POOL_IDLE_S),
        auto_decompress=False,
        read_bufsize=2**16,
        timeout=aiohttp.ClientTimeout(
            total=None, sock_connect=values["connect_s"]
        ),
    )


async def _serve(entry: core.Entry) -> int:
    values = entry.values
    link_server = link.LinkServer(
        address=values["link_address"], handler=links.handler(entry)
    )
    await link_server.start()
    host, _, port = values["address"].rpartition(":")
    config = uvicorn.Config(
        app.make(entry),
        host=host,
        port=int(port),
        log_config=None,
        access_log=False,
        lifespan="off",
        timeout_keep_alive=CALLER_IDLE_S,
        backlog=BACKLOG,
        server_header=False,
    )
    server = Server(config)
    draining = asyncio.Event()
    process.install_signal_handlers(
        drain=draining.set, dump=lambda: links.dump(entry)
    )
    events.log(
        events.Event.PROCESS_STARTED, "entry", entry.name, values["address"]
    )
    serving = asyncio.ensure_future(server.serve())
    syncing_task = asyncio.ensure_future(syncing.run(entry))
    upkeep_task = asyncio.ensure_future(upkeep.run(entry))
    stopping = asyncio.ensure_future(draining.wait())
    await asyncio.wait(
        (serving, stopping, syncing_task, upkeep_task),
        return_when=asyncio.FIRST_COMPLETED,
    )
    if not serving.done():
        await _drain(entry)
    server.should_exit = True
    await serving
    for task in (syncing_task, upkeep_task, stopping):
        task.cancel()
    await asyncio.gather(syncing_task, upkeep_task, return_exceptions=True)
    await _leave(entry)
    await entry.control.stop()
    await link_server.stop()
    for each in entry.news_links.values():
        await each.stop()
    events.log(events.Event.PROCESS_STOPPED, "entry", entry.name)
    return process.EXIT_OK


async def _drain(entry: core.Entry) -> None:
    """Leaves the list at once, then serves out what it has.

    Callers keep the list for its time to live, so new requests are taken
    that long.
    """
    entry.draining = True
    events.log(events.Event.PROCESS_DRAINING, "entry", entry.name)
    await _set_state(entry, entries.DRAINING)
    started = entry.now()
    await asyncio.sleep(entry.values["drain_s"])
    while entry.now() - started < entry.values["drain_limit_s"]:
        if not _is_busy(entry):
            return
        await asyncio.sleep(upkeep.TICK_S)


def _is_busy(entry: core.Entry) -> bool:
    running = any(
        not request.answer.ended or request.answer.readers
        for request in entry.requests.values()
    )
    return running or bool(entry.calls) or bool(entry.tasks)


async def _leave(entry: core.Entry) -> None:
    if entry.registered:
        await _set_state(entry, entries.GONE)


async def _set_state(entry: core.Entry, state: str) -> None:
    await entry.control.submit(
        commands.SetEntryState(entry.name, entry.incarnation, state),
        timeout_s=DRAIN_COMMAND_S,
    )


def main() -> None:
    """Runs the binary."""
    values = process.load_settings("arbutuswalk-entry", FIELDS, sys.argv[1:])
    process.start_logging(values["log_level"])
    sys.exit(asyncio.run(run(values)))
