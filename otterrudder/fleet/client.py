"""The store by etcd's published v3 API: the messages and stubs that aetcd makes of it, on grpcio's channel.

aetcd's own client is not used above its stubs, for what it leaves out is what the fleet depends on: its
transactions return no revision and no cluster, its watch ends without an error when the stream does, and its
tasks outlive the scope that began them. Here each call is one stub's call inside the caller's scope, with its
deadline, and an engine that does not answer is left for the next address."""

import asyncio
import contextlib
from collections.abc import AsyncIterator, Sequence
from typing import Any

import grpc
from aetcd import rpc

from otterrudder.fleet.cancellation import raise_if_cancelled
from otterrudder.fleet.configuration import Fleet
from otterrudder.fleet.store import (
    CommitResult,
    Compare,
    Delete,
    Entry,
    LeaseResult,
    Put,
    Snapshot,
    StoreUnavailableError,
    WatchEvent,
    Write,
)
from otterrudder.fleet.tls import channel_credentials

# ms that an attempt to connect may take, the handshakes of TLS included; each request has its own deadline.
# gRPC knows it as the least time between attempts, and waits less after a refusal.
CONNECT_MS = 5000
# A channel that lost its engine tries again soon, and shares no connection with the one made after it.
CHANNEL_OPTIONS = [
    ("grpc.initial_reconnect_backoff_ms", 100),
    ("grpc.min_reconnect_backoff_ms", CONNECT_MS),
    ("grpc.max_reconnect_backoff_ms", 1000),
    ("grpc.use_local_subchannel_pool", 1),
    ("grpc.keepalive_time_ms", 10_000),  # etcd refuses clients that ping more often than each 5 s
    ("grpc.keepalive_timeout_ms", 2000),
    ("grpc.max_receive_message_length", 16 * 1024 * 1024),
]
MAX_UNANSWERED_CALLS = 2  # calls in a row with no answer until the channel is made anew, to the next address
# Of a commit: its lease is gone, so nothing was written.
REJECTED_CODES = (grpc.StatusCode.NOT_FOUND,)


