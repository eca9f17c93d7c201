"""Comparison of routing policies: recomputed tokens, latency, cost."""

import hashlib
import itertools

from _arbutuswalk.routing import choose
from _arbutuswalk.routing import prefixes
from bench import harness
from bench import sim

SEED_COUNT = 10
ENGINE_COUNT = 5
ENTRY_COUNT = 7
REQUEST_COUNT = 1500
REQUESTS_PER_S = 13.0
FIRST_TOKEN_TARGET_S = 0.41
ENGINE_PRICE_PER_S = 1.0


def round_robin(_rng):
    turns = itertools.count()
    return lambda rows, request: rows[next(turns) % len(rows)]


def least_loaded(rng):
    def choose_row(rows, _request):
        least_load = min(row.load for row in rows)
        return rng.choice([row for row in rows if row.load == least_load])

    return choose_row


def prefix_hash(_rng):
    def choose_row(rows, request):
        def hash_of_row(row):
            text = f"{request.features.affinity}|{row.announcement['id']}"
            return hashlib.blake2b(text.encode()).digest()

        return max(rows, key=hash_of_row)

    return choose_row


def product_policy(_rng):
    def choose_row(rows, request):
        return choose.choose(rows, request.features) or min(
            rows, key=lambda row: row.load
        )

    return choose_row


POLICIES = {
    "round robin": round_robin,
    "least loaded": least_loaded,
    "prefix hash": prefix_hash,
    "ours": product_policy,
}


def simulate(policy, rng):
    """Simulates a random workload under one policy; returns its results."""
    clock = sim.Clock()
    engines = [sim.Engine(clock, f"u{i}") for i in range(ENGINE_COUNT)]
    fleet = sim.SimulatedFleet(clock, engines, ENTRY_COUNT)
    requests = sim.make_dossier_requests(rng, REQUEST_COUNT, REQUESTS_PER_S)
    choose_row = POLICIES[policy](rng)

    def arrive(request):
        table = fleet.entry_tables[request.number % ENTRY_COUNT]
        row = choose_row(table.rows_for("model"), request)
        row.sent_since_report += 1
        row.active_attempts[str(request.number)] = None
        row.prefix_index.record(request.features.blocks)

        def finish():
            row.ended_since_report += 1
            row.active_attempts.pop(str(request.number), None)

        request.on_end = finish
        fleet.engines[row.announcement["id"]].submit(request)

    for request in requests:
        clock.schedule(
            request.arrived_at, lambda request=request: arrive(request)
        )
    clock.run(requests[-1].arrived_at + 120)
    finished = [
        request for request in requests if request.finished_at is not None
    ]
    first_token_times_s = [request.first_token_s for request in finished]
    token_gaps_s = [
        gap_s for request in finished for gap_s in request.token_gaps_s
    ]
    within_target = sum(
        first_token_s <= FIRST_TOKEN_TARGET_S
        for first_token_s in first_token_times_s
    )
    duration_s = max(request.finished_at for request in finished)
    return {
        "recomputed": sum(engine.computed_tokens for engine in engines)
        - count_first_seen_tokens(requests),
        "first_p95_s": harness.quantile(first_token_times_s, 0.95),
        "gap_p95_s": harness.quantile(token_gaps_s, 0.95),
        "cost_per_1000": ENGINE_COUNT
        * duration_s
        * ENGINE_PRICE_PER_S
        / max(1, within_target)
        * 1000,
    }


def count_first_seen_tokens(requests):
    """Returns the prompt tokens that no earlier prompt has in its blocks.

    No policy can avoid computing them.
    """
    seen_blocks = set()
    tokens = 0
    for request in requests:
        cached_tokens = 0
        for block in request.features.blocks:
            if block not in seen_blocks:
                break
            cached_tokens += prefixes.BLOCK_TOKENS
        tokens += max(0, request.features.prompt_tokens - cached_tokens)
        seen_blocks.update(request.features.blocks)
    return tokens


def main():
    print(
        f"{SEED_COUNT} seeds, {REQUEST_COUNT} requests at"
        f" {REQUESTS_PER_S}/s on {ENGINE_COUNT} engines,"
        f" {ENTRY_COUNT} entries; median (least to most)"
    )
    for policy in POLICIES:
        results = [simulate(policy, rng) for rng in sim.make_rngs(SEED_COUNT)]
        cells = []
        for key in results[0]:
            values = sorted(result[key] for result in results)
            cells.append(
                f"{key} {values[len(values) // 2]:.4g}"
                f" ({values[0]:.4g}-{values[-1]:.4g})"
            )
        print(f"{policy:13}", "; ".join(cells))


if __name__ == "__main__":
    main()
