"""Send attempts of a request until one succeeds or none may follow."""

from collections.abc import Callable
from functools import partial

from returns.result import Failure, Result, Success

from bergamotdrift import entry_metrics
from bergamotdrift.arbiter_messages import AttemptOutcome
from bergamotdrift.body_source import BodySource
from bergamotdrift.byte_budget import Pressure
from bergamotdrift.clock import Clock
from bergamotdrift.constants import CLOSE_DELIMITED_MAX_BYTES
from bergamotdrift.exceptions import (
    ErrorKind,
    Refusal,
    TruncatedAnswerError,
)
from bergamotdrift.feed_signal import FeedSignal
from bergamotdrift.refusable_waits import RefusableWaits
from bergamotdrift.request import Reply, RoutedRequest
from bergamotdrift.request_log import log_failure, log_response
from bergamotdrift.retries import Retries
from bergamotdrift.settings_view import SettingsView
from bergamotdrift.stages import reply as replies
from bergamotdrift.stages.attempt_failure import AttemptFailure
from bergamotdrift.stages.authenticate import authenticate
from bergamotdrift.stages.permit import AttemptHistory
from bergamotdrift.stages.route import route
from bergamotdrift.stages.stages import StageRefusal, Stages
from bergamotdrift.stages.upstream_response import UpstreamResponse

# A keyed service has no other upstream to retry at. The pause gives the partition's
# owner time to recover, or the feed time to announce a new one.
_KEYED_RETRY_PAUSE_MS = 50


class AttemptLoop:
    """Acquire permits, forward requests and repeat failed attempts."""

    def __init__(
        self,
        stages: Stages,
        view: Callable[[], SettingsView | None],
        feed: FeedSignal,
        clock: Clock,
        waits: RefusableWaits,
        retries: Retries,
    ):
        self._stages = stages
        self._view = view
        self._feed = feed
        self._clock = clock
        self._waits = waits
        self._retries = retries

    def run(
        self, routed: RoutedRequest, body: BodySource
    ) -> Result[Reply, StageRefusal]:
        """Return the reply to a request, or why it has none."""
        history = AttemptHistory()
        earlier: StageRefusal | None = None
        unknown: StageRefusal | None = None
        self._retries.count_request(routed)
        while True:
            result = self._run_attempt(routed, body, history)
            if isinstance(result, Success):
                log_response(routed, result.unwrap(), history, self._clock.now_ms())
                return result
            refused, failure = result.failure()
            if failure is not None and not failure.not_run:
                unknown = refused
            if failure is not None:
                log_failure(routed, refused, failure, history)
            is_first = earlier is None
            if (
                failure is None
                or _attempts_exhausted(routed, history)
                or not self._retries.may_retry(routed, body, failure, history, is_first)
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
        running.may_abandon = partial(self._retries.reserve, routed, body, history)
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
        buffered = routed.held.buffered
        try:
            if not _may_buffer(routed, response):
                return Success(replies.streamed_reply(response, request_id))
            body = response.read_body(CLOSE_DELIMITED_MAX_BYTES)
        except TruncatedAnswerError as exc:
            # The next attempt needs the room.
            routed.held.return_to(buffered)
            refusal = Refusal(ErrorKind.OUTCOME_UNKNOWN, str(exc))
            return Failure(AttemptFailure(refusal, AttemptOutcome.BROKEN, False))
        return Success(replies.buffered_reply(response, request_id, body))


def _may_buffer(routed: RoutedRequest, response: UpstreamResponse) -> bool:
    """Return True if a response is received whole; takes the room for it."""
    if not replies.should_buffer(response):
        return False
    if response.is_complete or response.length is None:
        return True
    return routed.held.take(response.length, Pressure.RESPONSE_NOT_BUFFERED)


def _attempts_exhausted(routed: RoutedRequest, history: AttemptHistory) -> bool:
    """Return True if the route's maximum number of attempts has been sent."""
    return 0 < routed.route.attempts <= history.sent


def _select_refusal(earlier: StageRefusal | None, last: StageRefusal) -> StageRefusal:
    """Return the earlier refusal if the last one only states that the deadline passed.

    Used only for requests that were not run. After an attempt with an unknown outcome,
    the reply must not state "not run".
    """
    if earlier is None or last.refusal.kind is not ErrorKind.DEADLINE_UNREACHABLE:
        return last
    return earlier
