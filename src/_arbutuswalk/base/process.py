"""Start-up shared by all binaries: arguments, logging, signals, state dumps."""

import argparse
import asyncio
import json
import pathlib
import signal
import sys
import tempfile
from collections.abc import Callable
from collections.abc import Sequence
from typing import Any

from absl import logging

from _arbutuswalk.base import events
from _arbutuswalk.base import settings

EXIT_OK = 0
EXIT_FAILED = 1


def load_settings(
    program: str, fields: Sequence[settings.Field], argv: list[str]
) -> dict[str, Any]:
    """Parses the command line and the settings file, or exits.

    Exits with 2 on invalid settings, and with 0 after ``--check`` of valid
    ones.
    """
    parser = argparse.ArgumentParser(prog=program)
    parser.add_argument("settings", help="TOML settings file")
    parser.add_argument(
        "--check", action="store_true", help="check the settings and exit"
    )
    arguments = parser.parse_args(argv)
    loaded = settings.load(arguments.settings, fields)
    if isinstance(loaded, settings.BadSettings):
        for problem in loaded.problems:
            print(problem, file=sys.stderr)
        sys.exit(settings.EXIT_BAD_SETTINGS)
    if arguments.check:
        print(f"{arguments.settings}: settings are valid")
        sys.exit(EXIT_OK)
    return loaded


def start_logging(level: str = "info") -> None:
    """Sends absl logs of ``level`` and above to standard error."""
    logging.use_absl_handler()
    logging.set_verbosity(level)


def install_signal_handlers(
    *, drain: Callable[[], None], dump: Callable[[], dict[str, Any]]
) -> None:
    """Drains on SIGTERM and SIGINT, and writes a state dump on SIGUSR1."""
    loop = asyncio.get_running_loop()
    loop.add_signal_handler(signal.SIGTERM, drain)
    loop.add_signal_handler(signal.SIGINT, drain)
    loop.add_signal_handler(signal.SIGUSR1, lambda: _write_dump(dump()))


def _write_dump(state: dict[str, Any]) -> None:
    file_name = f"arbutuswalk-{state['role']}-{state['id']}.json"
    path = pathlib.Path(tempfile.gettempdir()) / file_name
    path.write_text(json.dumps(state, indent=2), encoding="utf-8")
    events.log(events.Event.STATE_DUMPED, path)
