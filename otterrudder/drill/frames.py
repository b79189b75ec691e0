"""Frames of the simulator's protocol: a big-endian length of four bytes, then the body."""

import struct
from collections.abc import Iterator
from typing import BinaryIO

_U32 = struct.Struct(">I")


class FrameError(Exception):
    """The input is not a valid frame of the protocol."""


def read_frames(stream: BinaryIO) -> Iterator[bytes]:
    """Yields the body of each frame until the input ends. Raises FrameError if it ends within a frame."""
    while header := stream.read(_U32.size):
        if len(header) < _U32.size:
            header += _read_exactly(stream, _U32.size - len(header))
        yield _read_exactly(stream, _U32.unpack(header)[0])


def encode_frame(records: list[bytes]) -> bytes:
    """Returns the frame of a reply with these records."""
    body = b"".join(records)
    return _U32.pack(len(body) + _U32.size) + _U32.pack(len(records)) + body


def _read_exactly(stream: BinaryIO, size: int) -> bytes:
    data = b""
    while len(data) < size:
        chunk = stream.read(size - len(data))
        if not chunk:
            raise FrameError(f"input ended {size - len(data)} bytes short of a frame")
        data += chunk
    return data
