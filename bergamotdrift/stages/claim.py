"""Claim the idempotency key of a request, so that it runs at most once."""

import hashlib
from collections.abc import Callable
from typing import NamedTuple, Protocol

import gevent
from returns.result import Failure, Result, Success

from bergamotdrift.arbiter_client import ArbiterClient
from bergamotdrift.arbiter_messages import (
    RecordBegin,
    RecordEnd,
    RecordMirror,
    RecordReply,
    RecordState,
    SavedAnswer,
)
from bergamotdrift.body_source import BodySource
from bergamotdrift.clock import Clock
from bergamotdrift.exceptions import (
    CallError,
    ErrorKind,
    Refusal,
    StreamClosedError,
)
from bergamotdrift.feed_signal import FeedSignal
from bergamotdrift.hashing import key_digest, rendezvous
from bergamotdrift.messages import (
    Done,
    Role,
)
from bergamotdrift.record_book import RecordBook, RecordId
from bergamotdrift.request import RoutedRequest
from bergamotdrift.shards import workspace_shard
from bergamotdrift.tables import Tables

IDEMPOTENCY_HEADER = "Idempotency-Key"
_MAX_KEY_CHARS = 256
_RETRY_PAUSE_MS = 50
_REPLY_MARGIN_MS = 100
_MIRROR_TIMEOUT_MS = 300

_REFUSALS = {
    RecordState.RUNNING: Refusal(ErrorKind.CONFLICT_IN_PROGRESS),
    RecordState.UNKNOWN: Refusal(
        ErrorKind.OUTCOME_UNKNOWN, "an earlier request with this key has no known end"
    ),
    RecordState.MISMATCH: Refusal(
        ErrorKind.MALFORMED_REQUEST, "the idempotency key belongs to another request"
    ),
}


class Claim(NamedTuple):
    """Name a claimed idempotency key; `mirror` is the second arbiter, if any."""

    rid: RecordId
    request: str
    mirror: str = ""


class Claimed(NamedTuple):
    """Hold a claim, or the saved answer of the first request, or neither."""

    claim: Claim | None = None
    saved: SavedAnswer | None = None


class Claims(Protocol):
    """Make sure that a request with an idempotency key runs at most once."""

    def begin(
        self, routed: RoutedRequest, body: BodySource
    ) -> Result[Claimed, Refusal]:
        """Claim the key of a request that must not run twice."""
        ...

    def end(self, claim: Claim, answer: SavedAnswer | None) -> None:
        """Close a claim with its answer, or as unknown."""
        ...

    def forget(self, claim: Claim) -> None:
        """Give a claim up because the request was not run."""
        ...


class NoClaims:
    """Pass idempotency keys on to the upstreams, which alone act on them."""

    def begin(
        self, routed: RoutedRequest, body: BodySource
    ) -> Result[Claimed, Refusal]:
        """Claim nothing."""
        return Success(Claimed())

    def end(self, claim: Claim, answer: SavedAnswer | None) -> None:
        """Do nothing: no claim was made."""

    def forget(self, claim: Claim) -> None:
        """Do nothing: no claim was made."""


