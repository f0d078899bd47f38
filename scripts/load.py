"""Load generator, and checks of its call records against upstream execution records."""

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
from scripts.http_calls import NO_REPLY
from scripts.local_cluster import LocalCluster

_REQUEST_INTERVAL_S = 0.005


class RequestTemplate(NamedTuple):
    """Describe one kind of request; `{key}` in the path is a placeholder."""

    method: str
    path: str
    workspace: str


SITE_REQUESTS = {
    "iroda": (
        RequestTemplate("GET", "/cases/{key}", "caseworkers"),
        RequestTemplate("POST", "/cases/{key}/notes", "press-desk"),
        RequestTemplate("POST", "/submissions", "caseworkers"),
        RequestTemplate("GET", "/answers/{key}", ""),
    ),
    "hollins-marr": (
        RequestTemplate("GET", "/hires/{key}/availability", "depots"),
        RequestTemplate("POST", "/hires/{key}/booking", "fenland-growers"),
        RequestTemplate("POST", "/contracts", "humber-glass"),
        RequestTemplate("POST", "/documents", "fenland-growers"),
    ),
}


class CallRecord(NamedTuple):
    """Store the outcome of one call; times in seconds since the epoch."""

    idempotency_key: str
    method: str
    path: str
    workspace: str
    started: float
    ended: float
    status: int
    kind: str
    not_run: bool
    echoed_path: str
    # The request id in the entry's log; empty if there was no response.
    request_id: str = ""


class LoadGenerator:
    """Send requests from concurrent callers until stopped."""

    def __init__(
        self,
        cluster: LocalCluster,
        templates: tuple[RequestTemplate, ...],
        caller_count: int = 8,
        path_key_count: int = 200,
        seed: int = 1,
        key_prefix: str = "t",
    ):
        self._cluster = cluster
        self._templates = templates
        self._path_key_count = path_key_count
        self._key_prefix = key_prefix
        self._sequence = itertools.count()
        self._stopping = threading.Event()
        self.entries = list(cluster.entries)
        self.records: list[CallRecord] = []
        self._threads = [
            threading.Thread(target=self._run_caller, args=(random.Random(seed + n),))
            for n in range(caller_count)
        ]

    def start(self) -> None:
        """Start the caller threads."""
        for thread in self._threads:
            thread.start()

    def stop(self) -> list[CallRecord]:
        """Stop the caller threads and return all call records."""
        self._stopping.set()
        for thread in self._threads:
            thread.join(timeout=30)
        return self.records

    def _run_caller(self, rng: random.Random) -> None:
        connections: dict[str, http.client.HTTPConnection] = {}
        while not self._stopping.is_set():
            entry = rng.choice(self.entries)
            template = rng.choice(self._templates)
            self.records.append(self._send_request(connections, entry, template, rng))
            time.sleep(_REQUEST_INTERVAL_S)

    def _send_request(
        self,
        connections: dict[str, http.client.HTTPConnection],
        entry: str,
        template: RequestTemplate,
        rng: random.Random,
    ) -> CallRecord:
        idempotency_key = f"{self._key_prefix}-{next(self._sequence)}"
        path = template.path.format(key=f"k{rng.randrange(self._path_key_count)}")
        headers = {"Idempotency-Key": idempotency_key, "X-Deadline-Ms": "5000"}
        if template.workspace:
            headers["Authorization"] = f"Bearer demo-{template.workspace}"
        conn = connections.pop(entry, None) or self._connect(entry)
        body = b"x" if template.method == "POST" else None
        started = time.time()
        status, payload, request_id = NO_REPLY, {}, ""
        try:
            conn.request(template.method, path, body, headers)
            reply = conn.getresponse()
            status, payload = reply.status, json.loads(reply.read())
            request_id = reply.getheader(NATIVE.request_id, "")
            connections[entry] = conn
        except (OSError, http.client.HTTPException, ValueError):
            conn.close()
        return CallRecord(
            idempotency_key,
            template.method,
            path,
            template.workspace,
            started,
            time.time(),
            status,
            payload.get("error", ""),
            bool(payload.get("not_run")),
            payload.get("key", ""),
            request_id,
        )

    def _connect(self, entry: str) -> http.client.HTTPConnection:
        host, _, port = self._cluster.entries[entry].rpartition(":")
        return http.client.HTTPConnection(host, int(port), timeout=8)


