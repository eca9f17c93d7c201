"""Steps rollouts while this process may decide alone."""

import asyncio
from typing import Any

from _arbutuswalk.base import events
from _arbutuswalk.control import leader
from _arbutuswalk.control import process
from _arbutuswalk.routing import directory
from _arbutuswalk.state import commands
from _arbutuswalk.state import evidence
from _arbutuswalk.state import rollout_policy
from _arbutuswalk.state import rollouts
from _arbutuswalk.state import tables as rows

TICK_S = 0.2
SUBMIT_S = 1.0


class Trials:
    """Evidence gathered in one term.

    Attributes:
        term: That term.
        by_rollout: Trial by upstream, target and start.
    """

    def __init__(self, *, term: int):
        self.term = term
        self.by_rollout: dict[tuple, rollout_policy.RolloutTrial] = {}


async def run(parts: process.Parts, canary_share: float) -> None:
    """Steps rollouts whenever this process may decide alone.

    Args:
        parts: The process.
        canary_share: Part of all requests until its deadline that a version
            which turns out to be bad may get.
    """
    trials = Trials(term=0)
    while True:
        await asyncio.sleep(TICK_S)
        member = parts.member
        if not member.is_current:
            continue
        if trials.term != member.replica.term:
            trials = Trials(term=member.replica.term)
        try:
            await _tick(parts, canary_share, trials)
        except Exception as error:  # noqa: BLE001
            # A faulty rollout must not end the others for good.
            events.warn(events.Event.TASK_FAILED, "rollouts", repr(error))


async def _tick(
    parts: process.Parts, canary_share: float, trials: Trials
) -> None:
    for upstream, row in list(parts.member.tables.rollouts.items()):
        if row.state != rollouts.GROWING:
            continue
        step = _decide(parts, canary_share, trials, upstream, row)
        if step is not None:
            await _submit(parts, step)


def _decide(
    parts: process.Parts,
    canary_share: float,
    trials: Trials,
    upstream: str,
    row: rows.RolloutRow,
) -> commands.StepRollout | None:
    now = parts.member.now()
    new, old = sum_outcomes(parts.hub.reports(), upstream, row.target)
    key = (upstream, row.target, row.started_ms)
    trial = trials.by_rollout.get(key)
    if trial is None:
        passed_s = (_now_ms(parts) - row.started_ms) / 1000
        began_at = now - max(0.0, passed_s)
        trial = rollout_policy.RolloutTrial(new=new, old=old, began_at=began_at)
        trials.by_rollout[key] = trial
    return rollout_policy.decide(
        upstream,
        row,
        trial,
        new=new,
        old=old,
        new_version_serving=_is_present(parts, upstream, row.target),
        canary_share=canary_share,
        now=now,
    )


async def _submit(parts: process.Parts, step: commands.StepRollout) -> None:
    outcome = await leader.submit(parts.service, step, timeout_s=SUBMIT_S)
    events.record(
        events.Event.ROLLOUT_STEPPED,
        step.upstream,
        step.target,
        step.state,
        step.share,
        f"{step.reason} ({type(outcome).__name__})",
    )


def sum_outcomes(
    reports: list[dict[str, Any]], upstream: str, target: str
) -> tuple[evidence.OutcomeCounts, evidence.OutcomeCounts]:
    """Returns the sums of the target and of all other versions."""
    new = old = evidence.OutcomeCounts()
    for report in reports:
        for name, version, *counts in report.get("outcomes", []):
            if name != upstream:
                continue
            if version == target:
                new = evidence.add_counts(new, counts)
            else:
                old = evidence.add_counts(old, counts)
    return new, old


def _is_present(parts: process.Parts, upstream: str, version: str) -> bool:
    return any(
        row.endpoint.upstream == upstream
        and row.endpoint.version == version
        and row.endpoint.state == directory.READY
        for row in parts.hub.directory.rows.values()
    )


def _now_ms(parts: process.Parts) -> int:
    return int(parts.member.wall() * 1000)
