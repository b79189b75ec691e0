"""The lines of the runtime and of the records service: words, CR LF, and a body where the last word is its
length. Bytes in, words and body out; words and body in, bytes out. No I/O."""

from collections.abc import Callable, Iterator

from otterrudder.admission.interface import Outcome
from otterrudder.net.sockets import Buffer, ProtocolError

LINE_MOST = 512  # bytes of a line without its body: an id, a name and some numbers
BODY_MOST = 60 * 1024  # bytes of a body: results are 4 KiB at most, replies not much more
ROOM = 64 * 1024  # bytes of a receive buffer: a body and its line fit

ENDS = {
    "complete": Outcome.OK,
    "error": Outcome.ERROR,
    "cancelled": Outcome.CANCELLED,
    "unknown": Outcome.NEVER_STARTED,
}
REPLIES = {
    "DONE": Outcome.OK,
    "WAIT": Outcome.FULL,
    "ERROR": Outcome.ERROR,
    "PAST": Outcome.TIMEOUT,
    "EMPTY": Outcome.NEVER_STARTED,
}

Words = list[str]


def runtime_body(words: Words) -> bool:
    """Whether a body follows this line of the runtime."""
    return (words[0] == "end" and len(words) == 6) or (words[0] == "wants" and len(words) == 4)


def records_body(words: Words) -> bool:
    """Whether a body follows this line of the records service."""
    return len(words) == 3 and words[1] == "DONE"


def messages(buffer: Buffer, has_body: Callable[[Words], bool]) -> Iterator[tuple[Words, bytes]]:
    """All whole messages that wait in the buffer."""
    while (line := buffer.line(b"\r\n")) is not None:
        with line:
            size = len(line) + 2
            try:
                words = str(line, "ascii").split(" ") if size <= LINE_MOST else []
            except UnicodeDecodeError:
                words = []
        if not words:
            raise ProtocolError("a line that is too long or not text")
        body = b""
        if has_body(words):
            length = natural(words[-1])
            if length > BODY_MOST:
                raise ProtocolError(f"a body of {length} bytes")
            ends = buffer.start + size + length
            if buffer.end < ends + 2:
                buffer.seen = buffer.start
                return
            body = bytes(memoryview(buffer.data)[buffer.start + size : ends])
            if buffer.data[ends : ends + 2] != b"\r\n":
                raise ProtocolError("a body that does not end where its length says")
            size += length + 2
        buffer.drop(size)
        yield words, body
    if buffer.end - buffer.start > LINE_MOST:
        raise ProtocolError("a line without end")


def natural(word: str) -> int:
    """A whole number from 0; ProtocolError if the word is none."""
    if not (word.isascii() and word.isdigit() and len(word) < 16):
        raise ProtocolError(f"{word[:20]!r} is no whole number")
    return int(word)


def encode(*words: object) -> list[bytes]:
    """A line of these words."""
    return [" ".join(map(str, words)).encode() + b"\r\n"]


def encode_with_body(body: bytes, *words: object) -> list[bytes]:
    """A line of these words and the body's length, and the body behind it."""
    return [f"{' '.join(map(str, words))} {len(body)}\r\n".encode(), body, b"\r\n"]
