"""Check site settings and report all problems at once."""

from collections.abc import Mapping
from typing import Any, NamedTuple

from returns.result import Failure, Result, Success

from bergamotdrift.config.problems import Problem, Report
from bergamotdrift.config.rules import RULES
from bergamotdrift.config.schema import SiteSettings
from bergamotdrift.config.site import SITE_OPTIONS

__all__ = ["Inspection", "Problem", "check_site", "inspect_site"]


class Inspection(NamedTuple):
    """Hold the settings, None if there are errors, and all problems."""

    settings: SiteSettings | None
    problems: list[Problem]


def inspect_site(mapping: Any) -> Inspection:
    """Check a merged mapping; warnings alone do not make it invalid."""
    report = Report()
    values = SITE_OPTIONS.check(mapping, (), report)
    if values is not None:
        for rule in RULES:
            rule(values, report)
    if report.has_errors:
        return Inspection(None, report.problems)
    return Inspection(SITE_OPTIONS.build(values), report.problems)


def check_site(mapping: Mapping[str, Any]) -> Result[SiteSettings, list[Problem]]:
    """Check a merged mapping and return its settings, or all its problems."""
    inspection = inspect_site(mapping)
    if inspection.settings is None:
        return Failure(inspection.problems)
    return Success(inspection.settings)
