"""Ids of server-sent events, which are forwarded as bytes."""

ID_FIELD = b"id:"


def parse_id(event: bytes) -> str:
    """Returns the id of an event, or an empty string."""
    for line in event.split(b"\n"):
        if line.startswith(ID_FIELD):
            return line[len(ID_FIELD) :].strip().decode("latin-1")
    return ""


def is_newer(event_id: str, last_id: str) -> bool:
    """Returns whether an event follows the last one sent to the caller."""
    if not (event_id.isdigit() and last_id.isdigit()):
        return True
    return int(event_id) > int(last_id)
