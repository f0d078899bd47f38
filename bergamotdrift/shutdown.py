"""Graceful shutdown on SIGTERM and SIGINT."""

import signal

import gevent
from gevent.event import Event

# Exit codes of the daemons.
EXIT_FAILED = 1
EXIT_SETTINGS = 2


def shutdown_event() -> Event:
    """Return an event that is set by SIGTERM or SIGINT.

    Repeated signals have no further effect.
    """
    event = Event()
    for number in (signal.SIGTERM, signal.SIGINT):
        gevent.signal_handler(number, event.set)
    return event
