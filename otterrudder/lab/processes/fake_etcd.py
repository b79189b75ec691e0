"""Our stand-in for the store, on sockets: the part of etcd's published v3 API that the fleet uses, round a
`KeySpace`. In a process of its own (`python -m otterrudder.lab.processes.fake_etcd`), for tests and
`make demo`.

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
    {"report": "PREFIX"}      it answers with what it has counted (counters.py) instead of "ok", and with the
                              moments at which the keys under that prefix were last written

`--state FILE` keeps what it holds there over a kill, but for its history: watches from before are compacted
away, and leases have their whole span again, as with the engine. `--cluster HEX`: its id, for one that is
restored from another's state. It ends with its input: no child outlives whoever started it."""

import argparse
import asyncio
import bisect
import json
import os
import sys
from collections.abc import AsyncIterator, Sequence
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
from otterrudder.lab.processes.counters import StoreReport, kind_of

CLUSTER = 0xE7CD  # its id, unless told another
LAPSE_S = 0.05  # s between looks for leases that have lapsed
WATCHES_MOST = 4096  # events that wait for one watch; past that it is cancelled, as a slow reader is


@dataclass(eq=False, slots=True)
class Watcher:
    """A watch of a range of keys, with the events that wait for it; None ends it."""

    key: bytes
    end: bytes
    queue: asyncio.Queue[Event | None] = field(default_factory=asyncio.Queue)

    def wants(self, event: Event) -> bool:
        return self.key <= event.key.encode() < self.end


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
        self.watches: set[Watcher] = set()
        self.report = StoreReport()
        self._sorted: tuple[int, list[str]] = (0, [])  # the keys in order, as of a revision

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
        written = self.space.since("", before + 1) or []
        now = clock()
        for event in written:
            self.report.written_ms[event.key] = now
        if self.is_deaf:
            return
        for watcher in list(self.watches):
            events = [event for event in written if watcher.wants(event)]
            if watcher.queue.qsize() + len(events) > WATCHES_MOST:
                watcher.queue.put_nowait(None)
            else:
                for event in events:
                    watcher.queue.put_nowait(event)

    def keys_between(self, key: str, end: str) -> list[str]:
        """The keys from `key` on and before `end`, in order; the one key itself where there is no end."""
        if not end:
            return [key] if key in self.space.keys else []
        if self._sorted[0] != self.space.revision:
            self._sorted = (self.space.revision, sorted(self.space.keys))
        ordered = self._sorted[1]
        return ordered[bisect.bisect_left(ordered, key) : bisect.bisect_left(ordered, end)]

    def reported(self, prefix: str) -> bytes:
        """What was counted so far, as a line of JSON."""
        moments = self.report.written_ms.items()
        written = {key: at for key, at in moments if key.startswith(prefix)}
        return msgspec.json.encode(msgspec.structs.replace(self.report, written_ms=written))

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
                for watcher in list(self.watches):
                    watcher.queue.put_nowait(None)
            elif word == "flood":
                event = Event(self.space.revision, "flood", Entry(b"", 1, 1))
                for watcher in list(self.watches):
                    for _ in range(min(int(value), WATCHES_MOST)):
                        watcher.queue.put_nowait(event)
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
        held = all(space.matches(_compare(compare)) for compare in request.compare)
        if held and writes:
            space.commit((), writes)
            engine.tell(before)
        parts = [_response(engine, op) for op in request.success] if held else []
        answer = rpc_pb2.TxnResponse(header=engine.header(), succeeded=held, responses=parts)
        engine.report.count(_kind(request, writes), request.ByteSize(), answer.ByteSize())
        await engine.answer(context, took_effect=bool(held and writes))
        return answer


class Leases(rpc_pb2_grpc.LeaseServicer):  # type: ignore[misc]
    def __init__(self, engine: Engine) -> None:
        self.engine = engine

    async def LeaseGrant(self, request: Any, context: Any) -> Any:  # noqa: N802
        await self.engine.answer(context)
        ident = self.engine.space.grant(clock(), request.TTL * 1000.0).lease
        self.engine.save()
        answer = rpc_pb2.LeaseGrantResponse(header=self.engine.header(), ID=ident, TTL=request.TTL)
        self.engine.report.count("lease grant", request.ByteSize(), answer.ByteSize())
        return answer

    async def LeaseRevoke(self, request: Any, context: Any) -> Any:  # noqa: N802
        await self.engine.answer(context)
        before = self.engine.space.revision
        if not self.engine.space.revoke(request.ID):
            await context.abort(grpc.StatusCode.NOT_FOUND, "etcdserver: requested lease not found")
        self.engine.tell(before)
        answer = rpc_pb2.LeaseRevokeResponse(header=self.engine.header())
        self.engine.report.count("lease revoke", request.ByteSize(), answer.ByteSize())
        return answer

    async def LeaseKeepAlive(self, requests: AsyncIterator[Any], context: Any) -> AsyncIterator[Any]:  # noqa: N802
        async for request in requests:
            await self.engine.answer(context)
            self.engine.lapse()
            space = self.engine.space
            lives = space.renew(clock(), request.ID).lease
            ttl = round(space.leases[request.ID][0] / 1000) if lives else 0
            answer = rpc_pb2.LeaseKeepAliveResponse(header=self.engine.header(), ID=request.ID, TTL=ttl)
            self.engine.report.count("lease renew", request.ByteSize(), answer.ByteSize())
            yield answer


class Watches(rpc_pb2_grpc.WatchServicer):  # type: ignore[misc]
    """One watch a stream, which is how the fleet uses it."""

    def __init__(self, engine: Engine) -> None:
        self.engine = engine

    async def Watch(self, requests: AsyncIterator[Any], context: Any) -> AsyncIterator[Any]:  # noqa: N802
        engine = self.engine
        first = await anext(aiter(requests))
        await engine.answer(context)
        create = first.create_request
        watcher = Watcher(create.key, create.range_end)
        if create.start_revision and engine.space.since("", create.start_revision) is None:
            yield rpc_pb2.WatchResponse(
                header=engine.header(), created=True, canceled=True, compact_revision=engine.space.compacted
            )
            return
        missed = engine.space.since("", create.start_revision) if create.start_revision else None
        for written in missed or []:
            if watcher.wants(written):
                watcher.queue.put_nowait(written)
        engine.watches.add(watcher)
        try:
            created = rpc_pb2.WatchResponse(header=engine.header(), created=True)
            engine.report.count("watch", first.ByteSize(), created.ByteSize())
            yield created
            while (event := await watcher.queue.get()) is not None:
                while engine.is_down:
                    await asyncio.sleep(LAPSE_S)
                told = rpc_pb2.WatchResponse(header=engine.header(), events=[_event(event)])
                engine.report.watch_events += 1
                engine.report.bytes_out += told.ByteSize()
                yield told
            yield rpc_pb2.WatchResponse(header=engine.header(), canceled=True, cancel_reason="told so")
        finally:
            engine.watches.discard(watcher)


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
        return kind_of("write", (write.key for write in writes))
    return kind_of("read", (op.request_range.key.decode() for op in request.success))


def _response(engine: Engine, op: Any) -> Any:
    kind = op.WhichOneof("request")
    if kind == "request_range":
        asked = op.request_range
        found = engine.keys_between(asked.key.decode(), asked.range_end.decode())
        kvs = [_kv(key, engine.space.keys[key]) for key in found]
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
        told = json.loads(line)
        engine.told(told)
        print(engine.reported(told["report"]).decode() if "report" in told else "ok", flush=True)
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
