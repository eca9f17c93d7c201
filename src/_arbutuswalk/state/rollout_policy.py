"""Decides the steps of a rollout from the entries' reports.

The traffic share of the new version grows in steps over the duration that the
operator set, as long as no step shows a regression. A version is reverted as
soon as the evidence of failures or slowness reaches a threshold, or if it may
still be twice as slow as the old version at the end.
"""

from typing import NamedTuple

from _arbutuswalk.state import commands
from _arbutuswalk.state import rollout_evidence
from _arbutuswalk.state import rollouts
from _arbutuswalk.state import tables as rows

MIN_OUTCOMES_TO_COMPLETE = 3
"""Requests of the new version required before it is completed."""
MIN_STEP_INTERVAL_S = 0.7
"""Minimum time between steps: reports and shares take half a second to
propagate."""
FIRST_SHARE_CANARY_FRACTION = 0.6
"""Fraction of the permitted canary share that the first step uses."""
FIRST_SHARE_CANARY_EXTRA_FRACTION = 0.4
"""Fraction of the permitted extra requests that the first step uses."""
MAX_FIRST_SHARE = 0.45
RATE_BASELINE_S = 1.0
"""Time after which entries know of a rollout and count requests."""
RATE_MEASUREMENT_S = 1.5
"""Time over which the rate of requests is measured."""
SHARE_SCHEDULE = ((0.6, 200), (0.72, 500), (0.8, 1000))
"""Fraction of the duration from which a share, in per mille, is permitted. All
requests to a bad version count, also those before its first bad answer: most of
them are sent in the last steps, which are as short as the reports allow."""
UNDOUBTED_SHARE_PER_MILLE = 500
"""Share from which a version must be shown not to be twice as slow."""
COMPLETION_FRACTION = 0.92
"""Fraction of the duration from which a version with all traffic is
completed."""
FULL_SHARE_PER_MILLE = 1000


class Exposure(NamedTuple):
    """Requests that a bad version may get until the deadline.

    Attributes:
        share: Share of all requests.
        extra: Requests in addition.
    """

    share: float
    extra: float


class RolloutTrial:
    """Evidence on one rollout.

    Attributes:
        evidence: Tests of the new version against the old one.
        began_at: Start of the rollout on the local clock, in seconds.
        first_seen_at: When this process began to count, in seconds.
        rate_baseline: Time and number of requests from which their rate is
            measured, None before.
        last_step_at: Time of the last change of the share, in seconds.
    """

    def __init__(
        self,
        *,
        counted: rollout_evidence.Sums,
        began_at: float,
        first_seen_at: float,
    ):
        self.evidence = rollout_evidence.Evidence(counted=counted)
        self.began_at = began_at
        self.first_seen_at = first_seen_at
        self.rate_baseline: tuple[float, int] | None = None
        self.first_share = 0
        self.last_step_at = began_at


def decide(
    upstream: str,
    row: rows.RolloutRow,
    trial: RolloutTrial,
    *,
    sums: rollout_evidence.Sums,
    new_version_serving: bool,
    exposure: Exposure,
    now: float,
) -> commands.StepRollout | None:
    """Returns the step that is due, if one is.

    Args:
        upstream: Upstream of the rollout.
        row: Current state of the rollout.
        trial: Evidence so far; updated with the new counts.
        sums: Counts of the new version and of all others.
        new_version_serving: Whether endpoints of the new version serve.
        exposure: Requests that a bad version may get.
        now: Current time in seconds.
    """
    rollout_evidence.update(trial.evidence, sums)
    regression = rollout_evidence.find_regression(trial.evidence)
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
    obstacle = _find_obstacle(trial)
    first_share = _first_share(row, trial, exposure, now)
    share = _scheduled_share(elapsed_fraction, first_share, row.share)
    if share > row.share and not (
        share >= UNDOUBTED_SHARE_PER_MILLE and obstacle
    ):
        trial.last_step_at = now
        reason = f"{trial.evidence.new_total.ran} ran without a fault"
        return _make_step(upstream, row, rollouts.GROWING, share, reason)
    if (
        row.share == FULL_SHARE_PER_MILLE
        and elapsed_fraction >= COMPLETION_FRACTION
        and not obstacle
    ):
        return _make_step(
            upstream,
            row,
            rollouts.COMPLETED,
            FULL_SHARE_PER_MILLE,
            "it has all",
        )
    return None


def _first_share(
    row: rows.RolloutRow, trial: RolloutTrial, exposure: Exposure, now: float
) -> int:
    """Returns the share of the first step, in per mille.

    The fewer requests there are, the larger is the share that the extra
    requests permit, and that is needed for enough evidence.
    """
    if trial.first_share:
        return trial.first_share
    share = exposure.share * FIRST_SHARE_CANARY_FRACTION
    rate = _measure_rate(trial, now)
    if rate:
        extra = exposure.extra * FIRST_SHARE_CANARY_EXTRA_FRACTION
        share += extra / (rate * row.duration_ms / 1000)
        share = min(share, max(MAX_FIRST_SHARE, exposure.share))
    per_mille = max(1, int(share * FULL_SHARE_PER_MILLE))
    if rate:
        trial.first_share = per_mille
    return per_mille


def _measure_rate(trial: RolloutTrial, now: float) -> float:
    """Returns the requests per second, 0 while it is unknown."""
    seen = trial.evidence.seen
    if trial.rate_baseline is None:
        if now - trial.first_seen_at >= RATE_BASELINE_S:
            trial.rate_baseline = now, seen
        return 0.0
    measured_from, seen_before = trial.rate_baseline
    if now - measured_from < RATE_MEASUREMENT_S:
        return 0.0
    return (seen - seen_before) / (now - measured_from)


def _scheduled_share(
    elapsed_fraction: float, first_share: int, current: int
) -> int:
    """Returns the next share if its time has come, else the current one."""
    if current < first_share:
        return first_share
    for start_fraction, share in SHARE_SCHEDULE:
        if share > current:
            return share if elapsed_fraction >= start_fraction else current
    return current


def _final_step(
    upstream: str, row: rows.RolloutRow, trial: RolloutTrial
) -> commands.StepRollout:
    obstacle = _find_obstacle(trial)
    if row.share >= UNDOUBTED_SHARE_PER_MILLE and not obstacle:
        return _make_step(
            upstream,
            row,
            rollouts.COMPLETED,
            FULL_SHARE_PER_MILLE,
            "time is up",
        )
    reason = f"time is up at {row.share} per mille {obstacle}".strip()
    return _make_step(upstream, row, rollouts.REVERTED, 0, reason)


def _find_obstacle(trial: RolloutTrial) -> str:
    """Describes what prevents the completion; empty if nothing does."""
    ran = trial.evidence.new_total.ran
    if ran < MIN_OUTCOMES_TO_COMPLETE:
        return f"{ran} ran"
    return rollout_evidence.find_doubt(trial.evidence)


def _make_step(
    upstream: str, row: rows.RolloutRow, state: str, share: int, reason: str
) -> commands.StepRollout:
    return commands.StepRollout(
        upstream, row.target, row.step, state, share, reason
    )
