"""``arbutuswalk``: the operators' command line."""

import json
import os
import sys
import time
import uuid
from typing import Any

from cleo import application
from cleo import helpers
from cleo.commands import command as cleo_command

from _arbutuswalk.base import settings
from _arbutuswalk.cli import differences
from _arbutuswalk.cli import remote
from _arbutuswalk.entry import requests
from _arbutuswalk.state import commands
from _arbutuswalk.state import inventory as inventories
from _arbutuswalk.state import moves
from _arbutuswalk.state import outcomes

EXIT_OK = 0
EXIT_REFUSED = 1
EXIT_BAD_INPUT = 2
EXIT_UNREACHABLE = 3
EXIT_CONFLICT = 4
EXIT_TAKEN_BACK = 5
EXIT_TIMED_OUT = 6

CONTROL_VARIABLE = "ARBUTUSWALK_CONTROL"
POLL_S = 0.25

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


class Apply(Command):
    """Applies an inventory."""

    name = "apply"
    description = "Make an inventory the configuration"
    arguments = [helpers.argument("inventory", "TOML inventory file")]
    options = [
        CONTROL_OPTION,
        JSON_OPTION,
        helpers.option(
            "expected",
            "e",
            "revision you edited; default: the current one",
            flag=False,
        ),
        helpers.option(
            "operation",
            "o",
            "id of this operation, the same when you send it again",
            flag=False,
        ),
        helpers.option("operator", None, "who you are", flag=False),
        helpers.option("wait", "w", "wait until it is in force and moved"),
        helpers.option(
            "timeout", "t", "seconds to wait", flag=False, default="3600"
        ),
        helpers.option("dry-run", None, "show the difference, change nothing"),
    ]

    def handle(self) -> int:
        """Runs the command."""
        control = self.addresses()
        inventory = self._load()
        status = self.checked(remote.read(control, "status"))
        expected = self._number("expected", status["revision"])
        if self.option("dry-run"):
            return self._dry_run(control, inventory, status["revision"])
        operation = self.option("operation") or uuid.uuid4().hex
        outcome = self.checked(
            remote.submit(
                control,
                commands.Apply(
                    operation,
                    self.option("operator") or os.environ.get("USER", ""),
                    expected,
                    inventory,
                ),
            )
        )
        if isinstance(outcome, outcomes.Accepted):
            return self._accepted(control, outcome, operation)
        if isinstance(outcome, outcomes.Conflict):
            self.fail(
                f"conflict: revision {outcome.revision} by"
                f" {outcome.operator or 'unknown'}"
                f" ({outcome.operation}) is newer than {expected}; look at"
                " it with --dry-run and apply again",
                EXIT_CONFLICT,
            )
        self.fail(f"refused: {outcome}", EXIT_REFUSED)
        return EXIT_REFUSED

    def _load(self) -> inventories.Inventory:
        path = self.argument("inventory")
        raw = settings.read_toml(path)
        checked = raw
        if not isinstance(raw, settings.BadSettings):
            checked = inventories.check(raw, where=path)
        if isinstance(checked, settings.BadSettings):
            self.fail("\n".join(checked.problems), EXIT_BAD_INPUT)
        return checked

    def _number(self, name: str, default: int) -> int:
        text = self.option(name)
        if text is None:
            return default
        if not text.isdigit():
            self.fail(f"--{name}: {text!r}: give a number", EXIT_BAD_INPUT)
        return int(text)

    def _dry_run(
        self,
        control: list[str],
        inventory: inventories.Inventory,
        revision: int,
    ) -> int:
        current = self.checked(remote.read(control, "inventory"))
        lines = differences.describe(current, inventory)
        self.show(
            {"revision": revision, "changes": lines},
            [f"against revision {revision}:", *(lines or ["no change"])],
        )
        return EXIT_OK

    def _accepted(
        self, control: list[str], outcome: outcomes.Accepted, operation: str
    ) -> int:
        result = {
            "revision": outcome.revision,
            "operation": operation,
            "state": "accepted",
        }
        code = EXIT_OK
        if self.option("wait"):
            code = self._wait(control, outcome.revision, result)
        lines = [f"revision {outcome.revision}: {result['state']}"]
        lines += result.get("moves", [])
        self.show(result, lines)
        return code

    def _wait(
        self, control: list[str], revision: int, result: dict[str, Any]
    ) -> int:
        """Waits for the revision to be in force and its moves to end."""
        deadline = time.monotonic() + self._number("timeout", 3600)
        while time.monotonic() < deadline:
            found = remote.read(control, "in_force", str(revision))
            if isinstance(found, dict) and found["in_force"]:
                result["state"] = "in force everywhere"
                break
            time.sleep(POLL_S)
        else:
            result["state"] = "accepted, not yet in force everywhere"
            return EXIT_TIMED_OUT
        while time.monotonic() < deadline:
            ended = self._ended_moves(control, revision)
            if ended is not None:
                result["moves"] = [_move_line(m, row) for m, row in ended]
                bad = [row for _, row in ended if row["state"] != "done"]
                return EXIT_TAKEN_BACK if bad else EXIT_OK
            time.sleep(POLL_S)
        result["state"] += "; a move has not ended"
        return EXIT_TIMED_OUT

    def _ended_moves(
        self, control: list[str], revision: int
    ) -> list[tuple[str, dict[str, Any]]] | None:
        found = remote.read(control, "moves")
        if not isinstance(found, dict):
            return None
        own = [
            (move, row)
            for move, row in found.items()
            if row["revision"] == revision
        ]
        live = [row for _, row in own if row["state"] in moves.LIVE]
        return None if live else own


