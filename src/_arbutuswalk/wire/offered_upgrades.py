"""Framing of requests that the parser leaves in doubt.

It takes another protocol that a request offers to be accepted.

A server that does not offer the protocol answers in HTTP/1.1 (RFC 9110, 7.8).
The parser ends such a request after its head instead, and its body would be
taken for the next request. A second parser of the same kind reads the body, and
all requests after it: it is given a head with the same framing first.
"""

from typing import Any

import httptools
from uvicorn.protocols.http import httptools_impl

CONNECT = b"CONNECT"
CODING_HEADER = b"transfer-encoding"
FRAMING_HEADERS = b"content-length", CODING_HEADER
_CALLBACKS = (
    "on_message_begin",
    "on_url",
    "on_header",
    "on_headers_complete",
    "on_body",
    "on_message_complete",
)


class UnknownCodingError(Exception):
    """A transfer coding other than ``chunked``; the body cannot be relayed."""


class _Gate:
    """Passes a parser's callbacks on to a connection once it is open.

    Attributes:
        is_open: Whether they are passed on.
    """

    def __init__(self, connection: Any):
        self.is_open = False
        for name in _CALLBACKS:
            setattr(self, name, self._make_callback(connection, name))

    def _make_callback(self, connection: Any, name: str) -> Any:
        def call(*arguments: Any) -> None:
            if self.is_open:
                getattr(connection, name)(*arguments)

        return call


class HttpProtocol(httptools_impl.HttpToolsProtocol):
    """uvicorn's protocol, which ignores offers of other protocols.

    Attributes:
        body_parser: Parser that takes over at the end of the head, None if
            that is not needed.
    """

    def __init__(self, **options: Any):
        super().__init__(**options)
        self.body_parser: httptools.HttpRequestParser | None = None

    def data_received(self, data: bytes) -> None:
        """Parses received data."""
        self._unset_keepalive_if_required()
        while data and self.parser is not None:
            data = self._feed_parser(data)

    def on_headers_complete(self) -> None:
        """Ends the head of a request.

        Raises:
            UnknownCodingError: The body is encoded for this connection.
        """
        if any(map(_is_unknown_coding, self.headers)):
            raise UnknownCodingError
        super().on_headers_complete()
        if self.parser.should_upgrade() and _has_body(
            self.parser.get_method(), self.headers
        ):
            self.body_parser = _make_body_parser(self, self.headers)

    def on_message_complete(self) -> None:
        """Ends a request, unless the parser leaves its body out."""
        if self.body_parser is None:
            super().on_message_complete()

    def _feed_parser(self, data: bytes) -> bytes:
        """Returns what follows a head that offers another protocol."""
        try:
            self.parser.feed_data(data)
        except httptools.HttpParserError:
            self.send_400_response("Invalid HTTP request received.")
        except httptools.HttpParserUpgrade as offer:
            if self.body_parser is not None:
                self.parser, self.body_parser = self.body_parser, None
            return data[offer.args[0] :]
        return b""


def _has_body(method: bytes, headers: list[tuple[bytes, bytes]]) -> bool:
    """Returns whether a body follows a head.

    Args:
        method: Method of the request.
        headers: Its headers, with names in lower case. The parser has refused
            those that contradict each other.
    """
    if method == CONNECT:
        return False
    return any(
        name in FRAMING_HEADERS and value.strip(b"0 \t")
        for name, value in headers
    )


def _is_unknown_coding(header: tuple[bytes, bytes]) -> bool:
    return header[0] == CODING_HEADER and header[1].lower() != b"chunked"


def _make_body_parser(
    connection: Any, headers: list[tuple[bytes, bytes]]
) -> httptools.HttpRequestParser:
    """Returns a parser that reads the body after a head, and what follows.

    Args:
        connection: Receives the callbacks, from the body on.
        headers: Headers of the head, with names in lower case.
    """
    gate = _Gate(connection)
    parser = httptools.HttpRequestParser(gate)
    parser.set_dangerous_leniencies(lenient_data_after_close=True)
    lines = [
        name + b": " + value
        for name, value in headers
        if name in FRAMING_HEADERS
    ]
    parser.feed_data(b"\r\n".join([b"POST / HTTP/1.1", *lines, b"", b""]))
    gate.is_open = True
    return parser
