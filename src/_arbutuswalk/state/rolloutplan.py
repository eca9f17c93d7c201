"""Decides the steps of a rollout from what entries report.

The share of the new version grows in steps over the time that the operator
gave, each after the one before showed no fault. A version is reverted as soon
as the evidence against it suffices, by failures or by slowness, or when there
is none for it at the end.
"""

import math

from _arbutuswalk.state import commands
from _arbutuswalk.state import evidence
from _arbutuswalk.state import rollouts
from _arbutuswalk.state import tables as rows

LOG_THRESHOLD = math.log(300)
"""Evidence at which a version is reverted: by each of the two tests one good
version in 300 is."""
LEAST_OUTCOMES = 3
"""Requests that have to have run well before a version is completed."""
STEP_S = 0.7
"""Shortest time for a step: reports and shares travel for half a second."""
CANARY_PART = 0.6
"""Part of the permitted exposure that the first step uses."""
STEPS = ((0.0, None), (0.5, 200), (0.6, 500), (0.7, 1000))
"""Part of the time from which a share, in per mille, may be given; the first
share follows from the permitted exposure."""
COMPLETE_AT = 0.85
"""Part of the time at which a version that has it all is completed."""
PER_MILLE = 1000


class Trial:
    """Evidence on one rollout.

    Attributes:
        evidence: Outcomes of both versions.
        began_at: When the rollout began, in the holder's seconds.
        stepped_at: When its share last changed.
    """

    def __init__(
        self, *, new: evidence.Sums, old: evidence.Sums, began_at: float
    ):
        self.evidence = evidence.Evidence(new=new, old=old)
        self.began_at = began_at
        self.stepped_at = began_at


def decide(
    upstream: str,
    row: rows.RolloutRow,
    trial: Trial,
    *,
    new: evidence.Sums,
    old: evidence.Sums,
    present: bool,
    canary_share: float,
    now: float,
) -> commands.StepRollout | None:
    """Returns the step that is due, if one is.

    Args:
        upstream: Upstream that is rolled out.
        row: The rollout as it stands.
        trial: Evidence so far, which takes up the new outcomes.
        new: Sums of the new version.
        old: Sums of all other versions.
        present: Whether endpoints of the new version serve.
        canary_share: Part of all requests that a bad version may get.
        now: Seconds.
    """
    evidence.feed(trial.evidence, new, old)
    fault = evidence.fault(trial.evidence, LOG_THRESHOLD)
    if fault:
        return _step(upstream, row, rollouts.REVERTED, 0, fault)
    passed = (now - trial.began_at) / max(0.001, row.duration_ms / 1000)
    if passed >= 1.0:
        return _at_the_end(upstream, row, trial)
    if not present or now - trial.stepped_at < STEP_S:
        return None
    share = _share_at(passed, canary_share, row.share)
    if share > row.share:
        trial.stepped_at = now
        reason = f"{trial.evidence.errors.new_ran} ran without a fault"
        return _step(upstream, row, rollouts.GROWING, share, reason)
    enough = trial.evidence.errors.new_ran >= LEAST_OUTCOMES
    if row.share == PER_MILLE and passed >= COMPLETE_AT and enough:
        return _step(upstream, row, rollouts.COMPLETED, PER_MILLE, "it has all")
    return None


def _share_at(passed: float, canary_share: float, current: int) -> int:
    """Returns the next share that the time permits, one step at a time."""
    first = max(1, int(canary_share * CANARY_PART * PER_MILLE))
    for begins, share in STEPS:
        wanted = share or first
        if wanted > current:
            return wanted if passed >= begins else current
    return current


def _at_the_end(
    upstream: str, row: rows.RolloutRow, trial: Trial
) -> commands.StepRollout:
    if (
        row.share == PER_MILLE
        and trial.evidence.errors.new_ran >= LEAST_OUTCOMES
    ):
        return _step(upstream, row, rollouts.COMPLETED, PER_MILLE, "time is up")
    reason = f"time is up at {row.share} per mille"
    return _step(upstream, row, rollouts.REVERTED, 0, reason)


def _step(
    upstream: str, row: rows.RolloutRow, state: str, share: int, reason: str
) -> commands.StepRollout:
    return commands.StepRollout(
        upstream, row.target, row.step, state, share, reason
    )
