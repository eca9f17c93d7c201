"""Scaling decisions: endpoints of each kind by failure domain of an upstream.

Reclaimable endpoints cost a fraction of on-demand ones, but the platform may
reclaim a whole failure domain at once on a few seconds' notice. They carry the
load, spread over the domains; on-demand endpoints replace missing ones from
the reclaim notice until reclaimable ones serve again.
"""

import collections
import math
import statistics
from typing import NamedTuple

from _arbutuswalk.state import routeconfig
from _arbutuswalk.state import token_sizing

REQUESTS_PER_ENDPOINT = 4.0
"""Target of concurrent requests per model engine. Above it, the processing of
other prompts delays the first event beyond its objective."""
REQUESTS_PER_ON_DEMAND_ENDPOINT = 6.0
"""The same target for on-demand endpoints: longer waits are preferred to
paying five times the price."""
LOAD_HEADROOM_FACTOR = 1.25
"""Factor on the median load for on-demand capacity, where a surplus costs the
full price. The median ignores the short peaks that a loss itself causes."""
PROBE_ENDPOINTS_PER_DOMAIN = 1
"""Endpoints per domain that on-demand orders leave free, so that orders for
reclaimable ones reveal when these are available again."""
SHORTAGE_WINDOW_S = 5.0
"""Time after a refused order in which reclaimable endpoints count as
unavailable; it spans several retries at ``REFUSED_ORDER_RETRY_S``."""
LOAD_WINDOW_S = 12.0
"""Window of load samples whose peak sets the reclaimable count: three times the
start-up time of an endpoint."""
LOAD_LEARNING_S = 5.0
"""Time under load before the count may fall below the initial number."""
INITIAL_SURPLUS_FACTOR = 1.7
"""Factor on the initial number of endpoints until the load is known: the ratio
of traffic on a busy day to that on a quiet one."""
MIN_ENDPOINTS = 2
"""Minimum endpoints of an upstream, so that it survives the loss of one."""
REFUSED_ORDER_RETRY_S = 2.0
"""Delay after a refused order before the next one in the same domain."""
BOOT_GRACE_S = 2.0
"""Time beyond the start-up after which an ordered endpoint is missing."""

PoolKey = tuple[str, bool]
"""Failure domain, and whether its endpoints are reclaimable."""


class Order(NamedTuple):
    """Requested number of endpoints of one kind in one failure domain."""

    domain: str
    reclaimable: bool
    count: int


class AcceptedOrder(NamedTuple):
    """An order that the platform accepted, and when."""

    count: int
    accepted_at: float


class FleetState:
    """Orders and load of one upstream, as known to the scaling process.

    Attributes:
        accepted_orders: Last accepted order by domain and kind.
        refused_at: Time of the last refused order by domain and kind.
        load_samples: Times and concurrent requests, oldest first.
        loaded_since: Time of the first sample with load, None before.
        initial_endpoints: Endpoints at the first decision, 0 before it.
    """

    def __init__(self):
        self.accepted_orders: dict[PoolKey, AcceptedOrder] = {}
        self.refused_at: dict[PoolKey, float] = {}
        self.load_samples: collections.deque[tuple[float, int]] = (
            collections.deque()
        )
        self.loaded_since: float | None = None
        self.initial_endpoints = 0


def record_load(fleet: FleetState, running: int, now: float) -> None:
    """Records the number of concurrent requests."""
    fleet.load_samples.append((now, running))
    while fleet.load_samples[0][0] < now - LOAD_WINDOW_S:
        fleet.load_samples.popleft()
    if running and fleet.loaded_since is None:
        fleet.loaded_since = now


def record_order_outcome(
    fleet: FleetState, order: Order, *, accepted: bool, now: float
) -> None:
    """Records whether an order was accepted."""
    key = (order.domain, order.reclaimable)
    if accepted:
        fleet.accepted_orders[key] = AcceptedOrder(order.count, now)
        fleet.refused_at.pop(key, None)
    else:
        fleet.refused_at[key] = now


