"""Decides the steps of version moves from what entries report.

The share of a new version grows with evidence, route by route; routes that may
not be repeated go last and slowest. A move is taken back as soon as the
evidence against it suffices, or when there is not enough for it by its
deadline.
"""

import math
from typing import Any
from typing import NamedTuple

from _arbutuswalk.state import commands
from _arbutuswalk.state import evidence
from _arbutuswalk.state import inventory as inventories
from _arbutuswalk.state import moves
from _arbutuswalk.state import tables as rows

STEPS = (20, 50, 100, 250, 500, 1000)
"""Shares in per mille of routes that may be repeated."""
CAREFUL_STEPS = (10, 20, 50, 100, 200, 350, 500, 1000)
"""Shares of routes that may not be repeated."""
REPEATABLE_FIRST = 500
"""Share that repeatable routes must have before the others begin."""
OBSERVE_MS = 2000
"""How long a route is watched before its first share is chosen."""
SMALL_STEPS = 3
"""How many of the steps count as a small share."""
LEAST_OUTCOMES = 3
MARGIN = 2
"""How many times the least evidence a quiet route's share aims at."""
ENOUGH_OUTCOMES = 20
LOG_THRESHOLD = math.log(1000)
"""Evidence at which a version is taken back; one good move in a thousand is
by each test."""
CAREFUL_FACTOR = 2


class RouteTrial:
    """Evidence on one route of a move.

    Attributes:
        evidence: Outcomes of both versions.
        ran_in_step: Good outcomes of the new version since the last step.
        started_ms: When the trial began.
        step_ms: When the share last changed.
    """

    def __init__(self, *, old: evidence.Sums, new: evidence.Sums, now_ms: int):
        self.evidence = evidence.Evidence(new=new, old=old)
        self.ran_in_step = 0
        self.started_ms = now_ms
        self.step_ms = now_ms


class Pace(NamedTuple):
    """How fast a route may take its next step.

    Attributes:
        allotted_ms: Time a step has if all are to be done by the deadline.
        waited_ms: Time since the last step.
        repeatable: Whether the route may be repeated.
    """

    allotted_ms: float
    waited_ms: int
    repeatable: bool


class Trials:
    """The leader's volatile evidence on all moves; a new leader starts anew.

    Attributes:
        routes: Trial by (move, route).
    """

    def __init__(self):
        self.routes: dict[tuple[str, str], RouteTrial] = {}


def sum_reports(
    reports: dict[str, dict[str, Any]],
) -> dict[str, evidence.Sums]:
    """Adds up the entries' counts by ``upstream|version|route``."""
    sums: dict[str, evidence.Sums] = {}
    for report in reports.values():
        for side, counts in report.get("evidence", {}).items():
            ran, errors, slow, timed = counts
            before = sums.get(side, evidence.Sums())
            sums[side] = evidence.add(before, (ran, errors, timed, slow))
    return sums


def present_versions(
    reports: dict[str, dict[str, Any]],
) -> set[tuple[str, str]]:
    """Returns (upstream, version) of all usable upstreams."""
    present = set()
    for report in reports.values():
        for row in report.get("upstreams", {}).values():
            name, version, usable = row[0], row[1], row[-1]
            if usable:
                present.add((name, version))
    return present


def decide(
    tables: rows.Tables,
    reports: dict[str, dict[str, Any]],
    trials: Trials,
    now_ms: int,
) -> list[commands.StepMove]:
    """Returns the steps that are due."""
    sums = sum_reports(reports)
    present = present_versions(reports)
    steps = []
    for move, row in tables.moves.items():
        if row.state in moves.LIVE:
            step = _decide_one(tables, move, row, sums, present, trials, now_ms)
            if step is not None:
                steps.append(step)
    live = {
        move for move, row in tables.moves.items() if row.state in moves.LIVE
    }
    for key in [key for key in trials.routes if key[0] not in live]:
        del trials.routes[key]
    return steps


def _decide_one(
    tables: rows.Tables,
    move: str,
    row: rows.MoveRow,
    sums: dict[str, evidence.Sums],
    present: set[tuple[str, str]],
    trials: Trials,
    now_ms: int,
) -> commands.StepMove | None:
    upstream = inventories.find_upstream(tables.inventory, row.upstream)
    if upstream is None:
        return None
    fault = _collect(move, row, sums, trials, now_ms)
    if fault:
        return _step(move, row, moves.TAKEN_BACK, {}, fault)
    if now_ms >= row.deadline_ms:
        reason = f"deadline passed while {row.state}: {row.reason}"
        return _step(move, row, moves.TAKEN_BACK, {}, reason)
    if row.state == "waiting":
        if (row.upstream, row.new) in present:
            return _step(move, row, "growing", row.shares, "instances are up")
        return None
    if row.state == "growing":
        return _grow(upstream, move, row, trials, now_ms)
    if now_ms - row.changed_ms >= upstream["bake_s"] * 1000:
        return _step(move, row, "done", row.shares, "baked without a fault")
    return None


