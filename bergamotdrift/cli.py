"""Operator command line."""

import sys
from dataclasses import dataclass

import cappa

from bergamotdrift.commands.apply import Apply
from bergamotdrift.commands.audit import Audit
from bergamotdrift.commands.check import Check
from bergamotdrift.commands.show import Show
from bergamotdrift.commands.status import Status
from bergamotdrift.console import Console, ExitCode


@cappa.command(
    name="bergamotdrift",
    help="Check, apply and inspect the settings of a site.",
    description="Exit codes: 0 done; 1 problems found or refused; 2 usage error; "
    "3 no replica could be reached, or the outcome is unknown.",
)
@dataclass
class Bergamotdrift:
    """Hold the selected command."""

    command: cappa.Subcommands[Check | Apply | Show | Status | Audit]


def main(argv: list[str] | None = None) -> int:
    """Run the command line and return its exit code."""
    try:
        return int(cappa.invoke(Bergamotdrift, argv=argv, completion=False))
    except KeyboardInterrupt:
        # A change may have been applied if it was already sent.
        Console.print_note("interrupted; the outcome of a call is unknown")
        return ExitCode.UNREACHABLE


if __name__ == "__main__":
    sys.exit(main())
