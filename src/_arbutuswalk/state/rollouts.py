"""Rollouts in the replicated tables: begun by operators, stepped by control."""

from _arbutuswalk.state import commands
from _arbutuswalk.state import outcomes
from _arbutuswalk.state import tables as rows

GROWING = "growing"
COMPLETED = "completed"
REVERTED = "reverted"
RESEND_WINDOW_MS = 10_000
"""Time after the end of a rollout in which the same request counts as a resend;
operators resend for at most four seconds."""


def begin(
    tables: rows.Tables, command: commands.BeginRollout
) -> outcomes.Outcome:
    """Begins a rollout unless the request is a resend.

    A resend leaves the existing rollout unchanged. Another target for the same
    upstream replaces the existing rollout.
    """
    previous = tables.rollouts.get(command.upstream)
    if previous is not None and previous.target == command.target:
        since_change_ms = tables.time_ms - previous.changed_ms
        if previous.state == GROWING or since_change_ms < RESEND_WINDOW_MS:
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
    """Updates state and share unless the decision is stale."""
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
