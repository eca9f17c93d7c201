"""A holder of a duty goes on with its former fence after another has acted.

The leader of control stands still while it settles usage windows. Another one
leads and reports them. Then the others are killed, the first wakes, and leads
again.
"""

import asyncio
import json
import pathlib
import signal
import sys
import time

FOLDER = pathlib.Path(__file__).resolve().parent
sys.path.insert(0, str(FOLDER.parent / "common-3"))

import fleet as fleets  # noqa: E402

RUNNERS = 2
LATEST_CYCLE_S = 85.0
"""Time after which no cycle is begun."""
INTERVAL_S = 0.2
"""Time between two requests of a consumer."""
WINDOW_S = 5.0
"""``usage_window_s`` of the sheet of restwaarde-lm."""
SETTLE_S = 2.6
"""Time after a window's end at which the first leader is killed, before that
window has been reported."""
CALM_S = 10.0
"""Time of calm before the first cycle, in which windows are reported."""
CYCLES = 4
"""Most tries in one run; the third leader is elected again in some only."""
FIRST_LEAD_S = 3.0
"""Time for which the second leader leads before it is killed."""
LEAD_S = 3.5
"""Time for which the third leader leads before the others stand still: about
``lease_duration_ms`` and the margin after which it acts."""
OTHERS_STILL_S = 0.38
ELECTION_S = 8.0
ACT_S = 7.0
AFTER_ACT_S = 0.15
WAKE_AFTER_S = 0.2
"""Time after the start of the others at which the third leader wakes."""
OBSERVED_S = 2.5
THAW_SLACK_S = 0.3
"""``thaw_slack_ms`` of the sheet."""
TERM_CHANGED = '"event":400,'


class Platform:
    """The platform's API for duties, which accepts every call.

    Attributes:
        record: What happened.
        calls: (time, owner, fence, window) of each usage report.
        server: Its listener.
    """

    def __init__(self, *, record):
        self.record = record
        self.calls = []
        self.server = None

    async def start(self):
        """Begins to listen; returns the port."""
        self.server = await asyncio.start_server(self._serve, "127.0.0.1", 0)
        return self.server.sockets[0].getsockname()[1]

    async def _serve(self, reader, writer):
        try:
            while True:
                head = (await reader.readuntil(b"\r\n\r\n")).decode("latin-1")
                headers = {}
                for line in head.split("\r\n")[1:]:
                    name, _, value = line.partition(":")
                    headers[name.strip().lower()] = value.strip()
                size = int(headers.get("content-length", 0))
                body = json.loads(await reader.readexactly(size) or b"{}")
                owner = headers.get("x-duty-owner", "")
                fence = int(headers.get("x-fencing-token", 0))
                window = body.get("window_number")
                at = self.record.add(
                    "usage report of", window, "by", owner, "fence", fence, body
                )
                self.calls.append((at, owner, fence, window))
                writer.write(b"HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\n{}")
                await writer.drain()
        except (OSError, asyncio.IncompleteReadError, asyncio.CancelledError):
            pass
        finally:
            writer.close()


def find_leader(fleet):
    """Returns term, address and time of day of the newest election.

    It is read from the logs, only to choose the moments of the disruptions.
    """
    newest = 0, "", 0.0
    for ip in fleet.control_ips:
        log = (fleet.folder / f"{ip}.log").read_text(encoding="utf-8")
        for line in log.splitlines():
            if TERM_CHANGED not in line:
                continue
            try:
                fields = json.loads(line)
            except ValueError:
                continue  # a line that is being written
            if fields["role"] == "leader" and fields["term"] > newest[0]:
                newest = fields["term"], ip, fields["at"]
    return newest


async def wait_for_leader(fleet, former_term):
    """Returns the leader of a later term."""
    ends_at = time.time() + ELECTION_S
    while time.time() < ends_at:
        leader = find_leader(fleet)
        if leader[0] > former_term:
            return leader
        await asyncio.sleep(0.01)
    raise fleets.CannotRunError("no leader was elected")


async def sleep_until(wall):
    """Sleeps until a time of day."""
    await asyncio.sleep(max(0.0, wall - time.time()))


