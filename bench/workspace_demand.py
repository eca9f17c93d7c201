"""Bytes and times of the exchange of demand between entries and control.

Every entry is asked for everything by all workspaces, upstreams and priorities.
At some time one workspace begins to send seven times its usual, which is more
than can be served.
"""

import itertools
import random
import statistics
import time

from _arbutuswalk.base import metrics
from _arbutuswalk.control import demand_reports
from _arbutuswalk.control import report_checks
from _arbutuswalk.relay import report_feed
from _arbutuswalk.relay import workspace_demand
from _arbutuswalk.wire import compressed_json
from _arbutuswalk.wire import watch_timing

WORKSPACES = [
    f"{name}-{kind}"
    for name in ("maple", "birch", "cedar", "alder")
    for kind in ("search", "batch", "chat", "reports")
]
UPSTREAMS = ("chat-large", "embed-small")
PRIORITIES = (0, 3, 7)
REQUESTS_PER_S = (130.0, 600.0, 3000.0)
HOT = WORKSPACES[0]
HOT_FACTOR = 7
SERVED = 0.8
ENDPOINTS = [f"i-{i * 2654435761 % 2**32:08x}" for i in range(78)]
DURATION_S = 40.0
HOT_FROM_S = 20.0
ENTRY_COUNTS = (30, 80, 191, 300)
US_PER_S = 1e6
BITS_PER_BYTE = 8
LINK_BITS_PER_S = 3.75e6


class Entry:
    """State of one entry, and its report without demand."""

    def __init__(self, rng):
        self.demand = workspace_demand.WorkspaceDemand()
        self.feed = report_feed.ReportFeed()
        self.metrics = metrics.Metrics()
        self.other_fields = {
            "loads": {
                name: [rng.randrange(9), rng.randrange(9000)]
                for name in ENDPOINTS
            },
            "taken": {name: rng.uniform(0, 1e7) for name in WORKSPACES},
        }


class Measured:
    """Sums over all reports after the warm-up."""

    def __init__(self):
        self.bytes_up = 0
        self.bytes_down = 0
        self.record_s = 0.0
        self.parts_s = []
        self.count_s = 0.0
        self.requests = 0
        self.known_s = float("inf")
        self.over_shares = []


def ask(entry, workspace, now, rng, measured):
    """Records one request of a random kind."""
    upstream, priority = rng.choice(UPSTREAMS), rng.choice(PRIORITIES)
    cost = rng.lognormvariate(7.3, 0.8) if upstream == UPSTREAMS[0] else 1.0
    args = entry.demand, upstream, workspace, priority, cost, now
    started_at = time.process_time()
    workspace_demand.record_asked(*args)
    if now < HOT_FROM_S or rng.random() < SERVED:
        workspace_demand.record_admitted(*args)
    workspace_demand.excess(entry.demand, upstream, workspace, now)
    measured.count_s += time.process_time() - started_at
    measured.requests += 1


def added_bytes(fields, added):
    """Returns by how many bytes a message grows."""
    return len(compressed_json.encode(fields | added)) - len(
        compressed_json.encode(fields)
    )


def watch(name, entry, reports, now, measured):
    """Sends a report, and applies its reply."""
    report = workspace_demand.to_json(entry.demand, entry.feed, now)
    measured.bytes_up += added_bytes(entry.other_fields, report)
    started_at = time.process_time()
    assert not report_checks.find_problem(report)
    reports.record((name, 1), report, now)
    recorded_at = time.process_time()
    news = reports.parts(None, report["demand"][0], now)
    measured.record_s += recorded_at - started_at
    measured.parts_s.append(time.process_time() - recorded_at)
    measured.bytes_down += added_bytes(entry.other_fields, news)
    workspace_demand.record_reply(
        entry.demand, entry.feed, news, now, entry.metrics
    )


def knows_hot(entry):
    """Returns whether an entry knows who is over its share."""
    return any(workspace == HOT for _, workspace in entry.demand.excess)


def over_share(reports):
    """Returns the share of the other workspaces that are over theirs."""
    count = sum(
        workspace != HOT
        for table in reports.table.values()
        for workspace in table
    )
    return count / len(UPSTREAMS) / (len(WORKSPACES) - 1)


def measure(entry_count, requests_per_s, seed=1):
    """Returns what one control process and its entries need."""
    rng = random.Random(seed)
    entries = {f"e{i}": Entry(rng) for i in range(entry_count)}
    reports = demand_reports.DemandReports(metrics=metrics.Metrics())
    measured = Measured()
    names = list(entries)
    for step in itertools.count():
        now = step * watch_timing.MAX_WAIT_S
        if now >= DURATION_S:
            return measured
        is_hot = now >= HOT_FROM_S
        asking = WORKSPACES + [HOT] * (HOT_FACTOR - 1) * is_hot
        rate_per_s = requests_per_s * len(asking) / len(WORKSPACES)
        for _ in range(round(rate_per_s * watch_timing.MAX_WAIT_S)):
            entry = entries[rng.choice(names)]
            ask(entry, rng.choice(asking), now, rng, measured)
        for i, name in enumerate(names):
            at = now + watch_timing.MAX_WAIT_S * i / entry_count
            watch(name, entries[name], reports, at, measured)
        if is_hot and all(knows_hot(entry) for entry in entries.values()):
            measured.known_s = min(measured.known_s, at - HOT_FROM_S)
            measured.over_shares.append(over_share(reports))


def main():
    """Prints a line for each load and number of entries."""
    for requests_per_s, entry_count in itertools.product(
        REQUESTS_PER_S, ENTRY_COUNTS
    ):
        measured = measure(entry_count, requests_per_s)
        up, down = (
            count / entry_count / DURATION_S
            for count in (measured.bytes_up, measured.bytes_down)
        )
        link_share = (
            max(up, down) * entry_count * BITS_PER_BYTE / LINK_BITS_PER_S
        )
        count = len(measured.parts_s)
        updates = sorted(measured.parts_s)[-int(DURATION_S / 2) :]
        over = statistics.mean(measured.over_shares)
        print(
            f"{requests_per_s:.0f}/s, {entry_count} entries: {up:.0f} B/s up, "
            f"{down:.0f} B/s down an entry and control process, "
            f"{link_share:.1%} of control's link; "
            f"{measured.record_s / count * US_PER_S:.0f} us to record a "
            f"report, {sum(measured.parts_s) / count * US_PER_S:.0f} us for "
            f"its reply, {statistics.median(updates) * 1e3:.1f} ms an update; "
            f"{measured.count_s / measured.requests * US_PER_S:.1f} us a "
            f"request at the entry; known to all after {measured.known_s:.1f}"
            f" s; others over {over:.1%}",
            flush=True,
        )


if __name__ == "__main__":
    main()
