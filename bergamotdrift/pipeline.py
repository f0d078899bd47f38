"""Pass a request through the stages, with retries within rules and budget."""

from collections.abc import Callable, Iterator
from functools import partial
from typing import NamedTuple

from returns.result import Failure, Result, Success

from bergamotdrift import entry_metrics
from bergamotdrift.admission import Admission, is_stale, may_deny, may_run_stale
from bergamotdrift.arbiter_messages import AttemptOutcome
from bergamotdrift.body_source import BodySource, open_body
from bergamotdrift.clock import Clock
from bergamotdrift.config.schema import SiteSettings
from bergamotdrift.dialect import NATIVE, Dialect
from bergamotdrift.exceptions import (
    ANSWERS,
    ErrorKind,
    Refusal,
    RequestError,
    TruncatedAnswerError,
)
from bergamotdrift.feed_signal import FeedSignal
from bergamotdrift.log import log_event
from bergamotdrift.request import IncomingRequest, Reply, RoutedRequest
from bergamotdrift.retry_policy import Attempt, Budget, RetryBudget, may_repeat
from bergamotdrift.route_split import RouteSplits
from bergamotdrift.stages import reply as answers
from bergamotdrift.stages.authenticate import KeyIndex, authenticate
from bergamotdrift.stages.claim import Claim, Claims
from bergamotdrift.stages.forward import AttemptFailure, ForwardStage, UpstreamAnswer
from bergamotdrift.stages.permit import AttemptNumbers, Permits
from bergamotdrift.stages.rate import RateTokens, take_rate_token
from bergamotdrift.stages.route import RouteTable, route

_AGE_SHOWN_MAX_MS = 1e9
_FAILED_STATUS = 500
# A keyed service has no other upstream to turn to; a short pause gives the owner
# or the feed time to change.
_KEYED_RETRY_PAUSE_MS = 50


class SettingsView:
    """Hold the look-up tables of one settings revision."""

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
    """Hold the stages that use other processes."""

    tokens: RateTokens
    claims: Claims
    permits: Permits
    forward: ForwardStage


class Stopped(NamedTuple):
    """Name the stage that ended a request and why."""

    stage: str
    refusal: Refusal


