"""One soak: processes, endpoints, callers, faults, and what must hold."""

import asyncio
import contextlib
import json
import random

import aiohttp
import platform_world
import process_fixtures

from soak import callers
from soak import checks
from soak import faults
from soak import runners

CALLERS = 5
ENDPOINTS = 4
LANES = 2
"""Series of faults that overlap."""
PAUSE_S = 0.4
CALM_S = 3.0
"""Time after a disturbance of a process in which it owes nothing in time."""
DRAIN_S = 2.0
"""Time after which an endpoint whose leaving was acknowledged gets nothing."""
PATHS = ("/a/", "/o/", "/s/")


class Soak:
    """State of one soak.

    Attributes:
        world: The processes.
        runners: The endpoints.
        runs: Arrivals at endpoints.
        tried: Attempts of callers.
        sent: Configuration by version.
        acked: Highest version that was acknowledged.
        leaving: (endpoint, from, until) in which nothing may arrive.
        disturbed_at: When a process was last disturbed, by IP.
        done: Times and names of the faults that were injected.
    """

    def __init__(self, *, folder, seed, net):
        self.rng = random.Random(seed)
        self.world = platform_world.World(folder, net)
        self.runs = []
        self.runners = runners.make(self.world, ENDPOINTS, self.runs)
        self.tried = []
        self.sent = {}
        self.acked = 0
        self.version = 0
        self.leaving = []
        self.disturbed_at = {}
        self.locks = {
            ip: asyncio.Lock()
            for ip in [*self.world.controls, *self.world.entries]
        }
        self.repairing = asyncio.Lock()
        self.done = []

    @contextlib.asynccontextmanager
    async def holding(self, *ips):
        """Disturbs processes that nobody else disturbs meanwhile."""
        async with contextlib.AsyncExitStack() as stack:
            for ip in sorted(ips):
                await stack.enter_async_context(self.locks[ip])
            try:
                yield
            finally:
                now = asyncio.get_running_loop().time()
                self.disturbed_at |= dict.fromkeys(ips, now)

    def note_left(self, runner):
        """Notes when nothing could arrive any more, if all were in touch."""
        acked = runner.acked_leaving_at
        calm = all(
            not lock.locked() and at < (acked or 0) - CALM_S
            for ip, lock in self.locks.items()
            for at in [self.disturbed_at.get(ip, 0.0)]
        )
        if acked is not None and calm:
            until = asyncio.get_running_loop().time()
            self.leaving.append((runner.name, acked + DRAIN_S, until))

    async def publish(self, *, again=False):
        """Sends the next version, or the last one once more."""
        if not again:
            self.version += self.rng.randint(1, 3)
        version = self.version
        config = platform_world.config(version, *PATHS, f"/v{version}/")
        config["routes"][1]["route_kind"] = "non_idempotent"
        config["routes"][1]["max_attempts"] = 1
        config["routes"][2] |= {
            "route_kind": "streaming",
            "stream_resumption": True,
        }
        self.sent[version] = config
        ip = self.rng.choice(self.world.controls)
        url = f"http://{ip}:{self.world.operators}/v1/Configuration.Replace"
        status, _ = await self.world.call("POST", url, json=config)
        if status == 200:
            self.acked = max(self.acked, version)
        return status == 200

    async def until_whole(self):
        """Waits until the group of control has three voters that answer."""

        async def whole():
            url = f"http://{{}}:{self.world.operators}/v1/Configuration.Read"
            found = [
                (await self.world.call("GET", url.format(ip)))[0]
                for ip in self.world.controls
            ]
            return found == [200] * len(found) and await self._three_voters()

        await process_fixtures.wait_until(whole)

    async def _three_voters(self):
        control = ",".join(
            f"{ip}:{self.world.link}" for ip in self.world.controls
        )
        process = await asyncio.create_subprocess_exec(
            process_fixtures.BIN / "arbutuswalk",
            "status",
            "--control",
            control,
            stdout=asyncio.subprocess.PIPE,
            stderr=asyncio.subprocess.DEVNULL,
        )
        output, _ = await process.communicate()
        present = [
            (self.world.folder / ip / "identity").exists()
            for ip in self.world.controls
        ]
        return all(present) and output.decode().count(f":{self.world.link}") > 2

    async def run(self, seconds):
        """Runs the soak; returns what was broken, one line each."""
        self.world.session = aiohttp.ClientSession()
        try:
            await self._begin()
            await self._disturb(seconds)
            return await self._heal_and_check()
        except AssertionError as error:
            return [f"never healed: {error}", *self.down()]
        finally:
            await self._end()

    async def _begin(self):
        for ip in self.world.controls:
            self.world.start_control(ip)
        for ip in self.world.entries:
            self.world.start_entry(ip)
        for runner in self.runners:
            await runner.start()

        async def published():
            return await self.publish()

        await process_fixtures.wait_until(published)
        for ip in self.world.entries:
            await self.world.until_status(ip, 200)

    async def _disturb(self, seconds):
        asking = [
            asyncio.ensure_future(
                callers.run(
                    self.world,
                    f"c{number}",
                    random.Random(self.rng.random()),
                    self.tried,
                )
            )
            for number in range(CALLERS)
        ]
        lanes = [
            asyncio.ensure_future(
                self._lane(random.Random(self.rng.random()), seconds)
            )
            for _ in range(LANES)
        ]
        try:
            await asyncio.gather(*lanes)
        finally:
            for task in [*asking, *lanes]:
                task.cancel()
            await asyncio.gather(*asking, *lanes, return_exceptions=True)

    async def _lane(self, rng, seconds):
        loop = asyncio.get_running_loop()
        until = loop.time() + seconds
        while loop.time() < until:
            await asyncio.sleep(rng.uniform(0, PAUSE_S))
            fault = rng.choice(faults.ALL)
            self._note(fault, "begins")
            await fault(self, rng)
            self._note(fault, "ends")

    def _note(self, fault, what):
        at = asyncio.get_running_loop().time()
        self.done.append(f"{at:.3f} {fault.__name__} {what}")

    def down(self):
        """Returns processes that should run and do not."""
        ips = [*self.world.controls, *self.world.entries]
        return [
            f"{ip} is down: {process and process.poll()}"
            for ip in ips
            for process in [self.world.running.get(ip)]
            if process is None or process.poll() is not None
        ]

    async def _heal_and_check(self):
        for runner in self.runners:
            runner.proxy.heal()
            if runner.beating is None:
                await runner.start()
        await self.until_whole()
        lines = self.down()
        lines += checks.broken(self.tried, self.runs, self.leaving)
        status, data = await self.world.operate("GET", "/v1/Configuration.Read")
        found = json.loads(data) if status == 200 else {}
        version = found.get("version", 0)
        if version < self.acked:
            lines.append(f"version {self.acked} acknowledged, {version} left")
        if found != self.sent.get(version):
            lines.append(f"version {version} is not what was sent")
        for ip in self.world.entries:
            await self.world.until_status(ip, 200, f"/v{version}/x")
        return lines

    async def _end(self):
        for runner in self.runners:
            await runner.stop()
        await self.world.session.close()
        self.world.group.end()
