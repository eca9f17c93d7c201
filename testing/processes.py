"""Starts real processes on loopback, kills and stops them by their id."""

import asyncio
import json
import pathlib
import signal
import socket
import subprocess
import sys

import entry_fixtures

from _arbutuswalk.entry import control_client
from _arbutuswalk.state import commands
from _arbutuswalk.state import outcomes

BIN = pathlib.Path(sys.executable).parent
STOP_S = 10
TIMEOUT_S = 20.0
READ_TIMEOUT_S = 2.0
HEADERS = {"Authorization": "Bearer t"}


def free_ports(count):
    """Returns ports that were free a moment ago."""
    probes = [socket.socket() for _ in range(count)]
    for probe in probes:
        probe.bind(("127.0.0.1", 0))
    ports = [probe.getsockname()[1] for probe in probes]
    for probe in probes:
        probe.close()
    return ports


class Group:
    """Processes of one test, all ended with it."""

    def __init__(self, folder):
        self.folder = folder
        self.running = {}
        self.started = []

    def start(self, name, binary, values, *arguments):
        """Starts or restarts a process under ``name``."""
        path = self.folder / f"{name}.toml"
        path.write_text(
            "\n".join(f"{k} = {json.dumps(v)}" for k, v in values.items())
        )
        return self.launch(name, [str(BIN / binary), *arguments, str(path)])

    def launch(self, name, command, **options):
        """Starts any process under ``name``, with its output in a file."""
        with (self.folder / f"{name}.log").open("ab") as log:
            process = subprocess.Popen(
                command, stdout=log, stderr=log, **options
            )
        self.running[name] = process
        self.started.append(process)
        return process

    def kill(self, name):
        """Kills a process as a lost machine would be."""
        process = self.running.pop(name)
        process.send_signal(signal.SIGKILL)
        process.wait(STOP_S)

    def freeze(self, name):
        self.running[name].send_signal(signal.SIGSTOP)

    def thaw(self, name):
        self.running[name].send_signal(signal.SIGCONT)

    def end(self):
        for process in self.started:
            if process.poll() is None:
                process.send_signal(signal.SIGCONT)
                process.kill()
                process.wait(STOP_S)


async def until(check, tries=300, pause_s=0.1):
    """Polls until ``check`` returns something true, or gives up."""
    for _ in range(tries):
        found = await check()
        if found:
            return found
        await asyncio.sleep(pause_s)
    raise AssertionError(f"{check} never came true")


class World:
    """Three control processes, two entries, services and runners."""

    def __init__(self, group):
        self.group = group
        ports = free_ports(16)
        self.control = [f"127.0.0.1:{p}" for p in ports[:3]]
        self.entries = [f"127.0.0.1:{p}" for p in ports[3:6]]
        self.links = [f"127.0.0.1:{p}" for p in ports[6:9]]
        self.others = [f"127.0.0.1:{p}" for p in ports[9:]]
        self.run_log = group.folder / "runs.log"
        self.run_log.touch()
        self.client = control_client.ControlClient(addresses=self.control)

    def start_control(self, i):
        self.group.start(
            f"control-{i}",
            "arbutuswalk-control",
            {
                "id": f"control-{i}",
                "address": self.control[i],
                "data": str(self.group.folder / f"data-{i}"),
                "peers": self.control,
                "replace_after_s": 3.0,
            },
        )

    def start_entry(self, i):
        self.group.start(
            f"entry-{i}",
            "arbutuswalk-entry",
            {
                "id": f"entry-{i}",
                "address": self.entries[i],
                "link_address": self.links[i],
                "domain": f"d{i + 1}",
                "control": self.control,
                "drain_s": 0.5,
            },
        )

    def start_upstream(self, i, kind, name, **extra):
        values = {
            "id": f"u{i}",
            "address": self.others[i],
            "entries": self.entries[:2],
            "upstream": name,
            "version": "v1",
            "instance": f"i{i}",
            "domain": "d1",
            "instance_class": "c",
            **extra,
        }
        self.group.start(f"u{i}", "arbutuswalk-standin", values, kind)

    async def submit(self, command):
        return await self.client.submit(command, timeout_s=TIMEOUT_S)

    async def read(self, query, argument=""):
        """Reads state; callers that poll have to bear a failure."""
        return await self.client.read(query, argument, timeout_s=READ_TIMEOUT_S)

    async def status(self):
        found = await self.read("status")
        return found if isinstance(found, dict) else None

    async def whole_group(self):
        found = await self.status()
        return found and len(found["voters"]) == 3 and found

    async def begin(self, entries=2):
        for i in range(3):
            self.start_control(i)
        for i in range(entries):
            self.start_entry(i)
        await until(self.whole_group)
        outcome = await self.submit(
            commands.Apply("first", "test", 0, entry_fixtures.INVENTORY)
        )
        assert isinstance(outcome, outcomes.Accepted)

        async def registered():
            found = await self.read("entries")
            return isinstance(found, dict) and len(found) == entries

        await until(registered)

    async def in_force(self):
        found = await self.read("in_force", "1")
        return isinstance(found, dict) and found["in_force"]
