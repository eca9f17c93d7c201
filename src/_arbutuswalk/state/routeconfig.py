"""A configuration of routes: where requests go and who may send them.

Beside the inventory, which operators change by compare-and-set, stands this
configuration, of which the highest version wins. It arrives decoded; the
functions here decide whether it is valid.
"""

from typing import Any
from typing import NamedTuple

IDEMPOTENT = "idempotent"
"""Kind of a route whose requests may run more than once."""
ONCE = "once"
"""Kind of a route whose requests may run at most once."""
STREAM = "stream"
"""Kind of a route whose answers are event streams."""
KINDS = (IDEMPOTENT, ONCE, STREAM)


class Target(NamedTuple):
    """One upstream of a route and its part of the traffic."""

    upstream: str
    weight: int


class Route(NamedTuple):
    """Requests for one host and path prefix.

    Attributes:
        name: Unique name.
        host: Host header, lower case.
        prefix: Path prefix, with a slash at both ends.
        kind: One of ``KINDS``.
        timeout_s: Longest time that a caller is kept waiting.
        objective_s: Time within which an answer is on time.
        priority: Rank, 0 first.
        targets: Upstreams and their weights.
        max_attempts: Endpoints on which one request may run.
        anonymous: Whether callers need no key.
        affinity: Whether requests describe their prompts.
        resumable: Whether a stream may be continued on another endpoint.
        gap_s: Longest pause between events that is on time, 0 if none is set.
    """

    name: str
    host: str
    prefix: str
    kind: str
    timeout_s: float
    objective_s: float
    priority: int
    targets: tuple[Target, ...]
    max_attempts: int
    anonymous: bool
    affinity: bool
    resumable: bool
    gap_s: float

    @property
    def repeatable(self) -> bool:
        """Whether a request may run on a second endpoint after the first."""
        return self.kind == IDEMPOTENT or self.resumable


class Engine(NamedTuple):
    """What is known of the model engines of an upstream.

    Attributes:
        slots: Requests in one batch.
        cache_tokens: Tokens that running requests and cached parts share.
    """

    slots: int
    cache_tokens: int


class Scaling(NamedTuple):
    """Bounds and prices of ordered endpoints.

    Attributes:
        minimum: Fewest endpoints in a failure domain.
        maximum: Most endpoints in a failure domain.
        boot_s: Seconds until a new endpoint serves.
        reclaimable_price: Price of a reclaimable endpoint as a part of the
            price of another, 0 if there are none.
        prices: Price of an endpoint by failure domain.
    """

    minimum: int
    maximum: int
    boot_s: float
    reclaimable_price: float
    prices: dict[str, float]


class Upstream(NamedTuple):
    """A named group of endpoints.

    Attributes:
        connection_limit: Connections an endpoint accepts from all callers.
    """

    name: str
    connection_limit: int
    engine: Engine | None
    scaling: Scaling | None


class Workspace(NamedTuple):
    """A workspace: its keys, rank and quota.

    Attributes:
        priority: Rank that goes before the route's, or None.
        by_tokens: Whether the quota counts tokens instead of requests.
        default_tokens: What a request without token counts counts as.
        rate_per_s: Quota a second, 0 for none.
        burst: Quota that may be used at once.
    """

    name: str
    keys: tuple[str, ...]
    priority: int | None
    by_tokens: bool
    default_tokens: int
    rate_per_s: float
    burst: float


class Limits(NamedTuple):
    """Bounds on what callers send; 0 for none."""

    max_body_bytes: int
    idle_timeout_s: float


class RouteConfig(NamedTuple):
    """The whole configuration of one version."""

    version: int
    routes: tuple[Route, ...]
    upstreams: tuple[Upstream, ...]
    workspaces: tuple[Workspace, ...]
    limits: Limits


def check(config: RouteConfig) -> list[str]:
    """Returns every reason why ``config`` is not valid."""
    problems = []
    names = {upstream.name for upstream in config.upstreams}
    if len(names) != len(config.upstreams):
        problems.append("two upstreams share a name")
    places = set()
    for route in config.routes:
        problems += _check_route(route, names)
        place = (route.host, route.prefix)
        if place in places:
            problems.append(f"route {route.name}: place is taken: {place}")
        places.add(place)
    return problems + _check_workspaces(config.workspaces)


def _check_route(route: Route, names: set[str]) -> list[str]:
    where = f"route {route.name}"
    problems = []
    if route.kind not in KINDS:
        problems.append(f"{where}: unknown kind {route.kind!r}")
    if route.timeout_s <= 0:
        problems.append(f"{where}: time-out must be above 0")
    if any(target.weight < 0 for target in route.targets):
        problems.append(f"{where}: negative weight")
    if sum(target.weight for target in route.targets) <= 0:
        problems.append(f"{where}: weights add up to 0")
    if not (route.prefix.startswith("/") and route.prefix.endswith("/")):
        problems.append(f"{where}: prefix {route.prefix!r} needs slashes")
    problems += [
        f"{where}: unknown upstream {target.upstream!r}"
        for target in route.targets
        if target.upstream not in names
    ]
    return problems


def _check_workspaces(workspaces: tuple[Workspace, ...]) -> list[str]:
    problems = []
    holders: dict[str, str] = {}
    for workspace in workspaces:
        for key in workspace.keys:
            holder = holders.setdefault(key, workspace.name)
            if holder != workspace.name:
                problems.append(
                    f"workspaces {holder} and {workspace.name} share a key"
                )
    return problems


def to_json(config: RouteConfig) -> dict[str, Any]:
    """Returns JSON values; named tuples become lists."""
    return config._asdict()


def from_json(values: dict[str, Any]) -> RouteConfig:
    """Parses ``to_json``'s result after a round trip through JSON."""
    return RouteConfig(
        version=values["version"],
        routes=tuple(map(_route, values["routes"])),
        upstreams=tuple(map(_upstream, values["upstreams"])),
        workspaces=tuple(
            Workspace(name, tuple(keys), *rest)
            for name, keys, *rest in values["workspaces"]
        ),
        limits=Limits(*values["limits"]),
    )


def _route(fields: list[Any]) -> Route:
    route = Route(*fields)
    targets = tuple(Target(*target) for target in route.targets)
    return route._replace(targets=targets)


def _upstream(fields: list[Any]) -> Upstream:
    name, limit, engine, scaling = fields
    return Upstream(
        name,
        limit,
        Engine(*engine) if engine else None,
        Scaling(*scaling) if scaling else None,
    )
