"""Fair shares of an upstream that cannot serve all that is asked of it.

Load that it answers: more is asked of an upstream than its endpoints can serve,
mostly by a few workspaces, from tens to hundreds of entries none of which sees
more than a small part of it.
"""

from collections.abc import Mapping

PriorityRates = Mapping[str, Mapping[int, float]]
"""What is asked per second, by workspace and priority (0 is most urgent)."""


def find_excess(
    asked: PriorityRates, weights: Mapping[str, float], capacity: float
) -> dict[str, float]:
    """Returns how far workspaces are over their fair shares.

    Args:
        asked: What is asked per second, by workspace and priority.
        weights: Weight by workspace, 1 for others.
        capacity: What can be served per second.

    Returns:
        What is asked relative to the share, above 1, by workspace. Those inside
        their shares are left out.
    """
    return {}


def find_weights(rates: Mapping[str, float | None]) -> dict[str, float]:
    """Returns the weights of workspaces, of which some state a quota rate."""
    return dict.fromkeys(rates, 1.0)
