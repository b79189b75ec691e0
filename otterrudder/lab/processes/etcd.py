"""Our stand-in for the store, on sockets: the part of etcd's published v3 API that the fleet uses, round a
`KeySpace`. In a process of its own (`python -m otterrudder.lab.processes.etcd`), for tests and `make demo`.

It prints the port it got, then takes lines of JSON on standard input, each a fault or its end:

    {"slow_ms": 300}          every answer waits so long
    {"down": true}            no answer at all; false: answers again
    {"lose_answers": 2}       so many commits take effect and are not answered
    {"cancel_watches": 1}     all watches end by a cancellation
    {"deaf_watches": true}    watches hear nothing
    {"flood": 500}            so many events to each watch at once
    {"strike": "KEY"}         that key goes, as where the lease that it hung on has lapsed
    {"hold_delete": "KEY"}    commits that strike this key off wait; "": go on
    {"compact": 1}            the history goes
    {"empty": 1}              it holds nothing, as another engine

`--state FILE` keeps what it holds there over a kill, but for its history: watches from before are compacted
away, and leases have their whole span again, as with the engine. `--cluster HEX`: its id, for one that is
restored from another's state. It ends with its input: no child outlives whoever started it."""

import argparse
import asyncio
import json
import os
import sys
from collections.abc import AsyncIterator, Sequence
from dataclasses import replace
from pathlib import Path
from typing import Any

import grpc
import msgspec
from aetcd import rpc
from aetcd.rpc import kv_pb2, rpc_pb2, rpc_pb2_grpc

from otterrudder.clock import monotonic as clock
from otterrudder.fleet.store import Compare, Delete, Entry, Put, Write
from otterrudder.lab.keyspace import Event, KeySpace

CLUSTER = 0xE7CD  # its id, unless told another
LAPSE_S = 0.05  # s between looks for leases that have lapsed
WATCHES_MOST = 4096  # events that wait for one watch; past that it is cancelled, as a slow reader is


class Engine:
    """The key space with its faults, and whoever watches."""

    def __init__(self, state: Path | None = None, cluster: int = 0) -> None:
        self.state, self.space = state, KeySpace(cluster=CLUSTER)
        if state and state.exists():
            self.space = msgspec.msgpack.decode(state.read_bytes(), type=KeySpace)
            self.space.compacted = self.space.revision
            for lease, (span_ms, _) in self.space.leases.items():
                self.space.leases[lease] = (span_ms, clock() + span_ms)
        self.space.cluster = cluster or self.space.cluster
        if cluster:  # engines draw the numbers of their leases: no two have the same
            self.space.granted += cluster
        self.save()
        self.slow_ms = 0.0
        self.is_down = self.is_deaf = False
        self.lose = 0
        self.held = ""  # a key that no commit may strike off yet
        self.watches: set[asyncio.Queue[Any]] = set()

    def save(self) -> None:
        if self.state:
            beside = self.state.with_suffix(".new")
            beside.write_bytes(msgspec.msgpack.encode(replace(self.space, history=[])))
            os.replace(beside, self.state)

    async def answer(self, context: Any, took_effect: bool = False) -> None:
        """Waits as it is told, or for ever: the caller's deadline ends it."""
        if self.is_down or took_effect and self.lose > 0:
            self.lose -= took_effect and not self.is_down
            await asyncio.sleep(3600)
        if self.slow_ms:
            await asyncio.sleep(self.slow_ms / 1000)

    def tell(self, before: int) -> None:
        """Keeps what was written, and hands what is new since a revision to the watches."""
        self.save()
        events = [] if self.is_deaf else self.space.since("", before + 1) or []
        for queue in list(self.watches):
            if queue.qsize() + len(events) > WATCHES_MOST:
                queue.put_nowait(None)
            else:
                for event in events:
                    queue.put_nowait(event)

    def lapse(self) -> None:
        before = self.space.revision
        self.space.lapse(clock())
        if self.space.revision != before:
            self.tell(before)

    def told(self, fault: dict[str, Any]) -> None:
        for word, value in fault.items():
            if word == "slow_ms":
                self.slow_ms = float(value)
            elif word == "down":
                self.is_down = bool(value)
            elif word == "deaf_watches":
                self.is_deaf = bool(value)
            elif word == "lose_answers":
                self.lose = int(value)
            elif word == "cancel_watches":
                for queue in list(self.watches):
                    queue.put_nowait(None)
            elif word == "flood":
                event = Event(self.space.revision, "flood", Entry(b"", 1, 1))
                for queue in list(self.watches):
                    for _ in range(min(int(value), WATCHES_MOST)):
                        queue.put_nowait(event)
            elif word == "compact":
                self.space.compact(self.space.revision)
            elif word == "hold_delete":
                self.held = str(value)
            elif word == "strike":
                before = self.space.revision
                self.space.commit((), [Delete(str(value))])
                self.tell(before)
            elif word == "empty":
                self.space = KeySpace(cluster=0xE7CE)

    def header(self) -> Any:
        space = self.space
        return rpc_pb2.ResponseHeader(cluster_id=space.cluster, revision=space.revision, member_id=1)


