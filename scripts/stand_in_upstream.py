"""Stand-in upstream for the demo and end-to-end tests.

It announces itself to arbiters, serves requests with bounded slots and a cold
start, checks epochs and grants if told so, and records every execution.
"""

import collections
import json
import secrets
import socket
import time
from dataclasses import dataclass, field
from typing import Annotated, Any, NamedTuple

import cappa
import falcon
import gevent
from gevent import pywsgi
from gevent.event import Event
from geventhttpclient import HTTPClient
from geventhttpclient.response import HTTPParseError

from bergamotdrift.http_input import peer_has_closed

# The least time between announcements, also when there is news.
EARLY_ANNOUNCE_S = 0.05
ANNOUNCE_S = 0.5
_DEADLINE_MS = 60_000
_CALL_TIMEOUT_S = 1.0
_PIECE = b"x" * 65536
_SOCKET = "stand_in.socket"


@dataclass
class Options:
    """Serve as an upstream of one service."""

    service: Annotated[str, cappa.Arg(long=True)]
    upstream: Annotated[str, cappa.Arg(long=True)]
    zone: Annotated[str, cappa.Arg(long=True)] = "a"
    listen: Annotated[str, cappa.Arg(long=True)] = "127.0.0.1:0"
    arbiters: Annotated[str, cappa.Arg(long=True, help="host:port,...")] = ""
    slots: Annotated[int, cappa.Arg(long=True)] = 4
    connections: Annotated[int, cappa.Arg(long=True)] = 110
    service_ms: Annotated[float, cappa.Arg(long=True)] = 5.0
    cold_slots: Annotated[int, cappa.Arg(long=True)] = 1
    cold_s: Annotated[float, cappa.Arg(long=True)] = 0.0
    fencing: Annotated[str, cappa.Arg(long=True, help="epoch or none")] = "epoch"
    load_lag_s: Annotated[float, cappa.Arg(long=True)] = 1.0
    record: Annotated[str, cappa.Arg(long=True, help="file that outlives it")] = ""


@dataclass
class Execution:
    """Record one run of a request; times in seconds since the epoch."""

    key: str
    method: str
    workspace: str
    request_id: str
    idempotency_key: str
    partition: int
    epoch: int
    started: float
    ended: float | None = None
    body_bytes: int = 0
    leaked: bool = False
    abandoned: bool = False


class Grant(NamedTuple):
    """Hold a partition's epoch and the end of its lease."""

    epoch: int
    end_s: float


class LoadSample(NamedTuple):
    """Hold a past load, since load reports lag."""

    at_s: float
    in_flight: int


