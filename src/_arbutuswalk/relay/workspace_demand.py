"""What an entry knows of the demand of workspaces, and of their shares.

It counts what its callers ask for and what is admitted, by upstream, workspace
and priority, and reports rates to control, which sums those of all entries and
sends back which workspaces ask for more than their fair share.
"""

from typing import NamedTuple


class Key(NamedTuple):
    """What demand is counted by."""

    upstream: str
    workspace: str
    priority: int


class WorkspaceDemand:
    """Counted requests, and shares that control has found."""

    def __init__(self):
        self.asked: dict[Key, float] = {}
        self.admitted: dict[Key, float] = {}


def record_asked(
    demand: WorkspaceDemand,
    upstream: str,
    workspace: str,
    priority: int,
    cost: float,
    now: float,
) -> None:
    """Records that a caller has asked for something, admitted or not.

    Args:
        demand: Demand known to the entry.
        upstream: Name of the upstream.
        workspace: Name of the workspace, empty for an anonymous route.
        priority: Priority of the request, 0 for the most urgent.
        cost: Prompt and answer tokens of a model request, else 1.
        now: Seconds.
    """


def record_admitted(
    demand: WorkspaceDemand,
    upstream: str,
    workspace: str,
    priority: int,
    cost: float,
    now: float,
) -> None:
    """Records that a request has been admitted; see ``record_asked``."""


def excess(
    demand: WorkspaceDemand, upstream: str, workspace: str, now: float
) -> float:
    """Returns how far a workspace is over its fair share of an upstream.

    Returns:
        What it asks for relative to its share, 1 if it is inside its share, if
        that is not known, or if the last news is too old.
    """
    return 1.0
