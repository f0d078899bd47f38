"""The entry program, which proxies requests of callers to upstreams."""

from dataclasses import dataclass

import cappa

from bergamotdrift.clock import BootClock
from bergamotdrift.config.loader import load_entry
from bergamotdrift.daemon_startup import ProgramArguments, start_program
from bergamotdrift.entry_node import EntryNode
from bergamotdrift.shutdown import shutdown_event


@cappa.command(name="bergamotdrift-entry")
@dataclass
class Arguments(ProgramArguments):
    """Route requests of callers to the upstreams that own their keys."""


def main() -> None:
    """Run the entry until SIGTERM."""
    cfg = start_program("entry", Arguments, load_entry)
    stop = shutdown_event()
    entry = EntryNode(cfg, BootClock())
    entry.start()
    stop.wait()
    entry.stop()


if __name__ == "__main__":
    main()
