"""Prefers endpoints in full use to those that warm up or have just done so.

A part of the requests does not consider the latter, so they fill up slowly.

Designed for a failure domain whose endpoints return together: they look idle to
all entries, which would send them everything at once.
"""

from _arbutuswalk.relay import relay_state
from _arbutuswalk.routing import directory
from _arbutuswalk.routing import selection


def groups(
    relay: relay_state.Relay, candidates: list[selection.Candidate]
) -> list[list[selection.Candidate]]:
    """Returns groups of candidates; a later one is used if none before serves.

    There is one group if no endpoint has announced a warm-up lately.
    """
    if not relay.directory.warm_ups.ends_at:
        return [candidates]
    preferred = [
        candidate
        for candidate in candidates
        if not candidate.doubtful and _takes_part(relay, candidate.id)
    ]
    return [preferred, candidates]


def is_warm(relay: relay_state.Relay, endpoint: directory.Endpoint) -> bool:
    """Returns whether an endpoint does not warm up."""
    start = directory.start_of(endpoint)
    return not relay.directory.warm_ups.left_s(start, relay.now())


def _takes_part(relay: relay_state.Relay, endpoint_id: str) -> bool:
    """Returns whether a request considers an endpoint, at random."""
    endpoint = relay.directory.rows[endpoint_id].endpoint
    share = relay.directory.warm_ups.share(
        directory.start_of(endpoint), relay.now()
    )
    return share >= 1.0 or relay.rng.random() < share
