"""Schema and validation of the inventory.

The inventory is operator input: every problem is reported with the path of
the key, its value and the accepted values.
"""

import hashlib
import re
from typing import Any
from typing import NotRequired
from typing import TypedDict

from _arbutuswalk.base import settings

UPSTREAM_KINDS = ("model", "service")
MODEL_ROUTES = ("chat", "completions")
NAME_PATTERN = re.compile(r"[a-z0-9][a-z0-9._-]{0,62}")
MAX_ROUTES_PER_UPSTREAM = 64


class Route(TypedDict):
    """One route of a service upstream.

    A trailing ``*`` in ``path`` matches any suffix. ``status`` is the path of
    the service's status query, which returns the outcome of a call; ``{key}``
    in it is replaced by the idempotency key.
    """

    name: str
    path: str
    methods: list[str]
    repeatable: bool
    status: NotRequired[str]


class Upstream(TypedDict):
    """One upstream: its owner, version and permitted placement."""

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
    """One workspace: its access token and its scheduling weight."""

    name: str
    token_sha256: str
    weight: int


class Rules(TypedDict):
    """Objectives and defaults for all upstreams of the inventory."""

    first_token_ms: int
    between_tokens_ms: int
    cost_ceiling_micro_per_hour: int
    rollout_deadline_s: int
    bake_s: int


class InstanceClass(TypedDict):
    """One instance class and its number of concurrent requests."""

    name: str
    slots: int


class Inventory(TypedDict):
    """A complete, validated inventory."""

    domains: list[str]
    classes: list[InstanceClass]
    rules: Rules
    workspaces: list[Workspace]
    upstreams: list[Upstream]


def _is_name(value: object) -> bool:
    return isinstance(value, str) and NAME_PATTERN.fullmatch(value) is not None


def _is_name_list(value: object) -> bool:
    return isinstance(value, list) and all(_is_name(item) for item in value)


def _is_table_list(value: object) -> bool:
    return isinstance(value, list) and all(
        isinstance(item, dict) for item in value
    )


def _is_sha256_hex(value: object) -> bool:
    text = value if isinstance(value, str) else ""
    return re.fullmatch(r"[0-9a-f]{64}", text) is not None


def _is_path(value: object) -> bool:
    return isinstance(value, str) and value.startswith("/")


def _is_status_path(value: object) -> bool:
    return value == "" or (_is_path(value) and "{key}" in value)


def _is_method_list(value: object) -> bool:
    known = {"GET", "POST", "PUT", "PATCH", "DELETE"}
    return isinstance(value, list) and bool(value) and known.issuperset(value)


_NATURAL_FORMAT = "a whole number of at least 0"
_NAME_FORMAT = "a name of lower case letters, digits, '.', '_' and '-'"
_INVENTORY_FIELDS = (
    settings.Field("domains", "a list of names", _is_name_list),
    settings.Field("classes", "a list of tables", _is_table_list),
    settings.Field(
        "rules", "a table", lambda value: isinstance(value, dict), {}
    ),
    settings.Field("workspaces", "a list of tables", _is_table_list),
    settings.Field("upstreams", "a list of tables", _is_table_list),
)
_CLASS_FIELDS = (
    settings.Field("name", _NAME_FORMAT, _is_name),
    settings.Field("slots", _NATURAL_FORMAT, settings.is_non_negative_int),
)
_RULES_FIELDS = (
    settings.Field(
        "first_token_ms", _NATURAL_FORMAT, settings.is_non_negative_int, 410
    ),
    settings.Field(
        "between_tokens_ms", _NATURAL_FORMAT, settings.is_non_negative_int, 62
    ),
    settings.Field(
        "cost_ceiling_micro_per_hour",
        _NATURAL_FORMAT,
        settings.is_non_negative_int,
        0,
    ),
    settings.Field(
        "rollout_deadline_s",
        _NATURAL_FORMAT,
        settings.is_non_negative_int,
        3600,
    ),
    settings.Field("bake_s", _NATURAL_FORMAT, settings.is_non_negative_int, 60),
)
_WORKSPACE_FIELDS = (
    settings.Field("name", _NAME_FORMAT, _is_name),
    settings.Field("token_sha256", "64 hex digits", _is_sha256_hex),
    settings.Field("weight", "a positive number", settings.is_positive, 1),
)
_ROUTE_FIELDS = (
    settings.Field("name", _NAME_FORMAT, _is_name),
    settings.Field("path", "a path that starts with /", _is_path),
    settings.Field("methods", "a list of HTTP methods", _is_method_list),
    settings.Field("repeatable", "true or false", settings.is_bool),
    settings.Field("status", "a path with {key}", _is_status_path, ""),
)


def _upstream_fields(rules: dict[str, Any]) -> tuple[settings.Field, ...]:
    natural = settings.is_non_negative_int
    deadline = rules.get("rollout_deadline_s", 3600)
    return (
        settings.Field("name", _NAME_FORMAT, _is_name),
        settings.Field(
            "kind", "model or service", lambda value: value in UPSTREAM_KINDS
        ),
        settings.Field("owner", _NAME_FORMAT, _is_name),
        settings.Field("version", _NAME_FORMAT, _is_name),
        settings.Field("domains", "a list of names", _is_name_list),
        settings.Field("classes", "a list of names", _is_name_list),
        settings.Field("floor", _NATURAL_FORMAT, natural, 0),
        settings.Field("most", _NATURAL_FORMAT, natural, 0),
        settings.Field(
            "rollout_deadline_s", _NATURAL_FORMAT, natural, deadline
        ),
        settings.Field(
            "bake_s", _NATURAL_FORMAT, natural, rules.get("bake_s", 60)
        ),
        settings.Field("fenced", "true or false", settings.is_bool, False),
        settings.Field("routes", "a list of tables", _is_table_list, []),
    )


