"""Baseline router: independent entries, each with an even share of every limit."""

from collections import deque
from collections.abc import Callable

from bergamotdrift.arbiter_messages import AttemptOutcome
from bergamotdrift.config.schema import ServiceKind, ServiceSettings
from bergamotdrift.exceptions import ErrorKind
from bergamotdrift.messages import (
    Announcement,
    UpstreamState,
)
from bergamotdrift.retry_policy import RetryBudget
from bergamotdrift.tests.naive import NaiveEntry, NaiveUpstream
from scripts.measure_attempts import IdleConnections, Job, send
from scripts.measure_loop import EventLoop
from scripts.measure_report import RunStats
from scripts.measure_sites import ENTRIES, Request, Site
from scripts.measure_upstreams import Fleet, Upstream

# Entries learn of upstreams and settings as late as the product's entries at worst.
_ANNOUNCEMENT_TTL_MS = 1500.0
_SETTINGS_DELAY_MS = 500.0
_EXPIRY_CHECK_MS = 100.0
_SAMPLE_KEYS = 256


class UpstreamDirectory:
    """Track live upstreams by their recent announcements."""

    def __init__(self, loop: EventLoop, site: Site, fleet: Fleet, stats: RunStats):
        self._loop = loop
        self._site = site
        self._stats = stats
        self._last_seen_ms: dict[tuple[str, str], float] = {}
        self._zone_of = {key: up.zone for key, up in fleet.upstreams.items()}
        self._zone_is_out = False
        self._owners: dict[str, list[str]] = {}
        self.live_upstreams: dict[str, list[NaiveUpstream]] = {}
        self.listeners: list[Callable[[], None]] = []
        fleet.start_announcing(self._record_announcement)
        loop.call_every(_EXPIRY_CHECK_MS, self._refresh, _EXPIRY_CHECK_MS)
        zone_out = site.plan.zone_out_window
        loop.call_at(zone_out.start_ms + _SETTINGS_DELAY_MS, self._set_zone, True)
        loop.call_at(zone_out.end_ms + _SETTINGS_DELAY_MS, self._set_zone, False)

    def _record_announcement(self, up: Upstream, announcement: Announcement) -> None:
        assert announcement.state is not UpstreamState.LEAVING
        self._last_seen_ms[up.service.name, up.name] = self._loop.now_ms

    def _set_zone(self, is_out: bool) -> None:
        self._zone_is_out = is_out
        self._refresh()

    def _refresh(self) -> None:
        now_ms = self._loop.now_ms
        upstreams: dict[str, list[NaiveUpstream]] = {}
        for (service, name), at_ms in sorted(self._last_seen_ms.items()):
            zone = self._zone_of[service, name]
            is_out = self._zone_is_out and zone == self._site.outage_zone
            if now_ms - at_ms < _ANNOUNCEMENT_TTL_MS and not is_out:
                row = NaiveUpstream(service, name, zone)
                upstreams.setdefault(service, []).append(row)
        if upstreams != self.live_upstreams:
            self.live_upstreams = upstreams
            self._count_moves()
            for listener in self.listeners:
                listener()

    def _count_moves(self) -> None:
        """Count the sample keys whose upstream changes; each stands for a partition."""
        entry = NaiveEntry(self._site.settings, ENTRIES, 0.0)
        for service in self._site.settings.services:
            if service.kind is not ServiceKind.KEYED:
                continue
            ups = self.live_upstreams.get(service.name, [])
            chosen = [entry.choose(service, f"s{n}", ups) for n in range(_SAMPLE_KEYS)]
            owners = [up.upstream if up is not None else "" for up in chosen]
            previous = self._owners.get(service.name, owners)
            for old, new in zip(previous, owners, strict=True):
                if old != new:
                    self._stats.count_move(self._loop.now_ms)
            self._owners[service.name] = owners


