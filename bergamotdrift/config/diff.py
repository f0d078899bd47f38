"""Differences between two versions of the site settings, defaults included."""

from collections.abc import Iterator, Mapping
from enum import StrEnum
from typing import Any, NamedTuple

from bergamotdrift.config.check import inspect_site
from bergamotdrift.config.problems import Path, format_path
from bergamotdrift.plain import plain

# The field that identifies the entries of each section.
_NAME_FIELDS = {
    "zones": "name",
    "services": "name",
    "routes": "path",
    "workspaces": "name",
    "replicas": "replica",
}


class ChangeKind(StrEnum):
    """List the kinds of change of a value."""

    ADDED = "added"
    REMOVED = "removed"
    CHANGED = "changed"


class ValueChange(NamedTuple):
    """Describe one changed value; `old` or `new` is None if there is none."""

    kind: ChangeKind
    path: str
    old: Any
    new: Any

    def __str__(self) -> str:
        if self.kind is ChangeKind.ADDED:
            return f"+ {self.path}: {self.new}"
        if self.kind is ChangeKind.REMOVED:
            return f"- {self.path}: {self.old}"
        return f"~ {self.path}: {self.old} -> {self.new}"


def diff_sites(
    old: Mapping[str, Any] | None, new: Mapping[str, Any]
) -> list[ValueChange]:
    """Return the values that differ between two merged mappings."""
    return list(_diff_values(_index_sections(old or {}), _index_sections(new), ()))


def with_defaults(mapping: Mapping[str, Any]) -> Mapping[str, Any]:
    """Return the settings as lists of entries, with all defaults included."""
    settings = inspect_site(mapping).settings
    # Settings that another version accepted may be invalid in this version.
    return mapping if settings is None else plain(settings)


def _index_sections(settings: Mapping[str, Any]) -> dict[str, Any]:
    """Return the settings with each section as a mapping from name to entry."""
    return {
        section: _index_entries(value, _NAME_FIELDS[section])
        if section in _NAME_FIELDS and isinstance(value, list)
        else value
        for section, value in with_defaults(settings).items()
    }


def _index_entries(rows: list[Any], name_field: str) -> dict[str, Any]:
    entries: dict[str, Any] = {}
    for row in rows:
        fields = dict(row) if isinstance(row, Mapping) else {name_field: row}
        name = str(fields.pop(name_field, ""))
        if "methods" in fields:
            # The path alone is not unique: routes with different methods may share it.
            name += " " + ",".join(map(str, fields["methods"]))
        entries[name] = fields
    return entries


def _diff_values(old: Any, new: Any, path: Path) -> Iterator[ValueChange]:
    if isinstance(old, Mapping) and isinstance(new, Mapping):
        for name in [*old, *(name for name in new if name not in old)]:
            yield from _diff_values(old.get(name), new.get(name), (*path, str(name)))
    elif isinstance(old, Mapping) or isinstance(new, Mapping):
        yield from _diff_values(old if isinstance(old, Mapping) else {}, {}, path)
        yield from _diff_values({}, new if isinstance(new, Mapping) else {}, path)
    elif isinstance(old, list) or isinstance(new, list):
        yield from _diff_lists(_as_list(old), _as_list(new), path)
    elif old != new:
        yield _value_change(old, new, path)


def _as_list(value: Any) -> list[Any]:
    if isinstance(value, list):
        return value
    return [] if value is None else [value]


def _diff_lists(old: list[Any], new: list[Any], path: Path) -> Iterator[ValueChange]:
    """Compare lists as sets, since their order is not significant."""
    for value in old:
        if value not in new:
            yield _value_change(value, None, path)
    for value in new:
        if value not in old:
            yield _value_change(None, value, path)


def _value_change(old: Any, new: Any, path: Path) -> ValueChange:
    kind = ChangeKind.CHANGED
    if old is None:
        kind = ChangeKind.ADDED
    elif new is None:
        kind = ChangeKind.REMOVED
    return ValueChange(kind, format_path(path), old, new)
