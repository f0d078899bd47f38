"""Load from callers, and checks of what they saw against what upstreams ran."""

import http.client
import itertools
import json
import random
import threading
import time
from collections import defaultdict
from collections.abc import Iterable
from typing import Any, NamedTuple

from bergamotdrift.dialect import NATIVE
from scripts.http_calls import NO_ANSWER
from scripts.local_cluster import LocalCluster

_PAUSE_S = 0.005


class RequestPlan(NamedTuple):
    """Describe one sort of request; `{key}` in the path is filled in."""

    method: str
    path: str
    workspace: str


SITE_REQUESTS = {
    "iroda": (
        RequestPlan("GET", "/cases/{key}", "caseworkers"),
        RequestPlan("POST", "/cases/{key}/notes", "press-desk"),
        RequestPlan("POST", "/submissions", "caseworkers"),
        RequestPlan("GET", "/answers/{key}", ""),
    ),
    "hollins-marr": (
        RequestPlan("GET", "/hires/{key}/availability", "depots"),
        RequestPlan("POST", "/hires/{key}/booking", "fenland-growers"),
        RequestPlan("POST", "/contracts", "humber-glass"),
        RequestPlan("POST", "/documents", "fenland-growers"),
    ),
}


class CallRecord(NamedTuple):
    """Hold what a caller saw; times in seconds since the epoch."""

    tag: str
    method: str
    path: str
    workspace: str
    started: float
    ended: float
    status: int
    kind: str
    not_run: bool
    answered_key: str
    # The id under which the entry logs the request, empty without an answer.
    request_id: str = ""


class LoadRun:
    """Send requests from several callers until stopped."""

    def __init__(
        self,
        cluster: LocalCluster,
        plans: tuple[RequestPlan, ...],
        callers: int = 8,
        keys: int = 200,
        seed: int = 1,
        prefix: str = "t",
    ):
        self._cluster = cluster
        self._plans = plans
        self._keys = keys
        self._prefix = prefix
        self._numbers = itertools.count()
        self._stopping = threading.Event()
        self.entries = list(cluster.entries)
        self.records: list[CallRecord] = []
        self._threads = [
            threading.Thread(target=self._call_loop, args=(random.Random(seed + n),))
            for n in range(callers)
        ]

    def start(self) -> None:
        """Start all callers."""
        for thread in self._threads:
            thread.start()

    def stop(self) -> list[CallRecord]:
        """Stop the callers and return all records."""
        self._stopping.set()
        for thread in self._threads:
            thread.join(timeout=30)
        return self.records

    def _call_loop(self, rng: random.Random) -> None:
        connections: dict[str, http.client.HTTPConnection] = {}
        while not self._stopping.is_set():
            entry = rng.choice(self.entries)
            plan = rng.choice(self._plans)
            self.records.append(self._call(connections, entry, plan, rng))
            time.sleep(_PAUSE_S)

    def _call(
        self,
        connections: dict[str, http.client.HTTPConnection],
        entry: str,
        plan: RequestPlan,
        rng: random.Random,
    ) -> CallRecord:
        tag = f"{self._prefix}-{next(self._numbers)}"
        path = plan.path.format(key=f"k{rng.randrange(self._keys)}")
        headers = {"Idempotency-Key": tag, "X-Deadline-Ms": "5000"}
        if plan.workspace:
            headers["Authorization"] = f"Bearer demo-{plan.workspace}"
        conn = connections.pop(entry, None) or self._connect(entry)
        body = b"x" if plan.method == "POST" else None
        started = time.time()
        status, answer, request_id = NO_ANSWER, {}, ""
        try:
            conn.request(plan.method, path, body, headers)
            reply = conn.getresponse()
            status, answer = reply.status, json.loads(reply.read())
            request_id = reply.getheader(NATIVE.request_id, "")
            connections[entry] = conn
        except (OSError, http.client.HTTPException, ValueError):
            conn.close()
        return CallRecord(
            tag,
            plan.method,
            path,
            plan.workspace,
            started,
            time.time(),
            status,
            answer.get("error", ""),
            bool(answer.get("not_run")),
            answer.get("key", ""),
            request_id,
        )

    def _connect(self, entry: str) -> http.client.HTTPConnection:
        host, _, port = self._cluster.entries[entry].rpartition(":")
        return http.client.HTTPConnection(host, int(port), timeout=8)


class Run(NamedTuple):
    """Hold one execution that a stand-in upstream recorded."""

    upstream: str
    key: str
    workspace: str
    tag: str
    epoch: int
    partition: int
    started: float
    ended: float
    leaked: bool


def recorded_runs(lines: Iterable[dict[str, Any]]) -> list[Run]:
    """Return the runs that took effect; a run without an end stays open."""
    runs = []
    for line in lines:
        if line["abandoned"]:
            continue
        runs.append(
            Run(
                line["upstream"],
                line["key"],
                line["workspace"],
                line["idempotency_key"],
                line["epoch"],
                line["partition"],
                line["started"],
                line["ended"] or float("inf"),
                line["leaked"],
            )
        )
    return runs


def find_violations(records: list[CallRecord], runs: list[Run]) -> list[str]:
    """Return every case of lost, doubled, foreign or falsely refused work."""
    by_tag: dict[str, list[Run]] = defaultdict(list)
    for run in runs:
        by_tag[run.tag].append(run)
    found: list[str] = []
    for record in records:
        found += _record_violations(record, by_tag[record.tag])
    found += [
        f"workspace key leaked to {r.upstream}: {r.key}" for r in runs if r.leaked
    ]
    return found


def _record_violations(record: CallRecord, runs: list[Run]) -> list[str]:
    where = f"{record.tag} {record.method} {record.path} {record.status} {record.kind}"
    found = []
    if record.method == "POST" and len(runs) > 1:
        found.append(f"run {len(runs)} times: {where}")
    if record.status == 200 and not runs:
        found.append(f"answered but not run: {where}")
    if record.not_run and runs:
        found.append(f"refused as not run but run: {where}")
    if record.status == 200 and record.answered_key != record.path:
        found.append(f"answer of another request {record.answered_key}: {where}")
    if any(run.workspace != record.workspace for run in runs):
        found.append(f"run for another workspace: {where}")
    return found


def shared_ownership(runs: list[Run]) -> list[str]:
    """Return pairs of runs of one partition that overlap on two upstreams."""
    by_partition: dict[int, list[Run]] = defaultdict(list)
    for run in runs:
        if run.partition >= 0:
            by_partition[run.partition].append(run)
    found = []
    for partition, group in by_partition.items():
        group.sort(key=lambda run: run.started)
        for number, first in enumerate(group):
            for second in group[number + 1 :]:
                if second.started >= first.ended:
                    break
                if second.upstream != first.upstream:
                    found.append(
                        f"partition {partition}: {_describe(first)} and "
                        f"{_describe(second)}"
                    )
    return found


def _describe(run: Run) -> str:
    """Return what finds a run in the records of callers and the logs."""
    return (
        f"{run.tag} at {run.upstream} epoch {run.epoch} "
        f"from {run.started:.3f} to {run.ended:.3f}"
    )


def longest_gap_s(records: list[CallRecord], key_path: str = "") -> float:
    """Return the longest time in seconds without a served request."""
    times = sorted(
        r.ended for r in records if r.status == 200 and r.path.startswith(key_path)
    )
    return max((b - a for a, b in itertools.pairwise(times)), default=float("inf"))
