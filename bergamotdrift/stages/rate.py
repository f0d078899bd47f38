"""Take a rate token for a request of a workspace."""

from typing import Any, Protocol

from returns.result import Result, Success

from bergamotdrift.exceptions import Refusal
from bergamotdrift.request import RoutedRequest


class RateTokens(Protocol):
    """Hand out the rate tokens of workspaces."""

    def acquire(self, workspace: str, deadline_ms: float) -> Result[Any, Refusal]:
        """Use a token, or return why there is none."""
        ...


def take_rate_token(
    routed: RoutedRequest, tokens: RateTokens
) -> Result[RoutedRequest, Refusal]:
    """Return the request once it has a token (RATE_EXCEEDED, ARBITER_UNREACHABLE).

    A request without a workspace, on a route open to all, needs no token.
    """
    if not routed.workspace:
        return Success(routed)
    return tokens.acquire(routed.workspace, routed.deadline_ms).map(lambda _: routed)
