"""The control group: commits, failover, recovery, snapshots, scaling."""

import argparse
import asyncio
import json
import random
import tempfile
import time

from _arbutuswalk.agreement import types
from _arbutuswalk.control import durable_replica
from _arbutuswalk.entry import control_client
from _arbutuswalk.state import commands
from _arbutuswalk.state import state_machine
from _arbutuswalk.state import tables as rows
from _arbutuswalk.storage import folder
from _arbutuswalk.storage import wal
from _arbutuswalk.wire import link
from _arbutuswalk.wire.gen.arbutus import ttypes
from bench import harness


def make_call(number, writer=0):
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


async def measure_commits(seconds=3.0):
    """Synced commits per second, p50 and p99 latency, by number of writers."""
    process_group = harness.ProcessGroup()
    results = []
    try:
        system = harness.System(process_group, control_count=3, entry_count=0)
        await system.start()
        leader = (await system.client.read("status", timeout_s=5))["leader"]
        leader_name = f"control-{system.control_addresses.index(leader)}"
        for writer_count in (1, 8, 64, 256):
            latencies = []
            stop_at = time.monotonic() + seconds
            connection = link.Link(address=leader)
            cpu_before_s = harness.cpu_s(system.pid_by_name[leader_name])

            async def write_until_stop(writer):
                number = 0
                while time.monotonic() < stop_at:  # noqa: B023
                    number += 1
                    command = make_call(number, f"{writer_count}-{writer}")  # noqa: B023
                    started = time.monotonic()
                    await connection.call(  # noqa: B023
                        ttypes.Submit(command=commands.encode(command)),
                        timeout_s=5,
                    )
                    latencies.append(time.monotonic() - started)  # noqa: B023

            await asyncio.gather(
                *(write_until_stop(w) for w in range(writer_count))
            )
            await connection.stop()
            cpu_used_s = (
                harness.cpu_s(system.pid_by_name[leader_name]) - cpu_before_s
            )
            results.append(
                {
                    "writers": writer_count,
                    "commits_s": len(latencies) / seconds,
                    "p50_ms": harness.quantile(latencies, 0.5) * 1e3,
                    "p99_ms": harness.quantile(latencies, 0.99) * 1e3,
                    "leader_us": cpu_used_s / len(latencies) * 1e6,
                }
            )
        await system.client.stop()
    finally:
        process_group.stop_all()
    return results


async def measure_failover(rounds=5):
    """Seconds from killing the leader to the next commit."""
    durations_s = []
    for _ in range(rounds):
        process_group = harness.ProcessGroup()
        try:
            system = harness.System(
                process_group, control_count=3, entry_count=0
            )
            await system.start()
            status = await system.client.read("status", timeout_s=5)
            leader_index = system.control_addresses.index(status["leader"])
            await asyncio.sleep(0.5)
            process_group.started[leader_index].kill()
            other_addresses = [
                address
                for address in system.control_addresses
                if address != status["leader"]
            ]
            client = control_client.ControlClient(addresses=other_addresses)
            started = time.monotonic()
            await client.submit(commands.Tick(), timeout_s=20)
            durations_s.append(time.monotonic() - started)
            await client.stop()
            await system.client.stop()
        finally:
            process_group.stop_all()
    return durations_s


def make_durable_replica(path, snapshot_interval_entries=10**9):
    recovered_replica = durable_replica.DurableReplica(
        data=folder.Folder(path=path),
        identity=durable_replica.Identity("127.0.0.1:1", ("127.0.0.1:1",), 1),
        timing=types.Timing(),
        rng=random.Random(1),
        snapshot_interval_entries=snapshot_interval_entries,
    )
    assert recovered_replica.recover(0.0) is None
    return recovered_replica


