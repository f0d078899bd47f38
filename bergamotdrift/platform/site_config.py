"""The platform's configuration: its wire form, its checks, and our settings from it."""

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
    duration_ms,
    flag,
    number,
    text,
    whole,
)
from bergamotdrift.stages.route import ALL_SERVICES

_SECTIONS = ("routes", "services", "tenants")
_KINDS = {"safe": True, "unsafe": False, "upload": False}
_SITE = "platform"
# The requests' own deadlines and their routes' timeouts are shorter.
_REQUEST_TIMEOUT_MS = 60_000
# Upstreams state their slots; this counts until they do.
_SLOTS = 2
_QUEUE_LIMIT = 1000
_COLD_SLOTS = 1
_TOLERANCE_USED = 0.5
_METHODS = tuple(method.value for method in Method)

Fields = dict[str, Any]


class WireConfig(NamedTuple):
    """Hold a whole configuration, with the items of each section by name."""

    version: int
    base_version: int
    sections: dict[str, dict[str, Fields]]
    limits: Fields


class WirePatch(NamedTuple):
    """Hold a change of named items."""

    version: int
    base_version: int
    put: dict[str, dict[str, Fields]]
    drop: dict[str, list[str]]
    limits: Fields | None


def parse_json(body: bytes) -> Fields:
    """Return the object in a body, or raise WireError."""
    try:
        value = msgspec.json.decode(body)
    except (msgspec.DecodeError, RecursionError) as exc:
        raise WireError(f"the body is no JSON: {exc}") from exc
    if not isinstance(value, dict):
        raise WireError("the body must be an object")
    return value


def decode_config(body: bytes) -> WireConfig:
    """Return a whole configuration, or raise WireError."""
    fields = parse_json(body)
    sections = {name: _items(fields.get(name), name) for name in _SECTIONS}
    limits = fields.get("limits")
    if not isinstance(limits, dict) or not sections["routes"]:
        raise WireError("routes and limits are needed")
    return WireConfig(_version(fields), _base(fields), sections, limits)


def decode_patch(body: bytes) -> WirePatch:
    """Return a change of named items, or raise WireError."""
    fields = parse_json(body)
    put = fields.get("upsert") or {}
    drop = fields.get("remove") or {}
    if not isinstance(put, dict) or not isinstance(drop, dict):
        raise WireError("upsert and remove must be objects")
    return WirePatch(
        _version(fields),
        _base(fields),
        {name: _items(put.get(name), name) for name in _SECTIONS},
        {name: _names(drop.get(name), name) for name in _SECTIONS},
        put.get("limits"),
    )


def patched(current: WireConfig, patch: WirePatch) -> WireConfig:
    """Return the configuration after a change of named items."""
    sections = {}
    for name, items in current.sections.items():
        dropped = set(patch.drop[name])
        kept = {n: item for n, item in items.items() if n not in dropped}
        sections[name] = kept | patch.put[name]
    limits = current.limits if patch.limits is None else patch.limits
    return WireConfig(patch.version, patch.base_version, sections, limits)


def dump(config: WireConfig) -> bytes:
    """Return a configuration in the form in which it is stored."""
    return msgspec.json.encode(config)


def load(data: bytes) -> WireConfig:
    """Return a stored configuration."""
    return msgspec.json.decode(data, type=WireConfig)


def encode_config(config: WireConfig) -> bytes:
    """Return a configuration in the form in which the operator sends it."""
    body: Fields = {"version": config.version}
    body |= {name: _rows(items) for name, items in config.sections.items()}
    body["limits"] = config.limits
    return msgspec.json.encode(body)


class RateTolerance(NamedTuple):
    """Hold how far workspaces may pass their limits: a share, and a count at once."""

    overage: float = 0.0
    slack: float = 0.0


NO_TOLERANCE = RateTolerance()


def to_settings(
    config: WireConfig,
    zones: Iterable[str],
    tolerance: RateTolerance = NO_TOLERANCE,
) -> SiteSettings:
    """Return the settings that a configuration stands for, or raise WireError."""
    services = [_service(item) for item in config.sections["services"].values()]
    limits = _limits(config.limits)
    known = {service.name for service in services}
    routes = [
        _route(item, known, limits) for item in config.sections["routes"].values()
    ]
    _check_places(routes)
    tenants = config.sections["tenants"].values()
    workspaces = [_workspace(item, tolerance) for item in tenants]
    _check_keys(workspaces)
    return SiteSettings(
        _SITE,
        tuple(ZoneSettings(zone, ZoneState.IN) for zone in sorted(zones)),
        tuple(services),
        tuple(routes),
        tuple(workspaces),
        limits=limits,
    )


def _version(fields: Fields) -> int:
    return whole(fields.get("version"), "version", 1)


def _base(fields: Fields) -> int:
    return whole(fields.get("base_version", 0), "base_version")


def _items(section: Any, what: str) -> dict[str, Fields]:
    """Return the items of a section in columns and rows, by name."""
    if section is None:
        return {}
    if not isinstance(section, dict):
        raise WireError(f"{what} must be an object")
    columns, rows = section.get("columns"), section.get("rows")
    if not isinstance(columns, list) or not isinstance(rows, list):
        raise WireError(f"{what} must have columns and rows")
    items = {}
    for row in rows:
        if not isinstance(row, list) or len(row) != len(columns):
            raise WireError(f"a row of {what} does not fit its columns")
        pairs = zip(columns, row, strict=True)
        item = {str(name): value for name, value in pairs if value is not None}
        name = text(item.get("name"), f"the name in {what}")
        if name in items:
            raise WireError(f"{what} names {name!r} twice")
        items[name] = item
    return items


