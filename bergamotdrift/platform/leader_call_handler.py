"""Handling of the platform's operator and upstream calls on the control leader."""

import hashlib
import time
from collections.abc import Callable, Iterable
from enum import StrEnum
from typing import Any, NamedTuple

import gevent
import msgspec

from bergamotdrift import control_commands as cmd
from bergamotdrift import messages, rollout_orders
from bergamotdrift.clock import Clock
from bergamotdrift.config.schema import RolloutBounds
from bergamotdrift.control_state import ControlState
from bergamotdrift.ended_upstreams import EndedUpstream
from bergamotdrift.exceptions import CallError, ErrorKind
from bergamotdrift.feed_tables import UpstreamId
from bergamotdrift.leader_state import LeaderState
from bergamotdrift.leadership import Leadership
from bergamotdrift.log import log_event
from bergamotdrift.messages import (
    Announcement,
    UpstreamState,
)
from bergamotdrift.operator_messages import LeaderCall, OperatorAnswer
from bergamotdrift.platform import site_config
from bergamotdrift.platform.decoding import WireError
from bergamotdrift.platform.rollouts import decode_order
from bergamotdrift.range_delivery import HeldRanges, RangeDelivery
from bergamotdrift.rollout_schedule import initial_share
from bergamotdrift.upstream_sessions import end_of

# Upstreams count a heartbeat only if it is answered within 1 s.
COMMIT_TIMEOUT_MS = 800.0
_POLL_INTERVAL_S = 0.004
_AUTHOR = "operator"
_ANNOUNCEMENT = msgspec.msgpack.Decoder(Announcement)

OK, INVALID, CONFLICT, UNAVAILABLE = 200, 400, 412, 503
NOT_FOUND, ROLLOUT_CONFLICT = 404, 409
_ORDER_STATUS = {
    cmd.OrderResult.STARTED: OK,
    cmd.OrderResult.REPEATED: OK,
    cmd.OrderResult.CONFLICT: ROLLOUT_CONFLICT,
    cmd.OrderResult.UNKNOWN_SERVICE: NOT_FOUND,
    # The order may have been accepted before, so it must not be refused for good.
    cmd.OrderResult.SUPERSEDED: UNAVAILABLE,
}


class LeaderAction(StrEnum):
    """Name the calls that the leader handles."""

    REPLACE = "replace"
    UPDATE = "update"
    READ = "read"
    EVACUATE = "evacuate"
    END_EVACUATION = "take_back"
    ANNOUNCE = "announce"
    LEAVE = "leave"
    START_ROLLOUT = "start_rollout"
    READ_ROLLOUT = "read_rollout"
    LAST_ORDER = "last_order"


class OrderNumber(NamedTuple):
    """Hold the log index of the last accepted order on a subject, or 0."""

    number: int


