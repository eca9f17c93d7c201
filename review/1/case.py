"""The only tenant's key is taken away."""

import asyncio
import pathlib
import sys
import time

import rig

CASE = pathlib.Path(__file__).parent
PATH = "/puxa403/"
SERVICE = "wuno96b"
UNKNOWN_KEY = "never-held-by-any-config"
CONFIG_PROPAGATION_S = 2.0
WATCHED_S = 12.0


async def work(
    runner: rig.Runner, call: rig.Call, writer: asyncio.StreamWriter
) -> None:
    """Answers after a short time."""
    await asyncio.sleep(0.03)
    writer.write(
        rig.encode("HTTP/1.1 200 OK", rig.signed(runner, call), b"done")
    )


async def play() -> bool:
    """Returns whether a request ran whose key no config ever held."""
    system = rig.Rig(record=CASE / "record.txt")
    try:
        return await play_in(system)
    finally:
        system.stop()


async def play_in(system: rig.Rig) -> bool:
    """Takes the key away, then sends requests with it and with another."""
    await system.start()
    for number in range(3):
        await system.start_runner(f"i-{number}", SERVICE, work, slots=6)
    config = rig.make_config(7, SERVICE, [PATH])
    await system.put_config(config)
    await system.wait_until_served(PATH + "2f")
    await asyncio.sleep(3.0)
    before = await system.request(
        0, PATH + "2f", headers={"X-Key": UNKNOWN_KEY}
    )
    system.note(f"before the change an unknown key gets {before.status}")
    keys = [] if rig.with_trouble() else [rig.KEY]
    config |= {
        "version": 8,
        "tenants": [{"name": rig.TENANT, "api_keys": keys}],
    }
    answer = await system.put_config(config)
    acked_at = time.time()
    system.note(f"config 8, the tenant's keys are {keys}: {answer.status}")
    sent: dict[str, tuple[str, int]] = {}
    while time.time() - acked_at < WATCHED_S:
        is_late = time.time() - acked_at > CONFIG_PROPAGATION_S
        for entry in range(len(system.entry_ips)):
            for key in (rig.KEY, UNKNOWN_KEY, ""):
                request_id = rig.new_id()
                got = await system.request(
                    entry,
                    PATH + "2f",
                    request_id=request_id,
                    headers={"X-Key": key},
                )
                if is_late:
                    sent[request_id] = (key, got.status)
        await asyncio.sleep(0.5)
    tenants = {
        call.request_id: call.headers.get("x-tenant")
        for runner in system.runners
        for call in runner.calls
    }
    for key in (rig.KEY, UNKNOWN_KEY, ""):
        ids = [i for i, (used_key, _) in sent.items() if used_key == key]
        ran = [i for i in ids if i in tenants]
        system.note(
            f"key {key!r}, sent over {CONFIG_PROPAGATION_S:g} s after the ack:"
            f" {len(ids)} requests, statuses"
            f" {sorted({sent[i][1] for i in ids})}, {len(ran)} ran, for the"
            f" tenants { {tenants[i] for i in ran} }"
        )
    return any(sent[i][0] == UNKNOWN_KEY for i in sent if i in tenants)


if __name__ == "__main__":
    sys.exit(rig.run(play))
