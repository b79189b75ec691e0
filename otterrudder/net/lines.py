"""The framing that the runtime and the records service share: a line of words ended by CR LF, and a body
where the last word is its length. No I/O.

What the words mean: `runtime_codec.py` and `records_codec.py`."""

from collections.abc import Callable, Iterator

from otterrudder.net.buffer import Buffer, ProtocolError

MAX_LINE_BYTES = 512  # without a body: an id, a name and some numbers
MAX_BODY_BYTES = 60 * 1024  # results are 4 KiB at most, replies not much more
BUFFER_BYTES = 64 * 1024  # of a receive buffer: a body and its line fit
MAX_DIGITS = 15  # of a whole number
END_OF_LINE = b"\r\n"

Words = list[str]


def read_messages(buffer: Buffer, has_body: Callable[[Words], bool]) -> Iterator[tuple[Words, bytes]]:
    """Takes all whole messages out of the buffer. `has_body`: whether a body follows the line."""
    while (line := buffer.next_line(END_OF_LINE)) is not None:
        with line:
            size = len(line) + len(END_OF_LINE)
            words = _split(line, size)
        body = b""
        if has_body(words):
            length = whole_number(words[-1])
            if (whole_body := _body(buffer, size, length)) is None:
                return
            body = whole_body
            size += length + len(END_OF_LINE)
        buffer.consume(size)
        yield words, body
    if buffer.end - buffer.start > MAX_LINE_BYTES:
        raise ProtocolError("a line without end")


def _split(line: memoryview, size: int) -> Words:
    if size <= MAX_LINE_BYTES:
        try:
            return str(line, "ascii").split(" ")
        except UnicodeDecodeError:
            pass
    raise ProtocolError("a line that is too long or not text")


def _body(buffer: Buffer, offset: int, length: int) -> bytes | None:
    """The body behind a line of `offset` bytes; None: it has not come whole yet."""
    if length > MAX_BODY_BYTES:
        raise ProtocolError(f"a body of {length} bytes")
    start = buffer.start + offset
    end = start + length
    if buffer.end < end + len(END_OF_LINE):
        buffer.rescan()
        return None
    if buffer.data[end : end + len(END_OF_LINE)] != END_OF_LINE:
        raise ProtocolError("a body that does not end where its length says")
    return bytes(memoryview(buffer.data)[start:end])


def whole_number(word: str) -> int:
    """A whole number from 0; ProtocolError if the word is none."""
    if not (word.isascii() and word.isdigit() and len(word) <= MAX_DIGITS):
        raise ProtocolError(f"{word[:20]!r} is no whole number")
    return int(word)


def encode(*words: object) -> list[bytes]:
    """A line of these words."""
    return [" ".join(map(str, words)).encode() + END_OF_LINE]


def encode_with_body(body: bytes, *words: object) -> list[bytes]:
    """A line of these words and the body's length, and the body behind it."""
    return [f"{' '.join(map(str, words))} {len(body)}\r\n".encode(), body, END_OF_LINE]
