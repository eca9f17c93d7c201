"""Commands that evacuate failure domains, open them again and show them."""

from typing import Any

from cleo import helpers

from _arbutuswalk.cli import common
from _arbutuswalk.cli import remote
from _arbutuswalk.state import commands
from _arbutuswalk.state import evacuations
from _arbutuswalk.state import outcomes


class Evacuations(common.Command):
    """Shows failure domains and which of them are evacuated."""

    name = "evacuations"
    description = "Show failure domains, evacuated ones and ready endpoints"
    options = [common.CONTROL_OPTION, common.JSON_OPTION]

    def handle(self) -> int:
        """Runs the command."""
        domains = self.result_or_exit(
            remote.read(self.control_addresses(), "evacuations")
        )
        lines = [
            f"{domain}: {row['state']}, {row['ready_endpoints']} endpoints"
            " ready"
            for domain, row in domains.items()
        ]
        self.print_result(domains, lines or ["no failure domains"])
        return common.EXIT_OK


class _Order(common.Command):
    """Changes the state of a failure domain."""

    arguments = [helpers.argument("domain", "name of the failure domain")]
    options = [common.CONTROL_OPTION, common.JSON_OPTION]
    command_type: type[commands.Command]

    def handle(self) -> int:
        """Runs the command."""
        control, domain = self.control_addresses(), self.argument("domain")
        domains = self.result_or_exit(remote.read(control, "evacuations"))
        if domain not in domains:
            self.exit_with_error(
                f"{domain}: no such failure domain; known:"
                f" {', '.join(domains) or 'none'}",
                common.EXIT_BAD_INPUT,
            )
        command = self.command_type(domain, domains[domain]["step"])
        outcome = self.result_or_exit(remote.submit(control, command))
        if not isinstance(outcome, outcomes.Accepted):
            self.exit_with_error(
                f"{domain}: another order came first; see"
                " 'arbutuswalk evacuations'",
                common.EXIT_CONFLICT,
            )
        self.print_result(
            {"domain": domain, "step": outcome.revision},
            [self.describe(domain, domains)],
        )
        return common.EXIT_OK

    def describe(self, domain: str, domains: dict[str, Any]) -> str:
        """Returns what the order means for the endpoints."""
        raise NotImplementedError


class BeginEvacuation(_Order):
    """Evacuates a failure domain."""

    name = "evacuation begin"
    description = "Send nothing more to the endpoints of a failure domain"
    command_type = commands.BeginEvacuation

    def describe(self, domain: str, domains: dict[str, Any]) -> str:
        """Returns how many endpoints get requests, and how many do not."""
        elsewhere = sum(
            row["ready_endpoints"]
            for name, row in domains.items()
            if name != domain and row["state"] == evacuations.OPEN
        )
        return (
            f"{domain}: evacuated, {domains[domain]['ready_endpoints']} ready"
            f" endpoints in it, {elsewhere} in domains that are open"
        )


class FinishEvacuation(_Order):
    """Opens a failure domain again."""

    name = "evacuation finish"
    description = "Send requests to an evacuated failure domain again"
    command_type = commands.FinishEvacuation

    def describe(self, domain: str, domains: dict[str, Any]) -> str:
        """Returns how many endpoints get requests again."""
        ready_count = domains[domain]["ready_endpoints"]
        return f"{domain}: open, {ready_count} ready endpoints in it"


COMMANDS = (Evacuations, BeginEvacuation, FinishEvacuation)
