"""Faults of the soak; each one reverts its effect before it returns."""

import asyncio
import shutil
import signal

import platform_fixtures

from soak import checks

CATCH_UP_S = 4.0
"""Time from a member's start until it no longer counts as lost."""


async def kill_entry(soak, rng):
    """Kills an entry and starts it again."""
    ip = rng.choice(soak.cluster.entry_ips)
    async with soak.exclusive_access(ip):
        soak.cluster.kill(ip)
        await asyncio.sleep(rng.uniform(0.1, 0.8))
        soak.cluster.start_entry(ip)


async def restart_entry(soak, rng):
    """Stops an entry with SIGTERM, as a deployment does, and restarts it."""
    ip = rng.choice(soak.cluster.entry_ips)
    async with soak.exclusive_access(ip):
        process = soak.cluster.processes.pop(ip)
        process.send_signal(signal.SIGTERM)
        await asyncio.to_thread(process.wait, 15)
        soak.cluster.start_entry(ip)


async def freeze(soak, rng):
    """Suspends a process; its connections stay open."""
    ip = rng.choice([*soak.cluster.entry_ips, *soak.cluster.control_ips])
    async with soak.exclusive_access(ip):
        process = soak.cluster.processes.get(ip)
        if process is None:  # replaced meanwhile
            return
        process.send_signal(signal.SIGSTOP)
        await asyncio.sleep(rng.uniform(0.2, 2.5))
        process.send_signal(signal.SIGCONT)


async def reload(soak, rng):
    """Makes a process reload its settings."""
    ip = rng.choice([*soak.cluster.entry_ips, *soak.cluster.control_ips])
    async with soak.exclusive_access(ip):
        process = soak.cluster.processes.get(ip)
        if process and platform_fixtures.handles_sighup(process):
            process.send_signal(signal.SIGHUP)


async def kill_control(soak, rng):
    """Kills one control process, or all of them at once."""
    kill_all = rng.random() < 0.25
    ips = [*soak.cluster.control_ips]
    if not kill_all:
        ips = [rng.choice(ips)]
    async with soak.exclusive_access(*ips):
        if not soak.cluster.processes.keys() >= {*ips}:
            return  # one was replaced meanwhile
        for ip in ips:
            soak.cluster.kill(ip)
        await asyncio.sleep(rng.uniform(0.1, 1.0))
        for ip in ips:
            soak.cluster.start_control(ip)


async def lose_disk(soak, rng):
    """Deletes one member's disk; the next may be lost ``CATCH_UP_S`` later."""
    if soak.disk_loss_lock.locked():
        return
    async with (
        soak.disk_loss_lock,
        soak.exclusive_access(*soak.cluster.control_ips),
    ):
        await soak.wait_until_loss_is_allowed()
        ip = rng.choice(soak.cluster.control_ips)
        soak.cluster.kill(ip)
        shutil.rmtree(soak.cluster.folder / ip)
        await asyncio.sleep(rng.uniform(0.0, 1.0))
        soak.cluster.start_control(ip)
        await asyncio.sleep(CATCH_UP_S)


async def replace_control(soak, rng):
    """Replaces a member by an empty one at another address."""
    if soak.disk_loss_lock.locked():
        return
    async with (
        soak.disk_loss_lock,
        soak.exclusive_access(*soak.cluster.control_ips),
    ):
        await soak.wait_until_loss_is_allowed()
        ip = rng.choice(soak.cluster.control_ips)
        process = soak.cluster.processes.pop(ip)
        planned = rng.random() < 0.5
        if not planned:
            process.kill()
            await asyncio.sleep(rng.uniform(0.0, 1.0))
        soak.add_control(replaced_ip=ip)
        if planned:
            await asyncio.sleep(rng.uniform(0.0, CATCH_UP_S))
            process.send_signal(signal.SIGTERM)
        await asyncio.to_thread(process.wait, 15)
        shutil.rmtree(soak.cluster.folder / ip)
        await asyncio.sleep(CATCH_UP_S)


async def disturb_connections(soak, rng):
    """Delays, blocks (one or both directions) or resets connections."""
    endpoint = rng.choice(soak.endpoints)
    if endpoint.heartbeat_task is None:
        return
    proxy = endpoint.proxy
    started_at = asyncio.get_running_loop().time()
    connection_fault = rng.choice(["delay", "to", "back", "silent", "reset"])
    if connection_fault == "delay":
        proxy.delay_s = rng.uniform(0.05, 0.4)
    elif connection_fault == "silent":
        proxy.block("to", "back")
    elif connection_fault == "reset":
        proxy.reset_connections()
    else:
        proxy.block(connection_fault)
    await asyncio.sleep(rng.uniform(0.2, 2.0))
    proxy.restore()
    ended_at = asyncio.get_running_loop().time()
    soak.fault_periods.append(
        checks.FaultPeriod(endpoint.name, started_at, ended_at)
    )


async def kill_endpoint(soak, rng):
    """Kills an endpoint; a new process takes over its id at a new address."""
    endpoint = rng.choice(soak.endpoints)
    if endpoint.heartbeat_task is None or endpoint.state != "ready":
        return
    await endpoint.stop()
    await asyncio.sleep(rng.uniform(0.1, 1.0))
    await endpoint.start()


async def drain_endpoint(soak, rng):
    """Drains an endpoint and starts it again."""
    endpoint = rng.choice(soak.endpoints)
    if endpoint.heartbeat_task is None or endpoint.state != "ready":
        return
    await endpoint.drain()
    soak.record_drain(endpoint)
    await endpoint.start()


async def publish(soak, rng):
    """Publishes the next version, and sometimes repeats the request."""
    await soak.publish_config()
    if rng.random() < 0.3:
        await soak.publish_config(repeat=True)


# A fault that is listed twice is injected twice as often.
ALL = (
    kill_entry,
    restart_entry,
    freeze,
    reload,
    kill_control,
    lose_disk,
    replace_control,
    disturb_connections,
    disturb_connections,
    kill_endpoint,
    drain_endpoint,
    publish,
    publish,
)
