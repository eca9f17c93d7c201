"""Cache on disk of the directory of endpoints, for use after a restart.

Endpoints announce themselves again within seconds, so losing the cache is
harmless; it only avoids an outage of those seconds. Those that left since it
was saved are known from the group's log. A restored endpoint is kept only until
its next heartbeat is overdue. Until then a request to an endpoint that is gone
is refused by its instance, or by the endpoint that uses the address now.
"""

import json
import os
import pathlib
from typing import Any

from _arbutuswalk.base import events
from _arbutuswalk.routing import directory

FILE_NAME = "endpoints.json"
UNCONFIRMED_HEARTBEATS = 2.2
"""Heartbeat intervals for which a restored endpoint is kept unconfirmed."""


def save(folder: str, known: directory.Directory) -> OSError | None:
    """Replaces the saved endpoints durably; blocks on disk I/O.

    Without the cache, entries would send all requests to the few endpoints
    that announced themselves first, so the file must survive a power loss.
    """
    endpoints = [row.endpoint for row in known.rows.values()]
    return replace_file(folder, FILE_NAME, endpoints)


def replace_file(folder: str, name: str, value: Any) -> OSError | None:
    """Writes a temporary file, syncs it and renames it; blocks on disk I/O."""
    path = pathlib.Path(folder) / name
    temporary = path.with_suffix(".aside")
    try:
        with temporary.open("w", encoding="utf-8") as file:
            json.dump(value, file)
            file.flush()
            os.fsync(file.fileno())
        temporary.rename(path)
        _sync_folder(folder)
    except OSError as error:
        return error
    return None


def _sync_folder(folder: str) -> None:
    descriptor = os.open(folder, os.O_RDONLY | os.O_DIRECTORY)
    try:
        os.fsync(descriptor)
    finally:
        os.close(descriptor)


def load(folder: str) -> list[directory.Endpoint]:
    """Returns the saved endpoints that can be read.

    There are none if the file is missing or damaged.
    """
    path = pathlib.Path(folder) / FILE_NAME
    try:
        rows = json.loads(path.read_text(encoding="utf-8"))
    except FileNotFoundError:
        return []  # the first start
    except (OSError, ValueError, RecursionError) as error:
        events.record(events.Event.ENDPOINTS_UNREADABLE, str(error))
        return []
    if not isinstance(rows, list):
        events.record(events.Event.ENDPOINTS_UNREADABLE, "not a list")
        return []
    endpoints = map(_read_row, rows)
    return [endpoint for endpoint in endpoints if endpoint is not None]


def _read_row(fields: Any) -> directory.Endpoint | None:
    try:
        endpoint = directory.from_json(fields)
    except ValueError as error:
        endpoint = str(error)
    if isinstance(endpoint, str):
        events.record(events.Event.ENDPOINT_INVALID, FILE_NAME, endpoint)
        return None
    return endpoint


def unconfirmed(
    known: directory.Directory, restored: list[directory.Endpoint]
) -> list[str]:
    """Returns the ids of restored endpoints not announced again since."""
    return [
        endpoint.id
        for endpoint in restored
        if endpoint.id in known.rows
        and known.rows[endpoint.id].endpoint == endpoint
    ]
