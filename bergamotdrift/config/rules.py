"""Validation rules across several options of the site settings.

A rule reads only the valid values: those that an option has already reported as
invalid are missing.
"""

import re
from collections.abc import Callable, Iterator
from typing import Any

from bergamotdrift.config.options import format_value, unknown_name_message
from bergamotdrift.config.problems import Path, Report
from bergamotdrift.config.schema import Fencing, ServiceKind, ZoneState
from bergamotdrift.constants import UNFENCED_REQUEST_TIMEOUT_MAX_MS

Values = dict[str, Any]
Rule = Callable[[Values, Report], None]

_VARIABLE = re.compile(r"\{([^}]*)\}")


def _iter_entries(values: Values, section: str) -> Iterator[tuple[str, Values, Path]]:
    for name, entry in (values.get(section) or {}).items():
        yield name, entry, (section, name)


def check_zones(values: Values, report: Report) -> None:
    """Reject settings in which every availability zone is out."""
    states = values.get("zones") or {}
    if states and all(state is ZoneState.OUT for state in states.values()):
        report.error(("zones",), "every availability zone is out")


def check_kinds(values: Values, report: Report) -> None:
    """Reject options of a service that conflict with its kind."""
    for _, service, path in _iter_entries(values, "services"):
        partitions = service.get("partitions")
        if service.get("kind") is ServiceKind.RANGED:
            message = "'ranged' is supported only under a platform adapter"
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
    """Reject limits of a service that conflict with each other."""
    for _, service, path in _iter_entries(values, "services"):
        slots = service.get("slots")
        if slots is None:
            continue
        initial_slots = (service.get("cold_start") or {}).get("initial_slots", 0)
        if initial_slots > slots:
            message = f"must not be above slots ({slots}), is {initial_slots}"
            report.error((*path, "cold_start", "initial_slots"), message)
        if service.get("connections", slots) < slots:
            message = f"must not be below slots ({slots}): each slot needs a connection"
            report.error((*path, "connections"), message)


def check_unfenced_timeouts(values: Values, report: Report) -> None:
    """Reject timeouts that delay the failover of an unfenced key for too long."""
    for _, service, path in _iter_entries(values, "services"):
        is_unfenced_keyed = (
            service.get("kind") is ServiceKind.KEYED
            and service.get("fencing") is Fencing.NONE
        )
        limit = UNFENCED_REQUEST_TIMEOUT_MAX_MS
        if is_unfenced_keyed and service.get("request_timeout_ms", 0) > limit:
            message = (
                f"must be at most {limit} for a keyed service with fencing 'none', "
                "since the keys of a lost upstream are reassigned only after this time"
            )
            report.error((*path, "request_timeout_ms"), message)


def check_route_services(values: Values, report: Report) -> None:
    """Reject routes to unknown services, and keys that conflict with the service."""
    services = values.get("services")
    for _, route, path in _iter_entries(values, "routes"):
        name = route.get("service")
        if services is None or name is None:
            continue
        if name not in services:
            report.error((*path, "service"), unknown_name_message(name, services))
        else:
            _check_route_key(route, services[name].get("kind"), path, report)


def _check_route_key(
    route: Values, kind: ServiceKind | None, path: Path, report: Report
) -> None:
    key = route.get("key")
    if key is None or kind is None:
        return
    if kind is ServiceKind.KEYED and not key:
        message = "is missing: a route to a keyed service needs a key variable"
        report.error((*path, "key"), message)
    elif kind is ServiceKind.POOL and key:
        report.error((*path, "key"), "must be absent: the service is a pool")


def check_route_paths(values: Values, report: Report) -> None:
    """Reject paths with duplicate variables, and keys that are not path variables."""
    for _, route, path in _iter_entries(values, "routes"):
        if "path" not in route:
            continue
        variables = _VARIABLE.findall(route["path"])
        if len(set(variables)) < len(variables):
            report.error((*path, "path"), "contains a variable twice")
        key = route.get("key")
        if key and key not in variables:
            message = f"the path has no variable {format_value(key)}"
            report.error((*path, "key"), message)


def check_route_conflicts(values: Values, report: Report) -> None:
    """Reject routes with the same path and method, ignoring variable names."""
    owners: dict[tuple[str, str], str] = {}
    for name, route, path in _iter_entries(values, "routes"):
        normalized_path = _VARIABLE.sub("{}", route.get("path", ""))
        for method in filter(None, route.get("methods", []) if normalized_path else []):
            owner = owners.setdefault((normalized_path, method), name)
            if owner != name:
                message = f"{method} on this path belongs to route {owner!r} already"
                report.error((*path, "path"), message)


def check_workspace_services(values: Values, report: Report) -> None:
    """Reject workspaces that list an unknown service."""
    services = values.get("services")
    if services is None:
        return
    for _, workspace, path in _iter_entries(values, "workspaces"):
        for i, name in enumerate(workspace.get("services", [])):
            if name is not None and name not in services:
                message = unknown_name_message(name, services)
                report.error((*path, "services", i), message)


def check_workspace_keys(values: Values, report: Report) -> None:
    """Reject a key shared by two workspaces; warn of a workspace without keys."""
    owners: dict[str, str] = {}
    for name, workspace, path in _iter_entries(values, "workspaces"):
        digests = workspace.get("key_digests")
        if digests == []:
            report.warning((*path, "key_digests"), "no key: the workspace can't call")
        for i, digest in enumerate(digests or []):
            owner = owners.setdefault(digest, name) if digest else name
            if owner != name:
                message = f"this key belongs to workspace {owner!r} too"
                report.error((*path, "key_digests", i), message)


def check_replicas(values: Values, report: Report) -> None:
    """Reject replicas with the same address; warn of an even number of replicas."""
    owners: dict[str, str] = {}
    replicas = values.get("replicas") or {}
    for name, address in replicas.items():
        owner = owners.setdefault(address, name)
        if owner != name:
            message = f"duplicate address: also the address of replica {owner!r}"
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
