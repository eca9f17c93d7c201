"""Route configuration: routes, upstreams, workspaces and limits.

It is separate from the inventory: the inventory is changed by compare-and-set,
while the route configuration with the highest version wins. This module
validates decoded configurations and converts them to and from JSON.
"""

from typing import Any
from typing import NamedTuple

from _arbutuswalk.base import rows

IDEMPOTENT = "idempotent"
"""Kind of a route whose requests may run more than once."""
ONCE = "once"
"""Kind of a route whose requests may run at most once."""
STREAM = "stream"
"""Kind of a route whose responses are event streams."""
ROUTE_KINDS = (IDEMPOTENT, ONCE, STREAM)


class Target(NamedTuple):
    """One upstream of a route and its traffic weight."""

    upstream: str
    weight: int


class Route(NamedTuple):
    """Routing of the requests for one host and path prefix.

    Attributes:
        name: Unique name.
        host: Value of the Host header in lower case.
        prefix: Path prefix, with a slash at both ends.
        kind: One of ``ROUTE_KINDS``.
        timeout_s: Maximum time until the response.
        objective_s: Latency objective of a response.
        priority: Priority; 0 is the highest.
        targets: Upstreams and their weights.
        max_attempts: Maximum endpoints on which one request may run.
        anonymous: Whether callers may omit the API key.
        affinity: Whether requests carry descriptions of their prompts.
        resumable: Whether a stream may be resumed on another endpoint.
        gap_s: Objective for the pause between events, 0 for none.
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
        """Whether a request may be repeated on another endpoint."""
        return self.kind == IDEMPOTENT or self.resumable


class Engine(NamedTuple):
    """Capacity of each model engine of an upstream.

    Attributes:
        slots: Maximum requests in one batch.
        cache_tokens: Cache size in tokens, shared by running requests and
            cached prompt parts.
    """

    slots: int
    cache_tokens: int


class Scaling(NamedTuple):
    """Scaling bounds and endpoint prices of an upstream.

    Attributes:
        minimum: Minimum endpoints in a failure domain.
        maximum: Maximum endpoints in a failure domain.
        boot_s: Seconds until a new endpoint serves.
        reclaimable_price: Price of a reclaimable endpoint as a fraction of
            the on-demand price, 0 if there are none.
        prices: On-demand price of an endpoint by failure domain.
    """

    minimum: int
    maximum: int
    boot_s: float
    reclaimable_price: float
    prices: dict[str, float]


class Upstream(NamedTuple):
    """A named group of endpoints.

    Attributes:
        connection_limit: Maximum connections to one endpoint from all callers.
    """

    name: str
    connection_limit: int
    engine: Engine | None
    scaling: Scaling | None


class WarmUp(NamedTuple):
    """What the endpoints of an upstream tolerate while they warm up.

    Attributes:
        upstream: Name of the upstream.
        duration_s: Longest warm-up in seconds.
        rate_per_s: Requests per second that an endpoint tolerates from all
            callers.
    """

    upstream: str
    duration_s: float
    rate_per_s: float


class Workspace(NamedTuple):
    """A workspace: its API keys, priority and quota.

    Attributes:
        priority: Priority that overrides the route's, or None.
        by_tokens: Whether the quota counts tokens instead of requests.
        default_tokens: Cost of a request that states no token count.
        rate_per_s: Quota per second, 0 for no quota.
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
    """Limits on callers' requests and connections; 0 for none."""

    max_body_bytes: int
    idle_timeout_s: float


class HeadLimits(NamedTuple):
    """Limits on the heads of callers' requests; 0 for the entry's default.

    Attributes:
        max_bytes: Maximum size of the headers.
        timeout_s: Maximum time from the first byte of a head to its end.
    """

    max_bytes: int = 0
    timeout_s: float = 0.0