class ClaimStage:
    """Begin and end idempotency records at the arbiter and in the entry's book."""

    def __init__(
        self,
        arbiters: ArbiterClient,
        book: RecordBook,
        tables: Callable[[], Tables],
        feed: FeedSignal,
        clock: Clock,
        vm: str,
    ):
        self._arbiters = arbiters
        self._book = book
        self._tables = tables
        self._feed = feed
        self._clock = clock
        self._vm = vm

    def begin(
        self, routed: RoutedRequest, body: BodySource
    ) -> Result[Claimed, Refusal]:
        """Claim the key of a request that must not run twice.

        Kinds: MALFORMED_REQUEST, CONFLICT_IN_PROGRESS, OUTCOME_UNKNOWN,
        ARBITER_UNREACHABLE.
        """
        key = routed.req.header(IDEMPOTENCY_HEADER.lower())
        if key is None or routed.route.idempotent or not routed.workspace:
            return Success(Claimed())
        many = len(routed.req.fields[IDEMPOTENCY_HEADER.lower()]) > 1
        if not key or many or len(key) > _MAX_KEY_CHARS:
            refusal = Refusal(ErrorKind.MALFORMED_REQUEST, "invalid idempotency key")
            return Failure(refusal)
        claim = Claim(
            RecordId(routed.workspace, key_digest(key)), routed.req.request_id
        )
        return self._begin(claim, fingerprint(routed, body), routed.deadline_ms)

    def end(self, claim: Claim, answer: SavedAnswer | None) -> None:
        """Close a claim with its answer, or as unknown; later calls do nothing."""
        if self._book.end(claim.rid, claim.request, answer):
            self._send_end(claim, forget=False, answer=answer)

    def forget(self, claim: Claim) -> None:
        """Give a claim up because the request was not run."""
        self._book.forget(claim.rid, claim.request)
        self._send_end(claim, forget=True, answer=None)

    def _begin(
        self, claim: Claim, mark: str, deadline_ms: float
    ) -> Result[Claimed, Refusal]:
        decided = False
        try:
            while self._clock.now_ms() < deadline_ms:
                reply = self._ask(claim, mark, deadline_ms)
                if isinstance(reply, Refusal):
                    return Failure(reply)
                if reply is not None:
                    result = self._accept(claim, mark, reply)
                    decided = isinstance(result, Success) or (
                        reply.state is not RecordState.FIRST
                    )
                    return result
                self._feed.wait(_RETRY_PAUSE_MS)
            return Failure(Refusal(ErrorKind.ARBITER_UNREACHABLE, "idempotency"))
        finally:
            if not decided:
                self.forget(claim)

    def _ask(
        self, claim: Claim, mark: str, deadline_ms: float
    ) -> RecordReply | Refusal | None:
        wait_ms = max(0, int(deadline_ms - self._clock.now_ms()))
        rid = claim.rid
        try:
            call = self._arbiters.call(
                workspace_shard(rid.workspace),
                lambda epoch: RecordBegin(
                    rid.workspace, epoch, rid.key_digest, mark, claim.request, wait_ms
                ),
                wait_ms + _REPLY_MARGIN_MS,
            )
        except CallError as exc:
            if exc.refusal.kind is ErrorKind.ARBITER_UNREACHABLE:
                return None
            return exc.refusal
        except (StreamClosedError, gevent.Timeout):
            return None
        if self._arbiters.assignment(workspace_shard(rid.workspace)) != call.row:
            return None
        return call.reply if isinstance(call.reply, RecordReply) else None

    def _accept(
        self, claim: Claim, mark: str, reply: RecordReply
    ) -> Result[Claimed, Refusal]:
        if reply.state is RecordState.DONE and reply.answer is not None:
            return Success(Claimed(saved=reply.answer))
        if reply.state is not RecordState.FIRST:
            unknown = _REFUSALS[RecordState.UNKNOWN]
            return Failure(_REFUSALS.get(reply.state, unknown))
        self._book.begin(claim.rid, mark, claim.request)
        nodes = self._mirror_nodes(claim.rid.workspace)
        mirror = self._mirror(claim, nodes)
        if nodes and not mirror:
            return Failure(
                Refusal(ErrorKind.ARBITER_UNREACHABLE, "no second VM holds the record")
            )
        return Success(Claimed(claim=claim._replace(mirror=mirror)))

    def _send_end(self, claim: Claim, forget: bool, answer: SavedAnswer | None) -> None:
        rid = claim.rid
        msg = RecordEnd(rid.workspace, rid.key_digest, claim.request, forget, answer)
        shard = workspace_shard(rid.workspace)
        self._arbiters.send(shard, msg)
        if not claim.mirror:
            return
        row = self._book.row(rid)
        copy = msg if forget or row is None else RecordMirror(row)
        self._arbiters.send(shard, copy, claim.mirror)

    def _mirror(self, claim: Claim, nodes: list[str]) -> str:
        """Store the record at the first node that confirms it, and return the node."""
        row = self._book.row(claim.rid)
        assert row is not None
        for node in nodes:
            try:
                reply = self._arbiters.call_node(
                    node, RecordMirror(row), _MIRROR_TIMEOUT_MS
                )
            except (StreamClosedError, CallError, gevent.Timeout):
                continue
            if isinstance(reply, Done):
                return node
        return ""

    def _mirror_nodes(self, workspace: str) -> list[str]:
        """Return the arbiters on other VMs, next owner of the shard first.

        The list is empty when the shard's arbiter itself runs on another VM.
        """
        shard = workspace_shard(workspace)
        tables = self._tables()
        current = tables.arbiter_of(shard)
        if current is None or current.vm != self._vm:
            return []
        others = {
            row.node
            for row in tables.nodes_of(Role.ARBITER)
            if row.vm != self._vm and not _zone_is_out(tables, row.zone)
        }
        return rendezvous(shard, others)


def _zone_is_out(tables: Tables, zone: str) -> bool:
    return tables.settings is not None and tables.settings.zone_is_out(zone)


def fingerprint(routed: RoutedRequest, body: BodySource) -> str:
    """Return a digest by which two requests under one key are told apart."""
    req = routed.req
    digest = hashlib.sha256()
    for part in (req.method, req.target, str(body.length)):
        digest.update(part.encode() + b"\0")
    digest.update(body.buffered if body.can_be_resent else b"")
    return digest.hexdigest()
