"""Routing policies side by side: recomputed tokens, latencies, cost."""

import hashlib
import itertools

from _arbutuswalk.routing import choose
from _arbutuswalk.routing import prefixes
from bench import rig
from bench import sim

SEEDS = 10
ENGINES = 5
ENTRIES = 7
JOBS = 1500
RATE = 13.0
FIRST_TOKEN_TARGET_S = 0.41
PRICE_PER_S = 1.0


def round_robin(_rng):
    turn = itertools.count()
    return lambda rows, job: rows[next(turn) % len(rows)]


def least_loaded(rng):
    def pick(rows, _job):
        least = min(row.load for row in rows)
        return rng.choice([row for row in rows if row.load == least])

    return pick


def prefix_hash(_rng):
    def pick(rows, job):
        def weight(row):
            text = f"{job.features.affinity}|{row.announcement['id']}"
            return hashlib.blake2b(text.encode()).digest()

        return max(rows, key=weight)

    return pick


def ours(_rng):
    def pick(rows, job):
        return choose.choose(rows, job.features) or min(
            rows, key=lambda row: row.load
        )

    return pick


POLICIES = {
    "round robin": round_robin,
    "least loaded": least_loaded,
    "prefix hash": prefix_hash,
    "ours": ours,
}


def run(policy, rng):
    """Runs one workload through one policy; returns its figures."""
    clock = sim.Clock()
    engines = [sim.Engine(clock, f"u{i}") for i in range(ENGINES)]
    pool = sim.Pool(clock, engines, ENTRIES)
    jobs = sim.dossier_jobs(rng, JOBS, RATE)
    pick = POLICIES[policy](rng)

    def arrive(job):
        table = pool.tables[job.number % ENTRIES]
        row = pick(table.rows_for("model"), job)
        row.sent_since_report += 1
        row.active_attempts[str(job.number)] = None
        row.prefix_index.record(job.features.blocks)

        def end():
            row.ended_since_report += 1
            row.active_attempts.pop(str(job.number), None)

        job.on_end = end
        pool.engines[row.announcement["id"]].submit(job)

    for job in jobs:
        clock.at(job.arrived, lambda job=job: arrive(job))
    clock.run(jobs[-1].arrived + 120)
    answered = [job for job in jobs if job.done_at is not None]
    firsts = [job.first for job in answered]
    gaps = [gap for job in answered for gap in job.gaps]
    within = sum(first <= FIRST_TOKEN_TARGET_S for first in firsts)
    span = max(job.done_at for job in answered)
    return {
        "recomputed": sum(engine.computed for engine in engines)
        - first_time(jobs),
        "first_p95_s": rig.quantile(firsts, 0.95),
        "gap_p95_s": rig.quantile(gaps, 0.95),
        "cost_per_1000": ENGINES * span * PRICE_PER_S / max(1, within) * 1000,
    }


def first_time(jobs):
    """Returns the prompt tokens that nobody had computed before."""
    seen = set()
    tokens = 0
    for job in jobs:
        held = 0
        for block in job.features.blocks:
            if block not in seen:
                break
            held += prefixes.BLOCK_TOKENS
        tokens += max(0, job.features.prompt_tokens - held)
        seen.update(job.features.blocks)
    return tokens


def main():
    print(
        f"{SEEDS} seeds, {JOBS} requests at {RATE}/s on {ENGINES} engines,"
        f" {ENTRIES} entries; median (least to most)"
    )
    for policy in POLICIES:
        rows = [run(policy, rng) for rng in sim.seeds(SEEDS)]
        cells = []
        for key in rows[0]:
            values = sorted(row[key] for row in rows)
            cells.append(
                f"{key} {values[len(values) // 2]:.4g}"
                f" ({values[0]:.4g}-{values[-1]:.4g})"
            )
        print(f"{policy:13}", "; ".join(cells))


if __name__ == "__main__":
    main()
