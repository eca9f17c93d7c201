"""How many endpoints of which kind an upstream needs in each failure domain.

Reclaimable endpoints cost a small part of the others but may go, a whole
failure domain at once, on a few seconds of notice. They carry the load, spread
over the domains; endpoints that stay fill in for those that are missing, from
the moment at which the notice comes until reclaimable ones serve again.
"""

import collections
import math
import statistics
from typing import NamedTuple

from _arbutuswalk.state import routeconfig

REQUESTS_PER_ENDPOINT = 4.0
"""Requests under way that one model engine is meant to have: above it the
prompts of others delay the first event of each beyond its objective."""
ON_DEMAND_REQUESTS = 6.0
"""The same for endpoints that are filled in at full price: the load is served
with longer waits rather than at five times the price."""
SWING = 1.25
"""Load to be ready for over the usual one, where a surplus costs full price:
the usual one does not follow the short peaks that a loss itself makes."""
PROBED = 1
"""Places that on-demand endpoints leave in a domain, so that orders show when
there are reclaimable ones again."""
SCARCE_S = 5.0
"""Time after a refused order in which reclaimable endpoints count as not to be
had: some tries of ``REFUSED_PAUSE_S``."""
LOAD_WINDOW_S = 12.0
"""Time over whose peak the number is chosen: three times a start-up."""
LEARN_S = 5.0
"""Time with load before fewer endpoints than at the start are ordered."""
START_SURPLUS = 1.7
"""Reclaimable endpoints over those found at first, until the load is known:
the traffic of a busy day against that of a quiet one."""
LEAST_ENDPOINTS = 2
"""Fewest endpoints of an upstream, so that losing one is survived."""
REFUSED_PAUSE_S = 2.0
"""Pause after a refused order in a domain before the next."""
BOOT_SLACK_S = 2.0
"""Time beside the start-up after which an ordered endpoint is missing."""

Key = tuple[str, bool]
"""Failure domain, and whether reclaimable."""


class Order(NamedTuple):
    """A number of endpoints of one kind in one failure domain."""

    domain: str
    reclaimable: bool
    count: int


class Placed(NamedTuple):
    """An order that was accepted."""

    count: int
    at: float


class Fleet:
    """Orders and load of one upstream, as its holder knows them.

    Attributes:
        placed: Last accepted order by domain and kind.
        refused_at: When an order was last refused, by domain and kind.
        loads: Times and requests under way, oldest first.
        loaded_since: When the first load was seen, None before.
        initial: Endpoints that were there at first, 0 before they are known.
    """

    def __init__(self):
        self.placed: dict[Key, Placed] = {}
        self.refused_at: dict[Key, float] = {}
        self.loads: collections.deque[tuple[float, int]] = collections.deque()
        self.loaded_since: float | None = None
        self.initial = 0


def note_load(fleet: Fleet, running: int, now: float) -> None:
    """Notes how many requests are under way."""
    fleet.loads.append((now, running))
    while fleet.loads[0][0] < now - LOAD_WINDOW_S:
        fleet.loads.popleft()
    if running and fleet.loaded_since is None:
        fleet.loaded_since = now


def note_outcome(
    fleet: Fleet, order: Order, *, accepted: bool, now: float
) -> None:
    """Notes whether an order was accepted."""
    key = (order.domain, order.reclaimable)
    if accepted:
        fleet.placed[key] = Placed(order.count, now)
        fleet.refused_at.pop(key, None)
    else:
        fleet.refused_at[key] = now


def surplus(fleet: Fleet, scaling: routeconfig.Scaling, now: float) -> int:
    """Returns the number of reclaimable endpoints, ready for load peaks."""
    peak = max((running for _, running in fleet.loads), default=0)
    unknown = fleet.initial * START_SURPLUS if _learns(fleet, now) else 0
    wanted = max(unknown, peak / REQUESTS_PER_ENDPOINT)
    return _bounded(fleet, scaling, wanted, now)


def needed(fleet: Fleet, scaling: routeconfig.Scaling, now: float) -> int:
    """Returns the number of endpoints that there must be at any price."""
    loads = [running for _, running in fleet.loads] or [0]
    usual = statistics.median(loads) * SWING
    return _bounded(fleet, scaling, usual / ON_DEMAND_REQUESTS, now)


def _bounded(
    fleet: Fleet, scaling: routeconfig.Scaling, endpoints: float, now: float
) -> int:
    most = scaling.maximum * len(scaling.prices)
    count = max(LEAST_ENDPOINTS, math.ceil(endpoints))
    if _learns(fleet, now):
        count = max(count, fleet.initial)
    return min(most, count)


def _learns(fleet: Fleet, now: float) -> bool:
    """Tells whether the load has not been seen for long enough."""
    since = fleet.loaded_since
    return since is None or now - since < LEARN_S


def note_reclaim(fleet: Fleet, domain: str, now: float) -> None:
    """Notes that the reclaimable endpoints of a domain are being taken."""
    key = (domain, True)
    fleet.placed[key] = Placed(0, now)
    fleet.refused_at[key] = now


