"""Builders of request bodies of the platform's operators and upstreams."""

import json

ROUTE_COLUMNS = [
    "name",
    "host",
    "path_prefix",
    "kind",
    "timeout",
    "target_latency",
    "priority",
    "traffic_split",
    "max_attempts",
    "public",
    "service",
]
ROUTE = ["r1", "a.example", "/x/", "safe", "800ms", "200ms", 2, None, 2, False, "s1"]
LIMITS = {
    "max_header_bytes": 16384,
    "max_body_bytes": 1048576,
    "header_timeout": "3000ms",
    "idle_timeout": "15000ms",
}


def config_body(version=7, base=0, routes=None, **changes):
    body = {
        "version": version,
        "base_version": base,
        "routes": {"columns": ROUTE_COLUMNS, "rows": routes or [ROUTE]},
        "services": {
            "columns": ["name", "max_conns", "slow_start", "warmup_per_s", "sharded"],
            "rows": [["s1", 43, "3s", 10.0, True], ["s2", 43, "3s", 10.0, None]],
        },
        "limits": LIMITS,
        "tenants": {
            "columns": ["name", "api_keys", "priority", "rate_per_s", "burst"],
            "rows": [["t1", ["key-of-t1"], 1, 100, 100]],
        },
    }
    return body | changes


def encode_body(body):
    return json.dumps(body).encode()


def route_row(**changes):
    fields = dict(zip(ROUTE_COLUMNS, ROUTE, strict=True)) | changes
    return [fields[name] for name in ROUTE_COLUMNS]


def heartbeat_body(**changes):
    return {
        "service": "s2",
        "address": "10.0.0.9:8080",
        "zone": "a",
        "version": "v1",
        "slots": 2,
        "state": "ready",
        "warmup_left": "0ms",
        "seq": 4,
        "born": 1000,
    } | changes
