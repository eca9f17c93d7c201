"""Ids and ends of server-sent events, which are forwarded as bytes."""

ID_FIELD = b"id:"
COMMENT = b":"


def parse_id(event: bytes) -> str:
    """Returns the id of an event, or an empty string."""
    for line in event.split(b"\n"):
        if line.startswith(ID_FIELD):
            return line[len(ID_FIELD) :].strip().decode("latin-1")
    return ""


def is_inside_event(data: bytes) -> bool:
    """Returns whether a stream that ends with ``data`` ends inside an event.

    Lines may end with CR, LF or both. Comments belong to no event.

    Args:
        data: What follows the last event that is known to be complete.
    """
    data = data.replace(b"\r\n", b"\n").replace(b"\r", b"\n")
    lines = data.rpartition(b"\n\n")[2].split(b"\n")
    return any(line and not line.startswith(COMMENT) for line in lines)


def is_newer(event_id: str, last_id: str) -> bool:
    """Returns whether an event follows the last one sent to the caller."""
    if not (_is_number(event_id) and _is_number(last_id)):
        return True
    return _order(event_id) > _order(last_id)


def _is_number(event_id: str) -> bool:
    return event_id.isascii() and event_id.isdigit()


def _order(number: str) -> tuple[int, str]:
    """Returns what orders numbers of any size, which ``int`` may refuse."""
    significant = number.lstrip("0")
    return len(significant), significant
