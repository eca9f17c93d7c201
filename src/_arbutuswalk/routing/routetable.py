"""Looking routes, keys and upstreams up in a configuration of routes."""

import random

from _arbutuswalk.state import routeconfig


class RouteTable:
    """A configuration of routes, indexed.

    Attributes:
        config: The configuration.
        routes: Route by host and prefix.
        holders: Workspace by key.
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
    """Returns the host's route with the longest prefix of ``path``."""
    end = len(path)
    while (end := path.rfind("/", 0, end)) >= 0:
        route = table.routes.get((host, path[: end + 1]))
        if route is not None:
            return route
    return None


def pick_target(route: routeconfig.Route, rng: random.Random) -> str:
    """Draws the upstream of a request by the route's weights."""
    if len(route.targets) == 1:
        return route.targets[0].upstream
    weights = [target.weight for target in route.targets]
    return rng.choices(route.targets, weights)[0].upstream