def reclaimable_count(
    fleet: FleetState,
    scaling: routeconfig.Scaling,
    now: float,
    counts: token_sizing.Counts | None = None,
) -> int:
    """Returns the number of reclaimable endpoints for the peak load."""
    peak = max((running for _, running in fleet.load_samples), default=0)
    at_peak = counts.reclaimable if counts else peak / REQUESTS_PER_ENDPOINT
    initial_estimate = (
        fleet.initial_endpoints * INITIAL_SURPLUS_FACTOR
        if _is_learning_load(fleet, now)
        else 0
    )
    required = max(initial_estimate, at_peak)
    return _clamp_count(fleet, scaling, required, now)


def required_count(
    fleet: FleetState,
    scaling: routeconfig.Scaling,
    now: float,
    counts: token_sizing.Counts | None = None,
) -> int:
    """Returns the number of endpoints required even at the on-demand price."""
    if counts is not None:
        return _clamp_count(fleet, scaling, counts.on_demand, now)
    load_samples = [running for _, running in fleet.load_samples] or [0]
    typical = statistics.median(load_samples) * LOAD_HEADROOM_FACTOR
    return _clamp_count(
        fleet, scaling, typical / REQUESTS_PER_ON_DEMAND_ENDPOINT, now
    )


def _clamp_count(
    fleet: FleetState,
    scaling: routeconfig.Scaling,
    endpoints: float,
    now: float,
) -> int:
    limit = scaling.maximum * len(scaling.prices)
    count = max(MIN_ENDPOINTS, math.ceil(endpoints))
    if _is_learning_load(fleet, now):
        count = max(count, fleet.initial_endpoints)
    return min(limit, count)


def _is_learning_load(fleet: FleetState, now: float) -> bool:
    """Returns whether the load was seen for less than ``LOAD_LEARNING_S``."""
    since = fleet.loaded_since
    return since is None or now - since < LOAD_LEARNING_S


def record_reclaim(fleet: FleetState, domain: str, now: float) -> None:
    """Records that a domain's reclaimable endpoints are being reclaimed."""
    key = (domain, True)
    fleet.accepted_orders[key] = AcceptedOrder(0, now)
    fleet.refused_at[key] = now


def decide(
    fleet: FleetState,
    scaling: routeconfig.Scaling,
    ready: dict[PoolKey, int],
    now: float,
    counts: token_sizing.Counts | None = None,
) -> list[Order]:
    """Returns the orders that are due.

    Args:
        fleet: Orders and load so far.
        scaling: Bounds and prices.
        ready: Serving endpoints that are not leaving, by domain and kind.
        now: Seconds.
        counts: Required endpoints by tokens, None to require them by concurrent
            requests.
    """
    _adopt_running(fleet, scaling, ready, now)
    count = reclaimable_count(fleet, scaling, now, counts)
    targets = _reclaimable_targets(fleet, scaling, ready, count, now)
    on_demand_minimum = required_count(fleet, scaling, now, counts)
    targets |= _on_demand_targets(
        fleet, scaling, ready, targets, on_demand_minimum, now
    )
    return [
        Order(domain, reclaimable, target)
        for (domain, reclaimable), target in sorted(targets.items())
        if _is_order_due(
            fleet, scaling, ready, (domain, reclaimable), target, now
        )
    ]


def without_domains(
    scaling: routeconfig.Scaling, domains: frozenset[str]
) -> routeconfig.Scaling:
    """Returns the scaling for the other domains; orders in these stay."""
    prices = {
        domain: price
        for domain, price in scaling.prices.items()
        if domain not in domains
    }
    return scaling._replace(prices=prices)


def _adopt_running(
    fleet: FleetState,
    scaling: routeconfig.Scaling,
    ready: dict[PoolKey, int],
    now: float,
) -> None:
    """Treats running endpoints as ordered where no order is known."""
    fleet.initial_endpoints = fleet.initial_endpoints or sum(ready.values())
    for domain in scaling.prices:
        for reclaimable in (False, True):
            key = (domain, reclaimable)
            if key not in fleet.accepted_orders:
                before_last_boot = now - scaling.boot_s - BOOT_GRACE_S
                fleet.accepted_orders[key] = AcceptedOrder(
                    ready.get(key, 0), before_last_boot
                )


