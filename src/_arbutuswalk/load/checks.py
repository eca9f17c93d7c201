"""Checks an answer's content against its own request."""

import json

from _arbutuswalk.load import workload
from _arbutuswalk.standin import engine
from _arbutuswalk.streams import framing


def check_text(item: workload.Item, text: str) -> str:
    """Returns what is wrong with a generated text, or an empty string.

    A whole answer has all its tokens in order, each for this request and all
    of one generation.
    """
    try:
        tokens = engine.parse_tokens(text)
    except ValueError:
        return "text that no engine made"
    if {reference for reference, _, _ in tokens} - {item.ref}:
        return "tokens of another request"
    if len({nonce for _, nonce, _ in tokens}) > 1:
        return "two generations spliced"
    places = [place for _, _, place in tokens]
    if places != list(range(item.max_tokens)):
        return f"{len(places)} tokens of {item.max_tokens}, or out of order"
    return ""


def check_service(item: workload.Item, status: int, body: bytes) -> str:
    """Returns what is wrong with a plain service's answer."""
    if status != 200:
        return f"status {status}"
    try:
        answer = json.loads(body)
    except ValueError:
        return "an answer cut short"
    if item.method == "GET":
        return "" if answer.get("path") == item.path else "crossed answer"
    try:
        echoed = json.loads(answer.get("body", ""))
    except ValueError:
        return "an answer without the request's body"
    if echoed.get("ref") != item.ref or answer.get("key") != item.key:
        return "the answer to another call"
    return ""


def text_of_events(events: list[bytes]) -> str:
    """Returns the text that a list of engine events carries."""
    return "".join(framing.text_of(event) for event in events)
