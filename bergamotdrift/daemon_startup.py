"""Common startup of the daemons: arguments, settings, logging and metrics."""

import sys
from collections.abc import Callable
from dataclasses import dataclass
from typing import Annotated, TypeVar

import cappa
from returns.result import Result, Success

from bergamotdrift import __version__
from bergamotdrift.clock import BootClock
from bergamotdrift.config.problems import Problem
from bergamotdrift.config.schema import ArbiterSettings, ControlSettings, EntrySettings
from bergamotdrift.event_loop_watch import watch_event_loop
from bergamotdrift.log import start_logging
from bergamotdrift.shutdown import EXIT_SETTINGS

_Settings = TypeVar("_Settings", EntrySettings, ArbiterSettings, ControlSettings)


@dataclass
class ProgramArguments:
    """Define the command-line arguments common to all daemons."""

    settings: Annotated[str, cappa.Arg(long=True, help="Settings file of this process")]


def start_program(
    program: str,
    arguments: type[ProgramArguments],
    load: Callable[[str], Result[_Settings, list[Problem]]],
) -> _Settings:
    """Load the settings and start logging; on errors, print all and exit with 2."""
    args = cappa.parse(arguments, version=__version__, completion=False)
    loaded = load(args.settings)
    if not isinstance(loaded, Success):
        print("\n".join(map(str, loaded.failure())), file=sys.stderr)
        sys.exit(EXIT_SETTINGS)
    cfg = loaded.unwrap()
    start_logging(program, cfg.node.node)
    watch_event_loop(BootClock())
    return cfg
