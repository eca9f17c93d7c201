"""Decides the steps of version moves from the entries' reports.

The traffic share of a new version grows route by route with the evidence for
it; non-idempotent routes start last and grow slowest. A move is taken back as
soon as the evidence against it reaches a threshold, or if the evidence for it
is insufficient at its deadline.
"""

import math
from typing import Any
from typing import NamedTuple

from _arbutuswalk.state import commands
from _arbutuswalk.state import counter_sum
from _arbutuswalk.state import entries
from _arbutuswalk.state import evacuations
from _arbutuswalk.state import evidence
from _arbutuswalk.state import inventory as inventories
from _arbutuswalk.state import moves
from _arbutuswalk.state import tables as rows

IDEMPOTENT_STEPS_PER_MILLE = (20, 50, 100, 250, 500, 1000)
"""Successive shares of idempotent routes."""
NON_IDEMPOTENT_STEPS_PER_MILLE = (10, 20, 50, 100, 200, 350, 500, 1000)
"""Successive shares of non-idempotent routes."""
MIN_IDEMPOTENT_SHARE_PER_MILLE = 500
"""Share that every idempotent route must have before non-idempotent ones
start."""
OBSERVATION_MS = 2000
"""Time for which a route is observed before its first share is chosen."""
SMALL_STEP_COUNT = 3
"""Number of first steps that count as a small share."""
MIN_OUTCOMES = 3
FIRST_SHARE_MARGIN_FACTOR = 2
"""Multiple of ``MIN_OUTCOMES`` that the first share of a route aims at."""
SUFFICIENT_OUTCOMES = 20
LOG_EVIDENCE_THRESHOLD = math.log(1000)
"""Log evidence at which a version is taken back. Each test takes back at most
one good version in a thousand."""
NON_IDEMPOTENT_OUTCOMES_FACTOR = 2
REPORTED_FIELDS = ("ran", "failed", "slow", "timed")
"""Fields of ``evidence.OutcomeCounts`` in the order of the entries' reports."""


class RouteTrial:
    """Evidence on one route of a move.

    Attributes:
        evidence: Tests of the new version against the old one.
        succeeded_in_step: Successful requests of the new version since the
            last step.
        started_ms: Time at which the trial began.
        last_step_ms: Time of the last change of the share.
    """

    def __init__(
        self,
        *,
        old: evidence.OutcomeCounts,
        new: evidence.OutcomeCounts,
        now_ms: int,
    ):
        self.evidence = evidence.Evidence(new=new, old=old)
        self.succeeded_in_step = 0
        self.started_ms = now_ms
        self.last_step_ms = now_ms


class StepTiming(NamedTuple):
    """Time limits for the next step of a route.

    Attributes:
        allowed_ms: Time per step that lets all steps end by the deadline.
        elapsed_ms: Time since the last step.
        idempotent: Whether requests of the route may be repeated.
    """

    allowed_ms: float
    elapsed_ms: int
    idempotent: bool


class MoveTrials:
    """Evidence on all moves; kept in memory, so a new leader starts empty.

    Attributes:
        routes: Trial by (move, route).
        outcomes: Outcomes since the leader started, by
            ``upstream|version|route`` and field of ``evidence.OutcomeCounts``.
    """

    def __init__(self):
        self.routes: dict[tuple[str, str], RouteTrial] = {}
        self.outcomes = counter_sum.CounterSum()


def sum_reports(
    tables: rows.Tables,
    reports: dict[str, dict[str, Any]],
    outcomes: counter_sum.CounterSum,
) -> dict[str, evidence.OutcomeCounts]:
    """Adds the entries' latest counts to those since the leader started.

    Args:
        tables: State of control, with the incarnations of the entries.
        reports: Last report of each entry.
        outcomes: Sums so far, by ``upstream|version|route`` and field; updated.

    Returns:
        The sums by ``upstream|version|route``.
    """
    for entry, report in reports.items():
        if "evidence" not in report:
            continue
        counts = {
            (key, field): count
            for key, values in report["evidence"].items()
            for field, count in zip(REPORTED_FIELDS, values, strict=True)
        }
        process = entry, entries.incarnation(tables, entry)
        outcomes.record(process, counts, counts_from_zero=False)
    sums: dict[str, evidence.OutcomeCounts] = {}
    for (key, field), count in outcomes.totals.items():
        counts = sums.get(key, evidence.OutcomeCounts())
        sums[key] = counts._replace(**{field: count})
    return sums


