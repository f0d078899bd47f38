"""The platform's configuration: wire format, validation, and conversion to settings."""

from collections.abc import Iterable, Mapping
from typing import Any, NamedTuple

import msgspec

from bergamotdrift.config.methods import Method
from bergamotdrift.config.schema import (
    CallerLimits,
    ColdStartSettings,
    Fencing,
    RouteSettings,
    ServiceKind,
    ServiceSettings,
    SiteSettings,
    SplitShare,
    WorkspaceSettings,
    ZoneSettings,
    ZoneState,
)
from bergamotdrift.hashing import key_digest
from bergamotdrift.platform.decoding import (
    WireError,
    boolean,
    duration_ms,
    integer,
    non_empty_string,
    non_negative_number,
)
from bergamotdrift.stages.route import ALL_SERVICES

_SECTIONS = ("routes", "services", "tenants")
_IDEMPOTENT_BY_KIND = {
    "safe": True,
    "unsafe": False,
    "upload": False,
    "download": True,
}
_SITE_NAME = "platform"
# Deadlines of requests and timeouts of routes are shorter than this bound.
_REQUEST_TIMEOUT_MS = 60_000
# Used until an upstream states its slots.
_DEFAULT_SLOTS = 2
_QUEUE_LIMIT = 1000
_COLD_START_SLOTS = 1
_TOLERANCE_FRACTION = 0.5
_METHODS = tuple(method.value for method in Method)

Fields = dict[str, Any]


class WireConfig(NamedTuple):
    """Hold a complete configuration, with the items of each section by name.

    `has_tenants` is False if the configuration has no section of tenants. A section
    without items is not the same: it has lost its last tenant.
    """

    version: int
    base_version: int
    sections: dict[str, dict[str, Fields]]
    limits: Fields
    has_tenants: bool = True


class WirePatch(NamedTuple):
    """Hold a partial change: items to insert or update, and names to remove."""

    version: int
    base_version: int
    put: dict[str, dict[str, Fields]]
    drop: dict[str, list[str]]
    limits: Fields | None


def parse_json(body: bytes) -> Fields:
    """Parse a body that must be a JSON object, or raise WireError."""
    try:
        value = msgspec.json.decode(body)
    except (msgspec.DecodeError, RecursionError) as exc:
        raise WireError(f"the body is not valid JSON: {exc}") from exc
    if not isinstance(value, dict):
        raise WireError("the body must be a JSON object")
    return value


def decode_config(body: bytes) -> WireConfig:
    """Decode a complete configuration, or raise WireError."""
    fields = parse_json(body)
    sections = {name: _decode_section(fields.get(name), name) for name in _SECTIONS}
    limits = fields.get("limits")
    if not isinstance(limits, dict) or not sections["routes"]:
        raise WireError("routes and limits are required")
    return WireConfig(
        _version(fields),
        _base_version(fields),
        sections,
        limits,
        fields.get("tenants") is not None,
    )


def decode_patch(body: bytes) -> WirePatch:
    """Decode a partial change, or raise WireError."""
    fields = parse_json(body)
    put = fields.get("upsert") or {}
    drop = fields.get("remove") or {}
    if not isinstance(put, dict) or not isinstance(drop, dict):
        raise WireError("upsert and remove must be objects")
    return WirePatch(
        _version(fields),
        _base_version(fields),
        {name: _decode_section(put.get(name), name) for name in _SECTIONS},
        {name: _decode_names(drop.get(name), name) for name in _SECTIONS},
        put.get("limits"),
    )


def apply_patch(current: WireConfig, patch: WirePatch) -> WireConfig:
    """Return the configuration that results from a partial change."""
    sections = {}
    for name, items in current.sections.items():
        dropped = set(patch.drop[name])
        kept = {n: item for n, item in items.items() if n not in dropped}
        sections[name] = kept | patch.put[name]
    limits = current.limits if patch.limits is None else patch.limits
    has_tenants = current.has_tenants or bool(sections["tenants"])
    return WireConfig(patch.version, patch.base_version, sections, limits, has_tenants)


def dump(config: WireConfig) -> bytes:
    """Encode a configuration for storage."""
    return msgspec.json.encode(config)


