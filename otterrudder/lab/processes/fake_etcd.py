"""A fake of the store: serves the part of etcd's published v3 API that the fleet uses, on a `KeySpace`.

It runs as a process (`python -m otterrudder.lab.processes.fake_etcd`) for tests and `make demo`. The process
prints its port, then reads lines of JSON from standard input. Each line begins or ends a fault, and is
answered with "ok":

    {"slow_ms": 300}          delays every response by 300 ms
    {"down": true}            sends no responses; false: responds again
    {"lose_answers": 2}       the next 2 commits take effect, but their responses are lost
    {"cancel_watches": 1}     cancels all watches
    {"deaf_watches": true}    sends no events to watches
    {"flood": 500}            sends 500 events to each watch at once
    {"strike": "KEY"}         deletes the key, as when its lease expires
    {"hold_delete": "KEY"}    delays commits that delete the key; "": they continue
    {"compact": 1}            compacts the whole history
    {"empty": 1}              replaces the content by an empty store with another cluster id
    {"report": "PREFIX"}      answers with the counters (counters.py), and with the times at which the keys
                              under the prefix were last written

`--state FILE` keeps the content in a file that survives a kill. The history is not kept: earlier revisions
count as compacted, and leases restart with their whole TTL, as in etcd. `--cluster HEX` sets the cluster id,
for a store that is restored from the state of another one. The process exits when its standard input ends, so
that it does not outlive its parent."""

import argparse
import asyncio
import bisect
import json
import os
import sys
from collections.abc import AsyncIterator, Callable, Sequence
from dataclasses import dataclass, field, replace
from pathlib import Path
from typing import Any

import grpc
import msgspec
from aetcd import rpc
from aetcd.rpc import kv_pb2, rpc_pb2, rpc_pb2_grpc

from otterrudder.clock import monotonic as clock
from otterrudder.fleet.store import Compare, Delete, Entry, Put, Write
from otterrudder.lab.keyspace import Event, KeySpace
from otterrudder.lab.processes.counters import StoreReport, request_kind

CLUSTER = 0xE7CD  # the default cluster id
EMPTY_CLUSTER = 0xE7CE  # the cluster id after the message "empty"
POLL_S = 0.05  # interval of checks for expired leases and for the end of a fault
LOST_RESPONSE_S = 3600.0  # delay of a lost response, far beyond the caller's deadline
MAX_QUEUED_EVENTS = 4096  # per watch; a watch with more is cancelled as too slow


@dataclass(eq=False, slots=True)
class Watcher:
    """A watch of a range of keys, with its queued events; None in the queue cancels the watch."""

    key: bytes
    end: bytes
    queue: asyncio.Queue[Event | None] = field(default_factory=asyncio.Queue)

    def covers(self, event: Event) -> bool:
        """Whether the event's key is in the watched range."""
        return self.key <= event.key.encode() < self.end


