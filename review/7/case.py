"""A runner deregisters at a control process that is no member of the group.

The deployment has five zones with a core machine each, of which one may be
lost: the deploy file starts control on all five.
"""

import asyncio
import json
import pathlib
import sys
import time

FOLDER = pathlib.Path(__file__).resolve().parent
sys.path.insert(0, str(FOLDER.parent / "common-2"))

import harness  # noqa: E402

CONTROLS = 5
DRAIN_DEADLINE_S = 2.0
SERVES_ON_S = 6.0
"""How long the runner serves after the acknowledgement."""
REQUEST_INTERVAL_S = 0.05


async def run_case(record):
    """Returns the requests that reached the runner too late."""
    system = harness.System(record, controls=CONTROLS)
    runners = [
        harness.Runner(system, record, name=f"i-{n}", service="claims")
        for n in (1, 2)
    ]
    try:
        for runner in runners:
            await runner.start()
        config = harness.make_config(
            7,
            [harness.make_route("r", "/claims/", "non_idempotent", "claims")],
            [harness.make_service("claims")],
        )
        await system.start_all(config)
        # All core machines have been in touch for several times 3 s by then.
        await asyncio.sleep(15)
        consumers = asyncio.ensure_future(consume(system, record))
        await asyncio.sleep(2)
        acked_at = await deregister(system, record, runners[0])
        await asyncio.sleep(SERVES_ON_S)
        consumers.cancel()
        await asyncio.gather(consumers, return_exceptions=True)
    finally:
        for runner in runners:
            await runner.stop()
        system.stop()
    counts = [len(runner.runs) for runner in runners]
    record.write(f"runs at the runners: {counts}")
    if not min(counts):
        raise harness.CaseNotRunError("a runner got no request")
    return [
        f"{run['id']} reached the runner {run['at'] - acked_at:.3f} s after the"
        " acknowledgement of its deregistration"
        for run in runners[0].runs
        if run["at"] - acked_at > DRAIN_DEADLINE_S
    ]


async def deregister(system, record, runner):
    """Deregisters a runner, which goes on to serve; returns when it was acked.

    It does so just after a status report. It picks one of the control nodes:
    the last one, or without trouble the first.
    """
    sequence = runner.sequence
    while runner.sequence == sequence:
        await asyncio.sleep(0.02)
    runner.beats = False
    await asyncio.sleep(0.1)
    ip = system.control_ips[-1 if harness.TROUBLE else 0]
    body = json.dumps({"born": runner.born}).encode()
    path = f"/v1/Instances.Deregister/{runner.name}"
    answer = await system.call_control(ip, "POST", path, body)
    if answer is None or answer.status != 200:
        raise harness.CaseNotRunError("the deregistration is not acknowledged")
    record.write(f"{ip} acknowledges the deregistration of {runner.name}")
    return time.monotonic()


async def consume(system, record):
    """Sends requests to the entries in turn until cancelled."""
    number = 0
    while True:
        number += 1
        ip = system.entry_ips[number % len(system.entry_ips)]
        request_id = f"id-{number}"
        headers = harness.consumer_headers(request_id)
        try:
            async with asyncio.timeout(2):
                channel = await harness.Channel.open(ip, system.callers_port)
                answer = await channel.ask("POST", "/claims/1", headers, b"lot")
                channel.close()
        except (OSError, TimeoutError, asyncio.IncompleteReadError) as error:
            record.write(f"consumer gets no answer for {request_id}: {error!r}")
        else:
            record.write(f"consumer gets {answer.status} for {request_id}")
        await asyncio.sleep(REQUEST_INTERVAL_S)


if __name__ == "__main__":
    harness.main(FOLDER, run_case)