def _collect(
    move: str,
    row: rows.MoveRow,
    sums: dict[str, evidence.Sums],
    trials: Trials,
    now_ms: int,
) -> str:
    """Feeds new outcomes to the tests; returns a fault they prove."""
    for route in row.shares:
        old = sums.get(f"{row.upstream}|{row.old}|{route}", evidence.Sums())
        new = sums.get(f"{row.upstream}|{row.new}|{route}", evidence.Sums())
        trial = trials.routes.get((move, route))
        if trial is None:
            trial = RouteTrial(old=old, new=new, now_ms=now_ms)
            trials.routes[move, route] = trial
        grown = evidence.feed(trial.evidence, new, old)
        trial.ran_in_step += grown.ran - grown.failed - grown.slow
        fault = evidence.fault(trial.evidence, LOG_THRESHOLD, f" on {route}")
        if fault:
            return fault
    return ""


def _grow(
    upstream: inventories.Upstream,
    move: str,
    row: rows.MoveRow,
    trials: Trials,
    now_ms: int,
) -> commands.StepMove | None:
    """Raises the share of every route that has earned it."""
    shares = dict(row.shares)
    routes = inventories.route_names(upstream)
    eager = [row.shares[name] for name, repeatable in routes if repeatable]
    for name, repeatable in routes:
        if not repeatable and min(eager, default=1000) < REPEATABLE_FIRST:
            continue
        steps = STEPS if repeatable else CAREFUL_STEPS
        trial = trials.routes[move, name]
        later = [share for share in steps if share > row.shares[name]]
        if not later:
            continue
        pace = Pace(
            allotted_ms=_left_ms(upstream, row, now_ms) / (len(later) + 1),
            waited_ms=now_ms - trial.step_ms,
            repeatable=repeatable,
        )
        if not row.shares[name]:
            shares[name] = _first_share(trial, pace, steps, now_ms)
        elif _earned(trial, pace) or _stays_small(later[0], steps, pace):
            shares[name] = later[0]
    if shares != row.shares:
        for name, share in shares.items():
            if share != row.shares[name]:
                trials.routes[move, name].ran_in_step = 0
                trials.routes[move, name].step_ms = now_ms
        return _step(move, row, "growing", shares, _describe(shares))
    if all(share == moves.FULL for share in shares.values()):
        return _step(move, row, "baking", shares, "all traffic on new")
    return None


def _left_ms(
    upstream: inventories.Upstream, row: rows.MoveRow, now_ms: int
) -> int:
    """Returns the time left to grow in, the bake set apart."""
    return max(0, row.deadline_ms - now_ms - upstream["bake_s"] * 1000)


def _first_share(
    trial: RouteTrial, pace: Pace, steps: tuple[int, ...], now_ms: int
) -> int:
    """Returns the smallest share that brings evidence in its time.

    It never exceeds the third step, however quiet the route: a bad version
    must not get more than a small share before anything is known of it.
    """
    elapsed_ms = max(1, now_ms - trial.started_ms)
    outcomes = trial.evidence.errors.old_ran + trial.evidence.errors.new_ran
    expected = outcomes / elapsed_ms * pace.allotted_ms
    small = steps[:SMALL_STEPS]
    if elapsed_ms < min(OBSERVE_MS, pace.allotted_ms):
        return 0  # too early to know how busy the route is
    if not expected:
        return small[0]
    needed = MARGIN * LEAST_OUTCOMES / expected * moves.FULL
    return next((share for share in small if share >= needed), small[-1])


def _stays_small(share: int, steps: tuple[int, ...], pace: Pace) -> bool:
    """Tells whether a share may grow for want of evidence.

    A route that turns out quieter than it looked gets its evidence from a
    larger share, as long as that is a small one.
    """
    small = share in steps[:SMALL_STEPS]
    return small and pace.waited_ms >= pace.allotted_ms


def _earned(trial: RouteTrial, pace: Pace) -> bool:
    """Tells whether a route's share may grow by a step.

    What counts as enough adapts to the traffic: a busy route waits for
    ``ENOUGH_OUTCOMES``; a quiet one for what its time allows, but never less
    than ``LEAST_OUTCOMES``. A route that nobody uses grows by time alone:
    there is nobody to harm.
    """
    factor = 1 if pace.repeatable else CAREFUL_FACTOR
    if trial.ran_in_step >= ENOUGH_OUTCOMES * factor:
        return True
    if pace.waited_ms < pace.allotted_ms:
        return False
    return _is_unused(trial) or trial.ran_in_step >= LEAST_OUTCOMES


def _is_unused(trial: RouteTrial) -> bool:
    return (
        trial.evidence.errors.old_ran == 0
        and trial.evidence.errors.new_ran == 0
    )


def _describe(shares: dict[str, int]) -> str:
    return ", ".join(f"{name} {share}/1000" for name, share in shares.items())


def _step(
    move: str,
    row: rows.MoveRow,
    state: str,
    shares: dict[str, int],
    reason: str,
) -> commands.StepMove:
    if state == moves.TAKEN_BACK:
        shares = dict.fromkeys(row.shares, 0)
    return commands.StepMove(move, row.step, state, shares, reason)