class RouteConfig(NamedTuple):
    """A complete route configuration of one version.

    Attributes:
        head_limits: Separate from ``limits``, so that processes of a release
            without it can read a stored configuration.
        requires_keys: Whether requests on routes that are not anonymous need
            the key of a workspace, also if no workspace has one.
        warm_ups: Limits of upstreams during warm-ups, separate from
            ``upstreams`` for the same reason.
    """

    version: int
    routes: tuple[Route, ...]
    upstreams: tuple[Upstream, ...]
    workspaces: tuple[Workspace, ...]
    limits: Limits
    head_limits: HeadLimits = HeadLimits()
    requires_keys: bool = True
    warm_ups: tuple[WarmUp, ...] = ()


def is_newer(version: int | None, than: int | None) -> bool:
    """Returns whether a version is newer; None stands for no configuration."""
    if version is None:
        return False
    return than is None or version > than


def newer_of(first: int | None, second: int | None) -> int | None:
    """Returns the newer of two versions."""
    return first if is_newer(first, second) else second


def check(config: RouteConfig) -> list[str]:
    """Returns all problems of ``config``; empty if it is valid."""
    problems = []
    upstream_names = {upstream.name for upstream in config.upstreams}
    if len(upstream_names) != len(config.upstreams):
        problems.append("two upstreams share a name")
    taken_prefixes = set()
    for route in config.routes:
        problems += _check_route(route, upstream_names)
        host_and_prefix = (route.host, route.prefix)
        if host_and_prefix in taken_prefixes:
            problems.append(
                f"route {route.name}: place is taken: {host_and_prefix}"
            )
        taken_prefixes.add(host_and_prefix)
    return problems + _check_workspaces(config.workspaces)


def _check_route(route: Route, upstream_names: set[str]) -> list[str]:
    location = f"route {route.name}"
    problems = []
    if route.kind not in ROUTE_KINDS:
        problems.append(f"{location}: unknown kind {route.kind!r}")
    if route.timeout_s <= 0:
        problems.append(f"{location}: time-out must be above 0")
    if any(target.weight < 0 for target in route.targets):
        problems.append(f"{location}: negative weight")
    if sum(target.weight for target in route.targets) <= 0:
        problems.append(f"{location}: weights add up to 0")
    if not (route.prefix.startswith("/") and route.prefix.endswith("/")):
        problems.append(f"{location}: prefix {route.prefix!r} needs slashes")
    problems += [
        f"{location}: unknown upstream {target.upstream!r}"
        for target in route.targets
        if target.upstream not in upstream_names
    ]
    return problems


def _check_workspaces(workspaces: tuple[Workspace, ...]) -> list[str]:
    problems = []
    owners: dict[str, str] = {}
    for workspace in workspaces:
        for key in workspace.keys:
            owner = owners.setdefault(key, workspace.name)
            if owner != workspace.name:
                problems.append(
                    f"workspaces {owner} and {workspace.name} share a key"
                )
    return problems


def to_json(config: RouteConfig) -> dict[str, Any]:
    """Returns JSON values; encoding turns named tuples into lists."""
    return config._asdict()


def from_json(values: dict[str, Any]) -> RouteConfig:
    """Parses the result of ``to_json`` after JSON decoding.

    Fields that only a later build knows are ignored.
    """
    return RouteConfig(
        version=values["version"],
        routes=tuple(map(_parse_route, values["routes"])),
        upstreams=tuple(map(_parse_upstream, values["upstreams"])),
        workspaces=tuple(
            rows.parse(Workspace, (name, tuple(keys), *rest))
            for name, keys, *rest in values["workspaces"]
        ),
        limits=rows.parse(Limits, values["limits"]),
        head_limits=rows.parse(HeadLimits, values.get("head_limits", ())),
        requires_keys=values.get("requires_keys", bool(values["workspaces"])),
        warm_ups=tuple(
            rows.parse(WarmUp, fields) for fields in values.get("warm_ups", ())
        ),
    )


def _parse_route(fields: list[Any]) -> Route:
    route = rows.parse(Route, fields)
    targets = tuple(rows.parse(Target, target) for target in route.targets)
    return route._replace(targets=targets)


def _parse_upstream(fields: list[Any]) -> Upstream:
    name, connection_limit, engine, scaling, *_ = fields
    return Upstream(
        name,
        connection_limit,
        rows.parse(Engine, engine) if engine else None,
        rows.parse(Scaling, scaling) if scaling else None,
    )
