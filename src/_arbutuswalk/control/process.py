"""A control process: a group member, the leader's tasks and its interfaces."""

import asyncio
from collections.abc import Awaitable
from collections.abc import Callable
from typing import Any
from typing import NamedTuple

from _arbutuswalk.base import background
from _arbutuswalk.base import clock
from _arbutuswalk.base import events
from _arbutuswalk.base import process
from _arbutuswalk.control import departure_log
from _arbutuswalk.control import discovery as discoveries
from _arbutuswalk.control import durable_replica as durable_replicas
from _arbutuswalk.control import endpoint_cache
from _arbutuswalk.control import entry_count_cache
from _arbutuswalk.control import leader_client
from _arbutuswalk.control import leader_tasks
from _arbutuswalk.control import member as members
from _arbutuswalk.control import service
from _arbutuswalk.routing import directory
from _arbutuswalk.state import commands
from _arbutuswalk.state import outcomes
from _arbutuswalk.storage import errors
from _arbutuswalk.wire import link

EXIT_STORAGE_FAILED = 3
EXPIRE_INTERVAL_S = 1.0
DEFAULT_HEARTBEAT_INTERVAL_S = 1.0
"""Interval of endpoint heartbeats if the settings do not specify one."""
SAVE_INTERVAL_S = 1.0
"""Interval at which a changed directory of endpoints is saved."""


class Components(NamedTuple):
    """Components of a control process that its interfaces use."""

    name: str
    member: members.Member
    service: service.Service
    discovery: discoveries.Discovery


InterfaceCloser = Callable[[], Awaitable[None]]
InterfaceStarter = Callable[[Components], Awaitable[InterfaceCloser]]
"""Starts an additional interface; returns the function that closes it."""


async def run(
    values: dict[str, Any],
    durable_replica: durable_replicas.DurableReplica,
    start_interface: InterfaceStarter | None = None,
) -> int:
    """Runs the process until drained; returns its exit code."""
    failure = await _recover(durable_replica)
    if failure is not None:
        events.warn(events.Event.STORAGE_FAILED, errors.describe(failure))
        return EXIT_STORAGE_FAILED
    member = members.Member(durable_replica=durable_replica)
    discovery = discoveries.Discovery(
        member=member, domain=values.get("domain", "")
    )
    discovery.restored_entry_count = entry_count_cache.load(values["data"])
    recovered = departure_log.find_recovered(
        durable_replica.unapplied_commands()
    )
    discovery.record_leaving(
        dict.fromkeys(recovered, discovery.now()), "recovered log"
    )
    discovery.apply_departures()
    restored = endpoint_cache.load(values["data"])
    for endpoint in restored:
        discovery.apply_announcement(endpoint)
    request_service = service.Service(
        member=member, name=values["id"], discovery=discovery
    )
    discovery.departure_log.commit = _make_departure_commit(request_service)
    server = link.LinkServer(
        address=values["address"],
        handler=request_service.handle,
        max_connections=values.get("link_connections", 0),
    )
    await server.start()
    stop = asyncio.Event()
    process.install_signal_handlers(drain=stop.set, dump=request_service.dump)
    components = Components(values["id"], member, request_service, discovery)
    close_interface = (
        await start_interface(components)
        if start_interface is not None
        else None
    )
    _log_start(values)
    leader_runner = leader_tasks.LeaderTasks(
        service=request_service, values=values
    )
    request_service.extra_dump = leader_runner.dump
    member_task = background.start("member", member.run())
    background_tasks = [
        background.start("systems", leader_runner.run()),
        *_start_background_tasks(components, values, restored),
    ]
    stop_task = asyncio.ensure_future(stop.wait())
    await asyncio.wait(
        (member_task, stop_task), return_when=asyncio.FIRST_COMPLETED
    )
    events.log(events.Event.PROCESS_DRAINING, "control", values["id"])
    leave_task = asyncio.ensure_future(
        member.leave(timeout_s=values["leave_s"])
    )
    await asyncio.wait(
        (member_task, leave_task), return_when=asyncio.FIRST_COMPLETED
    )
    exit_code = _exit_code(member, member_task)
    tasks = (member_task, leave_task, stop_task, *background_tasks)
    for task in tasks:
        task.cancel()
    await asyncio.gather(*tasks, return_exceptions=True)
    if close_interface is not None:
        await close_interface()
    await leader_runner.close()
    await server.stop()
    await member.stop()
    events.log(events.Event.PROCESS_STOPPED, "control", values["id"])
    return exit_code


