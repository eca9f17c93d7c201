"""Encoding and decoding of Thrift frames."""

import dataclasses
import struct

from thrift import Thrift
from thrift.protocol import TBinaryProtocol
from thrift.protocol import TProtocol
from thrift.transport import TTransport

from _arbutuswalk.wire.gen.arbutus import ttypes

LENGTH_PREFIX = struct.Struct(">I")
MAX_FRAME_BYTES = 16 * 1024 * 1024

_PROTOCOL_FACTORY = TBinaryProtocol.TBinaryProtocolAcceleratedFactory(
    string_length_limit=MAX_FRAME_BYTES,
    container_length_limit=MAX_FRAME_BYTES,
)
_BODY_FIELDS = {
    type_args[0]: name
    for _, _, name, type_args, _ in (
        spec for spec in ttypes.Body.thrift_spec if spec is not None
    )
}


@dataclasses.dataclass(frozen=True)
class UnknownMessage:
    """A valid frame holds a message that only a later build knows."""


@dataclasses.dataclass(frozen=True, kw_only=True)
class BadFrame:
    """The received bytes are not a valid frame."""

    reason: str


def encode(call_number: int, message: object, *, reply: bool) -> bytes:
    """Returns a frame with ``message``, preceded by its length."""
    body = ttypes.Body(**{_BODY_FIELDS[type(message)]: message})
    payload = encode_struct(
        ttypes.Frame(call=call_number, reply=reply, body=body)
    )
    return LENGTH_PREFIX.pack(len(payload)) + payload


def encode_struct(value: object) -> bytes:
    """Returns a generated struct in the Thrift binary protocol."""
    transport = TTransport.TMemoryBuffer()
    value.write(_PROTOCOL_FACTORY.getProtocol(transport))
    return transport.getvalue()


def decode(payload: bytes) -> tuple[int, bool, object] | BadFrame:
    """Parses one frame, given without its length prefix.

    Returns:
        Call number, whether it is a reply, and the message in it, which is an
        ``UnknownMessage`` if a later build has sent it.
    """
    frame = ttypes.Frame()
    try:
        transport = TTransport.TMemoryBuffer(payload)
        frame.read(_PROTOCOL_FACTORY.getProtocol(transport))
        frame.validate()
    except (
        Thrift.TException,
        TProtocol.TProtocolException,
        EOFError,
        ValueError,
        TypeError,
        OverflowError,
        MemoryError,
        RecursionError,
    ) as error:
        return BadFrame(reason=f"{type(error).__name__}: {error}")
    return _extract_message(frame)


def _extract_message(
    frame: ttypes.Frame,
) -> tuple[int, bool, object] | BadFrame:
    if frame.body is None:
        return BadFrame(reason="frame without a body")
    messages = [
        value
        for name in ttypes.Body.__slots__
        if (value := getattr(frame.body, name)) is not None
    ]
    if not messages:
        return frame.call, bool(frame.reply), UnknownMessage()
    if len(messages) != 1:
        return BadFrame(reason=f"{len(messages)} messages in one frame")
    try:
        messages[0].validate()
    except TProtocol.TProtocolException as error:
        return BadFrame(reason=str(error))
    return frame.call, bool(frame.reply), messages[0]
