"""The control group: commits, failover, recovery, snapshots, slopes."""

import argparse
import asyncio
import json
import random
import tempfile
import time

from _arbutuswalk.agreement import types
from _arbutuswalk.control import replicated
from _arbutuswalk.entry import control_client
from _arbutuswalk.state import commands
from _arbutuswalk.state import machine
from _arbutuswalk.state import tables as rows
from _arbutuswalk.storage import folder
from _arbutuswalk.storage import wal
from _arbutuswalk.wire import link
from _arbutuswalk.wire.gen.arbutus import ttypes
from bench import rig


def begin_call(number, writer=0):
    return commands.BeginCall(
        "w",
        f"{writer}-{number}",
        "d" * 64,
        "a" * 32,
        "entry-0",
        1,
        "claims@i1",
        "claims/claim",
    )


async def commits(seconds=3.0):
    """Commits a second and p99, with sync, for one and for many writers."""
    processes = rig.Processes()
    out = []
    try:
        system = rig.System(processes, control=3, entries=0)
        await system.begin()
        leader = (await system.client.read("status", timeout_s=5))["leader"]
        name = f"control-{system.control.index(leader)}"
        for writers in (1, 8, 64, 256):
            latencies = []
            stop = time.monotonic() + seconds
            connection = link.Link(address=leader)
            before = rig.cpu_s(system.pids[name])

            async def write(writer):
                number = 0
                while time.monotonic() < stop:  # noqa: B023
                    number += 1
                    command = begin_call(number, f"{writers}-{writer}")  # noqa: B023
                    started = time.monotonic()
                    await connection.call(  # noqa: B023
                        ttypes.Submit(command=commands.encode(command)),
                        timeout_s=5,
                    )
                    latencies.append(time.monotonic() - started)  # noqa: B023

            await asyncio.gather(*(write(w) for w in range(writers)))
            await connection.stop()
            spent = rig.cpu_s(system.pids[name]) - before
            out.append(
                {
                    "writers": writers,
                    "commits_s": len(latencies) / seconds,
                    "p50_ms": rig.quantile(latencies, 0.5) * 1e3,
                    "p99_ms": rig.quantile(latencies, 0.99) * 1e3,
                    "leader_us": spent / len(latencies) * 1e6,
                }
            )
        await system.client.stop()
    finally:
        processes.end()
    return out


async def failover(rounds=5):
    """Seconds from the leader's kill to the next commit."""
    took = []
    for _ in range(rounds):
        processes = rig.Processes()
        try:
            system = rig.System(processes, control=3, entries=0)
            await system.begin()
            status = await system.client.read("status", timeout_s=5)
            i = system.control.index(status["leader"])
            await asyncio.sleep(0.5)
            processes.started[i].kill()
            rest = [a for a in system.control if a != status["leader"]]
            client = control_client.ControlClient(addresses=rest)
            started = time.monotonic()
            await client.submit(commands.Tick(), timeout_s=20)
            took.append(time.monotonic() - started)
            await client.stop()
            await system.client.stop()
        finally:
            processes.end()
    return took


def make_core(path, snapshot_every=10**9):
    core = replicated.Replicated(
        data=folder.Folder(path=path),
        identity=replicated.Identity("127.0.0.1:1", ("127.0.0.1:1",), 1),
        timing=types.Timing(),
        rng=random.Random(1),
        snapshot_every=snapshot_every,
    )
    assert core.recover(0.0) is None
    return core


def recovery():
    """Seconds to recover from logs and snapshots of growing size."""
    out = []
    for entries in (1000, 10_000, 50_000):
        with tempfile.TemporaryDirectory() as path:
            data = folder.Folder(path=path)
            data.open()
            log = wal.Wal(folder=data)
            log.recover()
            payloads = [
                wal.LogEntry(
                    i + 1,
                    1,
                    types.COMMAND_KIND + machine.stamp(begin_call(i), 1000 + i),
                )
                for i in range(entries)
            ]
            for start in range(0, entries, 500):
                log.write(None, payloads[start : start + 500])
            data.close()
            started = time.monotonic()
            core = make_core(path)
            read_s = time.monotonic() - started
            core.replica.commit = entries
            started = time.monotonic()
            while core.apply_next() is not None:
                pass
            out.append(
                {
                    "entries": entries,
                    "read_s": read_s,
                    "apply_s": time.monotonic() - started,
                }
            )
            core.data.close()
    return out


def snapshots():
    """Bytes and seconds of a snapshot by rows in the tables."""
    out = []
    for calls in (1000, 10_000, 100_000):
        tables = rows.Tables()
        register = commands.RegisterEntry("entry-0", 1, "a", "l", "d", 1, "r")
        machine.apply(tables, machine.stamp(register, 1), 1)
        for i in range(calls):
            machine.apply(tables, machine.stamp(begin_call(i), 1), i + 2)
        started = time.monotonic()
        data = machine.dump(tables)
        dump_s = time.monotonic() - started
        started = time.monotonic()
        machine.load(data)
        out.append(
            {
                "calls": calls,
                "bytes": len(data),
                "dump_s": dump_s,
                "load_s": time.monotonic() - started,
            }
        )
    return out


