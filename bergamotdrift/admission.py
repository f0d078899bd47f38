"""Control admission of new requests to an entry."""

from bergamotdrift import constants
from bergamotdrift.clock import Clock
from bergamotdrift.config.schema import ServiceKind, SiteSettings
from bergamotdrift.exceptions import ErrorKind, Refusal
from bergamotdrift.request import RoutedRequest


class Admission:
    """Track shutdown and the state of the entry's availability zone."""

    def __init__(self, zone: str, clock: Clock):
        self._zone = zone
        self._clock = clock
        self._out_since_ms: float | None = None
        # A stopping entry is not ready, but accepts requests until it is closed.
        self.stopping = False
        self.closed = False

    def apply_settings(self, settings: SiteSettings) -> None:
        """Update the state of the zone from new settings."""
        if not settings.zone_is_out(self._zone):
            self._out_since_ms = None
        elif self._out_since_ms is None:
            self._out_since_ms = self._clock.now_ms()

    def is_ready(self, settings_age_ms: float) -> bool:
        """Return True if the load balancer should send new requests."""
        fresh = settings_age_ms <= constants.SETTINGS_STALE_MS
        return fresh and not self.stopping and self._out_since_ms is None

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


def is_stale(settings_age_ms: float) -> bool:
    """Return True if the settings have not been confirmed recently enough."""
    return settings_age_ms > constants.SETTINGS_STALE_MS


def may_deny(settings_age_ms: float) -> bool:
    """Return True if settings are fresh enough to reject an unknown route or key.

    A newer revision, already active elsewhere, may have added it.
    """
    return settings_age_ms <= constants.DENIAL_SETTINGS_AGE_MAX_MS


def may_run_stale(routed: RoutedRequest) -> bool:
    """Return True if a request may run under stale settings."""
    return routed.route.open and routed.service.kind is ServiceKind.POOL
