"""Cluster of real processes with the platform's interfaces on loopback."""

import asyncio
import contextlib
import json
import os
import pathlib
import signal
import socket
import sys

import aiohttp
import process_fixtures
import relay_fixtures
from arbutuswalk_platform import settings as platform_settings

from _arbutuswalk.routing import directory as directories

ROOT = pathlib.Path(__file__).parent.parent
LOOPBACK_OCTETS = range(1, 255)
HOST = "h.example"
CALLER_HEADERS = {"X-Key": "key", "X-Deadline-Ms": "4000"}
BOUND_SETTINGS = {"usage_window_s": 1, "grace_s": 4}


def to_toml(values):
    scalars = {k: v for k, v in values.items() if not isinstance(v, dict)}
    lines = [f"{key} = {json.dumps(value)}" for key, value in scalars.items()]
    lines += ["[bounds]"]
    lines += [f"{k} = {json.dumps(v)}" for k, v in values["bounds"].items()]
    return "\n".join(lines)


def make_config(version, *paths):
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


def handles_sighup(process):
    """Returns whether a process ignores or handles SIGHUP.

    The programs set their disposition of SIGHUP first of all, which the kernel
    shows in the status file. Before that, the signal ends the process.
    """
    status = pathlib.Path(f"/proc/{process.pid}/status").read_text()
    masks = dict(line.split(":\t", 1) for line in status.splitlines())
    handled_signals = int(masks["SigIgn"], 16) | int(masks["SigCgt"], 16)
    return bool(handled_signals & 1 << (signal.SIGHUP - 1))


def reserve_network():
    """Returns the second octet of a loopback network, and its reservation.

    The programs serve their metrics at a fixed port of their own addresses,
    so clusters that run concurrently need different networks.
    """
    for octet in LOOPBACK_OCTETS:
        reservation = socket.socket()
        try:
            reservation.bind(
                (f"127.{octet}.0.1", platform_settings.METRICS_PORT)
            )
        except OSError:
            reservation.close()
        else:
            return octet, reservation
    raise AssertionError("all loopback networks are in use")


