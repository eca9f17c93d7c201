"""Keeps one quota bucket for each workspace of the route configuration."""

from _arbutuswalk.base import events
from _arbutuswalk.limits import quota
from _arbutuswalk.limits import quota_levels
from _arbutuswalk.relay import relay_state
from _arbutuswalk.state import routeconfig


def update(
    relay: relay_state.Relay,
    config: routeconfig.RouteConfig,
    *,
    is_first_config: bool,
) -> None:
    """Creates and resizes the buckets of the workspaces that have a quota.

    They are created with the configuration instead of at the first request, so
    that they follow the other entries' use from then on.

    Args:
        relay: State of the entry.
        config: Configuration that is put into use.
        is_first_config: Whether it is the first one of this process. Then the
            other entries may have used up the bursts already, and the entry
            keeps to its equal share until control reports their use.
    """
    now = relay.now()
    for workspace in config.workspaces:
        if not workspace.rate_per_s:
            continue
        rate, burst = _effective_quota(relay, workspace)
        bucket = relay.quota_buckets.get(workspace.name)
        if bucket is not None:
            bucket.resize(rate, burst, now)
            continue
        bucket = relay.quota_buckets[workspace.name] = quota.Bucket(
            rate=rate,
            burst=burst,
            now=now,
            sharing_entries=relay.entry_count if is_first_config else 1,
            others_taken=0.0,
        )
        events.record(
            events.Event.QUOTA_STARTED,
            workspace.name,
            round(bucket.level),
            round(burst),
            relay.entry_count,
        )


def give_back(bucket: quota.Bucket, cost: float) -> None:
    """Undoes the last ``take``, which nothing has followed yet."""
    bucket.level += cost
    bucket.own_share.level += cost
    bucket.taken -= cost
    bucket.taken_since_report -= cost
    bucket.recent_takes.pop()


def _effective_quota(
    relay: relay_state.Relay, workspace: routeconfig.Workspace
) -> tuple[float, float]:
    if not workspace.by_tokens:
        return workspace.rate_per_s, workspace.burst
    return quota_levels.effective_quota(
        workspace.rate_per_s, workspace.burst, relay.options.quota
    )
