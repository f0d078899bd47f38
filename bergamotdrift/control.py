"""The control program, which runs one replica of the control group."""

import sys
from dataclasses import dataclass

import cappa

from bergamotdrift.clock import BootClock
from bergamotdrift.config.loader import load_control
from bergamotdrift.control_node import ControlNode, wait_for_shutdown
from bergamotdrift.daemon_startup import ProgramArguments, start_program
from bergamotdrift.exceptions import StorageError
from bergamotdrift.log import log_event
from bergamotdrift.shutdown import EXIT_FAILED, shutdown_event


@cappa.command(name="bergamotdrift-control")
@dataclass
class Arguments(ProgramArguments):
    """Run one replica of the control group."""


def main() -> None:
    """Run a control replica until SIGTERM."""
    cfg = start_program("control", Arguments, load_control)
    stop = shutdown_event()
    control = ControlNode(cfg, BootClock())
    try:
        control.start()
    except StorageError as exc:
        log_event("start_refused", reason=str(exc))
        sys.exit(EXIT_FAILED)
    if not wait_for_shutdown(stop, control.replica.failed):
        sys.exit(EXIT_FAILED)
    control.stop()


if __name__ == "__main__":
    main()