def measure_recovery():
    """Seconds to read and apply a log, by number of its entries."""
    results = []
    for entry_count in (1000, 10_000, 50_000):
        with tempfile.TemporaryDirectory() as path:
            data_folder = folder.Folder(path=path)
            data_folder.open()
            log = wal.Wal(folder=data_folder)
            log.recover()
            log_entries = [
                wal.LogEntry(
                    i + 1,
                    1,
                    types.COMMAND_KIND
                    + state_machine.stamp(make_call(i), 1000 + i),
                )
                for i in range(entry_count)
            ]
            for offset in range(0, entry_count, 500):
                log.write(None, log_entries[offset : offset + 500])
            data_folder.close()
            started = time.monotonic()
            recovered_replica = make_durable_replica(path)
            read_s = time.monotonic() - started
            recovered_replica.replica.commit = entry_count
            started = time.monotonic()
            while recovered_replica.apply_next() is not None:
                pass
            results.append(
                {
                    "entries": entry_count,
                    "read_s": read_s,
                    "apply_s": time.monotonic() - started,
                }
            )
            recovered_replica.data.close()
    return results


def measure_snapshots():
    """Size of a snapshot and seconds to dump and load it, by its calls."""
    results = []
    for call_count in (1000, 10_000, 100_000):
        tables = rows.Tables()
        register_command = commands.RegisterEntry(
            "entry-0", 1, "a", "l", "d", 1, "r"
        )
        state_machine.apply(tables, state_machine.stamp(register_command, 1), 1)
        for i in range(call_count):
            state_machine.apply(
                tables, state_machine.stamp(make_call(i), 1), i + 2
            )
        started = time.monotonic()
        snapshot = state_machine.dump(tables)
        dump_s = time.monotonic() - started
        started = time.monotonic()
        state_machine.load(snapshot)
        results.append(
            {
                "calls": call_count,
                "bytes": len(snapshot),
                "dump_s": dump_s,
                "load_s": time.monotonic() - started,
            }
        )
    return results


def make_report(upstream_count):
    return json.dumps(
        {
            "upstreams": {
                f"model@i{i}": ["model", "v1", f"i{i}", "d1", "c", 8, 3, True]
                for i in range(upstream_count)
            },
            "evidence": {"model|v1|chat": [1000, 3, 9, 980]},
            "cut": [],
            "active": [],
            "usage": {},
            "waiting": {},
        }
    ).encode()


async def measure_entry_scaling(
    entry_counts=(8, 40, 120), upstream_count=12, seconds=6.0
):
    """Cores, traffic and memory of the leader, by number of entries."""
    results = []
    for entry_count in entry_counts:
        process_group = harness.ProcessGroup()
        try:
            system = harness.System(
                process_group, control_count=1, entry_count=0
            )
            await system.start()
            address, pid = (
                system.control_addresses[0],
                system.pid_by_name["control-0"],
            )
            links = []
            for i in range(entry_count):
                command = commands.RegisterEntry(
                    f"e{i}", 1, f"127.0.0.1:{i}", "127.0.0.1:1", "d1", 1, "r"
                )
                await system.client.submit(command, timeout_s=10)
            report = make_report(upstream_count)
            totals = {"bytes": 0, "syncs": 0}
            stop_at = time.monotonic() + seconds + 2

            async def poll_leader(i, connection):
                version = 0
                while time.monotonic() < stop_at:  # noqa: B023
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
                    totals["syncs"] += 1  # noqa: B023
                    totals["bytes"] += len(report) + len(reply.view or b"") + 90  # noqa: B023

            for _ in range(entry_count):
                links.append(link.Link(address=address))
            tasks = [
                asyncio.ensure_future(poll_leader(i, links[i]))
                for i in range(entry_count)
            ]
            await asyncio.sleep(2)
            before = harness.cpu_s(pid), dict(totals), time.monotonic()
            await asyncio.sleep(seconds)
            cpu_used_s = harness.cpu_s(pid) - before[0]
            elapsed_s = time.monotonic() - before[2]
            results.append(
                {
                    "entries": entry_count,
                    "cores": cpu_used_s / elapsed_s,
                    "kb_s": (totals["bytes"] - before[1]["bytes"])
                    / elapsed_s
                    / 1e3,
                    "syncs_s": (totals["syncs"] - before[1]["syncs"])
                    / elapsed_s,
                    "memory_mb": harness.resident_memory_mb(pid),
                }
            )
            for task in tasks:
                task.cancel()
            for entry_link in links:
                await entry_link.stop()
            await system.client.stop()
        finally:
            process_group.stop_all()
    return results


