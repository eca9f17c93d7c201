"""Computes charges from the platform's bill and the usage of entries."""

from typing import Any

from _arbutuswalk.base import clock
from _arbutuswalk.state import charges
from _arbutuswalk.state import commands
from _arbutuswalk.state import counter_sum
from _arbutuswalk.state import entries
from _arbutuswalk.state import inventory as inventories
from _arbutuswalk.state import tables as rows

MAX_LOG_TIME_LAG_MS = 1000
DEFAULT_SLOT_COUNT = 8


class Meter:
    """Cumulative totals at the end of the last interval.

    Attributes:
        billed_micro: Micro-units billed, by instance.
        usage: Slot milliseconds used since the leader started, by (instance,
            workspace).
        used_ms: Their totals at the end of the last interval.
        has_baseline: Whether this leader has read the totals at least once.
    """

    def __init__(self):
        self.billed_micro: dict[str, int] = {}
        self.usage = counter_sum.CounterSum()
        self.used_ms: dict[tuple[str, str], int] = {}
        self.has_baseline = False


def record_usage(
    meter: Meter, tables: rows.Tables, reports: dict[str, dict[str, Any]]
) -> None:
    """Adds what the entries used since their last reports.

    The first report of an entry is a baseline, so this is called more often
    than charges are computed.
    """
    for entry, report in reports.items():
        if "usage" not in report:
            continue
        used_ms = {
            (instance, workspace): total_ms
            for instance, by_workspace in report["usage"].items()
            for workspace, total_ms in by_workspace.items()
        }
        process = entry, entries.incarnation(tables, entry)
        meter.usage.record(process, used_ms, counts_from_zero=False)


def compute_charge(
    meter: Meter,
    tables: rows.Tables,
    reports: dict[str, dict[str, Any]],
    bill: dict[str, int],
    interval_s: float,
) -> commands.Charge | None:
    """Returns the charge for what was billed since the last interval.

    Both the bill and the charged total are cumulative, so an amount that a
    leader change left out is charged with the next interval, as unowned idle
    time.
    """
    total_micro = sum(bill.values())
    due_micro = total_micro - tables.billed_micro
    record_usage(meter, tables, reports)
    used_ms = dict(meter.usage.totals)
    if due_micro <= 0:
        return None
    owners = _owners_and_slots(tables, reports)
    usages = []
    if meter.has_baseline:
        for instance, billed_micro in sorted(bill.items()):
            usages.append(
                _instance_usage(
                    meter, instance, billed_micro, used_ms, owners, interval_s
                )
            )
    amounts = charges.divide(usages)
    unattributed_micro = due_micro - sum(amounts.values())
    _add_unattributed(amounts, unattributed_micro)
    meter.billed_micro = dict(bill)
    meter.used_ms = used_ms
    meter.has_baseline = True
    return commands.Charge(tables.intervals + 1, due_micro, amounts)


def _instance_usage(
    meter: Meter,
    instance: str,
    billed_micro: int,
    used_ms: dict[tuple[str, str], int],
    owners: dict[str, tuple[str, int]],
    interval_s: float,
) -> charges.InstanceUsage:
    owner, slots = owners.get(instance, ("", DEFAULT_SLOT_COUNT))
    busy = {
        workspace: max(
            0, total_ms - meter.used_ms.get((used_instance, workspace), 0)
        )
        for (used_instance, workspace), total_ms in used_ms.items()
        if used_instance == instance
    }
    return charges.InstanceUsage(
        bill_micro=billed_micro - meter.billed_micro.get(instance, 0),
        idle_account=owner,
        busy=busy,
        capacity=int(interval_s * clock.MS_PER_S) * slots,
    )


def _owners_and_slots(
    tables: rows.Tables, reports: dict[str, dict[str, Any]]
) -> dict[str, tuple[str, int]]:
    """Returns the owner and the number of slots, by instance."""
    owners = {}
    for report in reports.values():
        for row in report.get("upstreams", {}).values():
            name, instance, slots = row[0], row[2], row[5]
            upstream = inventories.find_upstream(tables.inventory, name)
            if upstream is not None:
                owners[instance] = (upstream["owner"], slots)
    return owners


def _add_unattributed(amounts: dict[str, int], unattributed_micro: int) -> None:
    """Charges the amount that no instance of this interval accounts for."""
    if unattributed_micro:
        account = f"idle/{charges.UNOWNED}"
        amounts[account] = amounts.get(account, 0) + unattributed_micro
