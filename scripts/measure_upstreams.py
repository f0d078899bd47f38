"""Model of upstreams: slots, service times, cold start, stragglers and crashes."""

import random
from collections import deque
from collections.abc import Callable

from bergamotdrift.arbiter_messages import (
    NO_PARTITION,
    AttemptOutcome,
)
from bergamotdrift.config.schema import (
    Fencing,
    ServiceKind,
    ServiceSettings,
    ZoneState,
)
from bergamotdrift.messages import (
    Announcement,
    AnnouncementReply,
    PartitionEpoch,
    UpstreamState,
)
from bergamotdrift.observations import LoadHint
from scripts.measure_loop import EventLoop
from scripts.measure_sites import Site

OutcomeCallback = Callable[[AttemptOutcome], None]
_OVERLOAD_MS = 1000.0
_STRAGGLER_SLOWDOWN = 8.0
_LOAD_REPORT_AGE_MS = 2000.0
# The zone's VMs are powered off this long after operators take it out of service.
_POWER_OFF_DELAY_MS = 4000.0
_POWER_ON_LEAD_MS = 1000.0
_RESTART_DURATION_MS = 400.0
# The minimum time between announcements that fenced requests trigger.
_EARLY_ANNOUNCEMENT_INTERVAL_MS = 50.0


class Work:
    """Represent one request at an upstream."""

    __slots__ = ("is_finished", "on_outcome", "partition", "work_ms")

    def __init__(self, work_ms: float, partition: int, on_outcome: OutcomeCallback):
        self.work_ms = work_ms
        self.partition = partition
        self.on_outcome = on_outcome
        self.is_finished = False


