"""The inventory's shape and its checks.

The inventory is operators' input: every problem is reported with the path of
the key, the value and what would be accepted.
"""

import hashlib
import re
from typing import Any
from typing import NotRequired
from typing import TypedDict

from _arbutuswalk.base import settings

KINDS = ("model", "service")
MODEL_ROUTES = ("chat", "completions")
NAME = re.compile(r"[a-z0-9][a-z0-9._-]{0,62}")
MAX_ROUTES = 64


class Route(TypedDict):
    """One route of a plain service.

    ``path`` may end in ``*``. ``status`` names a path where ``{key}`` stands
    for the idempotency key and where the service tells a call's outcome.
    """

    name: str
    path: str
    methods: list[str]
    repeatable: bool
    status: NotRequired[str]


class Upstream(TypedDict):
    """One upstream: owner, version and where it may run."""

    name: str
    kind: str
    owner: str
    version: str
    domains: list[str]
    classes: list[str]
    floor: int
    most: int
    rollout_deadline_s: int
    bake_s: int
    fenced: bool
    routes: list[Route]


class Workspace(TypedDict):
    """One workspace: who may call, and its share."""

    name: str
    token_sha256: str
    weight: int


class Rules(TypedDict):
    """Rules that hold for the whole inventory."""

    first_token_ms: int
    between_tokens_ms: int
    cost_ceiling_micro_per_hour: int
    rollout_deadline_s: int
    bake_s: int


class InstanceClass(TypedDict):
    """One instance class: how many requests it runs at a time."""

    name: str
    slots: int


class Inventory(TypedDict):
    """The whole inventory."""

    domains: list[str]
    classes: list[InstanceClass]
    rules: Rules
    workspaces: list[Workspace]
    upstreams: list[Upstream]


def _is_name(value: object) -> bool:
    return isinstance(value, str) and NAME.fullmatch(value) is not None


def _is_names(value: object) -> bool:
    return isinstance(value, list) and all(_is_name(item) for item in value)


def _is_tables(value: object) -> bool:
    return isinstance(value, list) and all(isinstance(v, dict) for v in value)


def _is_digest(value: object) -> bool:
    text = value if isinstance(value, str) else ""
    return re.fullmatch(r"[0-9a-f]{64}", text) is not None


def _is_path(value: object) -> bool:
    return isinstance(value, str) and value.startswith("/")


def _is_status(value: object) -> bool:
    return value == "" or (_is_path(value) and "{key}" in value)


def _is_methods(value: object) -> bool:
    known = {"GET", "POST", "PUT", "PATCH", "DELETE"}
    return isinstance(value, list) and bool(value) and known.issuperset(value)


_NATURAL = "a whole number of at least 0"
_NAME = "a name of lower case letters, digits, '.', '_' and '-'"
_TOP = (
    settings.Field("domains", "a list of names", _is_names),
    settings.Field("classes", "a list of tables", _is_tables),
    settings.Field("rules", "a table", lambda v: isinstance(v, dict), {}),
    settings.Field("workspaces", "a list of tables", _is_tables),
    settings.Field("upstreams", "a list of tables", _is_tables),
)
_CLASS = (
    settings.Field("name", _NAME, _is_name),
    settings.Field("slots", _NATURAL, settings.is_non_negative_int),
)
_RULES = (
    settings.Field(
        "first_token_ms", _NATURAL, settings.is_non_negative_int, 410
    ),
    settings.Field(
        "between_tokens_ms", _NATURAL, settings.is_non_negative_int, 62
    ),
    settings.Field(
        "cost_ceiling_micro_per_hour", _NATURAL, settings.is_non_negative_int, 0
    ),
    settings.Field(
        "rollout_deadline_s", _NATURAL, settings.is_non_negative_int, 3600
    ),
    settings.Field("bake_s", _NATURAL, settings.is_non_negative_int, 60),
)
_WORKSPACE = (
    settings.Field("name", _NAME, _is_name),
    settings.Field("token_sha256", "64 hex digits", _is_digest),
    settings.Field("weight", "a positive number", settings.is_positive, 1),
)
_ROUTE = (
    settings.Field("name", _NAME, _is_name),
    settings.Field("path", "a path that starts with /", _is_path),
    settings.Field("methods", "a list of HTTP methods", _is_methods),
    settings.Field("repeatable", "true or false", settings.is_bool),
    settings.Field("status", "a path with {key}", _is_status, ""),
)


def _upstream_fields(rules: dict[str, Any]) -> tuple[settings.Field, ...]:
    natural = settings.is_non_negative_int
    deadline = rules.get("rollout_deadline_s", 3600)
    return (
        settings.Field("name", _NAME, _is_name),
        settings.Field("kind", "model or service", lambda v: v in KINDS),
        settings.Field("owner", _NAME, _is_name),
        settings.Field("version", _NAME, _is_name),
        settings.Field("domains", "a list of names", _is_names),
        settings.Field("classes", "a list of names", _is_names),
        settings.Field("floor", _NATURAL, natural, 0),
        settings.Field("most", _NATURAL, natural, 0),
        settings.Field("rollout_deadline_s", _NATURAL, natural, deadline),
        settings.Field("bake_s", _NATURAL, natural, rules.get("bake_s", 60)),
        settings.Field("fenced", "true or false", settings.is_bool, False),
        settings.Field("routes", "a list of tables", _is_tables, []),
    )


