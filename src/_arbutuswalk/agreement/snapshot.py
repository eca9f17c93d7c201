"""Packing members and tables into one snapshot."""

import struct

from _arbutuswalk.agreement import types

_HEAD = struct.Struct(">I")


def pack(members: types.Members, tables: bytes) -> bytes:
    """Returns snapshot bytes, equal for equal members and tables."""
    head = types.pack_members(members)
    return _HEAD.pack(len(head)) + head + tables


def unpack(data: bytes) -> tuple[types.Members, bytes]:
    """Returns the members and the bytes of the tables."""
    (size,) = _HEAD.unpack_from(data)
    start = _HEAD.size
    members = types.unpack_members(data[start : start + size])
    return members, data[start + size :]