def load(data: bytes) -> WireConfig:
    """Decode a stored configuration."""
    return msgspec.json.decode(data, type=WireConfig)


def encode_config(config: WireConfig) -> bytes:
    """Encode a configuration in the operators' wire format."""
    body: Fields = {"version": config.version}
    body |= {
        name: _encode_section(items)
        for name, items in config.sections.items()
        if name != "tenants" or config.has_tenants
    }
    body["limits"] = config.limits
    return msgspec.json.encode(body)


class RateTolerance(NamedTuple):
    """Hold how far workspaces may exceed their limits.

    `overage` is a fraction of the limits, `slack` a number of requests.
    """

    overage: float = 0.0
    slack: float = 0.0


NO_TOLERANCE = RateTolerance()


def to_settings(
    config: WireConfig,
    zones: Iterable[str],
    tolerance: RateTolerance = NO_TOLERANCE,
) -> SiteSettings:
    """Convert a configuration to site settings, or raise WireError."""
    services = [
        _service_settings(item) for item in config.sections["services"].values()
    ]
    limits = _caller_limits(config.limits)
    service_names = {service.name for service in services}
    routes = [
        _route_settings(item, service_names, limits, not config.has_tenants)
        for item in config.sections["routes"].values()
    ]
    _check_paths(routes)
    tenants = config.sections["tenants"].values()
    workspaces = [_workspace_settings(item, tolerance) for item in tenants]
    _check_key_owners(workspaces)
    return SiteSettings(
        _SITE_NAME,
        tuple(ZoneSettings(zone, ZoneState.IN) for zone in sorted(zones)),
        tuple(services),
        tuple(routes),
        tuple(workspaces),
        limits=limits,
    )


def _version(fields: Fields) -> int:
    return integer(fields.get("version"), "version", 1)


def _base_version(fields: Fields) -> int:
    return integer(fields.get("base_version", 0), "base_version")


def _decode_section(section: Any, section_name: str) -> dict[str, Fields]:
    """Decode a section of columns and rows to its items by name."""
    if section is None:
        return {}
    if not isinstance(section, dict):
        raise WireError(f"{section_name} must be an object")
    columns, rows = section.get("columns"), section.get("rows")
    if not isinstance(columns, list) or not isinstance(rows, list):
        raise WireError(f"{section_name} must have columns and rows")
    items = {}
    for row in rows:
        if not isinstance(row, list) or len(row) != len(columns):
            raise WireError(f"a row of {section_name} does not match its columns")
        pairs = zip(columns, row, strict=True)
        item = {str(name): value for name, value in pairs if value is not None}
        name = non_empty_string(item.get("name"), f"the name in {section_name}")
        if name in items:
            raise WireError(f"{section_name} contains the name {name!r} twice")
        items[name] = item
    return items


def _decode_names(names: Any, section_name: str) -> list[str]:
    if names is None:
        return []
    if not isinstance(names, list):
        raise WireError(f"the names to remove from {section_name} must be a list")
    return [non_empty_string(name, f"a name in {section_name}") for name in names]


def _encode_section(items: Mapping[str, Fields]) -> Fields:
    columns: dict[str, None] = {}
    for item in items.values():
        columns |= dict.fromkeys(item)
    rows = [[item.get(name) for name in columns] for item in items.values()]
    return {"columns": list(columns), "rows": rows}


def _service_settings(item: Fields) -> ServiceSettings:
    # `sharded` alone decides whether a service is partitioned by key.
    ranged = boolean(item.get("sharded"), "sharded")
    ramp_s = duration_ms(item.get("slow_start", "0s")) / 1000.0
    per_s = non_negative_number(item.get("warmup_per_s", 0), "warmup_per_s")
    return ServiceSettings(
        non_empty_string(item.get("name"), "name"),
        ServiceKind.RANGED if ranged else ServiceKind.POOL,
        0,
        Fencing.EPOCH if ranged else Fencing.NONE,
        _DEFAULT_SLOTS,
        integer(item.get("max_conns", 1), "max_conns", 1),
        ColdStartSettings(_COLD_START_SLOTS, ramp_s, per_s),
        _REQUEST_TIMEOUT_MS,
        _QUEUE_LIMIT,
    )