class Keys(rpc_pb2_grpc.KVServicer):  # type: ignore[misc]
    def __init__(self, engine: Engine) -> None:
        self.engine = engine

    async def Txn(self, request: Any, context: Any) -> Any:  # noqa: N802
        engine = self.engine
        if engine.is_down:
            await engine.answer(context)
        writes = [write for op in request.success if (write := _write(op))]
        while any(isinstance(write, Delete) and write.key == engine.held for write in writes):
            await asyncio.sleep(LAPSE_S)  # the caller's deadline ends it, and then it takes no effect
        engine.lapse()
        space, before = engine.space, engine.space.revision
        if any(isinstance(w, Put) and w.lease and w.lease not in space.leases for w in writes):
            await context.abort(grpc.StatusCode.NOT_FOUND, "etcdserver: requested lease not found")
        held = all(space.holds(_compare(compare)) for compare in request.compare)
        if held and writes:
            space.commit((), writes)
            engine.tell(before)
        parts = [_response(space, op) for op in request.success] if held else []
        answer = rpc_pb2.TxnResponse(header=engine.header(), succeeded=held, responses=parts)
        await engine.answer(context, took_effect=bool(held and writes))
        return answer


class Leases(rpc_pb2_grpc.LeaseServicer):  # type: ignore[misc]
    def __init__(self, engine: Engine) -> None:
        self.engine = engine

    async def LeaseGrant(self, request: Any, context: Any) -> Any:  # noqa: N802
        await self.engine.answer(context)
        ident = self.engine.space.grant(clock(), request.TTL * 1000.0).lease
        self.engine.save()
        return rpc_pb2.LeaseGrantResponse(header=self.engine.header(), ID=ident, TTL=request.TTL)

    async def LeaseRevoke(self, request: Any, context: Any) -> Any:  # noqa: N802
        await self.engine.answer(context)
        before = self.engine.space.revision
        if not self.engine.space.revoke(request.ID):
            await context.abort(grpc.StatusCode.NOT_FOUND, "etcdserver: requested lease not found")
        self.engine.tell(before)
        return rpc_pb2.LeaseRevokeResponse(header=self.engine.header())

    async def LeaseKeepAlive(self, requests: AsyncIterator[Any], context: Any) -> AsyncIterator[Any]:  # noqa: N802
        async for request in requests:
            await self.engine.answer(context)
            self.engine.lapse()
            space = self.engine.space
            lives = space.renew(clock(), request.ID).lease
            ttl = round(space.leases[request.ID][0] / 1000) if lives else 0
            yield rpc_pb2.LeaseKeepAliveResponse(header=self.engine.header(), ID=request.ID, TTL=ttl)


