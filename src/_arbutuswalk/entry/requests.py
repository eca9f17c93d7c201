"""Model requests: parsing, checks, and the entity that runs."""

import asyncio
import json
import uuid
from typing import Any
from typing import NamedTuple

from _arbutuswalk.routing import choose
from _arbutuswalk.state import inventory as inventories
from _arbutuswalk.streams import answer

PATHS = {"chat": "/v1/chat/completions", "completions": "/v1/completions"}
MAX_TOKENS_LIMIT = 32768
DEFAULT_MAX_TOKENS = 256
DEFAULT_DEADLINE_S = 60.0
MAX_DEADLINE_S = 3600.0
DEFAULT_PRIORITY = 5
MAX_PRIORITY = 9
MAX_KEY_CHARS = 128


class RequestOptions(NamedTuple):
    """What the headers ask for.

    Attributes:
        key: Idempotency key, or empty.
        deadline_s: Seconds the caller will wait.
        priority: From 0, most urgent, to 9.
    """

    key: str
    deadline_s: float
    priority: int


class ModelRequest:
    """A model request on its way through the entry.

    Attributes:
        request_id: Id, which names the entry that accepted it.
        workspace: Who asks.
        weight: The workspace's share.
        key: Idempotency key, or empty.
        digest: Digest of the body.
        fingerprint: What quarantine knows it by.
        upstream: Name of the upstream, which is the model.
        route: ``chat`` or ``completions``.
        body: Parsed JSON body.
        streamed: Whether the caller wants events.
        features: What routing goes by.
        max_tokens: Most tokens it may generate.
        deadline: When the caller stops to wait, in seconds.
        priority: Passed on to the engine.
        accepted_at: When it was accepted, in seconds.
        answer: Its answer as it grows.
        attempts: Attempts sent so far.
        sent: Whether any byte may have reached an upstream.
        copied: Events that the peer entry has.
        isolation: Id of the upstream reserved for it, or empty.
        move: Set to make the running attempt go elsewhere.
        history: Why it went where it went, for ``explain``.
        task: The task that runs it.
        orphaned_at: Since when nobody reads it, or None.
    """

    def __init__(
        self,
        *,
        request_id: str,
        workspace: str,
        weight: float,
        key: str,
        route: str,
        raw: bytes,
        body: dict[str, Any],
        deadline: float,
        priority: int,
        now: float,
    ):
        self.request_id = request_id
        self.workspace = workspace
        self.weight = weight
        self.key = key
        self.digest = inventories.digest(raw)
        self.fingerprint = fingerprint(workspace, route, self.digest)
        self.upstream = body["model"]
        self.route = route
        self.body = body
        self.streamed = bool(body.get("stream", False))
        self.features = choose.features_of(prompt_of(body))
        self.max_tokens = body.get("max_tokens", DEFAULT_MAX_TOKENS)
        self.deadline = deadline
        self.priority = priority
        self.accepted_at = now
        self.answer = answer.Answer(request_id=request_id)
        self.attempts = 0
        self.sent = False
        self.copied_events = 0
        self.isolated_upstream = ""
        self.move_requested = asyncio.Event()
        self.history: list[str] = []
        self.task: asyncio.Task | None = None
        self.unread_since: float | None = None

    @property
    def cost(self) -> int:
        """Estimated tokens the request takes."""
        return self.features.prompt_tokens // 8 + self.max_tokens

    @property
    def remaining_tokens(self) -> int:
        """Most tokens that are still to come."""
        return max(0, self.max_tokens - len(self.answer.events))


def new_request_id(entry: str) -> str:
    """Returns an id that tells which entry accepted the request."""
    return f"{entry}~{uuid.uuid4().hex[:16]}"


def owner_of(request_id: str) -> str:
    """Returns the entry that accepted a request."""
    return request_id.partition("~")[0]


def fingerprint(workspace: str, route: str, digest: str) -> str:
    """Returns what quarantine knows a request by."""
    return inventories.digest(f"{workspace}|{route}|{digest}")[:32]


def prompt_of(body: dict[str, Any]) -> str:
    """Returns the text that prefix caching goes by."""
    if "prompt" in body:
        return body["prompt"]
    return "\n".join(
        f"{message['role']}: {message['content']}"
        for message in body["messages"]
    )


def parse_body(raw: bytes, route: str) -> dict[str, Any] | answer.Problem:
    """Parses and checks a completion body."""
    try:
        body = json.loads(raw)
    except (ValueError, RecursionError) as error:
        return refusal("malformed JSON", str(error))
    if not isinstance(body, dict):
        return refusal("malformed JSON", "the body has to be an object")
    problem = _check_prompt(body, route) or _check_values(body)
    return problem or body


def _check_prompt(body: dict[str, Any], route: str) -> answer.Problem | None:
    if not isinstance(body.get("model"), str):
        return refusal("missing model", "model: give the name of a model")
    if route == "completions":
        if not isinstance(body.get("prompt"), str):
            return refusal("missing prompt", "prompt: give a string")
        return None
    messages = body.get("messages")
    if not isinstance(messages, list) or not messages:
        return refusal("missing messages", "messages: give a non-empty list")
    for i, message in enumerate(messages):
        if not isinstance(message, dict) or not all(
            isinstance(message.get(field), str) for field in ("role", "content")
        ):
            detail = f"messages[{i}]: give role and content as strings"
            return refusal("bad message", detail)
    return None


def _check_values(body: dict[str, Any]) -> answer.Problem | None:
    max_tokens = body.get("max_tokens", DEFAULT_MAX_TOKENS)
    is_integer = isinstance(max_tokens, int) and not isinstance(
        max_tokens, bool
    )
    if not is_integer or not 1 <= max_tokens <= MAX_TOKENS_LIMIT:
        detail = f"max_tokens: give 1 to {MAX_TOKENS_LIMIT}"
        return refusal("bad max_tokens", detail)
    if not isinstance(body.get("stream", False), bool):
        return refusal("bad stream", "stream: give true or false")
    if "continue_from" in body:
        return refusal("unknown key", "continue_from: not for callers")
    return None


def parse_options(headers: dict[str, str]) -> RequestOptions | answer.Problem:
    """Reads deadline, priority and key from lower-case headers."""
    key = headers.get("idempotency-key", "")
    if len(key) > MAX_KEY_CHARS or not key.isprintable():
        detail = f"Idempotency-Key: at most {MAX_KEY_CHARS} printable chars"
        return refusal("bad header", detail)
    deadline_ms = headers.get("x-deadline-ms")
    deadline_s = DEFAULT_DEADLINE_S
    if deadline_ms is not None:
        if not deadline_ms.isascii() or not deadline_ms.isdigit():
            return refusal("bad header", "X-Deadline-Ms: give milliseconds")
        deadline_s = min(MAX_DEADLINE_S, int(deadline_ms[:12]) / 1000)
        if deadline_s <= 0:
            return refusal("bad header", "X-Deadline-Ms: give more than 0")
    priority = headers.get("x-priority", str(DEFAULT_PRIORITY))
    if len(priority) != 1 or priority not in "0123456789":
        return refusal("bad header", f"X-Priority: give 0 to {MAX_PRIORITY}")
    return RequestOptions(key, deadline_s, int(priority))


def refusal(title: str, detail: str, status: int = 400) -> answer.Problem:
    """Returns a refusal of bad input; it was certainly not run."""
    return answer.Problem(status, title, detail, "no")
