"""Seeded request traces and fault schedules for the shipped sites."""

import math
import random
from bisect import bisect
from pathlib import Path
from typing import NamedTuple

from returns.result import Success

from bergamotdrift.config.loader import load_site
from bergamotdrift.config.schema import (
    ServiceKind,
    SiteSettings,
    WorkspaceSettings,
)
from bergamotdrift.tests.naive import NaiveBucket

ROOT = Path(__file__).resolve().parent.parent
ENTRIES = 9
# Cold-start ramps and first placements finish before requests arrive.
WARM_UP_MS = 12_000.0
SETTLE_MS = 6_000.0
_POPULAR_KEYS = 12
_KEYS = 20_000
_ZIPF_EXPONENT = 1.0
_NOISY_RATE_FACTOR = 5.0
# Leaves time for the power-off of the zone that is out, also in short runs.
_ZONE_OUT_MIN_MS = 6000.0


class ServiceLoad(NamedTuple):
    """Describe a service's load: upstreams, share of requests, median service time."""

    upstreams: int
    share: float
    work_ms: float
    idempotent_share: float


class SiteModel(NamedTuple):
    """Describe a site's load and its one-way network latency `hop_ms`."""

    overlay: str
    hop_ms: float
    loads: dict[str, ServiceLoad]
    anonymous_share: float
    has_urgent_burst: bool


SITES = {
    "iroda": SiteModel(
        "iroda.jsonc",
        0.5,
        {
            "case-tracking": ServiceLoad(17, 0.6, 45.0, 0.9),
            "submission-filing": ServiceLoad(6, 0.15, 70.0, 0.0),
            "archive": ServiceLoad(6, 0.25, 35.0, 1.0),
        },
        0.1,
        False,
    ),
    "hollins-marr": SiteModel(
        "hollins-marr.jsonc",
        1.5,
        {
            "stock-and-slots": ServiceLoad(15, 0.6, 40.0, 0.85),
            "hire-contracts": ServiceLoad(8, 0.2, 55.0, 0.6),
            "site-documents": ServiceLoad(8, 0.2, 55.0, 0.6),
        },
        0.05,
        True,
    ),
}


class Request(NamedTuple):
    """Describe a request of a caller; `work_ms` is its service time at an upstream."""

    number: int
    at_ms: float
    workspace: str
    service: str
    key: str
    urgent: bool
    idempotent: bool
    entry: int
    timeout_ms: float
    work_ms: float
    in_rate: bool


class Window(NamedTuple):
    """Describe a half-open time interval."""

    start_ms: float
    end_ms: float

    def contains(self, at_ms: float) -> bool:
        """Return whether a time is in the interval."""
        return self.start_ms <= at_ms < self.end_ms


class Plan(NamedTuple):
    """Hold the times of the faults and load changes of a run."""

    end_ms: float
    straggler_windows: tuple[Window, ...]
    zone_out_window: Window
    popularity_change_ms: float
    upstream_crash_ms: float
    upstream_restart_ms: float
    arbiter_crash_ms: float
    noisy_workspace: Window
    urgent_window: Window


def make_plan(seconds: float) -> Plan:
    """Return a plan whose faults are spread over `seconds` of traffic."""
    span_ms = seconds * 1000.0

    def at_fraction(fraction: float) -> float:
        return WARM_UP_MS + fraction * span_ms

    def window(start: float, end: float) -> Window:
        return Window(at_fraction(start), at_fraction(end))

    return Plan(
        at_fraction(1.0),
        (window(0.06, 0.18), window(0.84, 0.96)),
        Window(
            at_fraction(0.22),
            max(at_fraction(0.42), at_fraction(0.22) + _ZONE_OUT_MIN_MS),
        ),
        at_fraction(0.5),
        at_fraction(0.56),
        at_fraction(0.6),
        at_fraction(0.7),
        window(0.64, 0.8),
        window(0.8, 0.9),
    )


class Site(NamedTuple):
    """Hold a site's settings, load model, fault plan and requests."""

    settings: SiteSettings
    model: SiteModel
    plan: Plan
    requests: list[Request]
    noisy_workspace: str

    def zone_of(self, number: int) -> str:
        """Return the zone of the entry, arbiter or upstream with a number."""
        zones = self.settings.zones
        return zones[number % len(zones)].name

    @property
    def outage_zone(self) -> str:
        """Return the zone that operators take out of service and restore."""
        return self.settings.zones[-1].name


def load_settings(name: str) -> SiteSettings:
    """Return the shipped settings of a site."""
    folder = ROOT / "sites"
    result = load_site(str(folder / "base.jsonc"), str(folder / SITES[name].overlay))
    if not isinstance(result, Success):
        raise SystemExit(f"the settings of {name} are invalid: {result.failure()}")
    return result.unwrap()


def make_site(name: str, seed: int, seconds: float) -> Site:
    """Return a site with the requests that a seed generates."""
    settings, model, plan = load_settings(name), SITES[name], make_plan(seconds)
    noisy_workspace = settings.workspaces[1].name
    site = Site(settings, model, plan, [], noisy_workspace)
    rng = random.Random(f"{name}-{seed}")
    generator = _RequestGenerator(site, rng)
    requests = []
    for workspace in settings.workspaces:
        requests += generator.workspace_requests(workspace)
    total_rate_per_s = sum(w.rate_per_s for w in settings.workspaces)
    requests += generator.anonymous_requests(total_rate_per_s * model.anonymous_share)
    requests.sort(key=lambda req: req.at_ms)
    site.requests.extend(
        req._replace(number=number) for number, req in enumerate(requests)
    )
    return site


