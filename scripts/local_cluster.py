"""All programs of a site on loopback, for the demo, the smoke run and tests."""

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
_BASE = ROOT / "sites" / "base.jsonc"
OPERATOR_KEY = "demo-operator"
CONTROL_REPLICAS = 3
_SHUTDOWN_S = 10.0
_PORT_MIN = 20_000
_PORT_MAX = 32_000
_RESERVED: list[socket.socket] = []
_RESERVING = threading.Lock()


class SitePlan(NamedTuple):
    """Say how much of a site to start; `upstreams` counts per service."""

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


def small_plan(site: str, vms: int = 3, per_service: int = 2) -> SitePlan:
    """Return a plan with few processes, for tests."""
    services = SITE_PLANS[site].upstreams
    return SitePlan(site, vms, dict.fromkeys(services, per_service))


def wait_until(
    condition: Callable[[], Any], timeout_s: float, what: str, pause_s: float = 0.05
) -> Any:
    """Return the first true value of a condition, or raise TimeoutError."""
    end = time.monotonic() + timeout_s
    while True:
        value = condition()
        if value:
            return value
        if time.monotonic() > end:
            raise TimeoutError(f"not within {timeout_s} s: {what}")
        time.sleep(pause_s)


def free_address() -> str:
    """Return a loopback address and keep its port reserved for this process.

    The port lies below the range that the system gives to port 0. The reserving
    socket does not listen, so a server that sets SO_REUSEADDR can still bind it,
    while another call here, in any process, can't.
    """
    with _RESERVING:
        while True:
            port = random.randrange(_PORT_MIN, _PORT_MAX)
            if _reserve(port):
                return f"127.0.0.1:{port}"


def _reserve(port: int) -> bool:
    """Reserve a port and tell whether nobody else had it."""
    holder = socket.socket()
    holder.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
    try:
        with socket.socket() as probe:
            probe.bind(("127.0.0.1", port))
        holder.bind(("127.0.0.1", port))
    except OSError:
        holder.close()
        return False
    _RESERVED.append(holder)
    return True


class ProcessLoss(NamedTuple):
    """Say when a process was killed, in seconds since the epoch."""

    name: str
    at: float


