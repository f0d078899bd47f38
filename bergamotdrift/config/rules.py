"""Rules that span several options of the site settings.

A rule reads the valid part of the values, where anything may be missing that an
option has already reported.
"""

import re
from collections.abc import Callable, Iterator
from typing import Any

from bergamotdrift.config.options import shown, unknown_name
from bergamotdrift.config.problems import Path, Report
from bergamotdrift.config.schema import Fencing, ServiceKind, ZoneState
from bergamotdrift.constants import UNFENCED_REQUEST_TIMEOUT_MAX_MS

Values = dict[str, Any]
Rule = Callable[[Values, Report], None]

_VARIABLE = re.compile(r"\{([^}]*)\}")


def _entries(values: Values, section: str) -> Iterator[tuple[str, Values, Path]]:
    for name, entry in (values.get(section) or {}).items():
        yield name, entry, (section, name)


def check_zones(values: Values, report: Report) -> None:
    """Refuse settings under which no availability zone may receive work."""
    states = values.get("zones") or {}
    if states and all(state is ZoneState.OUT for state in states.values()):
        report.error(("zones",), "every availability zone is out")


def check_kinds(values: Values, report: Report) -> None:
    """Refuse options of a service that contradict its kind."""
    for _, service, path in _entries(values, "services"):
        partitions = service.get("partitions")
        if service.get("kind") is ServiceKind.RANGED:
            message = "'ranged' needs upstreams that are granted keys by calls"
            report.error((*path, "kind"), message)
        if service.get("kind") is ServiceKind.KEYED and partitions == 0:
            message = "must be at least 1 for a keyed service"
            report.error((*path, "partitions"), message)
        if service.get("kind") is ServiceKind.POOL:
            if partitions:
                report.error((*path, "partitions"), "must be 0 for a pool")
            if service.get("fencing") is Fencing.EPOCH:
                report.error((*path, "fencing"), "must be 'none' for a pool")


def check_slots(values: Values, report: Report) -> None:
    """Refuse limits of a service that contradict each other."""
    for _, service, path in _entries(values, "services"):
        slots = service.get("slots")
        if slots is None:
            continue
        initial = (service.get("cold_start") or {}).get("initial_slots", 0)
        if initial > slots:
            message = f"must not be above slots ({slots}), is {initial}"
            report.error((*path, "cold_start", "initial_slots"), message)
        if service.get("connections", slots) < slots:
            message = f"must not be below slots ({slots}), since each needs one"
            report.error((*path, "connections"), message)


def check_unfenced_timeouts(values: Values, report: Report) -> None:
    """Refuse timeouts after which an unfenced key is served again too late."""
    for _, service, path in _entries(values, "services"):
        is_unfenced_keyed = (
            service.get("kind") is ServiceKind.KEYED
            and service.get("fencing") is Fencing.NONE
        )
        limit = UNFENCED_REQUEST_TIMEOUT_MAX_MS
        if is_unfenced_keyed and service.get("request_timeout_ms", 0) > limit:
            message = (
                f"must be at most {limit} for a keyed service with fencing 'none', "
                "since a lost upstream's keys move only after this time"
            )
            report.error((*path, "request_timeout_ms"), message)


def check_route_services(values: Values, report: Report) -> None:
    """Refuse routes to unknown services, and keys that do not fit the service."""
    services = values.get("services")
    for _, route, path in _entries(values, "routes"):
        name = route.get("service")
        if services is None or name is None:
            continue
        if name not in services:
            report.error((*path, "service"), unknown_name(name, services))
        else:
            _check_route_key(route, services[name].get("kind"), path, report)


def _check_route_key(
    route: Values, kind: ServiceKind | None, path: Path, report: Report
) -> None:
    key = route.get("key")
    if key is None or kind is None:
        return
    if kind is ServiceKind.KEYED and not key:
        message = "is missing: a route to a keyed service names its key variable"
        report.error((*path, "key"), message)
    elif kind is ServiceKind.POOL and key:
        report.error((*path, "key"), "must be absent: the service is a pool")


def check_route_paths(values: Values, report: Report) -> None:
    """Refuse paths with repeated variables, and keys that are no path variable."""
    for _, route, path in _entries(values, "routes"):
        if "path" not in route:
            continue
        variables = _VARIABLE.findall(route["path"])
        if len(set(variables)) < len(variables):
            report.error((*path, "path"), "names a variable twice")
        key = route.get("key")
        if key and key not in variables:
            message = f"the path has no variable {shown(key)}"
            report.error((*path, "key"), message)


def check_route_conflicts(values: Values, report: Report) -> None:
    """Refuse two routes with the same path and method, whatever their variables."""
    taken: dict[tuple[str, str], str] = {}
    for name, route, path in _entries(values, "routes"):
        shape = _VARIABLE.sub("{}", route.get("path", ""))
        for method in filter(None, route.get("methods", []) if shape else []):
            first = taken.setdefault((shape, method), name)
            if first != name:
                message = f"{method} on this path belongs to route {first!r} already"
                report.error((*path, "path"), message)


def check_workspace_services(values: Values, report: Report) -> None:
    """Refuse workspaces that may use a service that does not exist."""
    services = values.get("services")
    if services is None:
        return
    for _, workspace, path in _entries(values, "workspaces"):
        for i, name in enumerate(workspace.get("services", [])):
            if name is not None and name not in services:
                message = unknown_name(name, services)
                report.error((*path, "services", i), message)


def check_workspace_keys(values: Values, report: Report) -> None:
    """Refuse a key that belongs to two workspaces; warn of one without keys."""
    owners: dict[str, str] = {}
    for name, workspace, path in _entries(values, "workspaces"):
        digests = workspace.get("key_digests")
        if digests == []:
            report.warning((*path, "key_digests"), "no key: the workspace can't call")
        for i, digest in enumerate(digests or []):
            owner = owners.setdefault(digest, name) if digest else name
            if owner != name:
                message = f"this key belongs to workspace {owner!r} too"
                report.error((*path, "key_digests", i), message)


def check_replicas(values: Values, report: Report) -> None:
    """Refuse replicas that share an address; warn of an even number of them."""
    owners: dict[str, str] = {}
    replicas = values.get("replicas") or {}
    for name, address in replicas.items():
        owner = owners.setdefault(address, name)
        if owner != name:
            message = f"has the address of replica {owner!r}"
            report.error(("replicas", name), message)
    count = len(replicas)
    if count and count % 2 == 0:
        message = f"{count} replicas tolerate no more losses than {count - 1}"
        report.warning(("replicas",), message)


RULES: tuple[Rule, ...] = (
    check_zones,
    check_kinds,
    check_slots,
    check_unfenced_timeouts,
    check_route_services,
    check_route_paths,
    check_route_conflicts,
    check_workspace_services,
    check_workspace_keys,
    check_replicas,
)