@dataclass
class Upstream:
    """Hold the state of the stand-in."""

    options: Options
    incarnation: str = field(default_factory=lambda: secrets.token_hex(8))
    grants: dict[int, Grant] = field(default_factory=dict)
    releasing: dict[int, int] = field(default_factory=dict)
    running: collections.Counter = field(default_factory=collections.Counter)
    executions: list[Execution] = field(default_factory=list)
    shed: int = 0
    fenced: int = 0
    cancelled: int = 0
    samples: collections.deque = field(
        default_factory=lambda: collections.deque(maxlen=200)
    )
    secrets: list[str] = field(default_factory=list)
    cold_since_s: float = field(default_factory=time.monotonic)
    extra_ms: float = 0.0
    lease_end_s: float = 0.0
    leaving: bool = False
    frozen: bool = False
    has_news: Event = field(default_factory=Event)

    @property
    def in_flight(self) -> int:
        """Return how many requests run now."""
        return sum(self.running.values())

    def state(self) -> str:
        """Return the announced state."""
        if self.leaving:
            return "leaving"
        return "cold" if self.warmth() < 1.0 else "ready"

    def warmth(self) -> float:
        """Return the progress of the cold start, from 0 to 1."""
        if self.options.cold_s <= 0:
            return 1.0
        return min(1.0, (time.monotonic() - self.cold_since_s) / self.options.cold_s)

    def bearable(self) -> int:
        """Return how many requests can run at once."""
        cold, full = self.options.cold_slots, self.options.slots
        return cold + int((full - cold) * self.warmth())

    def is_fenced(self, partition: int, epoch: int) -> bool:
        """Tell whether a request comes under a grant that does not hold."""
        if self.options.fencing != "epoch" or partition < 0:
            return False
        grant = self.grants.get(partition)
        if grant is None or grant.epoch != epoch:
            return True
        return time.monotonic() >= grant.end_s or partition in self.releasing

    def may_commit(self, partition: int, epoch: int, deadline_s: float) -> bool:
        """Tell whether a run may take effect; one that was frozen may be too late."""
        now_s = time.monotonic()
        if now_s >= deadline_s:
            return False
        if self.options.fencing != "epoch" or partition < 0:
            return True
        grant = self.grants.get(partition)
        if grant is not None and grant.epoch == epoch:
            return now_s < grant.end_s
        return self.releasing.get(partition) == epoch and now_s < self.lease_end_s

    def announcement(self) -> dict[str, Any]:
        """Return the JSON that announces this upstream."""
        done = [[p, e] for p, e in self.releasing.items() if not self.running[p]]
        return {
            "service": self.options.service,
            "upstream": self.options.upstream,
            "address": self.options.listen,
            "zone": self.options.zone,
            "incarnation": self.incarnation,
            "state": self.state(),
            "released": done,
        }

    def append_record(self, run: Execution) -> None:
        """Append a run's start or end to the record file, if there is one."""
        if not self.options.record:
            return
        line = {"upstream": self.options.upstream, **vars(run)}
        with open(self.options.record, "a") as record:
            record.write(json.dumps(line) + "\n")

    def take_reply(self, asked_s: float, reply: dict[str, Any]) -> None:
        """Store the grants and the partitions to release."""
        end_s = asked_s + reply["lease_ms"] / 1000.0
        self.lease_end_s = end_s
        self.grants = {p: Grant(e, end_s) for p, e in reply.get("grants", [])}
        before = set(self.releasing)
        self.releasing = {p: e for p, e in reply.get("release", [])}
        if any(not self.running[p] for p in self.releasing.keys() - before):
            self.has_news.set()


def _number(environ: dict[str, Any], name: str, default: int) -> int:
    try:
        return int(environ.get(name, default))
    except ValueError:
        return default