class Engine:
    """The key space of the store, with the injected faults and the watchers."""

    def __init__(self, state: Path | None = None, cluster: int = 0) -> None:
        self.state = state
        self.space = KeySpace(cluster=CLUSTER)
        if state and state.exists():
            self.space = msgspec.msgpack.decode(state.read_bytes(), type=KeySpace)
            self.space.compacted = self.space.revision
            for lease, (span_ms, _) in self.space.leases.items():
                self.space.leases[lease] = (span_ms, clock() + span_ms)
        self.space.cluster = cluster or self.space.cluster
        if cluster:  # offsets the lease ids, so that they differ from those of other stores
            self.space.granted += cluster
        self.save()
        self.slow_ms = 0.0
        self.is_down = False
        self.are_watches_deaf = False
        self.responses_to_lose = 0
        self.held_key = ""  # commits that delete this key are delayed
        self.watchers: set[Watcher] = set()
        self.report = StoreReport()
        self._sorted: tuple[int, list[str]] = (0, [])  # a revision, and the keys at that revision in order

    def save(self) -> None:
        """Replaces the state file if one is configured."""
        if self.state:
            temporary = self.state.with_suffix(".new")
            temporary.write_bytes(msgspec.msgpack.encode(replace(self.space, history=[])))
            os.replace(temporary, self.state)

    async def delay_response(self, has_taken_effect: bool = False) -> None:
        """Delays a response as the current faults demand; the caller's deadline may end the wait."""
        if self.is_down:
            await asyncio.sleep(LOST_RESPONSE_S)
        if has_taken_effect and self.responses_to_lose > 0:
            self.responses_to_lose -= 1
            await asyncio.sleep(LOST_RESPONSE_S)
        if self.slow_ms:
            await asyncio.sleep(self.slow_ms / 1000)

    def publish(self, before: int) -> None:
        """Saves the state, and queues the events after revision `before` for the watchers."""
        self.save()
        written = self.space.events_since("", before + 1) or []
        now = clock()
        for event in written:
            self.report.written_ms[event.key] = now
        if self.are_watches_deaf:
            return
        for watcher in list(self.watchers):
            events = [event for event in written if watcher.covers(event)]
            if watcher.queue.qsize() + len(events) > MAX_QUEUED_EVENTS:
                watcher.queue.put_nowait(None)
            else:
                for event in events:
                    watcher.queue.put_nowait(event)

    def keys_between(self, key: str, end: str) -> list[str]:
        """Returns the keys from `key` to before `end` in order, or only `key` if `end` is empty."""
        if not end:
            return [key] if key in self.space.keys else []
        if self._sorted[0] != self.space.revision:
            self._sorted = (self.space.revision, sorted(self.space.keys))
        ordered = self._sorted[1]
        return ordered[bisect.bisect_left(ordered, key) : bisect.bisect_left(ordered, end)]

    def report_line(self, prefix: str) -> bytes:
        """Returns the counters since the start as a line of JSON."""
        written_ms = self.report.written_ms.items()
        written = {key: at for key, at in written_ms if key.startswith(prefix)}
        return msgspec.json.encode(msgspec.structs.replace(self.report, written_ms=written))

    def expire_leases(self) -> None:
        """Deletes the keys of expired leases."""
        before = self.space.revision
        self.space.expire_leases(clock())
        if self.space.revision != before:
            self.publish(before)

    def handle_message(self, message: dict[str, Any]) -> None:
        """Begins or ends the faults of a message, whose format is in the module's docstring.

        Unknown names are ignored."""
        handlers: dict[str, Callable[[Any], None]] = {
            "slow_ms": self._set_delay,
            "down": self._set_down,
            "deaf_watches": self._set_deaf,
            "lose_answers": self._lose_responses,
            "hold_delete": self._hold_key,
            "cancel_watches": self._cancel_watches,
            "flood": self._flood_watches,
            "strike": self._delete_key,
            "compact": self._compact,
            "empty": self._empty,
        }
        for name, value in message.items():
            if name in handlers:
                handlers[name](value)

    def _set_delay(self, delay_ms: float) -> None:
        self.slow_ms = float(delay_ms)

    def _set_down(self, is_down: bool) -> None:
        self.is_down = bool(is_down)

    def _set_deaf(self, are_deaf: bool) -> None:
        self.are_watches_deaf = bool(are_deaf)

    def _lose_responses(self, count: int) -> None:
        self.responses_to_lose = int(count)

    def _hold_key(self, key: str) -> None:
        self.held_key = str(key)

    def _cancel_watches(self, _: object) -> None:
        for watcher in self.watchers:
            watcher.queue.put_nowait(None)

    def _flood_watches(self, count: int) -> None:
        event = Event(self.space.revision, "flood", Entry(b"", 1, 1))
        for watcher in self.watchers:
            for _ in range(min(int(count), MAX_QUEUED_EVENTS)):
                watcher.queue.put_nowait(event)

    def _delete_key(self, key: str) -> None:
        before = self.space.revision
        self.space.commit((), [Delete(str(key))])
        self.publish(before)

    def _compact(self, _: object) -> None:
        self.space.compact(self.space.revision)

    def _empty(self, _: object) -> None:
        self.space = KeySpace(cluster=EMPTY_CLUSTER)

    def header(self) -> Any:
        """Returns the header of a response."""
        space = self.space
        return rpc_pb2.ResponseHeader(cluster_id=space.cluster, revision=space.revision, member_id=1)


