"""JSON request and response bodies of the operator API."""

from typing import Any

import msgspec

from bergamotdrift.exceptions import ErrorKind


class Change(msgspec.Struct):
    """Request to replace the settings at `base_revision`; `request` is its id."""

    request: str
    base_revision: int
    author: str
    settings: dict[str, Any]


class Accepted(msgspec.Struct):
    """Response to an accepted change."""

    revision: int
    outcome: str = ""


class Running(msgspec.Struct):
    """Current settings; revision 0 has none."""

    revision: int
    author: str = ""
    settings: dict[str, Any] | None = None


class RemoteProblem(msgspec.Struct):
    """Problem that a control replica found in the settings."""

    path: str = ""
    message: str = ""


class RefusalBody(msgspec.Struct):
    """Refusal of a call; `revision` and `author` are those of the current settings."""

    error: str
    message: str = ""
    not_run: bool = False
    revision: int | None = None
    author: str = ""
    leader: str = ""
    problems: list[RemoteProblem] = []

    def is_kind(self, kind: ErrorKind) -> bool:
        """Return whether the refusal has an error kind."""
        return self.error == kind.value
