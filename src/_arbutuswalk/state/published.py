"""Publishing configurations of routes: the highest version wins."""

from _arbutuswalk.state import commands
from _arbutuswalk.state import outcomes
from _arbutuswalk.state import tables as rows


def publish(
    tables: rows.Tables, command: commands.PublishRoutes
) -> outcomes.Outcome:
    """Makes a configuration the current one if its version is higher.

    A resend, or a version that was overtaken, changes nothing and is
    accepted all the same; the outcome names the version in force.
    """
    if command.version > tables.routes_version:
        tables.routes_version = command.version
        tables.routes = command.config
        tables.routes_source = command.source
    return outcomes.Accepted(revision=tables.routes_version)