class Watches(rpc_pb2_grpc.WatchServicer):  # type: ignore[misc]
    """One watch a stream, which is how the fleet uses it."""

    def __init__(self, engine: Engine) -> None:
        self.engine = engine

    async def Watch(self, requests: AsyncIterator[Any], context: Any) -> AsyncIterator[Any]:  # noqa: N802
        engine = self.engine
        first = await anext(aiter(requests))
        await engine.answer(context)
        create, queue = first.create_request, asyncio.Queue[Any]()
        if create.start_revision and engine.space.since("", create.start_revision) is None:
            yield rpc_pb2.WatchResponse(
                header=engine.header(), created=True, canceled=True, compact_revision=engine.space.compacted
            )
            return
        for event in engine.space.since("", create.start_revision) or [] if create.start_revision else []:
            queue.put_nowait(event)
        engine.watches.add(queue)
        try:
            yield rpc_pb2.WatchResponse(header=engine.header(), created=True)
            while (event := await queue.get()) is not None:
                while engine.is_down:
                    await asyncio.sleep(LAPSE_S)
                if create.key <= event.key.encode() < create.range_end or event.key == "flood":
                    yield rpc_pb2.WatchResponse(header=engine.header(), events=[_event(event)])
            yield rpc_pb2.WatchResponse(header=engine.header(), canceled=True, cancel_reason="told so")
        finally:
            engine.watches.discard(queue)


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


def _response(space: KeySpace, op: Any) -> Any:
    kind = op.WhichOneof("request")
    if kind == "request_range":
        asked = op.request_range
        kvs = [_kv(key, entry) for key, entry in sorted(space.keys.items()) if _in_range(key, asked)]
        return rpc_pb2.ResponseOp(response_range=rpc_pb2.RangeResponse(kvs=kvs, count=len(kvs)))
    if kind == "request_put":
        return rpc_pb2.ResponseOp(response_put=rpc_pb2.PutResponse())
    return rpc_pb2.ResponseOp(response_delete_range=rpc_pb2.DeleteRangeResponse())


def _in_range(key: str, asked: Any) -> bool:
    raw = key.encode()
    return bool(asked.key <= raw < asked.range_end) if asked.range_end else raw == asked.key


def _write(op: Any) -> Write | None:
    kind = op.WhichOneof("request")
    if kind == "request_put":
        put = op.request_put
        return Put(put.key.decode(), put.value, put.lease)
    if kind == "request_delete_range":
        told = op.request_delete_range
        return Delete(told.key.decode(), bool(told.range_end))
    return None


def _compare(compare: Any) -> Compare:
    kinds = rpc.Compare
    assert compare.result == kinds.EQUAL and compare.target in (kinds.CREATE, kinds.MOD)
    if compare.target == kinds.CREATE:
        return Compare(compare.key.decode(), "created", compare.create_revision)
    return Compare(compare.key.decode(), "modified", compare.mod_revision)


async def serve(port: int, lines: asyncio.StreamReader, engine: Engine) -> None:
    """Until its input ends."""
    server = grpc.aio.server()
    rpc_pb2_grpc.add_KVServicer_to_server(Keys(engine), server)
    rpc_pb2_grpc.add_LeaseServicer_to_server(Leases(engine), server)
    rpc_pb2_grpc.add_WatchServicer_to_server(Watches(engine), server)
    got = server.add_insecure_port(f"127.0.0.1:{port}")
    await server.start()
    print(got, flush=True)
    lapses = asyncio.create_task(_lapses(engine))
    while line := await lines.readline():
        engine.told(json.loads(line))
        print("ok", flush=True)
    lapses.cancel()
    await server.stop(None)


async def _lapses(engine: Engine) -> None:
    while True:
        await asyncio.sleep(LAPSE_S)
        engine.lapse()


async def _main(words: Sequence[str]) -> None:
    parser = argparse.ArgumentParser()
    parser.add_argument("port", type=int, nargs="?", default=0)
    parser.add_argument("--state", type=Path)
    parser.add_argument("--cluster", type=lambda text: int(text, 16), default=0)
    told = parser.parse_args(words)
    lines = asyncio.StreamReader()
    loop = asyncio.get_running_loop()
    await loop.connect_read_pipe(lambda: asyncio.StreamReaderProtocol(lines), sys.stdin)
    await serve(told.port, lines, Engine(told.state, told.cluster))


if __name__ == "__main__":
    asyncio.run(_main(sys.argv[1:]))
