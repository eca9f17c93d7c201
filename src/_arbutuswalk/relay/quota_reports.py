"""Exchanges quota use with control.

Totals of different control processes, and of different starts of one, differ by
what each has not seen. Only their increases are comparable, so the totals of a
new connection are a baseline.
"""

from collections.abc import Iterable
from typing import Any
from typing import NamedTuple

from _arbutuswalk.base import events
from _arbutuswalk.base import rows
from _arbutuswalk.limits import quota


class Report(NamedTuple):
    """Quota use of all entries as a control process reports it.

    Attributes:
        taken: Tokens that entries took, by workspace.
        returned: Tokens of their shares that entries returned to the shared
            buckets, by workspace.
        pools: Shared bucket by workspace, if an entry has one.
    """

    taken: dict[str, float]
    returned: dict[str, float]
    pools: dict[str, quota.Pool]


class QuotaFeed:
    """Quota use that one control process reported.

    Attributes:
        address: Link address of the process.
        reported_taken: Own use last reported to it, by workspace.
        reported_returned: Own returned tokens last reported to it.
        taken: Use of all entries that it last reported, since its start.
        taken_offsets: Difference between the use of other entries that a
            bucket counts and that this process reports, by workspace. Empty
            after its start and after a lost connection.
        returned_offsets: The same for returned tokens.
        returned: Returned tokens of other entries on the scale of the buckets,
            by workspace.
    """

    def __init__(self, *, address: str):
        self.address = address
        self.reported_taken: dict[str, float] = {}
        self.reported_returned: dict[str, float] = {}
        self.taken: dict[str, float] = {}
        self.taken_offsets: dict[str, float] = {}
        self.returned_offsets: dict[str, float] = {}
        self.returned: dict[str, float] = {}


def to_json(buckets: dict[str, quota.Bucket], now: float) -> dict[str, Any]:
    """Returns an entry's own quota use for its report to control.

    Every entry sends it to every control process several times per second, so
    numbers are rounded, and levels follow the order of ``taken``.
    """
    pools = [bucket.shared_pool(now) for bucket in buckets.values()]
    ages_s = [pool.age_s for pool in pools if pool is not None]
    return {
        "taken": {name: bucket.taken for name, bucket in buckets.items()},
        "returned": {
            name: round(bucket.returned)
            for name, bucket in buckets.items()
            if bucket.returned
        },
        "levels": [pool and round(pool.level) for pool in pools],
        "pool_age_s": round(max(ages_s, default=0.0), 1),
        "has_share": None in pools,
    }


def from_json(news: dict[str, Any]) -> Report:
    """Returns the report in a control process's reply to a watch."""
    pools = news.get("pools", {})
    return Report(
        taken=news["taken"],
        returned=news.get("returned", {}),
        pools={
            name: rows.parse(quota.Pool, pool) for name, pool in pools.items()
        },
    )


def record(
    buckets: dict[str, quota.Bucket],
    feed: QuotaFeed,
    report: Report,
    *,
    now: float,
    is_continued: bool,
) -> None:
    """Records other entries' quota use: the totals minus our own share."""
    _log_falls(feed, report.taken)
    if not is_continued:
        feed.taken_offsets.clear()
        feed.returned_offsets.clear()
        feed.returned.clear()
    for name, bucket in buckets.items():
        _record_returned_total(bucket, feed, report, name)
        others = report.taken.get(name, 0.0)
        others -= feed.reported_taken.get(name, 0.0)
        if not is_continued:
            feed.taken_offsets[name] = bucket.others_taken - others
            bucket.record_baseline(now, report.pools.get(name))
            continue
        if name not in feed.taken_offsets:
            # The bucket is newer than the last totals.
            baseline = feed.taken.get(name, 0.0)
            feed.taken_offsets[name] = bucket.others_taken - baseline
        bucket.record_report(others + feed.taken_offsets[name], now)
    feed.taken = report.taken


def _record_returned_total(
    bucket: quota.Bucket, feed: QuotaFeed, report: Report, name: str
) -> None:
    others = report.returned.get(name, 0.0)
    others -= feed.reported_returned.get(name, 0.0)
    offset = feed.returned_offsets.setdefault(
        name, bucket.others_returned - others
    )
    feed.returned[name] = others + offset


def record_returned(
    buckets: dict[str, quota.Bucket], feeds: Iterable[QuotaFeed]
) -> None:
    """Records what the others returned according to every connected feed.

    A feed that learnt of a return later than the bucket counts it again, one
    that learnt of it earlier does not.
    """
    for name, bucket in buckets.items():
        totals = [
            feed.returned[name] for feed in feeds if name in feed.returned
        ]
        if totals:
            bucket.record_returned(min(totals))


def _log_falls(feed: QuotaFeed, totals: dict[str, float]) -> None:
    """Logs the workspaces whose reported quota use is below the last one."""
    for name, total in totals.items():
        before = feed.taken.get(name, 0.0)
        if total < before:
            events.record(
                events.Event.QUOTA_USE_FELL,
                name,
                feed.address,
                round(total),
                round(before),
            )
