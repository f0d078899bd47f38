"""Answers of the control leader to the platform's operators and upstreams."""

import hashlib
import time
from collections.abc import Callable, Iterable
from enum import StrEnum

import gevent
import msgspec

from bergamotdrift import commands_log as cmd
from bergamotdrift import messages
from bergamotdrift.clock import Clock
from bergamotdrift.control_state import ControlState
from bergamotdrift.exceptions import CallError, ErrorKind
from bergamotdrift.leader_duties import LeaderDuties
from bergamotdrift.leadership import Leadership
from bergamotdrift.log import log_event
from bergamotdrift.messages import (
    Announcement,
    UpstreamRow,
    UpstreamState,
)
from bergamotdrift.operator_messages import LeaderCall, OperatorAnswer
from bergamotdrift.platform import site_config
from bergamotdrift.platform.decoding import WireError
from bergamotdrift.tables import UpstreamId

# A heartbeat counts only if it is answered within a second.
CONFIRM_TIMEOUT_MS = 800.0
_POLL_S = 0.004
_AUTHOR = "operator"
_ANNOUNCEMENT = msgspec.msgpack.Decoder(Announcement)

OK, INVALID, CONFLICT, UNAVAILABLE = 200, 400, 412, 503


class Action(StrEnum):
    """Name the calls that the leader answers."""

    REPLACE = "replace"
    UPDATE = "update"
    READ = "read"
    EVACUATE = "evacuate"
    TAKE_BACK = "take_back"
    ANNOUNCE = "announce"
    LEAVE = "leave"


class LeaderDesk:
    """Carry calls out while this replica leads."""

    def __init__(
        self,
        state: ControlState,
        leadership: Leadership,
        on_change: Callable[[], None],
        clock: Clock,
        zones: Iterable[str],
        heartbeat_address: str,
        tolerance: site_config.RateTolerance,
    ):
        self._state = state
        self._leadership = leadership
        self._on_change = on_change
        self._clock = clock
        self._zones = frozenset(zones)
        self._heartbeat_address = heartbeat_address
        self._tolerance = tolerance

    def answer(self, call: LeaderCall) -> OperatorAnswer:
        """Return the answer to a call; 503 unless this replica leads."""
        duties = self._leadership.duties()
        if duties is None:
            return _answer(UNAVAILABLE, "this replica does not lead")
        try:
            return self._carry_out(duties, call)
        except WireError as exc:
            log_event("platform_call_invalid", action=call.action, reason=str(exc))
            return _answer(INVALID, str(exc))
        except CallError as exc:
            return _answer(UNAVAILABLE, str(exc))

    def _carry_out(self, duties: LeaderDuties, call: LeaderCall) -> OperatorAnswer:
        action = Action(call.action)
        if action is Action.ANNOUNCE:
            return self._announce(duties, _ANNOUNCEMENT.decode(call.body))
        if action is Action.LEAVE:
            return self._leave(call.subject, call.body)
        if action is Action.READ:
            return self._read()
        if action in {Action.EVACUATE, Action.TAKE_BACK}:
            return self._evacuate(call.subject, action is Action.EVACUATE)
        return self._change(action, call.body)

    # Configuration

    def _change(self, action: Action, body: bytes) -> OperatorAnswer:
        fingerprint = hashlib.blake2b(body, digest_size=16).hexdigest()
        request = f"{action}-{fingerprint}"
        log = self._state.settings
        earlier = log.first_outcome(request, fingerprint)
        if earlier is not None and not earlier.kind:
            return _answer(OK)
        if action is Action.REPLACE:
            config = site_config.decode_config(body)
        else:
            patch = site_config.decode_patch(body)
            if patch.base_version != log.revision or not log.revision:
                return self._lost_race(patch.version, patch.base_version)
            config = site_config.patched(site_config.load(log.mapping), patch)
        settings = site_config.to_settings(config, self._zones, self._tolerance)
        if config.base_version != log.revision or config.version <= log.revision:
            return self._lost_race(config.version, config.base_version)
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
            return self._lost_race(config.version, config.base_version)
        return _answer(OK)

    def _lost_race(self, version: int, base_version: int) -> OperatorAnswer:
        current = self._state.settings.revision
        log_event(
            "settings_change_refused",
            version=version,
            base_revision=base_version,
            revision=current,
        )
        return _answer(CONFLICT, f"version {current} is in place")

    def _read(self) -> OperatorAnswer:
        log = self._state.settings
        if not log.revision:
            return _answer(UNAVAILABLE, "no configuration has been accepted yet")
        return OperatorAnswer(
            OK, site_config.encode_config(site_config.load(log.mapping))
        )

    # Zones and upstreams

    def _evacuate(self, zone: str, evacuated: bool) -> OperatorAnswer:
        if zone not in self._zones:
            return _answer(INVALID, "unknown zone")
        self._leadership.propose(cmd.SetEvacuation(zone, evacuated))
        self._on_change()
        return _answer(OK)

    def _announce(self, duties: LeaderDuties, item: Announcement) -> OperatorAnswer:
        reply = duties.announce(item, self._clock.now_ms())
        if reply.error:
            log_event(
                "announcement_refused",
                service=item.service,
                upstream=item.upstream,
                reason=reply.error,
            )
            known = self._state.settings.revision > 0
            return _answer(INVALID if known else UNAVAILABLE, reply.error)
        if duties.upstreams.has_changes():
            self._leadership.wake()
        if not self._wait_for(item):
            return _answer(UNAVAILABLE, "not confirmed in time")
        body = {"heartbeat_address": self._heartbeat_address}
        return OperatorAnswer(OK, msgspec.json.encode(body))

    def _wait_for(self, item: Announcement) -> bool:
        """Wait until what an upstream announced is committed."""
        end_ms = self._clock.now_ms() + CONFIRM_TIMEOUT_MS
        while not self._is_known(item):
            if self._clock.now_ms() >= end_ms or self._leadership.duties() is None:
                return False
            gevent.sleep(_POLL_S)
        return True

    def _is_known(self, item: Announcement) -> bool:
        key = UpstreamId(item.service, item.upstream)
        row = self._state.rows.upstreams.get(key)
        leaving = item.state is UpstreamState.LEAVING
        if row is None or row.incarnation != item.incarnation:
            # One that leaves before it was registered gets no requests anyway.
            return leaving
        return row.state is UpstreamState.LEAVING or not leaving

    def _leave(self, upstream: str, body: bytes) -> OperatorAnswer:
        born_ms = int(body) if body else None
        rows = [
            row._replace(state=UpstreamState.LEAVING)
            for row in self._state.rows.upstreams.rows()
            if row.upstream == upstream and _is_run(row, born_ms)
        ]
        if rows:
            self._leadership.propose(cmd.PutUpstreams(rows))
            self._on_change()
        return _answer(OK)


def _is_run(row: UpstreamRow, born_ms: int | None) -> bool:
    return born_ms is None or row.born_ms == born_ms


def pack(item: Announcement) -> bytes:
    """Return an announcement as the body of a call to the leader."""
    return messages.encode_plain(item)


def _answer(status: int, error: str = "") -> OperatorAnswer:
    body = {"error": error} if error else {}
    return OperatorAnswer(status, msgspec.json.encode(body))
