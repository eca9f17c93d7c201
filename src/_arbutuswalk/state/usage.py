"""Usage of closed windows: settled once, so that reports can be repeated."""

from _arbutuswalk.state import commands
from _arbutuswalk.state import outcomes
from _arbutuswalk.state import tables as rows

KEPT_WINDOWS = 20
"""Settled windows that are kept to be sent again by a new leader."""


def settle(
    tables: rows.Tables, command: commands.SettleUsage
) -> outcomes.Outcome:
    """Fixes a window's counts; the first settlement stands."""
    window = str(command.window)
    if window not in tables.usage:
        tables.usage[window] = command.counts
        for old in sorted(tables.usage, key=int)[:-KEPT_WINDOWS]:
            del tables.usage[old]
    return outcomes.Accepted()