def _names(names: Any, what: str) -> list[str]:
    if names is None:
        return []
    if not isinstance(names, list):
        raise WireError(f"what to remove of {what} must be a list")
    return [text(name, f"a name in {what}") for name in names]


def _rows(items: Mapping[str, Fields]) -> Fields:
    columns: dict[str, None] = {}
    for item in items.values():
        columns |= dict.fromkeys(item)
    rows = [[item.get(name) for name in columns] for item in items.values()]
    return {"columns": list(columns), "rows": rows}


def _service(item: Fields) -> ServiceSettings:
    # A service is divided by key if it is `sharded`, whatever else it says.
    ranged = flag(item.get("sharded"), "sharded")
    cold_s = duration_ms(item.get("slow_start", "0s")) / 1000.0
    per_s = number(item.get("warmup_per_s", 0), "warmup_per_s")
    return ServiceSettings(
        text(item.get("name"), "name"),
        ServiceKind.RANGED if ranged else ServiceKind.POOL,
        0,
        Fencing.EPOCH if ranged else Fencing.NONE,
        _SLOTS,
        whole(item.get("max_conns", 1), "max_conns", 1),
        ColdStartSettings(_COLD_SLOTS, cold_s, per_s),
        _REQUEST_TIMEOUT_MS,
        _QUEUE_LIMIT,
    )


def _route(item: Fields, known: set[str], limits: CallerLimits) -> RouteSettings:
    name = text(item.get("name"), "name")
    kind = item.get("kind")
    if kind not in _KINDS:
        raise WireError(f"route {name!r} has an unknown kind")
    prefix = text(item.get("path_prefix"), "path_prefix")
    if not (prefix.startswith("/") and prefix.endswith("/")):
        raise WireError(f"the prefix of route {name!r} must begin and end with /")
    timeout_ms = duration_ms(item.get("timeout"))
    if timeout_ms < 1:
        raise WireError(f"route {name!r} has no timeout")
    rank = whole(item.get("priority", 0), "priority")
    split = _split(item, known)
    return RouteSettings(
        path=f"{prefix}*",
        methods=_METHODS,
        service=split[0].service,
        key="",
        open=flag(item.get("public"), "public"),
        urgent=rank == 0,
        idempotent=_KINDS[kind],
        max_body_bytes=limits.max_body_bytes,
        name=name,
        host=text(item.get("host"), "host").lower(),
        split=split if len(split) > 1 else (),
        timeout_ms=int(timeout_ms),
        attempts=whole(item.get("max_attempts", 1), "max_attempts", 1),
        rank=rank,
        target_ms=int(duration_ms(item.get("target_latency", "0ms"))),
    )


def _split(item: Fields, known: set[str]) -> tuple[SplitShare, ...]:
    """Return the services of a route with their weights above 0."""
    parts = item.get("traffic_split")
    if not parts:
        parts = [{"service": item.get("service"), "weight": 1}]
    if not isinstance(parts, list) or not all(isinstance(p, dict) for p in parts):
        raise WireError("traffic_split must be a list of objects")
    shares = []
    for part in parts:
        service = text(part.get("service"), "service")
        if service not in known:
            raise WireError(f"unknown service {service!r}")
        weight = whole(part.get("weight", 0), "weight")
        if weight:
            shares.append(SplitShare(service, weight))
    if not shares:
        raise WireError("the weights of a route add up to 0")
    return tuple(shares)


def _workspace(item: Fields, tolerance: RateTolerance) -> WorkspaceSettings:
    keys = item.get("api_keys") or []
    if not isinstance(keys, list):
        raise WireError("api_keys must be a list")
    rank = item.get("priority")
    # Part of the tolerance makes up for tokens that lie unused at some entries.
    factor = 1.0 + tolerance.overage * _TOLERANCE_USED
    rate_per_s = number(item.get("rate_per_s", 0), "rate_per_s") * factor
    burst = number(item.get("burst", 0), "burst") * factor
    return WorkspaceSettings(
        text(item.get("name"), "name"),
        rate_per_s,
        int(burst + tolerance.slack * _TOLERANCE_USED),
        tuple(key_digest(text(key, "a key")) for key in keys),
        (ALL_SERVICES,),
        None if rank is None else whole(rank, "priority"),
    )


def _limits(fields: Fields) -> CallerLimits:
    return CallerLimits(
        whole(fields.get("max_header_bytes"), "max_header_bytes", 1),
        whole(fields.get("max_body_bytes"), "max_body_bytes", 1),
        duration_ms(fields.get("header_timeout")) / 1000.0,
        duration_ms(fields.get("idle_timeout")) / 1000.0,
    )


def _check_places(routes: Iterable[RouteSettings]) -> None:
    places: set[tuple[str, str]] = set()
    for route in routes:
        if (route.host, route.path) in places:
            raise WireError(f"route {route.name!r} has the place of another")
        places.add((route.host, route.path))


def _check_keys(workspaces: Iterable[WorkspaceSettings]) -> None:
    owners: dict[str, str] = {}
    for workspace in workspaces:
        for digest in workspace.key_digests:
            if owners.setdefault(digest, workspace.name) != workspace.name:
                raise WireError(f"a key of tenant {workspace.name!r} has two owners")
