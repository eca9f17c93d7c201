"""The route configuration in parts, as entries fetch it."""

from _arbutuswalk.state import routeconfig
from _arbutuswalk.state import tables as rows
from _arbutuswalk.wire import compressed_json
from _arbutuswalk.wire import config_versions
from _arbutuswalk.wire.gen.arbutus import ttypes

PART_BYTES = 32 * 1024
"""Largest part per reply: 0.05 s on a 5 Mbit/s link."""


class RouteParts:
    """The compressed route configuration, kept until there is a newer one.

    Attributes:
        version: Its version, None before the first.
        data: Its compressed bytes.
    """

    def __init__(self):
        self.version: int | None = None
        self.data = b""


def has_newer(tables: rows.Tables, message: ttypes.Watch) -> bool:
    """Returns whether there is a newer configuration than an entry knows of."""
    known_version = config_versions.decode(
        message.routes_version, message.exact_routes_version
    )
    return routeconfig.is_newer(tables.published_version, known_version)


def part_from(
    parts: RouteParts, tables: rows.Tables, offset: int
) -> ttypes.RoutesPart:
    """Returns the part of the current configuration from ``offset`` on."""
    if parts.version != tables.published_version:
        parts.version = tables.published_version
        parts.data = compressed_json.encode(tables.routes)
    version, exact_version = config_versions.encode(parts.version)
    return ttypes.RoutesPart(
        version=version,
        size=len(parts.data),
        data=parts.data[offset : offset + PART_BYTES],
        exact_version=exact_version,
    )
