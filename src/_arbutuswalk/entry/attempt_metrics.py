"""Metrics of the attempts of a model request."""

from _arbutuswalk.base import events
from _arbutuswalk.entry import entry_state
from _arbutuswalk.entry import model_requests
from _arbutuswalk.routing import upstreams
from _arbutuswalk.streams import attempts


def count_recomputed_tokens(
    entry: entry_state.Entry,
    request: model_requests.ModelRequest,
    result: attempts.Result,
    events_before: int,
) -> None:
    """Counts prompt and delivered tokens that a later attempt recomputed."""
    if request.attempts <= 1 or isinstance(result, attempts.NotConnected):
        return
    cached_tokens = getattr(result, "cached_tokens", 0)
    known_tokens = request.features.prompt_tokens + events_before
    entry.metrics.count(
        "recomputed_tokens", amount=max(0, known_tokens - cached_tokens)
    )
    if events_before:
        entry.metrics.count("resumed")
        events.log(
            events.Event.STREAM_CONTINUED, request.request_id, "", events_before
        )


def record_latency(
    entry: entry_state.Entry, row: upstreams.Row, name: str, seconds: float
) -> None:
    """Records a time of an upstream's version."""
    labels = f'upstream="{row.name}",version="{row.announcement["version"]}"'
    entry.metrics.record(name, labels, seconds)
