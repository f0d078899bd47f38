"""Log lines of requests and of their attempts."""

from bergamotdrift.log import log_event
from bergamotdrift.request import Reply, RoutedRequest
from bergamotdrift.stages.attempt_failure import AttemptFailure
from bergamotdrift.stages.permit import AttemptHistory
from bergamotdrift.stages.stages import StageRefusal

_SERVER_ERROR_STATUS_MIN = 500


def log_response(
    routed: RoutedRequest, reply: Reply, history: AttemptHistory, now_ms: float
) -> None:
    """Log a response that is late, a server error, or took several attempts."""
    took_ms = now_ms - routed.req.received_ms
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


def log_failure(
    routed: RoutedRequest,
    refused: StageRefusal,
    failure: AttemptFailure,
    history: AttemptHistory,
) -> None:
    """Log an attempt that failed."""
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