class Client:
    """A Store that is connected to one of its addresses at a time."""

    def __init__(self, fleet: Fleet) -> None:
        self._stores = fleet.stores
        self._credentials = channel_credentials(fleet.ca, fleet.cert, fleet.key)
        self._address_index = 0
        self._unanswered = 0  # calls in a row
        self._channel: Any = None
        self._kv: Any = None
        self._leases: Any = None
        self._watches: Any = None

    async def read(self, names: Sequence[str], timeout_ms: float) -> Snapshot:
        """Keys and prefixes at one revision, by one transaction."""
        ranges = [rpc.RequestOp(request_range=_range(name)) for name in names]
        answer = await self._call("kv", "Txn", rpc.TxnRequest(success=ranges), timeout_ms)
        entries = {
            kv.key.decode("utf-8", "replace"): Entry(kv.value, kv.create_revision, kv.mod_revision, kv.lease)
            for part in answer.responses
            for kv in part.response_range.kvs
        }
        return Snapshot(answer.header.cluster_id, answer.header.revision, entries)

    async def commit(
        self, compares: Sequence[Compare], writes: Sequence[Write], timeout_ms: float
    ) -> CommitResult:
        """One transaction; a lease that is gone is a commit that did not succeed."""
        request = rpc.TxnRequest(compare=map(_compare, compares), success=map(_write, writes))
        try:
            answer = await self._call("kv", "Txn", request, timeout_ms)
        except _RejectedError:
            return CommitResult(False, 0)
        return CommitResult(answer.succeeded, answer.header.revision, answer.header.cluster_id)

    async def lease(self, span_ms: float, timeout_ms: float) -> LeaseResult:
        """Whole seconds, as the engine counts them."""
        request = rpc.LeaseGrantRequest(TTL=max(round(span_ms / 1000), 1))
        return _leased(await self._call("leases", "LeaseGrant", request, timeout_ms))

    async def renew(self, lease: int, timeout_ms: float) -> LeaseResult:
        """One keep-alive; the stream ends with it."""
        self._connect()
        call = self._leases.LeaseKeepAlive([rpc.LeaseKeepAliveRequest(ID=lease)], timeout=timeout_ms / 1000)
        async with self._awaiting(call):
            async for answer in call:
                self._unanswered = 0
                return _leased(answer)
        raise StoreUnavailableError("the renewal ended without an answer")

    async def revoke(self, lease: int, timeout_ms: float) -> None:
        """The lease ends now."""
        await self._call("leases", "LeaseRevoke", rpc.LeaseRevokeRequest(ID=lease), timeout_ms)

    async def watch(self, prefix: str) -> AsyncIterator[WatchEvent]:
        """The first event comes when the watch is begun."""
        self._connect()
        key = prefix.encode()
        create = rpc.WatchCreateRequest(key=key, range_end=_end_of(key))
        call = self._watches.Watch()
        async with self._awaiting(call):
            await call.write(rpc.WatchRequest(create_request=create))
            async for answer in call:
                if answer.canceled:
                    raise StoreUnavailableError("the watch was cancelled")
                if answer.created or answer.events:
                    yield WatchEvent(answer.header.revision)
        raise StoreUnavailableError("the watch ended")

    async def switch_endpoint(self) -> None:
        """Where there is another address."""
        if len(self._stores) > 1:
            await self._use_next_address()

    async def _use_next_address(self) -> None:
        """The channel is made anew, to the next address."""
        self._unanswered = 0
        self._address_index = (self._address_index + 1) % len(self._stores)
        await self.close()

    async def close(self) -> None:
        """The channel; the next call makes another one."""
        if self._channel:
            channel, self._channel = self._channel, None
            await channel.close(None)

    async def _call(self, stub: str, name: str, request: Any, timeout_ms: float) -> Any:
        self._connect()
        call = getattr(getattr(self, f"_{stub}"), name)(request, timeout=timeout_ms / 1000)
        async with self._awaiting(call):
            answer = await call
        self._unanswered = 0
        return answer

    @contextlib.asynccontextmanager
    async def _awaiting(self, call: Any) -> AsyncIterator[None]:
        """While a call's answers are awaited: it is cancelled on every way out, and failures are raised as
        StoreUnavailableError."""
        try:
            yield
        except grpc.RpcError as error:
            await self._raise_for(error)
        except asyncio.CancelledError:
            await raise_if_cancelled()
            raise StoreUnavailableError("the channel was closed") from None
        finally:
            call.cancel()

    async def _raise_for(self, error: grpc.RpcError) -> None:
        """Raises what the failure means; an engine that leaves calls unanswered is left for the next."""
        code = error.code() if hasattr(error, "code") else None
        if code in REJECTED_CODES:
            raise _RejectedError(str(code)) from None
        self._unanswered += 1
        if self._unanswered >= MAX_UNANSWERED_CALLS:
            await self._use_next_address()
        raise StoreUnavailableError(f"{code.name if code else error}") from None

    def _connect(self) -> None:
        if self._channel:
            return
        host, port = self._stores[self._address_index]
        target = f"{host}:{port}"
        if self._credentials:
            self._channel = grpc.aio.secure_channel(target, self._credentials, options=CHANNEL_OPTIONS)
        else:
            self._channel = grpc.aio.insecure_channel(target, options=CHANNEL_OPTIONS)
        self._kv, self._leases = rpc.KVStub(self._channel), rpc.LeaseStub(self._channel)
        self._watches = rpc.WatchStub(self._channel)


class _RejectedError(StoreUnavailableError):
    """The engine has answered that it did nothing."""


def _leased(answer: Any) -> LeaseResult:
    header = answer.header
    return LeaseResult(answer.ID if answer.TTL > 0 else 0, header.revision, header.cluster_id)


def _end_of(prefix: bytes) -> bytes:
    """The end of the range of all keys with this prefix, which ends in a slash: never 0xff."""
    return prefix[:-1] + bytes([prefix[-1] + 1])


def _range(name: str) -> Any:
    key = name.encode()
    return rpc.RangeRequest(key=key, range_end=_end_of(key) if name.endswith("/") else b"")


def _compare(compare: Compare) -> Any:
    message = rpc.Compare
    common = dict(key=compare.key.encode(), result=message.EQUAL)
    if compare.attribute == "created":
        return message(target=message.CREATE, create_revision=compare.equals, **common)
    return message(target=message.MOD, mod_revision=compare.equals, **common)


def _write(write: Write) -> Any:
    key = write.key.encode()
    if isinstance(write, Put):
        return rpc.RequestOp(request_put=rpc.PutRequest(key=key, value=write.value, lease=write.lease))
    assert isinstance(write, Delete)
    end = _end_of(key) if write.is_prefix else b""
    return rpc.RequestOp(request_delete_range=rpc.DeleteRangeRequest(key=key, range_end=end))
