"""Workload files in JSON Lines format, one request per line."""

import dataclasses
import hashlib
import json
import pathlib
from typing import Any
from typing import NamedTuple

from _arbutuswalk.base import settings

KINDS = ("completions", "chat", "service")
FIELDS = (
    settings.Field("at_ms", "milliseconds", settings.is_non_negative_int),
    settings.Field("workspace", "a workspace", settings.is_non_empty_string),
    settings.Field("kind", " or ".join(KINDS), lambda v: v in KINDS),
    settings.Field("upstream", "an upstream", settings.is_non_empty_string),
    settings.Field(
        "ref", "a reference, unique in the file", settings.is_non_empty_string
    ),
    settings.Field(
        "dossier", "a name of a shared text", lambda v: isinstance(v, str), ""
    ),
    settings.Field(
        "dossier_chars", "a number", settings.is_non_negative_int, 0
    ),
    settings.Field("ask", "the question", lambda v: isinstance(v, str), ""),
    settings.Field("max_tokens", "a number", settings.is_non_negative_int, 64),
    settings.Field("stream", "true or false", settings.is_bool, True),
    settings.Field(
        "deadline_ms", "a number", settings.is_non_negative_int, 60000
    ),
    settings.Field("priority", "0 to 9", settings.is_non_negative_int, 5),
    settings.Field("key", "a key", lambda v: isinstance(v, str), ""),
    settings.Field(
        "resend_after_ms", "a number", settings.is_non_negative_int, 0
    ),
    settings.Field("method", "a method", settings.is_non_empty_string, "POST"),
    settings.Field("path", "a path", lambda v: isinstance(v, str), ""),
    settings.Field("body", "an object", lambda v: isinstance(v, dict), {}),
)


class Item(NamedTuple):
    """One request of a workload; ``FIELDS`` describes the fields."""

    at_ms: int
    workspace: str
    kind: str
    upstream: str
    ref: str
    dossier: str
    dossier_chars: int
    ask: str
    max_tokens: int
    stream: bool
    deadline_ms: int
    priority: int
    key: str
    resend_after_ms: int
    method: str
    path: str
    body: dict[str, Any]


@dataclasses.dataclass(frozen=True, kw_only=True)
class BadWorkload:
    """A workload file that was rejected, with all its problems."""

    problems: tuple[str, ...]


def load(path: str) -> list[Item] | BadWorkload:
    """Reads and checks a workload file; returns items in order of time."""
    try:
        lines = pathlib.Path(path).read_text(encoding="utf-8").splitlines()
    except (OSError, UnicodeDecodeError) as error:
        return BadWorkload(problems=(f"{path}: {error}",))
    items: list[Item] = []
    problems: list[str] = []
    for line_number, line in enumerate(lines, 1):
        parsed = _parse_line(line, f"{path}:{line_number}")
        if isinstance(parsed, BadWorkload):
            problems += parsed.problems
        elif parsed is not None:
            items.append(parsed)
    if problems:
        return BadWorkload(problems=tuple(problems))
    return sorted(items, key=lambda item: item.at_ms)


def _parse_line(line: str, where: str) -> Item | BadWorkload | None:
    if not line.strip():
        return None
    try:
        raw = json.loads(line)
    except ValueError as error:
        return BadWorkload(problems=(f"{where}: not JSON: {error}",))
    if not isinstance(raw, dict):
        return BadWorkload(problems=(f"{where}: not an object",))
    checked = settings.check(raw, FIELDS, where=where)
    if isinstance(checked, settings.BadSettings):
        return BadWorkload(problems=checked.problems)
    return Item(**checked)


def build_prompt(item: Item) -> str:
    """Returns the prompt: shared text, question and reference."""
    return f"{dossier_text(item)}\n{item.ask}\nref:{item.ref}"


def dossier_text(item: Item) -> str:
    """Returns a text prefix that items of the same dossier share.

    It is derived from the name of the dossier and has ``dossier_chars``
    characters.
    """
    parts, length, block_number = [], 0, 0
    while length < item.dossier_chars:
        seed = f"{item.dossier}/{block_number}".encode()
        part = hashlib.sha256(seed).hexdigest() + " "
        parts.append(part)
        length += len(part)
        block_number += 1
    return "".join(parts)[: item.dossier_chars]
