"""Model of upstreams: slots, service times, cold start, stragglers and losses."""

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
from scripts.measure_loop import Loop
from scripts.measure_sites import Site

Done = Callable[[AttemptOutcome], None]
_FALL_OVER_MS = 1000.0
_STRAGGLER_SLOWNESS = 8.0
_REPORT_LAG_MS = 2000.0
# The zone's VMs are switched off this long after operators take it out.
_POWER_OFF_MS = 4000.0
_POWER_ON_MS = 1000.0
_SILENT_RESTART_MS = 400.0
# The least time between announcements that fenced requests cause.
_EARLY_ASK_MS = 50.0


class Work:
    """Hold one request at an upstream."""

    __slots__ = ("done", "is_over", "partition", "work_ms")

    def __init__(self, work_ms: float, partition: int, done: Done):
        self.work_ms = work_ms
        self.partition = partition
        self.done = done
        self.is_over = False


class Upstream:
    """Serve requests within slots; fall over when too many come in cold start."""

    def __init__(self, loop: Loop, service: ServiceSettings, name: str, zone: str):
        self._loop = loop
        self.service = service
        self.name, self.zone = name, zone
        self.run = 1
        self.is_up = True
        self.slowness = 1.0
        self.cold_overshoot = 0
        self.cold_arrivals = 0
        self.started: list[float] = []
        self._cold_since_ms = float("-inf")
        self._fallen_until_ms = 0.0
        # In order of arrival, so that runs of a seed are alike.
        self._running: dict[Work, None] = {}
        self._queue: deque[Work] = deque()
        self._history: deque[tuple[float, int]] = deque()
        self._grants: set[PartitionEpoch] = set()
        self._lease_end_ms = 0.0
        self._asked_ms = float("-inf")
        self._finishing: set[PartitionEpoch] = set()
        self._released: list[PartitionEpoch] = []
        self.announce: Callable[[], None] = lambda: None

    @property
    def in_flight(self) -> int:
        """Return how many requests run or wait here."""
        return len(self._running) + len(self._queue)

    def bears(self) -> int:
        """Return how many requests at once the upstream bears now."""
        cold, slots = self.service.cold_start, self.service.slots
        part = (self._loop.now_ms - self._cold_since_ms) / (cold.ramp_s * 1000.0)
        if part >= 1.0:
            return slots
        return max(1, int(cold.initial_slots + (slots - cold.initial_slots) * part))

    def arrive(self, work: Work, epoch: int) -> None:
        """Take a request; `done` of the work tells its outcome."""
        if work.is_over:
            # The cancellation came first.
            return
        refusal = self._refusal(work, epoch)
        if refusal is not None:
            work.is_over = True
            work.done(refusal)
            return
        self.started.append(self._loop.now_ms)
        if len(self._running) < self.service.slots:
            self._start(work)
        else:
            self._queue.append(work)

    def cancel(self, work: Work) -> None:
        """Stop a request."""
        if not work.is_over:
            work.is_over = True
            self._running.pop(work, None)
            if work in self._queue:
                self._queue.remove(work)
            self._start_next()

    def crash(self) -> None:
        """Lose all requests and the lease."""
        self.is_up = False
        lost = [*self._running, *self._queue]
        self._running.clear()
        self._queue.clear()
        for work in lost:
            work.is_over = True
            work.done(AttemptOutcome.BROKEN)

    def restart(self) -> None:
        """Come back cold as a new incarnation."""
        self.is_up = True
        self.run += 1
        self.slowness = 1.0
        self._cold_since_ms = self._loop.now_ms
        self._fallen_until_ms = 0.0
        self._grants, self._lease_end_ms = set(), 0.0
        self._finishing, self._released = set(), []

    def announcement(self) -> Announcement:
        """Return what the upstream announces now."""
        self._finish_released()
        is_cold = self.bears() < self.service.slots
        state = UpstreamState.COLD if is_cold else UpstreamState.READY
        return Announcement(
            self.service.name,
            self.name,
            "192.0.2.1:80",
            self.zone,
            f"i{self.run}",
            state,
            list(self._released),
        )

    def on_reply(self, reply: AnnouncementReply, asked_at_ms: float, run: int) -> None:
        """Take the grants of a reply to an announcement."""
        if reply.error or run != self.run or not self.is_up:
            return
        self._lease_end_ms = asked_at_ms + reply.lease_ms
        self._grants = set(reply.grants)
        self._finishing |= set(reply.release) - set(self._released)
        self._released = [item for item in self._released if item in reply.release]
        self._report_released()

    def report(self) -> LoadHint | None:
        """Return a load report that is two seconds old."""
        now_ms = self._loop.now_ms
        self._history.append((now_ms, self.in_flight))
        while len(self._history) > 1 and self._history[1][0] <= now_ms - _REPORT_LAG_MS:
            self._history.popleft()
        if not self.is_up:
            return None
        return LoadHint(
            self._history[0][1], self.service.slots, UpstreamState.READY, now_ms
        )

    def _report_released(self) -> None:
        """Announce at once that releases are finished."""
        count = len(self._released)
        self._finish_released()
        if len(self._released) > count:
            self.announce()

    def _finish_released(self) -> None:
        running = {work.partition for work in self._running}
        running |= {work.partition for work in self._queue}
        for item in sorted(self._finishing):
            if item.partition not in running:
                self._finishing.discard(item)
                self._released.append(item)

    def _refusal(self, work: Work, epoch: int) -> AttemptOutcome | None:
        now_ms = self._loop.now_ms
        if not self.is_up:
            return AttemptOutcome.CONNECT_FAILED
        if now_ms < self._fallen_until_ms:
            return AttemptOutcome.SHED
        if work.partition != NO_PARTITION and self._is_fenced(work.partition, epoch):
            self._ask_for_grants()
            return AttemptOutcome.FENCED
        bears = self.bears()
        if bears < self.service.slots:
            self.cold_arrivals += 1
            if self.in_flight >= bears:
                self._fall_over()
                return AttemptOutcome.SHED
        if self.in_flight >= 3 * self.service.slots:
            return AttemptOutcome.SHED
        return None

    def _ask_for_grants(self) -> None:
        """Announce at once if a request names a partition without a grant."""
        if self._loop.now_ms - self._asked_ms >= _EARLY_ASK_MS:
            self._asked_ms = self._loop.now_ms
            self.announce()

    def _is_fenced(self, partition: int, epoch: int) -> bool:
        if self.service.fencing is not Fencing.EPOCH:
            return False
        held = PartitionEpoch(partition, epoch)
        return held not in self._grants or self._loop.now_ms >= self._lease_end_ms

    def _fall_over(self) -> None:
        """Shed for a while and lose half of the warmth."""
        now_ms = self._loop.now_ms
        self.cold_overshoot += 1
        self._fallen_until_ms = now_ms + _FALL_OVER_MS
        warmed_ms = (now_ms - self._cold_since_ms) / 2
        self._cold_since_ms = self._fallen_until_ms - warmed_ms

    def _start(self, work: Work) -> None:
        self._running[work] = None
        fallen_ms = max(0.0, self._fallen_until_ms - self._loop.now_ms)
        self._loop.after(work.work_ms * self.slowness + fallen_ms, self._end, work)

    def _end(self, work: Work) -> None:
        if work.is_over:
            return
        work.is_over = True
        self._running.pop(work, None)
        work.done(AttemptOutcome.ANSWERED)
        self._start_next()
        if self._finishing:
            self._report_released()

    def _start_next(self) -> None:
        while self._queue and len(self._running) < self.service.slots:
            self._start(self._queue.popleft())