async def _recover(
    durable_replica: durable_replicas.DurableReplica,
) -> errors.StorageError | None:
    """Rebuilds the state from the data folder; waits while the disk is full."""
    while True:
        failure = durable_replica.recover(clock.monotonic())
        if not isinstance(failure, errors.DiskFull):
            return failure
        events.record(events.Event.DISK_REFUSED, errors.describe(failure))
        durable_replica.data.close()
        await asyncio.sleep(members.DISK_FULL_RETRY_INTERVAL_S)


def _exit_code(member: members.Member, member_task: asyncio.Task) -> int:
    if member.failure:
        return EXIT_STORAGE_FAILED
    if member_task.done() and member_task.exception():
        return process.EXIT_FAILED
    return process.EXIT_OK


def _start_background_tasks(
    components: Components,
    values: dict[str, Any],
    restored: list[directory.Endpoint],
) -> list[asyncio.Task]:
    discovery = components.discovery
    return [
        background.start("expiry", _remove_expired(components.service)),
        background.start("watches", _notify_on_change(components)),
        background.start(
            "entry count", _maintain_entry_count_cache(discovery, values)
        ),
        background.start(
            "endpoint cache",
            _maintain_endpoint_cache(discovery, values, restored),
        ),
    ]


def _make_departure_commit(
    request_service: service.Service,
) -> departure_log.Commit:
    async def commit(
        command: commands.RecordDepartures, timeout_s: float
    ) -> bool:
        outcome = await leader_client.submit(
            request_service, command, timeout_s=timeout_s
        )
        # A leader of a former build knows no such command.
        return isinstance(outcome, outcomes.Accepted | leader_client.Invalid)

    return commit


async def _remove_expired(request_service: service.Service) -> None:
    async def remove() -> None:
        request_service.discovery.remove_expired()
        request_service.permit_issuer.remove_unknown()
        request_service.slot_issuer.remove_unused()

    await background.repeat("expiry", EXPIRE_INTERVAL_S, remove)


async def _maintain_endpoint_cache(
    discovery: discoveries.Discovery,
    values: dict[str, Any],
    restored: list[directory.Endpoint],
) -> None:
    """Removes unconfirmed restored endpoints, then saves every change."""
    heartbeat_s = values.get(
        "endpoint_heartbeat_s", DEFAULT_HEARTBEAT_INTERVAL_S
    )
    await asyncio.sleep(endpoint_cache.UNCONFIRMED_HEARTBEATS * heartbeat_s)
    for name in endpoint_cache.unconfirmed(discovery.directory, restored):
        discovery.remove_endpoint(name)
    saved_revision = -1
    loop = asyncio.get_running_loop()
    while True:
        latest_revision = max(
            (row.change_revision for row in discovery.directory.rows.values()),
            default=0,
        )
        if latest_revision != saved_revision:
            failure = await loop.run_in_executor(
                None, endpoint_cache.save, values["data"], discovery.directory
            )
            if failure is not None:
                events.record(events.Event.DISK_REFUSED, failure)
            else:
                saved_revision = latest_revision
        await asyncio.sleep(SAVE_INTERVAL_S)


async def _maintain_entry_count_cache(
    discovery: discoveries.Discovery, values: dict[str, Any]
) -> None:
    """Saves every change of the number of entries."""
    saved_count = discovery.restored_entry_count
    loop = asyncio.get_running_loop()
    while True:
        await asyncio.sleep(SAVE_INTERVAL_S)
        entry_count = discovery.recent_entry_count()
        if not discovery.is_settled() or entry_count == saved_count:
            continue
        failure = await loop.run_in_executor(
            None, entry_count_cache.save, values["data"], entry_count
        )
        if failure is not None:
            events.record(events.Event.DISK_REFUSED, failure)
        else:
            saved_count = entry_count


async def _notify_on_change(components: Components) -> None:
    """Wakes the entries' watches when the tables or the role change."""
    while True:
        changed = components.member.changed
        await changed.wait()
        components.discovery.apply_departures()
        components.discovery.notify_watches()


def _log_start(values: dict[str, Any]) -> None:
    events.log(
        events.Event.PROCESS_STARTED,
        "control",
        values["id"],
        values["address"],
    )
