"""``arbutuswalk-entry``: runs one entry process."""

import asyncio
import contextlib
import sys
from typing import Any

import aiohttp
import uvicorn

from _arbutuswalk.base import background
from _arbutuswalk.base import clock
from _arbutuswalk.base import events
from _arbutuswalk.base import process
from _arbutuswalk.base import settings
from _arbutuswalk.base import stalls
from _arbutuswalk.entry import app
from _arbutuswalk.entry import control_sync
from _arbutuswalk.entry import entry_state
from _arbutuswalk.entry import link_handler
from _arbutuswalk.entry import maintenance
from _arbutuswalk.routing import upstreams
from _arbutuswalk.state import commands
from _arbutuswalk.state import entries
from _arbutuswalk.wire import client_memory
from _arbutuswalk.wire import http_answers
from _arbutuswalk.wire import http_connections
from _arbutuswalk.wire import link

UPSTREAM_IDLE_TIMEOUT_S = 4.0
"""How long an idle connection to an upstream is kept for reuse."""
STATE_COMMAND_TIMEOUT_S = 3.0

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
        "seconds for which new requests are still accepted in a drain",
        settings.is_positive,
        float(app.ENTRY_LIST_TTL_S),
    ),
    settings.Field("drain_limit_s", "seconds", settings.is_positive, 3600.0),
    settings.Field(
        "memory_mb",
        "MiB that the process may use",
        settings.is_non_negative,
        0,
    ),
    settings.Field(
        "descriptors",
        "a whole number, 0 for the system's limit",
        settings.is_non_negative_int,
        0,
    ),
    settings.Field(
        "log_level", "an absl log level", settings.is_non_empty_string, "info"
    ),
)


class Server(uvicorn.Server):
    """A server that leaves signal handling to the process."""

    @contextlib.contextmanager
    def capture_signals(self):
        """Installs no signal handlers."""
        yield


async def run(setting_values: dict[str, Any]) -> int:
    """Runs the process until drained; returns its exit code."""
    async with _make_session(setting_values) as session:
        entry = entry_state.Entry(
            settings=setting_values,
            incarnation=int(clock.wall() * clock.MS_PER_S),
            session=session,
        )
        try:
            return await _serve(entry)
        finally:
            entry.pool.close()


def _make_session(setting_values: dict[str, Any]) -> aiohttp.ClientSession:
    return aiohttp.ClientSession(
        connector=http_answers.limit_interim_responses(
            aiohttp.TCPConnector(
                limit=0, keepalive_timeout=UPSTREAM_IDLE_TIMEOUT_S
            )
        ),
        auto_decompress=False,
        read_bufsize=2**16,
        timeout=aiohttp.ClientTimeout(
            total=None, sock_connect=setting_values["connect_s"]
        ),
    )


async def _serve(entry: entry_state.Entry) -> int:
    setting_values = entry.settings
    link_server = link.LinkServer(
        address=setting_values["link_address"],
        handler=link_handler.make_handler(entry),
    )
    await link_server.start()
    host, _, port = setting_values["address"].rpartition(":")
    account = client_memory.Account(
        limits=client_memory.derive_limits(
            setting_values["memory_mb"], setting_values["descriptors"]
        ),
        count=entry.metrics.count,
    )
    config = uvicorn.Config(
        app.make_app(entry),
        host=host,
        port=int(port),
        log_config=None,
        access_log=False,
        lifespan="off",
        http=http_connections.make_factory(account),
        ws="none",
        backlog=account.limits.backlog,
        server_header=False,
    )
    server = Server(config)
    drain_requested = asyncio.Event()
    process.install_signal_handlers(
        drain=drain_requested.set, dump=lambda: link_handler.dump_state(entry)
    )
    events.log(
        events.Event.PROCESS_STARTED,
        "entry",
        entry.name,
        setting_values["address"],
    )
    stall_detector = stalls.StallDetector(
        on_stall=lambda stalled_s: _record_stall(entry, stalled_s)
    )
    stall_detector.start()
    server_task = asyncio.ensure_future(server.serve())
    control_sync_task = background.start("sync", control_sync.run(entry))
    maintenance_task = background.start("maintenance", maintenance.run(entry))
    drain_task = asyncio.ensure_future(drain_requested.wait())
    await asyncio.wait(
        (server_task, drain_task, control_sync_task, maintenance_task),
        return_when=asyncio.FIRST_COMPLETED,
    )
    if not server_task.done():
        await _drain(entry)
    server.should_exit = True
    await server_task
    stall_detector.stop()
    for task in (control_sync_task, maintenance_task, drain_task):
        task.cancel()
    await asyncio.gather(
        control_sync_task, maintenance_task, return_exceptions=True
    )
    await _mark_gone(entry)
    await entry.control.stop()
    await link_server.stop()
    for peer_link in entry.peer_links.values():
        await peer_link.stop()
    events.log(events.Event.PROCESS_STOPPED, "entry", entry.name)
    return process.EXIT_OK


def _record_stall(entry: entry_state.Entry, stalled_s: float) -> None:
    events.warn(events.Event.PROCESS_STALLED, round(stalled_s, 3))
    upstreams.record_stall(entry.upstreams, stalled_s)


async def _drain(entry: entry_state.Entry) -> None:
    """Removes the entry from the list and completes running requests.

    Callers cache the list of entries for its time to live, so new requests
    are accepted for that long.
    """
    entry.draining = True
    events.log(events.Event.PROCESS_DRAINING, "entry", entry.name)
    await _set_state(entry, entries.DRAINING)
    started = entry.now()
    await asyncio.sleep(entry.settings["drain_s"])
    while entry.now() - started < entry.settings["drain_limit_s"]:
        if not _is_busy(entry):
            return
        await asyncio.sleep(maintenance.TICK_INTERVAL_S)


def _is_busy(entry: entry_state.Entry) -> bool:
    running = any(
        not request.answer.ended or request.answer.readers
        for request in entry.requests.values()
    )
    return running or bool(entry.running_calls) or bool(entry.background_tasks)


async def _mark_gone(entry: entry_state.Entry) -> None:
    if entry.registered:
        await _set_state(entry, entries.GONE)


async def _set_state(entry: entry_state.Entry, state: str) -> None:
    await entry.control.submit(
        commands.SetEntryState(entry.name, entry.incarnation, state),
        timeout_s=STATE_COMMAND_TIMEOUT_S,
    )


def main() -> None:
    """Runs the binary."""
    setting_values = process.load_settings(
        "arbutuswalk-entry", FIELDS, sys.argv[1:]
    )
    process.start_logging(setting_values["log_level"])
    sys.exit(asyncio.run(run(setting_values)))
