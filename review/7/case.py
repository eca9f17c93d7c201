"""A runner deregisters at a control process that never joins the group.

Two core machines are added to three, of which one may be lost: the deploy file
starts control on both.
"""

import asyncio
import json
import pathlib
import sys
import time

FOLDER = pathlib.Path(__file__).resolve().parent
sys.path.insert(0, str(FOLDER.parent / "common-2"))

import harness  # noqa: E402

DRAIN_DEADLINE_S = 2.0
ADDED_FOR_S = 15.0
"""Several times ``contact_threshold_ms`` and ``catch_up_s``."""
SERVES_ON_S = 6.0
"""How long the runner serves after the acknowledgement."""
REQUEST_INTERVAL_S = 0.05


class TurningRunner(harness.Runner):
    """A runner that calls the nodes of its list in turn."""

    turn = 0

    def nodes(self):
        """Returns all nodes, a later one first with each call."""
        ips = self.system.control_ips
        first = self.turn % len(ips)
        self.turn += 1
        return ips[first:] + ips[:first]


async def run_case(record):
    """Returns the requests that reached the runner too late."""
    system = harness.System(record)
    runners = [
        TurningRunner(system, record, name=f"i-{n}", service="claims")
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
        if harness.TROUBLE:
            for zone_name in system.zone_names[:2]:
                added_ip = system.add_control(zone_name)
                system.start(added_ip, bootstrap=False)
        await asyncio.sleep(ADDED_FOR_S)
        told_ip = await find_node_without_config(system, record)
        consumers = asyncio.ensure_future(consume(system, record))
        await asyncio.sleep(2)
        acked_at = await deregister(system, record, runners[0], told_ip)
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


async def find_node_without_config(system, record):
    """Returns a control node that cannot say the config, else the last one."""
    found_ip = system.control_ips[-1]
    for ip in system.control_ips:
        answer = await system.call_control(ip, "GET", "/v1/Configuration.Read")
        status = answer.status if answer else "none"
        record.write(f"operator reads the config at {ip}: {status}")
        if status != harness.STATUS_OK:
            found_ip = ip
    return found_ip


async def deregister(system, record, runner, told_ip):
    """Deregisters a runner, which goes on to serve; returns when it was acked.

    It does so as soon as the node is the next one in its turn.
    """
    ips = system.control_ips
    while ips[runner.turn % len(ips)] != told_ip:
        await asyncio.sleep(0.02)
    await asyncio.sleep(0.1)
    runner.beats = False
    runner.leaves = True
    body = json.dumps({"born": runner.born}).encode()
    path = f"/v1/Instances.Deregister/{runner.name}"
    answer = await system.call_control(told_ip, "POST", path, body)
    if answer is None or answer.status != harness.STATUS_OK:
        raise harness.CaseNotRunError("the deregistration is not acknowledged")
    record.write(f"{told_ip} acknowledges the deregistration of {runner.name}")
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
