"""Load site settings and process settings from files."""

from collections.abc import Mapping
from typing import Any, NamedTuple

from returns.result import Failure, Result, Success

from bergamotdrift.config.check import inspect_site
from bergamotdrift.config.containers import Section
from bergamotdrift.config.problems import Problem, Severity
from bergamotdrift.config.process import (
    ARBITER_OPTIONS,
    CONTROL_OPTIONS,
    ENTRY_OPTIONS,
    check_process,
)
from bergamotdrift.config.schema import (
    ArbiterSettings,
    ControlSettings,
    EntrySettings,
    SiteSettings,
)
from bergamotdrift.config.source import Source, read_file, read_merged


def load_site(
    base_path: str, overlay_path: str | None = None
) -> Result[SiteSettings, list[Problem]]:
    """Load and check the settings of a site; return them or all their problems."""
    site_file = inspect_files(base_path, overlay_path)
    if site_file.settings is None:
        return Failure(site_file.problems)
    return Success(site_file.settings)


def load_site_mapping(
    base_path: str, overlay_path: str | None = None
) -> Result[Mapping[str, Any], list[Problem]]:
    """Load the merged mapping of a site without checking it."""
    return read_merged(base_path, overlay_path).map(lambda source: source.mapping)


class SiteFile(NamedTuple):
    """Hold the merged mapping, the settings if it is valid, and all problems."""

    mapping: dict[str, Any]
    settings: SiteSettings | None
    problems: list[Problem]


def inspect_files(base_path: str, overlay_path: str | None = None) -> SiteFile:
    """Load and check the settings of a site; the problems include warnings."""
    merged = read_merged(base_path, overlay_path)
    if isinstance(merged, Failure):
        return SiteFile({}, None, merged.failure())
    source = merged.unwrap()
    inspection = inspect_site(source.mapping)
    return SiteFile(
        source.mapping, inspection.settings, _add_locations(source, inspection.problems)
    )


def load_entry(path: str) -> Result[EntrySettings, list[Problem]]:
    """Load the process settings of an entry."""
    return _load_process(path, ENTRY_OPTIONS)


def load_arbiter(path: str) -> Result[ArbiterSettings, list[Problem]]:
    """Load the process settings of an arbiter."""
    return _load_process(path, ARBITER_OPTIONS)


def load_control(path: str) -> Result[ControlSettings, list[Problem]]:
    """Load the process settings of a control replica."""
    return _load_process(path, CONTROL_OPTIONS)


def _load_process(path: str, section: Section) -> Result[Any, list[Problem]]:
    return read_file(path).bind(lambda source: _check_process(source, section))


def _check_process(source: Source, section: Section) -> Result[Any, list[Problem]]:
    return check_process(source.mapping, section).alt(
        lambda problems: _add_locations(source, problems)
    )


def _add_locations(source: Source, problems: list[Problem]) -> list[Problem]:
    located = [source.locate(problem) for problem in problems]
    return sorted(located, key=_sort_key)


def _sort_key(problem: Problem) -> tuple[bool, str, int]:
    return problem.severity is Severity.WARNING, problem.file, problem.line
