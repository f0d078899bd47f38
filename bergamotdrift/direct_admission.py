"""Admission of requests in direct dispatch, for sites without workspaces.

Load: nothing bounds the requests of such a site at their source. This module combines
the prediction, the decision and the leader's statement on overloaded upstreams for the
requests of one entry, and reports the decisions.
"""

import random
from collections.abc import Mapping

from bergamotdrift import entry_metrics
from bergamotdrift.config.schema import ServiceKind
from bergamotdrift.deadline_admission import (
    Decision,
    Kind,
    LessUrgentShare,
    Reason,
    RecentKinds,
    RequestTerms,
    decide,
)
from bergamotdrift.direct_load import DirectLoad
from bergamotdrift.direct_selection import Blocked, DirectSelector, QueueWait
from bergamotdrift.exceptions import ErrorKind, Refusal
from bergamotdrift.feed_tables import FeedTables
from bergamotdrift.finish_time import FinishTime, RouteWork, has_place, predict
from bergamotdrift.log import log_event
from bergamotdrift.overload import Draw
from bergamotdrift.rank_mix import RankMix
from bergamotdrift.request import RoutedRequest
from bergamotdrift.request_flood import RequestFlood
from bergamotdrift.retry_times import retry_after_ms

# Part of its target, or of its time if it has no target, for which a request is held.
# What is left must suffice for the upstream, or for another attempt of the caller.
HOLD_PART = 0.15
# A refusal always states a time to come back.
_RETRY_MIN_S = 0.001
_ERROR_KINDS = {Reason.DEADLINE: ErrorKind.DEADLINE_UNREACHABLE}


