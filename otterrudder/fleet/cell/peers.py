"""Sends endorsement requests to the other relays of a cell, each with a deadline."""

import asyncio
from typing import Any

import grpc

from otterrudder.fleet.cancellation import raise_if_cancelled
from otterrudder.fleet.cell.effects import PeerRequest
from otterrudder.fleet.cell.endorsement import ENDORSEMENT_MS, RENEWAL_SHARE
from otterrudder.fleet.cell.messages import Endorsement, InvalidMessageError, decode_from_peer, encode
from otterrudder.fleet.cell.wire import ENDORSE_METHOD, open_channel
from otterrudder.fleet.configuration import Fleet

PEER_TIMEOUT_MS = ENDORSEMENT_MS * RENEWAL_SHARE  # the next request is sent after this time


class Peers:
    """The channels to the other relays; each is opened at the first request, and `close` closes them all."""

    def __init__(self, fleet: Fleet) -> None:
        self._fleet = fleet
        self._channels: dict[str, Any] = {}

    async def request(self, request: PeerRequest) -> Endorsement | None:
        """Sends a request and returns the answer, None if no valid answer arrives within the deadline."""
        call = self._channel(request.peer).unary_unary(ENDORSE_METHOD)(
            encode(request.message), timeout=PEER_TIMEOUT_MS / 1000
        )
        try:
            answer = decode_from_peer(await call)
        except (grpc.RpcError, InvalidMessageError):
            return None
        except asyncio.CancelledError:
            await raise_if_cancelled()
            return None
        finally:
            call.cancel()
        return answer if isinstance(answer, Endorsement) else None

    async def close(self) -> None:
        """Closes all channels."""
        for channel in self._channels.values():
            await channel.close(None)
        self._channels.clear()

    def _channel(self, peer: str) -> Any:
        if peer not in self._channels:
            self._channels[peer] = open_channel(self._fleet, peer)
        return self._channels[peer]
