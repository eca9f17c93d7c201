"""Which control processes send an entry loads and heartbeats of endpoints.

Designed for hundreds of entries, whose loads and heartbeats are most of what
control sends. Those of the entry's own failure domain send them with every
reply, which costs no bytes between failure domains; the others only every
``FAR_INTERVAL_S``, so that heartbeats arrive also while the near ones are cut
off from endpoints or from their peers. Without a near one all send them.
"""

from collections.abc import Iterable
from typing import Any

from _arbutuswalk.base import events
from _arbutuswalk.relay import control_features
from _arbutuswalk.relay import endpoint_speeds
from _arbutuswalk.relay import leaving_endpoints
from _arbutuswalk.relay import placement
from _arbutuswalk.relay import relay_state
from _arbutuswalk.relay import report_feed
from _arbutuswalk.relay import workspace_demand
from _arbutuswalk.routing import directory
from _arbutuswalk.routing import silence

FAR_INTERVAL_S = 2.0
"""Interval of the status of a control process in another failure domain."""


class StatusFeed:
    """Loads and heartbeats that one control process sends.

    Attributes:
        domain: Failure domain of the process, empty if unknown.
        is_ready: Whether its replies cover all running entries.
        revision: Directory revision of its last status.
        received_at: When its last status was received, in seconds.
        unknown_ids: Endpoints of which it sent heartbeats only, and which this
            entry does not have.
        speeds: Speeds of endpoints exchanged with it.
        demand: Demand and shares of workspaces exchanged with it.
    """

    def __init__(self):
        self.domain = ""
        self.is_ready = False
        self.revision = 0
        self.received_at = float("-inf")
        self.unknown_ids: set[str] = set()
        self.speeds = report_feed.ReportFeed()
        self.demand = report_feed.ReportFeed()


def is_wanted(
    feed: StatusFeed, feeds: Iterable[StatusFeed], domain: str, now: float
) -> bool:
    """Returns whether to ask a control process for loads and heartbeats.

    Args:
        feed: The feed of that process.
        feeds: The feeds of all processes.
        domain: Failure domain of the entry.
        now: Seconds.
    """
    if _is_near(feed, domain):
        return True
    has_near = any(_is_near(other, domain) for other in feeds)
    return not has_near or now - feed.received_at >= FAR_INTERVAL_S


def to_json(
    relay: relay_state.Relay, feed: StatusFeed, *, wanted: bool
) -> dict[str, Any]:
    """Returns the part of a watch's report that asks for a status."""
    fields: dict[str, Any] = {"status_since": feed.revision if wanted else None}
    if feed.unknown_ids:
        fields["unknown"] = sorted(feed.unknown_ids)
    if relay.options.rejects_late:
        fields |= workspace_demand.to_json(
            relay.workspace_demand, feed.demand, relay.now()
        )
    return fields | endpoint_speeds.to_json(relay.endpoint_speeds, feed.speeds)


def record_reply(
    relay: relay_state.Relay,
    feed: StatusFeed,
    news: dict[str, Any],
    revision: int,
    source: str,
) -> None:
    """Applies the heartbeats in a reply and records what it covers.

    Args:
        relay: State of the entry.
        feed: The feed of the process that replied.
        news: The reply, whose endpoints were merged before.
        revision: Directory revision of the reply.
        source: Link address of the process.
    """
    feed.domain = news.get("domain", "")
    feed.is_ready = control_features.is_settled(news)
    feed.unknown_ids = set()
    for fields in news.get("heartbeats", []):
        heartbeat = directory.heartbeat_from_json(fields)
        if isinstance(heartbeat, str):
            events.record(events.Event.ENDPOINT_INVALID, source, heartbeat)
        elif not _apply_heartbeat(relay, heartbeat, source):
            feed.unknown_ids.add(heartbeat.id)
    for fields in news.get("removed", []):
        _record_removal(relay, directory.heartbeat_from_json(fields), source)
    endpoint_speeds.record_reply(
        relay.endpoint_speeds, feed.speeds, news, relay.now(), relay.metrics
    )
    workspace_demand.record_reply(
        relay.workspace_demand, feed.demand, news, relay.now(), relay.metrics
    )
    if "loads" in news:
        feed.revision = revision
        feed.received_at = relay.now()


def _is_near(feed: StatusFeed, domain: str) -> bool:
    return feed.is_ready and bool(domain) and feed.domain == domain


def _apply_heartbeat(
    relay: relay_state.Relay, heartbeat: directory.Heartbeat, source: str
) -> bool:
    """Applies the heartbeat of a known start; returns whether it is known.

    A heartbeat of an older start than the known one changes nothing, unless
    that one is of an upstream that the configuration does not name.
    """
    row = relay.directory.rows.get(heartbeat.id)
    if row is None or row.endpoint.born_ms < heartbeat.born_ms:
        return False
    if row.endpoint.born_ms == heartbeat.born_ms:
        leaving_endpoints.merge_announcement(
            relay, directory.with_heartbeat(row.endpoint, heartbeat), source
        )
        return True
    return directory.is_configured(relay.directory, row.endpoint)


def _record_removal(
    relay: relay_state.Relay, removed: directory.Heartbeat | str, source: str
) -> None:
    """Uses an endpoint last that a process no longer knows.

    It may live: it is used where there is no other, unless a newer heartbeat of
    it is known here.
    """
    if isinstance(removed, str):
        events.record(events.Event.ENDPOINT_INVALID, source, removed)
        return
    heard_before = relay.now() - placement.doubtful_after_s(relay)
    if silence.record(relay.directory, removed, heard_before):
        events.record(
            events.Event.ENDPOINT_SUSPECT, removed.id, f"removed by {source}"
        )


def record_loads(
    relay: relay_state.Relay,
    loads: dict[str, list[int]],
    reported: dict[str, relay_state.Load],
) -> None:
    """Sets other entries' loads: the totals minus what this one reported."""
    relay.other_loads = {
        name: relay_state.Load(
            max(0, running - own_share.running),
            max(0, tokens - own_share.waiting_tokens),
        )
        for name, (running, tokens, *_) in loads.items()
        for own_share in [reported.get(name, relay_state.Load())]
    }
