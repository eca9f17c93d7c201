"""Advances rollouts while this process holds the leader lease.

Every control process receives the entries' reports and gathers the evidence, so
that a new leader continues with it.
"""

from collections.abc import Mapping

from _arbutuswalk.base import background
from _arbutuswalk.base import events
from _arbutuswalk.control import process
from _arbutuswalk.routing import directory
from _arbutuswalk.state import commands
from _arbutuswalk.state import evacuations
from _arbutuswalk.state import rollout_evidence
from _arbutuswalk.state import rollout_policy
from _arbutuswalk.state import rollouts
from _arbutuswalk.state import tables as rows

TICK_INTERVAL_S = 0.2
SUBMIT_TIMEOUT_S = 1.0


Trials = dict[tuple[str, str, int], rollout_policy.RolloutTrial]
"""Trials of the running rollouts by upstream, target version and start time."""


async def run(
    components: process.Components, exposure: rollout_policy.Exposure
) -> None:
    """Advances rollouts while this process holds the leader lease.

    Args:
        components: Components of the process.
        exposure: Requests that a faulty version may receive.
    """
    trials: Trials = {}
    await background.repeat(
        "rollouts",
        TICK_INTERVAL_S,
        lambda: tick(components, exposure, trials),
    )


async def tick(
    components: process.Components,
    exposure: rollout_policy.Exposure,
    trials: Trials,
) -> None:
    """Updates the trials; submits the steps that are due if it is the leader.

    Args:
        components: Components of the process.
        exposure: Requests that a faulty version may receive.
        trials: Trials so far; updated.
    """
    growing = {
        (upstream, row.target, row.started_ms): row
        for upstream, row in components.member.tables.rollouts.items()
        if row.state == rollouts.GROWING
    }
    for key in trials.keys() - growing.keys():
        del trials[key]
    term = components.member.replica.term
    for key, row in growing.items():
        if components.member.tables.rollouts.get(key[0]) != row:
            continue  # changed while an earlier step was committed
        step = _decide(components, exposure, trials, key, row)
        if step is not None and components.member.is_current_in(term):
            await _submit(components, step, term)


def _decide(
    components: process.Components,
    exposure: rollout_policy.Exposure,
    trials: Trials,
    key: tuple[str, str, int],
    row: rows.RolloutRow,
) -> commands.StepRollout | None:
    upstream = key[0]
    now = components.member.now()
    sums = sum_outcomes(
        components.discovery.outcomes.totals, upstream, row.target
    )
    trial = trials.get(key)
    if trial is None:
        elapsed_s = (_now_ms(components) - row.started_ms) / 1000
        began_at = now - max(0.0, elapsed_s)
        trial = rollout_policy.RolloutTrial(
            counted=sums, began_at=began_at, first_seen_at=now
        )
        trials[key] = trial
    return rollout_policy.decide(
        upstream,
        row,
        trial,
        sums=sums,
        new_version_serving=_has_ready_endpoint(
            components, upstream, row.target
        ),
        exposure=exposure,
        now=now,
    )


async def _submit(
    components: process.Components, step: commands.StepRollout, term: int
) -> None:
    outcome = await components.member.submit(
        commands.encode(step), timeout_s=SUBMIT_TIMEOUT_S, term=term
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
    totals: Mapping[tuple[str, str, str, int], int], upstream: str, target: str
) -> rollout_evidence.Sums:
    """Returns outcome sums of the target and of all other versions.

    Args:
        totals: Outcomes by upstream, version, group and position in the counts.
        upstream: Upstream of the rollout.
        target: Version that is rolled out.
    """
    new: dict[str, list[int]] = {}
    old: dict[str, list[int]] = {}
    known_count = len(rollout_evidence.Counts._fields)
    for (name, version, group, position), count in totals.items():
        # Entries of a later build may report further counts.
        if name == upstream and position < known_count:
            by_group = new if version == target else old
            counts = by_group.setdefault(group, [0] * known_count)
            counts[position] += count
    return rollout_evidence.Sums(_to_counts(new), _to_counts(old))


def _to_counts(
    by_group: dict[str, list[int]],
) -> dict[str, rollout_evidence.Counts]:
    return {
        group: rollout_evidence.Counts(*counts)
        for group, counts in by_group.items()
    }


def _has_ready_endpoint(
    components: process.Components, upstream: str, version: str
) -> bool:
    evacuated = evacuations.evacuated_domains(components.member.tables)
    return any(
        row.endpoint.upstream == upstream
        and row.endpoint.version == version
        and row.endpoint.state == directory.READY
        and row.endpoint.domain not in evacuated
        for row in components.discovery.directory.rows.values()
    )


def _now_ms(components: process.Components) -> int:
    return int(components.member.wall() * 1000)
