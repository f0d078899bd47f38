"""An order that was held up on a kept connection takes an evacuation back."""

import asyncio
import itertools
import signal
import sys
import time
from collections.abc import Iterator
from pathlib import Path

sys.path.insert(0, str(Path(__file__).resolve().parents[1]))

import harness3 as h

ZONE = "bp-south"
# One way from clients to machines is 8 ms at hmgh-edge.
ROUND_TRIP_S = 0.016
# An entry of the site file freezes a core machine for as long.
FREEZE_S = 4.0
EVACUATE_S = 5.0
# An unstable core stretches the bound by `skew_max` at most.
SKEW_MAX_S = 5.0
CONTACT_S = 3.0
WATCH_S = 6.0
WORK_S = 0.06
# More than the slots of the backends beside the edge machine.
CLIENTS = 8
SLOTS = 2


class Arrivals:
    """Answer requests, and keep when each one reached a backend of the zone."""

    def __init__(self, record: h.Record):
        self._record = record
        self.times_s: list[float] = []

    async def __call__(
        self,
        backend: h.Backend,
        req: h.Request,
        reader: asyncio.StreamReader,
        writer: asyncio.StreamWriter,
    ) -> bool:
        """Run a request."""
        attempt = req.headers["attempt-id"]
        self._record("run", backend=backend.name, zone=backend.zone, attempt=attempt)
        if backend.zone == ZONE:
            self.times_s.append(time.monotonic())
        await asyncio.sleep(WORK_S)
        writer.write(h.ok_answer(req, b"ok"))
        return True


async def send_requests(
    deployment: h.Deployment, record: h.Record, numbers: Iterator[int]
) -> None:
    """Send requests one after the other."""
    for number in numbers:
        attempt = f"a{number}"
        try:
            async with h.connection(deployment.front("edge-1")) as (reader, writer):
                writer.write(h.request_bytes("GET", f"/look/{number}", attempt))
                answer = await h.read_answer(reader)
            record("answered", attempt=attempt, status=answer.status)
        except (OSError, EOFError, ValueError) as exc:
            record("no_answer", attempt=attempt, error=repr(exc))
            await asyncio.sleep(0.1)


class Operator:
    """Send orders, the first ones on a connection that is kept."""

    def __init__(self, deployment: h.Deployment, record: h.Record):
        self._deployment = deployment
        self._record = record

    async def order_on(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter, action: str
    ) -> bool:
        """Send an order on a connection; return whether it is confirmed in a second."""
        path = f"/-/evacuation/{ZONE}/{action}"
        writer.write(h.encode(f"POST {path} HTTP/1.1", {"Host": "core"}))
        try:
            answer = await asyncio.wait_for(h.read_answer(reader), 1.0)
        except (OSError, EOFError, TimeoutError):
            self._record("order_unanswered", action=action, sent_to="core-2")
            return False
        self._record("order", action=action, sent_to="core-2", status=answer.status)
        return answer.status == 200

    async def order(self, action: str) -> None:
        """Send an order to the other machines until one of them confirms it."""
        path = f"/-/evacuation/{ZONE}/{action}"
        while True:
            for node in ("core-1", "core-3"):
                address = self._deployment.control(node)
                answer = await self._deployment.call(address, "POST", path)
                status = None if answer is None else answer.status
                self._record("order", action=action, sent_to=node, status=status)
                if status == 200:
                    return
            await asyncio.sleep(0.1)


async def evacuate_again(
    deployment: h.Deployment, relay: h.Relay, record: h.Record, trouble: bool
) -> tuple[float, float]:
    """Evacuate a zone, take it back and evacuate it once more.

    Returns when the last order was confirmed, and when the frozen machine was back.
    """
    operator = Operator(deployment, record)
    async with h.connection(relay.address) as (reader, writer):
        if not await operator.order_on(reader, writer, "start"):
            raise RuntimeError("the first order was not confirmed")
        await asyncio.sleep(1.0)
        frozen_s = time.monotonic()
        if trouble:
            record("frozen", machine="core-2")
            relay.hold()
            deployment.signal("core-2", signal.SIGSTOP)
        confirmed = await operator.order_on(reader, writer, "stop")
    if not confirmed:
        await operator.order("stop")
    await operator.order("start")
    confirmed_s = time.monotonic()
    if trouble:
        await asyncio.sleep(frozen_s + FREEZE_S - time.monotonic())
        deployment.signal("core-2", signal.SIGCONT)
        await asyncio.sleep(0.1)
        relay.release()
        record("thawed", machine="core-2")
    return confirmed_s, time.monotonic()


async def main(record: h.Record, trouble: bool) -> bool:
    """Return whether no request reached the zone after the bound."""
    deployment = h.Deployment(cores=3, edges=1)
    arrivals = Arrivals(record)
    relay = h.Relay(deployment.control("core-2"), ROUND_TRIP_S)
    backends = [h.Backend(deployment, "desk", f"i-{n}", arrivals) for n in range(4)]
    clients: list[asyncio.Task[None]] = []
    numbers = itertools.count()
    try:
        routes = [h.route("r-look", "/look/", "safe", "desk")]
        await deployment.start_all(h.config(routes, ["desk"]))
        await relay.start()
        for number, backend in enumerate(backends):
            backend.slots = SLOTS
            backend.zone = ZONE if number % 2 else "bp-north"
            await backend.start()
        await deployment.wait_ready()
        await asyncio.sleep(3.0)
        for _ in range(CLIENTS):
            client = send_requests(deployment, record, numbers)
            clients.append(asyncio.create_task(client))
        await asyncio.sleep(2.0)
        if not arrivals.times_s:
            raise RuntimeError("no request reached the zone before its evacuation")
        confirmed_s, thawed_s = await evacuate_again(deployment, relay, record, trouble)
        # From then on the bound holds, and the entry is in touch with a stable core.
        bound_s = EVACUATE_S + SKEW_MAX_S
        from_s = max(confirmed_s + bound_s, thawed_s + CONTACT_S)
        record("bound_holds", in_s=round(from_s - time.monotonic(), 3))
        await asyncio.sleep(from_s + WATCH_S - time.monotonic())
        late = [at_s for at_s in arrivals.times_s if at_s > from_s]
        record("late_arrivals", zone=ZONE, count=len(late))
        return not late
    finally:
        for client in clients:
            client.cancel()
        for backend in backends:
            await backend.stop()
        relay.stop()
        await deployment.stop()


if __name__ == "__main__":
    h.run(main, __file__)
