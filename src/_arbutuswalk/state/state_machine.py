"""State machine: applies committed commands to the tables, one at a time."""

import json
from typing import Any

from _arbutuswalk.state import charges
from _arbutuswalk.state import commands
from _arbutuswalk.state import configuration
from _arbutuswalk.state import departures
from _arbutuswalk.state import entries
from _arbutuswalk.state import evacuations
from _arbutuswalk.state import fleet
from _arbutuswalk.state import ledger
from _arbutuswalk.state import moves
from _arbutuswalk.state import outcomes
from _arbutuswalk.state import quarantine
from _arbutuswalk.state import rollouts
from _arbutuswalk.state import route_publication
from _arbutuswalk.state import tables as rows
from _arbutuswalk.state import usage
from _arbutuswalk.state import view

EXPIRY_INTERVAL_MS = 1000
"""Interval between removals of expired records, in log time."""

_HANDLERS = {
    commands.Apply: configuration.apply,
    commands.RegisterEntry: entries.register,
    commands.SetEntryState: entries.set_state,
    commands.BeginCall: ledger.begin,
    commands.WithdrawCall: ledger.withdraw,
    commands.FinishCall: ledger.finish,
    commands.LoseCall: ledger.mark_unknown,
    commands.Isolate: quarantine.isolate,
    commands.Release: quarantine.release,
    commands.ReportDeath: quarantine.report_death,
    commands.StepMove: moves.step,
    commands.OrderInstance: fleet.record_order,
    commands.SettleOrder: fleet.settle_order,
    commands.MarkInstance: fleet.record_reclaim_notice,
    commands.Charge: charges.settle,
    commands.PublishRoutes: route_publication.publish,
    commands.BeginRollout: rollouts.begin,
    commands.StepRollout: rollouts.step,
    commands.BeginEvacuation: evacuations.begin,
    commands.FinishEvacuation: evacuations.finish,
    commands.SettleUsage: usage.settle,
    commands.RecordDepartures: departures.record,
}

_EXPIRY_FUNCTIONS = (
    configuration.expire,
    ledger.expire,
    entries.expire,
    quarantine.expire,
    moves.expire,
    fleet.expire,
    departures.expire,
)

_ROW_TYPES = {
    "operations": rows.Operation,
    "entries": rows.EntryRow,
    "calls": rows.CallRow,
    "suspects": rows.SuspectRow,
    "moves": rows.MoveRow,
    "isolations": rows.IsolationRow,
    "deaths": rows.DeathRow,
    "instances": rows.InstanceRow,
    "orders": rows.OrderRow,
    "rollouts": rows.RolloutRow,
    "evacuations": rows.EvacuationRow,
    "departures": rows.DepartureRow,
}


def stamp(command: commands.Command, at_ms: int) -> bytes:
    """Returns the log payload: the leader's wall time and the command."""
    return f"{at_ms} ".encode() + commands.encode(command)


def stamp_encoded(command: bytes, at_ms: int) -> bytes:
    """Returns the log payload of an already encoded command."""
    return f"{at_ms} ".encode() + command


def apply(tables: rows.Tables, payload: bytes, index: int) -> outcomes.Outcome:
    """Applies one committed payload.

    Log time is the highest timestamp applied, so that it never goes back when
    a new leader's wall clock is behind its predecessor's.
    """
    at_ms, _, encoded = payload.partition(b" ")
    tables.time_ms = max(tables.time_ms, int(at_ms))
    tables.applied = index
    command = commands.decode(encoded)
    if command is None:
        skip(tables, index)
        return outcomes.Stale(what="a command this version does not know")
    _expire(tables)
    handler = _HANDLERS.get(type(command))
    if handler is None:
        return outcomes.Accepted()
    outcome = handler(tables, command)
    for part in view.PARTS_CHANGED_BY.get(type(command), ()):
        tables.changed[part] = index
    return outcome


def skip(tables: rows.Tables, index: int) -> None:
    """Records that the log entry at ``index`` is of a later build."""
    tables.first_skipped = tables.first_skipped or index


def _expire(tables: rows.Tables) -> None:
    if tables.time_ms - tables.expired_ms < EXPIRY_INTERVAL_MS:
        return
    tables.expired_ms = tables.time_ms
    for expire_records in _EXPIRY_FUNCTIONS:
        expire_records(tables)


def dump(tables: rows.Tables) -> bytes:
    """Returns the tables as JSON bytes, identical for equal tables."""
    return json.dumps(to_json(tables), separators=(",", ":")).encode()


def to_json(tables: rows.Tables) -> dict[str, Any]:
    """Returns the tables as JSON values; encoding turns rows into lists."""
    values = dict(vars(tables))
    del values["first_skipped"]
    return values


def load(data: bytes) -> rows.Tables:
    """Parses the result of ``dump``, also of a later build."""
    parsed = json.loads(data)
    tables = rows.Tables()
    tables.applied = parsed.get("applied", 0)
    for name, content in parsed.items():
        row_type = _ROW_TYPES.get(name)
        if row_type is None:
            setattr(tables, name, content)
        else:
            table = {
                key: _load_row(tables, row_type, fields)
                for key, fields in content.items()
            }
            setattr(tables, name, table)
    tables.history = [
        _load_row(tables, rows.Revision, fields) for fields in tables.history
    ]
    return tables


def _load_row(tables: rows.Tables, row_type: type, fields: list[Any]) -> Any:
    """Returns a row without the fields that only a later build knows."""
    known_count = len(row_type._fields)
    if len(fields) > known_count:
        skip(tables, tables.applied)
    return row_type(*fields[:known_count])
