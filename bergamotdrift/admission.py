"""Control admission of new requests to an entry."""

from bergamotdrift import constants
from bergamotdrift.clock import Clock
from bergamotdrift.config.schema import (
    Dispatch,
    EntrySettings,
    ServiceKind,
    SiteSettings,
)
from bergamotdrift.exceptions import ErrorKind, Refusal
from bergamotdrift.request import RoutedRequest


class Admission:
    """Track shutdown, the availability zone's state and the age of the settings."""

    def __init__(self, cfg: EntrySettings, clock: Clock):
        self._cfg = cfg
        self._clock = clock
        self._out_since_ms: float | None = None
        # A stopping entry is not ready, but accepts requests until it is closed.
        self.stopping = False
        self.closed = False

    def apply_settings(self, settings: SiteSettings) -> None:
        """Update the state of the zone from new settings."""
        if not settings.zone_is_out(self._cfg.node.zone):
            self._out_since_ms = None
        elif self._out_since_ms is None:
            self._out_since_ms = self._clock.now_ms()

    def is_ready(self, settings_age_ms: float) -> bool:
        """Return True if the load balancer should send new requests."""
        if self.is_stale(settings_age_ms):
            return False
        return not self.stopping and self._out_since_ms is None

    def is_stale(self, settings_age_ms: float) -> bool:
        """Return True if a newer revision may already be in force elsewhere.

        Stale settings neither allow nor deny a request: a route may have a new service,
        a key may be withdrawn, and an unknown route or key may have been added.
        """
        return settings_age_ms > self._cfg.settings_max_age_ms

    def may_run_stale(self, routed: RoutedRequest) -> bool:
        """Return True if a request may run under stale settings.

        An arbiter with current settings then grants its permit.
        """
        if self._cfg.dispatch is not Dispatch.ARBITER:
            return False
        return routed.route.open and routed.service.kind is ServiceKind.POOL

    def refusal(self) -> Refusal | None:
        """Return the refusal for all new requests, or None to admit them."""
        if self.closed:
            return Refusal(ErrorKind.SHUTTING_DOWN)
        since_ms = self._out_since_ms
        if since_ms is None:
            return None
        # The load balancer notices a failing readiness check only after a delay.
        if self._clock.now_ms() - since_ms < constants.ZONE_OUT_GRACE_MS:
            return None
        return Refusal(ErrorKind.ZONE_OUT)
