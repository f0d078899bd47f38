"""The `status` command: show the state of the site."""

from dataclasses import dataclass

import cappa
from returns.result import Failure

from bergamotdrift.commands.arguments import ControlOptions, JsonOption
from bergamotdrift.commands.reports import report_failure
from bergamotdrift.console import Console, ExitCode, format_sections


@cappa.command(name="status", help="Show nodes, upstreams and ownership.")
@dataclass
class Status:
    """Hold the arguments of the `status` command."""

    control: cappa.Destructured[ControlOptions]
    output: cappa.Destructured[JsonOption]

    def __call__(self) -> ExitCode:
        """Run the command and return its exit code."""
        console = Console(self.output.json)
        status = self.control.create_client().status()
        if isinstance(status, Failure):
            return report_failure(console, status.failure())
        data = status.unwrap()
        console.print_result(data, format_sections(data))
        return ExitCode.OK
