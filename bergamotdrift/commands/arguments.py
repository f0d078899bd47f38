"""Command-line arguments shared by several commands."""

import os
from dataclasses import dataclass, field
from pathlib import Path
from typing import Annotated

import cappa

from bergamotdrift.config.options import Address
from bergamotdrift.config.problems import Report
from bergamotdrift.console import ExitCode
from bergamotdrift.operator_client import OperatorClient

CONTROL_VARIABLE = "BERGAMOTDRIFT_CONTROL"
KEY_VARIABLE = "BERGAMOTDRIFT_OPERATOR_KEY"


def usage_error(message: str) -> cappa.Exit:
    """Return the exit exception for an invalid command line."""
    return cappa.Exit(message, code=ExitCode.USAGE)


@dataclass
class SiteFiles:
    """Hold the paths of the settings files of a site."""

    base: Annotated[str, cappa.Arg(help="Base settings file.")]
    overlay: Annotated[
        str | None, cappa.Arg(help="Overlay file of the site, merged into the base.")
    ] = None


@dataclass
class JsonOption:
    """Select the output format."""

    json: Annotated[bool, cappa.Arg(long=True, help="Print JSON instead of text.")] = (
        False
    )


@dataclass
class ControlOptions:
    """Hold the addresses of the control replicas, the operator key and the timeout."""

    control: Annotated[
        list[str],
        cappa.Arg(
            long=True,
            short=True,
            help="Operator address IPv4:port of a control replica; may be repeated. "
            f"Default: addresses in {CONTROL_VARIABLE}, separated by commas.",
        ),
    ] = field(default_factory=list)
    key_file: Annotated[
        str,
        cappa.Arg(
            long=True,
            help=f"File with the operator key. Default: the key in {KEY_VARIABLE}.",
        ),
    ] = ""
    timeout: Annotated[
        float, cappa.Arg(long=True, help="Timeout of a call in seconds.")
    ] = 10.0

    def create_client(self, *, needs_key: bool = False) -> OperatorClient:
        """Create a client, or exit with a usage error."""
        if not 0 < self.timeout <= 3600:
            raise usage_error("--timeout must be above 0 and at most 3600 seconds")
        key = self._read_key()
        if needs_key and not key:
            raise usage_error(f"no operator key: use --key-file or {KEY_VARIABLE}")
        return OperatorClient(self._replica_addresses(), key, self.timeout)

    def _replica_addresses(self) -> list[str]:
        variable_items = os.environ.get(CONTROL_VARIABLE, "").split(",")
        replicas = self.control or [
            item.strip() for item in variable_items if item.strip()
        ]
        if not replicas:
            message = f"no control replica: use --control or {CONTROL_VARIABLE}"
            raise usage_error(message)
        report = Report()
        for replica in replicas:
            Address().check(replica, ("control",), report)
        if report.problems:
            raise usage_error("; ".join(str(p) for p in report.problems))
        return replicas

    def _read_key(self) -> str:
        key = os.environ.get(KEY_VARIABLE, "")
        if self.key_file:
            try:
                key = Path(self.key_file).read_text()
            except (OSError, ValueError) as exc:
                raise usage_error(f"the key file can't be read: {exc}") from exc
        key = key.strip()
        if not key.isascii() or not key.isprintable():
            raise usage_error("the operator key must be printable ASCII on one line")
        return key