def fake_report(upstreams):
    return json.dumps(
        {
            "upstreams": {
                f"model@i{i}": [
                    "model",
                    "v1",
                    f"i{i}",
                    "d1",
                    "c",
                    8,
                    3,
                    True,
                ]
                for i in range(upstreams)
            },
            "evidence": {"model|v1|chat": [1000, 3, 9, 980]},
            "cut": [],
            "active": [],
            "usage": {},
            "waiting": {},
        }
    ).encode()


async def entry_slope(counts=(8, 40, 120), upstreams=12, seconds=6.0):
    """Leader's processor time, bytes and memory by number of entries."""
    out = []
    for entries in counts:
        processes = rig.Processes()
        try:
            system = rig.System(processes, control=1, entries=0)
            await system.begin()
            address, pid = system.control[0], system.pids["control-0"]
            links = []
            for i in range(entries):
                command = commands.RegisterEntry(
                    f"e{i}", 1, f"127.0.0.1:{i}", "127.0.0.1:1", "d1", 1, "r"
                )
                await system.client.submit(command, timeout_s=10)
            report = fake_report(upstreams)
            moved = {"bytes": 0, "syncs": 0}
            stop = time.monotonic() + seconds + 2

            async def follow(i, connection):
                version = 0
                while time.monotonic() < stop:  # noqa: B023
                    message = ttypes.Sync(
                        entry=f"e{i}",
                        incarnation=1,
                        view_version=version,
                        revision=1,
                        report=report,  # noqa: B023
                    )
                    reply = await connection.call(message, timeout_s=3)
                    if not isinstance(reply, ttypes.SyncReply):
                        continue
                    version = reply.view_version or version
                    moved["syncs"] += 1  # noqa: B023
                    moved["bytes"] += len(report) + len(reply.view or b"") + 90  # noqa: B023

            for _ in range(entries):
                links.append(link.Link(address=address))
            tasks = [
                asyncio.ensure_future(follow(i, links[i]))
                for i in range(entries)
            ]
            await asyncio.sleep(2)
            before = rig.cpu_s(pid), dict(moved), time.monotonic()
            await asyncio.sleep(seconds)
            spent = rig.cpu_s(pid) - before[0]
            took = time.monotonic() - before[2]
            out.append(
                {
                    "entries": entries,
                    "cores": spent / took,
                    "kb_s": (moved["bytes"] - before[1]["bytes"]) / took / 1e3,
                    "syncs_s": (moved["syncs"] - before[1]["syncs"]) / took,
                    "memory_mb": rig.memory_mb(pid),
                }
            )
            for task in tasks:
                task.cancel()
            for each in links:
                await each.stop()
            await system.client.stop()
        finally:
            processes.end()
    return out


async def upstream_slope(counts=(20, 100, 400), seconds=6.0):
    """An entry's processor time and memory by upstreams that announce."""
    out = []
    for upstreams in counts:
        processes = rig.Processes()
        try:
            system = rig.System(processes, control=1, entries=2)
            await system.begin()
            near, far = system.pids["entry-0"], system.pids["entry-1"]
            engines = [f"127.0.0.1:{20000 + i}" for i in range(upstreams)]
            task = asyncio.ensure_future(
                rig.keep_announcing(system.entries[:1], engines)
            )
            await asyncio.sleep(3)
            before = rig.cpu_s(near), rig.cpu_s(far), time.monotonic()
            await asyncio.sleep(seconds)
            took = time.monotonic() - before[2]
            out.append(
                {
                    "upstreams": upstreams,
                    "told_cores": (rig.cpu_s(near) - before[0]) / took,
                    "news_cores": (rig.cpu_s(far) - before[1]) / took,
                    "memory_mb": rig.memory_mb(far),
                }
            )
            task.cancel()
            await system.client.stop()
        finally:
            processes.end()
    return out


async def in_force(entries=8, rounds=10):
    """Seconds from the sending of a configuration until it is in force."""
    processes = rig.Processes()
    took = []
    try:
        system = rig.System(processes, control=3, entries=entries)
        await system.begin()
        for revision in range(2, 2 + rounds):
            command = commands.Apply(
                f"op{revision}", "bench", revision - 1, rig.inventory()
            )
            started = time.monotonic()
            await system.client.submit(command, timeout_s=10)
            while True:
                found = await system.client.read(
                    "in_force", str(revision), timeout_s=5
                )
                if isinstance(found, dict) and found["in_force"]:
                    break
                await asyncio.sleep(0.005)
            took.append(time.monotonic() - started)
        await system.client.stop()
    finally:
        processes.end()
    return took


SUBJECTS = {
    "commits": lambda: asyncio.run(commits()),
    "failover": lambda: [{"seconds": took} for took in asyncio.run(failover())],
    "in_force": lambda: [{"seconds": took} for took in asyncio.run(in_force())],
    "recovery": recovery,
    "snapshots": snapshots,
    "entries": lambda: asyncio.run(entry_slope()),
    "upstreams": lambda: asyncio.run(upstream_slope()),
}


def main():
    parser = argparse.ArgumentParser()
    parser.add_argument("subjects", nargs="*", default=list(SUBJECTS))
    for subject in parser.parse_args().subjects:
        found = SUBJECTS[subject]()
        print(subject)
        print("  " + "".join(f"{key:>14}" for key in found[0]))
        for row in found:
            print("  " + "".join(f"{value:14.4g}" for value in row.values()))


if __name__ == "__main__":
    main()