def decide(
    fleet: Fleet,
    scaling: routeconfig.Scaling,
    ready: dict[Key, int],
    now: float,
) -> list[Order]:
    """Returns the orders that are due.

    Args:
        fleet: Orders and load so far.
        scaling: Bounds and prices.
        ready: Endpoints that serve and stay, by domain and kind.
        now: Seconds.
    """
    _adopt(fleet, scaling, ready, now)
    count = surplus(fleet, scaling, now)
    targets = _reclaimable_targets(fleet, scaling, ready, count, now)
    least = needed(fleet, scaling, now)
    targets |= _on_demand_targets(fleet, scaling, ready, targets, least, now)
    return [
        Order(domain, reclaimable, target)
        for (domain, reclaimable), target in sorted(targets.items())
        if _is_due(fleet, scaling, ready, (domain, reclaimable), target, now)
    ]


def _adopt(
    fleet: Fleet,
    scaling: routeconfig.Scaling,
    ready: dict[Key, int],
    now: float,
) -> None:
    """Takes what runs for what was ordered, where no order is known."""
    fleet.initial = fleet.initial or sum(ready.values())
    for domain in scaling.prices:
        for kind in (False, True):
            key = (domain, kind)
            if key not in fleet.placed:
                long_ago = now - scaling.boot_s - BOOT_SLACK_S
                fleet.placed[key] = Placed(ready.get(key, 0), long_ago)


def _reclaimable_targets(
    fleet: Fleet,
    scaling: routeconfig.Scaling,
    ready: dict[Key, int],
    count: int,
    now: float,
) -> dict[Key, int]:
    """Spreads the number over the domains that have reclaimable endpoints."""
    if not scaling.reclaimable_price:
        return {}
    domains = sorted(scaling.prices, key=scaling.prices.get)
    targets = {}
    for place, domain in enumerate(domains):
        key = (domain, True)
        refused_at = fleet.refused_at.get(key, -math.inf)
        if now - refused_at < REFUSED_PAUSE_S:
            targets[key] = ready.get(key, 0)
            continue
        share = (count + len(domains) - 1 - place) // len(domains)
        on_demand = fleet.placed[domain, False].count
        room = scaling.maximum - on_demand
        least = max(0, scaling.minimum - on_demand)
        targets[key] = max(least, min(share, room))
    return targets


def _on_demand_targets(
    fleet: Fleet,
    scaling: routeconfig.Scaling,
    ready: dict[Key, int],
    reclaimable: dict[Key, int],
    count: int,
    now: float,
) -> dict[Key, int]:
    """Fills in for reclaimable endpoints that are missing.

    More are ordered for those that nobody waits for; fewer only once
    reclaimable ones serve in their place.
    """
    stay = [
        min(ready.get(key, 0), target) for key, target in reclaimable.items()
    ]
    serving = sum(stay) - _at_risk(fleet, stay, now)
    coming = sum(
        _coming(fleet, scaling, ready, key, now) for key in reclaimable
    )
    domains = sorted(scaling.prices, key=scaling.prices.get)
    current = {d: fleet.placed[d, False].count for d in domains}
    total = sum(current.values())
    wanted = max(count - serving - coming, min(total, count - serving), 0)
    targets = dict(current)
    for domain in domains:
        missing = wanted - sum(targets.values())
        if missing > 0:
            # What was ordered counts until a smaller order is accepted.
            others = max(
                reclaimable.get((domain, True), 0),
                fleet.placed[domain, True].count,
                PROBED if reclaimable else 0,
            )
            room = scaling.maximum - others - targets[domain]
            targets[domain] += max(0, min(missing, room))
    for domain in reversed(domains):
        spare = sum(targets.values()) - wanted
        least = max(0, scaling.minimum - ready.get((domain, True), 0))
        if spare > 0:
            targets[domain] -= max(0, min(spare, targets[domain] - least))
    for domain in domains:
        least = scaling.minimum - reclaimable.get((domain, True), 0)
        targets[domain] = max(targets[domain], least)
    return {(domain, False): target for domain, target in targets.items()}


def _at_risk(fleet: Fleet, stay: list[int], now: float) -> int:
    """Returns the endpoints that the next reclaim may take for long.

    While no reclaimable ones are to be had, a second domain that goes cannot
    be replaced in time: a start takes longer than the notice.
    """
    refused_at = max(fleet.refused_at.values(), default=-math.inf)
    return max(stay, default=0) if now - refused_at < SCARCE_S else 0


def _coming(
    fleet: Fleet,
    scaling: routeconfig.Scaling,
    ready: dict[Key, int],
    key: Key,
    now: float,
) -> int:
    """Returns how many ordered endpoints may still be starting."""
    placed = fleet.placed[key]
    if now - placed.at > scaling.boot_s + BOOT_SLACK_S:
        return 0
    return max(0, placed.count - ready.get(key, 0))


def _is_due(
    fleet: Fleet,
    scaling: routeconfig.Scaling,
    ready: dict[Key, int],
    key: Key,
    target: int,
    now: float,
) -> bool:
    """Tells whether an order has to be sent, or sent again."""
    placed = fleet.placed[key]
    if target < placed.count:
        return True
    refused_at = fleet.refused_at.get(key, -math.inf)
    if now - refused_at < REFUSED_PAUSE_S:
        return False
    if placed.count != target:
        return True
    overdue = now - placed.at > scaling.boot_s + BOOT_SLACK_S
    return overdue and ready.get(key, 0) < target
