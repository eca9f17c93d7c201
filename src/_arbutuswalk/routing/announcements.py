"""Announcements of upstreams and their validation."""

import dataclasses
from typing import Any
from typing import TypedDict

from _arbutuswalk.base import settings


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
    return isinstance(value, list) and all(
        settings.is_non_empty_string(v) for v in value
    )


_EXPECTED_NAME = "a name"
_EXPECTED_NATURAL = "a whole number of at least 0"
_FIELDS = (
    settings.Field("id", _EXPECTED_NAME, settings.is_non_empty_string),
    settings.Field(
        "incarnation", _EXPECTED_NATURAL, settings.is_non_negative_int
    ),
    settings.Field("sequence", _EXPECTED_NATURAL, settings.is_non_negative_int),
    settings.Field("address", "IP:port", settings.is_address),
    settings.Field("upstream", _EXPECTED_NAME, settings.is_non_empty_string),
    settings.Field("version", _EXPECTED_NAME, settings.is_non_empty_string),
    settings.Field("instance", _EXPECTED_NAME, settings.is_non_empty_string),
    settings.Field("domain", _EXPECTED_NAME, settings.is_non_empty_string),
    settings.Field(
        "instance_class", _EXPECTED_NAME, settings.is_non_empty_string
    ),
    settings.Field(
        "role", _EXPECTED_NAME, settings.is_non_empty_string, "mixed"
    ),
    settings.Field("adapters", "a list of names", _is_text_list, []),
    settings.Field("slots", _EXPECTED_NATURAL, settings.is_non_negative_int),
    settings.Field(
        "running", _EXPECTED_NATURAL, settings.is_non_negative_int, 0
    ),
    settings.Field(
        "cache_tokens", _EXPECTED_NATURAL, settings.is_non_negative_int, 0
    ),
    settings.Field("fence", _EXPECTED_NATURAL, settings.is_non_negative_int, 0),
    settings.Field("leaving", "true or false", settings.is_bool, False),
    settings.Field("leave_in_s", "seconds", settings.is_non_negative, 0.0),
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
