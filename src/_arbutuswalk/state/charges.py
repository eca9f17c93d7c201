"""Charges in integer micro-units that sum exactly to the bill."""

from typing import NamedTuple

from _arbutuswalk.state import commands
from _arbutuswalk.state import outcomes
from _arbutuswalk.state import tables as rows

UNOWNED = "unowned"


class Use(NamedTuple):
    """How one instance's interval was spent.

    Attributes:
        bill_micro: What the platform bills for it.
        idle_account: Account that pays for idle time.
        busy: Busy time by workspace, in any one unit.
        capacity: The whole interval's time in that unit.
    """

    bill_micro: int
    idle_account: str
    busy: dict[str, int]
    capacity: int


def settle(tables: rows.Tables, command: commands.Charge) -> outcomes.Outcome:
    """Adds one interval's amounts, once, if they sum to the bill."""
    if command.interval <= tables.intervals:
        return outcomes.Stale(what=f"interval {command.interval}")
    if sum(command.amounts.values()) != command.bill_micro:
        return outcomes.Stale(what="amounts that differ from the bill")
    tables.intervals = command.interval
    tables.billed_micro += command.bill_micro
    for account, amount in command.amounts.items():
        tables.charges[account] = tables.charges.get(account, 0) + amount
    return outcomes.Accepted()


def divide(uses: list[Use]) -> dict[str, int]:
    """Divides bills between accounts so that the sum is exact.

    Busy time goes to the workspace served, in proportion of capacity; the
    rest to the account that asked for the instance. Fractions are cut, and
    the remainder stays with the idle account.
    """
    amounts: dict[str, int] = {}
    for use in uses:
        spent = 0
        capacity = max(use.capacity, sum(use.busy.values()), 1)
        for workspace, busy in sorted(use.busy.items()):
            amount = use.bill_micro * busy // capacity
            account = f"workspace/{workspace}"
            amounts[account] = amounts.get(account, 0) + amount
            spent += amount
        idle = f"idle/{use.idle_account or UNOWNED}"
        amounts[idle] = amounts.get(idle, 0) + use.bill_micro - spent
    return amounts
