"""Selects the upstream version for a request during a version move."""

import hashlib
from typing import Any

FULL_SHARE_PER_MILLE = 1000


def pick_version(
    view: dict[str, Any], upstream: str, route: str, request_id: str
) -> tuple[str, str]:
    """Returns the version to use and the version to fall back to.

    All attempts of a request get the same version, since the choice depends on
    a hash of the request id. The new version falls back to the old one. The old
    one has no fallback, so that the new version's share is never exceeded.

    Args:
        view: The ``moves`` section of the entry's view.
        upstream: Upstream name in the inventory.
        route: Name of the route.
        request_id: Id of the request.
    """
    for move in view.get("live", {}).values():
        if move["upstream"] != upstream:
            continue
        share = move["shares"].get(route, 0)
        if share_position(request_id) < share:
            return move["new"], move["old"]
        return move["old"], ""
    return view.get("versions", {}).get(upstream, ""), ""


def share_position(request_id: str) -> int:
    """Returns a hash of the request id below ``FULL_SHARE_PER_MILLE``."""
    digest = hashlib.blake2b(request_id.encode(), digest_size=8).digest()
    return int.from_bytes(digest, "big") % FULL_SHARE_PER_MILLE
