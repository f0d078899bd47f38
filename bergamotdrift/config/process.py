"""Options of the process settings of entries, arbiters and control replicas."""

from collections.abc import Mapping
from typing import Any

from returns.result import Failure, Result, Success

from bergamotdrift.config.containers import (
    ListOf,
    NamedValues,
    Section,
)
from bergamotdrift.config.options import (
    Address,
    Boolean,
    Choice,
    Digest,
    Integer,
    Name,
    Number,
    Option,
    Text,
)
from bergamotdrift.config.problems import Problem, Report
from bergamotdrift.config.schema import (
    ArbiterSettings,
    ControlSettings,
    Dispatch,
    EntrySettings,
    NodeSettings,
    ReplicaAddress,
)
from bergamotdrift.constants import SESSION_TTL_MS, SETTINGS_MAX_AGE_MS

_NODE_OPTIONS: dict[str, Option] = {
    "cluster": Name(),
    "node": Name(),
    "vm": Name(),
    "zone": Name(),
    "control": ListOf(Address(), minimum=1),
    "admin_listen": Address(listen=True, advertised=False),
}


def _build_entry(listen: str, **values: Any) -> EntrySettings:
    return EntrySettings(node=_pop_node_settings(values), listen=listen, **values)


def _build_arbiter(**values: Any) -> ArbiterSettings:
    return ArbiterSettings(node=_pop_node_settings(values), **values)


def _build_control(**values: Any) -> ControlSettings:
    return ControlSettings(node=_pop_node_settings(values), **values)


def _pop_node_settings(values: dict[str, Any]) -> NodeSettings:
    return NodeSettings(**{name: values.pop(name) for name in _NODE_OPTIONS})


ENTRY_OPTIONS = Section(
    _build_entry,
    **_NODE_OPTIONS,
    listen=Address(listen=True, advertised=False),
    header_timeout_s=Number(0.1, 300, "s", default=5.0),
    body_timeout_s=Number(0.1, 300, "s", default=10.0),
    idle_timeout_s=Number(0.1, 3600, "s", default=30.0),
    drain_s=Number(0, 600, "s", default=10.0),
    max_connections=Integer(1, 100_000, default=1000),
    dispatch=Choice(Dispatch, default=Dispatch.ARBITER),
    unready_s=Number(0, 600, "s", default=0.0),
    retry_ratio=Number(0, 1, default=0.1),
    retry_fleet_per_s=Number(0, 10_000, "per_s", default=3.0),
    settings_max_age_ms=Integer(500, 600_000, "ms", default=SETTINGS_MAX_AGE_MS),
)

ARBITER_OPTIONS = Section(
    _build_arbiter,
    **_NODE_OPTIONS,
    listen=Address(listen=True),
    announce_listen=Address(listen=True, advertised=False),
    drain_s=Number(0, 600, "s", default=5.0),
)

CONTROL_OPTIONS = Section(
    _build_control,
    **_NODE_OPTIONS,
    listen=Address(listen=True),
    operator_listen=Address(listen=True, advertised=False),
    data_folder=Text("the path of a folder", r"[^\x00]{1,1024}"),
    voters=NamedValues(ReplicaAddress, Address(), minimum=1),
    operator_key_digests=ListOf(Digest(), minimum=1),
    snapshot_entries=Integer(16, 10_000_000, default=4096),
    upstream_ttl_ms=Integer(1000, 600_000, "ms", default=SESSION_TTL_MS),
    open_group=Boolean(default=False),
)


def check_process(
    mapping: Mapping[str, Any], section: Section
) -> Result[Any, list[Problem]]:
    """Check process settings and return them, or all their problems."""
    report = Report()
    values = section.check(mapping, (), report)
    if report.has_errors:
        return Failure(report.problems)
    return Success(section.build(values))
