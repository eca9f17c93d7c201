"""Publication of route configurations: the highest version wins."""

from _arbutuswalk.state import commands
from _arbutuswalk.state import outcomes
from _arbutuswalk.state import routeconfig
from _arbutuswalk.state import tables as rows


def publish(
    tables: rows.Tables, command: commands.PublishRoutes
) -> outcomes.Outcome:
    """Replaces the current configuration if the new version is higher.

    A resend or an older version changes nothing but is accepted as well; the
    outcome contains the current version.
    """
    if routeconfig.is_newer(command.version, tables.published_version):
        tables.routes_version = command.version
        tables.routes = command.config
        tables.routes_source = command.source
    return outcomes.Accepted(revision=tables.routes_version)