class PlatformCallHandler:
    """Handle the platform's calls while this replica is the leader."""

    def __init__(
        self,
        state: ControlState,
        leadership: Leadership,
        on_change: Callable[[], None],
        clock: Clock,
        zones: Iterable[str],
        heartbeat_address: str,
        tolerance: site_config.RateTolerance,
        ranges: RangeDelivery,
        rollout: RolloutBounds | None = None,
    ):
        self._state = state
        self._leadership = leadership
        self._on_change = on_change
        self._clock = clock
        self._zones = frozenset(zones)
        self._heartbeat_address = heartbeat_address
        self._tolerance = tolerance
        self._ranges = ranges
        self._rollout = rollout

    def handle(self, call: LeaderCall) -> OperatorAnswer:
        """Handle a call; the answer is 503 unless this replica is the leader."""
        leader_state = self._leadership.leader_state()
        if leader_state is None:
            return _answer(UNAVAILABLE, "this replica is not the leader")
        try:
            return self._dispatch(leader_state, call)
        except WireError as exc:
            log_event("platform_call_invalid", action=call.action, reason=str(exc))
            return _answer(INVALID, str(exc))
        except CallError as exc:
            return _answer(UNAVAILABLE, str(exc))

    def _dispatch(self, leader_state: LeaderState, call: LeaderCall) -> OperatorAnswer:
        action = LeaderAction(call.action)
        if action is LeaderAction.ANNOUNCE:
            return self._announce(leader_state, _ANNOUNCEMENT.decode(call.body))
        if action is LeaderAction.LEAVE:
            return self._deregister(call.subject, call.body)
        if action is LeaderAction.READ:
            return self._read_config()
        if action is LeaderAction.LAST_ORDER:
            return self._last_order(LeaderAction(call.body.decode()), call.subject)
        if action is LeaderAction.START_ROLLOUT:
            return self._start_rollout(call)
        if action is LeaderAction.READ_ROLLOUT:
            return self._read_rollout(call.subject)
        if action in {LeaderAction.EVACUATE, LeaderAction.END_EVACUATION}:
            return self._evacuate(call, action is LeaderAction.EVACUATE)
        return self._change_config(action, call.body)

    # Configuration

    def _change_config(self, action: LeaderAction, body: bytes) -> OperatorAnswer:
        fingerprint = hashlib.blake2b(body, digest_size=16).hexdigest()
        request = f"{action}-{fingerprint}"
        log = self._state.settings
        recorded = log.recorded_outcome(request, fingerprint)
        if recorded is not None and not recorded.kind:
            return _answer(OK)
        if action is LeaderAction.REPLACE:
            config = site_config.decode_config(body)
        else:
            patch = site_config.decode_patch(body)
            if patch.base_version != log.revision or not log.revision:
                return self._version_conflict(patch.version, patch.base_version)
            config = site_config.apply_patch(site_config.load(log.mapping), patch)
        settings = site_config.to_settings(config, self._zones, self._tolerance)
        if config.base_version != log.revision or config.version <= log.revision:
            return self._version_conflict(config.version, config.base_version)
        outcome = self._leadership.propose(
            cmd.ApplySettings(
                request,
                _AUTHOR,
                config.base_version,
                int(time.time() * 1000),
                fingerprint,
                settings,
                site_config.dump(config),
                config.version,
            )
        )
        self._on_change()
        if outcome.kind == ErrorKind.REVISION_CONFLICT:
            return self._version_conflict(config.version, config.base_version)
        return _answer(OK)

    def _version_conflict(self, version: int, base_version: int) -> OperatorAnswer:
        current = self._state.settings.revision
        log_event(
            "settings_change_refused",
            version=version,
            base_revision=base_version,
            revision=current,
        )
        return _answer(CONFLICT, f"version {current} is the current version")

    def _read_config(self) -> OperatorAnswer:
        log = self._state.settings
        if not log.revision:
            return _answer(UNAVAILABLE, "no configuration has been accepted yet")
        return OperatorAnswer(
            OK, site_config.encode_config(site_config.load(log.mapping))
        )

    def _last_order(self, action: LeaderAction, subject: str) -> OperatorAnswer:
        if action is LeaderAction.START_ROLLOUT:
            number = rollout_orders.last_order(self._state.rows, subject)
        else:
            number = self._state.evacuations.last_order(subject)
        return OperatorAnswer(OK, msgspec.json.encode(OrderNumber(number)))

    # Rollouts

    def _start_rollout(self, call: LeaderCall) -> OperatorAnswer:
        order = decode_order(call.body)
        if self._rollout is None:
            return _answer(INVALID, "the settings state no bounds of rollouts")
        outcome = self._leadership.propose(
            cmd.StartRollout(
                order.service,
                order.target,
                order.duration_ms,
                int(time.time() * 1000),
                initial_share(self._rollout),
                call.previous_order,
            )
        )
        self._on_change()
        status = _ORDER_STATUS[outcome.result]
        return _answer(status, "" if status == OK else outcome.result.value)

    def _read_rollout(self, service: str) -> OperatorAnswer:
        row = self._state.rows.rollouts.get(service)
        if row is None:
            return _answer(NOT_FOUND, "there was no rollout of the service")
        body = {"state": row.state.value, "target": row.target}
        return OperatorAnswer(OK, msgspec.json.encode(body))

    # Zones and upstreams

    def _evacuate(self, call: LeaderCall, evacuated: bool) -> OperatorAnswer:
        zone = call.subject
        if zone not in self._zones:
            return _answer(INVALID, "unknown zone")
        order = cmd.SetEvacuation(zone, evacuated, call.previous_order)
        outcome = self._leadership.propose(order)
        if not outcome.accepted:
            log_event("evacuation_superseded", **order._asdict())
            return _answer(UNAVAILABLE, "a newer order on the zone was accepted")
        self._on_change()
        return _answer(OK)

    def _announce(
        self, leader_state: LeaderState, item: Announcement
    ) -> OperatorAnswer:
        received_ms = self._clock.now_ms()
        reply = leader_state.announce(item, received_ms)
        if reply.error:
            log_event(
                "announcement_refused",
                service=item.service,
                upstream=item.upstream,
                reason=reply.error,
            )
            has_settings = self._state.settings.revision > 0
            return _answer(INVALID if has_settings else UNAVAILABLE, reply.error)
        if leader_state.upstreams.has_changes():
            self._leadership.wake()
        if not self._wait_until_committed(item):
            return _answer(UNAVAILABLE, "the announcement was not committed in time")
        held = self._ranges.reply(leader_state, item, received_ms)
        body = {"heartbeat_address": self._heartbeat_address} | _held_fields(held)
        return OperatorAnswer(OK, msgspec.json.encode(body))

    def _wait_until_committed(self, item: Announcement) -> bool:
        """Wait until an announcement is committed.

        Return False after the timeout or if this replica is no longer the leader.
        """
        deadline_ms = self._clock.now_ms() + COMMIT_TIMEOUT_MS
        while not self._is_committed(item):
            if (
                self._clock.now_ms() >= deadline_ms
                or self._leadership.leader_state() is None
            ):
                return False
            gevent.sleep(_POLL_INTERVAL_S)
        return True

    def _is_committed(self, item: Announcement) -> bool:
        rows = self._state.rows
        row = rows.upstreams.get(UpstreamId(item.service, item.upstream))
        end = end_of(item)
        leaving = end is not None
        if end is not None and rows.ended.lacks(end):
            # A late heartbeat could register it still.
            return False
        if row is None:
            return leaving
        if row.incarnation != item.incarnation:
            # Requests to the earlier incarnation reach this one, at the same address.
            return False
        return row.state is UpstreamState.LEAVING or not leaving

    def _deregister(self, upstream: str, body: bytes) -> OperatorAnswer:
        if body:
            items = [EndedUpstream(upstream, "", int(body))]
        else:
            items = [
                EndedUpstream(upstream, row.incarnation, row.born_ms)
                for row in self._state.rows.upstreams.rows()
                if row.upstream == upstream
            ]
        # It may have been confirmed before, but then it changes nothing.
        if items:
            self._leadership.propose(cmd.EndUpstreams(items))
            self._on_change()
        return _answer(OK)


def _held_fields(held: HeldRanges | None) -> dict[str, Any]:
    """Return the fields of a reply that state what an upstream is to hold."""
    if held is None:
        return {}
    return {"holds": held.grants, "hold_time": f"{held.hold_ms}ms"}


def encode_announcement(item: Announcement) -> bytes:
    """Encode an announcement as the body of a call to the leader."""
    return messages.encode_unnamed(item)


def _answer(status: int, error: str = "") -> OperatorAnswer:
    body = {"error": error} if error else {}
    return OperatorAnswer(status, msgspec.json.encode(body))