class Upstream:
    """Serve requests within slots; become overloaded by too many in a cold start."""

    def __init__(self, loop: EventLoop, service: ServiceSettings, name: str, zone: str):
        self._loop = loop
        self.service = service
        self.name, self.zone = name, zone
        self.incarnation = 1
        self.is_up = True
        self.slowdown = 1.0
        self.cold_overshoot = 0
        self.cold_arrivals = 0
        self.started: list[float] = []
        self._cold_since_ms = float("-inf")
        self._overloaded_until_ms = 0.0
        # A dict keeps the order of arrival, so that runs with the same seed are equal.
        self._running: dict[Work, None] = {}
        self._queue: deque[Work] = deque()
        self._history: deque[tuple[float, int]] = deque()
        self._grants: set[PartitionEpoch] = set()
        self._lease_end_ms = 0.0
        self._last_early_announcement_ms = float("-inf")
        self._releasing: set[PartitionEpoch] = set()
        self._released: list[PartitionEpoch] = []
        self.announce: Callable[[], None] = lambda: None

    @property
    def in_flight(self) -> int:
        """Return the number of running and queued requests."""
        return len(self._running) + len(self._queue)

    def capacity(self) -> int:
        """Return the number of concurrent requests that the upstream can run now."""
        cold, slots = self.service.cold_start, self.service.slots
        warm_fraction = (self._loop.now_ms - self._cold_since_ms) / (
            cold.ramp_s * 1000.0
        )
        if warm_fraction >= 1.0:
            return slots
        return max(
            1, int(cold.initial_slots + (slots - cold.initial_slots) * warm_fraction)
        )

    def arrive(self, work: Work, epoch: int) -> None:
        """Accept or refuse a request; `work.on_outcome` gets its outcome."""
        if work.is_finished:
            # The request was cancelled before it arrived.
            return
        refusal = self._refusal_outcome(work, epoch)
        if refusal is not None:
            work.is_finished = True
            work.on_outcome(refusal)
            return
        self.started.append(self._loop.now_ms)
        if len(self._running) < self.service.slots:
            self._start(work)
        else:
            self._queue.append(work)

    def cancel(self, work: Work) -> None:
        """Cancel a running or queued request."""
        if not work.is_finished:
            work.is_finished = True
            self._running.pop(work, None)
            if work in self._queue:
                self._queue.remove(work)
            self._start_next()

    def crash(self) -> None:
        """Go down and break all running and queued requests."""
        self.is_up = False
        interrupted = [*self._running, *self._queue]
        self._running.clear()
        self._queue.clear()
        for work in interrupted:
            work.is_finished = True
            work.on_outcome(AttemptOutcome.BROKEN)

    def restart(self) -> None:
        """Start as a new incarnation, cold and without grants."""
        self.is_up = True
        self.incarnation += 1
        self.slowdown = 1.0
        self._cold_since_ms = self._loop.now_ms
        self._overloaded_until_ms = 0.0
        self._grants, self._lease_end_ms = set(), 0.0
        self._releasing, self._released = set(), []

    def announcement(self) -> Announcement:
        """Return the upstream's current announcement."""
        self._collect_released()
        is_cold = self.capacity() < self.service.slots
        state = UpstreamState.COLD if is_cold else UpstreamState.READY
        return Announcement(
            self.service.name,
            self.name,
            "192.0.2.1:80",
            self.zone,
            f"i{self.incarnation}",
            state,
            list(self._released),
        )

    def on_reply(
        self, reply: AnnouncementReply, sent_ms: float, incarnation: int
    ) -> None:
        """Apply the grants and releases of a reply to an announcement."""
        if reply.error or incarnation != self.incarnation or not self.is_up:
            return
        self._lease_end_ms = sent_ms + reply.lease_ms
        self._grants = set(reply.grants)
        self._releasing |= set(reply.release) - set(self._released)
        self._released = [item for item in self._released if item in reply.release]
        self._announce_released()

    def load_report(self) -> LoadHint | None:
        """Return the load of two seconds ago, or None while the upstream is down."""
        now_ms = self._loop.now_ms
        self._history.append((now_ms, self.in_flight))
        while (
            len(self._history) > 1
            and self._history[1][0] <= now_ms - _LOAD_REPORT_AGE_MS
        ):
            self._history.popleft()
        if not self.is_up:
            return None
        return LoadHint(
            self._history[0][1], self.service.slots, UpstreamState.READY, now_ms
        )

    def _announce_released(self) -> None:
        """Announce at once if the release of a partition has finished."""
        count = len(self._released)
        self._collect_released()
        if len(self._released) > count:
            self.announce()

    def _collect_released(self) -> None:
        running = {work.partition for work in self._running}
        running |= {work.partition for work in self._queue}
        for item in sorted(self._releasing):
            if item.partition not in running:
                self._releasing.discard(item)
                self._released.append(item)

    def _refusal_outcome(self, work: Work, epoch: int) -> AttemptOutcome | None:
        now_ms = self._loop.now_ms
        if not self.is_up:
            return AttemptOutcome.CONNECT_FAILED
        if now_ms < self._overloaded_until_ms:
            return AttemptOutcome.SHED
        if work.partition != NO_PARTITION and self._is_fenced(work.partition, epoch):
            self._announce_early()
            return AttemptOutcome.FENCED
        capacity = self.capacity()
        if capacity < self.service.slots:
            self.cold_arrivals += 1
            if self.in_flight >= capacity:
                self._enter_overload()
                return AttemptOutcome.SHED
        if self.in_flight >= 3 * self.service.slots:
            return AttemptOutcome.SHED
        return None

    def _announce_early(self) -> None:
        """Announce at once after a fenced request, to get a missing grant early."""
        if (
            self._loop.now_ms - self._last_early_announcement_ms
            >= _EARLY_ANNOUNCEMENT_INTERVAL_MS
        ):
            self._last_early_announcement_ms = self._loop.now_ms
            self.announce()

    def _is_fenced(self, partition: int, epoch: int) -> bool:
        if self.service.fencing is not Fencing.EPOCH:
            return False
        held = PartitionEpoch(partition, epoch)
        return held not in self._grants or self._loop.now_ms >= self._lease_end_ms

    def _enter_overload(self) -> None:
        """Shed requests for a while and lose half of the cold-start progress."""
        now_ms = self._loop.now_ms
        self.cold_overshoot += 1
        self._overloaded_until_ms = now_ms + _OVERLOAD_MS
        warmed_ms = (now_ms - self._cold_since_ms) / 2
        self._cold_since_ms = self._overloaded_until_ms - warmed_ms

    def _start(self, work: Work) -> None:
        self._running[work] = None
        overload_ms = max(0.0, self._overloaded_until_ms - self._loop.now_ms)
        self._loop.call_later(
            work.work_ms * self.slowdown + overload_ms, self._end, work
        )

    def _end(self, work: Work) -> None:
        if work.is_finished:
            return
        work.is_finished = True
        self._running.pop(work, None)
        work.on_outcome(AttemptOutcome.ANSWERED)
        self._start_next()
        if self._releasing:
            self._announce_released()

    def _start_next(self) -> None:
        while self._queue and len(self._running) < self.service.slots:
            self._start(self._queue.popleft())