def _reclaimable_targets(
    fleet: FleetState,
    scaling: routeconfig.Scaling,
    ready: dict[PoolKey, int],
    count: int,
    now: float,
) -> dict[PoolKey, int]:
    """Spreads the count over the domains that offer reclaimable endpoints."""
    if not scaling.reclaimable_price:
        return {}
    domains = sorted(scaling.prices, key=scaling.prices.get)
    targets = {}
    for position, domain in enumerate(domains):
        key = (domain, True)
        refused_at = fleet.refused_at.get(key, -math.inf)
        if now - refused_at < REFUSED_ORDER_RETRY_S:
            targets[key] = ready.get(key, 0)
            continue
        share = (count + len(domains) - 1 - position) // len(domains)
        on_demand = fleet.accepted_orders[domain, False].count
        room = scaling.maximum - on_demand
        lower_bound = max(0, scaling.minimum - on_demand)
        targets[key] = max(lower_bound, min(share, room))
    return targets


def _on_demand_targets(
    fleet: FleetState,
    scaling: routeconfig.Scaling,
    ready: dict[PoolKey, int],
    reclaimable: dict[PoolKey, int],
    count: int,
    now: float,
) -> dict[PoolKey, int]:
    """Replaces missing reclaimable endpoints by on-demand ones.

    The count rises for missing endpoints that are not already starting, and
    falls only once reclaimable endpoints serve instead.
    """
    staying = [
        min(ready.get(key, 0), target) for key, target in reclaimable.items()
    ]
    serving = sum(staying) - _endpoints_at_risk(fleet, staying, now)
    starting = sum(
        _starting_count(fleet, scaling, ready, key, now) for key in reclaimable
    )
    domains = sorted(scaling.prices, key=scaling.prices.get)
    current = {
        domain_name: fleet.accepted_orders[domain_name, False].count
        for domain_name in domains
    }
    total = sum(current.values())
    required = max(count - serving - starting, min(total, count - serving), 0)
    targets = dict(current)
    for domain in domains:
        missing = required - sum(targets.values())
        if missing > 0:
            # An order counts until a smaller one is accepted.
            reclaimable_bound = max(
                reclaimable.get((domain, True), 0),
                fleet.accepted_orders[domain, True].count,
                PROBE_ENDPOINTS_PER_DOMAIN if reclaimable else 0,
            )
            room = scaling.maximum - reclaimable_bound - targets[domain]
            targets[domain] += max(0, min(missing, room))
    for domain in reversed(domains):
        excess = sum(targets.values()) - required
        lower_bound = max(0, scaling.minimum - ready.get((domain, True), 0))
        if excess > 0:
            targets[domain] -= max(
                0, min(excess, targets[domain] - lower_bound)
            )
    for domain in domains:
        lower_bound = scaling.minimum - reclaimable.get((domain, True), 0)
        targets[domain] = max(targets[domain], lower_bound)
    return {(domain, False): target for domain, target in targets.items()}


def _endpoints_at_risk(
    fleet: FleetState, staying: list[int], now: float
) -> int:
    """Returns how many endpoints the next reclaim may remove.

    While reclaimable endpoints are unavailable, the loss of a second domain
    cannot be made up in time: a start takes longer than the notice period.
    """
    refused_at = max(fleet.refused_at.values(), default=-math.inf)
    return (
        max(staying, default=0) if now - refused_at < SHORTAGE_WINDOW_S else 0
    )


def _starting_count(
    fleet: FleetState,
    scaling: routeconfig.Scaling,
    ready: dict[PoolKey, int],
    key: PoolKey,
    now: float,
) -> int:
    """Returns the number of ordered endpoints that may still be starting."""
    accepted = fleet.accepted_orders[key]
    if now - accepted.accepted_at > scaling.boot_s + BOOT_GRACE_S:
        return 0
    return max(0, accepted.count - ready.get(key, 0))


def _is_order_due(
    fleet: FleetState,
    scaling: routeconfig.Scaling,
    ready: dict[PoolKey, int],
    key: PoolKey,
    target: int,
    now: float,
) -> bool:
    """Returns whether an order has to be sent or resent."""
    accepted = fleet.accepted_orders[key]
    if target < accepted.count:
        return True
    refused_at = fleet.refused_at.get(key, -math.inf)
    if now - refused_at < REFUSED_ORDER_RETRY_S:
        return False
    if accepted.count != target:
        return True
    overdue = now - accepted.accepted_at > scaling.boot_s + BOOT_GRACE_S
    return overdue and ready.get(key, 0) < target
