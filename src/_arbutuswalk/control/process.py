"""A control process: a member of the group, its systems, and its fronts."""

import asyncio
from collections.abc import Awaitable
from collections.abc import Callable
from typing import Any
from typing import NamedTuple

from _arbutuswalk.base import clock
from _arbutuswalk.base import events
from _arbutuswalk.base import process
from _arbutuswalk.control import hub as hubs
from _arbutuswalk.control import member as members
from _arbutuswalk.control import remembered
from _arbutuswalk.control import replicated
from _arbutuswalk.control import service
from _arbutuswalk.control import systems
from _arbutuswalk.routing import directory
from _arbutuswalk.storage import errors
from _arbutuswalk.wire import link

EXIT_STORAGE = 3
EXPIRE_S = 1.0
HEARTBEAT_S = 1.0
"""Interval of endpoints' heartbeats where the settings name none."""
SAVE_S = 1.0
"""Pause between two saves of the directory of endpoints."""


class Parts(NamedTuple):
    """What a front of a control process works with."""

    name: str
    member: members.Member
    service: service.Service
    hub: hubs.Hub


Close = Callable[[], Awaitable[None]]
Front = Callable[[Parts], Awaitable[Close]]
"""Starts a further interface of the process; returns how to close it."""


async def run(
    values: dict[str, Any],
    core: replicated.Replicated,
    front: Front | None = None,
) -> int:
    """Runs the process until drained; returns its exit code."""
    failure = core.recover(clock.monotonic())
    if failure is not None:
        events.warn(events.Event.STORAGE_FAILED, errors.describe(failure))
        return EXIT_STORAGE
    member = members.Member(core=core)
    hub = hubs.Hub(member=member)
    remembered_ones = remembered.load(values["data"])
    for said in remembered_ones:
        hub.take(said)
    serving = service.Service(member=member, name=values["id"], hub=hub)
    server = link.LinkServer(address=values["address"], handler=serving.handle)
    await server.start()
    stop = asyncio.Event()
    process.install_signal_handlers(drain=stop.set, dump=serving.dump)
    parts = Parts(values["id"], member, serving, hub)
    close_front = await front(parts) if front is not None else None
    _log_start(values)
    leader = systems.Systems(service=serving, values=values)
    serving.extra_dump = leader.dump
    running = asyncio.ensure_future(member.run())
    deciding = asyncio.ensure_future(leader.run())
    expiring = asyncio.ensure_future(_expire(hub))
    telling = asyncio.ensure_future(_tell(parts))
    saving = asyncio.ensure_future(_remember(hub, values, remembered_ones))
    stopping = asyncio.ensure_future(stop.wait())
    await asyncio.wait((running, stopping), return_when=asyncio.FIRST_COMPLETED)
    tasks = (running, deciding, expiring, telling, saving, stopping)
    for task in tasks:
        task.cancel()
    await asyncio.gather(*tasks, return_exceptions=True)
    if close_front is not None:
        await close_front()
    await leader.close()
    await server.stop()
    await member.stop()
    events.log(events.Event.PROCESS_STOPPED, "control", values["id"])
    return EXIT_STORAGE if member.failure else process.EXIT_OK


async def _expire(hub: hubs.Hub) -> None:
    while True:
        await asyncio.sleep(EXPIRE_S)
        hub.expire()


async def _remember(
    hub: hubs.Hub, values: dict[str, Any], read_back: list[directory.Endpoint]
) -> None:
    """Drops what was read back and not heard, then saves what changes."""
    heartbeat_s = values.get("endpoint_heartbeat_s", HEARTBEAT_S)
    await asyncio.sleep(remembered.TRUSTED_HEARTBEATS * heartbeat_s)
    for name in remembered.unheard(hub.directory, read_back):
        hub.forget(name)
    saved = -1
    loop = asyncio.get_running_loop()
    while True:
        news = max(
            (row.news_revision for row in hub.directory.rows.values()),
            default=0,
        )
        if news != saved:
            failure = await loop.run_in_executor(
                None, remembered.save, values["data"], hub.directory
            )
            if failure is not None:
                events.record(events.Event.DISK_REFUSED, failure)
            saved = news
        await asyncio.sleep(SAVE_S)


async def _tell(parts: Parts) -> None:
    """Tells entries when the tables or the leader changed."""
    while True:
        changed = parts.member.changed
        await changed.wait()
        parts.hub.wake()


def _log_start(values: dict[str, Any]) -> None:
    events.log(
        events.Event.PROCESS_STARTED,
        "control",
        values["id"],
        values["address"],
    )
