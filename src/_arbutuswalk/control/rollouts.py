"""Advances rollouts while this process holds the leader lease."""

import asyncio
from collections.abc import Mapping

from _arbutuswalk.base import events
from _arbutuswalk.control import leader_client
from _arbutuswalk.control import process
from _arbutuswalk.routing import directory
from _arbutuswalk.state import commands
from _arbutuswalk.state import evidence
from _arbutuswalk.state import rollout_policy
from _arbutuswalk.state import rollouts
from _arbutuswalk.state import tables as rows

TICK_INTERVAL_S = 0.2
SUBMIT_TIMEOUT_S = 1.0


class TermTrials:
    """Trials of the running rollouts, gathered in one term.

    Attributes:
        term: That term.
        by_rollout: Trial by upstream, target version and start time.
    """

    def __init__(self, *, term: int):
        self.term = term
        self.by_rollout: dict[tuple, rollout_policy.RolloutTrial] = {}


async def run(components: process.Components, canary_share: float) -> None:
    """Advances rollouts while this process holds the leader lease.

    Args:
        components: Components of the process.
        canary_share: Largest share of all requests until the rollout's
            deadline that a faulty version may receive.
    """
    trials = TermTrials(term=0)
    while True:
        await asyncio.sleep(TICK_INTERVAL_S)
        member = components.member
        if not member.is_current:
            continue
        if trials.term != member.replica.term:
            trials = TermTrials(term=member.replica.term)
        try:
            await _tick(components, canary_share, trials)
        except Exception as error:  # noqa: BLE001
            # An error in one rollout must not end the loop.
            events.warn(events.Event.TASK_FAILED, "rollouts", repr(error))


async def _tick(
    components: process.Components, canary_share: float, trials: TermTrials
) -> None:
    for upstream, row in list(components.member.tables.rollouts.items()):
        if row.state != rollouts.GROWING:
            continue
        step = _decide(components, canary_share, trials, upstream, row)
        if step is not None:
            await _submit(components, step)


def _decide(
    components: process.Components,
    canary_share: float,
    trials: TermTrials,
    upstream: str,
    row: rows.RolloutRow,
) -> commands.StepRollout | None:
    now = components.member.now()
    new, old = sum_outcomes(
        components.discovery.outcomes.totals, upstream, row.target
    )
    key = (upstream, row.target, row.started_ms)
    trial = trials.by_rollout.get(key)
    if trial is None:
        elapsed_s = (_now_ms(components) - row.started_ms) / 1000
        began_at = now - max(0.0, elapsed_s)
        trial = rollout_policy.RolloutTrial(new=new, old=old, began_at=began_at)
        trials.by_rollout[key] = trial
    return rollout_policy.decide(
        upstream,
        row,
        trial,
        new=new,
        old=old,
        new_version_serving=_has_ready_endpoint(
            components, upstream, row.target
        ),
        canary_share=canary_share,
        now=now,
    )


async def _submit(
    components: process.Components, step: commands.StepRollout
) -> None:
    outcome = await leader_client.submit(
        components.service, step, timeout_s=SUBMIT_TIMEOUT_S
    )
    events.record(
        events.Event.ROLLOUT_STEPPED,
        step.upstream,
        step.target,
        step.state,
        step.share,
        f"{step.reason} ({type(outcome).__name__})",
    )


def sum_outcomes(
    totals: Mapping[tuple[str, str, int], int], upstream: str, target: str
) -> tuple[evidence.OutcomeCounts, evidence.OutcomeCounts]:
    """Returns outcome sums of the target and of all other versions.

    Args:
        totals: Outcomes by upstream, version and position in the counts.
        upstream: Upstream of the rollout.
        target: Version that is rolled out.
    """
    new = [0] * len(evidence.OutcomeCounts._fields)
    old = list(new)
    for (name, version, position), count in totals.items():
        if name == upstream:
            counts = new if version == target else old
            counts[position] += count
    return evidence.OutcomeCounts(*new), evidence.OutcomeCounts(*old)


def _has_ready_endpoint(
    components: process.Components, upstream: str, version: str
) -> bool:
    return any(
        row.endpoint.upstream == upstream
        and row.endpoint.version == version
        and row.endpoint.state == directory.READY
        for row in components.discovery.directory.rows.values()
    )


def _now_ms(components: process.Components) -> int:
    return int(components.member.wall() * 1000)
