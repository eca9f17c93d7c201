"""What an entry knows of the speed of endpoints.

It measures the answers that it sees and reports them to control, which compares
those of all entries and sends back how much slower than the typical endpoint of
the upstream each one is.
"""

import collections
from typing import Any
from typing import NamedTuple

from _arbutuswalk.base import metrics
from _arbutuswalk.base import settings
from _arbutuswalk.relay import report_feed
from _arbutuswalk.routing import directory
from _arbutuswalk.routing import endpoint_speed
from _arbutuswalk.wire import speed_fields

MAX_UNREPORTED = 64
"""Samples kept until every control process has confirmed them: those of some
seconds. Under heavy load the newest are enough."""
MAX_AGE_S = 30.0
"""Time without news from control after which no speed is assumed, three times
the longest time between two."""
METRIC = "endpoint_slowness_percent"


class Sample(NamedTuple):
    """Measures of one answer.

    Attributes:
        endpoint_id: Id of the endpoint.
        born_ms: Start of the endpoint, in Unix milliseconds.
        measures: What the answer shows.
    """

    endpoint_id: str
    born_ms: int
    measures: endpoint_speed.Measures


class Slowness(NamedTuple):
    """Time that one start of an endpoint takes, relative to the typical one."""

    born_ms: int
    factor: float


class EndpointSpeeds:
    """Measured answers, and speeds that control has found.

    Attributes:
        samples: Latest samples.
        count: Number of samples so far.
        slowness: Newest speeds by endpoint; typical endpoints are left out.
        updated_at: When they were received, in seconds.
    """

    def __init__(self):
        self.samples: collections.deque[Sample] = collections.deque(
            maxlen=MAX_UNREPORTED
        )
        self.count = 0
        self.slowness: dict[str, Slowness] = {}
        self.updated_at = float("-inf")

    def add(self, sample: Sample) -> None:
        """Adds a sample for the next reports."""
        self.samples.append(sample)
        self.count += 1

    def factor(self, endpoint: directory.Endpoint, now: float) -> float:
        """Returns the relative time of an endpoint, 1 if it is not known."""
        if not self.slowness:
            return 1.0
        slowness = self.slowness.get(endpoint.id)
        if slowness is None or slowness.born_ms != endpoint.born_ms:
            return 1.0
        return slowness.factor if now - self.updated_at <= MAX_AGE_S else 1.0


def to_json(
    speeds: EndpointSpeeds, feed: report_feed.ReportFeed
) -> dict[str, Any]:
    """Returns the part of a report for one control process.

    It is empty unless there is something to say, as without model requests.
    """
    unconfirmed = min(speeds.count - feed.confirmed, len(speeds.samples))
    feed.sent = speeds.count
    if not unconfirmed and not feed.revision:
        return {}
    rows = [
        [sample.endpoint_id, sample.born_ms, *sample.measures]
        for sample in list(speeds.samples)[len(speeds.samples) - unconfirmed :]
    ]
    return {"speeds": [feed.revision, speeds.count, rows]}


def record_reply(
    speeds: EndpointSpeeds,
    feed: report_feed.ReportFeed,
    news: dict[str, Any],
    now: float,
    entry_metrics: metrics.Metrics,
) -> None:
    """Records the speeds in a reply, and that a report has arrived."""
    feed.confirmed = feed.sent
    fields = news.get("speeds")
    if not isinstance(fields, list) or len(fields) < 2:
        return
    revision, values = fields[:2]
    if not settings.is_non_negative_int(revision):
        return
    feed.revision = revision
    speeds.slowness = {
        endpoint_id: Slowness(born_ms, speed_fields.factor(steps))
        for endpoint_id, (born_ms, steps) in speed_fields.valid(values).items()
    }
    speeds.updated_at = now
    entry_metrics.replace_values(
        METRIC,
        {
            f'endpoint="{endpoint_id}"': round(slowness.factor * 100)
            for endpoint_id, slowness in speeds.slowness.items()
        },
    )
