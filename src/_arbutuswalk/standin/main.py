"""``arbutuswalk-standin``: simulated runner, service or platform."""

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
    """Runs one stand-in until SIGTERM or SIGINT."""
    _, stand_in_class = KINDS[kind]
    stand_in = stand_in_class(values=values)
    await stand_in.start()
    stop_requested = asyncio.Event()
    loop = asyncio.get_running_loop()
    loop.add_signal_handler(signal.SIGTERM, stop_requested.set)
    loop.add_signal_handler(signal.SIGINT, stop_requested.set)
    await stop_requested.wait()
    await stand_in.abort()


def main() -> None:
    """Runs the command ``arbutuswalk-standin``."""
    parser = argparse.ArgumentParser(prog="arbutuswalk-standin")
    parser.add_argument("kind", choices=sorted(KINDS))
    parser.add_argument("settings", help="TOML settings file")
    parser.add_argument("--check", action="store_true")
    arguments = parser.parse_args()
    fields, _ = KINDS[arguments.kind]
    values = settings.load(arguments.settings, fields)
    if isinstance(values, settings.BadSettings):
        for problem in values.problems:
            print(problem, file=sys.stderr)
        sys.exit(settings.EXIT_BAD_SETTINGS)
    if arguments.check:
        print(f"{arguments.settings}: settings are valid")
        sys.exit(process.EXIT_OK)
    process.start_logging("warning")
    asyncio.run(run(arguments.kind, values))