async def measure_upstream_scaling(upstream_counts=(20, 100, 400), seconds=6.0):
    """Cores and memory of entries, by number of announcing upstreams.

    The first entry receives the announcements, the second one learns of the
    upstreams through the control group.
    """
    results = []
    for upstream_count in upstream_counts:
        process_group = harness.ProcessGroup()
        try:
            system = harness.System(
                process_group, control_count=1, entry_count=2
            )
            await system.start()
            announced_pid, notified_pid = (
                system.pid_by_name["entry-0"],
                system.pid_by_name["entry-1"],
            )
            engine_addresses = [
                f"127.0.0.1:{20000 + i}" for i in range(upstream_count)
            ]
            announce_task = asyncio.ensure_future(
                harness.keep_announcing(
                    system.entry_addresses[:1], engine_addresses
                )
            )
            await asyncio.sleep(3)
            before = (
                harness.cpu_s(announced_pid),
                harness.cpu_s(notified_pid),
                time.monotonic(),
            )
            await asyncio.sleep(seconds)
            elapsed_s = time.monotonic() - before[2]
            results.append(
                {
                    "upstreams": upstream_count,
                    "told_cores": (harness.cpu_s(announced_pid) - before[0])
                    / elapsed_s,
                    "news_cores": (harness.cpu_s(notified_pid) - before[1])
                    / elapsed_s,
                    "memory_mb": harness.resident_memory_mb(notified_pid),
                }
            )
            announce_task.cancel()
            await system.client.stop()
        finally:
            process_group.stop_all()
    return results


async def measure_time_in_force(entry_count=8, rounds=10):
    """Seconds from submitting a configuration until it is in force."""
    process_group = harness.ProcessGroup()
    durations_s = []
    try:
        system = harness.System(
            process_group, control_count=3, entry_count=entry_count
        )
        await system.start()
        for revision in range(2, 2 + rounds):
            command = commands.Apply(
                f"op{revision}", "bench", revision - 1, harness.make_inventory()
            )
            started = time.monotonic()
            await system.client.submit(command, timeout_s=10)
            while True:
                reply = await system.client.read(
                    "in_force", str(revision), timeout_s=5
                )
                if isinstance(reply, dict) and reply["in_force"]:
                    break
                await asyncio.sleep(0.005)
            durations_s.append(time.monotonic() - started)
        await system.client.stop()
    finally:
        process_group.stop_all()
    return durations_s


SUBJECTS = {
    "commits": lambda: asyncio.run(measure_commits()),
    "failover": lambda: [
        {"seconds": duration_s}
        for duration_s in asyncio.run(measure_failover())
    ],
    "in_force": lambda: [
        {"seconds": duration_s}
        for duration_s in asyncio.run(measure_time_in_force())
    ],
    "recovery": measure_recovery,
    "snapshots": measure_snapshots,
    "entries": lambda: asyncio.run(measure_entry_scaling()),
    "upstreams": lambda: asyncio.run(measure_upstream_scaling()),
}


def main():
    parser = argparse.ArgumentParser()
    parser.add_argument("subjects", nargs="*", default=list(SUBJECTS))
    for subject in parser.parse_args().subjects:
        results = SUBJECTS[subject]()
        print(subject)
        print("  " + "".join(f"{key:>14}" for key in results[0]))
        for row in results:
            print("  " + "".join(f"{value:14.4g}" for value in row.values()))


if __name__ == "__main__":
    main()