class PlatformCluster:
    """Three control processes, two entries and endpoints with heartbeats.

    Attributes:
        roots: Root folder of the build of each process that does not run this
            one, by IP address.
    """

    def __init__(self, folder):
        self.folder = folder
        network_octet, reservation = reserve_network()
        ports = process_fixtures.free_ports(5)
        self.internal_port = ports[0]
        self.operators_port, self.lookups_port = ports[1], ports[2]
        self.callers_port, self.readiness_port = ports[3], ports[4]
        self.control_ips = [f"127.{network_octet}.1.{i}" for i in (1, 2, 3)]
        self.entry_ips = [f"127.{network_octet}.2.{i}" for i in (1, 2)]
        self.process_group = process_fixtures.ProcessGroup(folder)
        self.process_group.reservations.append(reservation)
        self.processes = self.process_group.processes
        self.session = None
        self.heartbeat_tasks = []
        self.bounds = BOUND_SETTINGS
        self.roots = {}

    def common_settings(self, ip):
        return {
            "id": f"node-{ip}",
            "ip": ip,
            "domain": "d1",
            "region": "local",
            "seeds": [f"{ip}:{self.operators_port}" for ip in self.control_ips],
            "internal_port": self.internal_port,
            "losses": 1,
            "heartbeat_ms": 300,
            "bounds": self.bounds,
        }

    def start_control(self, ip):
        settings = {
            **self.common_settings(ip),
            "operators": f"{ip}:{self.operators_port}",
            "lookups": f"{ip}:{self.lookups_port}",
            "data": str(self.folder / ip),
        }
        self.launch_program(ip, "control.py", settings)

    def start_entry(self, ip):
        settings = {
            **self.common_settings(ip),
            "callers": f"{ip}:{self.callers_port}",
            "readiness": f"{ip}:{self.readiness_port}",
        }
        self.launch_program(ip, "entry.py", settings)

    def launch_program(self, ip, script, settings):
        path = self.folder / f"{ip}.toml"
        path.write_text(to_toml(settings))
        root = self.roots.get(ip, ROOT)
        self.process_group.launch(
            ip,
            [sys.executable, str(root / "platform" / script)],
            cwd=root,
            env={**os.environ, "ARBUTUSWALK_CONFIG": str(path)},
        )

    def kill(self, ip):
        self.process_group.kill(ip)

    def unstructured_lines(self):
        """Returns the output of the programs that is no JSON object."""
        found = []
        for path in self.folder.glob("127.*.log"):
            # The last line may have been cut by a kill.
            for line in path.read_bytes().split(b"\n")[:-1]:
                try:
                    is_structured = isinstance(json.loads(line), dict)
                except ValueError:
                    is_structured = False
                if not is_structured:
                    found.append(f"{path.name}: {line!r}")
        return found

    async def http_request(self, method, url, **options):
        timeout = aiohttp.ClientTimeout(total=2)
        try:
            async with self.session.request(
                method, url, timeout=timeout, **options
            ) as response:
                return response.status, await response.read()
        except (aiohttp.ClientError, TimeoutError) as error:
            return 0, str(error).encode()

    async def call_control(self, method, path, body=None, only_ip=None):
        """Calls control processes in turn until one gives a non-503 status."""

        async def attempt_call():
            for ip in [only_ip] if only_ip else self.control_ips:
                url = f"http://{ip}:{self.operators_port}{path}"
                status, data = await self.http_request(method, url, json=body)
                if status and status != 503:
                    return status, data
            return None

        return await process_fixtures.wait_until(attempt_call)

    async def send_request(self, ip, path="/a/x", headers=()):
        url = f"http://{ip}:{self.callers_port}{path}"
        all_headers = {
            **CALLER_HEADERS,
            "Host": HOST,
            "X-Attempt-Id": "attempt-1",
            **dict(headers),
        }
        return await self.http_request("GET", url, headers=all_headers)

    async def wait_for_status(self, ip, status, path="/a/x"):
        async def has_status():
            return (await self.send_request(ip, path))[0] == status

        return await process_fixtures.wait_until(has_status)

    async def start_heartbeats(self, endpoint, **overrides):
        """Starts an endpoint and its heartbeats; returns the heartbeat body."""

        class NullRelay:
            directory = directories.Directory()

            @staticmethod
            def now():
                return 0.0

        await endpoint.start(NullRelay)
        port = endpoint.server.sockets[0].getsockname()[1]
        heartbeat = {
            "service": "ops",
            "address": f"127.0.0.1:{port}",
            "zone": "d1",
            "version": "v1",
            "slots": 4,
            "state": "ready",
            "sequence": 0,
            "born": 1,
            **overrides,
        }

        async def send_heartbeats():
            while True:
                heartbeat["sequence"] += 1
                for ip in self.control_ips:
                    url = f"http://{ip}:{self.operators_port}"
                    url += f"/v1/Instances.Heartbeat/{endpoint.name}"
                    status, _ = await self.http_request(
                        "POST", url, json=heartbeat
                    )
                    if status == 200:
                        break
                await asyncio.sleep(0.3)

        self.heartbeat_tasks.append(asyncio.ensure_future(send_heartbeats()))
        return heartbeat

    async def start_all(self, *paths, version=2):
        for ip in self.control_ips:
            self.start_control(ip)
        for ip in self.entry_ips:
            self.start_entry(ip)
        self.endpoint = relay_fixtures.ScriptedEndpoint(name="i-1")
        self.heartbeat = await self.start_heartbeats(self.endpoint)
        status, _ = await self.call_control(
            "POST",
            "/v1/Configuration.Replace",
            make_config(version, *paths),
        )
        assert status == 200
        for ip in self.entry_ips:
            await self.wait_for_status(ip, 200)


@contextlib.asynccontextmanager
async def running(cluster):
    """Gives a cluster its session; ends its processes and checks their logs."""
    async with aiohttp.ClientSession() as cluster.session:
        yield cluster
        for task in cluster.heartbeat_tasks:
            task.cancel()
        await asyncio.gather(*cluster.heartbeat_tasks, return_exceptions=True)
    cluster.process_group.stop_all()
    assert cluster.unstructured_lines() == []
