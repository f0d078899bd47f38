"""Difference between two revisions of the settings, as sent in the feed.

A change names few of the routes and workspaces, while the digests of all workspace keys
make up most of the settings and hardly compress.
"""

from collections.abc import Sequence
from typing import NamedTuple, TypeVar

from bergamotdrift.config.schema import RouteSettings, SiteSettings, WorkspaceSettings

T = TypeVar("T")


class RoutesPatch(NamedTuple):
    """Give for each route its position in the old ones, or -1 if it is added."""

    positions: list[int]
    added: list[RouteSettings]


class WorkspacesPatch(NamedTuple):
    """Give for each workspace its position in the old ones, or -1 if it is added."""

    positions: list[int]
    added: list[WorkspaceSettings]


class SettingsPatch(NamedTuple):
    """Turn the settings of `base_revision` into those of a later revision.

    `rest` holds the new settings without routes and workspaces.
    """

    base_revision: int
    rest: SiteSettings
    routes: RoutesPatch
    workspaces: WorkspacesPatch


def make_patch(
    base_revision: int, old: SiteSettings, new: SiteSettings
) -> SettingsPatch:
    """Return the patch from the settings of a base revision to new ones."""
    return SettingsPatch(
        base_revision,
        new._replace(routes=(), workspaces=()),
        RoutesPatch(*_difference(old.routes, new.routes)),
        WorkspacesPatch(*_difference(old.workspaces, new.workspaces)),
    )


def apply_patch(old: SiteSettings, patch: SettingsPatch) -> SiteSettings:
    """Return the settings that result from a patch of the old ones."""
    return patch.rest._replace(
        routes=_patched(old.routes, patch.routes.positions, patch.routes.added),
        workspaces=_patched(
            old.workspaces, patch.workspaces.positions, patch.workspaces.added
        ),
    )


def _difference(old: Sequence[T], new: Sequence[T]) -> tuple[list[int], list[T]]:
    position_of = {item: position for position, item in enumerate(old)}
    positions = [position_of.get(item, -1) for item in new]
    pairs = zip(new, positions, strict=True)
    return positions, [item for item, position in pairs if position < 0]


def _patched(
    old: Sequence[T], positions: Sequence[int], added: Sequence[T]
) -> tuple[T, ...]:
    new = iter(added)
    return tuple(old[p] if p >= 0 else next(new) for p in positions)