class RecordedExecution(NamedTuple):
    """Store one execution recorded by a stand-in upstream."""

    upstream: str
    key: str
    workspace: str
    idempotency_key: str
    epoch: int
    partition: int
    started: float
    ended: float
    leaked: bool


def recorded_executions(lines: Iterable[dict[str, Any]]) -> list[RecordedExecution]:
    """Return executions that were not abandoned; a running one ends at infinity."""
    executions = []
    for line in lines:
        if line["abandoned"]:
            continue
        executions.append(
            RecordedExecution(
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
    return executions


def find_violations(
    records: list[CallRecord], executions: list[RecordedExecution]
) -> list[str]:
    """Return lost, repeated, misrouted and falsely refused requests and leaked keys."""
    by_idempotency_key: dict[str, list[RecordedExecution]] = defaultdict(list)
    for execution in executions:
        by_idempotency_key[execution.idempotency_key].append(execution)
    violations: list[str] = []
    for record in records:
        violations += _record_violations(
            record, by_idempotency_key[record.idempotency_key]
        )
    violations += [
        f"workspace key leaked to {e.upstream}: {e.key}" for e in executions if e.leaked
    ]
    return violations


def _record_violations(
    record: CallRecord, executions: list[RecordedExecution]
) -> list[str]:
    call = (
        f"{record.idempotency_key} {record.method} {record.path} "
        f"{record.status} {record.kind}"
    )
    violations = []
    if record.method == "POST" and len(executions) > 1:
        violations.append(f"executed {len(executions)} times: {call}")
    if record.status == 200 and not executions:
        violations.append(f"answered but not executed: {call}")
    if record.not_run and executions:
        violations.append(f"refused as not run but executed: {call}")
    if record.status == 200 and record.echoed_path != record.path:
        violations.append(f"response to another request {record.echoed_path}: {call}")
    if any(execution.workspace != record.workspace for execution in executions):
        violations.append(f"executed for another workspace: {call}")
    return violations


def find_ownership_overlaps(executions: list[RecordedExecution]) -> list[str]:
    """Return executions in one partition that overlap in time on two upstreams."""
    by_partition: dict[int, list[RecordedExecution]] = defaultdict(list)
    for execution in executions:
        if execution.partition >= 0:
            by_partition[execution.partition].append(execution)
    overlaps = []
    for partition, partition_executions in by_partition.items():
        partition_executions.sort(key=lambda execution: execution.started)
        for index, first in enumerate(partition_executions):
            for second in partition_executions[index + 1 :]:
                if second.started >= first.ended:
                    break
                if second.upstream != first.upstream:
                    overlaps.append(
                        f"partition {partition}: {_describe(first)} and "
                        f"{_describe(second)}"
                    )
    return overlaps


def _describe(execution: RecordedExecution) -> str:
    """Describe an execution by the values that identify it in call records and logs."""
    return (
        f"{execution.idempotency_key} at {execution.upstream} epoch {execution.epoch} "
        f"from {execution.started:.3f} to {execution.ended:.3f}"
    )


def longest_gap_s(records: list[CallRecord], path_prefix: str = "") -> float:
    """Return the longest interval in seconds between served requests."""
    served_times = sorted(
        r.ended for r in records if r.status == 200 and r.path.startswith(path_prefix)
    )
    return max(
        (b - a for a, b in itertools.pairwise(served_times)), default=float("inf")
    )