async def kill_leader(fleet, after_s=0.0):
    """Kills the leader and starts it again; returns the next leader."""
    term, ip, at = find_leader(fleet)
    await sleep_until(at + after_s)
    fleet.kill(ip)
    await asyncio.sleep(fleets.RESTART_S)
    fleet.start(ip)
    return await wait_for_leader(fleet, term)


async def disturb(fleet, platform):
    """Plays the disruptions once; returns who was thawed, and when."""
    now = time.time()
    await sleep_until((now // WINDOW_S + 1) * WINDOW_S + SETTLE_S)
    await kill_leader(fleet)
    term, leader, at = await kill_leader(fleet, FIRST_LEAD_S)
    others = [ip for ip in fleet.control_ips if ip != leader]
    await sleep_until(at + LEAD_S)
    for ip in others:
        fleet.signal(ip, signal.SIGSTOP)
    await asyncio.sleep(OTHERS_STILL_S)
    fleet.signal(leader, signal.SIGSTOP)
    for ip in others:
        fleet.signal(ip, signal.SIGCONT)
    next_term, _, _ = await wait_for_leader(fleet, term)
    ends_at = time.time() + ACT_S
    while time.time() < ends_at:
        if any(fence == next_term for _, _, fence, _ in platform.calls):
            break
        await asyncio.sleep(0.01)
    await asyncio.sleep(AFTER_ACT_S)
    fleet.kill(*others)
    await asyncio.sleep(fleets.RESTART_S)
    for ip in others:
        fleet.start(ip)
    await asyncio.sleep(WAKE_AFTER_S)
    fleet.signal(leader, signal.SIGCONT)
    thawed_at = fleet.record.now()
    await asyncio.sleep(OBSERVED_S)
    return f"node-{leader}", thawed_at


async def play(record, fleet, platform):
    """Plays the case; returns what broke the rule."""
    await fleet.start_all()
    runners = [
        fleets.Runner(fleet=fleet, name=f"runner-{i}") for i in range(RUNNERS)
    ]
    for runner in runners:
        await runner.start()
    await fleet.wait_until_serving()
    consumers = [
        fleets.Consumer(fleet=fleet, entry_ip=ip, name=f"consumer{i}")
        for i, ip in enumerate(fleet.entry_ips)
    ]
    tasks = [asyncio.ensure_future(c.run(INTERVAL_S)) for c in consumers]
    await asyncio.sleep(CALM_S)
    if not platform.calls:
        raise fleets.CannotRunError("no usage was reported in calm")
    breaks = []
    thaws = []
    for cycle in range(CYCLES):
        if fleets.has_trouble():
            thaws.append(await disturb(fleet, platform))
        else:
            await asyncio.sleep(CALM_S)
        breaks = find_breaks(platform.calls, thaws)
        record.add("cycle", cycle + 1, "ends")
        if breaks or record.now() > LATEST_CYCLE_S:
            break
    for task in tasks:
        task.cancel()
    await asyncio.gather(*tasks, return_exceptions=True)
    for runner in runners:
        runner.stop()
    return breaks


def find_breaks(calls, thaws):
    """Returns the calls with a lower fence than one before them."""
    highest = 0
    breaks = []
    for at, owner, fence, window in calls:
        is_excused = any(
            owner == thawed and 0 <= at - thawed_at <= THAW_SLACK_S
            for thawed, thawed_at in thaws
        )
        if fence < highest and not is_excused:
            breaks.append(
                f"ONE: {owner} reports window {window} with fence {fence} at"
                f" {at:.3f} s, after fence {highest}"
            )
        highest = max(highest, fence)
    return breaks


async def main(record):
    """Runs the case on a fleet of its own."""
    platform = Platform(record=record)
    port = await platform.start()
    fleet = fleets.Fleet(
        record=record,
        duties=f"127.0.0.1:{port}",
        duty_names="usage_reporting",
    )
    try:
        return await play(record, fleet, platform)
    finally:
        fleet.close()


if __name__ == "__main__":
    sys.exit(fleets.run_case(FOLDER / "record.txt", main))
