"""Ids of server-sent events, which are passed on as bytes."""

ID_FIELD = b"id:"


def id_of(event: bytes) -> str:
    """Returns an event's id, or an empty string."""
    for line in event.split(b"\n"):
        if line.startswith(ID_FIELD):
            return line[len(ID_FIELD) :].strip().decode("latin-1")
    return ""


def is_after(event_id: str, last: str) -> bool:
    """Tells whether an event comes after the last one that was delivered."""
    if not (event_id.isdigit() and last.isdigit()):
        return True
    return int(event_id) > int(last)
