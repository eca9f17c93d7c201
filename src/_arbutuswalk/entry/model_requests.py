"""Model requests: parsing, validation and state."""

import asyncio
import json
import uuid
from typing import Any
from typing import NamedTuple

from _arbutuswalk.routing import choose
from _arbutuswalk.state import inventory as inventories
from _arbutuswalk.streams import answer
from _arbutuswalk.streams import attempts

ROUTE_PATHS = {"chat": "/v1/chat/completions", "completions": "/v1/completions"}
MAX_TOKENS_LIMIT = 32768
DEFAULT_MAX_TOKENS = 256
DEFAULT_DEADLINE_S = 60.0
MAX_DEADLINE_S = 3600.0
DEFAULT_PRIORITY = 5
MAX_PRIORITY = 9
MAX_KEY_CHARS = 128
MIN_ANSWER_BYTES = 1024 * 1024
"""Size that an answer may have beside that of its tokens."""
BYTES_PER_TOKEN = 16 * 1024
"""Size of the event of one token that an answer may have, with log
probabilities, up to the largest answer."""


class RequestOptions(NamedTuple):
    """Options that a caller sets by headers.

    Attributes:
        key: Idempotency key, or empty.
        deadline_s: Seconds for which the caller waits.
        priority: From 0, most urgent, to 9.
    """

    key: str
    deadline_s: float
    priority: int


class ModelRequest:
    """A model request that an entry has accepted.

    Attributes:
        request_id: Id, which names the entry that accepted it.
        workspace: Name of the caller's workspace.
        weight: Fair-queue weight of the workspace.
        key: Idempotency key, or empty.
        digest: Digest of the body.
        fingerprint: Identifies the request in the quarantine.
        upstream: Name of the upstream, which is the model.
        route: ``chat`` or ``completions``.
        body: Parsed JSON body.
        streamed: Whether the caller asked for a stream of events.
        features: Input of the routing decision.
        max_tokens: Maximum number of tokens to generate.
        deadline: When the caller stops waiting, in seconds.
        priority: Priority forwarded to the engine.
        accepted_at: When it was accepted, in seconds.
        answer: Its answer so far.
        attempts: Attempts sent so far.
        possibly_sent: Whether any byte may have reached an upstream.
        copied_events: Number of events copied to the peer entry.
        isolated_upstream: Id of the upstream reserved for it, or empty.
        move_requested: Set to move the running attempt to another upstream.
        history: Attempts and their ends, for ``explain``.
        task: The task that runs it.
        unread_since: When its last reader left, in seconds, or None.
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
        self.digest = inventories.sha256_hex(raw)
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
        self.possibly_sent = False
        self.copied_events = 0
        self.isolated_upstream = ""
        self.move_requested = asyncio.Event()
        self.history: list[str] = []
        self.task: asyncio.Task | None = None
        self.unread_since: float | None = None

    @property
    def cost(self) -> int:
        """Estimated cost in tokens."""
        return self.features.prompt_tokens // 8 + self.max_tokens

    @property
    def remaining_tokens(self) -> int:
        """Maximum number of tokens still to be generated."""
        return max(0, self.max_tokens - len(self.answer.events))

    @property
    def remaining_bytes(self) -> int:
        """Size that the rest of the answer may have."""
        max_bytes = min(
            MIN_ANSWER_BYTES + BYTES_PER_TOKEN * self.max_tokens,
            attempts.MAX_ANSWER_BYTES,
        )
        return max(0, max_bytes - self.answer.size)


def new_request_id(entry: str) -> str:
    """Returns a request id that names the entry that accepted it."""
    return f"{entry}~{uuid.uuid4().hex[:16]}"


def owner_of(request_id: str) -> str:
    """Returns the entry that accepted a request."""
    return request_id.partition("~")[0]


def fingerprint(workspace: str, route: str, digest: str) -> str:
    """Returns the value that identifies a request in the quarantine."""
    return inventories.sha256_hex(f"{workspace}|{route}|{digest}")[:32]


def prompt_of(body: dict[str, Any]) -> str:
    """Returns the prompt text that prefix caching is keyed on."""
    if "prompt" in body:
        return body["prompt"]
    return "\n".join(
        f"{message['role']}: {message['content']}"
        for message in body["messages"]
    )


def parse_body(raw: bytes, route: str) -> dict[str, Any] | answer.Problem:
    """Parses and validates a completion body."""
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
    """Returns a refusal of a request that was certainly not run."""
    return answer.Problem(status, title, detail, "no")
