"""Checksummed records inside a segment file.

A record is a header (length, checksum of the length, checksum of the payload)
and the payload. The separate checksum of the length distinguishes a torn
write, which leaves a record short, from a flipped bit, which leaves it at full
length with wrong content.
"""

import struct
import zlib
from typing import NamedTuple

HEADER = struct.Struct(">III")


class Scan(NamedTuple):
    """Result of reading a segment file.

    Attributes:
        payloads: Payload of each valid record.
        valid_bytes: Size of the prefix of valid records.
        torn: Whether the bytes after the prefix are a torn write.
        corruption: Why the bytes after the prefix are corrupt, or empty if not.
    """

    payloads: list[bytes]
    valid_bytes: int
    torn: bool
    corruption: str


def pack(payload: bytes) -> bytes:
    """Returns a record with ``payload``."""
    length = len(payload)
    length_crc = zlib.crc32(struct.pack(">I", length))
    return HEADER.pack(length, length_crc, zlib.crc32(payload)) + payload


def scan(data: bytes) -> Scan:
    """Reads records until the end, a torn write or corrupt data."""
    payloads: list[bytes] = []
    offset = 0
    while offset < len(data):
        if len(data) - offset < HEADER.size:
            return Scan(payloads, offset, torn=True, corruption="")
        length, length_crc, payload_crc = HEADER.unpack_from(data, offset)
        if zlib.crc32(struct.pack(">I", length)) != length_crc:
            if not any(data[offset:]):  # space allocated but never written
                return Scan(payloads, offset, torn=True, corruption="")
            return Scan(payloads, offset, torn=False, corruption="bad header")
        start = offset + HEADER.size
        payload = data[start : start + length]
        if len(payload) < length:
            return Scan(payloads, offset, torn=True, corruption="")
        if zlib.crc32(payload) != payload_crc:
            return Scan(payloads, offset, torn=False, corruption="bad payload")
        payloads.append(payload)
        offset = start + length
    return Scan(payloads, offset, torn=False, corruption="")
