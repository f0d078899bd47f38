"""Stand-in backend: one process is one lifetime of a backend.

It keeps to the wire protocol of the users' pages. What it does is written as JSON
lines, with the system's monotonic clock, which all processes share.
"""

import argparse
import asyncio
import json
import random
import signal
import sys
import time
from dataclasses import dataclass, field
from typing import Any, NamedTuple

_CALL_TIMEOUT_S = 1.0
# An extra answer arrives at least this late.
_EXTRA_MIN_S = 0.02


class Request(NamedTuple):
    """Hold a parsed HTTP request."""

    method: str
    path: str
    headers: dict[str, str]
    body: bytes


class Answer(NamedTuple):
    """Hold an HTTP answer."""

    status: int
    headers: dict[str, str]
    body: bytes = b""


@dataclass
class Hold:
    """Hold the keys `first` to `last` under a fencing token until a time."""

    first: int
    last: int
    fence: int
    until_s: float


@dataclass
class Backend:
    """Serve requests, grants and releases, and send heartbeats."""

    args: argparse.Namespace
    born_ms: int = field(default_factory=lambda: int(time.time() * 1000))
    holds: list[Hold] = field(default_factory=list)
    seen_fence: dict[tuple[int, int], int] = field(default_factory=dict)
    running_keys: list[int] = field(default_factory=list)
    running: int = 0
    waiting: int = 0
    sequence: int = 0
    state: str = "ready"
    garbles: bool = False
    started_s: float = field(default_factory=time.monotonic)

    def log(self, event: str, **fields: Any) -> None:
        """Write one line to standard output."""
        line = {"at": time.monotonic(), "id": self.args.id, "born": self.born_ms}
        print(json.dumps(line | {"event": event} | fields), flush=True)

    def warmup_left_ms(self) -> int:
        """Return for how long this lifetime stays cold."""
        cold_s = float(self.args.cold_s)
        return max(0, int((self.started_s + cold_s - time.monotonic()) * 1000))

    def holds_key(self, key: int) -> bool:
        """Return whether this lifetime holds a key now."""
        now_s = time.monotonic()
        return any(h.first <= key <= h.last and now_s < h.until_s for h in self.holds)

    def grant(self, fields: dict[str, Any]) -> Answer:
        """Take keys, unless a higher fencing token was seen on one of them."""
        first, last, fence = fields["from"], fields["target"], fields["fence"]
        hold_s = _seconds(fields["hold_time"])
        now_s = time.monotonic()
        for (a, b), seen in self.seen_fence.items():
            if a <= last and first <= b and seen > fence:
                self.log("grant", first=first, last=last, fence=fence, status=409)
                return Answer(409, {})
        self.seen_fence[first, last] = fence
        self.holds = _without(self.holds, first, last)
        self.holds.append(Hold(first, last, fence, now_s + hold_s))
        self.log(
            "grant", first=first, last=last, fence=fence, hold_s=hold_s, status=200
        )
        return Answer(200, {})

    async def release(self, fields: dict[str, Any]) -> Answer:
        """Stop new work on keys, and answer when the running work has ended."""
        first, last = fields["from"], fields["target"]
        self.holds = _without(self.holds, first, last)
        self.log("release", first=first, last=last, fence=fields["fence"])
        while any(first <= key <= last for key in self.running_keys):
            await asyncio.sleep(0.005)
        return Answer(200, {"Handover": f"{self.born_ms:x}{first:04x}"})

    async def handle(self, req: Request) -> Answer:
        """Handle one call or request."""
        if req.path == "/health":
            status = 200 if self.state == "ready" else 503
            return Answer(status, {"Instance-Id": self.args.id, **self._load()})
        expected = req.headers.get("expect-instance")
        if expected is not None and expected != self.args.id:
            return self._not_run(421, req)
        if req.path == "/-/grant":
            return self.grant(json.loads(req.body))
        if req.path == "/-/release":
            return await self.release(json.loads(req.body))
        return await self._run(req)

    async def _run(self, req: Request) -> Answer:
        key = int(req.headers.get("shard-key", "-1"))
        attempt = req.headers.get("attempt-id", "")
        if self.args.sharded and not self.holds_key(key):
            return self._not_run(421, req)
        if self.waiting >= self.args.queue:
            return self._not_run(503, req)
        self.waiting += 1
        while self.running >= self.args.slots:
            await asyncio.sleep(0.002)
        self.waiting -= 1
        if self.args.sharded and not self.holds_key(key):
            return self._not_run(421, req)
        self.running += 1
        self.running_keys.append(key)
        self.log("run", attempt=attempt, key=key, path=req.path)
        try:
            await asyncio.sleep(self.args.work_ms / 1000.0)
        finally:
            self.running -= 1
            self.running_keys.remove(key)
            self.log("ran", attempt=attempt, key=key)
        body = f"{self.args.id} {attempt}".encode()
        headers = {"Attempt-Id": attempt, "Response-Seal": f"seal-{attempt}"}
        return Answer(200, headers | self._load(), body)

    def _not_run(self, status: int, req: Request) -> Answer:
        attempt = req.headers.get("attempt-id", "")
        self.log("not_run", attempt=attempt, status=status)
        headers = {"Attempt-Id": attempt, "Not-Executed": "1"}
        return Answer(status, headers | self._load())

    def _load(self) -> dict[str, str]:
        load = f"{self.running},{self.waiting},{self.args.slots}"
        leaving = {"Server-Leaving": "1"} if self.state == "draining" else {}
        return {"Backend-Load": load, **leaving}

    async def serve(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        """Serve the requests of one connection, one at a time."""
        extras: set[asyncio.Task[None]] = set()
        try:
            while True:
                req = await _read_request(reader)
                data = _encode(await self.handle(req))
                writer.write(data)
                await writer.drain()
                if self.garbles and random.random() < self.args.extra_share:
                    extras.add(asyncio.create_task(self._send_again(writer, req, data)))
        except (OSError, asyncio.IncompleteReadError, ValueError):
            pass
        finally:
            writer.close()

    async def _send_again(
        self, writer: asyncio.StreamWriter, req: Request, data: bytes
    ) -> None:
        """Send a second copy of an answer, late and on the same connection."""
        await asyncio.sleep(random.uniform(_EXTRA_MIN_S, self.args.extra_late_s))
        if writer.is_closing():
            return
        self.log("extra", attempt=req.headers.get("attempt-id", ""))
        writer.write(data)

    async def send_heartbeats(self) -> None:
        """Send a heartbeat at once and then every interval."""
        while True:
            started_s = time.monotonic()
            await self.heartbeat()
            next_s = started_s + self.args.heartbeat_s
            await asyncio.sleep(max(0.05, next_s - time.monotonic()))

    async def heartbeat(self) -> bool:
        """Send heartbeats to one node after the other until one acknowledges it."""
        for address in self.args.control.split(","):
            self.sequence += 1
            body = {
                "service": self.args.service,
                "address": f"{self.args.ip}:{self.args.port}",
                "zone": self.args.zone,
                "version": "v1",
                "slots": self.args.slots,
                "state": self.state,
                "warmup_left": f"{self.warmup_left_ms()}ms",
                "seq": self.sequence,
                "born": self.born_ms,
            }
            if await self._call(address, "heartbeat", body):
                return True
        return False

    async def deregister(self) -> None:
        """Say at one node after the other that this lifetime ends."""
        for address in self.args.control.split(","):
            if await self._call(address, "deregister", {"born": self.born_ms}):
                return

    async def _call(self, address: str, call: str, body: dict[str, Any]) -> bool:
        """Send a call to a node and return whether it acknowledged it."""
        path = f"/-/instances/{self.args.id}/{call}"
        told = {"to": address, "state": self.state, "seq": body.get("seq")}
        self.log(call, **told)
        acked = 200 <= await _post(address, path, body) < 300
        self.log(f"{call}_acked" if acked else f"{call}_failed", **told)
        return acked

    async def leave(self, beats: asyncio.Task[None]) -> None:
        """Report the end, serve on for a while after the confirmation, and exit."""
        beats.cancel()
        self.state = "draining"
        while not await self.heartbeat():
            await asyncio.sleep(0.2)
        confirmed_s = time.monotonic()
        while time.monotonic() < confirmed_s + self.args.serve_on_s:
            await asyncio.sleep(self.args.heartbeat_s)
            await self.heartbeat()
        await self.deregister()
        self.log("exit")
        sys.stdout.flush()
        asyncio.get_running_loop().stop()


def _seconds(text: str) -> float:
    if text.endswith("ms"):
        return float(text[:-2]) / 1000.0
    return float(text.removesuffix("s"))


def _without(holds: list[Hold], first: int, last: int) -> list[Hold]:
    """Return the holds with some keys cut out."""
    kept = []
    for hold in holds:
        if hold.last < first or last < hold.first:
            kept.append(hold)
            continue
        if hold.first < first:
            kept.append(Hold(hold.first, first - 1, hold.fence, hold.until_s))
        if last < hold.last:
            kept.append(Hold(last + 1, hold.last, hold.fence, hold.until_s))
    return kept


async def _read_request(reader: asyncio.StreamReader) -> Request:
    head = await reader.readuntil(b"\r\n\r\n")
    lines = head.decode("latin-1").split("\r\n")
    method, target, _ = lines[0].split(" ", 2)
    headers = {}
    for line in lines[1:]:
        name, _, value = line.partition(":")
        if name:
            headers[name.lower()] = value.strip()
    if headers.get("transfer-encoding") == "chunked":
        body = await _read_chunks(reader)
    else:
        body = await reader.readexactly(int(headers.get("content-length", "0")))
    return Request(method, target, headers, body)


async def _read_chunks(reader: asyncio.StreamReader) -> bytes:
    body = b""
    while True:
        size = int((await reader.readline()).split(b";")[0], 16)
        body += await reader.readexactly(size)
        await reader.readline()
        if not size:
            return body


def _encode(answer: Answer) -> bytes:
    lines = [f"HTTP/1.1 {answer.status} Status"]
    lines += [f"{name}: {value}" for name, value in answer.headers.items()]
    lines.append(f"Content-Length: {len(answer.body)}")
    return "\r\n".join(lines).encode() + b"\r\n\r\n" + answer.body


async def _post(address: str, path: str, fields: dict[str, Any]) -> int:
    """Send a call and return its status, or 0 without an answer within a second."""
    host, _, port = address.partition(":")
    body = json.dumps(fields).encode()
    head = (
        f"POST {path} HTTP/1.1\r\nHost: {address}\r\nConnection: close\r\n"
        f"Content-Type: application/json\r\nContent-Length: {len(body)}\r\n\r\n"
    )
    try:
        async with asyncio.timeout(_CALL_TIMEOUT_S):
            reader, writer = await asyncio.open_connection(host, int(port))
            try:
                writer.write(head.encode() + body)
                line = await reader.readline()
            finally:
                writer.close()
            return int(line.split(b" ")[1])
    except (OSError, TimeoutError, IndexError, ValueError):
        return 0


def _parse_args() -> argparse.Namespace:
    parser = argparse.ArgumentParser(description=__doc__)
    for name in ("id", "ip", "zone", "service", "control"):
        parser.add_argument(f"--{name}", required=True)
    parser.add_argument("--port", type=int, required=True)
    parser.add_argument("--sharded", type=int, default=0)
    parser.add_argument("--slots", type=int, default=4)
    parser.add_argument("--queue", type=int, default=8)
    parser.add_argument("--work-ms", type=float, default=20.0)
    parser.add_argument("--extra-share", type=float, default=0.0)
    parser.add_argument("--extra-late-s", type=float, default=0.3)
    parser.add_argument("--heartbeat-s", type=float, default=0.87)
    parser.add_argument("--cold-s", type=float, default=0.0)
    parser.add_argument("--serve-on-s", type=float, default=3.0)
    return parser.parse_args()


async def _main() -> None:
    backend = Backend(_parse_args())
    loop = asyncio.get_running_loop()
    server = await asyncio.start_server(
        backend.serve, backend.args.ip, backend.args.port, backlog=200
    )
    backend.log("start", address=f"{backend.args.ip}:{backend.args.port}")
    beats = loop.create_task(backend.send_heartbeats())
    tasks = [beats]
    loop.add_signal_handler(
        signal.SIGTERM, lambda: tasks.append(loop.create_task(backend.leave(beats)))
    )
    loop.add_signal_handler(signal.SIGUSR1, lambda: setattr(backend, "garbles", True))
    loop.add_signal_handler(signal.SIGUSR2, lambda: setattr(backend, "garbles", False))
    async with server:
        await server.serve_forever()


if __name__ == "__main__":
    try:
        asyncio.run(_main())
    except RuntimeError:
        # The loop was stopped by `leave`.
        sys.exit(0)
