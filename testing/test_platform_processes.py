"""The whole path on the platform's interfaces, as real processes."""

import asyncio
import json
import os
import pathlib
import shutil
import signal
import subprocess
import sys

import aiohttp
import processes
import pytest
import relays

ROOT = pathlib.Path(__file__).parent.parent
HOST = "h.example"
KEY = {"X-Key": "key", "X-Deadline-Ms": "4000"}
BOUNDS = {"usage_window_s": 1, "grace_s": 4}


def toml(values):
    flat = {k: v for k, v in values.items() if not isinstance(v, dict)}
    lines = [f"{key} = {json.dumps(value)}" for key, value in flat.items()]
    lines += ["[bounds]"]
    lines += [f"{k} = {json.dumps(v)}" for k, v in BOUNDS.items()]
    return "\n".join(lines)


def config(version, *paths):
    return {
        "version": version,
        "routes": [
            {
                "name": f"r{index}",
                "host": HOST,
                "path_prefix": path,
                "route_kind": "idempotent",
                "timeout_ms": 3000,
                "service": "ops",
                "max_attempts": 2,
            }
            for index, path in enumerate(paths)
        ],
        "services": [{"name": "ops", "connection_limit": 50}],
        "limits": {},
        "tenants": [{"name": "w", "api_keys": ["key"]}],
    }


class World:
    """Three control processes, two entries and endpoints that announce."""

    def __init__(self, folder):
        self.folder = folder
        ports = processes.free_ports(5)
        self.link = ports[0]
        self.operators, self.lookups = ports[1], ports[2]
        self.callers, self.readiness = ports[3], ports[4]
        self.controls = ["127.0.1.1", "127.0.1.2", "127.0.1.3"]
        self.entries = ["127.0.2.1", "127.0.2.2"]
        self.running = {}
        self.started = []
        self.session = None
        self.beating = []

    def common(self, ip):
        return {
            "id": f"node-{ip}",
            "ip": ip,
            "domain": "d1",
            "region": "local",
            "seeds": [f"{ip}:{self.operators}" for ip in self.controls],
            "internal_port": self.link,
            "losses": 1,
            "heartbeat_ms": 300,
        }

    def start_control(self, ip):
        values = {
            **self.common(ip),
            "operators": f"{ip}:{self.operators}",
            "lookups": f"{ip}:{self.lookups}",
            "data": str(self.folder / ip),
        }
        self.start(ip, "control.py", values)

    def start_entry(self, ip):
        values = {
            **self.common(ip),
            "callers": f"{ip}:{self.callers}",
            "readiness": f"{ip}:{self.readiness}",
        }
        self.start(ip, "entry.py", values)

    def start(self, ip, program, values):
        path = self.folder / f"{ip}.toml"
        path.write_text(toml(values))
        log = (self.folder / f"{ip}.log").open("ab")
        process = subprocess.Popen(
            [sys.executable, str(ROOT / "platform" / program)],
            cwd=ROOT,
            env={**os.environ, "ARBUTUSWALK_CONFIG": str(path)},
            stdout=log,
            stderr=log,
        )
        log.close()
        self.running[ip] = process
        self.started.append(process)

    def kill(self, ip):
        process = self.running.pop(ip)
        process.kill()
        process.wait(processes.STOP_S)

    async def call(self, method, url, **options):
        timeout = aiohttp.ClientTimeout(total=2)
        try:
            async with self.session.request(
                method, url, timeout=timeout, **options
            ) as response:
                return response.status, await response.read()
        except (aiohttp.ClientError, TimeoutError) as error:
            return 0, str(error).encode()

    async def operate(self, method, path, body=None, only=None):
        """Calls control processes in turn until one answers for good."""

        async def once():
            for ip in [only] if only else self.controls:
                url = f"http://{ip}:{self.operators}{path}"
                status, data = await self.call(method, url, json=body)
                if status and status != 503:
                    return status, data
            return None

        return await processes.until(once)

    async def ask(self, ip, path="/a/x"):
        url = f"http://{ip}:{self.callers}{path}"
        headers = {**KEY, "Host": HOST, "X-Attempt-Id": "attempt-1"}
        return await self.call("GET", url, headers=headers)

    async def until_status(self, ip, status, path="/a/x"):
        async def once():
            return (await self.ask(ip, path))[0] == status

        return await processes.until(once)

    async def announce(self, endpoint, **said):
        """Starts an endpoint that sends a heartbeat again and again."""

        class Nowhere:
            class directory:  # noqa: N801
                rows = {}
                holders = {}
                revision = 0

            @staticmethod
            def now():
                return 0.0

        await endpoint.start(Nowhere)
        port = endpoint.server.sockets[0].getsockname()[1]
        beat = {
            "service": "ops",
            "address": f"127.0.0.1:{port}",
            "zone": "d1",
            "version": "v1",
            "slots": 4,
            "state": "ready",
            "sequence": 0,
            "born": 1,
            **said,
        }

        async def run():
            while True:
                beat["sequence"] += 1
                for ip in self.controls:
                    url = f"http://{ip}:{self.operators}"
                    url += f"/v1/Instances.Heartbeat/{endpoint.name}"
                    status, _ = await self.call("POST", url, json=beat)
                    if status == 200:
                        break
                await asyncio.sleep(0.3)

        self.beating.append(asyncio.ensure_future(run()))
        return beat

    async def begin(self, *paths):
        for ip in self.controls:
            self.start_control(ip)
        for ip in self.entries:
            self.start_entry(ip)
        self.endpoint = relays.Endpoint(name="i-1")
        self.beat = await self.announce(self.endpoint)
        status, _ = await self.operate(
            "POST", "/v1/Configuration.Replace", config(2, *paths)
        )
        assert status == 200
        for ip in self.entries:
            await self.until_status(ip, 200)


