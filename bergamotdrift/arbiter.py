"""Arbiter program: serves the shards that control leases to it."""

import random
import secrets
from dataclasses import dataclass

import cappa

from bergamotdrift.arbiter_server import ArbiterServer
from bergamotdrift.clock import BootClock
from bergamotdrift.config.loader import load_arbiter
from bergamotdrift.daemon_startup import ProgramArguments, start_program
from bergamotdrift.shutdown import shutdown_event

_INCARNATION_BYTES = 8
_SEED_BITS = 64


@cappa.command(name="bergamotdrift-arbiter")
@dataclass
class Arguments(ProgramArguments):
    """Arbitrate permits, rates and idempotency keys for entries."""


def main() -> None:
    """Run the arbiter until SIGTERM."""
    cfg = start_program("arbiter", Arguments, load_arbiter)
    stop = shutdown_event()
    server = ArbiterServer(
        cfg,
        secrets.token_hex(_INCARNATION_BYTES),
        BootClock(),
        random.Random(secrets.randbits(_SEED_BITS)),
    )
    server.start()
    stop.wait()
    server.stop()


if __name__ == "__main__":
    main()
