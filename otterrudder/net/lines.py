"""The framing of the protocols of the runtime and the records service: a line of words that ends with CR LF,
followed for some messages by a body whose length is the last word of the line. The module performs no I/O.

`runtime_codec.py` and `records_codec.py` interpret the words."""

from collections.abc import Callable, Iterator

from otterrudder.net.buffer import Buffer, ProtocolError

MAX_LINE_BYTES = 512  # length of a line without its body; a line has an id, a name and some numbers
REMARK_HEAD_BYTES = 64  # start of a remark, with its number; the rest is not kept
MAX_BODY_BYTES = 60 * 1024  # results have up to 4 KiB, replies slightly more
BUFFER_BYTES = 64 * 1024  # receive buffer; holds a body with its line
MAX_DIGITS = 15  # digits of a whole number
END_OF_LINE = b"\r\n"

Words = list[str]


def read_messages(
    buffer: Buffer, has_body: Callable[[Words], bool], remark: bytes = b""
) -> Iterator[tuple[Words, bytes]]:
    """Yields and consumes all complete messages of the buffer. `has_body` tells from the words of a line
    whether a body follows. `remark` is the word, with a space, that begins a line whose text has no meaning:
    such a line may have any bytes and any length, and only its first two words are yielded."""
    while (line := buffer.next_line(END_OF_LINE)) is not None:
        with line:
            size = len(line) + len(END_OF_LINE)
            is_remark = bool(remark) and line[: len(remark)] == remark
            words = _remark_words(line) if is_remark else _split(line, size)
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
        if not remark or not buffer.starts_with(remark):
            raise ProtocolError("line is too long")
        buffer.drop_after(REMARK_HEAD_BYTES)


def _remark_words(line: memoryview) -> Words:
    """Returns the first two words of a remark; its text may be anything."""
    return str(line[:REMARK_HEAD_BYTES], "ascii", "replace").split(" ", 2)[:2]


def _split(line: memoryview, size: int) -> Words:
    if size <= MAX_LINE_BYTES:
        try:
            return str(line, "ascii").split(" ")
        except UnicodeDecodeError:
            pass
    raise ProtocolError("line is too long or not ASCII text")


def _body(buffer: Buffer, offset: int, length: int) -> bytes | None:
    """Returns the body that follows a line of `offset` bytes, or None if the body is not complete yet."""
    if length > MAX_BODY_BYTES:
        raise ProtocolError(f"body of {length} bytes is too long")
    start = buffer.start + offset
    end = start + length
    if buffer.end < end + len(END_OF_LINE):
        buffer.rescan()
        return None
    if buffer.data[end : end + len(END_OF_LINE)] != END_OF_LINE:
        raise ProtocolError("body does not end where its length says")
    return bytes(memoryview(buffer.data)[start:end])


def whole_number(word: str) -> int:
    """Returns the whole number, 0 or greater, that a word represents. Raises ProtocolError if it is not
    one."""
    if not (word.isascii() and word.isdigit() and len(word) <= MAX_DIGITS):
        raise ProtocolError(f"{word[:20]!r} is not a whole number")
    return int(word)


def encode(*words: object) -> list[bytes]:
    """Encodes a line of words."""
    return [" ".join(map(str, words)).encode() + END_OF_LINE]


def encode_with_body(body: bytes, *words: object) -> list[bytes]:
    """Encodes a line of words and the length of the body, followed by the body."""
    return [f"{' '.join(map(str, words))} {len(body)}\r\n".encode(), body, END_OF_LINE]
