"""Commands that show what relayed requests go by."""

from _arbutuswalk.cli import common
from _arbutuswalk.cli import remote


class Routes(common.Command):
    """Shows the configuration of routes in force."""

    name = "routes"
    description = "Show the routes in force, their upstreams and bounds"
    options = [common.CONTROL_OPTION, common.JSON_OPTION]

    def handle(self) -> int:
        """Runs the command."""
        found = self.checked(remote.read(self.addresses(), "routes"))
        lines = [f"version {found['version']}"]
        lines += [
            f"{row['name']}: {row['host']}{row['prefix']} {row['kind']}"
            f" to {row['targets']}, {row['timeout_s']:g} s,"
            f" {row['max_attempts']} attempts"
            for row in found["routes"]
        ]
        self.show(found, lines)
        return common.EXIT_OK


class Endpoints(common.Command):
    """Shows the endpoints that announced themselves."""

    name = "endpoints"
    description = "Show endpoints, their states, loads and ages"
    options = [common.CONTROL_OPTION, common.JSON_OPTION]

    def handle(self) -> int:
        """Runs the command."""
        found = self.checked(remote.read(self.addresses(), "endpoints"))
        lines = [
            f"{name}: {row['upstream']} {row['version']} {row['state']}"
            f" at {row['address']} in {row['domain']},"
            f" {row['running']} of {row['slots']} running,"
            f" heard {row['age_s']:.1f} s ago"
            for name, row in sorted(found.items())
        ]
        self.show(found, lines or ["no endpoints"])
        return common.EXIT_OK


class Rollouts(common.Command):
    """Shows rollouts."""

    name = "rollouts"
    description = "Show rollouts, their shares and reasons"
    options = [common.CONTROL_OPTION, common.JSON_OPTION]

    def handle(self) -> int:
        """Runs the command."""
        found = self.checked(remote.read(self.addresses(), "rollouts"))
        lines = [
            f"{upstream}: to {row['target']}: {row['state']} at"
            f" {row['share'] / 10:g}% ({row['reason']})"
            for upstream, row in found.items()
        ]
        self.show(found, lines or ["no rollouts"])
        return common.EXIT_OK


class Usage(common.Command):
    """Shows settled usage."""

    name = "usage"
    description = "Show settled windows of usage by workspace"
    options = [common.CONTROL_OPTION, common.JSON_OPTION]

    def handle(self) -> int:
        """Runs the command."""
        found = self.checked(remote.read(self.addresses(), "usage"))
        lines = [
            f"window {window}: "
            + ", ".join(f"{name} {n}" for name, n in sorted(counts.items()))
            for window, counts in sorted(found.items())
        ]
        self.show(found, lines or ["no windows"])
        return common.EXIT_OK


COMMANDS = (Routes, Endpoints, Rollouts, Usage)