class Fleet:
    """Create the upstreams of a site and schedule the plan's faults."""

    def __init__(self, loop: EventLoop, site: Site, seed: int):
        self.site = site
        self._loop = loop
        # A generator of its own makes the faults the same for every router.
        self._rng = random.Random(f"faults-{seed}")
        self.upstreams: dict[tuple[str, str], Upstream] = {}
        number = 0
        for service in site.settings.services:
            for _ in range(site.model.loads[service.name].upstreams):
                name = f"up-{number:02}"
                up = Upstream(loop, service, name, site.zone_of(number))
                self.upstreams[service.name, name] = up
                number += 1
        self._schedule_faults()

    def of_kind(self, kind: ServiceKind) -> list[Upstream]:
        """Return the upstreams of all services of a kind."""
        return [up for up in self.upstreams.values() if up.service.kind is kind]

    def start_announcing(
        self, announce: Callable[[Upstream, Announcement], None]
    ) -> None:
        """Make every running upstream announce itself twice a second."""
        for number, up in enumerate(self.upstreams.values()):

            def send(up: Upstream = up) -> None:
                if up.is_up:
                    announce(up, up.announcement())

            up.announce = send
            self._loop.call_every(500.0, send, (number * 37) % 500)

    def _schedule_faults(self) -> None:
        plan, at = self.site.plan, self._loop.call_at
        for window in plan.straggler_windows:
            for service in self.site.settings.services:
                up = self._choose_upstream(service.name)
                at(window.start_ms, self._set_slowdown, up, _STRAGGLER_SLOWDOWN)
                at(window.end_ms, self._set_slowdown, up, 1.0)
        zone_out = plan.zone_out_window
        in_zone = [
            u for u in self.upstreams.values() if u.zone == self.site.outage_zone
        ]
        for up in in_zone:
            at(zone_out.start_ms + _POWER_OFF_DELAY_MS, up.crash)
            at(zone_out.end_ms - _POWER_ON_LEAD_MS, up.restart)
        keyed = self.of_kind(ServiceKind.KEYED)
        at(plan.upstream_crash_ms, self._rng.choice(keyed).crash)
        restarted = self._rng.choice(self.of_kind(ServiceKind.POOL))
        at(plan.upstream_restart_ms, restarted.crash)
        at(plan.upstream_restart_ms + _RESTART_DURATION_MS, restarted.restart)

    def _choose_upstream(self, service: str) -> Upstream:
        names = [key for key in self.upstreams if key[0] == service]
        return self.upstreams[self._rng.choice(names)]

    @staticmethod
    def _set_slowdown(up: Upstream, slowdown: float) -> None:
        up.slowdown = slowdown


def with_zone_state(site: Site, state: ZoneState) -> Site:
    """Return a copy of the site with the outage zone in or out of service."""
    zones = tuple(
        zone._replace(state=state) if zone.name == site.outage_zone else zone
        for zone in site.settings.zones
    )
    return site._replace(settings=site.settings._replace(zones=zones))