def check(
    raw: dict[str, Any], *, where: str
) -> Inventory | settings.BadSettings:
    """Validates a parsed inventory and fills in defaults."""
    checked_top_level = settings.check(raw, _INVENTORY_FIELDS, where=where)
    if isinstance(checked_top_level, settings.BadSettings):
        return checked_top_level
    problems: list[str] = []

    def check_table(item: dict[str, Any], fields, name: str) -> dict[str, Any]:
        checked = settings.check(item, fields, where=f"{where}: {name}")
        if isinstance(checked, settings.BadSettings):
            problems.extend(checked.problems)
            return item
        return checked

    rules = check_table(checked_top_level["rules"], _RULES_FIELDS, "rules")
    inventory = {
        "domains": checked_top_level["domains"],
        "classes": [
            check_table(item, _CLASS_FIELDS, f"classes[{i}]")
            for i, item in enumerate(checked_top_level["classes"])
        ],
        "rules": rules,
        "workspaces": [
            check_table(item, _WORKSPACE_FIELDS, f"workspaces[{i}]")
            for i, item in enumerate(checked_top_level["workspaces"])
        ],
        "upstreams": [
            check_table(item, _upstream_fields(rules), f"upstreams[{i}]")
            for i, item in enumerate(checked_top_level["upstreams"])
        ],
    }
    for i, upstream in enumerate(inventory["upstreams"]):
        routes = upstream.get("routes", [])
        if isinstance(routes, list):
            upstream["routes"] = [
                check_table(item, _ROUTE_FIELDS, f"upstreams[{i}].routes[{j}]")
                for j, item in enumerate(routes)
                if isinstance(item, dict)
            ]
    if not problems:
        problems = _cross_check(inventory, where)
    if problems:
        return settings.BadSettings(problems=tuple(problems))
    return inventory


def _cross_check(inventory: Inventory, where: str) -> list[str]:
    """Checks references between names, and values against their bounds."""
    problems = []
    for group in ("workspaces", "upstreams", "classes"):
        names = [item["name"] for item in inventory[group]]
        for name in sorted({n for n in names if names.count(n) > 1}):
            problems.append(f"{where}: {group}: {name!r} stands twice")
    classes = {item["name"] for item in inventory["classes"]}
    for upstream in inventory["upstreams"]:
        location = f"{where}: upstreams: {upstream['name']}"
        problems += _check_known(
            upstream["domains"], inventory["domains"], f"{location}: domains"
        )
        problems += _check_known(
            upstream["classes"], classes, f"{location}: classes"
        )
        problems += _check_upstream(upstream, location)
    return problems


def _check_upstream(upstream: Upstream, location: str) -> list[str]:
    problems = []
    if upstream["kind"] == "service" and not upstream["routes"]:
        problems.append(f"{location}: routes: a service needs at least one")
    if len(upstream["routes"]) > MAX_ROUTES_PER_UPSTREAM:
        problems.append(
            f"{location}: routes: at most {MAX_ROUTES_PER_UPSTREAM}"
        )
    if upstream["most"] and upstream["floor"] > upstream["most"]:
        problems.append(f"{location}: floor: above most, {upstream['most']}")
    min_duration_s = min_move_duration_s(upstream)
    if upstream["rollout_deadline_s"] < min_duration_s:
        problems.append(
            f"{location}: rollout_deadline_s:"
            f" {upstream['rollout_deadline_s']} is impossible;"
            f" a move with this bake takes at least {min_duration_s}"
        )
    return problems


def _check_known(names, known, where: str) -> list[str]:
    accepted = ", ".join(sorted(known))
    return [
        f"{where}: {name!r} is not in the inventory; accepted: {accepted}"
        for name in names
        if name not in known
    ]


MIN_GROWTH_S = 5
"""Minimum time between the start of a move and its bake."""


def min_move_duration_s(upstream: Upstream) -> int:
    """Returns the minimum duration of a move of this upstream."""
    return upstream["bake_s"] + MIN_GROWTH_S


def sha256_hex(text: str | bytes) -> str:
    """Returns the SHA-256 of ``text`` in hex, as stored for access tokens."""
    data = text.encode() if isinstance(text, str) else text
    return hashlib.sha256(data).hexdigest()


def find_upstream(inventory: Inventory | None, name: str) -> Upstream | None:
    """Returns the upstream called ``name``."""
    for upstream in (inventory or {}).get("upstreams", []):
        if upstream["name"] == name:
            return upstream
    return None


def find_route(upstream: Upstream, method: str, path: str) -> Route | None:
    """Returns the first route that matches a method and a path."""
    for route in upstream["routes"]:
        pattern = route["path"]
        if pattern.endswith("*"):
            matches = path.startswith(pattern[:-1])
        else:
            matches = path == pattern
        if matches and method in route["methods"]:
            return route
    return None


def list_routes(upstream: Upstream) -> list[tuple[str, bool]]:
    """Returns (name, idempotent) of every route of an upstream."""
    if upstream["kind"] == "model":
        return [(name, True) for name in MODEL_ROUTES]
    return [
        (route["name"], route["repeatable"]) for route in upstream["routes"]
    ]
