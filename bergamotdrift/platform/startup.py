"""Startup and settings reload of the platform's programs."""

import signal
import sys
from collections.abc import Callable

import gevent

from bergamotdrift.clock import BootClock
from bergamotdrift.event_loop_watch import watch_event_loop
from bergamotdrift.exceptions import ConfigurationError
from bergamotdrift.log import log_event, start_logging
from bergamotdrift.platform import reload_signal
from bergamotdrift.platform.boot import Boot, read_boot
from bergamotdrift.shutdown import EXIT_SETTINGS

_USAGE = "usage: python -m bergamotdrift.platform.{program} SETTINGS"


def start(program: str) -> Boot:
    """Read the settings and start logging, or exit with status 2."""
    if len(sys.argv) != 2:
        print(_USAGE.format(program=program), file=sys.stderr)
        sys.exit(EXIT_SETTINGS)
    try:
        boot = read_boot(sys.argv[1])
    except ConfigurationError as exc:
        print(exc, file=sys.stderr)
        sys.exit(EXIT_SETTINGS)
    start_logging(program, boot.node)
    watch_event_loop(BootClock())
    return boot


def on_reload(apply: Callable[[Boot], None]) -> None:
    """Call `apply` with the reread settings file on SIGHUP; ignore an invalid file.

    A signal that came earlier, while the program started, counts too.
    """

    def reload() -> None:
        try:
            boot = read_boot(sys.argv[1])
        except ConfigurationError as exc:
            log_event("reload_refused", reason=str(exc))
            return
        apply(boot)
        log_event("reloaded", seeds=",".join(boot.seeds))

    gevent.signal_handler(signal.SIGHUP, reload)
    if reload_signal.was_received():
        reload()