class ServiceApp:
    """Serve requests of the service."""

    def __init__(self, upstream: Upstream):
        self._up = upstream

    def __call__(self, environ: dict[str, Any], start_response: Any) -> Any:
        """Run one request as a WSGI application."""
        up = self._up
        while up.frozen:
            gevent.sleep(0.05)
        if peer_has_closed(environ[_SOCKET]) is True:
            # A frozen process finds requests whose caller has left long ago.
            up.cancelled += 1
            return _refuse(start_response, "503 Service Unavailable", "cancelled")
        partition = _number(environ, "HTTP_X_PARTITION", -1)
        epoch = _number(environ, "HTTP_X_EPOCH", 0)
        if up.is_fenced(partition, epoch):
            up.fenced += 1
            up.has_news.set()
            return _refuse(start_response, "409 Conflict", "fenced")
        if up.in_flight >= up.bearable():
            up.shed += 1
            return _refuse(start_response, "503 Service Unavailable", "shed")
        return self._run(environ, start_response, partition, epoch)

    def _run(
        self, environ: dict[str, Any], start_response: Any, partition: int, epoch: int
    ) -> Any:
        up = self._up
        deadline_ms = _number(environ, "HTTP_X_DEADLINE_MS", _DEADLINE_MS)
        deadline_s = time.monotonic() + deadline_ms / 1000.0
        run = self._record(environ, partition, epoch)
        up.running[partition] += 1
        try:
            while piece := environ["wsgi.input"].read(65536):
                run.body_bytes += len(piece)
            gevent.sleep((up.options.service_ms + up.extra_ms) / 1000.0)
            run.abandoned = not up.may_commit(partition, epoch, deadline_s)
        except OSError:
            run.abandoned = True  # the body was cut off
            raise
        finally:
            run.ended = time.time()
            up.append_record(run)
            up.running[partition] -= 1
            if partition in up.releasing:
                up.has_news.set()
        if run.abandoned:
            return _refuse(start_response, "409 Conflict", "fenced")
        return self._answer(environ, start_response, run)

    def _answer(
        self, environ: dict[str, Any], start_response: Any, run: Execution
    ) -> Any:
        name, _, value = environ.get("QUERY_STRING", "").partition("=")
        if name == "bytes":
            size = int(value)
            start_response("200 OK", [("Content-Length", str(size))])
            whole, rest = divmod(size, len(_PIECE))
            return (_PIECE if n < whole else _PIECE[:rest] for n in range(whole + 1))
        body = json.dumps({
            "upstream": self._up.options.upstream,
            "key": run.key,
            "request_id": run.request_id,
            "body_bytes": run.body_bytes,
            "execution": len(self._up.executions),
        }).encode()
        start_response(
            "200 OK",
            [("Content-Type", "application/json"), ("Content-Length", str(len(body)))],
        )
        return [b"" if environ["REQUEST_METHOD"] == "HEAD" else body]

    def _record(self, environ: dict[str, Any], partition: int, epoch: int) -> Execution:
        headers = [str(v) for k, v in environ.items() if k.startswith("HTTP_")]
        leaked = "HTTP_AUTHORIZATION" in environ or any(
            secret in value for secret in self._up.secrets for value in headers
        )
        run = Execution(
            environ["PATH_INFO"],
            environ["REQUEST_METHOD"],
            environ.get("HTTP_X_WORKSPACE", ""),
            environ.get("HTTP_X_REQUEST_ID", ""),
            environ.get("HTTP_IDEMPOTENCY_KEY", ""),
            partition,
            epoch,
            time.time(),
            leaked=leaked,
        )
        self._up.executions.append(run)
        self._up.append_record(run)
        return run


def _refuse(start_response: Any, status: str, reason: str) -> list[bytes]:
    body = json.dumps({"error": reason}).encode()
    start_response(
        status,
        [
            ("X-Not-Run", reason),
            ("Content-Type", "application/json"),
            ("Content-Length", str(len(body))),
        ],
    )
    return [body]


class _Handler(pywsgi.WSGIHandler):
    """Hand the connection's socket to the application."""

    def get_environ(self) -> dict[str, Any]:
        environ = super().get_environ()
        environ[_SOCKET] = self.socket
        return environ


class LoadResource:
    """Report a load that lags."""

    def __init__(self, upstream: Upstream):
        self._up = upstream

    def on_get(self, req: falcon.Request, resp: falcon.Response) -> None:
        """Answer with the load of a moment ago."""
        up = self._up
        limit_s = time.monotonic() - up.options.load_lag_s
        past = [s.in_flight for s in up.samples if s.at_s <= limit_s]
        resp.media = {
            "in_flight": past[-1] if past else 0,
            "slots": up.options.slots,
            "state": up.state(),
        }


class ExecutionsResource:
    """Serve the record of executions."""

    def __init__(self, upstream: Upstream):
        self._up = upstream

    def on_get(self, req: falcon.Request, resp: falcon.Response) -> None:
        """Answer with all executions and the counts of refused requests."""
        resp.media = {
            "upstream": self._up.options.upstream,
            "incarnation": self._up.incarnation,
            "shed": self._up.shed,
            "fenced": self._up.fenced,
            "cancelled": self._up.cancelled,
            "executions": [vars(run) for run in self._up.executions],
        }


