"""Exit codes, options and the base class of the operators' commands."""

import json
import os
import sys
from typing import Any

from cleo import helpers
from cleo.commands import command as cleo_command

from _arbutuswalk.base import settings
from _arbutuswalk.cli import remote

EXIT_OK = 0
EXIT_REFUSED = 1
EXIT_BAD_INPUT = 2
EXIT_UNREACHABLE = 3
EXIT_CONFLICT = 4
EXIT_MOVE_NOT_COMPLETED = 5
EXIT_TIMED_OUT = 6

CONTROL_ENV_VARIABLE = "ARBUTUSWALK_CONTROL"
CONTROL_OPTION = helpers.option(
    "control",
    "c",
    "IP:port of control processes, separated by commas;"
    f" default: ${CONTROL_ENV_VARIABLE}",
    flag=False,
)
JSON_OPTION = helpers.option("json", None, "print JSON")


class Command(cleo_command.Command):
    """Base class of the commands."""

    def control_addresses(self) -> list[str]:
        """Returns the addresses of control processes, or exits with 2."""
        text = self.option("control") or os.environ.get(
            CONTROL_ENV_VARIABLE, ""
        )
        addresses = [item.strip() for item in text.split(",") if item.strip()]
        invalid = [item for item in addresses if not settings.is_address(item)]
        if invalid or not addresses:
            problem = (
                f"{invalid[0]!r} is not IP:port" if invalid else "no address"
            )
            self.exit_with_error(
                f"--control: {problem}; give IP:port separated by commas, or"
                f" set {CONTROL_ENV_VARIABLE}",
                EXIT_BAD_INPUT,
            )
        return addresses

    def exit_with_error(self, message: str, exit_code: int) -> None:
        """Prints an error to standard error and exits with ``exit_code``."""
        print(message, file=sys.stderr)
        sys.exit(exit_code)

    def result_or_exit(self, result: Any) -> Any:
        """Returns ``result``, or exits with an error if it is a failure."""
        if isinstance(result, remote.Failed):
            exit_code = EXIT_UNREACHABLE if result.unreachable else EXIT_REFUSED
            self.exit_with_error(result.reason, exit_code)
        return result

    def print_result(self, value: Any, lines: list[str]) -> None:
        """Prints ``value`` as JSON with ``--json``, else ``lines``."""
        if self.option("json"):
            print(json.dumps(value, indent=2))
        else:
            print("\n".join(lines))


def move_line(move: str, row: dict[str, Any]) -> str:
    """Returns one line with a version move's state, reason and shares."""
    shares = ", ".join(
        f"{route} {share / 10:g}%" for route, share in row["shares"].items()
    )
    return (
        f"{move}: {row['old']} -> {row['new']}: {row['state']}"
        f" ({row['reason']}) [{shares}]"
    )
