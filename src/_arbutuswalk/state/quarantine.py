"""Quarantine of requests that crash upstreams.

An unannounced death makes every request that was running on the upstream a
suspect. A suspect runs only on an upstream reserved for it, so that another
death there identifies the cause: the request is convicted, that is, refused
for ``CONVICTION_MS``.
"""

from _arbutuswalk.state import commands
from _arbutuswalk.state import outcomes
from _arbutuswalk.state import tables as rows

CONVICTION_MS = 600_000
SUSPICION_MS = 300_000
DEATH_RETENTION_MS = 300_000


def isolate(tables: rows.Tables, command: commands.Isolate) -> outcomes.Outcome:
    """Reserves an upstream for one suspect, and a suspect for one upstream."""
    until_ms = tables.convicted.get(command.fingerprint)
    if until_ms is not None:
        return outcomes.Convicted(
            fingerprint=command.fingerprint, until_ms=until_ms
        )
    if f"{command.upstream}/{command.incarnation}" in tables.deaths:
        return outcomes.Stale(what=f"upstream {command.upstream}")
    reserved = tables.isolations.get(command.upstream)
    if reserved is not None:
        if (reserved.fingerprint, reserved.entry) == (
            command.fingerprint,
            command.entry,
        ):
            return outcomes.Granted()
        return outcomes.Occupied(fingerprint=reserved.fingerprint)
    for row in tables.isolations.values():
        if row.fingerprint == command.fingerprint:
            return outcomes.Occupied(fingerprint=row.fingerprint)
    tables.isolations[command.upstream] = rows.IsolationRow(
        command.fingerprint, command.entry, tables.applied
    )
    return outcomes.Granted()


def release(tables: rows.Tables, command: commands.Release) -> outcomes.Outcome:
    """Ends a reservation; clears the suspect if it completed."""
    row = tables.isolations.get(command.upstream)
    is_held = row is not None and row.fingerprint == command.fingerprint
    if is_held and command.entry in (row.entry, ""):
        del tables.isolations[command.upstream]
        _add_waiting_suspects(tables, command.upstream)
    if command.cleared:
        tables.suspects.pop(command.fingerprint, None)
    return outcomes.Accepted()


def release_entry_isolations(tables: rows.Tables, entry: str) -> None:
    """Ends all reservations of an entry that is gone."""
    for upstream, row in list(tables.isolations.items()):
        if row.entry == entry:
            del tables.isolations[upstream]
            _add_waiting_suspects(tables, upstream)


def report_death(
    tables: rows.Tables, command: commands.ReportDeath
) -> outcomes.Outcome:
    """Convicts the isolated suspect, or adds all running requests as suspects.

    A suspect is convicted only if it ran alone: the report of the entry that
    isolated it names no other request, and no other entry reported one before.
    Another entry's report is of what ran there before the reservation.
    Otherwise all requests that ran there become suspects, including those
    that other entries reported before the isolating entry's own report.
    """
    death = f"{command.upstream}/{command.incarnation}"
    row = tables.deaths.get(death, rows.DeathRow(tables.time_ms, "", []))
    isolation = tables.isolations.get(command.upstream)
    ran_alone = (
        isolation
        and command.fingerprints == [isolation.fingerprint]
        and command.entry in (isolation.entry, "")
    )
    if ran_alone and not row.waiting and not row.blamed:
        del tables.isolations[command.upstream]
        row = _convict(tables, row, isolation.fingerprint)
    elif isolation and isolation.fingerprint in command.fingerprints:
        del tables.isolations[command.upstream]
        _add_suspects(tables, [*command.fingerprints, *row.waiting])
        row = row._replace(waiting=[])
    elif isolation:
        row = row._replace(waiting=[*row.waiting, *command.fingerprints])
    elif command.fingerprints != [row.blamed]:
        # The isolated suspect ran alone, so these requests ran on a newer
        # incarnation that the reporting entry did not know yet.
        _add_suspects(tables, command.fingerprints)
        row = row._replace(blamed="")
    tables.deaths[death] = row
    if row.blamed:
        until_ms = tables.convicted.get(row.blamed, tables.time_ms)
        return outcomes.Convicted(fingerprint=row.blamed, until_ms=until_ms)
    return outcomes.Accepted()


def _convict(
    tables: rows.Tables, row: rows.DeathRow, fingerprint: str
) -> rows.DeathRow:
    tables.convicted[fingerprint] = tables.time_ms + CONVICTION_MS
    tables.suspects.pop(fingerprint, None)
    return row._replace(blamed=fingerprint, waiting=[])


def _add_suspects(tables: rows.Tables, fingerprints: list[str]) -> None:
    for fingerprint in fingerprints:
        row = tables.suspects.get(fingerprint, rows.SuspectRow(0, 0))
        tables.suspects[fingerprint] = rows.SuspectRow(
            row.deaths + 1, tables.time_ms
        )


def _add_waiting_suspects(tables: rows.Tables, upstream: str) -> None:
    """Adds the requests that waited for the isolating entry's report."""
    for death, row in tables.deaths.items():
        if death.rpartition("/")[0] == upstream and row.waiting:
            _add_suspects(tables, row.waiting)
            tables.deaths[death] = row._replace(waiting=[])


def expire(tables: rows.Tables) -> None:
    """Removes convictions, suspects and deaths past their retention."""
    now_ms = tables.time_ms
    for fingerprint, until_ms in list(tables.convicted.items()):
        if until_ms <= now_ms:
            del tables.convicted[fingerprint]
    for fingerprint, row in list(tables.suspects.items()):
        if row.at_ms + SUSPICION_MS <= now_ms:
            del tables.suspects[fingerprint]
            _remove_isolations(tables, fingerprint)
    for death, row in list(tables.deaths.items()):
        if row.at_ms + DEATH_RETENTION_MS <= now_ms:
            del tables.deaths[death]


def _remove_isolations(tables: rows.Tables, fingerprint: str) -> None:
    for upstream, row in list(tables.isolations.items()):
        if row.fingerprint == fingerprint:
            del tables.isolations[upstream]