class KeyService(rpc_pb2_grpc.KVServicer):  # type: ignore[misc]
    """etcd's KV service: transactions of reads, or of compares and writes."""

    def __init__(self, engine: Engine) -> None:
        self.engine = engine

    async def Txn(self, request: Any, context: Any) -> Any:  # noqa: N802
        """Executes the operations of a transaction if all its compares hold."""
        engine = self.engine
        if engine.is_down:
            await engine.delay_response()
        writes = [write for op in request.success if (write := _write(op))]
        while any(isinstance(write, Delete) and write.key == engine.held_key for write in writes):
            await asyncio.sleep(POLL_S)  # if the caller's deadline ends the wait, nothing is committed
        engine.expire_leases()
        space, before = engine.space, engine.space.revision
        if any(isinstance(w, Put) and w.lease and w.lease not in space.leases for w in writes):
            await context.abort(grpc.StatusCode.NOT_FOUND, "etcdserver: requested lease not found")
        is_matched = all(space.matches(_compare(compare)) for compare in request.compare)
        if is_matched and writes:
            space.commit((), writes)
            engine.publish(before)
        parts = [_response(engine, op) for op in request.success] if is_matched else []
        answer = rpc_pb2.TxnResponse(header=engine.header(), succeeded=is_matched, responses=parts)
        engine.report.count(_kind(request, writes), request.ByteSize(), answer.ByteSize())
        await engine.delay_response(has_taken_effect=bool(is_matched and writes))
        return answer


class LeaseService(rpc_pb2_grpc.LeaseServicer):  # type: ignore[misc]
    """etcd's Lease service."""

    def __init__(self, engine: Engine) -> None:
        self.engine = engine

    async def LeaseGrant(self, request: Any, context: Any) -> Any:  # noqa: N802
        """Grants a lease."""
        await self.engine.delay_response()
        ident = self.engine.space.grant(clock(), request.TTL * 1000.0).lease
        self.engine.save()
        answer = rpc_pb2.LeaseGrantResponse(header=self.engine.header(), ID=ident, TTL=request.TTL)
        self.engine.report.count("lease grant", request.ByteSize(), answer.ByteSize())
        return answer

    async def LeaseRevoke(self, request: Any, context: Any) -> Any:  # noqa: N802
        """Revokes a lease, and deletes its keys."""
        await self.engine.delay_response()
        before = self.engine.space.revision
        if not self.engine.space.revoke(request.ID):
            await context.abort(grpc.StatusCode.NOT_FOUND, "etcdserver: requested lease not found")
        self.engine.publish(before)
        answer = rpc_pb2.LeaseRevokeResponse(header=self.engine.header())
        self.engine.report.count("lease revoke", request.ByteSize(), answer.ByteSize())
        return answer

    async def LeaseKeepAlive(self, requests: AsyncIterator[Any], context: Any) -> AsyncIterator[Any]:  # noqa: N802
        """Renews a lease for each request of the stream."""
        async for request in requests:
            await self.engine.delay_response()
            self.engine.expire_leases()
            space = self.engine.space
            is_alive = space.renew(clock(), request.ID).lease
            ttl = round(space.leases[request.ID][0] / 1000) if is_alive else 0
            answer = rpc_pb2.LeaseKeepAliveResponse(header=self.engine.header(), ID=request.ID, TTL=ttl)
            self.engine.report.count("lease renew", request.ByteSize(), answer.ByteSize())
            yield answer


class WatchService(rpc_pb2_grpc.WatchServicer):  # type: ignore[misc]
    """etcd's Watch service; it supports one watch per stream, since the fleet uses no more."""

    def __init__(self, engine: Engine) -> None:
        self.engine = engine

    async def Watch(self, requests: AsyncIterator[Any], context: Any) -> AsyncIterator[Any]:  # noqa: N802
        """Sends the events of a range of keys."""
        engine = self.engine
        first = await anext(aiter(requests))
        await engine.delay_response()
        create = first.create_request
        watcher = Watcher(create.key, create.range_end)
        if create.start_revision and engine.space.events_since("", create.start_revision) is None:
            yield rpc_pb2.WatchResponse(
                header=engine.header(), created=True, canceled=True, compact_revision=engine.space.compacted
            )
            return
        missed = engine.space.events_since("", create.start_revision) if create.start_revision else None
        for written in missed or []:
            if watcher.covers(written):
                watcher.queue.put_nowait(written)
        engine.watchers.add(watcher)
        try:
            created = rpc_pb2.WatchResponse(header=engine.header(), created=True)
            engine.report.count("watch", first.ByteSize(), created.ByteSize())
            yield created
            while (event := await watcher.queue.get()) is not None:
                while engine.is_down:
                    await asyncio.sleep(POLL_S)
                response = rpc_pb2.WatchResponse(header=engine.header(), events=[_event(event)])
                engine.report.watch_events += 1
                engine.report.bytes_out += response.ByteSize()
                yield response
            yield rpc_pb2.WatchResponse(header=engine.header(), canceled=True, cancel_reason="told so")
        finally:
            engine.watchers.discard(watcher)


