"""What a control process of another build can do, as its replies show.

A process of a former build closes the link when it gets a message that it does
not know, and its replies lack later fields.
"""

from typing import Any
from typing import NamedTuple


class Features(NamedTuple):
    """What a control process can do.

    Attributes:
        permits: Whether it issues permits for endpoints that state a limit.
        slots: Whether it gives out slots of brittle endpoints.
        warm_up_permits: Whether it issues permits for endpoints that warm up.
    """

    permits: bool = False
    slots: bool = False
    warm_up_permits: bool = False


def from_json(news: dict[str, Any]) -> Features:
    """Returns what the sender of a reply can do."""
    return Features(
        permits="limits" in news,
        slots="brittle" in news,
        warm_up_permits=news.get("warm_up_permits", False),
    )


def routes_version(news: dict[str, Any]) -> int | None:
    """Returns the version in a reply, None if its sender has none.

    Former builds cannot read None, so the number is 0 then.
    """
    return news["routes_version"] if news.get("has_routes", True) else None


def is_settled(news: dict[str, Any]) -> bool:
    """Returns whether a reply covers all running entries.

    Former builds do not say so, also if they have just started.
    """
    return news.get("is_settled", False)


def entry_count(news: dict[str, Any], known_count: int) -> int:
    """Returns the number of entries that share limits, given the last one.

    A former build that does not say whether it is settled counts only those
    that have reached it; with fewer, each would take too large a share.
    """
    if "is_settled" not in news:
        return max(news["entries"], known_count)
    return news["entries"] or known_count
