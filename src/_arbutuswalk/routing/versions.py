"""Which version of an upstream a request goes to during a move."""

import hashlib
from typing import Any

FULL = 1000


def pick(
    view: dict[str, Any], upstream: str, route: str, request_id: str
) -> tuple[str, str]:
    """Returns the version to use and the one to fall back to.

    A request keeps its side for its whole life, since the draw is a hash of
    its id. The fallback of the new version is the old one; the old one has
    none, so that a share is never exceeded.

    Args:
        view: The ``moves`` part of the entry's view.
        upstream: Name in the inventory.
        route: Name of the route.
        request_id: Id of the request.
    """
    for move in view.get("live", {}).values():
        if move["upstream"] != upstream:
            continue
        share = move["shares"].get(route, 0)
        if draw(request_id) < share:
            return move["new"], move["old"]
        return move["old"], ""
    return view.get("versions", {}).get(upstream, ""), ""


def draw(request_id: str) -> int:
    """Returns a number below ``FULL`` that depends on the id alone."""
    digest = hashlib.blake2b(request_id.encode(), digest_size=8).digest()
    return int.from_bytes(digest, "big") % FULL
