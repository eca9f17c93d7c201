"""Status reports of another writer name a service that no config has.

HOW=address, the default: they have ids of their own and the runners' addresses.
HOW=id: they have the runners' ids and addresses.
"""

import asyncio
import json
import os
import pathlib
import sys
import time

FOLDER = pathlib.Path(__file__).resolve().parent
sys.path.insert(0, str(FOLDER.parent / "common-2"))

import harness  # noqa: E402

HOW = os.environ.get("HOW", "address")
RUNNERS = 3
SETTLE_S = 6.0
"""Five status reports, and more than ``contact_threshold_ms``."""
REQUESTS_OF_A_KIND = 40
KINDS = ("claims", "notes")
MIN_SHARE = 0.25


async def run_case(record):
    """Returns which kind of request is starved."""
    system = harness.System(record)
    runners = [
        harness.Runner(system, record, name=f"i-{n}", service="claims")
        for n in range(RUNNERS)
    ]
    runners.append(harness.Runner(system, record, name="j-0", service="notes"))
    writer = None
    try:
        for runner in runners:
            await runner.start()
        config = harness.make_config(
            7,
            [
                harness.make_route(kind, f"/{kind}/", "idempotent", kind)
                for kind in KINDS
            ],
            [harness.make_service(kind) for kind in KINDS],
        )
        await system.start_all(config)
        if harness.TROUBLE:
            writer = asyncio.ensure_future(
                write_reports(system, record, runners[:RUNNERS])
            )
        await asyncio.sleep(SETTLE_S)
        served = await ask_all(system, record)
    finally:
        if writer is not None:
            writer.cancel()
            await asyncio.gather(writer, return_exceptions=True)
        for runner in runners:
            await runner.stop()
        system.stop()
    mean = sum(served.values()) / len(served)
    return [
        f"{kind}: {count} of {REQUESTS_OF_A_KIND} served, others {served}"
        for kind, count in served.items()
        if count < MIN_SHARE * mean
    ]


async def write_reports(system, record, runners):
    """Sends status reports as another writer until cancelled."""
    born = int(time.time() * 1000)
    sequence = 0
    statuses = {}
    while True:
        sequence += 1
        for number, runner in enumerate(runners):
            name = runner.name if HOW == "id" else f"w-{number}"
            report = {
                "service": "claims-next",
                "address": runner.address,
                "zone": "zone-a",
                "version": "v1",
                "slots": 6,
                "state": "ready",
                "cold_remaining_ms": 0,
                "sequence": sequence,
                "born": born,
            }
            ip = system.control_ips[0]
            answer = await system.call_control(
                ip,
                "POST",
                f"/v1/Instances.Heartbeat/{name}",
                json.dumps(report).encode(),
            )
            status = answer.status if answer else "none"
            if statuses.get(name) != status:
                statuses[name] = status
                record.write(f"another writer sends {report} as {name}")
                record.write(f"it gets {status} from {ip}")
        await asyncio.sleep(harness.HEARTBEAT_S)


async def ask_all(system, record):
    """Returns how many requests of each kind were served."""
    statuses = {kind: {} for kind in KINDS}
    for number in range(REQUESTS_OF_A_KIND):
        for kind in KINDS:
            ip = system.entry_ips[number % len(system.entry_ips)]
            status = await ask(system, ip, f"/{kind}/1", f"{kind}-{number}")
            record.write(f"consumer gets {status} for {kind}-{number}")
            counts = statuses[kind]
            counts[status] = counts.get(status, 0) + 1
        await asyncio.sleep(0.1)
    for kind in KINDS:
        record.write(f"answers to {kind} by status: {statuses[kind]}")
    return {
        kind: counts.get(harness.STATUS_OK, 0)
        for kind, counts in statuses.items()
    }


async def ask(system, ip, path, request_id):
    """Returns the status of an answer, or that there was none."""
    headers = harness.consumer_headers(request_id)
    try:
        async with asyncio.timeout(2):
            channel = await harness.Channel.open(ip, system.callers_port)
            answer = await channel.ask("GET", path, headers)
            channel.close()
            return answer.status
    except (OSError, TimeoutError, asyncio.IncompleteReadError):
        return "none"


if __name__ == "__main__":
    harness.main(FOLDER, run_case)