class _Entry:
    """Queue and forward requests with local knowledge only."""

    def __init__(self, router: "NaiveRouter", number: int):
        self._router = router
        site = router.site
        self.policy = NaiveEntry(site.settings, ENTRIES, 0.0)
        self._budget = RetryBudget()
        self._connections = IdleConnections()
        self._in_flight: dict[tuple[str, str], int] = {}
        # A keyed request waits for its upstream, a pool request for any upstream.
        self._queues: dict[tuple[str, str], deque[Job]] = {}
        self._owner_cache: dict[tuple[str, str], str] = {}

    def arrive(self, job: Job) -> None:
        """Handle a request from a caller."""
        router, req = self._router, job.req
        if req.workspace:
            if not self.policy.admit(req.workspace, router.loop.now_ms):
                job.reject(ErrorKind.RATE_EXCEEDED)
                return
            router.stats.count_admitted(req.workspace, router.loop.now_ms)
        self._budget.count_request(router.loop.now_ms)
        self.route(job)

    def route(self, job: Job) -> None:
        """Queue a request and send what has room."""
        router, req = self._router, job.req
        service = router.service(req.service)
        upstreams = router.directory.live_upstreams.get(req.service, [])
        name = ""
        if service.kind is ServiceKind.KEYED:
            up = self._owner(service, req.key, upstreams)
            if up is None:
                job.reject(ErrorKind.NO_UPSTREAM)
                return
            name = up
        queue = self._queues.setdefault((req.service, name), deque())
        if len(queue) >= service.queue_limit:
            job.reject(ErrorKind.QUEUE_FULL)
            return
        queue.append(job)
        router.loop.call_at(
            max(router.loop.now_ms, job.deadline_ms), self._reject_if_unsent, job
        )
        self.serve(req.service)

    def _owner(
        self, service: ServiceSettings, key: str, upstreams: list[NaiveUpstream]
    ) -> str | None:
        cached = self._owner_cache.get((service.name, key))
        if cached is None:
            up = self.policy.choose(service, key, upstreams)
            if up is None:
                return None
            cached = self._owner_cache[service.name, key] = up.upstream
        return cached

    def reroute_queued(self) -> None:
        """Route the queued requests again after the set of upstreams changed."""
        self._owner_cache.clear()
        waiting, self._queues = self._queues, {}
        for queue in waiting.values():
            for job in queue:
                if not job.is_finished:
                    self.route(job)

    def serve(self, service_name: str) -> None:
        """Send queued requests of a service in FIFO order while upstreams have room."""
        service = self._router.service(service_name)
        for (owner, name), queue in list(self._queues.items()):
            if owner != service_name:
                continue
            while queue:
                if queue[0].is_finished:
                    queue.popleft()
                    continue
                up = self._choose_free_upstream(service, name, queue[0])
                if up is None:
                    break
                self._send(queue.popleft(), up)

    def _choose_free_upstream(
        self, service: ServiceSettings, name: str, job: Job
    ) -> str | None:
        if name:
            return name if self._has_room(service, name) else None
        upstreams = self._router.directory.live_upstreams.get(service.name, [])
        candidates = [
            up
            for up in upstreams
            if self._has_room(service, up.upstream) and up.upstream not in job.excluded
        ]
        chosen = self.policy.choose(service, "", candidates)
        return chosen.upstream if chosen is not None else None

    def _has_room(self, service: ServiceSettings, name: str) -> bool:
        running = self._in_flight.get((service.name, name), 0)
        return running < self.policy.limit(service)

    def _send(self, job: Job, name: str) -> None:
        router = self._router
        key = (job.req.service, name)
        up = router.fleet.upstreams[key]
        self._in_flight[key] = self._in_flight.get(key, 0) + 1
        job.attempts += 1
        connect_ms = self._connections.acquire(up)

        def on_outcome(outcome: AttemptOutcome) -> None:
            self._in_flight[key] -= 1
            if outcome is AttemptOutcome.ANSWERED:
                self._connections.release(up)
                job.serve()
            elif job.allow_retry(outcome, self._budget):
                if up.service.kind is ServiceKind.POOL:
                    job.excluded = [name]
                    self.route(job)
                else:
                    router.loop.call_later(50.0, self.route, job)
            else:
                job.fail(outcome)
            self.serve(job.req.service)

        send(router.loop, job, up, connect_ms, router.site.model.hop_ms, on_outcome)

    @staticmethod
    def _reject_if_unsent(job: Job) -> None:
        if job.attempts == 0:
            job.reject(ErrorKind.DEADLINE_UNREACHABLE)


class NaiveRouter:
    """Route requests through the entries of the naive version."""

    def __init__(self, loop: EventLoop, site: Site, fleet: Fleet, stats: RunStats):
        self.loop, self.site, self.fleet, self.stats = loop, site, fleet, stats
        self._services = {s.name: s for s in site.settings.services}
        self.directory = UpstreamDirectory(loop, site, fleet, stats)
        self._entries = [_Entry(self, number) for number in range(ENTRIES)]
        self.directory.listeners = [entry.reroute_queued for entry in self._entries]

    def service(self, name: str) -> ServiceSettings:
        """Return the settings of a service."""
        return self._services[name]

    def arrive(self, req: Request) -> None:
        """Handle a request from a caller."""
        self._entries[req.entry].arrive(Job(self.loop, self.stats, req))
