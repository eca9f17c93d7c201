"""Evacuations of failure domains in the replicated tables.

Nothing is sent to the endpoints of an evacuated domain. A row is kept when its
domain is opened again, so that its step never decreases.
"""

from _arbutuswalk.state import commands
from _arbutuswalk.state import outcomes
from _arbutuswalk.state import tables as rows

EVACUATED = "evacuated"
OPEN = "open"
UNTOUCHED = rows.EvacuationRow(state=OPEN, step=0, changed_ms=0)
"""Row of a domain that was never evacuated."""


def begin(
    tables: rows.Tables, command: commands.BeginEvacuation
) -> outcomes.Outcome:
    """Evacuates a domain unless the decision is stale."""
    return _set_state(tables, command, EVACUATED)


def finish(
    tables: rows.Tables, command: commands.FinishEvacuation
) -> outcomes.Outcome:
    """Opens a domain again unless the decision is stale."""
    return _set_state(tables, command, OPEN)


def find(tables: rows.Tables, domain: str) -> rows.EvacuationRow:
    """Returns the row of a domain."""
    return tables.evacuations.get(domain, UNTOUCHED)


def evacuated_domains(tables: rows.Tables) -> frozenset[str]:
    """Returns the domains that are evacuated now."""
    return frozenset(
        domain
        for domain, row in tables.evacuations.items()
        if row.state != OPEN
    )


def _set_state(
    tables: rows.Tables,
    command: commands.BeginEvacuation | commands.FinishEvacuation,
    state: str,
) -> outcomes.Outcome:
    """Sets the state of a domain.

    A resend changes nothing and is accepted. An order that was delayed until
    after a later one is not.
    """
    row = find(tables, command.domain)
    if row.step and row.state == state:
        return outcomes.Accepted(revision=row.step)
    if row.step != command.seen_step:
        return outcomes.Stale(what=f"{command.domain} is at step {row.step}")
    tables.evacuations[command.domain] = rows.EvacuationRow(
        state=state, step=row.step + 1, changed_ms=tables.time_ms
    )
    return outcomes.Accepted(revision=row.step + 1)