class Pipeline:
    """Answer requests."""

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
        # Without a budget for each service, all services share one.
        self._new_budget = new_budget
        self._budget: Budget = RetryBudget()
        self._budgets: dict[str, Budget] = {}

    def handle(self, req: IncomingRequest) -> Reply:
        """Return the reply; raises CallerGoneError and TruncatedAnswerError."""
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
        stopped = outcome.failure()
        kind = stopped.refusal.kind
        entry_metrics.count_refused(service, stopped.stage, kind.value)
        not_run = ANSWERS[kind].not_run
        log_event(
            "request_refused" if not_run else "outcome_not_known",
            request=req.request_id,
            route=routed.route.name if routed is not None else "",
            workspace=routed.workspace if routed is not None else "",
            service=service,
            stage=stopped.stage,
            kind=kind.value,
            detail=stopped.refusal.detail,
            after_ms=round(self._clock.now_ms() - req.received_ms),
            settings_age_ms=round(min(self._settings_age_ms(), _AGE_SHOWN_MAX_MS)),
        )
        return answers.refusal_reply(stopped.refusal, req.request_id, self._dialect)

    def _admit(self, req: IncomingRequest) -> Result[RoutedRequest, Stopped]:
        refusal = self._admission.refusal()
        if refusal is not None:
            return Failure(Stopped("admit", refusal))
        view = self._view()
        if view is None:
            return Failure(Stopped("admit", Refusal(ErrorKind.SETTINGS_STALE)))
        stale = is_stale(self._settings_age_ms())
        identity: Result[str, Refusal] = (
            Failure(Refusal(ErrorKind.SETTINGS_STALE))
            if stale
            else authenticate(req, view.keys)
        )
        result = route(req, identity, view.routes).map(
            lambda routed: routed._replace(revision=view.revision)
        )
        denied = isinstance(result, Failure)
        if denied and not may_deny(self._settings_age_ms()):
            return Failure(Stopped("admit", Refusal(ErrorKind.SETTINGS_STALE)))
        if stale and not result.map(may_run_stale).value_or(False):
            return Failure(Stopped("admit", Refusal(ErrorKind.SETTINGS_STALE)))
        return result.alt(lambda refusal: Stopped("route", refusal))

    def _run(self, routed: RoutedRequest) -> Result[Reply, Stopped]:
        admitted = take_rate_token(routed, self._stages.tokens)
        if isinstance(admitted, Failure):
            return Failure(Stopped("rate", admitted.failure()))
        try:
            body = open_body(routed.req.body, routed.route.max_body_bytes)
        except RequestError as exc:
            return Failure(Stopped("body", exc.refusal))
        claimed = self._stages.claims.begin(routed, body)
        if isinstance(claimed, Failure):
            return Failure(Stopped("claim", claimed.failure()))
        saved, claim = claimed.unwrap().saved, claimed.unwrap().claim
        if saved is not None:
            return Success(answers.replayed_reply(saved, routed.req.request_id))
        if claim is None:
            return self._attempts(routed, body)
        return self._run_claimed(routed, body, claim)

    def _run_claimed(
        self, routed: RoutedRequest, body: BodySource, claim: Claim
    ) -> Result[Reply, Stopped]:
        try:
            result = self._attempts(routed, body)
        except BaseException:
            self._stages.claims.end(claim, None)
            raise
        if isinstance(result, Failure):
            if ANSWERS[result.failure().refusal.kind].not_run:
                self._stages.claims.forget(claim)
            else:
                self._stages.claims.end(claim, None)
            return result
        reply = result.unwrap()
        if reply.whole is not None:
            saved = answers.saved_answer(reply, reply.whole)
            self._stages.claims.end(claim, saved)
            return result

        def on_close() -> None:
            reply.on_close()
            self._stages.claims.end(claim, None)

        chunks = self._recorded(reply, claim)
        return Success(reply._replace(chunks=chunks, on_close=on_close))

    def _recorded(self, reply: Reply, claim: Claim) -> Iterator[bytes]:
        """Pass a streamed body on and close the claim with it."""
        kept = bytearray()
        for piece in reply.chunks:
            if len(kept) <= answers.SAVED_ANSWER_BYTES:
                kept += piece
            yield piece
        self._stages.claims.end(claim, answers.saved_answer(reply, bytes(kept)))

    def _attempts(
        self, routed: RoutedRequest, body: BodySource
    ) -> Result[Reply, Stopped]:
        numbers = AttemptNumbers()
        earlier: Stopped | None = None
        unknown: Stopped | None = None
        self._budget_of(routed).count_request(self._clock.now_ms())
        while True:
            result = self._attempt(routed, body, numbers)
            if isinstance(result, Success):
                self._log_answer(routed, result.unwrap(), numbers)
                return result
            stopped, failure = result.failure()
            if failure is not None and not failure.not_run:
                unknown = stopped
            if failure is not None:
                _log_failure(routed, stopped, failure, numbers)
            is_first = earlier is None
            if (
                failure is None
                or _used_up(routed, numbers)
                or not self._may_repeat(routed, body, failure, numbers, is_first)
            ):
                return Failure(unknown or _most_telling(earlier, stopped))
            earlier = stopped
            entry_metrics.RETRIES.labels(routed.service.name, failure.outcome).inc()
            if routed.is_keyed:
                self._feed.wait(_KEYED_RETRY_PAUSE_MS)

    def _attempt(
        self, routed: RoutedRequest, body: BodySource, numbers: AttemptNumbers
    ) -> Result[Reply, tuple[Stopped, AttemptFailure | None]]:
        permit = self._stages.permits.acquire(routed, numbers)
        if isinstance(permit, Failure):
            return Failure((Stopped("permit", permit.failure()), None))
        running = permit.unwrap()
        numbers.upstream = running.permit.upstream
        refusal = self._refusal_by_new_settings(routed)
        if refusal is not None:
            self._stages.forward.give_back(running)
            return Failure((Stopped("permit", refusal), None))
        running.may_give_up = partial(self._take_repeat, routed, body, numbers)
        result = self._stages.forward.attempt(routed, running, body)
        if running.conn is not None and running.conn.bytes_left:
            numbers.sent += 1
        if isinstance(result, Success):
            self._stages.permits.note_outcome(routed, running, fenced=False)
            result = self._receive(routed, result.unwrap())
        if isinstance(result, Success):
            return result
        failure = result.failure()
        if failure.outcome is AttemptOutcome.FENCED:
            self._stages.permits.note_outcome(routed, running, fenced=True)
        failure = failure._replace(upstream=running.permit.upstream)
        if not routed.is_keyed:
            numbers.excluded.append(running.permit.upstream)
        return Failure((Stopped("forward", failure.refusal), failure))

    def _refusal_by_new_settings(self, routed: RoutedRequest) -> Refusal | None:
        """Return why a request that waited may no longer run, or None."""
        view = self._view()
        if view is None or view.revision == routed.revision:
            return None
        identity = authenticate(routed.req, view.keys)
        result = route(routed.req, identity, view.routes, routed.service.name)
        if isinstance(result, Failure):
            return result.failure()
        # An open route admits a request whose key was withdrawn only as anonymous.
        same = result.unwrap().workspace == routed.workspace
        return None if same else Refusal(ErrorKind.UNAUTHENTICATED)

    def _receive(
        self, routed: RoutedRequest, answer: UpstreamAnswer
    ) -> Result[Reply, AttemptFailure]:
        request_id = routed.req.request_id
        if not answers.is_small(answer):
            return Success(answers.streamed_reply(answer, request_id))
        try:
            body = b"".join(answer.pieces())
        except TruncatedAnswerError as exc:
            refusal = Refusal(ErrorKind.OUTCOME_UNKNOWN, str(exc))
            return Failure(AttemptFailure(refusal, AttemptOutcome.BROKEN, False))
        return Success(answers.whole_reply(answer, request_id, body))

    def _may_repeat(
        self,
        routed: RoutedRequest,
        body: BodySource,
        failure: AttemptFailure,
        numbers: AttemptNumbers,
        is_first: bool,
    ) -> bool:
        taken, numbers.repeat_taken = numbers.repeat_taken, False
        now_ms = self._clock.now_ms()
        attempt = Attempt(
            failure.not_run,
            routed.route.idempotent,
            body.can_be_resent,
            routed.deadline_ms - now_ms,
        )
        if not may_repeat(attempt):
            return False
        if taken:
            return True
        # The fence guard already bounds these to one per partition and interval; a
        # share of the budget would refuse work each time many partitions move. A budget
        # for each service, though, counts all that reaches the upstreams.
        if failure.outcome is AttemptOutcome.FENCED and self._new_budget is None:
            return True
        # All requests that were on their way when an upstream was lost fail at once,
        # more than the budget holds; one retry each costs no upstream any work.
        if is_first and failure.outcome is AttemptOutcome.CONNECT_FAILED:
            return True
        return self._budget_of(routed).take(now_ms)

    def _take_repeat(
        self, routed: RoutedRequest, body: BodySource, numbers: AttemptNumbers
    ) -> bool:
        """Take a repeat for an attempt that is slow, unless the entry stops.

        Without one, the request would fail while its upstream is at work on it.
        """
        if self._admission.stopping or not body.can_be_resent:
            return False
        numbers.repeat_taken = self._budget_of(routed).take(self._clock.now_ms())
        return numbers.repeat_taken

    def _log_answer(
        self, routed: RoutedRequest, reply: Reply, numbers: AttemptNumbers
    ) -> None:
        """Log an answer that is late, failed or took several attempts."""
        took_ms = self._clock.now_ms() - routed.req.received_ms
        is_late = 0 < routed.route.target_ms < took_ms
        if not is_late and numbers.sent < 2 and reply.status < _FAILED_STATUS:
            return
        log_event(
            "request_answered",
            request=routed.req.request_id,
            route=routed.route.name,
            workspace=routed.workspace,
            service=routed.service.name,
            upstream=numbers.upstream,
            status=reply.status,
            took_ms=round(took_ms),
            target_ms=routed.route.target_ms,
            sent=numbers.sent,
            revision=routed.revision,
        )

    def _budget_of(self, routed: RoutedRequest) -> Budget:
        if self._new_budget is None:
            return self._budget
        name = routed.service.name
        if name not in self._budgets:
            self._budgets[name] = self._new_budget()
        return self._budgets[name]


def _used_up(routed: RoutedRequest, numbers: AttemptNumbers) -> bool:
    """Tell whether the route allows no further attempt."""
    return 0 < routed.route.attempts <= numbers.sent


def _log_failure(
    routed: RoutedRequest,
    stopped: Stopped,
    failure: AttemptFailure,
    numbers: AttemptNumbers,
) -> None:
    log_event(
        "attempt_failed",
        request=routed.req.request_id,
        service=routed.service.name,
        upstream=failure.upstream,
        outcome=failure.outcome.value,
        not_run=failure.not_run,
        detail=stopped.refusal.detail,
        attempt=numbers.last,
        sent=numbers.sent,
    )


def _most_telling(earlier: Stopped | None, last: Stopped) -> Stopped:
    """Return why an earlier attempt failed if after it only time ran out.

    Only for requests that were not run: after an attempt of unknown outcome, a later
    refusal must not state "not run".
    """
    if earlier is None or last.refusal.kind is not ErrorKind.DEADLINE_UNREACHABLE:
        return last
    return earlier
