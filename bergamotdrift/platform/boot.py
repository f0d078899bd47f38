"""The platform's settings file of a process, and what the programs take from it."""

import json
import re
import secrets
from typing import Any, NamedTuple

from bergamotdrift.config.schema import (
    ControlSettings,
    Dispatch,
    EntrySettings,
    NodeSettings,
    ReplicaAddress,
)
from bergamotdrift.exceptions import ConfigurationError
from bergamotdrift.platform.decoding import WireError, duration_ms, text, whole

CLUSTER = "platform"
# The deploy file names this port for both roles.
METRICS_PORT = 9464
# A node keeps its name on the platform, but each run of an entry is a node of its own:
# a restarted entry need not wait until the session of its last run has ended.
_RUN_BYTES = 3
# No key has this digest: the settings are changed through the platform only.
_NO_OPERATOR = "sha256:" + "0" * 64
# Descriptors kept for upstreams, streams and files.
_RESERVED_FDS = 1000
_HEADER_TIMEOUT_S = 3.0
_BODY_TIMEOUT_S = 5.0
_IDLE_TIMEOUT_S = 15.0
# The balancer takes a node out after two probes, one a second.
_UNREADY_S = 2.4
# Time of the grace that is left to end the session and to exit.
_EXIT_S = 0.9
# Upstreams that can't reach control may still serve, so they stay listed for long.
_UPSTREAM_TTL_MS = 30_000
_SNAPSHOT_ENTRIES = 2048
# Parts of the platform's bounds on repeats that are planned for; the rest covers the
# stock that each entry may hold.
_RETRY_RATIO_SHARE = 0.95
_RETRY_SLACK_SHARE = 0.35


class Bounds(NamedTuple):
    """Hold the platform's bounds that the programs plan with."""

    grace_s: float = 6.0
    retry_ratio: float = 0.2
    retry_slack: float = 0.0
    retry_window_s: float = 10.0
    rate_overage: float = 0.0
    rate_slack: float = 0.0


class Boot(NamedTuple):
    """Hold the settings of one process.

    `zones` maps availability zones to regions. `seeds` are the HTTP addresses of
    control replicas. `founds` tells whether the whole system starts for the first
    time.
    """

    node: str
    ip: str
    zone: str
    zones: dict[str, str]
    front: str
    ready: str
    control: str
    first_port: int
    seeds: tuple[str, ...]
    founds: bool
    max_fds: int
    data_folder: str
    bounds: Bounds


def read_boot(path: str) -> Boot:
    """Return the settings in a file, or raise ConfigurationError."""
    try:
        with open(path, encoding="utf-8") as stream:
            return decode_boot(json.load(stream))
    except (OSError, ValueError, KeyError, TypeError) as exc:
        raise ConfigurationError(f"{path} can't be used: {exc!r}") from exc


def decode_boot(fields: dict[str, Any]) -> Boot:
    """Return the settings in decoded JSON, or raise WireError."""
    listen = fields.get("listen") or {}
    limits = fields.get("limits") or {}
    ports = fields.get("port_range")
    if not isinstance(ports, list) or len(ports) != 2:
        raise WireError("port_range must hold two ports")
    return Boot(
        node=text(fields.get("node"), "node"),
        ip=text(fields.get("ip"), "ip"),
        zone=text(fields.get("zone"), "zone"),
        zones=dict(fields.get("zones") or {}),
        front=listen.get("front") or "",
        ready=listen.get("ready") or "",
        control=listen.get("control") or "",
        first_port=whole(ports[0], "port_range", 1),
        seeds=tuple(fields.get("seeds") or ()),
        founds=fields.get("bootstrap") is True,
        max_fds=int(limits.get("max_fds") or 4096),
        data_folder=fields.get("data_dir") or "",
        bounds=_bounds(fields.get("bounds") or {}),
    )


def _bounds(fields: dict[str, Any]) -> Bounds:
    usual = Bounds()
    grace = fields.get("grace")
    window = fields.get("budget_window")
    return Bounds(
        duration_ms(grace) / 1000.0 if grace else usual.grace_s,
        float(fields.get("retry_budget_ratio", usual.retry_ratio)),
        float(fields.get("retry_budget_slack", usual.retry_slack)),
        duration_ms(window) / 1000.0 if window else usual.retry_window_s,
        float(fields.get("quota_overage", usual.rate_overage)),
        float(fields.get("quota_slack", usual.rate_slack)),
    )


def entry_settings(boot: Boot) -> EntrySettings:
    """Return the settings of an entry."""
    bounds = boot.bounds
    node = _node(boot, f"{boot.node}-{secrets.token_hex(_RUN_BYTES)}")
    return EntrySettings(
        node,
        boot.front,
        _HEADER_TIMEOUT_S,
        _BODY_TIMEOUT_S,
        _IDLE_TIMEOUT_S,
        max(0.5, bounds.grace_s - _EXIT_S),
        max(100, boot.max_fds - _RESERVED_FDS),
        Dispatch.DIRECT,
        _UNREADY_S,
        bounds.retry_ratio * _RETRY_RATIO_SHARE,
        bounds.retry_slack / bounds.retry_window_s * _RETRY_SLACK_SHARE,
    )


def control_settings(boot: Boot) -> ControlSettings:
    """Return the settings of a control replica; the seeds found the first group."""
    voters = [ReplicaAddress(_name_at(s), stream_address(boot, s)) for s in boot.seeds]
    return ControlSettings(
        _node(boot, _name_at(boot.control)),
        f"{boot.ip}:{boot.first_port}",
        f"{boot.ip}:{boot.first_port + 1}",
        boot.data_folder,
        tuple(voters) if boot.founds else (),
        (_NO_OPERATOR,),
        _SNAPSHOT_ENTRIES,
        _UPSTREAM_TTL_MS,
        True,
    )


def stream_address(boot: Boot, http_address: str) -> str:
    """Return the stream address of the control replica at an HTTP address."""
    return f"{http_address.rpartition(':')[0]}:{boot.first_port}"


def stream_addresses(boot: Boot) -> tuple[str, ...]:
    """Return the stream addresses of the seeds."""
    return tuple(stream_address(boot, seed) for seed in boot.seeds)


def _node(boot: Boot, name: str) -> NodeSettings:
    admin = f"{boot.ip}:{METRICS_PORT}"
    control = stream_addresses(boot)
    return NodeSettings(CLUSTER, name, boot.node, boot.zone, control, admin)


def _name_at(address: str) -> str:
    """Return a replica's name, which must follow from the address in the seeds."""
    return "r-" + re.sub(r"[^0-9a-z]+", "-", address.rpartition(":")[0].lower())
