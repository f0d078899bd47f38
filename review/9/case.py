"""A backend that leaves just after its start, and whose first heartbeat arrives late.

The heartbeat is held up for some seconds. Meanwhile the backend deregisters, which is
confirmed, and goes on serving for a while, as the page says.
"""

import json
import socket
import sys
import threading
import time
from pathlib import Path

sys.path.insert(0, str(Path(__file__).resolve().parents[1]))

import fleet as kit

DRAIN_S = 2.0
CONTACT_S = 3.0
# "A heartbeat may arrive seconds late."
LATE_S = 2.5
LEAVES_AFTER_S = 0.4
# "It continues serving for `drain` after the confirmation and a little longer (at times
# many seconds)."
SERVES_S = 10.0


class LatePath:
    """Relay one call to a control address, and hold it up on its way."""

    def __init__(self, ip: str, target: str, delay_s: float):
        self._target = target
        self._delay_s = delay_s
        self._listener = socket.create_server((ip, 0))
        host, port = self._listener.getsockname()[:2]
        self.address = f"{host}:{port}"
        threading.Thread(target=self._relay, daemon=True).start()

    def _relay(self) -> None:
        conn, _ = self._listener.accept()
        with conn:
            data = conn.recv(65536)
            body_at = data.index(b"\r\n\r\n") + 4
            if len(data) == body_at:
                data += conn.recv(65536)
            time.sleep(self._delay_s)
            host, _, port = self._target.rpartition(":")
            with socket.create_connection((host, int(port))) as onward:
                onward.sendall(data)
                # The caller may have left; what it gets is of no use then.
                onward.recv(65536)


class LeavingBackend(kit.Backend):
    """A backend that sends one heartbeat and then deregisters."""

    def start(self) -> None:
        """Serve requests without further heartbeats."""
        threading.Thread(target=self._server.serve_forever, daemon=True).start()

    def beat_once(self, address: str) -> None:
        """Send a heartbeat in the background."""
        args = (address, "POST", self._path(), self._state())
        self.fleet.record.add("heartbeat", backend=self.name, to=address)
        threading.Thread(target=kit.call, args=args, daemon=True).start()

    def deregister(self) -> None:
        """Deregister at the first machine that confirms it."""
        body = json.dumps({"born": self._born_ms}).encode()
        for address in self.fleet.control_addresses:
            target = f"/-/instances/{self.name}/deregister"
            reply = kit.call(address, "POST", target, body)
            self.fleet.record.add(
                "deregister", backend=self.name, to=address, status=reply.status
            )
            if reply.is_success:
                return
        raise kit.CaseError("the deregistration was not confirmed")


def case(record: kit.Record, fleets: list[kit.Fleet]) -> bool:
    """Return whether the backend got no request once `drain` was over."""
    fleet = kit.Fleet(record)
    fleets.append(fleet)
    fleet.start_all()
    operator = kit.Operator(fleet)
    routes = [kit.route("browse", "/browse/", "archive")]
    if not operator.replace_config(kit.config(routes, [kit.service("archive")])):
        raise kit.CaseError("the first configuration was not acknowledged")
    others = [kit.Backend(fleet, "archive", f"i-{zone}", zone) for zone in kit.ZONES]
    for backend in others:
        backend.start()
    for backend in others:
        kit.wait_until(backend.is_confirmed.is_set, 15, "heartbeats are confirmed")
    for edge in fleet.edges:
        kit.wait_until(lambda edge=edge: fleet.is_ready(edge), 15, "edges are ready")
    time.sleep(CONTACT_S)

    leaving = LeavingBackend(fleet, "archive", "i-leaving", kit.ZONES[0])
    leaving.start()
    delay_s = LATE_S if kit.has_trouble() else 0.0
    path = LatePath(fleet.next_ip(), fleet.control_addresses[0], delay_s)
    leaving.beat_once(path.address)
    time.sleep(LEAVES_AFTER_S)
    leaving.deregister()
    confirmed_s = time.monotonic()

    client = kit.Client(fleet)
    while time.monotonic() < confirmed_s + SERVES_S:
        for edge in fleet.edges:
            client.send(edge, "GET", "/browse/answers")
        time.sleep(0.05)
    leaving.stop()
    late = [run for run in leaving.runs if run.at_s > confirmed_s + DRAIN_S]
    elsewhere = sum(len(item.runs) for item in others)
    record.add("late", runs=len(late), runs_elsewhere=elsewhere)
    if not elsewhere:
        raise kit.CaseError("no request was run elsewhere")
    return not late


if __name__ == "__main__":
    kit.run_case(Path(__file__).resolve().parent, case)
