"""Serialization of members and tables into one snapshot."""

import struct

from _arbutuswalk.agreement import types

_MEMBERS_LENGTH = struct.Struct(">I")


def pack(members: types.Members, tables: bytes) -> bytes:
    """Returns the snapshot; equal members and tables give equal bytes."""
    packed_members = types.pack_members(members)
    return _MEMBERS_LENGTH.pack(len(packed_members)) + packed_members + tables


def unpack(data: bytes) -> tuple[types.Members, bytes]:
    """Returns the members and the serialized tables of a snapshot."""
    (members_length,) = _MEMBERS_LENGTH.unpack_from(data)
    members_start = _MEMBERS_LENGTH.size
    members = types.unpack_members(
        data[members_start : members_start + members_length]
    )
    return members, data[members_start + members_length :]
