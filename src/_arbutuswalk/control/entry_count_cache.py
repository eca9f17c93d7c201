"""Number of entries on disk, for use after a restart.

A control process that has just started does not know the entries yet. Without
the number, an entry that starts at the same time would not know its share of
the limits that all entries share.
"""

import json
import pathlib

from _arbutuswalk.base import events
from _arbutuswalk.base import settings
from _arbutuswalk.control import endpoint_cache

FILE_NAME = "entry-count.json"
MAX_ENTRIES = 1_000_000
"""Larger numbers are taken for damage: each entry would get no share."""


def save(folder: str, entry_count: int) -> OSError | None:
    """Replaces the saved number durably; blocks on disk I/O."""
    return endpoint_cache.replace_file(folder, FILE_NAME, entry_count)


def load(folder: str) -> int:
    """Returns the saved number; 0 if the file is missing or damaged."""
    path = pathlib.Path(folder) / FILE_NAME
    try:
        entry_count = json.loads(path.read_text(encoding="utf-8"))
    except FileNotFoundError:
        return 0  # the first start
    except (OSError, ValueError, RecursionError) as error:
        events.record(events.Event.ENTRY_COUNT_UNREADABLE, str(error))
        return 0
    is_count = settings.is_non_negative_int(entry_count)
    if not is_count or entry_count > MAX_ENTRIES:
        events.record(events.Event.ENTRY_COUNT_UNREADABLE, "not a count")
        return 0
    return entry_count
