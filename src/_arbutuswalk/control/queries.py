"""Queries about routes, endpoints, rollouts, evacuations and usage."""

from collections.abc import Callable
from typing import Any

from _arbutuswalk.control import discovery as discoveries
from _arbutuswalk.state import evacuations
from _arbutuswalk.state import routeconfig
from _arbutuswalk.state import tables as rows


def make_queries(
    tables: rows.Tables, discovery: discoveries.Discovery
) -> dict[str, Callable[[str], Any]]:
    """Returns the function that answers each query, by query name."""
    return {
        "published": lambda _: _published(tables),
        "routes": lambda _: _routes(tables),
        "endpoints": lambda _: _endpoints(discovery),
        "rollout": lambda upstream: _rollout(tables, upstream),
        "rollouts": lambda _: {
            upstream: row._asdict() for upstream, row in tables.rollouts.items()
        },
        "evacuation": lambda domain: evacuations.find(tables, domain)._asdict(),
        "usage": lambda _: tables.usage,
    }


def _published(tables: rows.Tables) -> dict[str, Any]:
    return {"version": tables.routes_version, "source": tables.routes_source}


def _routes(tables: rows.Tables) -> dict[str, Any]:
    """Returns the routes without the workspaces, whose keys are secret."""
    if tables.routes is None:
        return {"version": 0, "routes": []}
    config = routeconfig.from_json(tables.routes)
    described = [
        route._replace(
            targets=", ".join(f"{t.upstream} {t.weight}" for t in route.targets)
        )._asdict()
        for route in config.routes
    ]
    return {"version": config.version, "routes": described}


def _endpoints(discovery: discoveries.Discovery) -> dict[str, Any]:
    loads = discovery.loads()
    now = discovery.now()
    return {
        name: {
            **row.endpoint._asdict(),
            "running": loads.get(name, (0, 0))[0],
            "age_s": now - row.announced_at,
        }
        for name, row in discovery.directory.rows.items()
    }


def _rollout(tables: rows.Tables, upstream: str) -> dict[str, Any]:
    row = tables.rollouts.get(upstream)
    return row._asdict() if row is not None else {}
