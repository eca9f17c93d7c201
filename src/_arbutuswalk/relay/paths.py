"""Whether an entry reaches endpoints itself, and which entries can help it.

An entry may lose its path to all endpoints while callers, control and the other
entries still reach it. Failed connections to several endpoints with no success
between them show that. Connections that live on do not disprove it if new ones
are refused; if new ones get no answer, they do.
"""

import math
from collections.abc import Callable
from typing import NamedTuple

from _arbutuswalk.base import clock

MIN_ENDPOINTS = 3
"""Endpoints that have to fail: one or two may have failed themselves."""
FAILURE_WINDOW_S = 2.0
"""Time within which they have to fail."""
HEARD_WITHIN_S = 0.5
"""Time within which data of any endpoint disproves a loss that is silent."""
PEERS_WANTED_S = 10.0
"""Time after a failed connection for which control is asked for peers."""
PEER_FAILED_S = 1.0
"""Time for which a peer that failed is not asked."""


class Failure(NamedTuple):
    """A connection to an endpoint that could not be opened."""

    failed_at: float
    refused: bool


class Paths:
    """Path of one entry to the endpoints.

    Attributes:
        now: Monotonic clock.
        count_endpoints: Returns the number of known endpoints.
        last_heard_at: Returns when any endpoint has last sent something.
        failures: Newest failure since the last success, by address.
        last_failure_at: When a connection last failed.
        cut_off_since: Since when no endpoint is reached, None if one is.
        is_silent: Whether connections got no answer as the path was lost, so
            that open ones are dead as well.
        peers: Addresses of entries that open tunnels.
        failed_peers: When a peer that failed may be asked again, by address.
        peer_heard_at: When anything last came through a peer, by address.
        peer_silent_at: When a peer, or what it opens connections to, was last
            found to be silent, by address.
        on_lost: Called when the path is lost.
        on_restored: Called with the time without it, in seconds.
    """

    def __init__(
        self,
        *,
        now: clock.Clock,
        count_endpoints: Callable[[], int],
        last_heard_at: Callable[[], float],
    ):
        self.now = now
        self.count_endpoints = count_endpoints
        self.last_heard_at = last_heard_at
        self.failures: dict[str, Failure] = {}
        self.last_failure_at = float("-inf")
        self.cut_off_since: float | None = None
        self.is_silent = False
        self.peers: tuple[str, ...] = ()
        self.failed_peers: dict[str, float] = {}
        self.peer_heard_at: dict[str, float] = {}
        self.peer_silent_at: dict[str, float] = {}
        self.on_lost: Callable[[], None] = lambda: None
        self.on_restored: Callable[[float], None] = lambda cut_off_s: None

    @property
    def is_cut_off(self) -> bool:
        """Whether the entry reaches no endpoint itself."""
        return self.cut_off_since is not None

    @property
    def wants_peers(self) -> bool:
        """Whether control is to name entries that open tunnels."""
        return self.now() - self.last_failure_at < PEERS_WANTED_S

    def record_success(self) -> None:
        """Records that a connection to an endpoint was opened."""
        self.failures.clear()
        if self.cut_off_since is not None:
            cut_off_s = self.now() - self.cut_off_since
            self.cut_off_since = None
            self.peer_heard_at.clear()
            self.peer_silent_at.clear()
            self.on_restored(cut_off_s)

    def record_failure(self, address: str, *, refused: bool) -> None:
        """Records that a connection to an endpoint could not be opened."""
        now = self.last_failure_at = self.now()
        self.failures[address] = Failure(now, refused)
        self.failures = {
            address: failure
            for address, failure in self.failures.items()
            if now - failure.failed_at <= FAILURE_WINDOW_S
        }
        if self.is_cut_off or len(self.failures) < self._endpoints_to_fail():
            return
        is_silent = not any(
            failure.refused for failure in self.failures.values()
        )
        if is_silent and now - self.last_heard_at() < HEARD_WITHIN_S:
            return
        self.cut_off_since = now
        self.is_silent = is_silent
        self.on_lost()

    @property
    def is_doubtful(self) -> bool:
        """Whether one more endpoint has to fail to show that the path is lost.

        A connection to another endpoint tells.
        """
        is_known = self.is_cut_off or not self.failures
        return not is_known and (
            len(self.failures) == self._endpoints_to_fail() - 1
        )

    def _endpoints_to_fail(self) -> int:
        return min(MIN_ENDPOINTS, self.count_endpoints())

    def usable_peers(self) -> list[str]:
        """Returns the peers that have not failed recently, in order."""
        now = self.now()
        return [
            peer
            for peer in self.peers
            if self.failed_peers.get(peer, now) <= now
        ]

    def may_reuse(self, peer: str) -> bool:
        """Returns whether a connection through ``peer`` may be kept.

        One on the entry's own path, without a peer, may be.
        """
        return not peer or (self.is_cut_off and peer in self.peers)

    def record_peer_failure(self, peer: str) -> None:
        """Records that a peer opened no tunnel, and asks the next one first."""
        self.failed_peers = {
            address: until
            for address, until in self.failed_peers.items()
            if until > self.now()
        }
        self.failed_peers[peer] = self.now() + PEER_FAILED_S

    def record_peer_heard(self, peer: str) -> None:
        """Records that something came through a peer."""
        self.peer_heard_at[peer] = self.now()

    def record_peer_silence(self, peer: str) -> None:
        """Records that tunnels of a peer are dead; others are asked first."""
        self.peer_silent_at[peer] = self.now()
        self.record_peer_failure(peer)

    def was_peer_heard(self, peer: str, since: float) -> bool:
        """Returns whether anything came through a peer after ``since``."""
        return self.peer_heard_at.get(peer, -math.inf) > since

    def is_peer_silent(self, peer: str, since: float) -> bool:
        """Returns whether the last sign of a peer since then is its silence."""
        silent_at = self.peer_silent_at.get(peer, -math.inf)
        return silent_at > since and not self.was_peer_heard(peer, silent_at)
