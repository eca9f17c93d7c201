"""Exchanges what endpoints state with control."""

from typing import Any

from _arbutuswalk.relay import brittle_endpoints
from _arbutuswalk.relay import endpoint_limits
from _arbutuswalk.relay import relay_state


def to_json(relay: relay_state.Relay) -> dict[str, Any]:
    """Returns the part of the entry's report with all statements."""
    now = relay.now()
    return {
        "limits": relay.stated_limits.to_json(now),
        "brittle": relay.stated_brittle.to_json(now),
        "leaving": relay.directory.leaving_starts.to_json(now),
    }


def merge(relay: relay_state.Relay, news: dict[str, Any], source: str) -> None:
    """Records the statements that a control process reports."""
    endpoint_limits.merge_report(relay, news.get("limits", {}), source)
    brittle_endpoints.merge_report(relay, news.get("brittle", {}), source)


def remove_unknown(relay: relay_state.Relay) -> None:
    """Forgets the statements of endpoints that are no longer known."""
    endpoint_limits.remove_unknown(relay)
    brittle_endpoints.remove_unknown(relay)
