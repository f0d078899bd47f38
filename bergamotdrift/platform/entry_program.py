"""Entry that uses the platform's header names and readiness route."""

from bergamotdrift.admin_apps import readiness_app
from bergamotdrift.clock import BootClock
from bergamotdrift.entry_node import EntryNode
from bergamotdrift.http_server import HttpServer
from bergamotdrift.platform import names, startup
from bergamotdrift.platform.boot import Boot, entry_settings, stream_addresses
from bergamotdrift.platform.wire_dialect import PLATFORM_DIALECT
from bergamotdrift.shutdown import shutdown_event


def run() -> None:
    """Run the entry until SIGTERM."""
    boot = startup.start("entry")
    stop = shutdown_event()
    entry = EntryNode(entry_settings(boot), BootClock(), PLATFORM_DIALECT)
    readiness = HttpServer(boot.ready, readiness_app(names.READY, entry.is_ready))

    def apply(changed: Boot) -> None:
        entry.control.add_replicas(stream_addresses(changed))

    readiness.start()
    entry.start()
    startup.on_reload(apply)
    stop.wait()
    entry.stop()
    readiness.stop()
