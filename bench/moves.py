"""Version moves: good ones done in time, bad ones taken back, at what cost.

Drives the real decisions and the entries' local cut-off on synthetic traffic;
the baseline is a canary of fixed steps with fixed thresholds.
"""

import copy
import random

from _arbutuswalk.routing import version_outcomes
from _arbutuswalk.state import commands
from _arbutuswalk.state import inventory as inventories
from _arbutuswalk.state import move_policy
from _arbutuswalk.state import state_machine
from _arbutuswalk.state import tables as rows
from bench import rig

SEEDS = 40
RATE = 40.0
TICK_S = 0.25
DEADLINE_S = 300
BAKE_S = 30
BASE_ERROR = 0.004
BASE_SLOW = 0.1
FIXED_STEPS = (50, 250, 500, 1000)
FIXED_STEP_S = 40
FIXED_THRESHOLD = 0.05
GOOD = ("good", "good, quiet", "good, shared incident")
BAD = (
    "fails at once",
    "fails a tenth",
    "fails late",
    "fails under load",
    "fails on one route",
    "slow at once",
)


def inventory(version):
    made = copy.deepcopy(
        rig.inventory(
            upstreams=[
                {
                    "name": "model",
                    "kind": "model",
                    "owner": "w",
                    "version": version,
                    "domains": ["d1"],
                    "classes": ["c"],
                    "bake_s": BAKE_S,
                    "rollout_deadline_s": DEADLINE_S,
                }
            ]
        )
    )
    assert inventories.find_upstream(made, "model")
    return made


class Fixed:
    """The baseline's decision: fixed steps, fixed threshold."""

    def __init__(self):
        self.since_ms = None

    def __call__(self, tables, reports, now_ms):
        steps = []
        for move, row in tables.moves.items():
            if row.state not in ("waiting", "growing", "baking"):
                continue
            if self.since_ms is None:
                self.since_ms = now_ms
            sums = move_policy.sum_reports(reports)
            new = [sums.get(f"model|{row.new}|{r}") for r in row.shares]
            ran = sum(s.ran for s in new if s)
            failed = sum(s.errors for s in new if s)
            step = int((now_ms - self.since_ms) / 1000 / FIXED_STEP_S)
            if ran >= 20 and failed / ran > FIXED_THRESHOLD:
                steps.append(
                    commands.StepMove(
                        move,
                        row.step,
                        "taken_back",
                        dict.fromkeys(row.shares, 0),
                        "threshold",
                    )
                )
            elif step >= len(FIXED_STEPS):
                steps.append(
                    commands.StepMove(
                        move, row.step, "done", row.shares, "steps"
                    )
                )
            elif FIXED_STEPS[step] != max(row.shares.values()):
                shares = dict.fromkeys(row.shares, FIXED_STEPS[step])
                steps.append(
                    commands.StepMove(move, row.step, "growing", shares, "step")
                )
        return steps


class Ours:
    """The product's decision."""

    def __init__(self):
        self.trials = move_policy.MoveTrials()

    def __call__(self, tables, reports, now_ms):
        return move_policy.decide(tables, reports, self.trials, now_ms)


def behaviour(case, route, share, elapsed_s):
    """Returns the new version's chances to fail and to be slow."""
    error, slow = BASE_ERROR, BASE_SLOW
    if case == "fails at once":
        error = 0.5
    elif case == "fails a tenth":
        error = 0.1
    elif case == "fails late" and elapsed_s > 60:
        error = 0.5
    elif case == "fails under load" and share >= 250:
        error = 0.4
    elif case == "fails on one route" and route == "completions":
        error = 0.5
    elif case == "slow at once":
        slow = 0.6
    return error, slow


def run(case, decide, rng, *, local_cut):
    """Runs one move; returns outcome, seconds, bad requests, traffic."""
    tables = rows.Tables()
    now_ms = 1000
    index = 0

    def commit(command):
        nonlocal index
        index += 1
        state_machine.apply(tables, state_machine.stamp(command, now_ms), index)

    commit(commands.Apply("a", "x", 0, inventory("v1")))
    commit(commands.Apply("b", "x", 1, inventory("v2")))
    entries = [version_outcomes.VersionOutcomes() for _ in range(7)]
    rate = 3.0 if case == "good, quiet" else RATE
    bad = traffic = new_bad_after = 0
    shown_at = None
    due = 0.0
    while True:
        now_ms += int(TICK_S * 1000)
        elapsed_s = now_ms / 1000 - 1
        (move, row), *_ = tables.moves.items()
        if row.state in ("done", "taken_back"):
            break
        due += rate * TICK_S
        count, due = int(due), due - int(due)
        for _ in range(count):
            route = rng.choice(("chat", "completions"))
            share = row.shares[route]
            entry = rng.choice(entries)
            side = version_outcomes.OutcomeKey("model", "v2", route)
            old = version_outcomes.OutcomeKey("model", "v1", route)
            new = rng.random() * 1000 < share
            if new and local_cut and side in entry.cut_off:
                new = False
            error, slow = BASE_ERROR, BASE_SLOW
            if case == "good, shared incident" and 40 < elapsed_s < 70:
                error = 0.3
            if new and case in BAD:
                error, slow = behaviour(case, route, share, elapsed_s)
            failed = rng.random() < error
            late = rng.random() < slow
            traffic += 1
            if new and case in BAD and (failed or (late and slow > 0.5)):
                bad += 1
                shown_at = elapsed_s if shown_at is None else shown_at
                new_bad_after += elapsed_s > shown_at + 5
            entry.record(
                side if new else old,
                failed=failed,
                latency_s=1.0 if late else 0.1,
                baseline=old if new else None,
                is_new_version=new,
            )
        reports = {
            str(i): {
                "evidence": {
                    "|".join(s): [c.ran, c.errors, c.slow, c.timed]
                    for s, c in entry.counts.items()
                },
                "upstreams": {"u": ["model", "v2", "i", "d", "c", 4, 0, True]},
            }
            for i, entry in enumerate(entries)
        }
        for step in decide(tables, reports, now_ms):
            commit(step)
    del move
    return row.state, elapsed_s, bad, traffic, new_bad_after


def main():
    print(
        f"{SEEDS} seeds; two routes, {RATE:.0f} requests/s (quiet: 3),"
        f" deadline {DEADLINE_S} s, bake {BAKE_S} s"
    )
    print(
        f"{'case':24}{'policy':8}{'right':>7}{'seconds':>9}"
        f"{'bad':>7}{'of traffic':>11}{'5 s later':>10}"
    )
    for case in (*GOOD, *BAD):
        right = "taken_back" if case in BAD else "done"
        for name, make, local in (
            ("ours", Ours, True),
            ("fixed", Fixed, False),
        ):
            results = [
                run(case, make(), random.Random(9000 + i), local_cut=local)
                for i in range(SEEDS)
            ]
            hits = sum(result[0] == right for result in results)
            bad = rig.quantile([r[2] for r in results], 0.5)
            share = rig.quantile([r[2] / r[3] for r in results], 0.5)
            after = max(r[4] for r in results)
            took = rig.quantile([r[1] for r in results], 0.5)
            print(
                f"{case:24}{name:8}{hits:4}/{SEEDS:<3}{took:8.0f}"
                f"{bad:8.0f}{share * 100:10.2f}%{after:10.0f}"
            )


if __name__ == "__main__":
    main()
