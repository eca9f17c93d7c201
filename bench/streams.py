"""Relayed tokens per core-second, compared with a plain relay."""

import argparse
import asyncio
import json
import time

from bench import harness

ENGINE_COUNT = 2
SINK_COUNT = 4


async def measure_relay(
    process_group, address, pid, stream_count, seconds, label
):
    """Opens streams to ``address``; returns the rates of process ``pid``."""
    tokens_per_stream = int((seconds + 30) * 16)
    report_paths = []
    for sink_index in range(SINK_COUNT):
        report_path = process_group.directory / f"{label}-{sink_index}.json"
        report_paths.append(report_path)
        process_group.start_bench_module(
            "sink",
            address,
            str(stream_count // SINK_COUNT),
            str(tokens_per_stream),
            str(report_path),
        )
    await asyncio.sleep(3 + stream_count / 400)
    before = (
        sum_reports(report_paths),
        cpu_seconds_or_zeros(pid),
        time.monotonic(),
    )
    await asyncio.sleep(seconds)
    after = (
        sum_reports(report_paths),
        cpu_seconds_or_zeros(pid),
        time.monotonic(),
    )
    relayed_tokens = after[0]["tokens"] - before[0]["tokens"]
    user_s, kernel_s = (a - b for a, b in zip(after[1], before[1], strict=True))
    cpu_s = user_s + kernel_s
    for process in process_group.started[-SINK_COUNT:]:
        process.kill()
    await asyncio.sleep(1.5)
    return {
        "what": label,
        "streams": stream_count,
        "tokens_per_s": relayed_tokens / (after[2] - before[2]),
        "tokens_per_core_s": relayed_tokens / cpu_s if cpu_s else 0,
        "own_us": user_s / relayed_tokens * 1e6 if relayed_tokens else 0,
        "kernel_us": kernel_s / relayed_tokens * 1e6 if relayed_tokens else 0,
        "cores": cpu_s / (after[2] - before[2]),
        "p50_ms": after[0]["p50_ms"],
        "p99_ms": after[0]["p99_ms"],
        "memory_mb": harness.resident_memory_mb(pid) if pid else 0,
    }


def cpu_seconds_or_zeros(pid):
    """Returns the user and kernel seconds of ``pid``, zeros without one."""
    return harness.user_and_kernel_cpu_s(pid) if pid else (0, 0)


def sum_reports(report_paths):
    """Returns the sum of the sinks' tokens and their longest delays."""
    sink_states = []
    for report_path in report_paths:
        try:
            sink_states.append(json.loads(report_path.read_text()))
        except (OSError, ValueError):
            sink_states.append({"tokens": 0, "p50_ms": 0, "p99_ms": 0})
    return {
        "tokens": sum(sink_state["tokens"] for sink_state in sink_states),
        "p50_ms": max(sink_state["p50_ms"] for sink_state in sink_states),
        "p99_ms": max(sink_state["p99_ms"] for sink_state in sink_states),
    }


async def measure_all(stream_counts, seconds):
    """Returns one row per target and number of streams.

    The targets are an engine, the plain relay and an entry.
    """
    process_group = harness.ProcessGroup()
    rows = []
    try:
        engine_addresses = harness.free_addresses(ENGINE_COUNT)
        for address in engine_addresses:
            process_group.start_bench_module("engine", address)
        (plain_address,) = harness.free_addresses(1)
        plain_process = process_group.start_bench_module(
            "plain_relay", plain_address, *engine_addresses
        )
        system = harness.System(process_group)
        await system.start()
        announce_task = asyncio.ensure_future(
            harness.keep_announcing(system.entry_addresses, engine_addresses)
        )
        await asyncio.sleep(1.5)
        for stream_count in stream_counts:
            rows.append(
                await measure_relay(
                    process_group,
                    engine_addresses[0],
                    None,
                    min(stream_count, 1000),
                    3,
                    "direct",
                )
            )
            rows.append(
                await measure_relay(
                    process_group,
                    plain_address,
                    plain_process.pid,
                    stream_count,
                    seconds,
                    "plain",
                )
            )
            rows.append(
                await measure_relay(
                    process_group,
                    system.entry_addresses[0],
                    system.pid_by_name["entry-0"],
                    stream_count,
                    seconds,
                    "entry",
                )
            )
        announce_task.cancel()
        await system.client.stop()
    finally:
        process_group.stop_all()
    return rows


def main():
    parser = argparse.ArgumentParser()
    parser.add_argument("--streams", default="200,1000,2000")
    parser.add_argument("--seconds", type=float, default=6)
    arguments = parser.parse_args()
    stream_counts = [
        int(stream_count) for stream_count in arguments.streams.split(",")
    ]
    rows = asyncio.run(measure_all(stream_counts, arguments.seconds))
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
