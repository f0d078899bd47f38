"""Naive router: each entry alone with an even split of every limit."""

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
from scripts.measure_attempts import Connections, Job, send
from scripts.measure_loop import Loop
from scripts.measure_report import Ledger
from scripts.measure_sites import ENTRIES, Request, Site
from scripts.measure_upstreams import Fleet, Upstream

# Entries hear of upstreams and of changed settings as late as ours do at the worst.
_TTL_MS = 1500.0
_SETTINGS_MS = 500.0
_EXPIRY_MS = 100.0
_SAMPLE_KEYS = 256


class Directory:
    """Know the upstreams that announced themselves lately."""

    def __init__(self, loop: Loop, site: Site, fleet: Fleet, ledger: Ledger):
        self._loop = loop
        self._site = site
        self._ledger = ledger
        self._seen: dict[tuple[str, str], float] = {}
        self._zone_of = {key: up.zone for key, up in fleet.upstreams.items()}
        self._zone_is_out = False
        self._owners: dict[str, list[str]] = {}
        self.known: dict[str, list[NaiveUpstream]] = {}
        self.watchers: list[Callable[[], None]] = []
        fleet.start_announcing(self._announced)
        loop.every(_EXPIRY_MS, self._refresh, _EXPIRY_MS)
        out = site.plan.zone_out
        loop.at(out.start_ms + _SETTINGS_MS, self._set_zone, True)
        loop.at(out.end_ms + _SETTINGS_MS, self._set_zone, False)

    def _announced(self, up: Upstream, item: Announcement) -> None:
        assert item.state is not UpstreamState.LEAVING
        self._seen[up.service.name, up.name] = self._loop.now_ms

    def _set_zone(self, is_out: bool) -> None:
        self._zone_is_out = is_out
        self._refresh()

    def _refresh(self) -> None:
        now_ms = self._loop.now_ms
        known: dict[str, list[NaiveUpstream]] = {}
        for (service, name), at_ms in sorted(self._seen.items()):
            zone = self._zone_of[service, name]
            is_out = self._zone_is_out and zone == self._site.lost_zone
            if now_ms - at_ms < _TTL_MS and not is_out:
                row = NaiveUpstream(service, name, zone)
                known.setdefault(service, []).append(row)
        if known != self.known:
            self.known = known
            self._count_moves()
            for watcher in self.watchers:
                watcher()

    def _count_moves(self) -> None:
        """Count how many of a partition's worth of keys change their upstream."""
        entry = NaiveEntry(self._site.settings, ENTRIES, 0.0)
        for service in self._site.settings.services:
            if service.kind is not ServiceKind.KEYED:
                continue
            ups = self.known.get(service.name, [])
            chosen = [entry.choose(service, f"s{n}", ups) for n in range(_SAMPLE_KEYS)]
            owners = [up.upstream if up is not None else "" for up in chosen]
            before = self._owners.get(service.name, owners)
            for old, new in zip(before, owners, strict=True):
                if old != new:
                    self._ledger.moved(self._loop.now_ms)
            self._owners[service.name] = owners


class _Entry:
    """Queue and forward with local knowledge only."""

    def __init__(self, router: "NaiveRouter", number: int):
        self._router = router
        site = router.site
        self.policy = NaiveEntry(site.settings, ENTRIES, 0.0)
        self._budget = RetryBudget()
        self._connections = Connections()
        self._in_flight: dict[tuple[str, str], int] = {}
        # A keyed request waits for its upstream, others for any of the pool.
        self._queues: dict[tuple[str, str], deque[Job]] = {}
        self._chosen: dict[tuple[str, str], str] = {}

    def arrive(self, job: Job) -> None:
        """Take a request of a caller."""
        router, req = self._router, job.req
        if req.workspace:
            if not self.policy.admit(req.workspace, router.loop.now_ms):
                job.refuse(ErrorKind.RATE_EXCEEDED)
                return
            router.ledger.admitted(req.workspace, router.loop.now_ms)
        self._budget.count_request(router.loop.now_ms)
        self.route(job)

    def route(self, job: Job) -> None:
        """Send a request or let it wait."""
        router, req = self._router, job.req
        service = router.service(req.service)
        known = router.directory.known.get(req.service, [])
        name = ""
        if service.kind is ServiceKind.KEYED:
            up = self._owner(service, req.key, known)
            if up is None:
                job.refuse(ErrorKind.NO_UPSTREAM)
                return
            name = up
        queue = self._queues.setdefault((req.service, name), deque())
        if len(queue) >= service.queue_limit:
            job.refuse(ErrorKind.QUEUE_FULL)
            return
        queue.append(job)
        router.loop.at(max(router.loop.now_ms, job.deadline_ms), self._expire, job)
        self.serve(req.service)

    def _owner(
        self, service: ServiceSettings, key: str, known: list[NaiveUpstream]
    ) -> str | None:
        cached = self._chosen.get((service.name, key))
        if cached is None:
            up = self.policy.choose(service, key, known)
            if up is None:
                return None
            cached = self._chosen[service.name, key] = up.upstream
        return cached

    def on_change(self) -> None:
        """Route what waits for another upstream anew."""
        self._chosen.clear()
        waiting, self._queues = self._queues, {}
        for queue in waiting.values():
            for job in queue:
                if not job.is_over:
                    self.route(job)

    def serve(self, service_name: str) -> None:
        """Send what has room, first come first served."""
        service = self._router.service(service_name)
        for (owner, name), queue in list(self._queues.items()):
            if owner != service_name:
                continue
            while queue:
                if queue[0].is_over:
                    queue.popleft()
                    continue
                up = self._free(service, name, queue[0])
                if up is None:
                    break
                self._send(queue.popleft(), up)

    def _free(self, service: ServiceSettings, name: str, job: Job) -> str | None:
        if name:
            return name if self._has_room(service, name) else None
        known = self._router.directory.known.get(service.name, [])
        free = [
            up
            for up in known
            if self._has_room(service, up.upstream) and up.upstream not in job.excluded
        ]
        chosen = self.policy.choose(service, "", free)
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
        connect_ms = self._connections.take(up)

        def done(outcome: AttemptOutcome) -> None:
            self._in_flight[key] -= 1
            if outcome is AttemptOutcome.ANSWERED:
                self._connections.give_back(up)
                job.serve()
            elif job.may_repeat(outcome, self._budget):
                if up.service.kind is ServiceKind.POOL:
                    job.excluded = [name]
                    self.route(job)
                else:
                    router.loop.after(50.0, self.route, job)
            else:
                job.fail(outcome)
            self.serve(job.req.service)

        send(router.loop, job, up, connect_ms, router.site.model.hop_ms, done)

    @staticmethod
    def _expire(job: Job) -> None:
        if job.attempts == 0:
            job.refuse(ErrorKind.DEADLINE_UNREACHABLE)


class NaiveRouter:
    """Hold the entries of the naive version."""

    def __init__(self, loop: Loop, site: Site, fleet: Fleet, ledger: Ledger):
        self.loop, self.site, self.fleet, self.ledger = loop, site, fleet, ledger
        self._services = {s.name: s for s in site.settings.services}
        self.directory = Directory(loop, site, fleet, ledger)
        self._entries = [_Entry(self, number) for number in range(ENTRIES)]
        self.directory.watchers = [entry.on_change for entry in self._entries]

    def service(self, name: str) -> ServiceSettings:
        """Return the settings of a service."""
        return self._services[name]

    def arrive(self, req: Request) -> None:
        """Take a request of a caller."""
        self._entries[req.entry].arrive(Job(self.loop, self.ledger, req))