class Fleet:
    """Hold all upstreams of a site and carry out the plan's faults."""

    def __init__(self, loop: Loop, site: Site, seed: int):
        self.site = site
        self._loop = loop
        # The faults are drawn alike for every router.
        self._rng = random.Random(f"faults-{seed}")
        self.upstreams: dict[tuple[str, str], Upstream] = {}
        number = 0
        for service in site.settings.services:
            for _ in range(site.model.loads[service.name].upstreams):
                name = f"up-{number:02}"
                up = Upstream(loop, service, name, site.zone_of(number))
                self.upstreams[service.name, name] = up
                number += 1
        self._schedule()

    def of_kind(self, kind: ServiceKind) -> list[Upstream]:
        """Return the upstreams of a kind of service."""
        return [up for up in self.upstreams.values() if up.service.kind is kind]

    def start_announcing(
        self, announce: Callable[[Upstream, Announcement], None]
    ) -> None:
        """Let every upstream announce itself twice a second."""
        for number, up in enumerate(self.upstreams.values()):

            def send(up: Upstream = up) -> None:
                if up.is_up:
                    announce(up, up.announcement())

            up.announce = send
            self._loop.every(500.0, send, (number * 37) % 500)

    def _schedule(self) -> None:
        plan, at = self.site.plan, self._loop.at
        for window in plan.stragglers:
            for service in self.site.settings.services:
                up = self._pick(service.name)
                at(window.start_ms, self._set_slowness, up, _STRAGGLER_SLOWNESS)
                at(window.end_ms, self._set_slowness, up, 1.0)
        out = plan.zone_out
        in_zone = [u for u in self.upstreams.values() if u.zone == self.site.lost_zone]
        for up in in_zone:
            at(out.start_ms + _POWER_OFF_MS, up.crash)
            at(out.end_ms - _POWER_ON_MS, up.restart)
        keyed = self.of_kind(ServiceKind.KEYED)
        at(plan.loss_ms, self._rng.choice(keyed).crash)
        restarted = self._rng.choice(self.of_kind(ServiceKind.POOL))
        at(plan.restart_ms, restarted.crash)
        at(plan.restart_ms + _SILENT_RESTART_MS, restarted.restart)

    def _pick(self, service: str) -> Upstream:
        names = [key for key in self.upstreams if key[0] == service]
        return self.upstreams[self._rng.choice(names)]

    @staticmethod
    def _set_slowness(up: Upstream, slowness: float) -> None:
        up.slowness = slowness


def zones_with(site: Site, state: ZoneState) -> Site:
    """Return the site with the lost zone in or out."""
    zones = tuple(
        zone._replace(state=state) if zone.name == site.lost_zone else zone
        for zone in site.settings.zones
    )
    return site._replace(settings=site.settings._replace(zones=zones))
