"""Polling of upstream load reports, which lag and serve only as hints."""

import json
from collections.abc import Callable, Iterable
from typing import NamedTuple, Protocol, TypedDict

import gevent
import msgspec
from gevent.pool import Pool
from geventhttpclient.response import HTTPParseError

from bergamotdrift.clock import Clock
from bergamotdrift.http_connection import (
    HttpConnection,
    read_response_body,
    read_response_head,
)
from bergamotdrift.messages import UpstreamState
from bergamotdrift.observations import LoadHint

_INTERVAL_S = 1.0
_TIMEOUT_S = 0.5
_MAX_BODY_BYTES = 4096
_MAX_CONCURRENT_POLLS = 16


class _LoadBody(TypedDict):
    """JSON body of a load report."""

    in_flight: int
    slots: int
    state: UpstreamState


class PollTarget(NamedTuple):
    """Upstream of a permit shard and its address."""

    shard: str
    upstream: str
    address: str


class PollObserver(Protocol):
    """Callback for the results of polls."""

    def __call__(self, target: PollTarget, hint: LoadHint | None) -> None:
        """Handle a load report, or None if the upstream did not respond."""
        ...


class LoadPoller:
    """Poll `GET /load` of the targets about once a second."""

    def __init__(
        self,
        targets: Callable[[], Iterable[PollTarget]],
        observer: PollObserver,
        clock: Clock,
    ):
        self._targets = targets
        self._observer = observer
        self._clock = clock
        self._pool = Pool(_MAX_CONCURRENT_POLLS)
        self._greenlet: gevent.Greenlet | None = None

    def start(self) -> None:
        """Start polling in the background."""
        self._greenlet = gevent.spawn(self._run)

    def stop(self) -> None:
        """Stop polling."""
        if self._greenlet is not None:
            self._greenlet.kill(block=False)
        self._pool.kill(block=False)

    def _run(self) -> None:
        while True:
            for target in list(self._targets()):
                # Blocks while the pool is full, which limits concurrent polls.
                self._pool.spawn(self._poll, target)
            gevent.sleep(_INTERVAL_S)

    def _poll(self, target: PollTarget) -> None:
        hint = None
        with gevent.Timeout(_TIMEOUT_S, False):
            hint = fetch_load(target.address, self._clock)
        self._observer(target, hint)


def fetch_load(address: str, clock: Clock) -> LoadHint | None:
    """Return the load report of an upstream, or None if it can't be read."""
    try:
        body = _fetch_body(address, clock)
        if body is None:
            return None
        load = msgspec.convert(json.loads(body), _LoadBody)
    except (OSError, ValueError, TypeError, EOFError, HTTPParseError):
        return None
    return LoadHint(load["in_flight"], load["slots"], load["state"], clock.now_ms())


def _fetch_body(address: str, clock: Clock) -> bytes | None:
    """Return the body of a load report, or None for another status than 200.

    Raises OSError, HTTPParseError and ValueError.
    """
    conn = HttpConnection(address, clock)
    try:
        conn.start_request(clock.now_ms() + _TIMEOUT_S * 1000.0)
        conn.connect()
        conn.send(f"GET /load HTTP/1.1\r\nHost: {address}\r\n\r\n".encode())
        parser = read_response_head(conn, "GET")
        if parser.status != 200:
            return None
        return read_response_body(conn, parser, _MAX_BODY_BYTES)
    finally:
        conn.close()
