"""The client of the store. It uses etcd's published v3 API through aetcd's generated messages and stubs, on a
grpcio channel.

aetcd's own client is not used, because it lacks features that the fleet depends on: its transactions return
neither the revision nor the cluster ID, its watch ends without an error when the stream ends, and its tasks
outlive the scope that started them. Here each request is one stub call with a deadline inside the caller's
scope. When the store does not answer, the client switches to the next address."""

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

# Maximum duration of a connection attempt, including the TLS handshake. Requests have their own deadlines.
# gRPC takes this value as the minimum time between attempts, but waits less after a refused connection.
CONNECT_MS = 5000
# A channel that lost its connection retries soon, and does not share connections with the channel that
# replaces it.
CHANNEL_OPTIONS = [
    ("grpc.initial_reconnect_backoff_ms", 100),
    ("grpc.min_reconnect_backoff_ms", CONNECT_MS),
    ("grpc.max_reconnect_backoff_ms", 1000),
    ("grpc.use_local_subchannel_pool", 1),
    ("grpc.keepalive_time_ms", 10_000),  # etcd disconnects clients that ping more often than every 5 s
    ("grpc.keepalive_timeout_ms", 2000),
    ("grpc.max_receive_message_length", 16 * 1024 * 1024),
]
MAX_UNANSWERED_CALLS = 2  # consecutive unanswered calls after which the client switches to the next address
# The codes with which the store rejects a commit whose lease does not exist; nothing was written.
REJECTED_CODES = (grpc.StatusCode.NOT_FOUND,)


class Client:
    """A Store that is connected to one of its addresses at a time."""

    def __init__(self, fleet: Fleet) -> None:
        self._stores = fleet.stores
        self._credentials = channel_credentials(fleet.ca, fleet.cert, fleet.key)
        self._address_index = 0
        self._unanswered = 0  # number of consecutive unanswered calls
        self._channel: Any = None
        self._kv: Any = None
        self._leases: Any = None
        self._watches: Any = None

    async def read(self, names: Sequence[str], timeout_ms: float) -> Snapshot:
        """Reads keys and prefixes at one revision, with one transaction."""
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
        """Commits in one transaction. If a lease of the writes no longer exists, the commit does not
        succeed."""
        request = rpc.TxnRequest(compare=map(_compare, compares), success=map(_write, writes))
        try:
            answer = await self._call("kv", "Txn", request, timeout_ms)
        except _RejectedError:
            return CommitResult(False, 0)
        return CommitResult(answer.succeeded, answer.header.revision, answer.header.cluster_id)

    async def lease(self, span_ms: float, timeout_ms: float) -> LeaseResult:
        """Requests a new lease. The duration is rounded to whole seconds, the unit of the store."""
        request = rpc.LeaseGrantRequest(TTL=max(round(span_ms / 1000), 1))
        return _lease_result(await self._call("leases", "LeaseGrant", request, timeout_ms))

    async def renew(self, lease: int, timeout_ms: float) -> LeaseResult:
        """Renews a lease with one keep-alive message on a stream of its own."""
        self._connect()
        call = self._leases.LeaseKeepAlive([rpc.LeaseKeepAliveRequest(ID=lease)], timeout=timeout_ms / 1000)
        async with self._awaiting(call):
            async for answer in call:
                self._unanswered = 0
                return _lease_result(answer)
        raise StoreUnavailableError("the lease renewal stream ended without an answer")

    async def revoke(self, lease: int, timeout_ms: float) -> None:
        """Ends the lease at once."""
        await self._call("leases", "LeaseRevoke", rpc.LeaseRevokeRequest(ID=lease), timeout_ms)

    async def watch(self, prefix: str) -> AsyncIterator[WatchEvent]:
        """Yields watch events. The first one arrives when the watch has started."""
        self._connect()
        key = prefix.encode()
        create = rpc.WatchCreateRequest(key=key, range_end=_end_of(key))
        call = self._watches.Watch()
        async with self._awaiting(call):
            await call.write(rpc.WatchRequest(create_request=create))
            async for answer in call:
                if answer.canceled:
                    raise StoreUnavailableError("the store cancelled the watch")
                if answer.created or answer.events:
                    yield WatchEvent(answer.header.revision)
        raise StoreUnavailableError("the watch stream ended")

    async def switch_endpoint(self) -> None:
        """Switches to the next address, if there is one."""
        if len(self._stores) > 1:
            await self._use_next_address()

    async def _use_next_address(self) -> None:
        """Closes the channel. The next call opens one to the next address."""
        self._unanswered = 0
        self._address_index = (self._address_index + 1) % len(self._stores)
        await self.close()

    async def close(self) -> None:
        """Closes the channel. A later call opens a new one."""
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
        """Runs the body that awaits a call's answers. The call is cancelled on every exit, and failures are
        raised as StoreUnavailableError."""
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
        """Raises the exception for a failed call. Switches to the next address after MAX_UNANSWERED_CALLS."""
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
    """The store answered that it rejected the request and wrote nothing."""


def _lease_result(answer: Any) -> LeaseResult:
    header = answer.header
    return LeaseResult(answer.ID if answer.TTL > 0 else 0, header.revision, header.cluster_id)


def _end_of(prefix: bytes) -> bytes:
    """Returns the end of the key range of a prefix. The prefix ends in a slash, so its last byte is never
    0xff."""
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
