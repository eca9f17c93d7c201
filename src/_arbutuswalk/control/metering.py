"""Turns the platform's bill and the entries' usage into charges."""

from typing import Any

from _arbutuswalk.base import clock
from _arbutuswalk.state import charges
from _arbutuswalk.state import commands
from _arbutuswalk.state import inventory as inventories
from _arbutuswalk.state import tables as rows

IDLE_TICK_MS = 1000
DEFAULT_SLOTS = 8


class Meter:
    """Totals at the end of the last interval.

    Attributes:
        billed: Micro-units by instance.
        used: Slot milliseconds by (instance, workspace).
        known: Whether the totals were read at least once by this leader.
    """

    def __init__(self):
        self.billed: dict[str, int] = {}
        self.used: dict[tuple[str, str], int] = {}
        self.known = False


def settle(
    meter: Meter,
    tables: rows.Tables,
    reports: dict[str, dict[str, Any]],
    bill: dict[str, int],
    interval_s: float,
) -> commands.Charge | None:
    """Returns the charge for what was billed since the last interval.

    The bill is cumulative, and so is what was charged: whatever a leader
    change left out comes with the next interval, as idle time of its owner.
    """
    total = sum(bill.values())
    due = total - tables.billed_micro
    used = _sum_usage(reports)
    if due <= 0:
        return None
    owners = _owners(tables, reports)
    uses = []
    if meter.known:
        for instance, billed in sorted(bill.items()):
            uses.append(_use(meter, instance, billed, used, owners, interval_s))
    amounts = charges.divide(uses)
    rest = due - sum(amounts.values())
    _add_rest(amounts, rest)
    meter.billed = dict(bill)
    meter.used = used
    meter.known = True
    return commands.Charge(tables.intervals + 1, due, amounts)


def _use(
    meter: Meter,
    instance: str,
    billed: int,
    used: dict[tuple[str, str], int],
    owners: dict[str, tuple[str, int]],
    interval_s: float,
) -> charges.InstanceUsage:
    owner, slots = owners.get(instance, ("", DEFAULT_SLOTS))
    busy = {
        workspace: max(0, spent - meter.used.get((at, workspace), 0))
        for (at, workspace), spent in used.items()
        if at == instance
    }
    return charges.InstanceUsage(
        bill_micro=billed - meter.billed.get(instance, 0),
        idle_account=owner,
        busy=busy,
        capacity=int(interval_s * clock.MS_PER_S) * slots,
    )


def _sum_usage(
    reports: dict[str, dict[str, Any]],
) -> dict[tuple[str, str], int]:
    used: dict[tuple[str, str], int] = {}
    for report in reports.values():
        for instance, by_workspace in report.get("usage", {}).items():
            for workspace, spent in by_workspace.items():
                key = (instance, workspace)
                used[key] = used.get(key, 0) + spent
    return used


def _owners(
    tables: rows.Tables, reports: dict[str, dict[str, Any]]
) -> dict[str, tuple[str, int]]:
    """Returns owner and slots by instance."""
    owners = {}
    for report in reports.values():
        for row in report.get("upstreams", {}).values():
            name, instance, slots = row[0], row[2], row[5]
            upstream = inventories.find_upstream(tables.inventory, name)
            if upstream is not None:
                owners[instance] = (upstream["owner"], slots)
    return owners


def _add_rest(amounts: dict[str, int], rest: int) -> None:
    """Adds what no instance of this interval accounts for."""
    if rest:
        account = f"idle/{charges.UNOWNED}"
        amounts[account] = amounts.get(account, 0) + rest
