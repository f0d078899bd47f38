"""The control replica on the platform."""

import sys

from bergamotdrift.clock import BootClock
from bergamotdrift.control_node import Control, wait_for_end
from bergamotdrift.exceptions import StorageError
from bergamotdrift.http_server import HttpServer
from bergamotdrift.log import log_event
from bergamotdrift.platform import startup
from bergamotdrift.platform.boot import Boot, control_settings, stream_addresses
from bergamotdrift.platform.control_api import LeaderCalls, control_app
from bergamotdrift.platform.leader_call_handler import LeaderDesk
from bergamotdrift.platform.range_order_client import PlatformOrders
from bergamotdrift.platform.site_config import RateTolerance
from bergamotdrift.range_orders import RangeOrders
from bergamotdrift.shutdown import EXIT_FAILED, shutdown_event


def main() -> None:
    """Run a control replica until SIGTERM."""
    boot = startup.start("control")
    stop = shutdown_event()
    clock = BootClock()
    control = Control(control_settings(boot), clock)
    nodes = control.server.nodes
    control.server.calls = LeaderDesk(
        control.state,
        nodes.leadership,
        nodes.settings_changed,
        clock,
        boot.zones,
        boot.control,
        RateTolerance(boot.bounds.rate_overage, boot.bounds.rate_slack),
    )
    orders = RangeOrders(nodes.leadership, control.state, clock, PlatformOrders(clock))
    nodes.on_changed = orders.wake
    calls = LeaderCalls(control.server, control.replica)
    http = HttpServer(boot.control, control_app(calls))

    def apply(changed: Boot) -> None:
        control.replica.add_candidates(stream_addresses(changed))

    startup.on_reload(apply)
    try:
        control.start()
    except StorageError as exc:
        log_event("start_refused", reason=str(exc))
        sys.exit(EXIT_FAILED)
    orders.start()
    http.start()
    if not wait_for_end(stop, control.replica.failed):
        sys.exit(EXIT_FAILED)
    orders.stop()
    control.stop()
    http.stop()


if __name__ == "__main__":
    main()
