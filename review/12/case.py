"""A runner that deregistered is in use again after a kill of the core.

A runner deregisters and goes on serving, as the pages allow. Right after the
acknowledgement all control processes and one entry are killed at one moment,
and start again half a second later.
"""

import asyncio
import pathlib
import sys

FOLDER = pathlib.Path(__file__).resolve().parent
sys.path.insert(0, str(FOLDER.parent / "common-3"))

import fleet as fleets  # noqa: E402

CALM_S = 4.5
"""Time without a disruption before the runner leaves."""
SERVES_ON_S = 9.0
"""Time for which the runner serves on after its deregistration."""
INTERVAL_S = 0.04


async def play(record, fleet):
    """Plays the case; returns what broke the rule."""
    await fleet.start_all()
    names = ("runner-a", "runner-b", "runner-c")
    runners = [fleets.Runner(fleet=fleet, name=name) for name in names]
    for runner in runners:
        await runner.start()
    await fleet.wait_until_serving()
    consumers = [
        fleets.Consumer(fleet=fleet, entry_ip=ip, name=f"c{i}")
        for i, ip in enumerate(fleet.entry_ips)
    ]
    tasks = [asyncio.ensure_future(c.run(INTERVAL_S)) for c in consumers]
    await asyncio.sleep(CALM_S)
    leaving = runners[0]
    by = await leaving.deregister()
    acked_at = record.add("deregistration of", leaving.name, "acked by", by)
    if not by:
        raise fleets.CannotRunError("no process acked the deregistration")
    if fleets.has_trouble():
        killed = [*fleet.control_ips, fleet.entry_ips[0]]
        fleet.kill(*killed)
        await asyncio.sleep(fleets.RESTART_S)
        for ip in killed:
            fleet.start(ip)
    await asyncio.sleep(acked_at + SERVES_ON_S - record.now())
    leaving.stop()
    for task in tasks:
        task.cancel()
    await asyncio.gather(*tasks, return_exceptions=True)
    for runner in runners[1:]:
        runner.stop()
    sent = {}
    for consumer in consumers:
        sent.update(consumer.sent)
    return find_breaks(fleet, leaving, acked_at, sent)


def find_breaks(fleet, leaving, acked_at, sent):
    """Returns the requests that reached the runner after the deadline.

    They were read from their consumers and sent on by entries in touch.
    """
    breaks = []
    for attempt_id, at in leaving.arrivals:
        entry_ip, sent_at = sent.get(attempt_id, ("", 0.0))
        if not entry_ip or at <= acked_at + fleets.DRAIN_DEADLINE_S:
            continue
        if fleet.is_in_touch(entry_ip, sent_at):
            breaks.append(
                f"DRAIN: {attempt_id} reached {leaving.name} by {entry_ip}"
                f" {at - acked_at:.2f} s after the ack of its deregistration"
            )
    return breaks


async def main(record):
    """Runs the case on a fleet of its own."""
    fleet = fleets.Fleet(record=record, entries=4)
    try:
        return await play(record, fleet)
    finally:
        fleet.close()


if __name__ == "__main__":
    sys.exit(fleets.run_case(FOLDER / "record.txt", main))
