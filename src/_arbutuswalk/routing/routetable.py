"""Lookup of routes, keys and upstreams in a route configuration."""

import random

from _arbutuswalk.state import routeconfig


class RouteTable:
    """An indexed route configuration.

    Attributes:
        config: The configuration.
        routes: Route by host and path prefix.
        holders: Workspace by API key.
    """

    def __init__(self, *, config: routeconfig.RouteConfig):
        self.config = config
        self.routes = {
            (route.host, route.prefix): route for route in config.routes
        }
        self.holders = {
            key: workspace
            for workspace in config.workspaces
            for key in workspace.keys
        }


def find(table: RouteTable, host: str, path: str) -> routeconfig.Route | None:
    """Returns the host's route with the longest matching path prefix."""
    end = len(path)
    while (end := path.rfind("/", 0, end)) >= 0:
        route = table.routes.get((host, path[: end + 1]))
        if route is not None:
            return route
    return None


def pick_target(route: routeconfig.Route, rng: random.Random) -> str:
    """Returns a random upstream, drawn by the weights of the route."""
    if len(route.targets) == 1:
        return route.targets[0].upstream
    weights = [target.weight for target in route.targets]
    return rng.choices(route.targets, weights)[0].upstream
