"""The platform's settings file of a process, and the settings built from it."""

import json
import re
import secrets
from typing import Any, NamedTuple

from bergamotdrift.config.schema import (
    ColdBound,
    ControlSettings,
    Dispatch,
    EntrySettings,
    NodeSettings,
    RangeGrants,
    ReplicaAddress,
    RolloutBounds,
)
from bergamotdrift.exceptions import ConfigurationError
from bergamotdrift.platform.decoding import (
    WireError,
    duration_ms,
    integer,
    non_empty_string,
    non_negative_number,
)

CLUSTER_NAME = "platform"
# The deployment file states this port for both roles.
METRICS_PORT = 9464
# The platform's node name survives a restart, so each run of an entry adds a random
# suffix: a restarted entry then need not wait for its previous session to expire.
_RUN_ID_BYTES = 3
# No key has this digest, so settings can be changed only through the platform.
_UNMATCHABLE_KEY_DIGEST = "sha256:" + "0" * 64
# File descriptors reserved for upstreams, streams and files.
_RESERVED_FDS = 1000
_HEADER_TIMEOUT_S = 3.0
_BODY_TIMEOUT_S = 5.0
_IDLE_TIMEOUT_S = 15.0
# The load balancer removes a node after two failed probes, sent once a second.
_UNREADY_PERIOD_S = 2.4
# Part of the grace period reserved for ending the session and exiting. Requests may be
# broken off only in the last sixth of the grace period.
_EXIT_RESERVE_S = 0.9
_EXIT_RESERVE_RATIO = 0.15
# Upstreams that can't reach control may still serve requests, so their TTL is long.
_UPSTREAM_TTL_MS = 30_000
_SNAPSHOT_ENTRIES = 2048
# Fractions of the platform's retry bounds that the entries plan to use; the rest covers
# the retries that each entry may have saved up.
_RETRY_RATIO_FRACTION = 0.95
_RETRY_SLACK_FRACTION = 0.35
# Part of a bound on how soon a change is in force that is left for requests on their
# way to an entry or to an upstream.
_IN_FLIGHT_MARGIN_MS = 200
_RANGE_GRANTS = {
    "request": RangeGrants.CALLED,
    "heartbeat": RangeGrants.ANNOUNCED,
}
_ROLLOUT_BOUNDS = ("exposure_share", "exposure_slack", "rollback")
_IN_FORCE_BOUNDS = ("config_apply", "drain", "evacuate", "revoke")


class Bounds(NamedTuple):
    """Hold the platform's bounds.

    `in_force_ms` is the shortest of the times after which a confirmed change of the
    settings, a leaving upstream, an evacuation or a withdrawn key binds every entry.
    """

    grace_s: float = 6.0
    retry_ratio: float = 0.2
    retry_slack: float = 0.0
    retry_window_s: float = 10.0
    rate_overage: float = 0.0
    rate_slack: float = 0.0
    in_force_ms: float = 2000.0
    cold: ColdBound = ColdBound()
    # None if the platform does no rollouts.
    rollout: RolloutBounds | None = None


