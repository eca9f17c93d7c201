"""Acceptance of configurations by compare-and-set, with idempotent resends."""

import json

from _arbutuswalk.state import commands
from _arbutuswalk.state import inventory as inventories
from _arbutuswalk.state import moves
from _arbutuswalk.state import outcomes
from _arbutuswalk.state import tables as rows

OPERATION_RETENTION_MS = 24 * 3600 * 1000
MAX_HISTORY_REVISIONS = 200


def apply(tables: rows.Tables, command: commands.Apply) -> outcomes.Outcome:
    """Replaces the configuration, or reports a conflicting operation.

    A resend of an operation returns its first outcome, even after later
    changes; the same id with another body is refused.
    """
    digest = _request_digest(command)
    previous = tables.operations.get(command.operation)
    if previous is not None:
        if previous.digest != digest:
            return outcomes.Reused(what=f"operation {command.operation}")
        return outcomes.decode(previous.outcome)
    if command.expected != tables.revision:
        outcome = _make_conflict(tables)
    else:
        _accept_revision(tables, command)
        outcome = outcomes.Accepted(revision=tables.revision)
    tables.operations[command.operation] = rows.Operation(
        digest, outcomes.to_json(outcome), tables.time_ms
    )
    return outcome


def expire(tables: rows.Tables) -> None:
    """Removes operations too old to be resent."""
    cutoff_ms = tables.time_ms - OPERATION_RETENTION_MS
    for operation, row in list(tables.operations.items()):
        if row.at_ms >= cutoff_ms:
            return
        del tables.operations[operation]


def _accept_revision(tables: rows.Tables, command: commands.Apply) -> None:
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
    del tables.history[:-MAX_HISTORY_REVISIONS]
    moves.reconcile(tables)


def _make_conflict(tables: rows.Tables) -> outcomes.Conflict:
    last = tables.history[-1] if tables.history else None
    return outcomes.Conflict(
        revision=tables.revision,
        operator=last.operator if last else "",
        operation=last.operation if last else "",
    )


def _request_digest(command: commands.Apply) -> str:
    body = json.dumps([command.expected, command.inventory], sort_keys=True)
    return inventories.sha256_hex(body)
