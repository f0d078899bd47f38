"""Options of the site settings."""

from typing import Any

from bergamotdrift.config.containers import (
    ListOf,
    NamedSections,
    NamedValues,
    Section,
)
from bergamotdrift.config.methods import Method
from bergamotdrift.config.options import (
    Address,
    Boolean,
    Choice,
    Digest,
    Integer,
    Name,
    Number,
    Text,
)
from bergamotdrift.config.schema import (
    ColdStartSettings,
    Fencing,
    ReplicaAddress,
    RouteSettings,
    ServiceKind,
    ServiceSettings,
    SiteSettings,
    WorkspaceSettings,
    ZoneSettings,
    ZoneState,
)

VARIABLE_PATTERN = r"[a-z][a-z0-9_]{0,62}"
_SEGMENT_PATTERN = rf"(?:[A-Za-z0-9._~-]+|\{{{VARIABLE_PATTERN}\}})"
# A final segment `*` matches any further segments.
PATH_PATTERN = rf"/|(?:/{_SEGMENT_PATTERN}){{1,32}}|(?:/{_SEGMENT_PATTERN}){{0,31}}/\*"
MAX_BODY_BYTES = 1024 * 1024 * 1024


def _build_route(**values: Any) -> RouteSettings:
    methods = tuple(method.value for method in values.pop("methods"))
    return RouteSettings(methods=methods, **values)


SERVICE_OPTIONS = Section(
    ServiceSettings,
    kind=Choice(ServiceKind),
    partitions=Integer(0, 1_000_000, default=0),
    fencing=Choice(Fencing, default=Fencing.NONE),
    slots=Integer(1, 10_000),
    connections=Integer(1, 100_000),
    cold_start=Section(
        ColdStartSettings,
        initial_slots=Integer(1, 10_000),
        ramp_s=Number(0, 3600, "s"),
    ),
    request_timeout_ms=Integer(1, 600_000, "ms"),
    queue_limit=Integer(1, 100_000),
)

ROUTE_OPTIONS = Section(
    _build_route,
    path=Text("a path such as '/cases/{case}/status'", PATH_PATTERN),
    methods=ListOf(Choice(Method), minimum=1),
    service=Name(),
    key=Text("the name of a path variable", rf"|{VARIABLE_PATTERN}", default=""),
    open=Boolean(default=False),
    urgent=Boolean(default=False),
    idempotent=Boolean(default=False),
    max_body_bytes=Integer(0, MAX_BODY_BYTES, "bytes", default=65_536),
)

WORKSPACE_OPTIONS = Section(
    WorkspaceSettings,
    rate_per_s=Number(0.001, 10_000_000, "per_s"),
    burst=Integer(1, 10_000_000),
    key_digests=ListOf(Digest()),
    services=ListOf(Name(), minimum=1),
)

SITE_OPTIONS = Section(
    SiteSettings,
    site=Name(),
    zones=NamedValues(ZoneSettings, Choice(ZoneState), minimum=1),
    services=NamedSections(SERVICE_OPTIONS, minimum=1),
    routes=NamedSections(ROUTE_OPTIONS, name_field=None, minimum=1),
    workspaces=NamedSections(WORKSPACE_OPTIONS),
    replicas=NamedValues(ReplicaAddress, Address(), default={}),
)
