"""Measurement of the delay of the event loop."""

import gevent

from bergamotdrift.clock import Clock
from bergamotdrift.log import log_event
from bergamotdrift.metrics import LOOP_DELAY

# Short enough to measure every delay that is logged.
LOOP_CHECK_INTERVAL_MS = 100
# Longer than a control replica's heartbeat interval, and most of a leader's lease.
_LOGGED_DELAY_MIN_MS = 200


def watch_event_loop(clock: Clock) -> gevent.Greenlet:
    """Start measuring the delay of the event loop; kill the greenlet to stop."""
    return gevent.spawn(_measure_delay, clock)


def _measure_delay(clock: Clock) -> None:
    while True:
        due_ms = clock.now_ms() + LOOP_CHECK_INTERVAL_MS
        gevent.sleep(LOOP_CHECK_INTERVAL_MS / 1000)
        delay_ms = max(0.0, clock.now_ms() - due_ms)
        LOOP_DELAY.set(delay_ms / 1000)
        if delay_ms >= _LOGGED_DELAY_MIN_MS:
            log_event("event_loop_delayed", delay_ms=round(delay_ms))