@pytest.fixture
async def world(tmp_path):
    found = World(tmp_path)
    found.session = aiohttp.ClientSession()
    yield found
    for task in found.beating:
        task.cancel()
    await asyncio.gather(*found.beating, return_exceptions=True)
    await found.session.close()
    for process in found.started:
        if process.poll() is None:
            process.kill()
            process.wait(processes.STOP_S)


class TestWholePath:
    async def test_requests_configurations_and_lookups(self, world):
        await world.begin("/a/")
        for ip in world.controls:
            url = f"http://{ip}:{world.lookups}/v1/resolution?name={HOST}"

            async def both(url=url):
                status, data = await world.call("GET", url)
                return status == 200 and len(json.loads(data)["addresses"]) == 2

            await processes.until(both)
        changed = config(5, "/b/")
        assert (
            await world.operate("POST", "/v1/Configuration.Replace", changed)
        )[0] == 200
        for ip in world.entries:
            await world.until_status(ip, 404)
            assert (await world.ask(ip, "/b/x"))[0] == 200
        for path, body, status in (
            ("/v1/Configuration.Replace", config(4, "/c/"), 200),
            ("/v1/Configuration.Replace", config(6, "/c/", "/c/"), 400),
            ("/v1/Rollouts.Begin", {"service": "ops"}, 400),
        ):
            assert (await world.operate("POST", path, body))[0] == status
        for ip in world.controls:
            status, data = await world.operate(
                "GET", "/v1/Configuration.Read", only=ip
            )
            assert (status, json.loads(data)) == (200, changed)

    async def test_a_leaving_endpoint_gets_nothing_once_acknowledged(
        self, world
    ):
        await world.begin("/a/")
        world.beat["state"] = "draining"
        for ip in world.entries:
            await world.until_status(ip, 503)
        arrived = len(world.endpoint.heads)
        for ip in world.entries:
            assert (await world.ask(ip))[0] == 503
        assert len(world.endpoint.heads) == arrived


class TestMetrics:
    async def test_both_programs_serve_their_counters(self, world):
        await world.begin("/a/")
        for ip, part in (
            (world.entries[0], b"arbutuswalk_answered"),
            (world.controls[0], b"arbutuswalk_watches"),
        ):
            status, data = await world.call("GET", f"http://{ip}:9464/metrics")
            assert status == 200
            assert part in data


class TestCommandLine:
    async def test_it_shows_what_requests_go_by(self, world):
        await world.begin("/a/")
        binary = pathlib.Path(sys.executable).parent / "arbutuswalk"
        control = ",".join(f"{ip}:{world.link}" for ip in world.controls)
        for command, part in (
            ("status", "voters"),
            ("routes", "r0: h.example/a/ idempotent to ops 1, 3 s"),
            ("endpoints", "i-1: ops v1 ready at"),
            ("rollouts", "no rollouts"),
            ("usage", "window"),
        ):
            done = await asyncio.to_thread(
                subprocess.run,
                [binary, command, "--control", control],
                capture_output=True,
                text=True,
                check=False,
            )
            assert done.returncode == 0, done.stderr
            assert part in done.stdout


class TestLosses:
    async def test_acknowledged_configurations_survive_losses(self, world):
        """Kills all of control at once, then one loses its disk."""
        await world.begin("/a/")
        for version in (3, 4, 5):
            changed = config(version, "/a/", f"/v{version}/")
            status, _ = await world.operate(
                "POST", "/v1/Configuration.Replace", changed
            )
            assert status == 200
            for ip in world.controls:
                world.kill(ip)
            for ip in world.entries:
                assert (await world.ask(ip))[0] == 200
            if version == 4:
                shutil.rmtree(world.folder / world.controls[0])
            for ip in world.controls:
                world.start_control(ip)
            status, data = await world.operate("GET", "/v1/Configuration.Read")
            assert json.loads(data) == changed
        for ip in world.entries:
            await world.until_status(ip, 200, "/v5/x")

    async def test_a_stopped_entry_serves_out_what_it_has(self, world):
        await world.begin("/a/")
        slow = relays.Endpoint(name="i-2")

        async def step(head, writer):
            await asyncio.sleep(1.0)
            await relays.answer(b"slow")(head, writer)

        slow.steps = world.endpoint.steps = [step] * 20
        ip = world.entries[0]
        asking = asyncio.ensure_future(world.ask(ip))
        while not world.endpoint.heads[1:]:
            await asyncio.sleep(0.02)
        world.running[ip].send_signal(signal.SIGTERM)

        async def unready():
            url = f"http://{ip}:{world.readiness}/v1/readiness"
            return (await world.call("GET", url))[0] == 503

        await processes.until(unready)
        assert (await asking)[0] == 200
        assert world.running[ip].wait(processes.STOP_S) == 0

    async def test_all_processes_at_once_serve_again(self, world):
        await world.begin("/a/")
        for ip in [*world.controls, *world.entries]:
            world.kill(ip)
        for ip in world.controls:
            world.start_control(ip)
        for ip in world.entries:
            world.start_entry(ip)
        for ip in world.entries:
            await world.until_status(ip, 200)
