"""Lookup of routes, keys and upstreams in a route configuration."""

import random

from _arbutuswalk.state import routeconfig


class RouteTable:
    """An indexed route configuration.

    Attributes:
        config: The configuration.
        routes_by_prefix: Route by host and path prefix.
        workspaces_by_key: Workspace by API key.
        connection_limits: Connections that an endpoint accepts, by upstream.
        warm_ups: What endpoints tolerate while they warm up, by upstream.
    """

    def __init__(self, *, config: routeconfig.RouteConfig):
        self.config = config
        self.routes_by_prefix = {
            (route.host, route.prefix): route for route in config.routes
        }
        self.workspaces_by_key = {
            key: workspace
            for workspace in config.workspaces
            for key in workspace.keys
            if key  # an empty key is that of a request without one
        }
        self.connection_limits = {
            upstream.name: upstream.connection_limit
            for upstream in config.upstreams
        }
        self.warm_ups = {
            warm_up.upstream: warm_up for warm_up in config.warm_ups
        }


def find_route(
    table: RouteTable, host: str, path: str
) -> routeconfig.Route | None:
    """Returns the host's route with the longest matching path prefix."""
    prefix_end = len(path)
    while (prefix_end := path.rfind("/", 0, prefix_end)) >= 0:
        route = table.routes_by_prefix.get((host, path[: prefix_end + 1]))
        if route is not None:
            return route
    return None


def pick_target(route: routeconfig.Route, rng: random.Random) -> str:
    """Returns a random upstream, drawn by the weights of the route."""
    if len(route.targets) == 1:
        return route.targets[0].upstream
    weights = [target.weight for target in route.targets]
    return rng.choices(route.targets, weights)[0].upstream