class Status(Command):
    """Shows the whole system on one page."""

    name = "status"
    description = "Show revision, control group, versions and instances"
    options = [CONTROL_OPTION, JSON_OPTION]

    def handle(self) -> int:
        """Runs the command."""
        status = self.checked(remote.read(self.addresses(), "status"))
        behind = ", ".join(status["behind"]) or "none"
        lines = [
            f"revision {status['revision']}, entries behind: {behind}",
            f"leader {status['leader']}, term {status['term']},"
            f" commit {status['commit']}",
            f"voters {', '.join(status['voters'])}",
            f"learners {', '.join(status['learners']) or 'none'}",
            f"quarantined requests: {status['quarantined']}",
        ]
        lines += [
            f"{name}: version {version}"
            for name, version in status["versions"].items()
        ]
        lines += [
            f"{name}: {row['upstream']} {row['version']} {row['state']}"
            f" in {row['domain']} on {row['instance_class']}"
            for name, row in status["instances"].items()
        ]
        self.show(status, lines)
        return EXIT_OK


class Moves(Command):
    """Shows version moves."""

    name = "moves"
    description = "Show version moves, their shares, outcomes and reasons"
    options = [CONTROL_OPTION, JSON_OPTION]

    def handle(self) -> int:
        """Runs the command."""
        found = self.checked(remote.read(self.addresses(), "moves"))
        lines = [_move_line(move, row) for move, row in found.items()]
        self.show(found, lines or ["no moves"])
        return EXIT_OK


class Charges(Command):
    """Shows charges."""

    name = "charges"
    description = "Show who pays for what"
    options = [CONTROL_OPTION, JSON_OPTION]

    def handle(self) -> int:
        """Runs the command."""
        found = self.checked(remote.read(self.addresses(), "charges"))
        lines = [
            f"{account:40} {micro / 1_000_000:14.6f}"
            for account, micro in sorted(found["accounts"].items())
        ]
        total = found["billed_micro"] / 1_000_000
        lines.append(f"{'bill':40} {total:14.6f}")
        self.show(found, lines)
        return EXIT_OK


class Entries(Command):
    """Shows entries."""

    name = "entries"
    description = "Show entry processes and their states"
    options = [CONTROL_OPTION, JSON_OPTION]

    def handle(self) -> int:
        """Runs the command."""
        found = self.checked(remote.read(self.addresses(), "entries"))
        lines = [
            f"{name}: {row['state']} at {row['address']} in {row['domain']},"
            f" weight {row['weight']}"
            for name, row in found.items()
        ]
        self.show(found, lines or ["no entries"])
        return EXIT_OK


class Explain(Command):
    """Explains where a request went."""

    name = "explain"
    description = "Show why a request went where it went"
    arguments = [helpers.argument("request", "id from X-Request-Id")]
    options = [CONTROL_OPTION, JSON_OPTION]

    def handle(self) -> int:
        """Runs the command."""
        request_id = self.argument("request")
        entries = self.checked(remote.read(self.addresses(), "entries"))
        owner = requests.owner_of(request_id)
        if owner not in entries:
            self.fail(f"{request_id}: no entry {owner!r}", EXIT_BAD_INPUT)
        address = entries[owner]["link_address"]
        found = self.checked(remote.explain(address, request_id))
        self.show(found, found["history"])
        return EXIT_OK


class Dump(Command):
    """Dumps one process's state."""

    name = "dump"
    description = "Print the state of one process as JSON"
    arguments = [
        helpers.argument("address", "IP:port of its link or control address")
    ]

    def handle(self) -> int:
        """Runs the command."""
        address = self.argument("address")
        if not settings.is_address(address):
            self.fail(f"{address!r}: give IP:port", EXIT_BAD_INPUT)
        print(json.dumps(self.checked(remote.dump(address)), indent=2))
        return EXIT_OK


class Replace(Command):
    """Replaces a control process."""

    name = "replace"
    description = "Replace a voter of the control group by a ready member"
    arguments = [helpers.argument("address", "IP:port of the lost voter")]
    options = [CONTROL_OPTION, JSON_OPTION]

    def handle(self) -> int:
        """Runs the command."""
        address = self.argument("address")
        found = self.checked(remote.read(self.addresses(), "replace", address))
        self.show(found, [found["note"]])
        return EXIT_OK if found["ordered"] else EXIT_REFUSED


def _move_line(move: str, row: dict[str, Any]) -> str:
    shares = ", ".join(
        f"{route} {share / 10:g}%" for route, share in row["shares"].items()
    )
    return (
        f"{move}: {row['old']} -> {row['new']}: {row['state']}"
        f" ({row['reason']}) [{shares}]"
    )


def make() -> application.Application:
    """Returns the application with all commands."""
    made = application.Application("arbutuswalk", "0.1.0")
    for kind in (
        Apply,
        Status,
        Moves,
        Charges,
        Entries,
        Explain,
        Dump,
        Replace,
    ):
        made.add(kind())
    return made


def main() -> None:
    """Runs the binary."""
    sys.exit(make().run())
