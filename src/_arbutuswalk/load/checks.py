"""Checks the content of an answer against its request."""

import json

from _arbutuswalk.load import workload
from _arbutuswalk.standin import engine
from _arbutuswalk.streams import framing


def check_text(item: workload.Item, text: str) -> str:
    """Returns the error in a generated text, or an empty string.

    A complete answer has all its tokens in order; each names this request,
    and all belong to one generation.
    """
    try:
        tokens = engine.parse_tokens(text)
    except ValueError:
        return "text without the format of engine tokens"
    if {reference for reference, _, _ in tokens} - {item.ref}:
        return "tokens of another request"
    if len({generation_id for _, generation_id, _ in tokens}) > 1:
        return "tokens of several generations"
    positions = [position for _, _, position in tokens]
    if positions != list(range(item.max_tokens)):
        return f"{len(positions)} tokens of {item.max_tokens}, or out of order"
    return ""


def check_service(item: workload.Item, status: int, body: bytes) -> str:
    """Returns the error in a plain service's answer, or an empty string."""
    if status != 200:
        return f"status {status}"
    try:
        answer = json.loads(body)
    except ValueError:
        return "truncated answer"
    if item.method == "GET":
        return (
            "" if answer.get("path") == item.path else "answer to another path"
        )
    try:
        echoed = json.loads(answer.get("body", ""))
    except ValueError:
        return "answer without the body of its request"
    if echoed.get("ref") != item.ref or answer.get("key") != item.key:
        return "answer to another call"
    return ""


def text_of_events(events: list[bytes]) -> str:
    """Returns the concatenated text of engine events."""
    return "".join(framing.event_text(event) for event in events)
