"""Starts, suspends and kills real processes on loopback addresses."""

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

SCRIPT_FOLDER = pathlib.Path(sys.executable).parent
STOP_TIMEOUT_S = 10
SUBMIT_TIMEOUT_S = 20.0
READ_TIMEOUT_S = 2.0
CALLER_HEADERS = {"Authorization": "Bearer t"}


def free_ports(count):
    """Returns ports that were free when probed; not reserved."""
    sockets = [socket.socket() for _ in range(count)]
    for bound_socket in sockets:
        bound_socket.bind(("127.0.0.1", 0))
    ports = [bound_socket.getsockname()[1] for bound_socket in sockets]
    for bound_socket in sockets:
        bound_socket.close()
    return ports


class ProcessGroup:
    """Processes of one test; ``stop_all`` kills those still running.

    Attributes:
        reservations: Sockets that keep addresses from other tests until then.
    """

    def __init__(self, folder):
        self.folder = folder
        self.processes = {}
        self.all_processes = []
        self.reservations = []

    def start(self, name, script, settings, *arguments):
        """Starts or restarts a process under ``name``."""
        path = self.folder / f"{name}.toml"
        path.write_text(
            "\n".join(f"{k} = {json.dumps(v)}" for k, v in settings.items())
        )
        return self.launch(
            name, [str(SCRIPT_FOLDER / script), *arguments, str(path)]
        )

    def launch(self, name, command, **options):
        """Starts a command under ``name``; its output goes to ``name``.log."""
        with (self.folder / f"{name}.log").open("ab") as log:
            process = subprocess.Popen(
                command, stdout=log, stderr=log, **options
            )
        self.processes[name] = process
        self.all_processes.append(process)
        return process

    def kill(self, name):
        """Kills a process with SIGKILL, as if its machine were lost."""
        process = self.processes.pop(name)
        process.send_signal(signal.SIGKILL)
        process.wait(STOP_TIMEOUT_S)

    def freeze(self, name):
        self.processes[name].send_signal(signal.SIGSTOP)

    def resume(self, name):
        self.processes[name].send_signal(signal.SIGCONT)

    def stop_all(self):
        for process in self.all_processes:
            if process.poll() is None:
                process.send_signal(signal.SIGCONT)
                process.kill()
                process.wait(STOP_TIMEOUT_S)
        for reservation in self.reservations:
            reservation.close()


async def wait_until(predicate, max_polls=300, pause_s=0.1):
    """Polls until ``predicate`` is true; fails after ``max_polls`` polls."""
    for _ in range(max_polls):
        result = await predicate()
        if result:
            return result
        await asyncio.sleep(pause_s)
    raise AssertionError(f"{predicate} did not become true")


class Cluster:
    """Three control processes, up to three entries, services and runners."""

    def __init__(self, process_group):
        self.process_group = process_group
        ports = free_ports(16)
        self.control_addresses = [f"127.0.0.1:{p}" for p in ports[:3]]
        self.entry_addresses = [f"127.0.0.1:{p}" for p in ports[3:6]]
        self.link_addresses = [f"127.0.0.1:{p}" for p in ports[6:9]]
        self.upstream_addresses = [f"127.0.0.1:{p}" for p in ports[9:]]
        self.run_log = process_group.folder / "runs.log"
        self.run_log.touch()
        self.client = control_client.ControlClient(
            addresses=self.control_addresses
        )

    def start_control(self, i):
        self.process_group.start(
            f"control-{i}",
            "arbutuswalk-control",
            {
                "id": f"control-{i}",
                "address": self.control_addresses[i],
                "data": str(self.process_group.folder / f"data-{i}"),
                "peers": self.control_addresses,
                "replace_after_s": 3.0,
            },
        )

    def start_entry(self, i):
        self.process_group.start(
            f"entry-{i}",
            "arbutuswalk-entry",
            {
                "id": f"entry-{i}",
                "address": self.entry_addresses[i],
                "link_address": self.link_addresses[i],
                "domain": f"d{i + 1}",
                "control": self.control_addresses,
                "drain_s": 0.5,
            },
        )

    def start_upstream(self, i, kind, upstream, **extra):
        settings = {
            "id": f"u{i}",
            "address": self.upstream_addresses[i],
            "entries": self.entry_addresses[:2],
            "upstream": upstream,
            "version": "v1",
            "instance": f"i{i}",
            "domain": "d1",
            "instance_class": "c",
            **extra,
        }
        self.process_group.start(f"u{i}", "arbutuswalk-standin", settings, kind)

    async def submit(self, command):
        return await self.client.submit(command, timeout_s=SUBMIT_TIMEOUT_S)

    async def read(self, query, argument=""):
        """Reads state; callers that poll must handle a failed read."""
        return await self.client.read(query, argument, timeout_s=READ_TIMEOUT_S)

    async def status(self):
        reply = await self.read("status")
        return reply if isinstance(reply, dict) else None

    async def full_group_status(self):
        status_reply = await self.status()
        return (
            status_reply and len(status_reply["voters"]) == 3 and status_reply
        )

    async def start_all(self, entry_count=2):
        for i in range(3):
            self.start_control(i)
        for i in range(entry_count):
            self.start_entry(i)
        await wait_until(self.full_group_status)
        outcome = await self.submit(
            commands.Apply("first", "test", 0, entry_fixtures.INVENTORY)
        )
        assert isinstance(outcome, outcomes.Accepted)

        async def all_entries_registered():
            registered_entries = await self.read("entries")
            return (
                isinstance(registered_entries, dict)
                and len(registered_entries) == entry_count
            )

        await wait_until(all_entries_registered)

    async def routes_in_force(self):
        reply = await self.read("in_force", "1")
        return isinstance(reply, dict) and reply["in_force"]
