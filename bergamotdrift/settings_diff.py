"""Summary of a settings change for the audit trail."""

from collections.abc import Iterable
from typing import Any

from bergamotdrift.config.schema import SiteSettings

_MAX_LINES = 40
_NAME_FIELDS = {
    "zones": "name",
    "services": "name",
    "routes": "path",
    "workspaces": "name",
    "replicas": "replica",
}
# Digests of secrets: the audit trail names these fields without their values.
_HIDDEN_FIELDS = frozenset({"key_digests"})


def summarize_change(
    before: SiteSettings | None, after: SiteSettings
) -> tuple[str, ...]:
    """Return one line for each added, removed or changed item."""
    lines = []
    for section, name_field in _NAME_FIELDS.items():
        old = getattr(before, section) if before is not None else ()
        lines += _section_lines(section, name_field, old, getattr(after, section))
    if len(lines) > _MAX_LINES:
        omitted = len(lines) - _MAX_LINES
        lines = [*lines[:_MAX_LINES], f"and {omitted} more"]
    return tuple(lines)


def _section_lines(
    section: str, name_field: str, before: Iterable[Any], after: Iterable[Any]
) -> list[str]:
    old = _by_name(before, name_field)
    new = _by_name(after, name_field)
    lines = [f"{section}: - {name}" for name in old if name not in new]
    for name, item in new.items():
        if name not in old:
            lines.append(f"{section}: + {name}")
        elif old[name] != item:
            lines.append(f"{section}: ~ {name} ({_changed_fields(old[name], item)})")
    return lines


def _by_name(items: Iterable[Any], name_field: str) -> dict[str, Any]:
    """Return items by name; items of equal name are numbered in order."""
    named: dict[str, Any] = {}
    for item in items:
        name = getattr(item, name_field)
        key, count = name, 1
        while key in named:
            count += 1
            key = f"{name} #{count}"
        named[key] = item
    return named


def _changed_fields(before: Any, after: Any) -> str:
    changes = []
    for field in after._fields:
        old, new = getattr(before, field), getattr(after, field)
        if old == new:
            continue
        hidden = field in _HIDDEN_FIELDS
        changes.append(field if hidden else f"{field}: {old} -> {new}"[:200])
    return ", ".join(changes)
