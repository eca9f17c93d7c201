"""Gathers what the fleet's decisions need, for every upstream that scales."""

from _arbutuswalk.control import process
from _arbutuswalk.routing import directory
from _arbutuswalk.state import fleetplan
from _arbutuswalk.state import rollouts
from _arbutuswalk.state import routeconfig

SILENT_S = 4.0
"""Silence after which an endpoint does not count as serving: three missed
heartbeats of 1.2 s."""


class Fleets:
    """Fleet of each upstream, as long as this process holds the duty.

    Attributes:
        by_upstream: Fleet by upstream name.
        config: Configuration the scaling comes from.
        reclaimed: Leaving endpoints that were noted, by id and start.
    """

    def __init__(self):
        self.by_upstream: dict[str, fleetplan.Fleet] = {}
        self.version = 0
        self.reclaimed: set[tuple[str, int]] = set()
        self.config: routeconfig.RouteConfig | None = None

    def fleet(self, upstream: str) -> fleetplan.Fleet:
        """Returns an upstream's fleet, empty at first."""
        return self.by_upstream.setdefault(upstream, fleetplan.Fleet())


def decide(
    parts: process.Parts, fleets: Fleets
) -> list[tuple[str, fleetplan.Order]]:
    """Returns the orders that are due, with the upstream of each."""
    now = parts.member.now()
    loads = parts.hub.loads()
    due = []
    for upstream in _scaling_upstreams(parts, fleets):
        if _is_rolling(parts, upstream.name):
            # Two versions run beside each other; neither is a surplus.
            continue
        rows = [
            row
            for row in parts.hub.directory.rows.values()
            if row.endpoint.upstream == upstream.name
        ]
        fleet = fleets.fleet(upstream.name)
        _note_reclaims(fleet, fleets.reclaimed, rows, now)
        running = sum(loads.get(row.endpoint.id, (0, 0))[0] for row in rows)
        fleetplan.note_load(fleet, running, now)
        orders = fleetplan.decide(
            fleet, upstream.scaling, _ready(rows, now), now
        )
        due += [(upstream.name, order) for order in orders]
    return due


def _note_reclaims(
    fleet: fleetplan.Fleet,
    reclaimed: set[tuple[str, int]],
    rows: list[directory.Row],
    now: float,
) -> None:
    """Notes domains whose endpoints leave without an order of ours.

    Where fewer were ordered than there are, they leave for that.
    """
    for row in rows:
        said = row.endpoint
        key = (said.id, said.born_ms)
        if not said.reclaimable or said.state == directory.READY:
            continue
        if key in reclaimed:
            continue
        reclaimed.add(key)
        placed = fleet.placed.get((said.domain, True))
        staying = sum(
            other.endpoint.domain == said.domain
            and other.endpoint.reclaimable
            and other.endpoint.state == directory.READY
            for other in rows
        )
        if placed is not None and placed.count > staying:
            fleetplan.note_reclaim(fleet, said.domain, now)


def _is_rolling(parts: process.Parts, upstream: str) -> bool:
    row = parts.member.tables.rollouts.get(upstream)
    return row is not None and row.state == rollouts.GROWING


def _scaling_upstreams(
    parts: process.Parts, fleets: Fleets
) -> list[routeconfig.Upstream]:
    tables = parts.member.tables
    if tables.routes is None:
        return []
    if fleets.version != tables.routes_version:
        # Tables hold tuples until a restart turns them into lists.
        fleets.config = routeconfig.from_json(tables.routes)
        fleets.version = tables.routes_version
    return [each for each in fleets.config.upstreams if each.scaling]


def _ready(rows: list[directory.Row], now: float) -> dict[fleetplan.Key, int]:
    counts: dict[fleetplan.Key, int] = {}
    for row in rows:
        said = row.endpoint
        if said.state != directory.READY or now - row.announced_at > SILENT_S:
            continue
        key = (said.domain, said.reclaimable)
        counts[key] = counts.get(key, 0) + 1
    return counts
