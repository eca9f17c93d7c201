"""Process management and measurements that the benchmarks share."""

import asyncio
import json
import os
import pathlib
import signal
import socket
import subprocess
import sys
import tempfile
import time

import aiohttp

from _arbutuswalk.entry import control_client
from _arbutuswalk.state import commands
from _arbutuswalk.state import inventory as inventories

ROOT = pathlib.Path(__file__).resolve().parent.parent
BIN = pathlib.Path(sys.executable).parent
TICKS_PER_S = os.sysconf("SC_CLK_TCK")
WORKSPACE_TOKEN = "bench"
STARTUP_TIMEOUT_S = 20.0


def free_addresses(count):
    """Returns loopback addresses with unused ports.

    Another process may take a port before its use.
    """
    sockets = [socket.socket() for _ in range(count)]
    for sock in sockets:
        sock.bind(("127.0.0.1", 0))
    ports = [sock.getsockname()[1] for sock in sockets]
    for sock in sockets:
        sock.close()
    return [f"127.0.0.1:{port}" for port in ports]


def cpu_s(pid):
    """Returns the processor time of a process in seconds."""
    return sum(user_and_kernel_cpu_s(pid))


def user_and_kernel_cpu_s(pid):
    """Returns the user and the kernel time of a process in seconds."""
    fields = pathlib.Path(f"/proc/{pid}/stat").read_text().rsplit(")", 1)[1]
    parts = fields.split()
    return int(parts[11]) / TICKS_PER_S, int(parts[12]) / TICKS_PER_S


def resident_memory_mb(pid):
    """Returns the resident memory of a process in MiB."""
    text = pathlib.Path(f"/proc/{pid}/status").read_text()
    for line in text.splitlines():
        if line.startswith("VmRSS"):
            return int(line.split()[1]) / 1024
    return 0.0


class ProcessGroup:
    """The processes of one benchmark."""

    def __init__(self):
        self.directory = pathlib.Path(tempfile.mkdtemp(prefix="arbutuswalk-"))
        self.started = []

    def start(self, command, name):
        """Starts a process that writes its output to a file."""
        log = (self.directory / f"{name}.log").open("ab")
        process = subprocess.Popen(
            [str(part) for part in command],
            stdout=log,
            stderr=log,
            cwd=ROOT,
        )
        log.close()
        self.started.append(process)
        return process

    def start_binary(self, name, values, *arguments):
        """Starts a script of this project with a settings file."""
        path = self.directory / f"{values['id']}.toml"
        path.write_text(
            "\n".join(f"{k} = {json.dumps(v)}" for k, v in values.items())
        )
        return self.start([BIN / name, *arguments, path], values["id"])

    def start_bench_module(self, name, *arguments):
        """Starts a module of the package ``bench``."""
        command = [sys.executable, "-m", f"bench.{name}", *arguments]
        return self.start(command, f"{name}-{len(self.started)}")

    def stop_all(self):
        """Kills the started processes by id and waits for them."""
        for process in self.started:
            if process.poll() is None:
                process.send_signal(signal.SIGKILL)
        for process in self.started:
            process.wait()


def make_inventory(**changes):
    """Returns a small checked inventory with ``changes`` to its tables."""
    inventory = inventories.check(
        {
            "domains": ["d1"],
            "classes": [{"name": "c", "slots": 4000}],
            "workspaces": [
                {
                    "name": "w",
                    "token_sha256": inventories.sha256_hex(WORKSPACE_TOKEN),
                }
            ],
            "upstreams": [
                {
                    "name": "model",
                    "kind": "model",
                    "owner": "w",
                    "version": "v1",
                    "domains": ["d1"],
                    "classes": ["c"],
                }
            ],
            **changes,
        },
        where="bench",
    )
    assert isinstance(inventory, dict), inventory
    return inventory


class System:
    """A system of control and entry processes.

    Attributes:
        control_addresses: Addresses of the control processes.
        entry_addresses: Addresses of the entries.
        pid_by_name: Process ids, by ids from the settings.
        client: Client of the control group.
    """

    def __init__(self, process_group, *, control_count=1, entry_count=1):
        self.process_group = process_group
        addresses = free_addresses(control_count + 2 * entry_count)
        self.control_addresses = addresses[:control_count]
        self.entry_addresses = addresses[
            control_count : control_count + entry_count
        ]
        self.link_addresses = addresses[control_count + entry_count :]
        self.pid_by_name = {}
        self.client = control_client.ControlClient(
            addresses=self.control_addresses
        )

    async def start(self):
        """Starts the processes, applies the inventory, waits for entries."""
        for i, address in enumerate(self.control_addresses):
            values = {
                "id": f"control-{i}",
                "address": address,
                "data": str(self.process_group.directory / f"data-{i}"),
                "peers": self.control_addresses,
                "voters": len(self.control_addresses),
                "log_level": "warning",
            }
            process = self.process_group.start_binary(
                "arbutuswalk-control", values
            )
            self.pid_by_name[values["id"]] = process.pid
        for i, address in enumerate(self.entry_addresses):
            values = {
                "id": f"entry-{i}",
                "address": address,
                "link_address": self.link_addresses[i],
                "domain": "d1",
                "control": self.control_addresses,
                "log_level": "warning",
            }
            process = self.process_group.start_binary(
                "arbutuswalk-entry", values
            )
            self.pid_by_name[values["id"]] = process.pid
        outcome = await self.client.submit(
            commands.Apply("bench", "bench", 0, make_inventory()),
            timeout_s=STARTUP_TIMEOUT_S,
        )
        assert hasattr(outcome, "revision"), outcome
        await self._wait_until_in_force()

    async def _wait_until_in_force(self):
        deadline = time.monotonic() + STARTUP_TIMEOUT_S
        async with aiohttp.ClientSession() as session:
            for address in self.entry_addresses:
                while time.monotonic() < deadline:
                    try:
                        url = f"http://{address}/v1/entries"
                        async with session.get(url) as response:
                            if (await response.json())["revision"]:
                                break
                    except aiohttp.ClientError:
                        pass
                    await asyncio.sleep(0.1)


def make_announcement(engine_id, address, sequence=1, **extra):
    """Returns an announcement of a fake engine."""
    return {
        "id": engine_id,
        "incarnation": 1,
        "sequence": sequence,
        "address": address,
        "upstream": "model",
        "version": "v1",
        "instance": engine_id,
        "domain": "d1",
        "instance_class": "c",
        "slots": 4000,
        "cache_tokens": 65536,
        **extra,
    }


async def keep_announcing(entry_addresses, engine_addresses):
    """Announces the engines to every entry until cancelled."""
    sequence = 0
    async with aiohttp.ClientSession() as session:
        while True:
            sequence += 1
            for i, address in enumerate(engine_addresses):
                body = make_announcement(f"engine-{i}", address, sequence)
                for entry_address in entry_addresses:
                    url = f"http://{entry_address}/v1/upstreams/announce"
                    async with session.post(url, json=body) as response:
                        await response.read()
            await asyncio.sleep(0.5)


def quantile(values, fraction):
    """Returns a quantile of ``values``, zero if there are none."""
    ordered = sorted(values)
    if not ordered:
        return 0.0
    return ordered[min(len(ordered) - 1, int(len(ordered) * fraction))]
