"""The state machine: one committed command changes all tables in one step."""

import json
from typing import Any

from _arbutuswalk.state import charges
from _arbutuswalk.state import commands
from _arbutuswalk.state import configuration
from _arbutuswalk.state import entries
from _arbutuswalk.state import fleet
from _arbutuswalk.state import ledger
from _arbutuswalk.state import moves
from _arbutuswalk.state import outcomes
from _arbutuswalk.state import published
from _arbutuswalk.state import quarantine
from _arbutuswalk.state import rollouts
from _arbutuswalk.state import tables as rows
from _arbutuswalk.state import usage
from _arbutuswalk.state import view

EXPIRY_MS = 1000
"""Log time between two expiries of old records."""

_HANDLERS = {
    commands.Apply: configuration.apply,
    commands.RegisterEntry: entries.register,
    commands.SetEntryState: entries.set_state,
    commands.BeginCall: ledger.begin,
    commands.WithdrawCall: ledger.withdraw,
    commands.FinishCall: ledger.finish,
    commands.LoseCall: ledger.lose,
    commands.Isolate: quarantine.isolate,
    commands.Release: quarantine.release,
    commands.ReportDeath: quarantine.report_death,
    commands.StepMove: moves.step,
    commands.OrderInstance: fleet.order,
    commands.SettleOrder: fleet.settle,
    commands.MarkInstance: fleet.mark,
    commands.Charge: charges.settle,
    commands.PublishRoutes: published.publish,
    commands.BeginRollout: rollouts.begin,
    commands.StepRollout: rollouts.step,
    commands.SettleUsage: usage.settle,
}

_EXPIRY = (
    configuration.expire,
    ledger.expire,
    entries.expire,
    quarantine.expire,
    moves.expire,
    fleet.expire,
)

_ROWS = {
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
}


def stamp(command: commands.Command, at_ms: int) -> bytes:
    """Returns the log payload: leader's wall time and the command."""
    return f"{at_ms} ".encode() + commands.encode(command)


def stamp_encoded(command: bytes, at_ms: int) -> bytes:
    """Is ``stamp`` for a command that is encoded already."""
    return f"{at_ms} ".encode() + command


def apply(tables: rows.Tables, payload: bytes, index: int) -> outcomes.Outcome:
    """Applies one committed payload.

    Log time is the highest stamp seen, so that a leader whose wall clock
    stands behind its predecessor's cannot turn it back.
    """
    at_ms, _, encoded = payload.partition(b" ")
    tables.time_ms = max(tables.time_ms, int(at_ms))
    tables.applied = index
    command = commands.decode(encoded)
    if command is None:
        return outcomes.Stale(what="a command this version does not know")
    _expire(tables)
    handler = _HANDLERS.get(type(command))
    if handler is None:
        return outcomes.Accepted()
    outcome = handler(tables, command)
    for part in view.PARTS_CHANGED_BY.get(type(command), ()):
        tables.changed[part] = index
    return outcome


def _expire(tables: rows.Tables) -> None:
    if tables.time_ms - tables.expired_ms < EXPIRY_MS:
        return
    tables.expired_ms = tables.time_ms
    for expire in _EXPIRY:
        expire(tables)


def dump(tables: rows.Tables) -> bytes:
    """Returns the tables as JSON bytes, equal for equal tables."""
    return json.dumps(to_json(tables), separators=(",", ":")).encode()


def to_json(tables: rows.Tables) -> dict[str, Any]:
    """Returns the tables as JSON values; rows become lists."""
    return dict(vars(tables))


def load(data: bytes) -> rows.Tables:
    """Parses ``dump``'s result."""
    values = json.loads(data)
    tables = rows.Tables()
    for name, value in values.items():
        kind = _ROWS.get(name)
        if kind is None:
            setattr(tables, name, value)
        else:
            table = {key: kind(*fields) for key, fields in value.items()}
            setattr(tables, name, table)
    tables.history = [rows.Revision(*fields) for fields in tables.history]
    return tables
