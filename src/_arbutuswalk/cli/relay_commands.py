"""Commands that show the routes, endpoints, rollouts and usage of relaying."""

from _arbutuswalk.cli import common
from _arbutuswalk.cli import remote


class Routes(common.Command):
    """Shows the routes in force."""

    name = "routes"
    description = "Show the routes in force, their upstreams and bounds"
    options = [common.CONTROL_OPTION, common.JSON_OPTION]

    def handle(self) -> int:
        """Runs the command."""
        config = self.result_or_exit(
            remote.read(self.control_addresses(), "routes")
        )
        lines = [f"version {config['version']}"]
        lines += [
            f"{row['name']}: {row['host']}{row['prefix']} {row['kind']}"
            f" to {row['targets']}, {row['timeout_s']:g} s,"
            f" {row['max_attempts']} attempts"
            for row in config["routes"]
        ]
        self.print_result(config, lines)
        return common.EXIT_OK


class Endpoints(common.Command):
    """Shows the endpoints that send heartbeats."""

    name = "endpoints"
    description = "Show endpoints, their states, loads and ages"
    options = [common.CONTROL_OPTION, common.JSON_OPTION]

    def handle(self) -> int:
        """Runs the command."""
        endpoints = self.result_or_exit(
            remote.read(self.control_addresses(), "endpoints")
        )
        lines = [
            f"{name}: {row['upstream']} {row['version']} {row['state']}"
            f" at {row['address']} in {row['domain']},"
            f" {row['running']} of {row['slots']} running,"
            f" last heartbeat {row['age_s']:.1f} s ago"
            for name, row in sorted(endpoints.items())
        ]
        self.print_result(endpoints, lines or ["no endpoints"])
        return common.EXIT_OK


class Rollouts(common.Command):
    """Shows rollouts of upstream versions."""

    name = "rollouts"
    description = "Show rollouts, their shares and reasons"
    options = [common.CONTROL_OPTION, common.JSON_OPTION]

    def handle(self) -> int:
        """Runs the command."""
        rollouts = self.result_or_exit(
            remote.read(self.control_addresses(), "rollouts")
        )
        lines = [
            f"{upstream}: to {row['target']}: {row['state']} at"
            f" {row['share'] / 10:g}% ({row['reason']})"
            for upstream, row in rollouts.items()
        ]
        self.print_result(rollouts, lines or ["no rollouts"])
        return common.EXIT_OK


class Usage(common.Command):
    """Shows settled usage by window and workspace."""

    name = "usage"
    description = "Show settled windows of usage by workspace"
    options = [common.CONTROL_OPTION, common.JSON_OPTION]

    def handle(self) -> int:
        """Runs the command."""
        windows = self.result_or_exit(
            remote.read(self.control_addresses(), "usage")
        )
        lines = [
            f"window {window}: "
            + ", ".join(
                f"{name} {count}" for name, count in sorted(counts.items())
            )
            for window, counts in sorted(windows.items())
        ]
        self.print_result(windows, lines or ["no windows"])
        return common.EXIT_OK


COMMANDS = (Routes, Endpoints, Rollouts, Usage)
