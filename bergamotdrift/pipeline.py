"""Run requests through the stages of the entry, with retries within a budget."""

from collections.abc import Callable, Iterator
from functools import partial
from typing import NamedTuple

from returns.result import Failure, Result, Success

from bergamotdrift import entry_metrics
from bergamotdrift.admission import Admission
from bergamotdrift.arbiter_messages import AttemptOutcome
from bergamotdrift.body_source import BodySource, open_body
from bergamotdrift.clock import Clock
from bergamotdrift.config.schema import SiteSettings
from bergamotdrift.dialect import NATIVE, Dialect
from bergamotdrift.exceptions import (
    ERROR_ANSWERS,
    ErrorKind,
    Refusal,
    RequestError,
    TruncatedAnswerError,
)
from bergamotdrift.feed_signal import FeedSignal
from bergamotdrift.log import log_event
from bergamotdrift.refusable_waits import RefusableWaits
from bergamotdrift.request import IncomingRequest, Reply, RoutedRequest
from bergamotdrift.retry_policy import Budget, FailedAttempt, RetryBudget, may_retry
from bergamotdrift.route_split import RouteSplits
from bergamotdrift.stages import reply as replies
from bergamotdrift.stages.authenticate import KeyIndex, authenticate
from bergamotdrift.stages.claim import Claim, Claims
from bergamotdrift.stages.forward import AttemptFailure, ForwardStage, UpstreamResponse
from bergamotdrift.stages.permit import AttemptHistory, Permits
from bergamotdrift.stages.rate import RateTokens, take_rate_token
from bergamotdrift.stages.route import RouteTable, route

_LOGGED_AGE_MAX_MS = 1e9
_SERVER_ERROR_STATUS_MIN = 500
# A keyed service has no other upstream to retry at. The pause gives the partition's
# owner time to recover, or the feed time to announce a new one.
_KEYED_RETRY_PAUSE_MS = 50


class SettingsView:
    """Index one settings revision by key and by route."""

    def __init__(
        self,
        revision: int,
        settings: SiteSettings,
        dialect: Dialect = NATIVE,
        splits: RouteSplits | None = None,
    ):
        self.revision = revision
        self.settings = settings
        self.keys = KeyIndex(settings)
        self.routes = RouteTable(settings, dialect, splits)


class Stages(NamedTuple):
    """Group the stages that communicate with other processes."""

    tokens: RateTokens
    claims: Claims
    permits: Permits
    forward: ForwardStage


class StageRefusal(NamedTuple):
    """Pair a refusal with the stage that raised it."""

    stage: str
    refusal: Refusal


