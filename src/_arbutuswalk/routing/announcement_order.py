"""Which of two announcements counts, by id and by address.

Another writer may announce an upstream that the configuration does not name,
under the id or the address of a sound endpoint. Such an announcement names no
endpoint to use. It is kept, as a later configuration may name its upstream, but
it displaces none that is configured, and yields to any that is.
"""

from typing import Any

from _arbutuswalk.routing import endpoint_fields

# Announcements are ``directory.Endpoint``, which depends on this module.


def is_configured(endpoint: Any, upstream_names: frozenset[str] | None) -> bool:
    """Returns whether the configuration names an endpoint's upstream.

    Args:
        endpoint: The endpoint. Where only its end is known, it has no upstream.
        upstream_names: Upstreams of the configuration, None to accept any.
    """
    return (
        upstream_names is None
        or not endpoint.upstream
        or endpoint.upstream in upstream_names
    )


def merge(
    existing: Any | None,
    announcement: Any,
    upstream_names: frozenset[str] | None,
) -> Any | None:
    """Merges announcements of one id; returns None if nothing changes."""
    if existing is None:
        return announcement
    counts = is_configured(announcement, upstream_names)
    existing_counts = is_configured(existing, upstream_names)
    if counts and not existing_counts:
        return announcement
    if existing_counts and not counts and existing.upstream:
        return None
    if announcement.born_ms != existing.born_ms:
        return announcement if announcement.born_ms > existing.born_ms else None
    state = max(
        existing.state,
        announcement.state,
        key=endpoint_fields.STATES.index,
    )
    if announcement.sequence > existing.sequence:
        return announcement._replace(state=state)
    if state != existing.state:
        return existing._replace(state=state)
    return None


def is_overtaken(
    endpoint: Any, owner: Any, upstream_names: frozenset[str] | None
) -> bool:
    """Returns whether the owner of its address is a later process there."""
    counts = is_configured(endpoint, upstream_names)
    owner_counts = is_configured(owner, upstream_names)
    return counts == owner_counts and owner.born_ms > endpoint.born_ms


def may_displace(
    endpoint: Any, owner: Any, upstream_names: frozenset[str] | None
) -> bool:
    """Returns whether an endpoint may take an address from its owner."""
    if not is_configured(owner, upstream_names):
        return True
    return is_configured(endpoint, upstream_names)


def is_relevant_change(before: Any, after: Any) -> bool:
    """Returns whether anything changed but the rest of a known warm-up."""
    if after.cold_s > before.cold_s:
        return True
    return before._replace(sequence=0, cold_s=0.0) != after._replace(
        sequence=0, cold_s=0.0
    )
