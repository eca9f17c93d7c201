"""Where received data is divided, so that few requests are parsed ahead."""

HEAD_END = b"\r\n\r\n"
"""Ends each head, and each body in chunks."""
MIN_CHUNKS_BYTES = 1024
"""Bytes of a body in chunks that are parsed at once, if there are as many."""


def find_end(
    data: bytes, position: int, *, reading_head: bool, body_left: int
) -> int:
    """Returns the end of the next piece of data to parse.

    A piece contains the end of one head or body at most, unless a body in
    chunks and the heads after it are short.

    Args:
        data: Received data.
        position: Where the piece begins.
        reading_head: Whether it begins with a head.
        body_left: Bytes left of a body with a length, 0 or less in chunks.
    """
    if not reading_head:
        if body_left > 0:
            return min(len(data), position + body_left)
        # Blank lines inside a body in chunks are no ends of heads.
        position += MIN_CHUNKS_BYTES
    index = data.find(HEAD_END, position)
    if index < 0:
        return len(data)
    end = index + len(HEAD_END)
    # What follows is a body that needs no piece of its own.
    return len(data) if data.find(HEAD_END, end) < 0 else end
