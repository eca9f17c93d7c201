"""Collects what an upstream is asked for, and records what that requires."""

from collections.abc import Iterable

from _arbutuswalk.base import clock
from _arbutuswalk.base import events
from _arbutuswalk.control import discovery as discoveries
from _arbutuswalk.control import entry_reports
from _arbutuswalk.control import process
from _arbutuswalk.routing import directory
from _arbutuswalk.state import routeconfig
from _arbutuswalk.state import token_sizing

REQUESTS = "requests"
"""Sizes upstreams by concurrent requests."""
TOKENS = "tokens"
"""Sizes upstreams by tokens asked, measured speed and objectives."""
METHODS = (REQUESTS, TOKENS)
METRIC = "required_endpoints"
MIN_RECORD_INTERVAL_S = 1.0
"""Least time between two records of an upstream."""


def is_method(value: object) -> bool:
    """Returns whether a setting is one of ``METHODS``."""
    return isinstance(value, str) and value in METHODS


class Sizings:
    """Sizing of each upstream, kept while this process holds the duty.

    Attributes:
        by_upstream: Sizing by upstream name.
        logged: What was last recorded, by upstream name.
        logged_at: When it was, in seconds.
    """

    def __init__(self):
        self.by_upstream: dict[str, token_sizing.Sizing] = {}
        self.logged: dict[str, tuple[int, int, str] | None] = {}
        self.logged_at: dict[str, float] = {}


def compute_counts(
    components: process.Components,
    sizings: Sizings,
    config: routeconfig.RouteConfig,
    upstream: routeconfig.Upstream,
    serving: list[directory.Row],
    loads: entry_reports.Loads,
) -> token_sizing.Counts | None:
    """Returns the endpoints that an upstream requires, None if unknown.

    Args:
        components: The control process.
        sizings: Recorded loads.
        config: Route configuration.
        upstream: The upstream, with scaling.
        serving: Its serving endpoints.
        loads: Loads that all entries report.
    """
    now = components.member.now()
    discovery = components.discovery
    sizing = sizings.by_upstream.setdefault(
        upstream.name, token_sizing.Sizing()
    )
    speed = discovery.speeds.typical(serving, now)
    token_sizing.record(
        sizing,
        sample_load(discovery.directory, upstream.name, serving, loads),
        token_sizing.Speed(*speed) if speed else None,
        now,
    )
    objectives = find_objectives(config, upstream, serving)
    counts = token_sizing.update(
        sizing,
        objectives,
        upstream.scaling,
        now,
        is_complete=not _has_silent_entries(discovery, now),
    )
    _record(components, sizings, upstream.name, objectives)
    return counts


def _has_silent_entries(discovery: discoveries.Discovery, now: float) -> bool:
    """Returns whether the load of an entry may be missing."""
    since = now - discoveries.ENTRY_SILENCE_TIMEOUT_S
    return entry_reports.count(discovery.entries, since).silent > 0


def sample_load(
    endpoints: directory.Directory,
    upstream: str,
    serving: list[directory.Row],
    loads: entry_reports.Loads,
) -> token_sizing.Sample:
    """Returns the load of an upstream, that of leaving endpoints included."""
    own = [
        load
        for endpoint_id, load in loads.items()
        if (row := endpoints.rows.get(endpoint_id)) is not None
        and row.endpoint.upstream == upstream
    ]
    return token_sizing.Sample(
        running=sum(running for running, _ in own),
        reading=sum(tokens > 0 for _, tokens in own),
        waiting_tokens=sum(tokens for _, tokens in own),
        serving=len(serving),
    )


def find_objectives(
    config: routeconfig.RouteConfig,
    upstream: routeconfig.Upstream,
    serving: list[directory.Row],
) -> token_sizing.Objectives:
    """Returns the strictest objectives of the routes to an upstream.

    The objective of a route without streams is no time to a first event.
    """
    routes = [
        route
        for route in config.routes
        if route.kind == routeconfig.STREAM
        and any(
            target.upstream == upstream.name and target.weight > 0
            for target in route.targets
        )
    ]
    engine = upstream.engine
    slots = min((row.endpoint.slots for row in serving), default=0)
    return token_sizing.Objectives(
        first_event_s=_strictest(route.objective_s for route in routes),
        gap_s=_strictest(route.gap_s for route in routes),
        slots=max(0, engine.slots if engine else slots),
        is_model=engine is not None,
    )


def remove_metrics(components: process.Components) -> None:
    """Removes the metrics of a process that lost the duty."""
    components.discovery.metrics.replace_values(METRIC, {})


def _strictest(objectives_s: Iterable[float]) -> float:
    return min((value for value in objectives_s if value > 0), default=0.0)


def _record(
    components: process.Components,
    sizings: Sizings,
    upstream: str,
    objectives: token_sizing.Objectives,
) -> None:
    """Records a change of the required counts, and all as metrics."""
    sizing = sizings.by_upstream[upstream]
    counts, speed = sizing.counts, sizing.speed or token_sizing.Speed(0.0)
    rounded = counts and (
        token_sizing.whole(counts.reclaimable),
        token_sizing.whole(counts.on_demand),
        counts.bound,
    )
    now = components.member.now()
    elapsed_s = now - sizings.logged_at.get(upstream, float("-inf"))
    if (
        rounded == sizings.logged.get(upstream)
        or elapsed_s < MIN_RECORD_INTERVAL_S
    ):
        return
    sizings.logged[upstream], sizings.logged_at[upstream] = rounded, now
    reclaimable, on_demand, bound = rounded or (0, 0, "unknown speed")
    events.record(
        events.Event.SIZING_CHANGED,
        upstream,
        reclaimable,
        on_demand,
        bound,
        round(speed.read_s * clock.MS_PER_S, 4),
        round(speed.pace_s * clock.MS_PER_S, 2),
        round(objectives.first_event_s * clock.MS_PER_S),
    )
    components.discovery.metrics.replace_values(
        METRIC,
        {
            f'upstream="{name}",kind="{kind}",bound="{last[2]}"': count
            for name, last in sizings.logged.items()
            if last is not None
            for kind, count in (
                ("reclaimable", last[0]),
                ("on-demand", last[1]),
            )
        },
    )
