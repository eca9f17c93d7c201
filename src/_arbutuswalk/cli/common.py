"""What all commands of the operators' command line share."""

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
EXIT_TAKEN_BACK = 5
EXIT_TIMED_OUT = 6

CONTROL_VARIABLE = "ARBUTUSWALK_CONTROL"
CONTROL_OPTION = helpers.option(
    "control",
    "c",
    "IP:port of control processes, separated by commas;"
    f" default: ${CONTROL_VARIABLE}",
    flag=False,
)
JSON_OPTION = helpers.option("json", None, "print JSON")


class Command(cleo_command.Command):
    """What all commands share."""

    def addresses(self) -> list[str]:
        """Returns the control processes to ask, or exits with 2."""
        text = self.option("control") or os.environ.get(CONTROL_VARIABLE, "")
        found = [item.strip() for item in text.split(",") if item.strip()]
        bad = [item for item in found if not settings.is_address(item)]
        if bad or not found:
            what = f"{bad[0]!r} is not IP:port" if bad else "no address"
            self.fail(
                f"--control: {what}; give IP:port, separated by commas, or"
                f" set {CONTROL_VARIABLE}",
                EXIT_BAD_INPUT,
            )
        return found

    def fail(self, text: str, code: int) -> None:
        """Prints an error and exits with ``code``."""
        print(text, file=sys.stderr)
        sys.exit(code)

    def checked(self, found: Any) -> Any:
        """Returns ``found``, or exits if it is a failure."""
        if isinstance(found, remote.Failed):
            code = EXIT_UNREACHABLE if found.unreachable else EXIT_REFUSED
            self.fail(found.reason, code)
        return found

    def show(self, value: Any, lines: list[str]) -> None:
        """Prints JSON if asked for, else lines."""
        if self.option("json"):
            print(json.dumps(value, indent=2))
        else:
            print("\n".join(lines))


def move_line(move: str, row: dict[str, Any]) -> str:
    """Returns one line that tells a version move's state and why."""
    shares = ", ".join(
        f"{route} {share / 10:g}%" for route, share in row["shares"].items()
    )
    return (
        f"{move}: {row['old']} -> {row['new']}: {row['state']}"
        f" ({row['reason']}) [{shares}]"
    )
