"""Checksummed records inside a segment file.

A record is a header (length, checksum of the length, checksum of the payload)
and the payload. A separate header checksum tells a torn write, which leaves a
record short, from a flipped bit, which leaves it whole but wrong.
"""

import struct
import zlib
from typing import NamedTuple

HEADER = struct.Struct(">III")


class Scan(NamedTuple):
    """What a segment file holds.

    Attributes:
        payloads: Payload of each good record.
        good_bytes: Size of the good prefix.
        torn: Whether bytes after the prefix are an unfinished write.
        fault: Why the bytes after the prefix are corrupt, or empty.
    """

    payloads: list[bytes]
    good_bytes: int
    torn: bool
    fault: str


def pack(payload: bytes) -> bytes:
    """Returns the record that holds ``payload``."""
    length = len(payload)
    head = zlib.crc32(struct.pack(">I", length))
    return HEADER.pack(length, head, zlib.crc32(payload)) + payload


def scan(data: bytes) -> Scan:
    """Reads records until the end, a torn write or a corrupt byte."""
    payloads: list[bytes] = []
    offset = 0
    while offset < len(data):
        if len(data) - offset < HEADER.size:
            return Scan(payloads, offset, torn=True, fault="")
        length, head, body = HEADER.unpack_from(data, offset)
        if zlib.crc32(struct.pack(">I", length)) != head:
            if not any(data[offset:]):  # never written, only allocated
                return Scan(payloads, offset, torn=True, fault="")
            return Scan(payloads, offset, torn=False, fault="bad header")
        start = offset + HEADER.size
        payload = data[start : start + length]
        if len(payload) < length:
            return Scan(payloads, offset, torn=True, fault="")
        if zlib.crc32(payload) != body:
            return Scan(payloads, offset, torn=False, fault="bad payload")
        payloads.append(payload)
        offset = start + length
    return Scan(payloads, offset, torn=False, fault="")
