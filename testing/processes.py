"""Starts real processes on loopback, kills and stops them by their id."""

import asyncio
import json
import pathlib
import signal
import socket
import subprocess
import sys

BIN = pathlib.Path(sys.executable).parent
STOP_S = 10


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
        log = (self.folder / f"{name}.log").open("ab")
        process = subprocess.Popen(
            [str(BIN / binary), *arguments, str(path)], stdout=log, stderr=log
        )
        log.close()
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