def usable_versions(
    reports: dict[str, dict[str, Any]],
    evacuated: frozenset[str] = frozenset(),
) -> set[tuple[str, str]]:
    """Returns (upstream name, version) of all usable upstreams.

    Args:
        reports: Last report of each entry.
        evacuated: Failure domains whose upstreams get no requests.
    """
    versions = set()
    for report in reports.values():
        for row in report.get("upstreams", {}).values():
            name, version, domain, usable = row[0], row[1], row[3], row[-1]
            if usable and domain not in evacuated:
                versions.add((name, version))
    return versions


def decide(
    tables: rows.Tables,
    reports: dict[str, dict[str, Any]],
    trials: MoveTrials,
    now_ms: int,
) -> list[commands.StepMove]:
    """Returns the steps of all active moves that are due."""
    sums = sum_reports(tables, reports, trials.outcomes)
    available = usable_versions(reports, evacuations.evacuated_domains(tables))
    steps = []
    for move, row in tables.moves.items():
        if row.state in moves.ACTIVE_STATES:
            step = _decide_step(
                tables, move, row, sums, available, trials, now_ms
            )
            if step is not None:
                steps.append(step)
    active = {
        move
        for move, row in tables.moves.items()
        if row.state in moves.ACTIVE_STATES
    }
    for key in [key for key in trials.routes if key[0] not in active]:
        del trials.routes[key]
    return steps


def _decide_step(
    tables: rows.Tables,
    move: str,
    row: rows.MoveRow,
    sums: dict[str, evidence.OutcomeCounts],
    available: set[tuple[str, str]],
    trials: MoveTrials,
    now_ms: int,
) -> commands.StepMove | None:
    upstream = inventories.find_upstream(tables.inventory, row.upstream)
    if upstream is None:
        return None
    regression = _update_trials(move, row, sums, trials, now_ms)
    if regression:
        return _make_step(move, row, moves.TAKEN_BACK, {}, regression)
    if now_ms >= row.deadline_ms:
        reason = f"deadline passed while {row.state}: {row.reason}"
        return _make_step(move, row, moves.TAKEN_BACK, {}, reason)
    if row.state == "waiting":
        if (row.upstream, row.new) in available:
            return _make_step(
                move, row, "growing", row.shares, "instances are up"
            )
        return None
    if row.state == "growing":
        return _raise_shares(upstream, move, row, trials, now_ms)
    if now_ms - row.changed_ms >= upstream["bake_s"] * 1000:
        return _make_step(
            move, row, "done", row.shares, "baked without a fault"
        )
    return None


def _update_trials(
    move: str,
    row: rows.MoveRow,
    sums: dict[str, evidence.OutcomeCounts],
    trials: MoveTrials,
    now_ms: int,
) -> str:
    """Updates the tests of a move; returns a detected regression, or empty."""
    for route in row.shares:
        old = sums.get(
            f"{row.upstream}|{row.old}|{route}", evidence.OutcomeCounts()
        )
        new = sums.get(
            f"{row.upstream}|{row.new}|{route}", evidence.OutcomeCounts()
        )
        trial = trials.routes.get((move, route))
        if trial is None:
            trial = RouteTrial(old=old, new=new, now_ms=now_ms)
            trials.routes[move, route] = trial
        increase = evidence.update_tests(trial.evidence, new, old)
        trial.succeeded_in_step += (
            increase.ran - increase.failed - increase.slow
        )
        regression = evidence.find_regression(
            trial.evidence, LOG_EVIDENCE_THRESHOLD, f" on {route}"
        )
        if regression:
            return regression
    return ""


