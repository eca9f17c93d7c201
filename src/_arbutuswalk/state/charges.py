"""Allocation of bills to accounts in integer micro-units, exact in sum."""

from typing import NamedTuple

from _arbutuswalk.state import commands
from _arbutuswalk.state import outcomes
from _arbutuswalk.state import tables as rows

UNOWNED = "unowned"


class InstanceUsage(NamedTuple):
    """Usage of one instance during one billing interval.

    Attributes:
        bill_micro: Amount that the platform billed, in micro-units.
        idle_account: Account that is charged for idle time.
        busy: Busy time by workspace, in the same unit as ``capacity``.
        capacity: Total time of the interval.
    """

    bill_micro: int
    idle_account: str
    busy: dict[str, int]
    capacity: int


def settle(tables: rows.Tables, command: commands.Charge) -> outcomes.Outcome:
    """Adds the amounts of an interval once, if they sum to its bill."""
    if command.interval <= tables.intervals:
        return outcomes.Stale(what=f"interval {command.interval}")
    if sum(command.amounts.values()) != command.bill_micro:
        return outcomes.Stale(what="amounts that differ from the bill")
    tables.intervals = command.interval
    tables.billed_micro += command.bill_micro
    for account, amount in command.amounts.items():
        tables.charges[account] = tables.charges.get(account, 0) + amount
    return outcomes.Accepted()


def divide(usages: list[InstanceUsage]) -> dict[str, int]:
    """Divides bills between accounts so that the amounts sum exactly.

    Busy time is charged to the workspace served, in proportion to capacity;
    the rest is charged to the account that owns the instance. Amounts are
    rounded down, and the remainder is charged to the idle account.
    """
    amounts: dict[str, int] = {}
    for usage in usages:
        allocated = 0
        capacity = max(usage.capacity, sum(usage.busy.values()), 1)
        for workspace, busy in sorted(usage.busy.items()):
            amount = usage.bill_micro * busy // capacity
            account = f"workspace/{workspace}"
            amounts[account] = amounts.get(account, 0) + amount
            allocated += amount
        idle = f"idle/{usage.idle_account or UNOWNED}"
        amounts[idle] = amounts.get(idle, 0) + usage.bill_micro - allocated
    return amounts
