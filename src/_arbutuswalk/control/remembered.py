"""The directory of endpoints on disk, for the first seconds after a restart.

Endpoints announce themselves again within seconds, so this is no state that
has to survive; it spares callers those seconds. What is read back counts only
until its endpoint should have been heard: a request to one that is gone is
refused by its machine, or by the endpoint that has the address now.
"""

import json
import os
import pathlib

from _arbutuswalk.base import events
from _arbutuswalk.routing import directory

NAME = "endpoints.json"
TRUSTED_HEARTBEATS = 2.2
"""Heartbeats for which an endpoint that was read back counts unheard."""


def save(folder: str, found: directory.Directory) -> OSError | None:
    """Writes the directory aside, syncs it and renames it; may block.

    Entries that found only the endpoints heard so far would send everything
    to those few, so the file has to outlive a loss of power.
    """
    path = pathlib.Path(folder) / NAME
    aside = path.with_suffix(".aside")
    said = [row.endpoint for row in found.rows.values()]
    try:
        with aside.open("w", encoding="utf-8") as file:
            json.dump(said, file)
            file.flush()
            os.fsync(file.fileno())
        aside.rename(path)
        _sync_folder(folder)
    except OSError as error:
        return error
    return None


def _sync_folder(folder: str) -> None:
    handle = os.open(folder, os.O_RDONLY | os.O_DIRECTORY)
    try:
        os.fsync(handle)
    finally:
        os.close(handle)


def load(folder: str) -> list[directory.Endpoint]:
    """Returns what was saved; nothing if it is missing or torn."""
    path = pathlib.Path(folder) / NAME
    try:
        said = json.loads(path.read_text(encoding="utf-8"))
        return [directory.from_json(fields) for fields in said]
    except FileNotFoundError:
        return []  # the first start
    except (OSError, ValueError, TypeError) as error:
        events.record(events.Event.ENDPOINTS_UNREADABLE, str(error))
        return []


def unheard(
    found: directory.Directory, remembered: list[directory.Endpoint]
) -> list[str]:
    """Returns the remembered endpoints that have not been heard since."""
    return [
        said.id
        for said in remembered
        if said.id in found.rows and found.rows[said.id].endpoint == said
    ]
