"""Deficit round robin between workspaces, earliest deadline within one."""

import collections
import heapq
import itertools
from collections.abc import Callable
from typing import Any

QUANTUM = 256
"""Cost a workspace of weight one may spend in a round, in tokens."""


class Ticket:
    """A request that waits for an upstream.

    Attributes:
        workspace: Whose it is.
        weight: Share of the workspace.
        cost: Estimated tokens it will take.
        deadline: When it is of no more use, in seconds.
        payload: What the caller attached.
        cancelled: Whether nobody waits for it any more.
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
    """Tickets of all workspaces for one upstream name.

    Attributes:
        heaps: Tickets of each workspace by deadline.
        deficits: What each waiting workspace may still spend this round.
        waiting_cost: Sum of the costs of all tickets.
    """

    def __init__(self):
        self.heaps: collections.OrderedDict[str, list] = (
            collections.OrderedDict()
        )
        self.deficits: dict[str, float] = {}
        self.waiting_cost = 0
        self.order = itertools.count()

    def __len__(self) -> int:
        """Returns the number of tickets, cancelled ones included."""
        return sum(len(heap) for heap in self.heaps.values())

    def push(self, ticket: Ticket) -> None:
        """Adds a ticket."""
        heap = self.heaps.setdefault(ticket.workspace, [])
        self.deficits.setdefault(ticket.workspace, 0.0)
        heapq.heappush(heap, (ticket.deadline, next(self.order), ticket))
        self.waiting_cost += ticket.cost

    def cost_ahead(self, ticket: Ticket, total_weight: float) -> float:
        """Returns the cost served before a new ticket would be.

        Its own workspace's earlier deadlines go first; the others get their
        share meanwhile, but no more than they have waiting.
        """
        own = sum(
            other.cost
            for deadline, _, other in self.heaps.get(ticket.workspace, [])
            if deadline <= ticket.deadline and not other.cancelled
        )
        share = ticket.weight / max(total_weight, ticket.weight)
        return min(self.waiting_cost, own / share)

    def serve(self, place: Callable[[Ticket], bool]) -> None:
        """Hands tickets to ``place`` in fair order until it declines.

        Args:
            place: Returns whether the ticket found an upstream.
        """
        while True:
            ticket = self._head()
            if ticket is None or not place(ticket):
                return
            self._pop(ticket)

    def drop(self, is_dead: Callable[[Ticket], bool]) -> list[Ticket]:
        """Removes and returns the tickets for which ``is_dead`` holds."""
        dropped = []
        for workspace, heap in list(self.heaps.items()):
            dead = [item for item in heap if is_dead(item[2])]
            if not dead:
                continue
            dropped += [item[2] for item in dead]
            kept = [item for item in heap if not is_dead(item[2])]
            heapq.heapify(kept)
            self.heaps[workspace] = kept
            if not kept:
                self._forget(workspace)
        self.waiting_cost -= sum(ticket.cost for ticket in dropped)
        return dropped

    def _head(self) -> Ticket | None:
        """Returns the next ticket, topping deficits up round by round."""
        while self.heaps:
            workspace, heap = next(iter(self.heaps.items()))
            if heap[0][2].cancelled:
                self._discard_head(workspace, heap)
                continue
            ticket = heap[0][2]
            if self.deficits[workspace] >= ticket.cost:
                return ticket
            self.deficits[workspace] += QUANTUM * ticket.weight
            if self.deficits[workspace] >= ticket.cost:
                return ticket
            self.heaps.move_to_end(workspace)
        return None

    def _discard_head(self, workspace: str, heap: list) -> None:
        _, _, ticket = heapq.heappop(heap)
        self.waiting_cost -= ticket.cost
        if not heap:
            self._forget(workspace)

    def _pop(self, ticket: Ticket) -> None:
        heap = self.heaps[ticket.workspace]
        heapq.heappop(heap)
        self.deficits[ticket.workspace] -= ticket.cost
        self.waiting_cost -= ticket.cost
        if not heap:
            self._forget(ticket.workspace)
        elif self.deficits[ticket.workspace] < heap[0][2].cost:
            self.heaps.move_to_end(ticket.workspace)

    def _forget(self, workspace: str) -> None:
        """Drops an idle workspace; unused deficit does not add up."""
        del self.heaps[workspace]
        del self.deficits[workspace]
