"""Version moves: whether good ones complete and bad ones are taken back.

Runs the real move policy and the local cut-off of the entries on synthetic
traffic, and counts the requests that fail. The baseline is a canary with fixed
steps and a fixed threshold.
"""

import copy
import random

from _arbutuswalk.routing import version_outcomes
from _arbutuswalk.state import commands
from _arbutuswalk.state import counter_sum
from _arbutuswalk.state import inventory as inventories
from _arbutuswalk.state import move_policy
from _arbutuswalk.state import state_machine
from _arbutuswalk.state import tables as rows
from bench import harness

SEED_COUNT = 40
REQUESTS_PER_S = 40.0
TICK_S = 0.25
ROLLOUT_DEADLINE_S = 300
BAKE_S = 30
BASE_ERROR_RATE = 0.004
BASE_SLOW_RATE = 0.1
FIXED_SHARES_PERMILLE = (50, 250, 500, 1000)
FIXED_STEP_DURATION_S = 40
FIXED_ERROR_THRESHOLD = 0.05
GOOD_CASES = ("good", "good, quiet", "good, shared incident")
BAD_CASES = (
    "fails at once",
    "fails a tenth",
    "fails late",
    "fails under load",
    "fails on one route",
    "slow at once",
)


def make_inventory(version):
    inventory = copy.deepcopy(
        harness.make_inventory(
            upstreams=[
                {
                    "name": "model",
                    "kind": "model",
                    "owner": "w",
                    "version": version,
                    "domains": ["d1"],
                    "classes": ["c"],
                    "bake_s": BAKE_S,
                    "rollout_deadline_s": ROLLOUT_DEADLINE_S,
                }
            ]
        )
    )
    assert inventories.find_upstream(inventory, "model")
    return inventory


class FixedStepPolicy:
    """The baseline policy: fixed steps and a fixed error threshold."""

    def __init__(self):
        self.started_ms = None
        self.outcomes = counter_sum.CounterSum()

    def __call__(self, tables, reports, now_ms):
        step_commands = []
        for move, row in tables.moves.items():
            if row.state not in ("waiting", "growing", "baking"):
                continue
            if self.started_ms is None:
                self.started_ms = now_ms
            counts_by_key = move_policy.sum_reports(
                tables, reports, self.outcomes
            )
            new_counts = [
                counts_by_key.get(f"model|{row.new}|{r}") for r in row.shares
            ]
            request_count = sum(counts.ran for counts in new_counts if counts)
            failure_count = sum(
                counts.errors for counts in new_counts if counts
            )
            step_index = int(
                (now_ms - self.started_ms) / 1000 / FIXED_STEP_DURATION_S
            )
            if (
                request_count >= 20
                and failure_count / request_count > FIXED_ERROR_THRESHOLD
            ):
                step_commands.append(
                    commands.StepMove(
                        move,
                        row.step,
                        "taken_back",
                        dict.fromkeys(row.shares, 0),
                        "threshold",
                    )
                )
            elif step_index >= len(FIXED_SHARES_PERMILLE):
                step_commands.append(
                    commands.StepMove(
                        move, row.step, "done", row.shares, "steps"
                    )
                )
            elif FIXED_SHARES_PERMILLE[step_index] != max(row.shares.values()):
                shares = dict.fromkeys(
                    row.shares, FIXED_SHARES_PERMILLE[step_index]
                )
                step_commands.append(
                    commands.StepMove(move, row.step, "growing", shares, "step")
                )
        return step_commands


class ProductPolicy:
    """The policy of this project."""

    def __init__(self):
        self.trials = move_policy.MoveTrials()

    def __call__(self, tables, reports, now_ms):
        return move_policy.decide(tables, reports, self.trials, now_ms)


def new_version_rates(case, route, share, elapsed_s):
    """Returns the rates of failed and of slow requests to the new version."""
    error_rate, slow_rate = BASE_ERROR_RATE, BASE_SLOW_RATE
    if case == "fails at once":
        error_rate = 0.5
    elif case == "fails a tenth":
        error_rate = 0.1
    elif case == "fails late" and elapsed_s > 60:
        error_rate = 0.5
    elif case == "fails under load" and share >= 250:
        error_rate = 0.4
    elif case == "fails on one route" and route == "completions":
        error_rate = 0.5
    elif case == "slow at once":
        slow_rate = 0.6
    return error_rate, slow_rate


