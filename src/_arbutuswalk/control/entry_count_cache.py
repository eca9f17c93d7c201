"""Number of entries on disk, for use after a restart.

A control process that has just started does not know the entries yet. Without
the number, an entry that starts at the same time would not know its share of
the limits that all entries share.
"""

import json
import pathlib

from _arbutuswalk.base import events
from _arbutuswalk.control import endpoint_cache

FILE_NAME = "entry-count.json"


def save(folder: str, entry_count: int) -> OSError | None:
    """Replaces the saved number durably; blocks on disk I/O."""
    return endpoint_cache.replace_file(folder, FILE_NAME, entry_count)


def load(folder: str) -> int:
    """Returns the saved number; 0 if the file is missing or damaged."""
    path = pathlib.Path(folder) / FILE_NAME
    try:
        return max(0, int(json.loads(path.read_text(encoding="utf-8"))))
    except FileNotFoundError:
        return 0  # the first start
    except (OSError, ValueError, TypeError) as error:
        events.record(events.Event.ENTRY_COUNT_UNREADABLE, str(error))
        return 0