def _raise_shares(
    upstream: inventories.Upstream,
    move: str,
    row: rows.MoveRow,
    trials: MoveTrials,
    now_ms: int,
) -> commands.StepMove | None:
    """Raises the share of every route whose next step is due."""
    shares = dict(row.shares)
    routes = inventories.list_routes(upstream)
    idempotent_shares = [
        row.shares[name] for name, idempotent in routes if idempotent
    ]
    for name, idempotent in routes:
        if (
            not idempotent
            and min(idempotent_shares, default=1000)
            < MIN_IDEMPOTENT_SHARE_PER_MILLE
        ):
            continue
        steps = (
            IDEMPOTENT_STEPS_PER_MILLE
            if idempotent
            else NON_IDEMPOTENT_STEPS_PER_MILLE
        )
        trial = trials.routes[move, name]
        remaining_steps = [share for share in steps if share > row.shares[name]]
        if not remaining_steps:
            continue
        timing = StepTiming(
            allowed_ms=_growth_time_left_ms(upstream, row, now_ms)
            / (len(remaining_steps) + 1),
            elapsed_ms=now_ms - trial.last_step_ms,
            idempotent=idempotent,
        )
        if not row.shares[name]:
            shares[name] = _first_share(trial, timing, steps, now_ms)
        elif _has_sufficient_evidence(
            trial, timing
        ) or _may_grow_without_evidence(remaining_steps[0], steps, timing):
            shares[name] = remaining_steps[0]
    if shares != row.shares:
        for name, share in shares.items():
            if share != row.shares[name]:
                trials.routes[move, name].succeeded_in_step = 0
                trials.routes[move, name].last_step_ms = now_ms
        return _make_step(move, row, "growing", shares, _format_shares(shares))
    if all(share == moves.FULL_SHARE_PER_MILLE for share in shares.values()):
        return _make_step(move, row, "baking", shares, "all traffic on new")
    return None


def _growth_time_left_ms(
    upstream: inventories.Upstream, row: rows.MoveRow, now_ms: int
) -> int:
    """Returns the time left for growth, without the time of the bake."""
    return max(0, row.deadline_ms - now_ms - upstream["bake_s"] * 1000)


def _first_share(
    trial: RouteTrial, timing: StepTiming, steps: tuple[int, ...], now_ms: int
) -> int:
    """Returns the smallest share expected to give evidence within a step.

    It never exceeds the third step, however little traffic the route has: a
    bad version must not get more than a small share before its first outcomes.
    """
    observed_ms = max(1, now_ms - trial.started_ms)
    outcomes = trial.evidence.errors.old_ran + trial.evidence.errors.new_ran
    expected = outcomes / observed_ms * timing.allowed_ms
    small_steps = steps[:SMALL_STEP_COUNT]
    if observed_ms < min(OBSERVATION_MS, timing.allowed_ms):
        return 0  # too early to estimate the traffic
    if not expected:
        return small_steps[0]
    required_share = (
        FIRST_SHARE_MARGIN_FACTOR
        * MIN_OUTCOMES
        / expected
        * moves.FULL_SHARE_PER_MILLE
    )
    return next(
        (share for share in small_steps if share >= required_share),
        small_steps[-1],
    )


def _may_grow_without_evidence(
    share: int, steps: tuple[int, ...], timing: StepTiming
) -> bool:
    """Returns whether a share may grow although evidence is missing.

    A route with less traffic than estimated needs a larger share to produce
    evidence; this is permitted up to the last small share.
    """
    is_small = share in steps[:SMALL_STEP_COUNT]
    return is_small and timing.elapsed_ms >= timing.allowed_ms


def _has_sufficient_evidence(trial: RouteTrial, timing: StepTiming) -> bool:
    """Returns whether the evidence permits the next step of a route.

    A route may step as soon as it has ``SUFFICIENT_OUTCOMES``, twice as many
    if it is non-idempotent, or at the end of the time per step if it has at
    least ``MIN_OUTCOMES``. A route without traffic steps by time alone, as it
    affects no caller.
    """
    factor = 1 if timing.idempotent else NON_IDEMPOTENT_OUTCOMES_FACTOR
    if trial.succeeded_in_step >= SUFFICIENT_OUTCOMES * factor:
        return True
    if timing.elapsed_ms < timing.allowed_ms:
        return False
    return _is_unused(trial) or trial.succeeded_in_step >= MIN_OUTCOMES


def _is_unused(trial: RouteTrial) -> bool:
    return (
        trial.evidence.errors.old_ran == 0
        and trial.evidence.errors.new_ran == 0
    )


def _format_shares(shares: dict[str, int]) -> str:
    return ", ".join(f"{name} {share}/1000" for name, share in shares.items())


def _make_step(
    move: str,
    row: rows.MoveRow,
    state: str,
    shares: dict[str, int],
    reason: str,
) -> commands.StepMove:
    if state == moves.TAKEN_BACK:
        shares = dict.fromkeys(row.shares, 0)
    return commands.StepMove(move, row.step, state, shares, reason)
