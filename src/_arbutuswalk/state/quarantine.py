"""Requests that crash upstreams: suspect, isolate, convict.

An unannounced death makes every request the upstream was running a suspect. A
suspect runs only on an upstream reserved for it, so that a second death there
convicts exactly that one.
"""

from _arbutuswalk.state import commands
from _arbutuswalk.state import outcomes
from _arbutuswalk.state import tables as rows

CONVICTED_MS = 600_000
SUSPECT_MS = 300_000
DEATH_KEPT_MS = 300_000


def isolate(tables: rows.Tables, command: commands.Isolate) -> outcomes.Outcome:
    """Reserves an upstream for one suspect, and a suspect for one upstream."""
    until_ms = tables.convicted.get(command.fingerprint)
    if until_ms is not None:
        return outcomes.Convicted(
            fingerprint=command.fingerprint, until_ms=until_ms
        )
    if f"{command.upstream}/{command.incarnation}" in tables.deaths:
        return outcomes.Stale(what=f"upstream {command.upstream}")
    held = tables.isolations.get(command.upstream)
    if held is not None:
        if (held.fingerprint, held.entry) == (
            command.fingerprint,
            command.entry,
        ):
            return outcomes.Granted()
        return outcomes.Occupied(fingerprint=held.fingerprint)
    for row in tables.isolations.values():
        if row.fingerprint == command.fingerprint:
            return outcomes.Occupied(fingerprint=row.fingerprint)
    tables.isolations[command.upstream] = rows.IsolationRow(
        command.fingerprint, command.entry, tables.applied
    )
    return outcomes.Granted()


def release(tables: rows.Tables, command: commands.Release) -> outcomes.Outcome:
    """Ends a reservation; a suspect that completed is cleared."""
    row = tables.isolations.get(command.upstream)
    if row is not None and row.fingerprint == command.fingerprint:
        del tables.isolations[command.upstream]
        _suspect_waiting(tables, command.upstream)
    if command.cleared:
        tables.suspects.pop(command.fingerprint, None)
    return outcomes.Accepted()


def release_all_of(tables: rows.Tables, entry: str) -> None:
    """Ends the reservations of an entry that is gone."""
    for upstream, row in list(tables.isolations.items()):
        if row.entry == entry:
            del tables.isolations[upstream]
            _suspect_waiting(tables, upstream)


def report_death(
    tables: rows.Tables, command: commands.ReportDeath
) -> outcomes.Outcome:
    """Convicts the isolated suspect, or makes all that ran there suspect.

    A suspect is convicted only if it ran alone: the report of the entry that
    isolated it names nothing else, and no other entry reported anything
    before. Otherwise all that ran there are suspects, also those that other
    entries reported while the isolated one's part was not known.
    """
    death = f"{command.upstream}/{command.incarnation}"
    row = tables.deaths.get(death, rows.DeathRow(tables.time_ms, "", []))
    isolation = tables.isolations.get(command.upstream)
    alone = isolation and command.fingerprints == [isolation.fingerprint]
    if alone and not row.waiting and not row.blamed:
        del tables.isolations[command.upstream]
        row = _convict(tables, row, isolation.fingerprint)
    elif isolation and isolation.fingerprint in command.fingerprints:
        del tables.isolations[command.upstream]
        _suspect(tables, [*command.fingerprints, *row.waiting])
        row = row._replace(waiting=[])
    elif isolation:
        row = row._replace(waiting=[*row.waiting, *command.fingerprints])
    elif command.fingerprints != [row.blamed]:
        # Where a suspect ran alone, nothing else can have: these ran on a
        # newer incarnation that the reporting entry had not heard of yet.
        _suspect(tables, command.fingerprints)
        row = row._replace(blamed="")
    tables.deaths[death] = row
    if row.blamed:
        until_ms = tables.convicted.get(row.blamed, tables.time_ms)
        return outcomes.Convicted(fingerprint=row.blamed, until_ms=until_ms)
    return outcomes.Accepted()


def _convict(
    tables: rows.Tables, row: rows.DeathRow, fingerprint: str
) -> rows.DeathRow:
    tables.convicted[fingerprint] = tables.time_ms + CONVICTED_MS
    tables.suspects.pop(fingerprint, None)
    return row._replace(blamed=fingerprint, waiting=[])


def _suspect(tables: rows.Tables, fingerprints: list[str]) -> None:
    for fingerprint in fingerprints:
        row = tables.suspects.get(fingerprint, rows.SuspectRow(0, 0))
        tables.suspects[fingerprint] = rows.SuspectRow(
            row.deaths + 1, tables.time_ms
        )


def _suspect_waiting(tables: rows.Tables, upstream: str) -> None:
    """Suspects what waited for the isolated request's part in a death."""
    for death, row in tables.deaths.items():
        if death.rpartition("/")[0] == upstream and row.waiting:
            _suspect(tables, row.waiting)
            tables.deaths[death] = row._replace(waiting=[])


def expire(tables: rows.Tables) -> None:
    """Ends convictions, suspicions and remembered deaths by log time."""
    now = tables.time_ms
    for fingerprint, until_ms in list(tables.convicted.items()):
        if until_ms <= now:
            del tables.convicted[fingerprint]
    for fingerprint, row in list(tables.suspects.items()):
        if row.at_ms + SUSPECT_MS <= now:
            del tables.suspects[fingerprint]
            _free(tables, fingerprint)
    for death, row in list(tables.deaths.items()):
        if row.at_ms + DEATH_KEPT_MS <= now:
            del tables.deaths[death]


def _free(tables: rows.Tables, fingerprint: str) -> None:
    for upstream, row in list(tables.isolations.items()):
        if row.fingerprint == fingerprint:
            del tables.isolations[upstream]