class Pipeline:
    """Handle requests from admission to the reply."""

    def __init__(
        self,
        stages: Stages,
        admission: Admission,
        view: Callable[[], SettingsView | None],
        settings_age_ms: Callable[[], float],
        feed: FeedSignal,
        clock: Clock,
        new_budget: Callable[[], Budget] | None = None,
        dialect: Dialect = NATIVE,
    ):
        self._stages = stages
        self._admission = admission
        self._view = view
        self._settings_age_ms = settings_age_ms
        self._feed = feed
        self._clock = clock
        self._dialect = dialect
        # Without a factory of budgets, all services share one retry budget.
        self._new_budget = new_budget
        self._budget: Budget = RetryBudget()
        self._budgets: dict[str, Budget] = {}
        self._waits = RefusableWaits()

    def refuse_waiting(self) -> None:
        """Refuse the requests that wait to be sent, as no time is left for them."""
        self._waits.refuse_all(Refusal(ErrorKind.SHUTTING_DOWN))

    def handle(self, req: IncomingRequest) -> Reply:
        """Return the reply to a request.

        Raises CallerGoneError and TruncatedAnswerError.
        """
        result = self._admit(req)
        service = entry_metrics.UNROUTED
        routed = result.value_or(None)
        if routed is not None:
            service = routed.service.name
            outcome = self._run(routed)
        else:
            outcome = result
        if isinstance(outcome, Success):
            latency_s = (self._clock.now_ms() - req.received_ms) / 1000.0
            entry_metrics.count_answered(service, latency_s)
            return outcome.unwrap()
        refused = outcome.failure()
        kind = refused.refusal.kind
        entry_metrics.count_refused(service, refused.stage, kind.value)
        not_run = ERROR_ANSWERS[kind].not_run
        log_event(
            "request_refused" if not_run else "outcome_not_known",
            request=req.request_id,
            route=routed.route.name if routed is not None else "",
            workspace=routed.workspace if routed is not None else "",
            service=service,
            stage=refused.stage,
            kind=kind.value,
            detail=refused.refusal.detail,
            after_ms=round(self._clock.now_ms() - req.received_ms),
            settings_age_ms=round(min(self._settings_age_ms(), _LOGGED_AGE_MAX_MS)),
        )
        return replies.refusal_reply(refused.refusal, req.request_id, self._dialect)

    def _admit(self, req: IncomingRequest) -> Result[RoutedRequest, StageRefusal]:
        refusal = self._admission.refusal()
        if refusal is not None:
            return Failure(StageRefusal("admit", refusal))
        view = self._view()
        if view is None:
            return Failure(StageRefusal("admit", Refusal(ErrorKind.SETTINGS_STALE)))
        stale = self._admission.is_stale(self._settings_age_ms())
        identity: Result[str, Refusal] = (
            Failure(Refusal(ErrorKind.SETTINGS_STALE))
            if stale
            else authenticate(req, view.keys)
        )
        result = route(req, identity, view.routes).map(
            lambda routed: routed._replace(revision=view.revision)
        )
        if stale and not result.map(self._admission.may_run_stale).value_or(False):
            return Failure(StageRefusal("admit", Refusal(ErrorKind.SETTINGS_STALE)))
        return result.alt(lambda refusal: StageRefusal("route", refusal))

    def _run(self, routed: RoutedRequest) -> Result[Reply, StageRefusal]:
        admitted = self._waits.run(lambda: take_rate_token(routed, self._stages.tokens))
        if isinstance(admitted, Failure):
            return Failure(StageRefusal("rate", admitted.failure()))
        try:
            body = open_body(routed.req.body, routed.route.max_body_bytes)
        except RequestError as exc:
            return Failure(StageRefusal("body", exc.refusal))
        claimed = self._waits.run(lambda: self._stages.claims.begin(routed, body))
        if isinstance(claimed, Failure):
            return Failure(StageRefusal("claim", claimed.failure()))
        saved, claim = claimed.unwrap().saved, claimed.unwrap().claim
        if saved is not None:
            return Success(replies.replayed_reply(saved, routed.req.request_id))
        if claim is None:
            return self._run_attempts(routed, body)
        return self._run_claimed(routed, body, claim)

    def _run_claimed(
        self, routed: RoutedRequest, body: BodySource, claim: Claim
    ) -> Result[Reply, StageRefusal]:
        try:
            result = self._run_attempts(routed, body)
        except BaseException:
            self._stages.claims.end(claim, None)
            raise
        if isinstance(result, Failure):
            if ERROR_ANSWERS[result.failure().refusal.kind].not_run:
                self._stages.claims.forget(claim)
            else:
                self._stages.claims.end(claim, None)
            return result
        reply = result.unwrap()
        if reply.buffered_body is not None:
            saved = replies.saved_response(reply, reply.buffered_body)
            self._stages.claims.end(claim, saved)
            return result

        def on_close() -> None:
            reply.on_close()
            self._stages.claims.end(claim, None)

        chunks = self._save_streamed_body(reply, claim)
        return Success(reply._replace(chunks=chunks, on_close=on_close))

    def _save_streamed_body(self, reply: Reply, claim: Claim) -> Iterator[bytes]:
        """Stream a body to the caller and save a copy under the claim at its end."""
        saved = bytearray()
        for chunk in reply.chunks:
            if len(saved) <= replies.SAVED_RESPONSE_BYTES:
                saved += chunk
            yield chunk
        self._stages.claims.end(claim, replies.saved_response(reply, bytes(saved)))

    def _run_attempts(
        self, routed: RoutedRequest, body: BodySource
    ) -> Result[Reply, StageRefusal]:
        history = AttemptHistory()
        earlier: StageRefusal | None = None
        unknown: StageRefusal | None = None
        self._budget_for(routed).count_request(self._clock.now_ms())
        while True:
            result = self._run_attempt(routed, body, history)
            if isinstance(result, Success):
                self._log_response(routed, result.unwrap(), history)
                return result
            refused, failure = result.failure()
            if failure is not None and not failure.not_run:
                unknown = refused
            if failure is not None:
                _log_failure(routed, refused, failure, history)
            is_first = earlier is None
            if (
                failure is None
                or _attempts_exhausted(routed, history)
                or not self._may_retry(routed, body, failure, history, is_first)
            ):
                return Failure(unknown or _select_refusal(earlier, refused))
            earlier = refused
            entry_metrics.RETRIES.labels(routed.service.name, failure.outcome).inc()
            if routed.is_keyed:
                self._feed.wait(_KEYED_RETRY_PAUSE_MS)

    def _run_attempt(
        self, routed: RoutedRequest, body: BodySource, history: AttemptHistory
    ) -> Result[Reply, tuple[StageRefusal, AttemptFailure | None]]:
        permit = self._waits.run(lambda: self._stages.permits.acquire(routed, history))
        if isinstance(permit, Failure):
            return Failure((StageRefusal("permit", permit.failure()), None))
        running = permit.unwrap()
        history.upstream = running.permit.upstream
        refusal = self._refusal_under_new_settings(routed)
        if refusal is not None:
            self._stages.forward.release_unused(running)
            return Failure((StageRefusal("permit", refusal), None))
        running.may_abandon = partial(self._reserve_retry, routed, body, history)
        running.earlier_conns = history.conns
        result = self._stages.forward.attempt(routed, running, body)
        if running.conn is not None and running.conn.any_bytes_sent:
            history.conns.append(running.conn)
        if isinstance(result, Success):
            self._stages.permits.record_outcome(routed, running, fenced=False)
            result = self._receive(routed, result.unwrap())
        if isinstance(result, Success):
            running.is_passed_on = True
            return result
        failure = result.failure()
        if failure.outcome is AttemptOutcome.FENCED:
            self._stages.permits.record_outcome(routed, running, fenced=True)
        failure = failure._replace(upstream=running.permit.upstream)
        if not routed.is_keyed:
            history.excluded.append(running.permit.upstream)
        return Failure((StageRefusal("forward", failure.refusal), failure))

    def _refusal_under_new_settings(self, routed: RoutedRequest) -> Refusal | None:
        """Check a request again if the settings changed while it waited for a permit.

        Returns the refusal under the new settings, or None.
        """
        view = self._view()
        if view is None or view.revision == routed.revision:
            return None
        identity = authenticate(routed.req, view.keys)
        result = route(routed.req, identity, view.routes, routed.service.name)
        if isinstance(result, Failure):
            return result.failure()
        # An open route would still admit a request whose key was revoked, but as
        # anonymous; the request was sent under its workspace, so it is refused.
        if result.unwrap().workspace == routed.workspace:
            return None
        # A route that has become open needs no key, so the caller may come back.
        if result.unwrap().route.open and not routed.route.open:
            return Refusal(ErrorKind.SETTINGS_STALE, "the route became open")
        return Refusal(ErrorKind.UNAUTHENTICATED)

    def _receive(
        self, routed: RoutedRequest, response: UpstreamResponse
    ) -> Result[Reply, AttemptFailure]:
        request_id = routed.req.request_id
        try:
            if not replies.should_buffer(response):
                return Success(replies.streamed_reply(response, request_id))
            body = response.read_body(replies.CLOSE_DELIMITED_MAX_BYTES)
        except TruncatedAnswerError as exc:
            refusal = Refusal(ErrorKind.OUTCOME_UNKNOWN, str(exc))
            return Failure(AttemptFailure(refusal, AttemptOutcome.BROKEN, False))
        return Success(replies.buffered_reply(response, request_id, body))

    def _may_retry(
        self,
        routed: RoutedRequest,
        body: BodySource,
        failure: AttemptFailure,
        history: AttemptHistory,
        is_first: bool,
    ) -> bool:
        reserved, history.retry_reserved = history.retry_reserved, False
        now_ms = self._clock.now_ms()
        attempt = FailedAttempt(
            failure.not_run,
            routed.route.idempotent,
            body.can_be_resent,
            routed.deadline_ms - now_ms,
        )
        if not may_retry(attempt):
            return False
        if reserved:
            return True
        # FenceGuard already limits these to one per partition and interval. Charging
        # them to the retry budget would refuse requests whenever many partitions move.
        # Budgets per service are charged, since they count all attempts sent upstream.
        if failure.outcome is AttemptOutcome.FENCED and self._new_budget is None:
            return True
        # All requests in flight to a lost upstream fail at once and would exceed the
        # budget. The first retry after a failed connect is free: no upstream did work.
        if is_first and failure.outcome is AttemptOutcome.CONNECT_FAILED:
            return True
        return self._budget_for(routed).take(now_ms)

    def _reserve_retry(
        self, routed: RoutedRequest, body: BodySource, history: AttemptHistory
    ) -> bool:
        """Reserve a retry from the budget before a slow attempt is abandoned.

        Returns False while the entry shuts down, if the body is not buffered or if no
        retry is left. The attempt then continues; otherwise the request would fail
        while its upstream still works.
        """
        if self._admission.stopping or not body.can_be_resent:
            return False
        history.retry_reserved = self._budget_for(routed).take(self._clock.now_ms())
        return history.retry_reserved

    def _log_response(
        self, routed: RoutedRequest, reply: Reply, history: AttemptHistory
    ) -> None:
        """Log a response that is late, a server error, or took several attempts."""
        took_ms = self._clock.now_ms() - routed.req.received_ms
        is_late = 0 < routed.route.target_ms < took_ms
        if not is_late and history.sent < 2 and reply.status < _SERVER_ERROR_STATUS_MIN:
            return
        log_event(
            "request_answered",
            request=routed.req.request_id,
            route=routed.route.name,
            workspace=routed.workspace,
            service=routed.service.name,
            upstream=history.upstream,
            status=reply.status,
            took_ms=round(took_ms),
            target_ms=routed.route.target_ms,
            sent=history.sent,
            revision=routed.revision,
        )

    def _budget_for(self, routed: RoutedRequest) -> Budget:
        if self._new_budget is None:
            return self._budget
        name = routed.service.name
        if name not in self._budgets:
            self._budgets[name] = self._new_budget()
        return self._budgets[name]


def _attempts_exhausted(routed: RoutedRequest, history: AttemptHistory) -> bool:
    """Return True if the route's maximum number of attempts has been sent."""
    return 0 < routed.route.attempts <= history.sent


def _log_failure(
    routed: RoutedRequest,
    refused: StageRefusal,
    failure: AttemptFailure,
    history: AttemptHistory,
) -> None:
    log_event(
        "attempt_failed",
        request=routed.req.request_id,
        service=routed.service.name,
        upstream=failure.upstream,
        outcome=failure.outcome.value,
        not_run=failure.not_run,
        detail=refused.refusal.detail,
        attempt=history.last,
        sent=history.sent,
    )


def _select_refusal(earlier: StageRefusal | None, last: StageRefusal) -> StageRefusal:
    """Return the earlier refusal if the last one only states that the deadline passed.

    Used only for requests that were not run. After an attempt with an unknown outcome,
    the reply must not state "not run".
    """
    if earlier is None or last.refusal.kind is not ErrorKind.DEADLINE_UNREACHABLE:
        return last
    return earlier
