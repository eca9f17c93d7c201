"""Announcements of upstreams and their validation."""

import dataclasses
from typing import Any
from typing import TypedDict

from _arbutuswalk.base import settings
from _arbutuswalk.routing import endpoint_fields

MAX_COUNTER = 2**63 - 1
"""Largest count: incarnations may be times in nanoseconds."""


class Announcement(TypedDict):
    """One announcement of an upstream.

    Attributes:
        id: Identity, stable across restarts.
        incarnation: Increases with each start.
        sequence: Increases with each announcement of an incarnation.
        address: ``IP:port`` that accepts requests.
        upstream: Name in the inventory.
        version: Software version.
        instance: Instance it runs on.
        domain: Failure domain.
        instance_class: Instance class.
        role: ``mixed``, ``prefill`` or ``decode``.
        adapters: Loaded adapters.
        slots: Maximum number of concurrent requests.
        running: Requests running when the announcement was made.
        cache_tokens: Prefix cache capacity in tokens.
        fence: Highest fencing token it has accepted.
        leaving: Whether it is about to shut down.
        leave_in_s: Seconds until shutdown, if leaving.
        echo: Whether it echoes request and attempt ids.
    """

    id: str
    incarnation: int
    sequence: int
    address: str
    upstream: str
    version: str
    instance: str
    domain: str
    instance_class: str
    role: str
    adapters: list[str]
    slots: int
    running: int
    cache_tokens: int
    fence: int
    leaving: bool
    leave_in_s: float
    echo: bool


@dataclasses.dataclass(frozen=True, kw_only=True)
class BadAnnouncement:
    """An invalid announcement and the problems found in it."""

    problems: tuple[str, ...]


def _is_text_list(value: object) -> bool:
    return isinstance(value, list) and all(map(endpoint_fields.is_name, value))


def _is_counter(value: object) -> bool:
    return settings.is_non_negative_int(value) and value <= MAX_COUNTER


_EXPECTED_NAME = (
    f"a name of at most {endpoint_fields.MAX_TEXT_CHARS} characters"
)
_EXPECTED_COUNTER = f"a whole number from 0 to {MAX_COUNTER}"
_EXPECTED_SLOTS = f"a whole number from 0 to {endpoint_fields.MAX_SLOTS}"
_EXPECTED_TOKENS = f"a whole number from 0 to {endpoint_fields.MAX_INTEGER}"
_FIELDS = (
    settings.Field("id", _EXPECTED_NAME, endpoint_fields.is_name),
    settings.Field("incarnation", _EXPECTED_COUNTER, _is_counter),
    settings.Field("sequence", _EXPECTED_COUNTER, _is_counter),
    settings.Field("address", "IP:port", settings.is_address),
    settings.Field("upstream", _EXPECTED_NAME, endpoint_fields.is_name),
    settings.Field("version", _EXPECTED_NAME, endpoint_fields.is_name),
    settings.Field("instance", _EXPECTED_NAME, endpoint_fields.is_name),
    settings.Field("domain", _EXPECTED_NAME, endpoint_fields.is_name),
    settings.Field("instance_class", _EXPECTED_NAME, endpoint_fields.is_name),
    settings.Field("role", _EXPECTED_NAME, endpoint_fields.is_name, "mixed"),
    settings.Field("adapters", "a list of names", _is_text_list, []),
    settings.Field("slots", _EXPECTED_SLOTS, endpoint_fields.is_slots),
    settings.Field("running", _EXPECTED_SLOTS, endpoint_fields.is_slots, 0),
    settings.Field(
        "cache_tokens", _EXPECTED_TOKENS, endpoint_fields.is_token_count, 0
    ),
    settings.Field("fence", _EXPECTED_COUNTER, _is_counter, 0),
    settings.Field("leaving", "true or false", settings.is_bool, False),
    settings.Field("leave_in_s", "seconds", endpoint_fields.is_duration, 0.0),
    settings.Field("echo", "true or false", settings.is_bool, True),
)


def check(raw: Any) -> Announcement | BadAnnouncement:
    """Validates a decoded JSON value as an announcement."""
    if not isinstance(raw, dict):
        return BadAnnouncement(problems=("announcement: not an object",))
    checked = settings.check(raw, _FIELDS, where="announcement")
    if isinstance(checked, settings.BadSettings):
        return BadAnnouncement(problems=checked.problems)
    return checked
