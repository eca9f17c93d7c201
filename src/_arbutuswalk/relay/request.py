"""A request as the data path sees it, whatever protocol brought it."""

from collections.abc import Awaitable
from collections.abc import Callable
from typing import NamedTuple

from _arbutuswalk.state import routeconfig
from _arbutuswalk.streams import replies


class Part(NamedTuple):
    """One part of a prompt that other requests may share."""

    id: str
    tokens: int


class Prompt(NamedTuple):
    """What a caller says of a model request.

    Attributes:
        model: Name of the model.
        tokens_in: Tokens of the prompt.
        tokens_out: Most tokens of the answer.
        parts: Parts of the prompt in order, the shared ones first.
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
        target: Path and query as they came.
        headers: replies.Headers to pass on.
        body: Whole body.
        route: Route it goes by.
        upstream: Upstream that the route's weights picked.
        workspace: Whose it is, None on an anonymous route.
        came_at: When it was read, in seconds.
        deadline: When the caller or the route stops waiting.
        waits_s: How long the caller waits from ``came_at`` on.
        prompt: Its prompt, if it is a model request.
        last_event: Id of the last event that the caller has, or empty.
        fingerprint: What it is known by when it comes again.
    """

    id: str
    method: str
    target: str
    headers: replies.Headers
    body: bytes
    route: routeconfig.Route
    upstream: str
    workspace: routeconfig.Workspace | None
    came_at: float
    deadline: float
    waits_s: float
    prompt: Prompt | None
    last_event: str
    fingerprint: str

    @property
    def tokens(self) -> int:
        """Tokens in and out, 0 if nothing is known of them."""
        if self.prompt is None:
            return 0
        return self.prompt.tokens_in + self.prompt.tokens_out

    @property
    def priority(self) -> int:
        """Rank, 0 first; the workspace's goes before the route's."""
        if self.workspace is not None and self.workspace.priority is not None:
            return self.workspace.priority
        return self.route.priority


class Caller(NamedTuple):
    """How to answer a caller.

    Attributes:
        head: Sends status and headers.
        body: Sends a piece of the body; waits while the caller is slow.
        end: Ends a complete answer.
    """

    head: Callable[[int, replies.Headers], Awaitable[None]]
    body: Callable[[bytes], Awaitable[None]]
    end: Callable[[], Awaitable[None]]


class Send(NamedTuple):
    """One sending of a request to an endpoint.

    Attributes:
        endpoint: Id that only the meant endpoint accepts.
        left_s: Time that the endpoint may take.
        last_event: Id of the last event that the caller has, or empty.
        rank: Urgency of a model request from 0 to 9, None to leave it open.
    """

    endpoint: str
    left_s: float
    last_event: str
    rank: int | None


class Dialect(NamedTuple):
    """How endpoints of a deployment are spoken to.

    Attributes:
        encode: Returns the bytes of a request for one sending.
        read: Tells what an answer's status and headers mean.
        answer_headers: Returns the headers that go on to the caller.
    """

    encode: Callable[[Request, Send], bytes]
    read: Callable[[int, replies.Headers], replies.Reply]
    answer_headers: Callable[[replies.Headers], replies.Headers]
