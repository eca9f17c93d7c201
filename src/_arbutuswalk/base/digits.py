"""Numbers in headers and events of other processes."""

MAX_NUMBER = 10**15
"""Largest number that is told apart: floating-point numbers hold it exactly."""
MAX_DIGITS = 15


def parse(text: bytes | str) -> int | None:
    """Returns a number of ASCII digits, at most ``MAX_NUMBER``, else None.

    ``int`` also refuses what ``str.isdigit`` accepts, such as superscripts, and
    numbers of over 4,300 digits.
    """
    if not (text.isascii() and text.isdigit()):
        return None
    significant = text.lstrip(b"0" if isinstance(text, bytes) else "0")
    if len(significant) > MAX_DIGITS:
        return MAX_NUMBER
    return int(significant or "0")
