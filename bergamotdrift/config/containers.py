"""Options that contain other options: lists, sections and named entries."""

import re
from collections.abc import Callable, Mapping
from typing import Any

from bergamotdrift.config.options import (
    Name,
    Option,
    Scalar,
    closest_match,
    format_value,
)
from bergamotdrift.config.problems import Path, Report

_UNIT_SUFFIX = re.compile(r"_(per_s|per_min|min|us|ms|s|bytes|kb|mb|kib|mib)$")


class ListOf(Option):
    """Accept a list of distinct values."""

    def __init__(self, item: Scalar, *, minimum: int = 0, **kwargs: Any):
        super().__init__(**kwargs)
        self.item = item
        self._minimum = minimum

    def describe(self) -> str:
        """Describe the items of the list."""
        lower_bound = f", at least {self._minimum}" if self._minimum else ""
        return f"a list of distinct values{lower_bound}: each {self.item.describe()}"

    def check(self, value: Any, path: Path, report: Report) -> list[Any] | None:
        """Return the items, None for each invalid one, or None if it is not a list."""
        if not isinstance(value, (list, tuple)):
            self.report_invalid(value, path, report)
            return None
        if len(value) < self._minimum:
            report.error(path, f"must contain at least {self._minimum} value")
        items: list[Any] = []
        seen = set()
        for i, raw_item in enumerate(value):
            item = self.item.check(raw_item, (*path, i), report)
            if item is not None and item in seen:
                report.error((*path, i), "duplicate value in the list")
                item = None
            seen.add(item)
            items.append(item)
        return items

    def build(self, value: Any) -> tuple[Any, ...]:
        """Build a tuple of the items."""
        return tuple(self.item.build(item) for item in value)


class Section(Option):
    """Accept an object with a fixed set of settings; `factory` builds the result."""

    kind = "an object"

    def __init__(self, factory: Callable[..., Any], **options: Option):
        super().__init__()
        self._factory = factory
        self.options = options

    def check(self, value: Any, path: Path, report: Report) -> dict[str, Any] | None:
        """Return the valid values by name, or None if it is not an object."""
        if not isinstance(value, Mapping):
            self.report_invalid(value, path, report)
            return None
        suggested_names = self._report_unknown(value, path, report)
        valid: dict[str, Any] = {}
        for name, option in self.options.items():
            if name in value:
                item = option.check(value[name], (*path, name), report)
            elif option.required:
                item = None
                if name not in suggested_names:
                    report.error((*path, name), f"is missing: {option.describe()}")
            else:
                item = option.default
            if item is not None:
                valid[name] = item
        return valid

    def build(self, value: Any, **extra: Any) -> Any:
        """Build the settings object."""
        built = {name: self.options[name].build(item) for name, item in value.items()}
        return self._factory(**built, **extra)

    def _report_unknown(
        self, value: Mapping[Any, Any], path: Path, report: Report
    ) -> set[str]:
        suggested_names = set()
        missing = [name for name in self.options if name not in value]
        for name in value:
            if not isinstance(name, str):
                report.error(path, f"a name must be a string, not {format_value(name)}")
            elif name not in self.options:
                match = self._match_without_unit(name, missing) or closest_match(
                    name, missing
                )
                suggested_names.add(match)
                report.error((*path, name), self._unknown_message(name, match))
        return suggested_names

    def _unknown_message(self, name: str, match: str) -> str:
        if not match:
            known = ", ".join(self.options)
            return f"unknown setting; the settings here are {known}"
        return f"unknown setting; did you mean {match!r}?"

    def _match_without_unit(self, name: str, missing: list[str]) -> str:
        """Return the missing setting that differs only in its unit, or empty text."""
        stem = _UNIT_SUFFIX.sub("", name)
        return next((m for m in missing if _UNIT_SUFFIX.sub("", m) == stem), "")


class NamedSections(Option):
    """Accept an object that maps names to sections; `name_field` stores the name."""

    kind = "an object of named entries"

    def __init__(
        self,
        section: Section,
        *,
        name_field: str | None = "name",
        minimum: int = 0,
        **kwargs: Any,
    ):
        super().__init__(**kwargs)
        self.section = section
        self._name_field = name_field
        self._minimum = minimum

    def check(self, value: Any, path: Path, report: Report) -> dict[str, Any] | None:
        """Return the valid part of each entry, or None if it is not an object."""
        if not isinstance(value, Mapping):
            self.report_invalid(value, path, report)
            return None
        if len(value) < self._minimum:
            report.error(path, f"must contain at least {self._minimum} entry")
        valid = {}
        for name, raw_entry in value.items():
            if _check_name(name, path, report):
                item = self.section.check(raw_entry, (*path, name), report)
                valid[name] = item if item is not None else {}
        return valid

    def build(self, value: Any) -> tuple[Any, ...]:
        """Build a tuple of the entries, in the order of the file."""
        return tuple(self._build_entry(name, item) for name, item in value.items())

    def _build_entry(self, name: str, item: Any) -> Any:
        extra = {self._name_field: name} if self._name_field else {}
        return self.section.build(item, **extra)


class NamedValues(Option):
    """Accept an object that maps names to single values."""

    def __init__(
        self,
        factory: Callable[[str, Any], Any],
        item: Option,
        *,
        minimum: int = 0,
        **kwargs: Any,
    ):
        super().__init__(**kwargs)
        self._factory = factory
        self.item = item
        self._minimum = minimum

    def describe(self) -> str:
        """Describe the value of each name."""
        return f"an object from name to value: each {self.item.describe()}"

    def check(self, value: Any, path: Path, report: Report) -> dict[str, Any] | None:
        """Return the valid values by name, or None if it is not an object."""
        if not isinstance(value, Mapping):
            self.report_invalid(value, path, report)
            return None
        if len(value) < self._minimum:
            report.error(path, f"must contain at least {self._minimum} entry")
        valid = {}
        for name, raw_value in value.items():
            if _check_name(name, path, report):
                item = self.item.check(raw_value, (*path, name), report)
                if item is not None:
                    valid[name] = item
        return valid

    def build(self, value: Any) -> tuple[Any, ...]:
        """Build a tuple of the entries, in the order of the file."""
        return tuple(self._factory(name, item) for name, item in value.items())


def _check_name(name: Any, path: Path, report: Report) -> bool:
    """Return whether a name is valid, and report it if it is not."""
    if not isinstance(name, str):
        report.error(path, f"a name must be a string, not {format_value(name)}")
        return False
    return Name().check(name, (*path, name), report) is not None
