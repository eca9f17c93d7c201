"""Deficit round robin across workspaces, earliest deadline first within one."""

import collections
import heapq
import itertools
from collections.abc import Callable
from typing import Any

QUANTUM = 256
"""Tokens that a workspace of weight one may use per round."""


class Ticket:
    """A request that waits for an upstream.

    Attributes:
        workspace: Workspace of the caller.
        weight: Scheduling weight of the workspace.
        cost: Estimated tokens of the request.
        deadline: Deadline of the request, in seconds.
        payload: Arbitrary object attached by the user of the queue.
        cancelled: Whether the request was cancelled while waiting.
    """

    def __init__(
        self,
        *,
        workspace: str,
        weight: float,
        cost: int,
        deadline: float,
        payload: Any = None,
    ):
        self.workspace = workspace
        self.weight = weight
        self.cost = max(1, cost)
        self.deadline = deadline
        self.payload = payload
        self.cancelled = False


class FairQueue:
    """Fair queue of one upstream name for all workspaces.

    Attributes:
        heaps: Heap of tickets by deadline, for each workspace.
        deficits: Tokens that each waiting workspace may still use this round.
        waiting_cost: Sum of the costs of all tickets.
    """

    def __init__(self):
        self.heaps: collections.OrderedDict[str, list] = (
            collections.OrderedDict()
        )
        self.deficits: dict[str, float] = {}
        self.waiting_cost = 0
        self.sequence = itertools.count()

    def __len__(self) -> int:
        """Returns the number of tickets, including cancelled ones."""
        return sum(len(heap) for heap in self.heaps.values())

    def push(self, ticket: Ticket) -> None:
        """Adds a ticket."""
        heap = self.heaps.setdefault(ticket.workspace, [])
        self.deficits.setdefault(ticket.workspace, 0.0)
        heapq.heappush(heap, (ticket.deadline, next(self.sequence), ticket))
        self.waiting_cost += ticket.cost

    def cost_ahead(self, ticket: Ticket, total_weight: float) -> float:
        """Estimates the total cost served before a new ticket.

        Tickets of the same workspace with earlier deadlines are served first;
        meanwhile the other workspaces get their shares, at most what they
        have waiting.
        """
        own = sum(
            other.cost
            for deadline, _, other in self.heaps.get(ticket.workspace, [])
            if deadline <= ticket.deadline and not other.cancelled
        )
        share = ticket.weight / max(total_weight, ticket.weight)
        return min(self.waiting_cost, own / share)

    def serve(self, try_place: Callable[[Ticket], bool]) -> None:
        """Passes tickets to ``try_place`` in fair order until it declines.

        Args:
            try_place: Returns whether the ticket was placed on an upstream.
        """
        while True:
            ticket = self._next_ticket()
            if ticket is None or not try_place(ticket):
                return
            self._take_ticket(ticket)

    def drop(self, should_remove: Callable[[Ticket], bool]) -> list[Ticket]:
        """Removes and returns the tickets that satisfy ``should_remove``."""
        removed = []
        for workspace, heap in list(self.heaps.items()):
            removed_items = [item for item in heap if should_remove(item[2])]
            if not removed_items:
                continue
            removed += [item[2] for item in removed_items]
            remaining = [item for item in heap if not should_remove(item[2])]
            heapq.heapify(remaining)
            self.heaps[workspace] = remaining
            if not remaining:
                self._remove_workspace(workspace)
        self.waiting_cost -= sum(ticket.cost for ticket in removed)
        return removed

    def _next_ticket(self) -> Ticket | None:
        """Returns the next ticket; adds a quantum per workspace and round."""
        while self.heaps:
            workspace, heap = next(iter(self.heaps.items()))
            if heap[0][2].cancelled:
                self._discard_cancelled(workspace, heap)
                continue
            ticket = heap[0][2]
            if self.deficits[workspace] >= ticket.cost:
                return ticket
            self.deficits[workspace] += QUANTUM * ticket.weight
            if self.deficits[workspace] >= ticket.cost:
                return ticket
            self.heaps.move_to_end(workspace)
        return None

    def _discard_cancelled(self, workspace: str, heap: list) -> None:
        _, _, ticket = heapq.heappop(heap)
        self.waiting_cost -= ticket.cost
        if not heap:
            self._remove_workspace(workspace)

    def _take_ticket(self, ticket: Ticket) -> None:
        heap = self.heaps[ticket.workspace]
        heapq.heappop(heap)
        self.deficits[ticket.workspace] -= ticket.cost
        self.waiting_cost -= ticket.cost
        if not heap:
            self._remove_workspace(ticket.workspace)
        elif self.deficits[ticket.workspace] < heap[0][2].cost:
            self.heaps.move_to_end(ticket.workspace)

    def _remove_workspace(self, workspace: str) -> None:
        """Removes an idle workspace; unused deficit does not accumulate."""
        del self.heaps[workspace]
        del self.deficits[workspace]
