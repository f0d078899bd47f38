"""Waits of requests that were not sent yet, which a planned stop refuses."""

from collections.abc import Callable
from typing import Any, TypeVar

import gevent
from gevent import get_hub
from returns.result import Failure, Result

from bergamotdrift.exceptions import Refusal, RequestError

_T = TypeVar("_T")


class RefusableWaits:
    """Run waits in the greenlets of their requests until all are refused at once."""

    def __init__(self) -> None:
        self._waiting: set[Any] = set()
        self._refusal: Refusal | None = None

    def run(self, wait: Callable[[], Result[_T, Refusal]]) -> Result[_T, Refusal]:
        """Return the result of a wait, or the refusal of all waits."""
        if self._refusal is not None:
            return Failure(self._refusal)
        greenlet = gevent.getcurrent()
        self._waiting.add(greenlet)
        try:
            return wait()
        except RequestError as exc:
            return Failure(exc.refusal)
        finally:
            self._waiting.discard(greenlet)

    def refuse_all(self, refusal: Refusal) -> None:
        """End all waits with a refusal, and those that would begin later."""
        self._refusal = refusal
        # The hub's turn: by then, a wait that just got its permit has ended.
        get_hub().loop.run_callback(self._interrupt, refusal)

    def _interrupt(self, refusal: Refusal) -> None:
        for greenlet in list(self._waiting):
            greenlet.throw(RequestError(refusal.kind, refusal.detail))
