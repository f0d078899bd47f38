"""Authenticate requests by the bearer key of a workspace."""

import hmac
from typing import NamedTuple

from returns.result import Failure, Result, Success

from bergamotdrift.config.schema import SiteSettings
from bergamotdrift.exceptions import ErrorKind, Refusal
from bergamotdrift.hashing import key_digest
from bergamotdrift.request import ANONYMOUS, IncomingRequest

_SCHEME = "bearer "


class KeyOwner(NamedTuple):
    """Associate a key digest with its workspace."""

    digest: str
    workspace: str


class KeyIndex:
    """Look workspaces up by the digest of their keys."""

    def __init__(self, settings: SiteSettings):
        self._owners = {
            digest: KeyOwner(digest, workspace.name)
            for workspace in settings.workspaces
            for digest in workspace.key_digests
        }

    def workspace_of(self, key: str) -> str | None:
        """Return the workspace of a key, or None for an unknown or revoked key."""
        digest = key_digest(key)
        owner = self._owners.get(digest)
        # The dictionary is keyed by digest, so lookup timing reveals nothing about a
        # key. The constant-time comparison also covers digests with equal prefixes.
        if owner is None or not hmac.compare_digest(owner.digest, digest):
            return None
        return owner.workspace


def authenticate(req: IncomingRequest, keys: KeyIndex) -> Result[str, Refusal]:
    """Return the workspace of a request, or ANONYMOUS if it has no key.

    Kind: UNAUTHENTICATED.
    """
    values = req.fields.get("authorization")
    if not values:
        return Success(ANONYMOUS)
    if len(values) > 1 or not values[0].lower().startswith(_SCHEME):
        return Failure(Refusal(ErrorKind.UNAUTHENTICATED))
    workspace = keys.workspace_of(values[0][len(_SCHEME) :].strip())
    if workspace is None:
        return Failure(Refusal(ErrorKind.UNAUTHENTICATED))
    return Success(workspace)
