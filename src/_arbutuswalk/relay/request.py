"""Requests on the data path, independent of the protocol of the caller."""

from collections.abc import Awaitable
from collections.abc import Callable
from typing import NamedTuple

from _arbutuswalk.routing import crashes
from _arbutuswalk.state import routeconfig
from _arbutuswalk.streams import replies

MAX_BLAMED_PARTS = 32
"""Shared parts of a prompt that may be blamed for crashes, the first ones."""


class Part(NamedTuple):
    """A part of a prompt that other requests may have in common."""

    id: str
    tokens: int


class Prompt(NamedTuple):
    """Prompt of a model request, as described by the caller.

    Attributes:
        model: Name of the model.
        tokens_in: Number of prompt tokens.
        tokens_out: Maximum number of answer tokens.
        parts: Parts of the prompt in order, shared ones first.
    """

    model: str
    tokens_in: int
    tokens_out: int
    parts: tuple[Part, ...]


class Request(NamedTuple):
    """One request of a caller.

    Attributes:
        id: Id of the caller's attempt.
        method: HTTP method.
        target: Path and query as received.
        headers: Headers to forward.
        body: Complete body.
        route: Route that matched.
        upstream: Upstream drawn by the weights of the route.
        workspace: Workspace of the caller, None on an anonymous route.
        received_at: When it was read, in seconds.
        deadline: Earlier of the caller's deadline and the route's time-out, in
            seconds.
        caller_deadline_s: Time the caller waits after ``received_at``.
        prompt: Prompt of a model request, None for other requests.
        last_event: Id of the last event that the caller has, or empty.
        fingerprint: Digest that identifies it when it is sent again.
    """

    id: str
    method: str
    target: str
    headers: replies.Headers
    body: bytes
    route: routeconfig.Route
    upstream: str
    workspace: routeconfig.Workspace | None
    received_at: float
    deadline: float
    caller_deadline_s: float
    prompt: Prompt | None
    last_event: str
    fingerprint: str

    @property
    def tokens(self) -> int:
        """Prompt and answer tokens, 0 if unknown."""
        if self.prompt is None:
            return 0
        return self.prompt.tokens_in + self.prompt.tokens_out

    @property
    def crash_keys(self) -> tuple[str, ...]:
        """What is to blame if it crashes endpoints: itself, or a shared part.

        The last part of a prompt is the request's own.
        """
        parts = self.prompt.parts[:-1] if self.prompt is not None else ()
        part_ids = dict.fromkeys(part.id for part in parts[:MAX_BLAMED_PARTS])
        return self.fingerprint, *map(crashes.part_key, part_ids)

    @property
    def priority(self) -> int:
        """Priority, 0 the highest; the workspace's overrides the route's."""
        if self.workspace is not None and self.workspace.priority is not None:
            return self.workspace.priority
        return self.route.priority


class AnswerSender(NamedTuple):
    """Callbacks that send the answer to a caller.

    Attributes:
        send_head: Sends status and headers.
        send_body: Sends a chunk of the body; waits while the caller is slow.
        end_answer: Ends a complete answer.
    """

    send_head: Callable[[int, replies.Headers], Awaitable[None]]
    send_body: Callable[[bytes], Awaitable[None]]
    end_answer: Callable[[], Awaitable[None]]


class AttemptOptions(NamedTuple):
    """Parameters of one attempt to send a request to an endpoint.

    Attributes:
        endpoint: Id that only the intended endpoint accepts.
        left_s: Time left for the endpoint to answer.
        last_event: Id of the last event that the caller has, or empty.
        priority: Priority of a model request from 0 to 9, None to send none.
    """

    endpoint: str
    left_s: float
    last_event: str
    priority: int | None


class Dialect(NamedTuple):
    """HTTP conventions of the endpoints of a deployment.

    Attributes:
        encode: Returns the bytes of a request for one attempt.
        read: Interprets the status and headers of an answer.
        answer_headers: Returns the headers to forward to the caller.
    """

    encode: Callable[[Request, AttemptOptions], bytes]
    read: Callable[[int, replies.Headers], replies.Reply]
    answer_headers: Callable[[replies.Headers], replies.Headers]
