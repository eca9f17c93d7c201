"""``arbutuswalk``: the operators' command line."""

import json
import sys

from cleo import application
from cleo import helpers

from _arbutuswalk.base import settings
from _arbutuswalk.cli import apply
from _arbutuswalk.cli import common
from _arbutuswalk.cli import evacuation_commands
from _arbutuswalk.cli import placement_commands
from _arbutuswalk.cli import relay_commands
from _arbutuswalk.cli import remote
from _arbutuswalk.entry import model_requests


class Status(common.Command):
    """Shows a summary of the whole system."""

    name = "status"
    description = "Show revision, control group, versions and instances"
    options = [common.CONTROL_OPTION, common.JSON_OPTION]

    def handle(self) -> int:
        """Runs the command."""
        summary = self.result_or_exit(
            remote.read(self.control_addresses(), "status")
        )
        behind = ", ".join(summary["behind"]) or "none"
        lines = [
            f"revision {summary['revision']}, entries behind: {behind}",
            f"leader {summary['leader']}, term {summary['term']},"
            f" commit {summary['commit']}",
            f"voters {', '.join(summary['voters'])}",
            f"learners {', '.join(summary['learners']) or 'none'}",
            f"quarantined requests: {summary['quarantined']}",
        ]
        if summary.get("evacuated"):
            domains = ", ".join(summary["evacuated"])
            lines.append(f"evacuated failure domains: {domains}")
        lines += [
            f"{name}: version {version}"
            for name, version in summary["versions"].items()
        ]
        lines += [
            f"{name}: {row['upstream']} {row['version']} {row['state']}"
            f" in {row['domain']} on {row['instance_class']}"
            for name, row in summary["instances"].items()
        ]
        self.print_result(summary, lines)
        return common.EXIT_OK


class Moves(common.Command):
    """Shows version moves."""

    name = "moves"
    description = "Show version moves, their shares, outcomes and reasons"
    options = [common.CONTROL_OPTION, common.JSON_OPTION]

    def handle(self) -> int:
        """Runs the command."""
        moves = self.result_or_exit(
            remote.read(self.control_addresses(), "moves")
        )
        lines = [common.move_line(move, row) for move, row in moves.items()]
        self.print_result(moves, lines or ["no moves"])
        return common.EXIT_OK


class Charges(common.Command):
    """Shows charges by account."""

    name = "charges"
    description = "Show charges by account"
    options = [common.CONTROL_OPTION, common.JSON_OPTION]

    def handle(self) -> int:
        """Runs the command."""
        charges = self.result_or_exit(
            remote.read(self.control_addresses(), "charges")
        )
        lines = [
            f"{account:40} {micro / 1_000_000:14.6f}"
            for account, micro in sorted(charges["accounts"].items())
        ]
        billed = charges["billed_micro"] / 1_000_000
        lines.append(f"{'bill':40} {billed:14.6f}")
        self.print_result(charges, lines)
        return common.EXIT_OK


class Entries(common.Command):
    """Shows entries."""

    name = "entries"
    description = "Show entry processes and their states"
    options = [common.CONTROL_OPTION, common.JSON_OPTION]

    def handle(self) -> int:
        """Runs the command."""
        entries = self.result_or_exit(
            remote.read(self.control_addresses(), "entries")
        )
        lines = [
            f"{name}: {row['state']} at {row['address']} in {row['domain']},"
            f" weight {row['weight']}"
            for name, row in entries.items()
        ]
        self.print_result(entries, lines or ["no entries"])
        return common.EXIT_OK


class Explain(common.Command):
    """Shows the history of a request."""

    name = "explain"
    description = "Show the history of a request and its routing decisions"
    arguments = [helpers.argument("request", "id from X-Request-Id")]
    options = [common.CONTROL_OPTION, common.JSON_OPTION]

    def handle(self) -> int:
        """Runs the command."""
        request_id = self.argument("request")
        entries = self.result_or_exit(
            remote.read(self.control_addresses(), "entries")
        )
        owner = model_requests.owner_of(request_id)
        if owner not in entries:
            self.exit_with_error(
                f"{request_id}: no entry {owner!r}", common.EXIT_BAD_INPUT
            )
        address = entries[owner]["link_address"]
        explanation = self.result_or_exit(remote.explain(address, request_id))
        self.print_result(explanation, explanation["history"])
        return common.EXIT_OK


class Dump(common.Command):
    """Prints the state of one process."""

    name = "dump"
    description = "Print the state of one process as JSON"
    arguments = [
        helpers.argument("address", "IP:port of its link or control address")
    ]

    def handle(self) -> int:
        """Runs the command."""
        address = self.argument("address")
        if not settings.is_address(address):
            self.exit_with_error(
                f"{address!r}: expected IP:port", common.EXIT_BAD_INPUT
            )
        print(json.dumps(self.result_or_exit(remote.dump(address)), indent=2))
        return common.EXIT_OK


class Replace(common.Command):
    """Replaces a voter of the control group."""

    name = "replace"
    description = "Replace a voter of the control group with a ready member"
    arguments = [helpers.argument("address", "IP:port of the voter to replace")]
    options = [common.CONTROL_OPTION, common.JSON_OPTION]

    def handle(self) -> int:
        """Runs the command."""
        address = self.argument("address")
        reply = self.result_or_exit(
            remote.read(self.control_addresses(), "replace", address)
        )
        self.print_result(reply, [reply["note"]])
        return common.EXIT_OK if reply["ordered"] else common.EXIT_REFUSED


def make_application() -> application.Application:
    """Returns the command-line application with all commands."""
    app = application.Application("arbutuswalk", "0.1.0")
    for command_class in (
        apply.Apply,
        Status,
        Moves,
        Charges,
        Entries,
        Explain,
        Dump,
        Replace,
        *relay_commands.COMMANDS,
        *evacuation_commands.COMMANDS,
        *placement_commands.COMMANDS,
    ):
        app.add(command_class())
    return app


def main() -> None:
    """Runs ``arbutuswalk``."""
    sys.exit(make_application().run())
