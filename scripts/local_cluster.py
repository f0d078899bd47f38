"""Run all processes of a site on loopback, for the demo, the smoke run and tests."""

import json
import os
import random
import signal
import socket
import subprocess
import sys
import tempfile
import threading
import time
from collections.abc import Callable
from functools import partial
from pathlib import Path
from typing import Any, NamedTuple

import json5
from returns.pipeline import is_successful

from bergamotdrift.config.loader import load_site, load_site_mapping
from bergamotdrift.config.schema import ServiceKind, SiteSettings
from bergamotdrift.hashing import key_digest
from scripts.http_calls import HttpReply, call_http

ROOT = Path(__file__).resolve().parents[1]
_BASE_SETTINGS = ROOT / "sites" / "base.jsonc"
OPERATOR_KEY = "demo-operator"
CONTROL_REPLICAS = 3
_SHUTDOWN_TIMEOUT_S = 10.0
_PORT_MIN = 20_000
_PORT_MAX = 32_000
_RESERVED_SOCKETS: list[socket.socket] = []
_RESERVE_LOCK = threading.Lock()


class SitePlan(NamedTuple):
    """Describe the size of a site; `upstreams` maps each service to a count."""

    site: str
    vms: int
    upstreams: dict[str, int]
    service_ms: float = 5.0
    cold_s: float = 0.0


SITE_PLANS = {
    "iroda": SitePlan(
        "iroda", 9, {"case-tracking": 17, "submission-filing": 6, "archive": 6}
    ),
    "hollins-marr": SitePlan(
        "hollins-marr",
        9,
        {"stock-and-slots": 15, "hire-contracts": 8, "site-documents": 8},
    ),
}


def small_plan(site: str, vms: int = 3, upstreams_per_service: int = 2) -> SitePlan:
    """Return a plan for tests with few processes."""
    services = SITE_PLANS[site].upstreams
    return SitePlan(site, vms, dict.fromkeys(services, upstreams_per_service))


def wait_until(
    condition: Callable[[], Any],
    timeout_s: float,
    description: str,
    poll_interval_s: float = 0.05,
) -> Any:
    """Poll a condition and return its first true value.

    Raises TimeoutError after `timeout_s` seconds.
    """
    deadline = time.monotonic() + timeout_s
    while True:
        value = condition()
        if value:
            return value
        if time.monotonic() > deadline:
            raise TimeoutError(f"timed out after {timeout_s} s: {description}")
        time.sleep(poll_interval_s)


def free_address() -> str:
    """Return a loopback address whose port stays reserved for this process.

    The port is below the ephemeral range that the kernel uses for port 0. The
    reserving socket doesn't listen, so a server with SO_REUSEADDR can still bind the
    port, while another call of this function, in any process, can't.
    """
    with _RESERVE_LOCK:
        while True:
            port = random.randrange(_PORT_MIN, _PORT_MAX)
            if _reserve_port(port):
                return f"127.0.0.1:{port}"


def _reserve_port(port: int) -> bool:
    """Reserve a port; return False if it is already in use."""
    reserving = socket.socket()
    reserving.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
    try:
        with socket.socket() as probe:
            probe.bind(("127.0.0.1", port))
        reserving.bind(("127.0.0.1", port))
    except OSError:
        reserving.close()
        return False
    _RESERVED_SOCKETS.append(reserving)
    return True


class ProcessKill(NamedTuple):
    """Record when a process was killed, in seconds since the epoch."""

    name: str
    killed_at: float


