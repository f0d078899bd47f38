"""Control replica that serves the platform's HTTP calls."""

import sys

from bergamotdrift.clock import BootClock, Clock
from bergamotdrift.config.schema import RangeGrants
from bergamotdrift.control_node import ControlNode, wait_for_shutdown
from bergamotdrift.exceptions import StorageError
from bergamotdrift.http_server import HttpServer
from bergamotdrift.log import log_event
from bergamotdrift.platform import startup
from bergamotdrift.platform.boot import Boot, control_settings, stream_addresses
from bergamotdrift.platform.control_api import LeaderCallForwarder, control_app
from bergamotdrift.platform.leader_call_handler import PlatformCallHandler
from bergamotdrift.platform.range_order_client import RangeOrderClient
from bergamotdrift.platform.site_config import RateTolerance
from bergamotdrift.range_delivery import RangeDelivery
from bergamotdrift.range_orders import RangeOrderSender
from bergamotdrift.range_replies import RangeReplies
from bergamotdrift.shutdown import EXIT_FAILED, shutdown_event


def run() -> None:
    """Run a control replica until SIGTERM."""
    boot = startup.start("control")
    stop = shutdown_event()
    clock = BootClock()
    control = ControlNode(control_settings(boot), clock)
    nodes = control.server.node_streams
    ranges = _range_delivery(boot, control, clock)
    control.server.leader_call_handler = PlatformCallHandler(
        control.state,
        nodes.leadership,
        nodes.on_settings_changed,
        clock,
        boot.zones,
        boot.control,
        RateTolerance(boot.bounds.rate_overage, boot.bounds.rate_slack),
        ranges,
        boot.bounds.rollout,
    )
    nodes.on_changed = ranges.wake
    forwarder = LeaderCallForwarder(control.server, control.replica)
    http = HttpServer(boot.control, control_app(forwarder))

    def apply(changed: Boot) -> None:
        control.replica.add_join_addresses(stream_addresses(changed))

    try:
        control.start()
    except StorageError as exc:
        log_event("start_refused", reason=str(exc))
        sys.exit(EXIT_FAILED)
    startup.on_reload(apply)
    ranges.start()
    http.start()
    if not wait_for_shutdown(stop, control.replica.failed):
        sys.exit(EXIT_FAILED)
    http.shut_down()
    ranges.stop()
    control.stop()


def _range_delivery(boot: Boot, control: ControlNode, clock: Clock) -> RangeDelivery:
    leadership = control.server.node_streams.leadership
    if boot.range_grants is RangeGrants.ANNOUNCED:
        return RangeReplies(leadership, control.state, clock)
    return RangeOrderSender(leadership, control.state, clock, RangeOrderClient(clock))
