"""Registration and state of entry processes in the replicated tables."""

from _arbutuswalk.state import commands
from _arbutuswalk.state import ledger
from _arbutuswalk.state import outcomes
from _arbutuswalk.state import quarantine
from _arbutuswalk.state import tables as rows

SERVING = "serving"
DRAINING = "draining"
GONE = "gone"
GONE_RETENTION_MS = 600_000


def register(
    tables: rows.Tables, command: commands.RegisterEntry
) -> outcomes.Outcome:
    """Registers an entry or its next incarnation."""
    row = tables.entries.get(command.entry)
    if row is not None and row.incarnation > command.incarnation:
        return outcomes.Stale(what=f"entry {command.entry}")
    if row is not None and row.incarnation == command.incarnation:
        if row.state == GONE:
            return outcomes.Stale(what=f"entry {command.entry}")
        return outcomes.Accepted()
    if row is not None:
        _end_incarnation(tables, command.entry, row.incarnation)
    tables.entries[command.entry] = rows.EntryRow(
        incarnation=command.incarnation,
        address=command.address,
        link_address=command.link_address,
        domain=command.domain,
        weight=command.weight,
        region=command.region,
        state=SERVING,
        at_ms=tables.time_ms,
    )
    return outcomes.Accepted()


def set_state(
    tables: rows.Tables, command: commands.SetEntryState
) -> outcomes.Outcome:
    """Sets the state of one incarnation of an entry."""
    row = tables.entries.get(command.entry)
    if row is None or row.incarnation != command.incarnation:
        return outcomes.Absent()
    if row.state == GONE:
        return outcomes.Accepted()
    tables.entries[command.entry] = row._replace(
        state=command.state, at_ms=tables.time_ms
    )
    if command.state == GONE:
        _end_incarnation(tables, command.entry, command.incarnation)
    return outcomes.Accepted()


def expire(tables: rows.Tables) -> None:
    """Removes entries that have been gone for ``GONE_RETENTION_MS``."""
    cutoff_ms = tables.time_ms - GONE_RETENTION_MS
    for entry, row in list(tables.entries.items()):
        if row.state == GONE and row.at_ms < cutoff_ms:
            del tables.entries[entry]


def _end_incarnation(tables: rows.Tables, entry: str, incarnation: int) -> None:
    ledger.mark_calls_unknown(tables, entry, incarnation)
    quarantine.release_entry_isolations(tables, entry)


def incarnation(tables: rows.Tables, entry: str) -> int:
    """Returns the incarnation of a registered entry, 0 if it is unknown."""
    row = tables.entries.get(entry)
    return row.incarnation if row is not None else 0
