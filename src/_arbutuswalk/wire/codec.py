"""Thrift frames to bytes and back."""

import dataclasses
import struct

from thrift import Thrift
from thrift.protocol import TBinaryProtocol
from thrift.protocol import TProtocol
from thrift.transport import TTransport

from _arbutuswalk.wire.gen.arbutus import ttypes

LENGTH = struct.Struct(">I")
MAX_FRAME_BYTES = 16 * 1024 * 1024

_FACTORY = TBinaryProtocol.TBinaryProtocolAcceleratedFactory(
    string_length_limit=MAX_FRAME_BYTES,
    container_length_limit=MAX_FRAME_BYTES,
)
_BODY_FIELDS = {
    type_args[0]: name
    for _, _, name, type_args, _ in (
        spec for spec in ttypes.Body.thrift_spec if spec is not None
    )
}


@dataclasses.dataclass(frozen=True, kw_only=True)
class BadFrame:
    """Bytes that are not a frame of ours."""

    reason: str


def encode(call: int, message: object, *, reply: bool) -> bytes:
    """Returns ``message`` in a frame, length included."""
    body = ttypes.Body(**{_BODY_FIELDS[type(message)]: message})
    payload = encode_struct(ttypes.Frame(call=call, reply=reply, body=body))
    return LENGTH.pack(len(payload)) + payload


def encode_struct(value: object) -> bytes:
    """Returns the binary protocol bytes of any generated struct."""
    transport = TTransport.TMemoryBuffer()
    value.write(_FACTORY.getProtocol(transport))
    return transport.getvalue()


def decode(payload: bytes) -> tuple[int, bool, object] | BadFrame:
    """Parses one frame without its length.

    Returns:
        Call number, whether it is a reply, and the one message in it.
    """
    frame = ttypes.Frame()
    try:
        transport = TTransport.TMemoryBuffer(payload)
        frame.read(_FACTORY.getProtocol(transport))
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
    return _unpack(frame)


def _unpack(frame: ttypes.Frame) -> tuple[int, bool, object] | BadFrame:
    if frame.body is None:
        return BadFrame(reason="frame without a body")
    messages = [
        value
        for name in ttypes.Body.__slots__
        if (value := getattr(frame.body, name)) is not None
    ]
    if len(messages) != 1:
        return BadFrame(reason=f"{len(messages)} messages in one frame")
    try:
        messages[0].validate()
    except TProtocol.TProtocolException as error:
        return BadFrame(reason=str(error))
    return frame.call, bool(frame.reply), messages[0]
