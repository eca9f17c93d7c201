"""What upstreams say of themselves, and its checks."""

import dataclasses
from typing import Any
from typing import TypedDict

from _arbutuswalk.base import settings


class Announcement(TypedDict):
    """One announcement of an upstream.

    Attributes:
        id: Identity, stable over restarts.
        incarnation: Higher with each start.
        sequence: Higher with each announcement of an incarnation.
        address: ``IP:port`` that takes requests.
        upstream: Name in the inventory.
        version: Version it runs.
        instance: Instance it runs on.
        domain: Failure domain.
        instance_class: Instance class.
        role: ``mixed``, ``prefill`` or ``decode``.
        adapters: Adapters it has loaded.
        slots: Requests it runs at a time.
        running: Requests it runs now, by its lagging account.
        cache_tokens: Size of its prefix cache.
        fence: Highest fence it has obeyed.
        leaving: Whether it is about to go.
        leave_in_s: Seconds until it goes, when leaving.
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
    """An announcement that was refused, and why."""

    problems: tuple[str, ...]


def _is_texts(value: object) -> bool:
    return isinstance(value, list) and all(
        settings.is_non_empty_string(v) for v in value
    )


_NAME = "a name"
_NATURAL = "a whole number of at least 0"
_FIELDS = (
    settings.Field("id", _NAME, settings.is_non_empty_string),
    settings.Field("incarnation", _NATURAL, settings.is_non_negative_int),
    settings.Field("sequence", _NATURAL, settings.is_non_negative_int),
    settings.Field("address", "IP:port", settings.is_address),
    settings.Field("upstream", _NAME, settings.is_non_empty_string),
    settings.Field("version", _NAME, settings.is_non_empty_string),
    settings.Field("instance", _NAME, settings.is_non_empty_string),
    settings.Field("domain", _NAME, settings.is_non_empty_string),
    settings.Field("instance_class", _NAME, settings.is_non_empty_string),
    settings.Field("role", _NAME, settings.is_non_empty_string, "mixed"),
    settings.Field("adapters", "a list of names", _is_texts, []),
    settings.Field("slots", _NATURAL, settings.is_non_negative_int),
    settings.Field("running", _NATURAL, settings.is_non_negative_int, 0),
    settings.Field("cache_tokens", _NATURAL, settings.is_non_negative_int, 0),
    settings.Field("fence", _NATURAL, settings.is_non_negative_int, 0),
    settings.Field("leaving", "true or false", settings.is_bool, False),
    settings.Field("leave_in_s", "seconds", settings.is_non_negative, 0.0),
    settings.Field("echo", "true or false", settings.is_bool, True),
)


def check(raw: Any) -> Announcement | BadAnnouncement:
    """Checks parsed JSON that claims to be an announcement."""
    if not isinstance(raw, dict):
        return BadAnnouncement(problems=("announcement: not an object",))
    checked = settings.check(raw, _FIELDS, where="announcement")
    if isinstance(checked, settings.BadSettings):
        return BadAnnouncement(problems=checked.problems)
    return checked