class DirectAdmission:
    """Decide at one entry which requests are sent to the selected upstream."""

    def __init__(self, selector: DirectSelector, rng: random.Random):
        self._selector = selector
        self._rng = rng
        self._work = RouteWork()
        self._kinds = RecentKinds()
        self._share = LessUrgentShare()
        self._mix = RankMix()
        self._flood = RequestFlood()

    def gate(
        self, routed: RoutedRequest, tables: FeedTables, now_ms: float
    ) -> tuple[Blocked | None, int]:
        """Return why a new request for a key is refused, and how many it counts for."""
        service, rank, key = (
            routed.service.name,
            rank_of(routed),
            int(routed.routing_key),
        )
        draw = Draw(routed.req.remote, service, key, rank)
        mix: Mapping[int, float] = self._mix.parts(service)
        owner, decision = self._selector.gate(routed, draw, mix, tables, now_ms)
        if not decision.admitted:
            text = f"full: {owner} is offered more than it can serve"
            return Blocked(text, QueueWait.NONE, None, Reason.OVERLOAD), 0
        self._mix.add(service, rank, decision.weight, now_ms)
        whole = int(decision.weight)
        is_rounded_up = self._rng.random() < decision.weight - whole
        return None, whole + is_rounded_up

    def check(
        self, routed: RoutedRequest, load: DirectLoad, now_ms: float
    ) -> Blocked | None:
        """Return why a request is not sent to an upstream, or None."""
        finish, decision = self._decide(routed, load, now_ms)
        if decision.admitted:
            return None
        reason = (
            f"full: {decision.reason}, {finish.wait_ms:.0f} ms to wait and"
            f" {finish.work_ms:.0f} ms of work at {load.describe(now_ms)}"
        )
        # A flood ends when its requests have been served, which no entry can foresee.
        is_flood = decision.reason is Reason.FLOOD
        room_ms = None if is_flood else now_ms + decision.room_in_ms
        return Blocked(reason, QueueWait.NONE, room_ms, decision.reason)

    def record_sent(
        self, routed: RoutedRequest, load: DirectLoad, permit: str, now_ms: float
    ) -> None:
        """Record a request that is about to be sent."""
        finish, decision = self._decide(routed, load, now_ms)
        silent_after_ms = float("inf")
        if finish.work_ms > 0.0:
            silent_after_ms = finish.silent_after_ms(load.slots)
        load.own.add(permit, silent_after_ms, now_ms)
        service, rank = routed.service.name, rank_of(routed)
        self._share.record(service, rank, decision.reason)
        entry_metrics.count_admission(service, decision.reason.value)
        if decision.reason in {Reason.LATE_HARMLESS, Reason.SHARE}:
            log_event(
                "request_admitted_late",
                request=routed.req.request_id,
                service=service,
                upstream=load.row.upstream,
                rank=rank,
                reason=decision.reason.value,
                wait_ms=round(finish.wait_ms),
                work_ms=round(finish.work_ms),
            )

    def record_answer(
        self,
        routed: RoutedRequest,
        load: DirectLoad,
        latency_ms: float,
        now_ms: float,
    ) -> None:
        """Record how long a response took."""
        name, work_ms = route_name(routed), load.without_queue(latency_ms)
        slowness = load.last_slowness
        self._work.record(name, work_ms / slowness, now_ms)
        if load.stated_requests is not None:
            self._flood.record_answer(routed.service.name, load.stated_requests, now_ms)
        load.speed.record(work_ms, slowness, self._work.mean_ms(name, now_ms))

    def is_late(self, routed: RoutedRequest, now_ms: float) -> bool:
        """Return whether a waiting request can't be answered on time any more."""
        target_ms = routed.route.target_ms
        if not target_ms:
            return False
        work_ms = self._work.mean_ms(route_name(routed), now_ms)
        return now_ms + work_ms > routed.req.received_ms + target_ms

    def refusal(
        self,
        routed: RoutedRequest,
        blocked: Blocked,
        held_ms: float | None,
        now_ms: float,
    ) -> Refusal:
        """Return the refusal of a request, and report its reason."""
        left_ms = routed.deadline_ms - now_ms
        free_at_ms = blocked.free_at_ms
        room_in_ms = None if free_at_ms is None else free_at_ms - now_ms
        retry_s = retry_after_ms(room_in_ms, left_ms, self._rng) / 1000.0
        retry_s = max(_RETRY_MIN_S, retry_s)
        otherwise = Reason.BLOCKED if held_ms is None else Reason.HELD
        reason = blocked.cause or otherwise
        service, rank = routed.service.name, rank_of(routed)
        self._share.record(service, rank, reason)
        entry_metrics.count_admission(service, reason.value)
        log_event(
            "admission_refused",
            request=routed.req.request_id,
            route=routed.route.name,
            service=service,
            rank=rank,
            reason=reason.value,
            detail=blocked.reason,
            held_ms=round(held_ms or 0.0),
            left_ms=round(left_ms),
            target_ms=routed.route.target_ms,
            retry_after_ms=round(1000.0 * retry_s),
        )
        kind = ErrorKind.QUEUE_FULL
        if "full" not in blocked.reason:
            kind = ErrorKind.NO_UPSTREAM
        kind = _ERROR_KINDS.get(reason, kind)
        suffix = "" if held_ms is None else f" for {held_ms:.0f} ms"
        return Refusal(kind, blocked.reason + suffix, retry_s)

    def _decide(
        self, routed: RoutedRequest, load: DirectLoad, now_ms: float
    ) -> tuple[FinishTime, Decision]:
        service, rank, name = (
            routed.service.name,
            rank_of(routed),
            route_name(routed),
        )
        target_ms = routed.route.target_ms
        work_ms = self._work.mean_ms(name, now_ms)
        self._kinds.record(service, name, Kind(rank, target_ms, work_ms), now_ms)
        view = load.view(now_ms)
        finish = predict(view, work_ms)
        if not has_place(view):
            return finish, Decision(False, Reason.QUEUE, finish.wait_ms)
        own = self._selector.own_requests(service, now_ms)
        ratio = self._selector.entries_per_upstream(service)
        if self._flood.is_flooded(service, own, ratio, load.slots, now_ms):
            return finish, Decision(False, Reason.FLOOD)
        if not work_ms:
            return finish, Decision(True, Reason.UNKNOWN)
        target_left_ms = routed.req.received_ms + target_ms - now_ms
        terms = RequestTerms(
            rank,
            target_left_ms if target_ms else None,
            routed.deadline_ms - now_ms,
        )
        kinds = self._kinds.of(service, now_ms)
        decision = decide(finish, terms, kinds, load.slots)
        return finish, self._share.apply(service, rank, decision)


def hold_end_ms(routed: RoutedRequest, started_ms: float) -> float:
    """Return until when a request that began to wait at `started_ms` is held."""
    left_ms = routed.deadline_ms - started_ms
    return started_ms + HOLD_PART * min(left_ms, routed.route.target_ms or left_ms)


def may_repeat(
    routed: RoutedRequest, silent_after_ms: float, left_ms: float, has_other: bool
) -> bool:
    """Return whether an attempt without an answer after this time is repeated.

    A key has only one upstream. There, the attempt is repeated on a new connection if
    as much time is left for that.
    """
    if routed.service.kind is ServiceKind.RANGED:
        return 2.0 * silent_after_ms < left_ms
    return has_other and silent_after_ms < left_ms


def rank_of(routed: RoutedRequest) -> int:
    """Return the rank of a request; a lower one is more urgent."""
    if routed.rank is not None:
        return routed.rank
    return routed.route.rank


def route_name(routed: RoutedRequest) -> str:
    """Return the name of a request's route, or its path if it has none."""
    return routed.route.name or routed.route.path
