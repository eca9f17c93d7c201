"""Processes, processor time and a minimal system for benchmarks."""

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
TOKEN = "bench"
TIMEOUT_S = 20.0


def free_addresses(count):
    """Returns loopback addresses that were free a moment ago."""
    probes = [socket.socket() for _ in range(count)]
    for probe in probes:
        probe.bind(("127.0.0.1", 0))
    ports = [probe.getsockname()[1] for probe in probes]
    for probe in probes:
        probe.close()
    return [f"127.0.0.1:{port}" for port in ports]


def cpu_s(pid):
    """Returns the processor seconds a process has used."""
    return sum(cpu_parts_s(pid))


def cpu_parts_s(pid):
    """Returns processor seconds spent in the program and in the kernel."""
    fields = pathlib.Path(f"/proc/{pid}/stat").read_text().rsplit(")", 1)[1]
    parts = fields.split()
    return int(parts[11]) / TICKS_PER_S, int(parts[12]) / TICKS_PER_S


def memory_mb(pid):
    """Returns the resident memory of a process."""
    text = pathlib.Path(f"/proc/{pid}/status").read_text()
    for line in text.splitlines():
        if line.startswith("VmRSS"):
            return int(line.split()[1]) / 1024
    return 0.0


class Processes:
    """Processes of one benchmark, ended with it."""

    def __init__(self):
        self.folder = pathlib.Path(tempfile.mkdtemp(prefix="arbutuswalk-"))
        self.started = []

    def start(self, command, name):
        """Starts a process with its output in a file."""
        log = (self.folder / f"{name}.log").open("ab")
        process = subprocess.Popen(
            [str(part) for part in command],
            stdout=log,
            stderr=log,
            cwd=ROOT,
        )
        log.close()
        self.started.append(process)
        return process

    def binary(self, name, values, *arguments):
        """Starts one of ours with a settings file."""
        path = self.folder / f"{values['id']}.toml"
        path.write_text(
            "\n".join(f"{k} = {json.dumps(v)}" for k, v in values.items())
        )
        return self.start([BIN / name, *arguments, path], values["id"])

    def module(self, name, *arguments):
        """Starts a module of this package."""
        command = [sys.executable, "-m", f"bench.{name}", *arguments]
        return self.start(command, f"{name}-{len(self.started)}")

    def end(self):
        """Ends what was started, by id."""
        for process in self.started:
            if process.poll() is None:
                process.send_signal(signal.SIGKILL)
        for process in self.started:
            process.wait()


def inventory(**changes):
    """Returns a small inventory for benchmarks."""
    made = inventories.check(
        {
            "domains": ["d1"],
            "classes": [{"name": "c", "slots": 4000}],
            "workspaces": [
                {"name": "w", "token_sha256": inventories.sha256_hex(TOKEN)}
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
    assert isinstance(made, dict), made
    return made


class System:
    """Control and entry processes.

    Attributes:
        control: Addresses of the control processes.
        entries: Addresses of the entries.
        pids: Process id by name.
    """

    def __init__(self, processes, *, control=1, entries=1):
        self.processes = processes
        addresses = free_addresses(control + 2 * entries)
        self.control = addresses[:control]
        self.entries = addresses[control : control + entries]
        self.links = addresses[control + entries :]
        self.pids = {}
        self.client = control_client.ControlClient(addresses=self.control)

    async def begin(self):
        """Starts everything and applies the inventory."""
        for i, address in enumerate(self.control):
            values = {
                "id": f"control-{i}",
                "address": address,
                "data": str(self.processes.folder / f"data-{i}"),
                "peers": self.control,
                "voters": len(self.control),
                "log_level": "warning",
            }
            started = self.processes.binary("arbutuswalk-control", values)
            self.pids[values["id"]] = started.pid
        for i, address in enumerate(self.entries):
            values = {
                "id": f"entry-{i}",
                "address": address,
                "link_address": self.links[i],
                "domain": "d1",
                "control": self.control,
                "log_level": "warning",
            }
            started = self.processes.binary("arbutuswalk-entry", values)
            self.pids[values["id"]] = started.pid
        outcome = await self.client.submit(
            commands.Apply("bench", "bench", 0, inventory()),
            timeout_s=TIMEOUT_S,
        )
        assert hasattr(outcome, "revision"), outcome
        await self._in_force()

    async def _in_force(self):
        deadline = time.monotonic() + TIMEOUT_S
        async with aiohttp.ClientSession() as session:
            for address in self.entries:
                while time.monotonic() < deadline:
                    try:
                        url = f"http://{address}/v1/entries"
                        async with session.get(url) as response:
                            if (await response.json())["revision"]:
                                break
                    except aiohttp.ClientError:
                        pass
                    await asyncio.sleep(0.1)


def announcement(identity, address, sequence=1, **extra):
    """Returns an announcement of a benchmark's engine."""
    return {
        "id": identity,
        "incarnation": 1,
        "sequence": sequence,
        "address": address,
        "upstream": "model",
        "version": "v1",
        "instance": identity,
        "domain": "d1",
        "instance_class": "c",
        "slots": 4000,
        "cache_tokens": 65536,
        **extra,
    }


async def keep_announcing(entries, engines):
    """Announces engines at every entry until cancelled."""
    sequence = 0
    async with aiohttp.ClientSession() as session:
        while True:
            sequence += 1
            for i, address in enumerate(engines):
                said = announcement(f"engine-{i}", address, sequence)
                for entry in entries:
                    url = f"http://{entry}/v1/upstreams/announce"
                    async with session.post(url, json=said) as response:
                        await response.read()
            await asyncio.sleep(0.5)


def quantile(values, fraction):
    """Returns a quantile of a list."""
    ordered = sorted(values)
    if not ordered:
        return 0.0
    return ordered[min(len(ordered) - 1, int(len(ordered) * fraction))]
