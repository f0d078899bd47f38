"""Claim idempotency keys so that a request runs at most once."""

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
from bergamotdrift.feed_tables import FeedTables
from bergamotdrift.hashing import key_digest, rendezvous
from bergamotdrift.local_records import LocalRecords, RecordId
from bergamotdrift.messages import (
    Done,
    Role,
)
from bergamotdrift.request import RoutedRequest
from bergamotdrift.shards import workspace_shard

IDEMPOTENCY_HEADER = "Idempotency-Key"
_MAX_KEY_CHARS = 256
_RETRY_PAUSE_MS = 50
_REPLY_MARGIN_MS = 100
_MIRROR_TIMEOUT_MS = 300

_REFUSALS = {
    RecordState.RUNNING: Refusal(ErrorKind.CONFLICT_IN_PROGRESS),
    RecordState.UNKNOWN: Refusal(
        ErrorKind.OUTCOME_UNKNOWN,
        "the outcome of an earlier request with this key is unknown",
    ),
    RecordState.MISMATCH: Refusal(
        ErrorKind.MALFORMED_REQUEST, "the idempotency key belongs to another request"
    ),
}


class Claim(NamedTuple):
    """Identify a claimed idempotency key; `mirror` is the second arbiter, if any."""

    record_id: RecordId
    request: str
    mirror: str = ""


class Claimed(NamedTuple):
    """Hold a claim, the saved response of the first request, or neither."""

    claim: Claim | None = None
    saved: SavedAnswer | None = None


class Claims(Protocol):
    """Ensure that a request with an idempotency key runs at most once."""

    def begin(
        self, routed: RoutedRequest, body: BodySource
    ) -> Result[Claimed, Refusal]:
        """Claim the idempotency key of a request that must not run twice."""
        ...

    def end(self, claim: Claim, answer: SavedAnswer | None) -> None:
        """Complete a claim with its response, or with an unknown outcome."""
        ...

    def forget(self, claim: Claim) -> None:
        """Delete a claim because the request was not run."""
        ...


class NoClaims:
    """Leave idempotency keys to the upstreams."""

    def begin(
        self, routed: RoutedRequest, body: BodySource
    ) -> Result[Claimed, Refusal]:
        """Return an empty result; no claim is made."""
        return Success(Claimed())

    def end(self, claim: Claim, answer: SavedAnswer | None) -> None:
        """Do nothing: no claim was made."""

    def forget(self, claim: Claim) -> None:
        """Do nothing: no claim was made."""


