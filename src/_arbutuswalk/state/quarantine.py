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
    wanted = rows.IsolationRow(command.fingerprint, command.entry)
    for upstream, row in tables.isolations.items():
        same_upstream = upstream == command.upstream
        same_request = row.fingerprint == command.fingerprint
        if (same_upstream or same_request) and (
            not same_upstream or row != wanted
        ):
            return outcomes.Occupied(fingerprint=row.fingerprint)
    tables.isolations[command.upstream] = wanted
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

    Several entries report the same death, each with the requests it had
    there. Only the report that names the isolated suspect as still running
    convicts it; what other entries had there waits for that report, whichever
    comes first.
    """
    death = f"{command.upstream}/{command.incarnation}"
    row = tables.deaths.get(death, rows.DeathRow(tables.time_ms, "", []))
    isolation = tables.isolations.get(command.upstream)
    if isolation and isolation.fingerprint in command.fingerprints:
        del tables.isolations[command.upstream]
        row = _convict(tables, row, isolation.fingerprint)
    elif isolation:
        row = row._replace(waiting=[*row.waiting, *command.fingerprints])
    elif not row.blamed:
        _suspect(tables, command.fingerprints)
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
