"""The ledger of non-idempotent calls: each runs at most once.

An intent is committed before an entry sends the first byte of a call. After
that no entry sends the call again: a resend gets the recorded response, or
learns that the call is running or that its outcome is unknown. An entry may
withdraw its intent only if it never opened a connection.
"""

from _arbutuswalk.state import commands
from _arbutuswalk.state import outcomes
from _arbutuswalk.state import tables as rows

RECORD_RETENTION_MS = 24 * 3600 * 1000
"""Retention of call records in log time; callers must resend within it."""

WITHDRAWN_RETENTION_MS = 600_000
"""Maximum delay of an intent that is committed after its withdrawal."""


def call_id(workspace: str, key: str) -> str:
    """Returns the key of a call in ``Tables.calls``."""
    return f"{workspace}\n{key}"


def begin(tables: rows.Tables, command: commands.BeginCall) -> outcomes.Outcome:
    """Grants a call to one attempt, or returns the state of the call."""
    if command.attempt in tables.withdrawn:
        return outcomes.Stale(what=f"attempt {command.attempt}")
    call = call_id(command.workspace, command.key)
    row = tables.calls.get(call)
    if row is None:
        return _grant(tables, call, command)
    if row.digest != command.digest:
        return outcomes.Reused(what=f"idempotency key {command.key}")
    if row.attempt == command.attempt and row.state == "running":
        return outcomes.Granted()  # the response to the first request was lost
    return _call_state(row)


def _grant(
    tables: rows.Tables, call: str, command: commands.BeginCall
) -> outcomes.Outcome:
    entry = tables.entries.get(command.entry)
    if entry is None or entry.incarnation != command.incarnation:
        return outcomes.Stale(what=f"entry {command.entry}")
    if entry.state == "gone":
        return outcomes.Stale(what=f"entry {command.entry}")
    tables.calls[call] = rows.CallRow(
        digest=command.digest,
        attempt=command.attempt,
        entry=command.entry,
        incarnation=command.incarnation,
        upstream=command.upstream,
        route=command.route,
        state="running",
        status=0,
        content_type="",
        body="",
        at_ms=tables.time_ms,
    )
    return outcomes.Granted()


def withdraw(
    tables: rows.Tables, command: commands.WithdrawCall
) -> outcomes.Outcome:
    """Removes an intent whose call was never sent.

    The intent may be committed after its withdrawal. It would then stay
    ``running`` forever and block its key, so the attempt is recorded and a
    later intent of that attempt is refused.
    """
    tables.withdrawn[command.attempt] = tables.time_ms
    call = call_id(command.workspace, command.key)
    row = tables.calls.get(call)
    if row is None or row.attempt != command.attempt:
        return outcomes.Absent()
    if row.state == "done":
        return outcomes.Stale(what=f"call {command.key}")
    del tables.calls[call]
    return outcomes.Accepted()


def finish(
    tables: rows.Tables, command: commands.FinishCall
) -> outcomes.Outcome:
    """Records a response, even if the state is already ``unknown``."""
    call = call_id(command.workspace, command.key)
    row = tables.calls.get(call)
    if row is None or row.attempt != command.attempt:
        return outcomes.Absent()
    if row.state != "done":
        tables.calls[call] = row._replace(
            state="done",
            status=command.status,
            content_type=command.content_type,
            body=command.body,
        )
    return outcomes.Accepted()


def mark_unknown(
    tables: rows.Tables, command: commands.LoseCall
) -> outcomes.Outcome:
    """Records that the outcome of a running call is unknown."""
    call = call_id(command.workspace, command.key)
    row = tables.calls.get(call)
    if row is None or row.attempt != command.attempt:
        return outcomes.Absent()
    if row.state == "running":
        tables.calls[call] = row._replace(state="unknown")
    return outcomes.Accepted()


def mark_calls_unknown(
    tables: rows.Tables, entry: str, incarnation: int
) -> None:
    """Marks running calls of an entry's lost incarnations as unknown."""
    for call, row in tables.calls.items():
        if row.state != "running" or row.entry != entry:
            continue
        if row.incarnation <= incarnation:
            tables.calls[call] = row._replace(state="unknown")


def find(tables: rows.Tables, workspace: str, key: str) -> outcomes.Outcome:
    """Returns the recorded state of a call."""
    row = tables.calls.get(call_id(workspace, key))
    return _call_state(row) if row else outcomes.Absent()


def expire(tables: rows.Tables) -> None:
    """Removes call records and withdrawals past their retention."""
    cutoff_ms = tables.time_ms - RECORD_RETENTION_MS
    expired = []
    for call, row in tables.calls.items():
        if row.at_ms >= cutoff_ms:
            break
        expired.append(call)
    for call in expired:
        del tables.calls[call]
    cutoff_ms = tables.time_ms - WITHDRAWN_RETENTION_MS
    for attempt, at_ms in list(tables.withdrawn.items()):
        if at_ms >= cutoff_ms:
            return
        del tables.withdrawn[attempt]


def _call_state(row: rows.CallRow) -> outcomes.CallState:
    return outcomes.CallState(
        state=row.state,
        entry=row.entry,
        upstream=row.upstream,
        route=row.route,
        status=row.status,
        content_type=row.content_type,
        body=row.body,
    )