class ClaimStage:
    """Keep idempotency records at the arbiter and in the entry's local records."""

    def __init__(
        self,
        arbiters: ArbiterClient,
        book: LocalRecords,
        tables: Callable[[], FeedTables],
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
        """Claim the idempotency key of a request that must not run twice.

        Kinds: MALFORMED_REQUEST, CONFLICT_IN_PROGRESS, OUTCOME_UNKNOWN,
        ARBITER_UNREACHABLE.
        """
        key = routed.req.header(IDEMPOTENCY_HEADER.lower())
        if key is None or routed.route.idempotent or not routed.workspace:
            return Success(Claimed())
        repeated = len(routed.req.fields[IDEMPOTENCY_HEADER.lower()]) > 1
        if not key or repeated or len(key) > _MAX_KEY_CHARS:
            refusal = Refusal(ErrorKind.MALFORMED_REQUEST, "invalid idempotency key")
            return Failure(refusal)
        claim = Claim(
            RecordId(routed.workspace, key_digest(key)), routed.req.request_id
        )
        return self._begin(claim, fingerprint(routed, body), routed.deadline_ms)

    def end(self, claim: Claim, answer: SavedAnswer | None) -> None:
        """Complete a claim with its response, or with an unknown outcome, once.

        Later calls have no effect.
        """
        if self._book.end(claim.record_id, claim.request, answer):
            self._send_end(claim, forget=False, answer=answer)

    def forget(self, claim: Claim) -> None:
        """Delete a claim because the request was not run."""
        self._book.forget(claim.record_id, claim.request)
        self._send_end(claim, forget=True, answer=None)

    def _begin(
        self, claim: Claim, request_fingerprint: str, deadline_ms: float
    ) -> Result[Claimed, Refusal]:
        decided = False
        try:
            while self._clock.now_ms() < deadline_ms:
                reply = self._request_record(claim, request_fingerprint, deadline_ms)
                if isinstance(reply, Refusal):
                    return Failure(reply)
                if reply is not None:
                    result = self._accept(claim, request_fingerprint, reply)
                    decided = isinstance(result, Success) or (
                        reply.state is not RecordState.FIRST
                    )
                    return result
                self._feed.wait(_RETRY_PAUSE_MS)
            return Failure(Refusal(ErrorKind.ARBITER_UNREACHABLE, "idempotency"))
        finally:
            if not decided:
                self.forget(claim)

    def _request_record(
        self, claim: Claim, request_fingerprint: str, deadline_ms: float
    ) -> RecordReply | Refusal | None:
        wait_ms = max(0, int(deadline_ms - self._clock.now_ms()))
        record_id = claim.record_id
        try:
            call = self._arbiters.call(
                workspace_shard(record_id.workspace),
                lambda epoch: RecordBegin(
                    record_id.workspace,
                    epoch,
                    record_id.key_digest,
                    request_fingerprint,
                    claim.request,
                    wait_ms,
                ),
                wait_ms + _REPLY_MARGIN_MS,
            )
        except CallError as exc:
            if exc.refusal.kind is ErrorKind.ARBITER_UNREACHABLE:
                return None
            return exc.refusal
        except (StreamClosedError, gevent.Timeout):
            return None
        if self._arbiters.assignment(workspace_shard(record_id.workspace)) != call.row:
            return None
        return call.reply if isinstance(call.reply, RecordReply) else None

    def _accept(
        self, claim: Claim, request_fingerprint: str, reply: RecordReply
    ) -> Result[Claimed, Refusal]:
        if reply.state is RecordState.DONE and reply.answer is not None:
            return Success(Claimed(saved=reply.answer))
        if reply.state is not RecordState.FIRST:
            unknown = _REFUSALS[RecordState.UNKNOWN]
            return Failure(_REFUSALS.get(reply.state, unknown))
        self._book.begin(claim.record_id, request_fingerprint, claim.request)
        nodes = self._mirror_nodes(claim.record_id.workspace)
        mirror = self._mirror(claim, nodes)
        if nodes and not mirror:
            return Failure(
                Refusal(
                    ErrorKind.ARBITER_UNREACHABLE,
                    "no arbiter on another VM stored the record",
                )
            )
        return Success(Claimed(claim=claim._replace(mirror=mirror)))

    def _send_end(self, claim: Claim, forget: bool, answer: SavedAnswer | None) -> None:
        record_id = claim.record_id
        msg = RecordEnd(
            record_id.workspace, record_id.key_digest, claim.request, forget, answer
        )
        shard = workspace_shard(record_id.workspace)
        self._arbiters.send(shard, msg)
        if not claim.mirror:
            return
        row = self._book.row(record_id)
        copy = msg if forget or row is None else RecordMirror(row)
        self._arbiters.send(shard, copy, claim.mirror)

    def _mirror(self, claim: Claim, nodes: list[str]) -> str:
        """Store the record at the first node that confirms it and return that node.

        Returns an empty string if none does.
        """
        row = self._book.row(claim.record_id)
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
        """Return the arbiters on other VMs, the shard's next owner first.

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


def _zone_is_out(tables: FeedTables, zone: str) -> bool:
    return tables.settings is not None and tables.settings.zone_is_out(zone)


def fingerprint(routed: RoutedRequest, body: BodySource) -> str:
    """Return a digest that tells different requests with the same key apart."""
    req = routed.req
    digest = hashlib.sha256()
    for part in (req.method, req.target, str(body.length)):
        digest.update(part.encode() + b"\0")
    digest.update(body.buffered if body.can_be_resent else b"")
    return digest.hexdigest()
