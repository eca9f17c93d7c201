"""The platform's side on loopback, and the programs as real processes."""

import asyncio
import json
import os
import pathlib
import signal
import sys

import aiohttp
import process_fixtures
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


def runs_python(process):
    """Tells whether a process has got as far as its own first lines.

    Before that no program can decide what a signal does to it; they set
    SIGHUP aside first of all, which shows in the kernel's list.
    """
    status = pathlib.Path(f"/proc/{process.pid}/status").read_text()
    masks = dict(line.split(":\t", 1) for line in status.splitlines())
    taken = int(masks["SigIgn"], 16) | int(masks["SigCgt"], 16)
    return bool(taken & 1 << (signal.SIGHUP - 1))


class World:
    """Three control processes, two entries and endpoints that announce."""

    def __init__(self, folder, net=0):
        """``net`` keeps worlds that run at the same time apart."""
        self.folder = folder
        ports = process_fixtures.free_ports(5)
        self.link = ports[0]
        self.operators, self.lookups = ports[1], ports[2]
        self.callers, self.readiness = ports[3], ports[4]
        self.controls = [f"127.{net}.1.{i}" for i in (1, 2, 3)]
        self.entries = [f"127.{net}.2.{i}" for i in (1, 2)]
        self.group = process_fixtures.Group(folder)
        self.running = self.group.running
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
        self.group.launch(
            ip,
            [sys.executable, str(ROOT / "platform" / program)],
            cwd=ROOT,
            env={**os.environ, "ARBUTUSWALK_CONFIG": str(path)},
        )

    def kill(self, ip):
        self.group.kill(ip)

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

        return await process_fixtures.wait_until(once)

    async def ask(self, ip, path="/a/x"):
        url = f"http://{ip}:{self.callers}{path}"
        headers = {**KEY, "Host": HOST, "X-Attempt-Id": "attempt-1"}
        return await self.call("GET", url, headers=headers)

    async def until_status(self, ip, status, path="/a/x"):
        async def once():
            return (await self.ask(ip, path))[0] == status

        return await process_fixtures.wait_until(once)

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
