"""``arbutuswalk``: the operators' command line."""

import json
import sys

from cleo import application
from cleo import helpers

from _arbutuswalk.base import settings
from _arbutuswalk.cli import apply
from _arbutuswalk.cli import common
from _arbutuswalk.cli import platform
from _arbutuswalk.cli import remote
from _arbutuswalk.entry import model_requests


class Status(common.Command):
    """Shows the whole system on one page."""

    name = "status"
    description = "Show revision, control group, versions and instances"
    options = [common.CONTROL_OPTION, common.JSON_OPTION]

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
        return common.EXIT_OK


class Moves(common.Command):
    """Shows version moves."""

    name = "moves"
    description = "Show version moves, their shares, outcomes and reasons"
    options = [common.CONTROL_OPTION, common.JSON_OPTION]

    def handle(self) -> int:
        """Runs the command."""
        found = self.checked(remote.read(self.addresses(), "moves"))
        lines = [common.move_line(move, row) for move, row in found.items()]
        self.show(found, lines or ["no moves"])
        return common.EXIT_OK


class Charges(common.Command):
    """Shows charges."""

    name = "charges"
    description = "Show who pays for what"
    options = [common.CONTROL_OPTION, common.JSON_OPTION]

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
        return common.EXIT_OK


class Entries(common.Command):
    """Shows entries."""

    name = "entries"
    description = "Show entry processes and their states"
    options = [common.CONTROL_OPTION, common.JSON_OPTION]

    def handle(self) -> int:
        """Runs the command."""
        found = self.checked(remote.read(self.addresses(), "entries"))
        lines = [
            f"{name}: {row['state']} at {row['address']} in {row['domain']},"
            f" weight {row['weight']}"
            for name, row in found.items()
        ]
        self.show(found, lines or ["no entries"])
        return common.EXIT_OK


class Explain(common.Command):
    """Explains where a request went."""

    name = "explain"
    description = "Show why a request went where it went"
    arguments = [helpers.argument("request", "id from X-Request-Id")]
    options = [common.CONTROL_OPTION, common.JSON_OPTION]

    def handle(self) -> int:
        """Runs the command."""
        request_id = self.argument("request")
        entries = self.checked(remote.read(self.addresses(), "entries"))
        owner = model_requests.owner_of(request_id)
        if owner not in entries:
            self.fail(
                f"{request_id}: no entry {owner!r}", common.EXIT_BAD_INPUT
            )
        address = entries[owner]["link_address"]
        found = self.checked(remote.explain(address, request_id))
        self.show(found, found["history"])
        return common.EXIT_OK


class Dump(common.Command):
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
            self.fail(f"{address!r}: give IP:port", common.EXIT_BAD_INPUT)
        print(json.dumps(self.checked(remote.dump(address)), indent=2))
        return common.EXIT_OK


class Replace(common.Command):
    """Replaces a control process."""

    name = "replace"
    description = "Replace a voter of the control group by a ready member"
    arguments = [helpers.argument("address", "IP:port of the lost voter")]
    options = [common.CONTROL_OPTION, common.JSON_OPTION]

    def handle(self) -> int:
        """Runs the command."""
        address = self.argument("address")
        found = self.checked(remote.read(self.addresses(), "replace", address))
        self.show(found, [found["note"]])
        return common.EXIT_OK if found["ordered"] else common.EXIT_REFUSED


def make() -> application.Application:
    """Returns the application with all commands."""
    made = application.Application("arbutuswalk", "0.1.0")
    for kind in (
        apply.Apply,
        Status,
        Moves,
        Charges,
        Entries,
        Explain,
        Dump,
        Replace,
        *platform.COMMANDS,
    ):
        made.add(kind())
    return made


def main() -> None:
    """Runs the binary."""
    sys.exit(make().run())