class LocalCluster:
    """Start, stop, kill and pause the processes of one site by name.

    Names are `control-1`, `arbiter-1`, `entry-1` and `<service>-1`. The first
    three VMs run a control replica.
    """

    def __init__(self, plan: SitePlan, overrides: dict[str, Any] | None = None):
        self.plan = plan
        self._overrides = overrides or {}
        self._temporary_directory = tempfile.TemporaryDirectory(prefix="bergamotdrift-")
        self.folder = Path(self._temporary_directory.name)
        self.processes: dict[str, subprocess.Popen] = {}
        self._commands: dict[str, list[str]] = {}
        vms = range(1, plan.vms + 1)
        controls = range(1, CONTROL_REPLICAS + 1)
        self.control_addresses = {f"control-{i}": free_address() for i in controls}
        # Differs from `control_addresses` if a test puts a relay in front of a replica.
        self.control_listen_addresses = dict(self.control_addresses)
        self.operator_addresses = {f"control-{i}": free_address() for i in controls}
        self.announce_addresses = {f"arbiter-{i}": free_address() for i in vms}
        self.entries = {f"entry-{i}": free_address() for i in vms}
        self.admin_addresses: dict[str, str] = {}
        self.upstream_addresses: dict[str, str] = {}
        self._kills: list[ProcessKill] = []
        self._cached_overlay = ""
        self._cached_mapping: Any = None
        self.overlay = self._write_overlay()

    # Settings

    def site(self) -> SiteSettings:
        """Load and return the site settings."""
        result = load_site(str(_BASE_SETTINGS), str(self.overlay))
        assert is_successful(result), result
        return result.unwrap()

    def zones(self) -> list[str]:
        """Return the names of the site's availability zones."""
        return [zone.name for zone in self.site().zones]

    def edit_overlay(self, edit: Callable[[dict[str, Any]], None]) -> None:
        """Edit the overlay file; `apply` makes the change take effect."""
        mapping = json.loads(self.overlay.read_text())
        edit(mapping)
        self.overlay.write_text(json.dumps(mapping))

    def apply(self, base_revision: int, request: str) -> HttpReply:
        """Apply the overlay file through the first control replica that responds."""
        body = {
            "request": request,
            "base_revision": base_revision,
            "author": "local",
            "settings": self._site_mapping(),
        }
        return self.operator_call("POST", "/v1/settings", body)

    def operator_call(
        self, method: str, path: str, body: Any = None, replica: str = ""
    ) -> HttpReply:
        """Call the given control replica, or each in turn until one handles the call.

        Statuses 0, 421 and 503 go on to the next replica.
        """
        reply = HttpReply(0, {}, b"")
        for name in [replica] if replica else self.operator_addresses:
            reply = call_http(
                self.operator_addresses[name],
                method,
                path,
                json.dumps(body).encode() if body is not None else b"",
                {
                    "Authorization": f"Bearer {OPERATOR_KEY}",
                    "Content-Type": "application/json",
                },
            )
            if reply.status not in (0, 421, 503):
                break
        return reply

    # Processes

    def start(self) -> None:
        """Start all processes, apply the settings and wait until the site is ready."""
        for name in self.control_addresses:
            self.start_control(name)
        wait_until(self._apply_initial_settings, 20, "initial settings are accepted")
        for number in range(1, self.plan.vms + 1):
            self.start_arbiter(number)
            self.start_entry(number)
        self.start_upstreams()
        self.wait_ready(30)

    def start_control(self, name: str, folder: str = "") -> None:
        """Start a control replica; the data folder defaults to its name."""
        index = int(name.rsplit("-", 1)[1])
        settings = self._node_settings(name, index)
        settings |= {
            "listen": self.control_listen_addresses[name],
            "operator_listen": self.operator_addresses[name],
            "data_folder": str(self.folder / (folder or name)),
            "voters": self.control_addresses,
            "operator_key_digests": [key_digest(OPERATOR_KEY)],
            "snapshot_entries": 64,
        }
        self._start_program("bergamotdrift.control", name, settings)

    def start_arbiter(self, number: int) -> None:
        """Start the arbiter of a VM."""
        name = f"arbiter-{number}"
        settings = self._node_settings(name, number)
        settings |= {
            "listen": "127.0.0.1:0",
            "announce_listen": self.announce_addresses[name],
        }
        self._start_program("bergamotdrift.arbiter", name, settings)

    def start_entry(self, number: int) -> None:
        """Start the entry of a VM."""
        name = f"entry-{number}"
        settings = self._node_settings(name, number)
        settings |= {"listen": self.entries[name]}
        self._start_program("bergamotdrift.entry", name, settings)

    def start_upstreams(self) -> None:
        """Start the stand-in upstreams of all services, distributed over the zones."""
        for service in self.site().services:
            for number in range(1, self.plan.upstreams[service.name] + 1):
                self.start_upstream(service.name, number)

    def start_upstream(self, service_name: str, number: int) -> str:
        """Start one stand-in upstream and return its name."""
        service = self.site().service(service_name)
        assert service is not None, service_name
        name = f"{service_name}-{number}"
        zones = self.zones()
        address = self.upstream_addresses.setdefault(name, free_address())
        self._start_process(
            name,
            [
                str(ROOT / "scripts" / "stand_in_upstream.py"),
                f"--service={service_name}",
                f"--upstream={name}",
                f"--zone={zones[(number - 1) % len(zones)]}",
                f"--listen={address}",
                f"--arbiters={','.join(self.announce_addresses.values())}",
                f"--slots={service.slots}",
                f"--connections={service.connections}",
                f"--service-ms={self.plan.service_ms}",
                f"--cold-s={self.plan.cold_s}",
                f"--fencing={service.fencing.value}",
                f"--record={self.folder / name}.executions",
            ],
        )
        return name

    def wait_ready(self, timeout_s: float) -> None:
        """Wait until running entries are ready and every partition has an owner."""
        for name in self.entries:
            if name in self.processes:
                ready = partial(self.is_ready, name)
                wait_until(ready, timeout_s, f"{name} is ready")

        def all_owned() -> bool:
            reply = self.operator_call("GET", "/v1/status")
            return reply.status == 200 and self._all_partitions_owned(reply.json())

        wait_until(all_owned, timeout_s, "every partition has an owner")

    def is_ready(self, name: str) -> bool:
        """Return whether the readiness check of a process returns 200."""
        return call_http(self.admin_addresses[name], "GET", "/ready").status == 200

    def request(
        self,
        entry: str,
        method: str,
        path: str,
        workspace: str = "",
        body: bytes = b"",
        **headers: str,
    ) -> HttpReply:
        """Send a request to an entry; header names use `_` for `-`."""
        request_headers = {
            name.replace("_", "-"): value for name, value in headers.items()
        }
        if workspace:
            request_headers["Authorization"] = f"Bearer demo-{workspace}"
        return call_http(
            self.entries[entry],
            method,
            path,
            body,
            request_headers,
            timeout_s=10,
        )

    def executions(self) -> list[dict[str, Any]]:
        """Return the last recorded state of each execution at any stand-in upstream."""
        executions: dict[tuple[str, str, float], dict[str, Any]] = {}
        for path in self.folder.glob("*.executions"):
            for text in path.read_text().splitlines():
                line = json.loads(text)
                execution_id = (line["upstream"], line["request_id"], line["started"])
                executions[execution_id] = line
        return [self._with_kill_time(line) for line in executions.values()]

    def _with_kill_time(self, line: dict[str, Any]) -> dict[str, Any]:
        """Return an execution that ends when its upstream was killed, if it was."""
        if line["ended"] is not None:
            return line
        kill_times = [
            kill.killed_at
            for kill in self._kills
            if kill.name == line["upstream"] and kill.killed_at >= line["started"]
        ]
        return {**line, "ended": min(kill_times, default=None)}

    def configure_upstream(self, name: str, **changes: Any) -> None:
        """Change the behaviour of a stand-in upstream, for example `leave=True`."""
        body = json.dumps(changes).encode()
        headers = {"Content-Type": "application/json"}
        call_http(self.upstream_addresses[name], "POST", "/control", body, headers)

    def kill(self, name: str) -> None:
        """Kill a process with SIGKILL to simulate the loss of its VM."""
        proc = self.processes.pop(name)
        proc.kill()
        proc.wait()
        self._kills.append(ProcessKill(name, time.time()))

    def pause(self, name: str) -> None:
        """Suspend a process with SIGSTOP."""
        self.processes[name].send_signal(signal.SIGSTOP)

    def resume(self, name: str) -> None:
        """Resume a suspended process with SIGCONT."""
        self.processes[name].send_signal(signal.SIGCONT)

    def terminate(self, name: str) -> int:
        """Send SIGTERM to a process, wait for it and return its exit code."""
        proc = self.processes.pop(name)
        proc.terminate()
        return proc.wait(timeout=_SHUTDOWN_TIMEOUT_S * 3)

    def restart(self, name: str) -> None:
        """Start a process again with its original command."""
        self._start_process(name, self._commands[name])

    def stopped_processes(self) -> list[str]:
        """Return the names of processes that were started and are not running."""
        return [
            name
            for name in self._commands
            if name not in self.processes or self.processes[name].poll() is not None
        ]

    def stop(self) -> None:
        """Stop all processes of the cluster and remove its temporary folder."""
        for proc in self.processes.values():
            proc.send_signal(signal.SIGCONT)
            proc.terminate()
        deadline = time.monotonic() + _SHUTDOWN_TIMEOUT_S
        for proc in self.processes.values():
            try:
                proc.wait(timeout=max(0.1, deadline - time.monotonic()))
            except subprocess.TimeoutExpired:
                proc.kill()
                proc.wait()
        self.processes.clear()
        self._temporary_directory.cleanup()

    def read_log(self, name: str) -> str:
        """Return the log of a process, or an empty string if there is none."""
        path = self.folder / f"{name}.log"
        return path.read_text() if path.exists() else ""

    # Internals

    def _site_mapping(self) -> Any:
        """Return the site settings, cached until the overlay file changes.

        Parsing takes 0.14 s of CPU time, and some tests apply settings hundreds of
        times.
        """
        text = self.overlay.read_text()
        if text != self._cached_overlay:
            loaded = load_site_mapping(str(_BASE_SETTINGS), str(self.overlay))
            self._cached_mapping, self._cached_overlay = loaded.unwrap(), text
        return self._cached_mapping

    def _write_overlay(self) -> Path:
        source = ROOT / "sites" / f"{self.plan.site}.jsonc"
        mapping = _read_jsonc(source)
        mapping["replicas"] = self.control_addresses
        for name, value in self._overrides.items():
            mapping[name] = {**mapping.get(name, {}), **value}
        path = self.folder / "overlay.jsonc"
        path.write_text(json.dumps(mapping))
        return path

    def _node_settings(self, name: str, vm_number: int) -> dict[str, Any]:
        zones = list(_read_jsonc(self.overlay)["zones"])
        self.admin_addresses[name] = self.admin_addresses.get(name) or free_address()
        return {
            "cluster": f"local-{self.plan.site}",
            "node": name,
            "vm": f"vm-{vm_number}",
            "zone": zones[(vm_number - 1) % len(zones)],
            "control": list(self.control_addresses.values()),
            "admin_listen": self.admin_addresses[name],
        }

    def _start_program(self, module: str, name: str, settings: dict) -> None:
        path = self.folder / f"{name}.jsonc"
        path.write_text(json.dumps(settings))
        code = f"import sys; from {module} import main; sys.exit(main())"
        self._start_process(name, ["-c", code, "--settings", str(path)])

    def _start_process(self, name: str, arguments: list[str]) -> None:
        self._commands[name] = arguments
        environment = {**os.environ, "PYTHONPATH": str(ROOT)}
        with (self.folder / f"{name}.log").open("ab") as log:
            self.processes[name] = subprocess.Popen(
                [sys.executable, *arguments],
                cwd=self.folder,
                env=environment,
                stdin=subprocess.DEVNULL,
                stdout=log,
                stderr=log,
            )

    def _apply_initial_settings(self) -> bool:
        return self.apply(0, "first-settings").status == 200

    def _all_partitions_owned(self, status: dict[str, Any]) -> bool:
        keyed = [s for s in self.site().services if s.kind is ServiceKind.KEYED]
        owned = {s["name"]: s["partitions"]["owned"] for s in status["services"]}
        return all(owned.get(s.name, 0) >= s.partitions for s in keyed)


def _read_jsonc(path: Path) -> dict[str, Any]:
    return json5.loads(path.read_text())
