"""Stand-in upstream for the demo and end-to-end tests.

It announces itself to arbiters, serves requests with limited slots and a cold start,
checks epochs and grants if fencing is enabled, and records every execution.
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

# Minimum interval between announcements, also for early ones.
MIN_ANNOUNCE_INTERVAL_S = 0.05
ANNOUNCE_INTERVAL_S = 0.5
_DEFAULT_DEADLINE_MS = 60_000
_CALL_TIMEOUT_S = 1.0
_CHUNK = b"x" * 65536
_SOCKET_KEY = "stand_in.socket"


@dataclass
class Options:
    """Run as an upstream of one service."""

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
    record: Annotated[str, cappa.Arg(long=True, help="file for execution records")] = ""


@dataclass
class Execution:
    """Record one execution of a request; times in seconds since the epoch."""

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
    """Store the epoch of a partition and the monotonic time its lease ends."""

    epoch: int
    end_s: float


class LoadSample(NamedTuple):
    """Store the load at one time, for delayed load reports."""

    at_s: float
    in_flight: int


@dataclass
class Upstream:
    """Store the state of the stand-in upstream."""

    options: Options
    incarnation: str = field(default_factory=lambda: secrets.token_hex(8))
    grants: dict[int, Grant] = field(default_factory=dict)
    releasing: dict[int, int] = field(default_factory=dict)
    running_by_partition: collections.Counter = field(
        default_factory=collections.Counter
    )
    executions: list[Execution] = field(default_factory=list)
    shed: int = 0
    fenced: int = 0
    cancelled: int = 0
    load_samples: collections.deque = field(
        default_factory=lambda: collections.deque(maxlen=200)
    )
    secrets: list[str] = field(default_factory=list)
    cold_since_s: float = field(default_factory=time.monotonic)
    extra_service_ms: float = 0.0
    lease_end_s: float = 0.0
    leaving: bool = False
    frozen: bool = False
    announce_early: Event = field(default_factory=Event)

    @property
    def in_flight(self) -> int:
        """Return the number of running requests."""
        return sum(self.running_by_partition.values())

    def state(self) -> str:
        """Return the state to announce."""
        if self.leaving:
            return "leaving"
        return "cold" if self.warm_up_fraction() < 1.0 else "ready"

    def warm_up_fraction(self) -> float:
        """Return the progress of the cold start, from 0 to 1."""
        if self.options.cold_s <= 0:
            return 1.0
        return min(1.0, (time.monotonic() - self.cold_since_s) / self.options.cold_s)

    def capacity(self) -> int:
        """Return the number of requests that can run concurrently."""
        cold, full = self.options.cold_slots, self.options.slots
        return cold + int((full - cold) * self.warm_up_fraction())

    def is_fenced(self, partition: int, epoch: int) -> bool:
        """Return whether the partition lacks a valid grant with this epoch."""
        if self.options.fencing != "epoch" or partition < 0:
            return False
        grant = self.grants.get(partition)
        if grant is None or grant.epoch != epoch:
            return True
        return time.monotonic() >= grant.end_s or partition in self.releasing

    def can_commit(self, partition: int, epoch: int, deadline_s: float) -> bool:
        """Return whether an execution may commit.

        While the process was suspended, the deadline or the lease may have expired.
        """
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
        """Return the announcement as a JSON object."""
        drained = [
            [p, e]
            for p, e in self.releasing.items()
            if not self.running_by_partition[p]
        ]
        return {
            "service": self.options.service,
            "upstream": self.options.upstream,
            "address": self.options.listen,
            "zone": self.options.zone,
            "incarnation": self.incarnation,
            "state": self.state(),
            "released": drained,
        }

    def append_execution(self, execution: Execution) -> None:
        """Append the start or end of an execution to the record file, if configured."""
        if not self.options.record:
            return
        line = {"upstream": self.options.upstream, **vars(execution)}
        with open(self.options.record, "a") as record:
            record.write(json.dumps(line) + "\n")

    def apply_reply(self, requested_at_s: float, reply: dict[str, Any]) -> None:
        """Store the grants and the partitions to release from an announcement reply."""
        end_s = requested_at_s + reply["lease_ms"] / 1000.0
        self.lease_end_s = end_s
        self.grants = {p: Grant(e, end_s) for p, e in reply.get("grants", [])}
        previous = set(self.releasing)
        self.releasing = {p: e for p, e in reply.get("release", [])}
        if any(
            not self.running_by_partition[p] for p in self.releasing.keys() - previous
        ):
            self.announce_early.set()


def _environ_int(environ: dict[str, Any], name: str, default: int) -> int:
    try:
        return int(environ.get(name, default))
    except ValueError:
        return default


class ServiceApp:
    """Serve the requests of the service."""

    def __init__(self, upstream: Upstream):
        self._upstream = upstream

    def __call__(self, environ: dict[str, Any], start_response: Any) -> Any:
        """Handle one request as a WSGI application."""
        upstream = self._upstream
        while upstream.frozen:
            gevent.sleep(0.05)
        if peer_has_closed(environ[_SOCKET_KEY]) is True:
            # A process that resumes after a freeze finds requests whose caller has
            # disconnected meanwhile.
            upstream.cancelled += 1
            return _reject(start_response, "503 Service Unavailable", "cancelled")
        partition = _environ_int(environ, "HTTP_X_PARTITION", -1)
        epoch = _environ_int(environ, "HTTP_X_EPOCH", 0)
        if upstream.is_fenced(partition, epoch):
            upstream.fenced += 1
            upstream.announce_early.set()
            return _reject(start_response, "409 Conflict", "fenced")
        if upstream.in_flight >= upstream.capacity():
            upstream.shed += 1
            return _reject(start_response, "503 Service Unavailable", "shed")
        return self._execute(environ, start_response, partition, epoch)

    def _execute(
        self, environ: dict[str, Any], start_response: Any, partition: int, epoch: int
    ) -> Any:
        upstream = self._upstream
        deadline_ms = _environ_int(environ, "HTTP_X_DEADLINE_MS", _DEFAULT_DEADLINE_MS)
        deadline_s = time.monotonic() + deadline_ms / 1000.0
        execution = self._record_execution(environ, partition, epoch)
        upstream.running_by_partition[partition] += 1
        try:
            while chunk := environ["wsgi.input"].read(65536):
                execution.body_bytes += len(chunk)
            gevent.sleep(
                (upstream.options.service_ms + upstream.extra_service_ms) / 1000.0
            )
            execution.abandoned = not upstream.can_commit(partition, epoch, deadline_s)
        except OSError:
            execution.abandoned = True  # the request body was truncated
            raise
        finally:
            execution.ended = time.time()
            upstream.append_execution(execution)
            upstream.running_by_partition[partition] -= 1
            if partition in upstream.releasing:
                upstream.announce_early.set()
        if execution.abandoned:
            return _reject(start_response, "409 Conflict", "fenced")
        return self._respond(environ, start_response, execution)

    def _respond(
        self, environ: dict[str, Any], start_response: Any, execution: Execution
    ) -> Any:
        name, _, value = environ.get("QUERY_STRING", "").partition("=")
        if name == "bytes":
            size = int(value)
            start_response("200 OK", [("Content-Length", str(size))])
            full_chunks, remainder = divmod(size, len(_CHUNK))
            return (
                _CHUNK if n < full_chunks else _CHUNK[:remainder]
                for n in range(full_chunks + 1)
            )
        body = json.dumps({
            "upstream": self._upstream.options.upstream,
            "key": execution.key,
            "request_id": execution.request_id,
            "body_bytes": execution.body_bytes,
            "execution": len(self._upstream.executions),
        }).encode()
        start_response(
            "200 OK",
            [("Content-Type", "application/json"), ("Content-Length", str(len(body)))],
        )
        return [b"" if environ["REQUEST_METHOD"] == "HEAD" else body]

    def _record_execution(
        self, environ: dict[str, Any], partition: int, epoch: int
    ) -> Execution:
        headers = [str(v) for k, v in environ.items() if k.startswith("HTTP_")]
        leaked = "HTTP_AUTHORIZATION" in environ or any(
            secret in value for secret in self._upstream.secrets for value in headers
        )
        execution = Execution(
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
        self._upstream.executions.append(execution)
        self._upstream.append_execution(execution)
        return execution


def _reject(start_response: Any, status: str, reason: str) -> list[bytes]:
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
    """Pass the connection socket to the application in the WSGI environment."""

    def get_environ(self) -> dict[str, Any]:
        environ = super().get_environ()
        environ[_SOCKET_KEY] = self.socket
        return environ


class LoadResource:
    """Report the load with a delay of `load_lag_s` seconds."""

    def __init__(self, upstream: Upstream):
        self._upstream = upstream

    def on_get(self, req: falcon.Request, resp: falcon.Response) -> None:
        """Return the load of `load_lag_s` seconds ago."""
        upstream = self._upstream
        cutoff_s = time.monotonic() - upstream.options.load_lag_s
        past_loads = [s.in_flight for s in upstream.load_samples if s.at_s <= cutoff_s]
        resp.media = {
            "in_flight": past_loads[-1] if past_loads else 0,
            "slots": upstream.options.slots,
            "state": upstream.state(),
        }


class ExecutionsResource:
    """Serve the recorded executions."""

    def __init__(self, upstream: Upstream):
        self._upstream = upstream

    def on_get(self, req: falcon.Request, resp: falcon.Response) -> None:
        """Return all executions and the counts of refused requests."""
        resp.media = {
            "upstream": self._upstream.options.upstream,
            "incarnation": self._upstream.incarnation,
            "shed": self._upstream.shed,
            "fenced": self._upstream.fenced,
            "cancelled": self._upstream.cancelled,
            "executions": [vars(execution) for execution in self._upstream.executions],
        }


class ControlResource:
    """Change the behaviour of the stand-in upstream."""

    def __init__(self, upstream: Upstream):
        self._upstream = upstream

    def on_post(self, req: falcon.Request, resp: falcon.Response) -> None:
        """Apply `straggle_ms`, `cold`, `leave`, `freeze`, `slots` or `secrets`."""
        upstream, body = self._upstream, req.get_media()
        upstream.extra_service_ms = float(
            body.get("straggle_ms", upstream.extra_service_ms)
        )
        upstream.leaving = bool(body.get("leave", upstream.leaving))
        upstream.frozen = bool(body.get("freeze", upstream.frozen))
        upstream.secrets = list(body.get("secrets", upstream.secrets))
        upstream.options.slots = int(body.get("slots", upstream.options.slots))
        if body.get("cold"):
            upstream.cold_since_s = time.monotonic()
        resp.media = {"state": upstream.state(), "frozen": upstream.frozen}


def build_app(upstream: Upstream) -> Any:
    """Return the WSGI application; admin routes also work while it is frozen."""
    admin = falcon.App()
    admin.add_route("/load", LoadResource(upstream))
    admin.add_route("/executions", ExecutionsResource(upstream))
    admin.add_route("/control", ControlResource(upstream))
    service = ServiceApp(upstream)
    admin_paths = {"/load", "/executions", "/control"}

    def dispatch(environ: dict[str, Any], start_response: Any) -> Any:
        handler = admin if environ["PATH_INFO"] in admin_paths else service
        return handler(environ, start_response)

    return dispatch


def announce_loop(upstream: Upstream, arbiters: list[str]) -> None:
    """Announce the upstream to an arbiter, switching to the next one on failure."""
    index = 0
    while True:
        if not upstream.frozen and arbiters:
            requested_at_s = time.monotonic()
            address = arbiters[index % len(arbiters)]
            reply = _send_announcement(address, upstream.announcement())
            if reply is None:
                index += 1
                gevent.sleep(ANNOUNCE_INTERVAL_S / 5)
                continue
            upstream.announce_early.clear()
            upstream.apply_reply(requested_at_s, reply)
        gevent.sleep(MIN_ANNOUNCE_INTERVAL_S)
        upstream.announce_early.wait(ANNOUNCE_INTERVAL_S - MIN_ANNOUNCE_INTERVAL_S)


def _send_announcement(address: str, body: dict[str, Any]) -> dict[str, Any] | None:
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
    """Sample the load periodically for the delayed load reports."""
    while True:
        upstream.load_samples.append(LoadSample(time.monotonic(), upstream.in_flight))
        gevent.sleep(0.05)


def start_upstream(options: Options) -> tuple[Upstream, pywsgi.WSGIServer]:
    """Start serving and announcing in background greenlets."""
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
    """Print the bound address and serve until SIGTERM."""
    options = cappa.parse(Options, completion=False)
    _, server = start_upstream(options)
    print(json.dumps({"address": options.listen}), flush=True)
    stop = gevent.event.Event()
    gevent.signal_handler(15, stop.set)
    stop.wait()
    server.stop(timeout=5)


if __name__ == "__main__":
    main()
