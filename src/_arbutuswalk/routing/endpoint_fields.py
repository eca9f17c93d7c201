"""Checks of the fields of an endpoint, whoever wrote them."""

import re
from typing import Any

from _arbutuswalk.base import settings

READY = "ready"
LEAVING = "leaving"
GONE = "gone"
STATES = READY, LEAVING, GONE
"""States of an endpoint in the order in which one start goes through them."""

MAX_TEXT_CHARS = 256
MAX_INTEGER = 2**53 - 1
"""Largest whole number that all readers of JSON hold exactly."""
MAX_BORN_MS = 253_402_300_799_999
"""End of the year 9999 in Unix milliseconds. A larger start is in another unit,
and no later start of the endpoint would replace it."""
MAX_SLOTS = 2**20
"""Most connections that one Linux process may have by default."""

# Headers cannot contain control characters, nor UTF-8 lone surrogates.
_UNUSABLE_CHARACTERS = re.compile("[\x00-\x1f\x7f-\x9f\ud800-\udfff]")


def is_text(value: Any) -> bool:
    """Returns whether ``value`` is a text that headers can contain."""
    return (
        isinstance(value, str)
        and len(value) <= MAX_TEXT_CHARS
        and not _UNUSABLE_CHARACTERS.search(value)
    )


def is_name(value: Any) -> bool:
    """Returns whether ``value`` is such a text and not empty."""
    return is_text(value) and bool(value)


def is_address(value: Any) -> bool:
    """Returns whether ``value`` is an address to connect to."""
    return settings.is_address(value)


def is_born(value: Any) -> bool:
    """Returns whether ``value`` is a start in Unix milliseconds."""
    return _is_integer_up_to(value, MAX_BORN_MS)


def is_sequence(value: Any) -> bool:
    """Returns whether ``value`` is the number of an announcement."""
    return _is_integer_up_to(value, MAX_INTEGER)


def is_slots(value: Any) -> bool:
    """Returns whether ``value`` is a number of concurrent requests."""
    return _is_integer_up_to(value, MAX_SLOTS)


def is_token_count(value: Any) -> bool:
    """Returns whether ``value`` is a number of tokens."""
    return _is_integer_up_to(value, MAX_INTEGER)


def is_duration(value: Any) -> bool:
    """Returns whether ``value`` is a time to calculate with."""
    return settings.is_number(value) and 0 <= value <= MAX_INTEGER


def _is_integer_up_to(value: Any, maximum: int) -> bool:
    return settings.is_non_negative_int(value) and value <= maximum
