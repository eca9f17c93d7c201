"""Usage of closed windows, settled once so that reports are idempotent."""

from _arbutuswalk.state import commands
from _arbutuswalk.state import outcomes
from _arbutuswalk.state import tables as rows

MAX_KEPT_WINDOWS = 20
"""Settled windows that are kept so that a new leader can resend them."""


def settle(
    tables: rows.Tables, command: commands.SettleUsage
) -> outcomes.Outcome:
    """Settles the counts of a window; later settlements are ignored."""
    window = str(command.window)
    if window not in tables.usage:
        tables.usage[window] = command.counts
        for expired_window in sorted(tables.usage, key=int)[:-MAX_KEPT_WINDOWS]:
            del tables.usage[expired_window]
    return outcomes.Accepted()