def _event(event: Event) -> Any:
    kind = kv_pb2.Event.PUT if event.entry else kv_pb2.Event.DELETE
    entry = event.entry or Entry(b"", 0, event.revision)
    return kv_pb2.Event(type=kind, kv=_kv(event.key, entry))


def _kv(key: str, entry: Entry) -> Any:
    return kv_pb2.KeyValue(
        key=key.encode(),
        value=entry.value,
        create_revision=entry.created,
        mod_revision=entry.modified,
        lease=entry.lease,
    )


def _kind(request: Any, writes: Sequence[Write]) -> str:
    if writes:
        return request_kind("write", (write.key for write in writes))
    return request_kind("read", (op.request_range.key.decode() for op in request.success))


def _response(engine: Engine, op: Any) -> Any:
    kind = op.WhichOneof("request")
    if kind == "request_range":
        range_request = op.request_range
        keys = engine.keys_between(range_request.key.decode(), range_request.range_end.decode())
        kvs = [_kv(key, engine.space.keys[key]) for key in keys]
        return rpc_pb2.ResponseOp(response_range=rpc_pb2.RangeResponse(kvs=kvs, count=len(kvs)))
    if kind == "request_put":
        return rpc_pb2.ResponseOp(response_put=rpc_pb2.PutResponse())
    return rpc_pb2.ResponseOp(response_delete_range=rpc_pb2.DeleteRangeResponse())


def _write(op: Any) -> Write | None:
    kind = op.WhichOneof("request")
    if kind == "request_put":
        put = op.request_put
        return Put(put.key.decode(), put.value, put.lease)
    if kind == "request_delete_range":
        deleted = op.request_delete_range
        return Delete(deleted.key.decode(), bool(deleted.range_end))
    return None


def _compare(compare: Any) -> Compare:
    kinds = rpc.Compare
    assert compare.result == kinds.EQUAL and compare.target in (kinds.CREATE, kinds.MOD)
    if compare.target == kinds.CREATE:
        return Compare(compare.key.decode(), "created", compare.create_revision)
    return Compare(compare.key.decode(), "modified", compare.mod_revision)


async def serve(port: int, lines: asyncio.StreamReader, engine: Engine) -> None:
    """Serves until `lines` ends."""
    server = grpc.aio.server()
    rpc_pb2_grpc.add_KVServicer_to_server(KeyService(engine), server)
    rpc_pb2_grpc.add_LeaseServicer_to_server(LeaseService(engine), server)
    rpc_pb2_grpc.add_WatchServicer_to_server(WatchService(engine), server)
    bound_port = server.add_insecure_port(f"127.0.0.1:{port}")
    await server.start()
    print(bound_port, flush=True)
    expiry = asyncio.create_task(_expire_leases(engine))
    while line := await lines.readline():
        message = json.loads(line)
        engine.handle_message(message)
        is_report = "report" in message
        print(engine.report_line(message["report"]).decode() if is_report else "ok", flush=True)
    expiry.cancel()
    await server.stop(None)


async def _expire_leases(engine: Engine) -> None:
    while True:
        await asyncio.sleep(POLL_S)
        engine.expire_leases()


async def _main(arguments: Sequence[str]) -> None:
    parser = argparse.ArgumentParser()
    parser.add_argument("port", type=int, nargs="?", default=0)
    parser.add_argument("--state", type=Path)
    parser.add_argument("--cluster", type=lambda text: int(text, 16), default=0)
    options = parser.parse_args(arguments)
    lines = asyncio.StreamReader()
    loop = asyncio.get_running_loop()
    await loop.connect_read_pipe(lambda: asyncio.StreamReaderProtocol(lines), sys.stdin)
    await serve(options.port, lines, Engine(options.state, options.cluster))


if __name__ == "__main__":
    asyncio.run(_main(sys.argv[1:]))