class _RequestGenerator:
    """Generate the random requests of the workspaces."""

    def __init__(self, site: Site, rng: random.Random):
        self._site = site
        self._rng = rng
        self._popularity_orders = [rng.sample(range(_KEYS), _KEYS) for _ in range(2)]
        weights = [1.0 / (n + 1) ** _ZIPF_EXPONENT for n in range(_KEYS)]
        total, self._cumulative_weights = sum(weights), []
        cumulative_weight = 0.0
        for weight in weights:
            cumulative_weight += weight / total
            self._cumulative_weights.append(cumulative_weight)

    def workspace_requests(self, workspace: WorkspaceSettings) -> list[Request]:
        """Return a workspace's requests, within its rate unless it is the noisy one."""
        bucket = NaiveBucket(workspace.rate_per_s, workspace.burst, WARM_UP_MS)
        is_large = workspace.rate_per_s >= 150
        entries = self._rng.sample(range(ENTRIES), 6 if is_large else 2)
        requests = []
        for at_ms in self._arrival_times(workspace):
            in_rate = bucket.take(at_ms)
            is_noisy = workspace.name == self._site.noisy_workspace
            if in_rate or (
                is_noisy and self._site.plan.noisy_workspace.contains(at_ms)
            ):
                requests.append(self._make_request(at_ms, workspace, entries, in_rate))
        return requests

    def anonymous_requests(self, rate_per_s: float) -> list[Request]:
        """Return requests on open routes, which no workspace limits."""
        limits = WorkspaceSettings("", rate_per_s, 0, (), ())
        return [
            self._make_request(at_ms, limits, list(range(ENTRIES)), True)
            for at_ms in self._arrival_times(limits)
        ]

    def _arrival_times(self, workspace: WorkspaceSettings) -> list[float]:
        """Return arrival times; their rate changes every half to two seconds."""
        plan, rng = self._site.plan, self._rng
        times, now_ms = [], WARM_UP_MS
        while now_ms < plan.end_ms:
            end_ms = min(plan.end_ms, now_ms + rng.uniform(500.0, 2000.0))
            rate = workspace.rate_per_s * rng.choice((0.2, 0.5, 0.7, 1.0))
            if (
                workspace.name == self._site.noisy_workspace
                and plan.noisy_workspace.contains(now_ms)
            ):
                rate = workspace.rate_per_s * _NOISY_RATE_FACTOR
                end_ms = min(end_ms, plan.noisy_workspace.end_ms)
            at_ms = now_ms
            while (at_ms := at_ms + rng.expovariate(rate / 1000.0)) < end_ms:
                times.append(at_ms)
            now_ms = end_ms
        return times

    def _make_request(
        self,
        at_ms: float,
        workspace: WorkspaceSettings,
        entries: list[int],
        in_rate: bool,
    ) -> Request:
        rng, plan, model = self._rng, self._site.plan, self._site.model
        is_urgent = False
        if (
            model.has_urgent_burst
            and plan.urgent_window.contains(at_ms)
            and workspace.name
        ):
            is_urgent = rng.random() < 0.5
        name = self._choose_service(workspace, is_urgent)
        load = model.loads[name]
        service = self._site.settings.service(name)
        assert service is not None
        keyed = service.kind is ServiceKind.KEYED
        timeout = min(service.request_timeout_ms, rng.choice((800, 1500, 3000)))
        return Request(
            0,
            at_ms,
            workspace.name,
            name,
            f"k{self._choose_key(at_ms)}" if keyed else "",
            is_urgent,
            is_urgent or rng.random() < load.idempotent_share,
            self._choose_entry(entries, at_ms),
            timeout,
            load.work_ms * math.exp(rng.gauss(0.0, 0.5)),
            in_rate,
        )

    def _choose_service(self, workspace: WorkspaceSettings, is_urgent: bool) -> str:
        loads = self._site.model.loads
        names = [n for n in loads if not workspace.services or n in workspace.services]
        if is_urgent:
            return names[0]
        weights = [loads[name].share for name in names]
        return self._rng.choices(names, weights)[0]

    def _choose_key(self, at_ms: float) -> int:
        order = self._popularity_orders[
            int(at_ms >= self._site.plan.popularity_change_ms)
        ]
        rank = min(bisect(self._cumulative_weights, self._rng.random()), _KEYS - 1)
        return order[rank]

    def _choose_entry(self, entries: list[int], at_ms: float) -> int:
        """Return the entry that the load balancer picks, outside a zone that is out."""
        entry, site = self._rng.choice(entries), self._site
        zone_out = site.plan.zone_out_window
        if Window(zone_out.start_ms + 500.0, zone_out.end_ms + 500.0).contains(at_ms):
            while site.zone_of(entry) == site.outage_zone:
                entry = (entry + 1) % ENTRIES
        return entry
