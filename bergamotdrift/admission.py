"""Decide whether an entry may take new work at all."""

from bergamotdrift import constants
from bergamotdrift.clock import Clock
from bergamotdrift.config.schema import ServiceKind, SiteSettings
from bergamotdrift.exceptions import ErrorKind, Refusal
from bergamotdrift.request import RoutedRequest


class Admission:
    """Follow shutdown and the state of the entry's availability zone."""

    def __init__(self, zone: str, clock: Clock):
        self._zone = zone
        self._clock = clock
        self._out_since_ms: float | None = None
        # While an entry stops it is unready, but takes requests until it is closed.
        self.stopping = False
        self.closed = False

    def note_settings(self, settings: SiteSettings) -> None:
        """Take note of new settings."""
        if not settings.zone_is_out(self._zone):
            self._out_since_ms = None
        elif self._out_since_ms is None:
            self._out_since_ms = self._clock.now_ms()

    def is_ready(self, settings_age_ms: float) -> bool:
        """Tell whether the balancer should send new work."""
        fresh = settings_age_ms <= constants.SETTINGS_STALE_MS
        return fresh and not self.stopping and self._out_since_ms is None

    def refusal(self) -> Refusal | None:
        """Return why all new work is refused, or None."""
        if self.closed:
            return Refusal(ErrorKind.SHUTTING_DOWN)
        since_ms = self._out_since_ms
        if since_ms is None:
            return None
        # The balancer needs a moment to notice that the entry is unready.
        if self._clock.now_ms() - since_ms < constants.ZONE_OUT_GRACE_MS:
            return None
        return Refusal(ErrorKind.ZONE_OUT)


def is_stale(settings_age_ms: float) -> bool:
    """Tell whether settings were confirmed too long ago."""
    return settings_age_ms > constants.SETTINGS_STALE_MS


def may_deny(settings_age_ms: float) -> bool:
    """Tell whether settings are recent enough to state that a route or key is absent.

    A newer revision, in force elsewhere, may have added it.
    """
    return settings_age_ms <= constants.DENIAL_AGE_MAX_MS


def may_run_stale(routed: RoutedRequest) -> bool:
    """Tell whether a request may run under settings that can't be confirmed."""
    return routed.route.open and routed.service.kind is ServiceKind.POOL
