"""``arbutuswalk-standin``: runner, service and platform stand-ins."""

import argparse
import asyncio
import signal
import sys
from typing import Any

from _arbutuswalk.base import process
from _arbutuswalk.base import settings
from _arbutuswalk.standin import platform
from _arbutuswalk.standin import runner
from _arbutuswalk.standin import service

KINDS = {
    "runner": (runner.FIELDS, runner.Runner),
    "service": (service.FIELDS, service.Service),
    "platform": (platform.FIELDS, platform.Platform),
}


async def run(kind: str, values: dict[str, Any]) -> None:
    """Runs one stand-in until it is told to stop."""
    _, make = KINDS[kind]
    unit = make(values=values)
    await unit.start()
    stop = asyncio.Event()
    loop = asyncio.get_running_loop()
    loop.add_signal_handler(signal.SIGTERM, stop.set)
    loop.add_signal_handler(signal.SIGINT, stop.set)
    await stop.wait()
    await unit.cut()


def main() -> None:
    """Runs the binary."""
    parser = argparse.ArgumentParser(prog="arbutuswalk-standin")
    parser.add_argument("kind", choices=sorted(KINDS))
    parser.add_argument("settings", help="TOML settings file")
    parser.add_argument("--check", action="store_true")
    arguments = parser.parse_args()
    fields, _ = KINDS[arguments.kind]
    loaded = settings.load(arguments.settings, fields)
    if isinstance(loaded, settings.BadSettings):
        for problem in loaded.problems:
            print(problem, file=sys.stderr)
        sys.exit(settings.EXIT_BAD_SETTINGS)
    if arguments.check:
        print(f"{arguments.settings}: good")
        sys.exit(process.EXIT_OK)
    process.start_logging("warning")
    asyncio.run(run(arguments.kind, loaded))
