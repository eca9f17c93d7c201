"""Tokens relayed per core-second, against a plain relay in the same run."""

import argparse
import asyncio
import json
import time

from bench import rig

ENGINES = 2
SINKS = 4


async def measure(processes, address, pid, streams, seconds, label):
    """Streams through ``address`` and returns rates of process ``pid``."""
    tokens = int((seconds + 30) * 16)
    reports = []
    for i in range(SINKS):
        report = processes.folder / f"{label}-{i}.json"
        reports.append(report)
        processes.module(
            "sink", address, str(streams // SINKS), str(tokens), str(report)
        )
    await asyncio.sleep(3 + streams / 400)
    before = read(reports), parts_of(pid), time.monotonic()
    await asyncio.sleep(seconds)
    after = read(reports), parts_of(pid), time.monotonic()
    moved = after[0]["tokens"] - before[0]["tokens"]
    own, kernel = (a - b for a, b in zip(after[1], before[1], strict=True))
    spent = own + kernel
    for process in processes.started[-SINKS:]:
        process.kill()
    await asyncio.sleep(1.5)
    return {
        "what": label,
        "streams": streams,
        "tokens_per_s": moved / (after[2] - before[2]),
        "tokens_per_core_s": moved / spent if spent else 0,
        "own_us": own / moved * 1e6 if moved else 0,
        "kernel_us": kernel / moved * 1e6 if moved else 0,
        "cores": spent / (after[2] - before[2]),
        "p50_ms": after[0]["p50_ms"],
        "p99_ms": after[0]["p99_ms"],
        "memory_mb": rig.memory_mb(pid) if pid else 0,
    }


def parts_of(pid):
    """Returns a process's own and kernel seconds; zeros for none."""
    return rig.cpu_parts_s(pid) if pid else (0, 0)


def read(reports):
    """Sums the sinks' reports."""
    states = []
    for report in reports:
        try:
            states.append(json.loads(report.read_text()))
        except (OSError, ValueError):
            states.append({"tokens": 0, "p50_ms": 0, "p99_ms": 0})
    return {
        "tokens": sum(state["tokens"] for state in states),
        "p50_ms": max(state["p50_ms"] for state in states),
        "p99_ms": max(state["p99_ms"] for state in states),
    }


async def run(sizes, seconds):
    """Returns one row for each relay and number of streams."""
    processes = rig.Processes()
    rows = []
    try:
        engines = rig.free_addresses(ENGINES)
        for address in engines:
            processes.module("engine", address)
        (plain,) = rig.free_addresses(1)
        relay = processes.module("plain_relay", plain, *engines)
        system = rig.System(processes)
        await system.begin()
        announcing = asyncio.ensure_future(
            rig.keep_announcing(system.entries, engines)
        )
        await asyncio.sleep(1.5)
        for streams in sizes:
            rows.append(
                await measure(
                    processes,
                    engines[0],
                    None,
                    min(streams, 1000),
                    3,
                    "direct",
                )
            )
            rows.append(
                await measure(
                    processes, plain, relay.pid, streams, seconds, "plain"
                )
            )
            rows.append(
                await measure(
                    processes,
                    system.entries[0],
                    system.pids["entry-0"],
                    streams,
                    seconds,
                    "entry",
                )
            )
        announcing.cancel()
        await system.client.stop()
    finally:
        processes.end()
    return rows


def main():
    parser = argparse.ArgumentParser()
    parser.add_argument("--streams", default="200,1000,2000")
    parser.add_argument("--seconds", type=float, default=6)
    arguments = parser.parse_args()
    sizes = [int(size) for size in arguments.streams.split(",")]
    rows = asyncio.run(run(sizes, arguments.seconds))
    print(
        f"{'what':8}{'streams':>8}{'tok/s':>9}{'tok/core-s':>12}"
        f"{'own us':>8}{'kernel us':>10}{'cores':>7}"
        f"{'p50 ms':>8}{'p99 ms':>8}{'MB':>6}"
    )
    for row in rows:
        print(
            f"{row['what']:8}{row['streams']:8}{row['tokens_per_s']:9.0f}"
            f"{row['tokens_per_core_s']:12.0f}{row['own_us']:8.1f}"
            f"{row['kernel_us']:10.1f}{row['cores']:7.2f}"
            f"{row['p50_ms']:8.1f}{row['p99_ms']:8.1f}"
            f"{row['memory_mb']:6.0f}"
        )


if __name__ == "__main__":
    main()
