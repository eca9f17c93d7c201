"""Evacuated failure domains, as a control process knows them."""

import collections
from collections.abc import Iterable
from typing import Any

from _arbutuswalk.base import clock
from _arbutuswalk.base import events
from _arbutuswalk.base import settings
from _arbutuswalk.control import discovery as discoveries
from _arbutuswalk.routing import directory
from _arbutuswalk.routing import endpoint_fields
from _arbutuswalk.state import commands
from _arbutuswalk.state import evacuations
from _arbutuswalk.state import outcomes
from _arbutuswalk.state import tables as rows


def known_domains(
    discovery: discoveries.Discovery, listed_domains: Iterable[str]
) -> set[str]:
    """Returns the failure domains that this process has heard of.

    Args:
        discovery: Its directory of endpoints, and the state of control.
        listed_domains: Those in its settings.
    """
    tables = discovery.member.tables
    inventory = tables.inventory or {}
    domains = {
        discovery.domain,
        *listed_domains,
        *inventory.get("domains", ()),
        *tables.evacuations,
        *(row.domain for row in tables.entries.values()),
        *(row.endpoint.domain for row in discovery.directory.rows.values()),
    }
    return domains - {""}


def describe(
    discovery: discoveries.Discovery, listed_domains: Iterable[str]
) -> dict[str, Any]:
    """Returns the state of each known failure domain, by name."""
    ready = collections.Counter(
        row.endpoint.domain
        for row in discovery.directory.rows.values()
        if row.endpoint.state == directory.READY
    )
    return {
        domain: {
            **evacuations.find(discovery.member.tables, domain)._asdict(),
            "ready_endpoints": ready[domain],
        }
        for domain in sorted(known_domains(discovery, listed_domains))
    }


def domains_without_orders(
    tables: rows.Tables, *, wall_s: float, settling_s: float
) -> frozenset[str]:
    """Returns the domains whose endpoints do not count towards the load.

    Those of a domain that was opened again may be cold. Until they have had
    time to warm up, the endpoints that replaced them are kept.

    Args:
        tables: State of control.
        wall_s: Time of day, in Unix seconds.
        settling_s: Time in which an endpoint starts, in seconds.
    """
    wall_ms = wall_s * clock.MS_PER_S
    settling_since_ms = wall_ms - settling_s * clock.MS_PER_S
    return frozenset(
        domain
        for domain, row in tables.evacuations.items()
        if row.state != evacuations.OPEN
        or settling_since_ms < row.changed_ms <= wall_ms
    )


def find_problem(command: commands.Command | None) -> str:
    """Returns why a command must not be proposed, or an empty text."""
    if not _is_order(command):
        return ""
    if not endpoint_fields.is_name(command.domain):
        return "domain: not a name"
    if not settings.is_non_negative_int(command.seen_step):
        return "seen_step: not a whole number"
    return ""


def record_outcome(
    discovery: discoveries.Discovery,
    command: commands.Command,
    outcome: outcomes.Outcome,
) -> None:
    """Records what became of an order of an operator, at the leader."""
    if not _is_order(command):
        return
    is_begin = isinstance(command, commands.BeginEvacuation)
    order = "begin" if is_begin else "finish"
    name = type(outcome).__name__
    row = evacuations.find(discovery.member.tables, command.domain)
    events.log(
        events.Event.EVACUATION_ORDERED, command.domain, order, name, row.step
    )
    discovery.metrics.count(
        "evacuation_orders", f'order="{order}",outcome="{name}"'
    )


def _is_order(command: commands.Command | None) -> bool:
    return isinstance(
        command, commands.BeginEvacuation | commands.FinishEvacuation
    )
