"""The operator numbers a config by date and time, to the microsecond."""

import asyncio
import pathlib
import sys
import time

import rig

CASE = pathlib.Path(__file__).parent
OLD_PATH = "/puxa403/"
NEW_PATH = "/lohu930/"
SERVICE = "wuno96b"
FIRST_VERSION = 20261203
NEXT_PLAIN_VERSION = 20261204
CONFIG_PROPAGATION_S = 2.0
WATCHED_S = 26.0


async def work(
    runner: rig.Runner, call: rig.Call, writer: asyncio.StreamWriter
) -> None:
    """Answers after a short time."""
    await asyncio.sleep(0.03)
    writer.write(
        rig.encode("HTTP/1.1 200 OK", rig.signed(runner, call), b"done")
    )


async def play() -> bool:
    """Returns whether the acknowledged config is not in force in time."""
    system = rig.Rig(record=CASE / "record.txt")
    try:
        return await play_in(system)
    finally:
        system.stop()


async def play_in(system: rig.Rig) -> bool:
    """Changes the config and asks every entry for the new route."""
    await system.start()
    for number in range(3):
        await system.start_runner(f"i-{number}", SERVICE, work, slots=6)
    await system.put_config(rig.make_config(FIRST_VERSION, SERVICE, [OLD_PATH]))
    await system.wait_until_served(OLD_PATH + "2f")
    await asyncio.sleep(3.0)
    version = NEXT_PLAIN_VERSION
    if rig.with_trouble():
        stamp = time.strftime("%Y%m%d%H%M%S", time.gmtime())
        version = int(f"{stamp}{time.time_ns() // 1000 % 1_000_000:06}")
    answer = await system.put_config(
        rig.make_config(version, SERVICE, [OLD_PATH, NEW_PATH])
    )
    acked_at = time.time()
    system.note(f"config {version} got {answer.status}")
    if answer.status != 200:
        return False
    as_old = 0
    while time.time() - acked_at < WATCHED_S:
        late = time.time() - acked_at > CONFIG_PROPAGATION_S
        statuses = []
        for entry in range(len(system.entry_ips)):
            for path in (OLD_PATH, NEW_PATH):
                sent = await system.request(
                    entry, path + "2f", deadline_ms=1000
                )
                statuses.append(sent.status)
                as_old += late and path == NEW_PATH and sent.status == 404
        system.note(
            f"{time.time() - acked_at:5.2f} s after the ack, by entry: old"
            f" route {statuses[::2]}, new route {statuses[1::2]}"
        )
        await asyncio.sleep(1.0)
    read = await system.call_control("GET", "/v1/Configuration.Read")
    system.note(f"read back: {read.status}, {str(version) in str(read.body)}")
    runs = sum(len(runner.calls) for runner in system.runners)
    system.note(
        f"{as_old} requests on the new route got 404 over"
        f" {CONFIG_PROPAGATION_S:g} s after the ack; runners ran {runs}"
    )
    return as_old > 0


if __name__ == "__main__":
    sys.exit(rig.run(play))
