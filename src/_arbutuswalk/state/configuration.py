"""Accepting configurations: compare-and-set, resends, and their moves."""

import json

from _arbutuswalk.state import commands
from _arbutuswalk.state import inventory as inventories
from _arbutuswalk.state import moves
from _arbutuswalk.state import outcomes
from _arbutuswalk.state import tables as rows

OPERATION_KEPT_MS = 24 * 3600 * 1000
MAX_HISTORY = 200


def apply(tables: rows.Tables, command: commands.Apply) -> outcomes.Outcome:
    """Makes ``command.inventory`` the configuration, or tells who was first.

    A resend of an operation gets the first answer, whatever has happened
    since; another body under its id is refused.
    """
    digest = _digest(command)
    known = tables.operations.get(command.operation)
    if known is not None:
        if known.digest != digest:
            return outcomes.Reused(what=f"operation {command.operation}")
        return outcomes.decode(known.outcome)
    if command.expected != tables.revision:
        outcome = _conflict(tables)
    else:
        _accept(tables, command)
        outcome = outcomes.Accepted(revision=tables.revision)
    tables.operations[command.operation] = rows.Operation(
        digest, outcomes.to_json(outcome), tables.time_ms
    )
    return outcome


def expire(tables: rows.Tables) -> None:
    """Forgets operations that no operator resends any more."""
    oldest = tables.time_ms - OPERATION_KEPT_MS
    for operation, row in list(tables.operations.items()):
        if row.at_ms >= oldest:
            return
        del tables.operations[operation]


def _accept(tables: rows.Tables, command: commands.Apply) -> None:
    tables.revision += 1
    tables.inventory = command.inventory
    tables.history.append(
        rows.Revision(
            tables.revision,
            command.operation,
            command.operator,
            tables.time_ms,
        )
    )
    del tables.history[:-MAX_HISTORY]
    moves.on_configuration(tables)


def _conflict(tables: rows.Tables) -> outcomes.Conflict:
    last = tables.history[-1] if tables.history else None
    return outcomes.Conflict(
        revision=tables.revision,
        operator=last.operator if last else "",
        operation=last.operation if last else "",
    )


def _digest(command: commands.Apply) -> str:
    body = json.dumps([command.expected, command.inventory], sort_keys=True)
    return inventories.digest(body)
