"""Endpoints that a control process no longer knows, for the entries.

It has heard nothing of them for a time, or not since its start. An entry that
knows no newer heartbeat either would otherwise take them for sound for longer.
"""

from typing import NamedTuple

from _arbutuswalk.base import events
from _arbutuswalk.routing import directory as directories


class Removal(NamedTuple):
    """The newest announcement of an endpoint that was removed.

    Attributes:
        heartbeat: Its start and sequence.
        revision: Directory revision of the removal.
        removed_at: Time of the removal, in seconds.
    """

    heartbeat: directories.Heartbeat
    revision: int
    removed_at: float


class RemovedEndpoints:
    """Endpoints removed from a directory.

    Attributes:
        by_id: Last removal of each endpoint, the oldest first.
    """

    def __init__(self):
        self.by_id: dict[str, Removal] = {}

    def remove_from(
        self, directory: directories.Directory, endpoint_id: str, now: float
    ) -> bool:
        """Removes an endpoint from a directory.

        Returns:
            Whether entries with the current directory have to be told. They
            know already if the endpoint had left.
        """
        endpoint = directory.rows[endpoint_id].endpoint
        directories.remove(directory, endpoint_id)
        is_news = endpoint.state == directories.READY
        if is_news:
            directory.revision += 1
        self.by_id.pop(endpoint_id, None)
        self.by_id[endpoint_id] = Removal(
            directories.heartbeat_of(endpoint), directory.revision, now
        )
        events.record(events.Event.ENDPOINT_FORGOTTEN, endpoint_id)
        return is_news

    def since(self, revision: int) -> list[directories.Heartbeat]:
        """Returns the newest heartbeats of those removed after a revision."""
        return [
            removal.heartbeat
            for removal in self.by_id.values()
            if removal.revision > revision
        ]

    def expire(self, now: float, retention_s: float) -> None:
        """Forgets removals older than ``retention_s`` seconds."""
        self.by_id = {
            endpoint_id: removal
            for endpoint_id, removal in self.by_id.items()
            if now - removal.removed_at <= retention_s
        }
