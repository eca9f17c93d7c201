"""Collects the input of scaling decisions for every upstream that scales."""

from _arbutuswalk.control import evacuations
from _arbutuswalk.control import process
from _arbutuswalk.control import sizing
from _arbutuswalk.routing import directory
from _arbutuswalk.state import rollouts
from _arbutuswalk.state import routeconfig
from _arbutuswalk.state import scaling_policy
from _arbutuswalk.state import tables

SILENT_AFTER_HEARTBEATS = 10 / 3
"""Heartbeat intervals without an announcement after which an endpoint no longer
counts as serving: three are missed, and the third may be late."""

MAX_VERSION_OVERLAP_S = 15.0
"""Time after the end of a rollout in which the platform stops the endpoints of
the version that was given up."""


class Fleets:
    """Fleet of each upstream, kept while this process holds the duty.

    Attributes:
        heartbeat_s: Heartbeat interval of endpoints.
        by_upstream: Fleet by upstream name.
        routes_version: Version of the route configuration in ``config``, None
            before the first.
        reclaimed: Leaving endpoints already recorded, by id and start time.
        config: Route configuration that defines the scaling.
        sizings: Sizing by tokens, None to size by concurrent requests.
    """

    def __init__(self, *, heartbeat_s: float, method: str = sizing.REQUESTS):
        self.heartbeat_s = heartbeat_s
        self.by_upstream: dict[str, scaling_policy.FleetState] = {}
        self.routes_version: int | None = None
        self.reclaimed: set[tuple[str, int]] = set()
        self.config: routeconfig.RouteConfig | None = None
        self.sizings = sizing.Sizings() if method == sizing.TOKENS else None

    def is_serving(self, row: directory.Row, now: float) -> bool:
        """Returns whether an endpoint is ready and announces itself."""
        timeout_s = SILENT_AFTER_HEARTBEATS * self.heartbeat_s
        is_ready = row.endpoint.state == directory.READY
        return is_ready and now - row.announced_at <= timeout_s

    def fleet(self, upstream: str) -> scaling_policy.FleetState:
        """Returns an upstream's fleet, creating an empty one on first use."""
        return self.by_upstream.setdefault(
            upstream, scaling_policy.FleetState()
        )


def decide_orders(
    components: process.Components, fleets: Fleets
) -> list[tuple[str, scaling_policy.Order]]:
    """Returns the orders to place now, each with its upstream."""
    now = components.member.now()
    loads = components.discovery.loads()
    due_orders = []
    for upstream in _scaling_upstreams(components, fleets):
        rows = [
            row
            for row in components.discovery.directory.rows.values()
            if row.endpoint.upstream == upstream.name
        ]
        serving = [row for row in rows if fleets.is_serving(row, now)]
        if _is_rolling_out(components, upstream.name, serving):
            # Two versions run in parallel; neither is surplus.
            continue
        fleet = fleets.fleet(upstream.name)
        rollout = components.member.tables.rollouts.get(upstream.name)
        kept = [row for row in rows if not _is_given_up(rollout, row.endpoint)]
        _record_reclaims(fleet, fleets.reclaimed, kept, now)
        running = sum(loads.get(row.endpoint.id, (0, 0))[0] for row in rows)
        scaling_policy.record_load(fleet, running, now)
        closed_domains = evacuations.domains_without_orders(
            components.member.tables,
            wall_s=components.member.wall(),
            settling_s=upstream.scaling.boot_s + scaling_policy.BOOT_GRACE_S,
        )
        counts = None
        if fleets.sizings is not None:
            counts = sizing.compute_counts(
                components,
                fleets.sizings,
                fleets.config,
                upstream,
                serving,
                loads,
            )
        orders = scaling_policy.decide(
            fleet,
            scaling_policy.without_domains(upstream.scaling, closed_domains),
            _count_by_pool(serving, closed_domains),
            now,
            counts,
        )
        due_orders += [(upstream.name, order) for order in orders]
    return due_orders


def _record_reclaims(
    fleet: scaling_policy.FleetState,
    reclaimed: set[tuple[str, int]],
    rows: list[directory.Row],
    now: float,
) -> None:
    """Records failure domains whose endpoints are being reclaimed.

    If no more endpoints were ordered than remain ready, the endpoints leave
    because of that order and not because of a reclaim.
    """
    for row in rows:
        endpoint = row.endpoint
        key = (endpoint.id, endpoint.born_ms)
        if not endpoint.reclaimable or endpoint.state == directory.READY:
            continue
        if key in reclaimed:
            continue
        reclaimed.add(key)
        accepted_order = fleet.accepted_orders.get((endpoint.domain, True))
        staying = sum(
            other.endpoint.domain == endpoint.domain
            and other.endpoint.reclaimable
            and other.endpoint.state == directory.READY
            for other in rows
        )
        if accepted_order is not None and accepted_order.count > staying:
            scaling_policy.record_reclaim(fleet, endpoint.domain, now)


def _is_rolling_out(
    components: process.Components,
    upstream: str,
    serving: list[directory.Row],
) -> bool:
    """Returns whether endpoints of two versions run because of a rollout.

    The platform counts those of both, and would remove endpoints of the version
    that is kept in favour of those that it is about to stop anyway.
    """
    rollout = components.member.tables.rollouts.get(upstream)
    if rollout is None:
        return False
    if rollout.state == rollouts.GROWING:
        return True
    ended_s = components.member.wall() - rollout.changed_ms / 1000
    return ended_s < MAX_VERSION_OVERLAP_S and any(
        _is_given_up(rollout, row.endpoint) for row in serving
    )


def _is_given_up(
    rollout: tables.RolloutRow | None, endpoint: directory.Endpoint
) -> bool:
    """Returns whether the platform stops an endpoint after a rollout."""
    if rollout is None or rollout.state == rollouts.GROWING:
        return False
    is_target = endpoint.version == rollout.target
    return is_target == (rollout.state == rollouts.REVERTED)


def _scaling_upstreams(
    components: process.Components, fleets: Fleets
) -> list[routeconfig.Upstream]:
    state = components.member.tables
    if state.routes is None:
        return []
    if fleets.routes_version != state.routes_version:
        # Tables hold tuples until a restart, and lists afterwards.
        fleets.config = routeconfig.from_json(state.routes)
        fleets.routes_version = state.routes_version
    return [
        upstream for upstream in fleets.config.upstreams if upstream.scaling
    ]


def _count_by_pool(
    serving: list[directory.Row], closed_domains: frozenset[str]
) -> dict[scaling_policy.PoolKey, int]:
    counts: dict[scaling_policy.PoolKey, int] = {}
    for row in serving:
        if row.endpoint.domain in closed_domains:
            continue
        key = (row.endpoint.domain, row.endpoint.reclaimable)
        counts[key] = counts.get(key, 0) + 1
    return counts
