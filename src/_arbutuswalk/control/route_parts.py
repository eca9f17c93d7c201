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
        named_version: Version whose upstreams are in ``upstream_names``.
        upstream_names: Upstreams that the configuration names.
    """

    def __init__(self):
        self.version: int | None = None
        self.data = b""
        self.named_version: int | None = None
        self.upstream_names: frozenset[str] = frozenset()


def has_newer(tables: rows.Tables, message: ttypes.Watch) -> bool:
    """Returns whether there is a newer configuration than an entry knows of."""
    known_version = config_versions.decode(
        message.routes_version, message.exact_routes_version
    )
    return routeconfig.is_newer(tables.published_version, known_version)


def upstream_names(parts: RouteParts, tables: rows.Tables) -> frozenset[str]:
    """Returns the upstreams that the configuration names, none before it."""
    if parts.named_version != tables.published_version:
        parts.named_version = tables.published_version
        parts.upstream_names = frozenset(
            name for name, *_ in tables.routes["upstreams"]
        )
    return parts.upstream_names


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