class Boot(NamedTuple):
    """Hold the settings of one process.

    `zones` maps availability zones to regions. `seeds` are the HTTP addresses of
    control replicas. `founds` is true when the whole system starts for the first
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
    range_grants: RangeGrants = RangeGrants.CALLED


def read_boot(path: str) -> Boot:
    """Read the settings file, or raise ConfigurationError."""
    try:
        with open(path, encoding="utf-8") as stream:
            return decode_boot(json.load(stream))
    except (OSError, ValueError, KeyError, TypeError) as exc:
        raise ConfigurationError(
            f"{path} is not a valid settings file: {exc!r}"
        ) from exc


def decode_boot(fields: dict[str, Any]) -> Boot:
    """Decode the settings from a JSON object, or raise WireError."""
    listen = fields.get("listen") or {}
    limits = fields.get("limits") or {}
    ports = fields.get("port_range")
    if not isinstance(ports, list) or len(ports) != 2:
        raise WireError("port_range must be a list of two ports")
    return Boot(
        node=non_empty_string(fields.get("node"), "node"),
        ip=non_empty_string(fields.get("ip"), "ip"),
        zone=non_empty_string(fields.get("zone"), "zone"),
        zones=dict(fields.get("zones") or {}),
        front=listen.get("front") or "",
        ready=listen.get("ready") or "",
        control=listen.get("control") or "",
        first_port=integer(ports[0], "port_range", 1),
        seeds=tuple(fields.get("seeds") or ()),
        founds=fields.get("bootstrap") is True,
        max_fds=int(limits.get("max_fds") or 4096),
        data_folder=fields.get("data_dir") or "",
        bounds=_decode_bounds(fields.get("bounds") or {}),
        range_grants=_decode_range_grants(fields.get("grants")),
    )


def _decode_range_grants(value: Any) -> RangeGrants:
    """Decode how ranges are granted; installations without ranges state nothing."""
    if not value:
        return RangeGrants.CALLED
    grants = _RANGE_GRANTS.get(non_empty_string(value, "grants"))
    if grants is None:
        raise WireError(f"grants must be one of {', '.join(_RANGE_GRANTS)}")
    return grants


def _decode_bounds(fields: dict[str, Any]) -> Bounds:
    defaults = Bounds()
    grace = fields.get("grace")
    window = fields.get("budget_window")
    return Bounds(
        duration_ms(grace) / 1000.0 if grace else defaults.grace_s,
        float(fields.get("retry_budget_ratio", defaults.retry_ratio)),
        float(fields.get("retry_budget_slack", defaults.retry_slack)),
        duration_ms(window) / 1000.0 if window else defaults.retry_window_s,
        float(fields.get("quota_overage", defaults.rate_overage)),
        float(fields.get("quota_slack", defaults.rate_slack)),
        min(
            (
                duration_ms(fields[name])
                for name in _IN_FORCE_BOUNDS
                if fields.get(name)
            ),
            default=defaults.in_force_ms,
        ),
        _decode_cold_bound(fields, defaults.cold),
        _decode_rollout_bounds(fields),
    )


def _decode_cold_bound(fields: dict[str, Any], default: ColdBound) -> ColdBound:
    overage = non_negative_number(
        fields.get("warmup_overage", default.overage), "warmup_overage"
    )
    if not overage:
        raise WireError("warmup_overage must be above 0")
    slack = non_negative_number(
        fields.get("warmup_slack", default.slack), "warmup_slack"
    )
    return ColdBound(overage, slack)


def _decode_rollout_bounds(fields: dict[str, Any]) -> RolloutBounds | None:
    """Decode the bounds of rollouts, None if not all of them are stated."""
    if any(fields.get(name) is None for name in _ROLLOUT_BOUNDS):
        return None
    share = non_negative_number(fields["exposure_share"], "exposure_share")
    if share > 1.0:
        raise WireError("exposure_share must be at most 1")
    return RolloutBounds(
        share,
        non_negative_number(fields["exposure_slack"], "exposure_slack"),
        _milliseconds(fields["rollback"]),
    )


def _milliseconds(value: Any) -> float:
    """Decode a duration, or a number of milliseconds."""
    if isinstance(value, str):
        return duration_ms(value)
    return non_negative_number(value, "rollback")


def entry_settings(boot: Boot) -> EntrySettings:
    """Build the settings of an entry."""
    bounds = boot.bounds
    node = _node_settings(boot, f"{boot.node}-{secrets.token_hex(_RUN_ID_BYTES)}")
    return EntrySettings(
        node,
        boot.front,
        _HEADER_TIMEOUT_S,
        _BODY_TIMEOUT_S,
        _IDLE_TIMEOUT_S,
        bounds.grace_s - min(_EXIT_RESERVE_S, _EXIT_RESERVE_RATIO * bounds.grace_s),
        max(100, boot.max_fds - _RESERVED_FDS),
        Dispatch.DIRECT,
        _UNREADY_PERIOD_S,
        bounds.retry_ratio * _RETRY_RATIO_FRACTION,
        bounds.retry_slack / bounds.retry_window_s * _RETRY_SLACK_FRACTION,
        round(bounds.in_force_ms - _IN_FLIGHT_MARGIN_MS),
        bounds.cold,
    )


def control_settings(boot: Boot) -> ControlSettings:
    """Build the settings of a control replica.

    The seeds are the voters when the system starts for the first time.
    """
    voters = [
        ReplicaAddress(_replica_name(s), stream_address(boot, s)) for s in boot.seeds
    ]
    return ControlSettings(
        _node_settings(boot, _replica_name(boot.control)),
        f"{boot.ip}:{boot.first_port}",
        f"{boot.ip}:{boot.first_port + 1}",
        boot.data_folder,
        tuple(voters) if boot.founds else (),
        (_UNMATCHABLE_KEY_DIGEST,),
        _SNAPSHOT_ENTRIES,
        _UPSTREAM_TTL_MS,
        True,
        boot.range_grants,
        boot.bounds.cold,
        boot.bounds.rollout,
    )


def stream_address(boot: Boot, http_address: str) -> str:
    """Return the stream address of the control replica at an HTTP address."""
    return f"{http_address.rpartition(':')[0]}:{boot.first_port}"


def stream_addresses(boot: Boot) -> tuple[str, ...]:
    """Return the stream addresses of the seeds."""
    return tuple(stream_address(boot, seed) for seed in boot.seeds)


def _node_settings(boot: Boot, name: str) -> NodeSettings:
    admin = f"{boot.ip}:{METRICS_PORT}"
    control = stream_addresses(boot)
    return NodeSettings(CLUSTER_NAME, name, boot.node, boot.zone, control, admin)


def _replica_name(address: str) -> str:
    """Return a replica's name, derived from its address.

    All replicas must derive the same name from the address in the seeds.
    """
    return "r-" + re.sub(r"[^0-9a-z]+", "-", address.rpartition(":")[0].lower())