class LocalCluster:
    """Start, stop, kill and pause the processes of one site by name.

    Names are `control-1`, `arbiter-1`, `entry-1` and `<service>-1`. The first
    three VMs run a control replica.
    """

    def __init__(self, plan: SitePlan, changes: dict[str, Any] | None = None):
        self.plan = plan
        self._changes = changes or {}
        self._temporary = tempfile.TemporaryDirectory(prefix="bergamotdrift-")
        self.folder = Path(self._temporary.name)
        self.processes: dict[str, subprocess.Popen] = {}
        self._commands: dict[str, list[str]] = {}
        vms = range(1, plan.vms + 1)
        controls = range(1, CONTROL_REPLICAS + 1)
        self.control = {f"control-{i}": free_address() for i in controls}
        # Tests put relays between the two addresses.
        self.control_listen = dict(self.control)
        self.operator = {f"control-{i}": free_address() for i in controls}
        self.announce = {f"arbiter-{i}": free_address() for i in vms}
        self.entries = {f"entry-{i}": free_address() for i in vms}
        self.admin: dict[str, str] = {}
        self.upstreams: dict[str, str] = {}
        self._losses: list[ProcessLoss] = []
        self._parsed_overlay = ""
        self._mapping: Any = None
        self.overlay = self._write_overlay()

    # Settings

    def site(self) -> SiteSettings:
        """Return the site settings as a typed value."""
        result = load_site(str(_BASE), str(self.overlay))
        assert is_successful(result), result
        return result.unwrap()

    def zones(self) -> list[str]:
        """Return the names of the site's availability zones."""
        return [zone.name for zone in self.site().zones]

    def edit_overlay(self, change: Callable[[dict[str, Any]], None]) -> None:
        """Change the overlay file; it takes effect with `apply`."""
        mapping = json.loads(self.overlay.read_text())
        change(mapping)
        self.overlay.write_text(json.dumps(mapping))

    def apply(self, base_revision: int, request: str) -> HttpReply:
        """Apply the overlay file through the first control replica that answers."""
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
        """Return the answer of a replica, or of the first one that answers."""
        reply = HttpReply(0, {}, b"")
        for name in [replica] if replica else self.operator:
            reply = call_http(
                self.operator[name],
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
        """Start all programs, apply the settings and wait until entries are ready."""
        for name in self.control:
            self.start_control(name)
        wait_until(self._apply_first_settings, 20, "the first settings are accepted")
        for number in range(1, self.plan.vms + 1):
            self.start_arbiter(number)
            self.start_entry(number)
        self.start_upstreams()
        self.wait_ready(30)

    def start_control(self, name: str, folder: str = "") -> None:
        """Start a control replica, with its data in `folder` or under its name."""
        index = int(name.rsplit("-", 1)[1])
        settings = self._node(name, index)
        settings |= {
            "listen": self.control_listen[name],
            "operator_listen": self.operator[name],
            "data_folder": str(self.folder / (folder or name)),
            "voters": self.control,
            "operator_key_digests": [key_digest(OPERATOR_KEY)],
            "snapshot_entries": 64,
        }
        self._start_program("bergamotdrift.control", name, settings)

    def start_arbiter(self, number: int) -> None:
        """Start the arbiter of a VM."""
        name = f"arbiter-{number}"
        settings = self._node(name, number)
        settings |= {
            "listen": "127.0.0.1:0",
            "announce_listen": self.announce[name],
        }
        self._start_program("bergamotdrift.arbiter", name, settings)

    def start_entry(self, number: int) -> None:
        """Start the entry of a VM."""
        name = f"entry-{number}"
        settings = self._node(name, number)
        settings |= {"listen": self.entries[name]}
        self._start_program("bergamotdrift.entry", name, settings)

    def start_upstreams(self) -> None:
        """Start the stand-in upstreams of all services, spread over the zones."""
        for service in self.site().services:
            for number in range(1, self.plan.upstreams[service.name] + 1):
                self.start_upstream(service.name, number)

    def start_upstream(self, service_name: str, number: int) -> str:
        """Start one stand-in upstream and return its name."""
        service = self.site().service(service_name)
        assert service is not None, service_name
        name = f"{service_name}-{number}"
        zones = self.zones()
        address = self.upstreams.setdefault(name, free_address())
        self._start(
            name,
            [
                str(ROOT / "scripts" / "stand_in_upstream.py"),
                f"--service={service_name}",
                f"--upstream={name}",
                f"--zone={zones[(number - 1) % len(zones)]}",
                f"--listen={address}",
                f"--arbiters={','.join(self.announce.values())}",
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
        """Wait until every entry is ready and serves every service."""
        for name in self.entries:
            if name in self.processes:
                ready = partial(self.is_ready, name)
                wait_until(ready, timeout_s, f"{name} is ready")

        def all_owned() -> bool:
            reply = self.operator_call("GET", "/v1/status")
            return reply.status == 200 and self._has_no_vacancy(reply.json())

        wait_until(all_owned, timeout_s, "every partition has an owner")

    def is_ready(self, name: str) -> bool:
        """Tell whether a program's readiness check answers 200."""
        return call_http(self.admin[name], "GET", "/ready").status == 200

    def request(
        self,
        entry: str,
        method: str,
        path: str,
        workspace: str = "",
        body: bytes = b"",
        **headers: str,
    ) -> HttpReply:
        """Send a caller's request; header names use `_` for `-`."""
        sent = {name.replace("_", "-"): value for name, value in headers.items()}
        if workspace:
            sent["Authorization"] = f"Bearer demo-{workspace}"
        return call_http(self.entries[entry], method, path, body, sent, timeout_s=10)

    def executions(self) -> list[dict[str, Any]]:
        """Return the last known state of every run at every stand-in upstream."""
        runs: dict[tuple[str, str, float], dict[str, Any]] = {}
        for path in self.folder.glob("*.executions"):
            for text in path.read_text().splitlines():
                line = json.loads(text)
                run_id = (line["upstream"], line["request_id"], line["started"])
                runs[run_id] = line
        return [self._end_if_lost(line) for line in runs.values()]

    def _end_if_lost(self, line: dict[str, Any]) -> dict[str, Any]:
        """Return a run with the time at which its upstream was killed under it."""
        if line["ended"] is not None:
            return line
        ends = [
            loss.at
            for loss in self._losses
            if loss.name == line["upstream"] and loss.at >= line["started"]
        ]
        return {**line, "ended": min(ends, default=None)}

    def switch_upstream(self, name: str, **switches: Any) -> None:
        """Change a stand-in upstream's behaviour, such as `leave=True`."""
        body = json.dumps(switches).encode()
        headers = {"Content-Type": "application/json"}
        call_http(self.upstreams[name], "POST", "/control", body, headers)

    def kill(self, name: str) -> None:
        """End a process at once, as the loss of its VM would."""
        proc = self.processes.pop(name)
        proc.kill()
        proc.wait()
        self._losses.append(ProcessLoss(name, time.time()))

    def pause(self, name: str) -> None:
        """Stop a process without ending it."""
        self.processes[name].send_signal(signal.SIGSTOP)

    def resume(self, name: str) -> None:
        """Continue a paused process."""
        self.processes[name].send_signal(signal.SIGCONT)

    def terminate(self, name: str) -> int:
        """Ask a process to shut down and return its exit code."""
        proc = self.processes.pop(name)
        proc.terminate()
        return proc.wait(timeout=_SHUTDOWN_S * 3)

    def restart(self, name: str) -> None:
        """Start a process again with the command of its first start."""
        self._start(name, self._commands[name])

    def stopped(self) -> list[str]:
        """Return the names of processes that were started and do not run."""
        return [
            name
            for name in self._commands
            if name not in self.processes or self.processes[name].poll() is not None
        ]

    def stop(self) -> None:
        """End all processes that were started here and remove the folder."""
        for proc in self.processes.values():
            proc.send_signal(signal.SIGCONT)
            proc.terminate()
        end = time.monotonic() + _SHUTDOWN_S
        for proc in self.processes.values():
            try:
                proc.wait(timeout=max(0.1, end - time.monotonic()))
            except subprocess.TimeoutExpired:
                proc.kill()
                proc.wait()
        self.processes.clear()
        self._temporary.cleanup()

    def log_of(self, name: str) -> str:
        """Return what a process wrote to its log."""
        path = self.folder / f"{name}.log"
        return path.read_text() if path.exists() else ""

    # Internals

    def _site_mapping(self) -> Any:
        """Return the site's settings, parsed once for each overlay.

        Parsing takes 0.14 s of processor time, and some tests apply hundreds of times.
        """
        text = self.overlay.read_text()
        if text != self._parsed_overlay:
            loaded = load_site_mapping(str(_BASE), str(self.overlay))
            self._mapping, self._parsed_overlay = loaded.unwrap(), text
        return self._mapping

    def _write_overlay(self) -> Path:
        source = ROOT / "sites" / f"{self.plan.site}.jsonc"
        loaded = _read_jsonc(source)
        loaded["replicas"] = self.control
        for name, value in self._changes.items():
            loaded[name] = {**loaded.get(name, {}), **value}
        path = self.folder / "overlay.jsonc"
        path.write_text(json.dumps(loaded))
        return path

    def _node(self, name: str, number: int) -> dict[str, Any]:
        zones = list(_read_jsonc(self.overlay)["zones"])
        self.admin[name] = self.admin.get(name) or free_address()
        return {
            "cluster": f"local-{self.plan.site}",
            "node": name,
            "vm": f"vm-{number}",
            "zone": zones[(number - 1) % len(zones)],
            "control": list(self.control.values()),
            "admin_listen": self.admin[name],
        }

    def _start_program(self, module: str, name: str, settings: dict) -> None:
        path = self.folder / f"{name}.jsonc"
        path.write_text(json.dumps(settings))
        code = f"import sys; from {module} import main; sys.exit(main())"
        self._start(name, ["-c", code, "--settings", str(path)])

    def _start(self, name: str, arguments: list[str]) -> None:
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

    def _apply_first_settings(self) -> bool:
        return self.apply(0, "first-settings").status == 200

    def _has_no_vacancy(self, status: dict[str, Any]) -> bool:
        keyed = [s for s in self.site().services if s.kind is ServiceKind.KEYED]
        owned = {s["name"]: s["partitions"]["owned"] for s in status["services"]}
        return all(owned.get(s.name, 0) >= s.partitions for s in keyed)


def _read_jsonc(path: Path) -> dict[str, Any]:
    return json5.loads(path.read_text())
