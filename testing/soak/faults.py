"""Faults of the soak, each healed by itself after a while."""

import asyncio
import shutil
import signal

import platform_world


async def kill_entry(soak, rng):
    """Ends an entry without warning and starts it again."""
    ip = rng.choice(soak.world.entries)
    async with soak.holding(ip):
        soak.world.kill(ip)
        await asyncio.sleep(rng.uniform(0.1, 0.8))
        soak.world.start_entry(ip)


async def restart_entry(soak, rng):
    """Stops an entry as a deployment does and starts it again."""
    ip = rng.choice(soak.world.entries)
    async with soak.holding(ip):
        process = soak.world.running.pop(ip)
        process.send_signal(signal.SIGTERM)
        await asyncio.to_thread(process.wait, 15)
        soak.world.start_entry(ip)


async def freeze(soak, rng):
    """Pauses a process; its connections stay open."""
    ip = rng.choice([*soak.world.entries, *soak.world.controls])
    async with soak.holding(ip):
        process = soak.world.running[ip]
        process.send_signal(signal.SIGSTOP)
        await asyncio.sleep(rng.uniform(0.2, 2.5))
        process.send_signal(signal.SIGCONT)


async def reload(soak, rng):
    """Has a process read its settings again."""
    ip = rng.choice([*soak.world.entries, *soak.world.controls])
    async with soak.holding(ip):
        process = soak.world.running[ip]
        if platform_world.runs_python(process):
            process.send_signal(signal.SIGHUP)


async def kill_control(soak, rng):
    """Ends a member of control, or all of them at once."""
    everyone = rng.random() < 0.25
    ips = soak.world.controls if everyone else [rng.choice(soak.world.controls)]
    async with soak.holding(*ips):
        for ip in ips:
            soak.world.kill(ip)
        await asyncio.sleep(rng.uniform(0.1, 1.0))
        for ip in ips:
            soak.world.start_control(ip)


async def lose_disk(soak, rng):
    """Takes one member's disk; the group is whole again before the next."""
    if soak.repairing.locked():
        return
    ip = rng.choice(soak.world.controls)
    async with soak.repairing, soak.holding(*soak.world.controls):
        await soak.until_whole()
        soak.world.kill(ip)
        shutil.rmtree(soak.world.folder / ip)
        soak.world.start_control(ip)
        await soak.until_whole()


async def disturb_connections(soak, rng):
    """Delays, holds one way or both, or resets an endpoint's connections."""
    runner = rng.choice(soak.runners)
    if runner.beating is None:
        return
    proxy = runner.proxy
    how = rng.choice(["delay", "to", "back", "silent", "reset"])
    if how == "delay":
        proxy.delay_s = rng.uniform(0.05, 0.4)
    elif how == "silent":
        proxy.hold("to", "back")
    elif how == "reset":
        proxy.reset()
    else:
        proxy.hold(how)
    await asyncio.sleep(rng.uniform(0.2, 2.0))
    proxy.heal()


async def kill_endpoint(soak, rng):
    """Ends an endpoint; another process takes its id elsewhere."""
    runner = rng.choice(soak.runners)
    if runner.beating is None or runner.state != "ready":
        return
    await runner.stop()
    await asyncio.sleep(rng.uniform(0.1, 1.0))
    await runner.start()


async def drain_endpoint(soak, rng):
    """Has an endpoint leave and come back."""
    runner = rng.choice(soak.runners)
    if runner.beating is None or runner.state != "ready":
        return
    await runner.leave()
    soak.note_left(runner)
    await runner.start()


async def publish(soak, rng):
    """Publishes the next version, and sometimes the same one again."""
    await soak.publish()
    if rng.random() < 0.3:
        await soak.publish(again=True)


ALL = (
    kill_entry,
    restart_entry,
    freeze,
    reload,
    kill_control,
    lose_disk,
    disturb_connections,
    disturb_connections,
    kill_endpoint,
    drain_endpoint,
    publish,
    publish,
)
