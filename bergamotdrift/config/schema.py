"""Data types of the site and process settings."""

from enum import StrEnum
from typing import NamedTuple

from bergamotdrift.constants import SETTINGS_MAX_AGE_MS


class ServiceKind(StrEnum):
    """List how requests are distributed over the upstreams of a service."""

    KEYED = "keyed"
    POOL = "pool"
    # By contiguous ranges of a numeric key, each granted to one upstream.
    RANGED = "ranged"


class Fencing(StrEnum):
    """List whether the upstreams of a service check epochs and grants."""

    EPOCH = "epoch"
    NONE = "none"


class ZoneState(StrEnum):
    """List whether an availability zone receives new work."""

    IN = "in"
    OUT = "out"


class ZoneSettings(NamedTuple):
    """Describe an availability zone."""

    name: str
    state: ZoneState


class ColdStartSettings(NamedTuple):
    """Describe the slow start of an upstream; `ramp_s` in seconds.

    `per_s` limits its requests per second while it is cold; 0 means no limit.
    """

    initial_slots: int
    ramp_s: float
    per_s: float = 0.0


class ColdBound(NamedTuple):
    """Bound what all entries together send a cold upstream in any second.

    It is `per_s` of the service's cold start x `overage` + `slack` requests.
    """

    overage: float = 1.0
    slack: float = 0.0


# The bound if the process settings state none.
STATED_RATE = ColdBound()


class ServiceSettings(NamedTuple):
    """Describe a service; timeouts are in milliseconds, limits apply per upstream."""

    name: str
    kind: ServiceKind
    partitions: int
    fencing: Fencing
    slots: int
    connections: int
    cold_start: ColdStartSettings
    request_timeout_ms: int
    queue_limit: int


class SplitShare(NamedTuple):
    """Describe a service's share of a route's requests, proportional to `weight`."""

    service: str
    weight: int


class RouteSettings(NamedTuple):
    """Describe a route; `key` names the path variable that is the routing key.

    A path that ends in `/*` accepts any further segments. `host` restricts the route
    to requests for that host. `split` replaces `service` if it is not empty.
    `timeout_ms` and `attempts` are 0 if only the service's limits apply; `rank` is
    0 for the most urgent requests. `target_ms` is the latency up to which a response
    has its full value, 0 if there is none.
    """

    path: str
    methods: tuple[str, ...]
    service: str
    key: str
    open: bool
    urgent: bool
    idempotent: bool
    max_body_bytes: int
    name: str = ""
    host: str = ""
    split: tuple[SplitShare, ...] = ()
    timeout_ms: int = 0
    attempts: int = 0
    rank: int = 0
    target_ms: int = 0


class WorkspaceSettings(NamedTuple):
    """Describe a workspace; rate in requests per second, burst in requests."""

    name: str
    rate_per_s: float
    burst: int
    key_digests: tuple[str, ...]
    services: tuple[str, ...]
    # With None, the route determines the rank of a request.
    rank: int | None = None


class ReplicaAddress(NamedTuple):
    """Map a control replica to its stream address."""

    replica: str
    address: str


class CallerLimits(NamedTuple):
    """Limit the size and duration of requests, and the idle time of connections."""

    max_header_bytes: int
    max_body_bytes: int
    header_timeout_s: float
    idle_timeout_s: float


class SiteSettings(NamedTuple):
    """Hold the settings of a site.

    If `limits` is None, the process settings of the entries apply.
    """

    site: str
    zones: tuple[ZoneSettings, ...]
    services: tuple[ServiceSettings, ...]
    routes: tuple[RouteSettings, ...]
    workspaces: tuple[WorkspaceSettings, ...]
    replicas: tuple[ReplicaAddress, ...] = ()
    limits: CallerLimits | None = None

    def zone_is_out(self, zone: str) -> bool:
        """Return whether an availability zone is known and its state is `out`."""
        return any(z.name == zone and z.state is ZoneState.OUT for z in self.zones)

    def service(self, name: str) -> ServiceSettings | None:
        """Return the settings of a service, or None if it is unknown."""
        return next((s for s in self.services if s.name == name), None)

    def workspace(self, name: str) -> WorkspaceSettings | None:
        """Return the settings of a workspace, or None if it is unknown."""
        return next((w for w in self.workspaces if w.name == name), None)


class NodeSettings(NamedTuple):
    """Describe a process: its identity, VM, availability zone and control addresses."""

    cluster: str
    node: str
    vm: str
    zone: str
    control: tuple[str, ...]
    admin_listen: str


class Dispatch(StrEnum):
    """List who selects the upstream of a request: its arbiter, or the entry itself."""

    ARBITER = "arbiter"
    DIRECT = "direct"


class EntrySettings(NamedTuple):
    """Hold the process settings of an entry.

    The entry still accepts requests for `unready_s` after the start of a shutdown.
    With direct dispatch, the retry budget of a service is `retry_ratio` retries per
    request, plus `retry_fleet_per_s` retries per second over all entries. With settings
    last confirmed longer than `settings_max_age_ms` ago, only open routes on a pool are
    served, and none with direct dispatch.
    """

    node: NodeSettings
    listen: str
    header_timeout_s: float
    body_timeout_s: float
    idle_timeout_s: float
    drain_s: float
    max_connections: int
    dispatch: Dispatch = Dispatch.ARBITER
    unready_s: float = 0.0
    retry_ratio: float = 0.1
    retry_fleet_per_s: float = 3.0
    settings_max_age_ms: int = SETTINGS_MAX_AGE_MS
    cold_bound: ColdBound = STATED_RATE


class ArbiterSettings(NamedTuple):
    """Hold the process settings of an arbiter; entries connect to `listen`."""

    node: NodeSettings
    listen: str
    announce_listen: str
    drain_s: float


class RangeGrants(StrEnum):
    """Name the ways in which key ranges are granted to upstreams.

    CALLED: the control leader calls the upstreams. ANNOUNCED: the replies to their
    announcements state what they hold.
    """

    CALLED = "called"
    ANNOUNCED = "announced"


class RolloutBounds(NamedTuple):
    """Hold the bounds of rollouts.

    A bad version gets at most `exposure_share` of a service's requests plus
    `exposure_slack`, and none later than `rollback_ms` after its 50th bad response.
    """

    exposure_share: float
    exposure_slack: float
    rollback_ms: float


class ControlSettings(NamedTuple):
    """Hold the process settings of a control replica.

    `voters` is used only to bootstrap an empty cluster.
    """

    node: NodeSettings
    listen: str
    operator_listen: str
    data_folder: str
    voters: tuple[ReplicaAddress, ...]
    operator_key_digests: tuple[str, ...]
    snapshot_entries: int
    # Time in ms without an announcement after which an upstream is removed; None means
    # the time to live of sessions.
    upstream_ttl_ms: int | None = None
    # Whether replicas that are listed neither in the site settings nor in `voters`
    # may join.
    open_group: bool = False
    range_grants: RangeGrants = RangeGrants.CALLED
    cold_bound: ColdBound = STATED_RATE
    # None if no rollouts can be started.
    rollout: RolloutBounds | None = None
