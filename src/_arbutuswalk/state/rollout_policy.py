"""Decides the steps of a rollout from the entries' reports.

The traffic share of the new version grows in steps over the duration that the
operator set, as long as no step shows a regression. A version is reverted as
soon as the evidence of failures or slowness reaches a threshold, or if there
is no evidence for it at the end.
"""

import math

from _arbutuswalk.state import commands
from _arbutuswalk.state import evidence
from _arbutuswalk.state import rollouts
from _arbutuswalk.state import tables as rows

LOG_EVIDENCE_THRESHOLD = math.log(300)
"""Log evidence at which a version is reverted. Each of the two tests reverts
at most one good version in 300."""
MIN_OUTCOMES_TO_COMPLETE = 3
"""Requests of the new version required before it is completed."""
MIN_STEP_INTERVAL_S = 0.7
"""Minimum time between steps: reports and shares take half a second to
propagate."""
FIRST_SHARE_CANARY_FRACTION = 0.6
"""Fraction of the permitted canary share that the first step uses."""
SHARE_SCHEDULE = ((0.0, None), (0.5, 200), (0.6, 500), (0.7, 1000))
"""Fraction of the duration from which a share, in per mille, is permitted. The
first share, None, is derived from the permitted canary share."""
COMPLETION_FRACTION = 0.85
"""Fraction of the duration from which a version with all traffic is
completed."""
FULL_SHARE_PER_MILLE = 1000


class RolloutTrial:
    """Evidence on one rollout.

    Attributes:
        evidence: Tests of the new version against the old one.
        began_at: Start of the rollout on the local clock, in seconds.
        last_step_at: Time of the last change of the share, in seconds.
    """

    def __init__(
        self,
        *,
        new: evidence.OutcomeCounts,
        old: evidence.OutcomeCounts,
        began_at: float,
    ):
        self.evidence = evidence.Evidence(new=new, old=old)
        self.began_at = began_at
        self.last_step_at = began_at


def decide(
    upstream: str,
    row: rows.RolloutRow,
    trial: RolloutTrial,
    *,
    new: evidence.OutcomeCounts,
    old: evidence.OutcomeCounts,
    new_version_serving: bool,
    canary_share: float,
    now: float,
) -> commands.StepRollout | None:
    """Returns the step that is due, if one is.

    Args:
        upstream: Upstream of the rollout.
        row: Current state of the rollout.
        trial: Evidence so far; updated with the new counts.
        new: Counts of the new version.
        old: Counts of all other versions.
        new_version_serving: Whether endpoints of the new version serve.
        canary_share: Fraction of all requests that a bad version may get.
        now: Current time in seconds.
    """
    evidence.update_tests(trial.evidence, new, old)
    regression = evidence.find_regression(
        trial.evidence, LOG_EVIDENCE_THRESHOLD
    )
    if regression:
        return _make_step(upstream, row, rollouts.REVERTED, 0, regression)
    elapsed_fraction = (now - trial.began_at) / max(
        0.001, row.duration_ms / 1000
    )
    if elapsed_fraction >= 1.0:
        return _final_step(upstream, row, trial)
    if (
        not new_version_serving
        or now - trial.last_step_at < MIN_STEP_INTERVAL_S
    ):
        return None
    share = _scheduled_share(elapsed_fraction, canary_share, row.share)
    if share > row.share:
        trial.last_step_at = now
        reason = f"{trial.evidence.errors.new_ran} ran without a fault"
        return _make_step(upstream, row, rollouts.GROWING, share, reason)
    has_enough_outcomes = (
        trial.evidence.errors.new_ran >= MIN_OUTCOMES_TO_COMPLETE
    )
    if (
        row.share == FULL_SHARE_PER_MILLE
        and elapsed_fraction >= COMPLETION_FRACTION
        and has_enough_outcomes
    ):
        return _make_step(
            upstream,
            row,
            rollouts.COMPLETED,
            FULL_SHARE_PER_MILLE,
            "it has all",
        )
    return None


def _scheduled_share(
    elapsed_fraction: float, canary_share: float, current: int
) -> int:
    """Returns the next share if its time has come, else the current one."""
    first_share = max(
        1,
        int(canary_share * FIRST_SHARE_CANARY_FRACTION * FULL_SHARE_PER_MILLE),
    )
    for start_fraction, share in SHARE_SCHEDULE:
        next_share = share or first_share
        if next_share > current:
            return next_share if elapsed_fraction >= start_fraction else current
    return current


def _final_step(
    upstream: str, row: rows.RolloutRow, trial: RolloutTrial
) -> commands.StepRollout:
    if (
        row.share == FULL_SHARE_PER_MILLE
        and trial.evidence.errors.new_ran >= MIN_OUTCOMES_TO_COMPLETE
    ):
        return _make_step(
            upstream,
            row,
            rollouts.COMPLETED,
            FULL_SHARE_PER_MILLE,
            "time is up",
        )
    reason = f"time is up at {row.share} per mille"
    return _make_step(upstream, row, rollouts.REVERTED, 0, reason)


def _make_step(
    upstream: str, row: rows.RolloutRow, state: str, share: int, reason: str
) -> commands.StepRollout:
    return commands.StepRollout(
        upstream, row.target, row.step, state, share, reason
    )
