"""Rollouts of an upstream's version: begun by operators, stepped by control."""

from _arbutuswalk.state import commands
from _arbutuswalk.state import outcomes
from _arbutuswalk.state import tables as rows

GROWING = "growing"
COMPLETED = "completed"
REVERTED = "reverted"
RESEND_MS = 10_000
"""Time after a rollout's end in which the same order is taken for a resend:
operators resend for four seconds at most."""


def begin(
    tables: rows.Tables, command: commands.BeginRollout
) -> outcomes.Outcome:
    """Begins a rollout, unless the same one is known already.

    A resend finds the rollout that the first copy began. Another target for
    the same upstream replaces what was there.
    """
    known = tables.rollouts.get(command.upstream)
    if known is not None and known.target == command.target:
        ended_ms = tables.time_ms - known.changed_ms
        if known.state == GROWING or ended_ms < RESEND_MS:
            return outcomes.Accepted()
    tables.rollouts[command.upstream] = rows.RolloutRow(
        target=command.target,
        state=GROWING,
        share=0,
        step=0,
        started_ms=tables.time_ms,
        duration_ms=command.duration_ms,
        changed_ms=tables.time_ms,
        reason="begun",
    )
    return outcomes.Accepted()


def step(
    tables: rows.Tables, command: commands.StepRollout
) -> outcomes.Outcome:
    """Changes state and share, if the decision is not stale."""
    row = tables.rollouts.get(command.upstream)
    if row is None or row.state != GROWING:
        return outcomes.Stale(what="rollout is not under way")
    if (row.target, row.step) != (command.target, command.seen_step):
        return outcomes.Stale(what="rollout has moved on")
    tables.rollouts[command.upstream] = row._replace(
        state=command.state,
        share=command.share,
        step=row.step + 1,
        changed_ms=tables.time_ms,
        reason=command.reason,
    )
    return outcomes.Accepted()