def _route_settings(
    item: Fields, service_names: set[str], limits: CallerLimits, all_open: bool
) -> RouteSettings:
    name = non_empty_string(item.get("name"), "name")
    kind = item.get("kind")
    if kind not in _IDEMPOTENT_BY_KIND:
        raise WireError(f"route {name!r} has an unknown kind")
    prefix = non_empty_string(item.get("path_prefix"), "path_prefix")
    if not (prefix.startswith("/") and prefix.endswith("/")):
        raise WireError(f"path_prefix of route {name!r} must start and end with /")
    timeout_ms = duration_ms(item.get("timeout"))
    if timeout_ms < 1:
        raise WireError(f"the timeout of route {name!r} is shorter than 1 ms")
    rank = integer(item.get("priority", 0), "priority")
    split = _traffic_split(item, service_names)
    return RouteSettings(
        path=f"{prefix}*",
        methods=_METHODS,
        service=split[0].service,
        key="",
        open=boolean(item.get("public"), "public") or all_open,
        urgent=rank == 0,
        idempotent=_IDEMPOTENT_BY_KIND[kind],
        max_body_bytes=limits.max_body_bytes,
        name=name,
        host=non_empty_string(item.get("host"), "host").lower(),
        split=split if len(split) > 1 else (),
        timeout_ms=int(timeout_ms),
        attempts=integer(item.get("max_attempts", 1), "max_attempts", 1),
        rank=rank,
        target_ms=int(duration_ms(item.get("target_latency", "0ms"))),
    )


def _traffic_split(item: Fields, service_names: set[str]) -> tuple[SplitShare, ...]:
    """Return the services of a route that have a weight above 0."""
    parts = item.get("traffic_split")
    if not parts:
        parts = [{"service": item.get("service"), "weight": 1}]
    if not isinstance(parts, list) or not all(isinstance(p, dict) for p in parts):
        raise WireError("traffic_split must be a list of objects")
    shares = []
    for part in parts:
        service = non_empty_string(part.get("service"), "service")
        if service not in service_names:
            raise WireError(f"unknown service {service!r}")
        weight = integer(part.get("weight", 0), "weight")
        if weight:
            shares.append(SplitShare(service, weight))
    if not shares:
        raise WireError("all weights of a traffic split are 0")
    return tuple(shares)


def _workspace_settings(item: Fields, tolerance: RateTolerance) -> WorkspaceSettings:
    keys = item.get("api_keys") or []
    if not isinstance(keys, list):
        raise WireError("api_keys must be a list")
    rank = item.get("priority")
    # A part of the tolerance compensates for tokens that some entries hold unused.
    factor = 1.0 + tolerance.overage * _TOLERANCE_FRACTION
    rate_per_s = non_negative_number(item.get("rate_per_s", 0), "rate_per_s") * factor
    burst = non_negative_number(item.get("burst", 0), "burst") * factor
    return WorkspaceSettings(
        non_empty_string(item.get("name"), "name"),
        rate_per_s,
        int(burst + tolerance.slack * _TOLERANCE_FRACTION),
        tuple(key_digest(non_empty_string(key, "a key")) for key in keys),
        (ALL_SERVICES,),
        None if rank is None else integer(rank, "priority"),
    )


def _caller_limits(fields: Fields) -> CallerLimits:
    return CallerLimits(
        integer(fields.get("max_header_bytes"), "max_header_bytes", 1),
        integer(fields.get("max_body_bytes"), "max_body_bytes", 1),
        duration_ms(fields.get("header_timeout")) / 1000.0,
        duration_ms(fields.get("idle_timeout")) / 1000.0,
    )


def _check_paths(routes: Iterable[RouteSettings]) -> None:
    seen: set[tuple[str, str]] = set()
    for route in routes:
        if (route.host, route.path) in seen:
            raise WireError(
                f"route {route.name!r} has the same host and path as another route"
            )
        seen.add((route.host, route.path))


def _check_key_owners(workspaces: Iterable[WorkspaceSettings]) -> None:
    owners: dict[str, str] = {}
    for workspace in workspaces:
        for digest in workspace.key_digests:
            if owners.setdefault(digest, workspace.name) != workspace.name:
                raise WireError(
                    f"a key of tenant {workspace.name!r} also belongs to another tenant"
                )
