"""Site and process settings as plain data."""

from enum import StrEnum
from typing import NamedTuple


class ServiceKind(StrEnum):
    """Tell how the upstreams of a service divide the work."""

    KEYED = "keyed"
    POOL = "pool"
    # Divided into contiguous ranges of a numeric key, which upstreams hold by grant.
    RANGED = "ranged"


class Fencing(StrEnum):
    """Tell whether the upstreams of a service check epochs and grants."""

    EPOCH = "epoch"
    NONE = "none"


class ZoneState(StrEnum):
    """Tell whether an availability zone may receive new work."""

    IN = "in"
    OUT = "out"


class ZoneSettings(NamedTuple):
    """Describe an availability zone."""

    name: str
    state: ZoneState


class ColdStartSettings(NamedTuple):
    """Describe how an upstream warms up; `ramp_s` in seconds.

    `per_s` bounds its requests per second while it is cold; 0 sets no such bound.
    """

    initial_slots: int
    ramp_s: float
    per_s: float = 0.0


class ServiceSettings(NamedTuple):
    """Describe a service; times in milliseconds, limits per upstream."""

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
    """Give a service a share of a route's requests, in proportion to its weight."""

    service: str
    weight: int


class RouteSettings(NamedTuple):
    """Describe a route; `key` names the path variable that is the routing key.

    A path that ends in `/*` accepts any further segments. `host` restricts the route
    to requests for that host. `split` replaces `service` where it is not empty.
    `timeout_ms` and `attempts` are 0 where only the service's bounds apply; `rank` is
    0 for the most urgent requests. `target_ms` is the time within which an answer has
    its full worth, 0 if there is none.
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
    # None leaves the rank of a request to its route.
    rank: int | None = None


class ReplicaAddress(NamedTuple):
    """Name a control replica and its stream address."""

    replica: str
    address: str


class CallerLimits(NamedTuple):
    """Bound what a caller may send, and how long it may take or stay idle."""

    max_header_bytes: int
    max_body_bytes: int
    header_timeout_s: float
    idle_timeout_s: float


class SiteSettings(NamedTuple):
    """Hold everything that operators state about a site.

    `limits` is None where the process settings of the entries apply.
    """

    site: str
    zones: tuple[ZoneSettings, ...]
    services: tuple[ServiceSettings, ...]
    routes: tuple[RouteSettings, ...]
    workspaces: tuple[WorkspaceSettings, ...]
    replicas: tuple[ReplicaAddress, ...] = ()
    limits: CallerLimits | None = None

    def zone_is_out(self, zone: str) -> bool:
        """Tell whether an availability zone is known and taken out."""
        return any(z.name == zone and z.state is ZoneState.OUT for z in self.zones)

    def service(self, name: str) -> ServiceSettings | None:
        """Return the settings of a service, or None."""
        return next((s for s in self.services if s.name == name), None)

    def workspace(self, name: str) -> WorkspaceSettings | None:
        """Return the settings of a workspace, or None."""
        return next((w for w in self.workspaces if w.name == name), None)


class NodeSettings(NamedTuple):
    """Describe a process: identity, VM, availability zone and control addresses."""

    cluster: str
    node: str
    vm: str
    zone: str
    control: tuple[str, ...]
    admin_listen: str


class Dispatch(StrEnum):
    """Tell who chooses the upstream of a request: its arbiter, or the entry itself."""

    ARBITER = "arbiter"
    DIRECT = "direct"


class EntrySettings(NamedTuple):
    """Hold the process settings of an entry.

    After the start of a shutdown the entry still takes requests for `unready_s`. With
    direct dispatch, each service gets `retry_ratio` repeats per request, and all
    entries together `retry_fleet_per_s` more.
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


class ArbiterSettings(NamedTuple):
    """Hold the process settings of an arbiter; `listen` serves entries."""

    node: NodeSettings
    listen: str
    announce_listen: str
    drain_s: float


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
    # After how many ms without announcement an upstream is removed; None for sessions'
    # time to live.
    upstream_ttl_ms: int | None = None
    # Whether replicas join without being listed.
    open_group: bool = False
