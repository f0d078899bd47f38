"""Apply the rate limit of a workspace to its requests."""

from typing import Any, Protocol

from returns.result import Result, Success

from bergamotdrift.exceptions import Refusal
from bergamotdrift.request import RoutedRequest


class RateTokens(Protocol):
    """Provide the rate tokens of workspaces."""

    def acquire(self, workspace: str, deadline_ms: float) -> Result[Any, Refusal]:
        """Consume a token, or return the refusal if none is available."""
        ...


def take_rate_token(
    routed: RoutedRequest, tokens: RateTokens
) -> Result[RoutedRequest, Refusal]:
    """Return the request after consuming a rate token for it.

    Kinds: RATE_EXCEEDED, ARBITER_UNREACHABLE.

    An anonymous request on an open route needs no token.
    """
    if not routed.workspace:
        return Success(routed)
    return tokens.acquire(routed.workspace, routed.deadline_ms).map(lambda _: routed)
