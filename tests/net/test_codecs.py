"""The codecs, and the buffer that they read from, without a socket."""

import base64
import json

import pytest

from otterrudder.net import jsonrpc, lines, records_codec, runtime_codec
from otterrudder.net.buffer import Buffer, ProtocolError
from otterrudder.net.messages import (
    HealthStatus,
    RequestCompleted,
    RequestRejected,
)


def fed(pieces: list[bytes], read, room: int = 4096) -> list:
    buffer, got = Buffer(room), []
    for piece in pieces:
        buffer.append(piece)
        got += read(buffer)
    assert buffer.start == buffer.end
    return got


GATEWAY = b'{"jsonrpc":"2.0","id":7,"method":"look","params":{"call":"00000000000000aa"}}\n{"x"}\n\r\n[1]\n'


RUNTIME = (
    b"ready hot 3600000.5\r\nend 1 9b1f03aa5c7e2d41 complete 12 8\r\nre\r\nsult\r\n"
    b"info 2 all is well\r\nwants 3 9b1f03aa5c7e2d41 0\r\n\r\n"
    b"end 4 9b1f03aa5c7e2d41 cancelled 3 0\r\n\r\nload t 0.5 3 0.1 9\r\n"
)


RECORDS = b"9b1f03aa5c7e2d41 DONE 5\r\nDONE \r\n9b1f03aa5c7e2d41 WAIT\r\n"


READERS = {
    GATEWAY: lambda b: [m if isinstance(m, tuple) else m.code for m in jsonrpc.read_messages(b)],
    RUNTIME: lambda b: list(lines.read_messages(b, runtime_codec.has_body)),
    RECORDS: lambda b: list(lines.read_messages(b, records_codec.has_body)),
}  # fmt: skip


@pytest.mark.parametrize("data", READERS, ids=["gateway", "runtime", "records"])
def test_every_split_of_a_stream_gives_the_same_messages(data: bytes) -> None:
    whole = fed([data], READERS[data])
    assert len(whole) == {GATEWAY: 3, RUNTIME: 6, RECORDS: 2}[data]
    for at in range(len(data)):
        assert fed([data[:at], data[at:]], READERS[data]) == whole, at
    assert fed([data[n : n + 1] for n in range(len(data))], READERS[data]) == whole


def test_a_buffer_begins_small_and_grows_to_its_room_and_no_further() -> None:
    line = b'{"jsonrpc":"2.0","id":7,"method":"look","params":{"x":"%s"}}\n' % (b"y" * 9000)
    assert fed([line[:5000], line[5000:]], READERS[GATEWAY], 16384)[0][2] == {"x": "y" * 9000}
    buffer = Buffer(16384)
    assert len(buffer.data) == 4096
    with pytest.raises(ProtocolError):
        buffer.append(b"z" * 20000)
    assert len(buffer.data) == 16384


def test_messages_are_what_was_sent() -> None:
    assert fed([GATEWAY], READERS[GATEWAY])[0] == (7, "look", {"call": "00000000000000aa"})
    said = fed([RUNTIME], READERS[RUNTIME])
    assert said[1] == (["end", "1", "9b1f03aa5c7e2d41", "complete", "12", "8"], b"re\r\nsult")
    assert said[3] == (["wants", "3", "9b1f03aa5c7e2d41", "0"], b"")
    assert fed([RECORDS], READERS[RECORDS])[0] == (["9b1f03aa5c7e2d41", "DONE", "5"], b"DONE ")


@pytest.mark.parametrize(
    "data",
    [
        b"end 1 a complete 1 3\r\nabcdef",
        b"end 1 a complete 1 99999999\r\n",
        b"end 1 a complete 1 -4\r\n",
        b"\xff\r\n",
        b"x" * 600,
        b"x" * 600 + b"\r\n",
    ],
)
def test_lines_that_can_not_be_followed_break_the_link(data: bytes) -> None:
    with pytest.raises(ProtocolError):
        fed([data], READERS[RUNTIME])


def test_answers_are_json_with_their_bodies_unchanged() -> None:
    body = bytes(range(256))
    told = [
        json.loads(b"".join(parts))
        for parts in (
            jsonrpc.encode(RequestCompleted(1, body, 0.25)),
            jsonrpc.encode(RequestCompleted(2, b"", None)),
            jsonrpc.encode(RequestRejected(3, True, 12.1, 3.0)),
            jsonrpc.encode(RequestRejected(4, False, 0.0, None)),
            jsonrpc.encode(RequestRejected(5, False, 0.0, 0.0)),
            jsonrpc.encode_error(None, jsonrpc.PARSE_ERROR, 'a "why"'),
            jsonrpc.encode(HealthStatus(6, True, 1.5)),
            jsonrpc.GOAWAY,
        )
    ]
    assert base64.b64decode(told[0]["result"]["blob"]) == body and told[0]["result"]["load"] == 0.25
    assert told[1]["result"] == {"blob": ""}
    assert [t["error"].get("data") for t in told[2:5]] == [
        {"stop": 1, "pushback": 13, "load": 3.0}, {}, {"load": 0.0}]  # fmt: skip
    assert told[5]["id"] is None and told[5]["error"]["message"] == 'a "why"'
    assert told[6]["result"] == {"pass": True, "load": 1.5} and told[7]["method"] == "noMore"