class ControlResource:
    """Switch the stand-in's behaviour."""

    def __init__(self, upstream: Upstream):
        self._up = upstream

    def on_post(self, req: falcon.Request, resp: falcon.Response) -> None:
        """Apply `straggle_ms`, `cold`, `leave`, `freeze`, `slots` or `secrets`."""
        up, body = self._up, req.get_media()
        up.extra_ms = float(body.get("straggle_ms", up.extra_ms))
        up.leaving = bool(body.get("leave", up.leaving))
        up.frozen = bool(body.get("freeze", up.frozen))
        up.secrets = list(body.get("secrets", up.secrets))
        up.options.slots = int(body.get("slots", up.options.slots))
        if body.get("cold"):
            up.cold_since_s = time.monotonic()
        resp.media = {"state": up.state(), "frozen": up.frozen}


def build_app(upstream: Upstream) -> Any:
    """Return the WSGI application; admin paths work even while frozen."""
    admin = falcon.App()
    admin.add_route("/load", LoadResource(upstream))
    admin.add_route("/executions", ExecutionsResource(upstream))
    admin.add_route("/control", ControlResource(upstream))
    service = ServiceApp(upstream)
    paths = {"/load", "/executions", "/control"}

    def app(environ: dict[str, Any], start_response: Any) -> Any:
        chosen = admin if environ["PATH_INFO"] in paths else service
        return chosen(environ, start_response)

    return app


def announce_loop(upstream: Upstream, arbiters: list[str]) -> None:
    """Announce the upstream to one arbiter, the next one after a failure."""
    number = 0
    while True:
        if not upstream.frozen and arbiters:
            asked_s = time.monotonic()
            address = arbiters[number % len(arbiters)]
            reply = _announce(address, upstream.announcement())
            if reply is None:
                number += 1
                gevent.sleep(ANNOUNCE_S / 5)
                continue
            upstream.has_news.clear()
            upstream.take_reply(asked_s, reply)
        gevent.sleep(EARLY_ANNOUNCE_S)
        upstream.has_news.wait(ANNOUNCE_S - EARLY_ANNOUNCE_S)


def _announce(address: str, body: dict[str, Any]) -> dict[str, Any] | None:
    client = HTTPClient.from_url(
        f"http://{address}",
        connection_timeout=_CALL_TIMEOUT_S,
        network_timeout=_CALL_TIMEOUT_S,
    )
    try:
        response = client.post(
            "/v1/announce", json.dumps(body), {"Content-Type": "application/json"}
        )
        data = response.read()
        return json.loads(data) if response.status_code == 200 else None
    except (OSError, ValueError, HTTPParseError, gevent.Timeout):
        return None
    finally:
        client.close()


def sample_loop(upstream: Upstream) -> None:
    """Remember the load for the lagging reports."""
    while True:
        upstream.samples.append(LoadSample(time.monotonic(), upstream.in_flight))
        gevent.sleep(0.05)


def start_upstream(options: Options) -> tuple[Upstream, pywsgi.WSGIServer]:
    """Start to serve and announce in the background."""
    upstream = Upstream(options)
    host, _, port = options.listen.rpartition(":")
    server = pywsgi.WSGIServer(
        (host, int(port)),
        build_app(upstream),
        log=None,
        error_log=None,
        spawn=options.connections,
        handler_class=_Handler,
    )
    server.start()
    server.socket.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
    options.listen = f"{server.server_host}:{server.server_port}"
    arbiters = [address for address in options.arbiters.split(",") if address]
    gevent.spawn(announce_loop, upstream, arbiters)
    gevent.spawn(sample_loop, upstream)
    return upstream, server


def main() -> None:
    """Run until the process is stopped; prints the bound address."""
    options = cappa.parse(Options, completion=False)
    _, server = start_upstream(options)
    print(json.dumps({"address": options.listen}), flush=True)
    stop = gevent.event.Event()
    gevent.signal_handler(15, stop.set)
    stop.wait()
    server.stop(timeout=5)


if __name__ == "__main__":
    main()
