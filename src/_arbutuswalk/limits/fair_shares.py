"""Fair shares of an upstream that cannot serve all that is asked of it.

Load that it answers: more is asked of an upstream than its endpoints can serve,
mostly by a few workspaces, through tens to hundreds of entries, none of which
sees more than a small part of it.
"""

import statistics
from collections.abc import Mapping

DEFAULT_WEIGHT = 1.0
"""Weight of all workspaces if none states a quota rate."""
MIN_SHORTAGE = 1.05
"""What is asked relative to what is served from which on there are shares. Less
is the inaccuracy of the rates."""
MAX_EXCESS = 100.0
"""Largest excess that is told apart."""

PriorityRates = Mapping[str, Mapping[int, float]]
"""What is asked per second, by workspace and priority (0 is most urgent)."""


def find_excess(
    asked: PriorityRates, weights: Mapping[str, float], capacity: float
) -> dict[str, float]:
    """Returns how far workspaces are over their fair shares.

    More urgent priorities are served first, each by weighted max-min fairness
    over workspaces. The share is at least the workspace's part by weight of
    the capacity: who asks for no more than that is never over it, however
    urgent the others are.

    Args:
        asked: What is asked per second, by workspace and priority.
        weights: Weight by workspace, 1 for others.
        capacity: What is served per second.

    Returns:
        What is asked relative to the share, above 1 and at most
        ``MAX_EXCESS``, by workspace. Those inside their shares are left out.
    """
    totals = {name: sum(rates.values()) for name, rates in asked.items()}
    if sum(totals.values()) < MIN_SHORTAGE * capacity or capacity <= 0:
        return {}
    weights = {name: weights.get(name, DEFAULT_WEIGHT) for name in asked}
    shares = find_shares(asked, weights, capacity)
    total_weight = sum(weights.values())
    excess = {}
    for name, total in totals.items():
        share = max(shares[name], capacity * weights[name] / total_weight)
        if total > share:
            excess[name] = min(MAX_EXCESS, total / share)
    return excess


def find_shares(
    asked: PriorityRates, weights: Mapping[str, float], capacity: float
) -> dict[str, float]:
    """Returns what each workspace is served per second.

    What it is served for more urgent requests counts towards its fair part of
    the rest.

    Args:
        asked: What is asked per second, by workspace and priority.
        weights: Positive weight by workspace.
        capacity: What is served per second.
    """
    shares = dict.fromkeys(asked, 0.0)
    rest = capacity
    for priority in sorted({p for rates in asked.values() for p in rates}):
        wanted = {
            name: rates.get(priority, 0.0) for name, rates in asked.items()
        }
        total = sum(wanted.values())
        if total <= rest:
            shares = {name: shares[name] + wanted[name] for name in shares}
            rest -= total
            continue
        level = _find_level(shares, wanted, weights, rest)
        return {
            name: share
            + min(wanted[name], max(0.0, level * weights[name] - share))
            for name, share in shares.items()
        }
    return shares


def _find_level(
    shares: Mapping[str, float],
    wanted: Mapping[str, float],
    weights: Mapping[str, float],
    amount: float,
) -> float:
    """Returns the share by weight up to which workspaces are served.

    The amount served grows with the level at the sum of the weights of those
    that it has reached and who still want more.
    """
    changes = []
    for name, share in shares.items():
        weight = weights[name]
        changes.append((share / weight, weight))
        changes.append(((share + wanted[name]) / weight, -weight))
    level, slope = 0.0, 0.0
    for next_level, change in sorted(changes):
        step = (next_level - level) * slope
        if slope > 0 and step >= amount:
            break
        amount -= step
        level, slope = next_level, slope + change
    return level + amount / slope if slope > 0 else level


def find_weights(rates: Mapping[str, float]) -> dict[str, float]:
    """Returns the weights of workspaces.

    Args:
        rates: Quota per second by workspace, 0 for none. Quotas in tokens and
            in requests are not told apart.

    Returns:
        The quota of those that have one, the median quota for the others, 1 if
        none has one.
    """
    stated = [rate for rate in rates.values() if rate > 0]
    median = statistics.median(stated) if stated else DEFAULT_WEIGHT
    return {name: rate if rate > 0 else median for name, rate in rates.items()}
