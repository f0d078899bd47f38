"""The `show` command: show the running settings."""

from dataclasses import dataclass
from typing import Any

import cappa
from returns.result import Failure

from bergamotdrift.commands.arguments import ControlOptions, JsonOption
from bergamotdrift.commands.reports import report_failure
from bergamotdrift.config.diff import with_defaults
from bergamotdrift.console import Console, ExitCode, format_sections
from bergamotdrift.operator_api import Running

_DIGEST_CHARS = len("sha256:") + 12


@cappa.command(name="show", help="Show the running settings.")
@dataclass
class Show:
    """Hold the arguments of the `show` command."""

    control: cappa.Destructured[ControlOptions]
    output: cappa.Destructured[JsonOption]

    def __call__(self) -> ExitCode:
        """Run the command and return its exit code."""
        console = Console(self.output.json)
        running = self.control.create_client().current_settings()
        if isinstance(running, Failure):
            return report_failure(console, running.failure())
        current = running.unwrap()
        data = {
            "revision": current.revision,
            "author": current.author,
            "settings": current.settings,
        }
        console.print_result(data, _format_settings(current))
        return ExitCode.OK


def _format_settings(current: Running) -> str:
    if current.settings is None:
        return f"revision {current.revision}: no settings yet"
    heading = f"revision {current.revision} by {current.author or 'unknown'}"
    return f"{heading}\n\n{format_sections(_shorten(with_defaults(current.settings)))}"


def _shorten(value: Any) -> Any:
    """Return the settings with key digests shortened to a distinctive prefix."""
    if isinstance(value, dict):
        return {name: _shorten(item) for name, item in value.items()}
    if isinstance(value, list):
        return [_shorten(item) for item in value]
    if isinstance(value, str) and value.startswith("sha256:"):
        return value[:_DIGEST_CHARS]
    return value