def simulate_move(case, policy, rng, *, local_cut_off):
    """Simulates one move.

    Returns:
        Final state, seconds, bad requests, all requests, and bad requests
        more than 5 s after the first one.
    """
    tables = rows.Tables()
    now_ms = 1000
    index = 0

    def commit(command):
        nonlocal index
        index += 1
        state_machine.apply(tables, state_machine.stamp(command, now_ms), index)

    commit(commands.Apply("a", "x", 0, make_inventory("v1")))
    commit(commands.Apply("b", "x", 1, make_inventory("v2")))
    entries = [version_outcomes.VersionOutcomes() for _ in range(7)]
    requests_per_s = 3.0 if case == "good, quiet" else REQUESTS_PER_S
    bad_requests = total_requests = late_bad_requests = 0
    first_bad_at_s = None
    due_requests = 0.0
    while True:
        now_ms += int(TICK_S * 1000)
        elapsed_s = now_ms / 1000 - 1
        (move, row), *_ = tables.moves.items()
        if row.state in ("done", "taken_back"):
            break
        due_requests += requests_per_s * TICK_S
        due_now, due_requests = (
            int(due_requests),
            due_requests - int(due_requests),
        )
        for _ in range(due_now):
            route = rng.choice(("chat", "completions"))
            share = row.shares[route]
            entry = rng.choice(entries)
            new_key = version_outcomes.OutcomeKey("model", "v2", route)
            old_key = version_outcomes.OutcomeKey("model", "v1", route)
            uses_new = rng.random() * 1000 < share
            if uses_new and local_cut_off and new_key in entry.cut_off:
                uses_new = False
            error_rate, slow_rate = BASE_ERROR_RATE, BASE_SLOW_RATE
            if case == "good, shared incident" and 40 < elapsed_s < 70:
                error_rate = 0.3
            if uses_new and case in BAD_CASES:
                error_rate, slow_rate = new_version_rates(
                    case, route, share, elapsed_s
                )
            failed = rng.random() < error_rate
            is_slow = rng.random() < slow_rate
            total_requests += 1
            if (
                uses_new
                and case in BAD_CASES
                and (failed or (is_slow and slow_rate > 0.5))
            ):
                bad_requests += 1
                first_bad_at_s = (
                    elapsed_s if first_bad_at_s is None else first_bad_at_s
                )
                late_bad_requests += elapsed_s > first_bad_at_s + 5
            entry.record(
                new_key if uses_new else old_key,
                failed=failed,
                latency_s=1.0 if is_slow else 0.1,
                baseline=old_key if uses_new else None,
                is_new_version=uses_new,
            )
        reports = {
            str(i): {
                "evidence": {
                    "|".join(key): [
                        counts.ran,
                        counts.errors,
                        counts.slow,
                        counts.timed,
                    ]
                    for key, counts in entry.counts.items()
                },
                "upstreams": {"u": ["model", "v2", "i", "d", "c", 4, 0, True]},
            }
            for i, entry in enumerate(entries)
        }
        for step_command in policy(tables, reports, now_ms):
            commit(step_command)
    del move
    return row.state, elapsed_s, bad_requests, total_requests, late_bad_requests


def main():
    print(
        f"{SEED_COUNT} seeds; two routes,"
        f" {REQUESTS_PER_S:.0f} requests/s (quiet: 3),"
        f" deadline {ROLLOUT_DEADLINE_S} s, bake {BAKE_S} s"
    )
    print(
        f"{'case':24}{'policy':8}{'right':>7}{'seconds':>9}"
        f"{'bad':>7}{'of traffic':>11}{'5 s later':>10}"
    )
    for case in (*GOOD_CASES, *BAD_CASES):
        expected_state = "taken_back" if case in BAD_CASES else "done"
        for policy_name, policy_class, local_cut_off in (
            ("ours", ProductPolicy, True),
            ("fixed", FixedStepPolicy, False),
        ):
            results = [
                simulate_move(
                    case,
                    policy_class(),
                    random.Random(9000 + i),
                    local_cut_off=local_cut_off,
                )
                for i in range(SEED_COUNT)
            ]
            correct_count = sum(
                result[0] == expected_state for result in results
            )
            bad_requests = harness.quantile([run[2] for run in results], 0.5)
            bad_share = harness.quantile(
                [run[2] / run[3] for run in results], 0.5
            )
            late_bad_requests = max(run[4] for run in results)
            duration_s = harness.quantile([run[1] for run in results], 0.5)
            print(
                f"{case:24}{policy_name:8}{correct_count:4}/{SEED_COUNT:<3}"
                f"{duration_s:8.0f}{bad_requests:8.0f}"
                f"{bad_share * 100:10.2f}%{late_bad_requests:10.0f}"
            )


if __name__ == "__main__":
    main()
