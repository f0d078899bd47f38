"""Run requests through the stages of the entry."""

from collections.abc import Callable, Iterator

from returns.result import Failure, Result, Success

from bergamotdrift import entry_metrics
from bergamotdrift.admission import Admission
from bergamotdrift.attempt_loop import AttemptLoop
from bergamotdrift.body_source import BodySource, open_body
from bergamotdrift.byte_budget import ByteBudget, HeldBytes
from bergamotdrift.clock import Clock
from bergamotdrift.dialect import NATIVE, Dialect
from bergamotdrift.entry_memory import new_budget as new_byte_budget
from bergamotdrift.exceptions import (
    ERROR_ANSWERS,
    ErrorKind,
    Refusal,
    RequestError,
)
from bergamotdrift.feed_signal import FeedSignal
from bergamotdrift.log import log_event
from bergamotdrift.refusable_waits import RefusableWaits
from bergamotdrift.request import IncomingRequest, Reply, RoutedRequest
from bergamotdrift.retries import Retries
from bergamotdrift.retry_policy import Budget
from bergamotdrift.settings_view import SettingsView
from bergamotdrift.stages import reply as replies
from bergamotdrift.stages.authenticate import authenticate
from bergamotdrift.stages.claim import IDEMPOTENCY_HEADER, Claim
from bergamotdrift.stages.rate import take_rate_token
from bergamotdrift.stages.route import route
from bergamotdrift.stages.stages import StageRefusal, Stages

_LOGGED_AGE_MAX_MS = 1e9


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
        budget: ByteBudget | None = None,
    ):
        self._stages = stages
        self._admission = admission
        self._view = view
        self._settings_age_ms = settings_age_ms
        self._clock = clock
        self._dialect = dialect
        self._budget = new_byte_budget() if budget is None else budget
        self._waits = RefusableWaits()
        retries = Retries(admission, clock, new_budget)
        self._attempts = AttemptLoop(stages, view, feed, clock, self._waits, retries)

    def refuse_waiting(self) -> None:
        """Refuse the requests that wait to be sent, as no time is left for them."""
        self._waits.refuse_all(Refusal(ErrorKind.SHUTTING_DOWN))

    def handle(self, req: IncomingRequest) -> Reply:
        """Return the reply to a request.

        Raises CallerGoneError and TruncatedAnswerError.
        """
        held = self._budget.open()
        try:
            reply = self._handle(req, held)
        except BaseException:
            held.close()
            raise
        on_close = reply.on_close

        def close() -> None:
            held.close()
            on_close()

        return reply._replace(on_close=close)

    def _handle(self, req: IncomingRequest, held: HeldBytes) -> Reply:
        result = self._admit(req).map(lambda routed: routed._replace(held=held))
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
            body = open_body(
                routed.req.body,
                routed.route.max_body_bytes,
                routed.held,
                needs_whole=routed.req.header(IDEMPOTENCY_HEADER.lower()) is not None,
            )
        except RequestError as exc:
            return Failure(StageRefusal("body", exc.refusal))
        claimed = self._waits.run(lambda: self._stages.claims.begin(routed, body))
        if isinstance(claimed, Failure):
            return Failure(StageRefusal("claim", claimed.failure()))
        saved, claim = claimed.unwrap().saved, claimed.unwrap().claim
        if saved is not None:
            return Success(replies.replayed_reply(saved, routed.req.request_id))
        if claim is None:
            return self._attempts.run(routed, body)
        return self._run_claimed(routed, body, claim)

    def _run_claimed(
        self, routed: RoutedRequest, body: BodySource, claim: Claim
    ) -> Result[Reply, StageRefusal]:
        try:
            result = self._attempts.run(routed, body)
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
