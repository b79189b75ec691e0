"""Messages of cells: what is decoded, and what is refused."""

import pytest
from cell_harness import in_force, registration

from otterrudder.fleet.cell.messages import (
    MAX_NAME_LENGTH,
    Endorsement,
    EndorsementRequest,
    InvalidMessageError,
    LeaseGrant,
    LeaseRefusal,
    LeaseRenewal,
    RefusalReason,
    ValidationRequest,
    ValidationResult,
    decode_from_peer,
    decode_from_relay,
    decode_from_server,
    encode,
)


def test_messages_come_back_as_they_were() -> None:
    for message in (registration(), LeaseRenewal(3, 1, "serving"), ValidationResult("d", "no")):
        assert decode_from_server(encode(message)) == message
    relays = (
        LeaseGrant(3, 1, "A", 3000.0),
        in_force(1, "t", "d"),
        ValidationRequest("d", "t"),
        LeaseRefusal(1, RefusalReason.FULL, "x"),
    )
    for message in relays:
        assert decode_from_relay(encode(message)) == message
    for message in (EndorsementRequest(1, "f", "c", "a", ("a", "b")), Endorsement(1, "b", 3000.0)):
        assert decode_from_peer(encode(message)) == message


@pytest.mark.parametrize(
    "data",
    [
        b"",
        b"\xff",
        encode(LeaseGrant(1, 1, "", 1.0)),
        encode(registration(name="n" * (MAX_NAME_LENGTH + 1))),
        encode(ValidationResult("d" * (MAX_NAME_LENGTH + 1))),
        encode(ValidationResult("d", "x" * 100_000)),
        encode(LeaseRenewal(1, 1, "x" * 100_000)),
    ],
)
def test_bytes_that_are_no_message_are_refused(data: bytes) -> None:
    with pytest.raises(InvalidMessageError):
        decode_from_server(data)