def check(
    raw: dict[str, Any], *, where: str
) -> Inventory | settings.BadSettings:
    """Checks a parsed inventory and fills in defaults."""
    top = settings.check(raw, _TOP, where=where)
    if isinstance(top, settings.BadSettings):
        return top
    problems: list[str] = []

    def table(item: dict[str, Any], fields, name: str) -> dict[str, Any]:
        checked = settings.check(item, fields, where=f"{where}: {name}")
        if isinstance(checked, settings.BadSettings):
            problems.extend(checked.problems)
            return item
        return checked

    rules = table(top["rules"], _RULES, "rules")
    inventory = {
        "domains": top["domains"],
        "classes": [
            table(item, _CLASS, f"classes[{i}]")
            for i, item in enumerate(top["classes"])
        ],
        "rules": rules,
        "workspaces": [
            table(item, _WORKSPACE, f"workspaces[{i}]")
            for i, item in enumerate(top["workspaces"])
        ],
        "upstreams": [
            table(item, _upstream_fields(rules), f"upstreams[{i}]")
            for i, item in enumerate(top["upstreams"])
        ],
    }
    for i, upstream in enumerate(inventory["upstreams"]):
        routes = upstream.get("routes", [])
        if isinstance(routes, list):
            upstream["routes"] = [
                table(item, _ROUTE, f"upstreams[{i}].routes[{j}]")
                for j, item in enumerate(routes)
                if isinstance(item, dict)
            ]
    if not problems:
        problems = _cross_check(inventory, where)
    if problems:
        return settings.BadSettings(problems=tuple(problems))
    return inventory


def _cross_check(inventory: Inventory, where: str) -> list[str]:
    """Checks names against each other and rules against limits."""
    problems = []
    for group in ("workspaces", "upstreams", "classes"):
        names = [item["name"] for item in inventory[group]]
        for name in sorted({n for n in names if names.count(n) > 1}):
            problems.append(f"{where}: {group}: {name!r} stands twice")
    classes = {item["name"] for item in inventory["classes"]}
    for upstream in inventory["upstreams"]:
        here = f"{where}: upstreams: {upstream['name']}"
        problems += _unknown(
            upstream["domains"], inventory["domains"], f"{here}: domains"
        )
        problems += _unknown(upstream["classes"], classes, f"{here}: classes")
        problems += _check_upstream(upstream, here)
    return problems


def _check_upstream(upstream: Upstream, here: str) -> list[str]:
    problems = []
    if upstream["kind"] == "service" and not upstream["routes"]:
        problems.append(f"{here}: routes: a service needs at least one")
    if len(upstream["routes"]) > MAX_ROUTES:
        problems.append(f"{here}: routes: at most {MAX_ROUTES}")
    if upstream["most"] and upstream["floor"] > upstream["most"]:
        problems.append(f"{here}: floor: above most, {upstream['most']}")
    shortest = shortest_move_s(upstream)
    if upstream["rollout_deadline_s"] < shortest:
        problems.append(
            f"{here}: rollout_deadline_s: {upstream['rollout_deadline_s']} is"
            f" impossible; a move with this bake takes at least {shortest}"
        )
    return problems


def _unknown(names, known, where: str) -> list[str]:
    accepted = ", ".join(sorted(known))
    return [
        f"{where}: {name!r} is not in the inventory; accepted: {accepted}"
        for name in names
        if name not in known
    ]


GROW_S = 5
"""Least seconds between the start of a move and its bake."""


def shortest_move_s(upstream: Upstream) -> int:
    """Returns the least seconds a move of this upstream can take."""
    return upstream["bake_s"] + GROW_S


def digest(text: str | bytes) -> str:
    """Returns the SHA-256 of ``text`` in hex, as for tokens."""
    data = text.encode() if isinstance(text, str) else text
    return hashlib.sha256(data).hexdigest()


def find_upstream(inventory: Inventory | None, name: str) -> Upstream | None:
    """Returns the upstream called ``name``."""
    for upstream in (inventory or {}).get("upstreams", []):
        if upstream["name"] == name:
            return upstream
    return None


def find_route(upstream: Upstream, method: str, path: str) -> Route | None:
    """Returns the first route that matches."""
    for route in upstream["routes"]:
        pattern = route["path"]
        if pattern.endswith("*"):
            matches = path.startswith(pattern[:-1])
        else:
            matches = path == pattern
        if matches and method in route["methods"]:
            return route
    return None


def route_names(upstream: Upstream) -> list[tuple[str, bool]]:
    """Returns (name, repeatable) of every route of an upstream."""
    if upstream["kind"] == "model":
        return [(name, True) for name in MODEL_ROUTES]
    return [
        (route["name"], route["repeatable"]) for route in upstream["routes"]
    ]
