import json
import unittest
from typing import ClassVar

from bergamotdrift.config.schema import STATED_RATE, ColdBound, RangeGrants, ServiceKind
from bergamotdrift.messages import UpstreamState
from bergamotdrift.platform import site_config
from bergamotdrift.platform.boot import control_settings, decode_boot, entry_settings
from bergamotdrift.platform.decoding import WireError, duration_ms
from bergamotdrift.platform.heartbeats import decode_deregistration, decode_heartbeat
from bergamotdrift.tests.platform_support import (
    LIMITS,
    ROUTE_COLUMNS,
    config_body,
    encode_body,
    heartbeat_body,
    route_row,
)


def settings(body):
    return site_config.to_settings(site_config.decode_config(encode_body(body)), ["a"])


def updated_settings(config, **changes):
    patch = {"version": 9, "base_version": 7, **changes}
    decoded = site_config.decode_patch(encode_body(patch))
    return site_config.to_settings(site_config.apply_patch(config, decoded), ["a"])


def without_tenants():
    body = config_body()
    del body["tenants"]
    return body


def split(*parts):
    return [{"service": s, "weight": w} for s, w in parts]


class ConfigTests(unittest.TestCase):
    """Guards against invalid configurations that take effect."""

    def test_settings_match_the_configuration(self):
        found = settings(config_body())
        (route,) = found.routes
        self.assertEqual((route.host, route.path), ("a.example", "/x/*"))
        self.assertEqual((route.timeout_ms, route.attempts, route.rank), (800, 2, 2))
        self.assertTrue(route.idempotent)
        kinds = [service.kind for service in found.services]
        self.assertEqual(kinds, [ServiceKind.RANGED, ServiceKind.POOL])
        self.assertEqual(found.limits.idle_timeout_s, 15.0)
        self.assertNotIn("key-of-t1", repr(found))

    def test_upload_is_not_idempotent(self):
        (route,) = settings(config_body(routes=[route_row(kind="download")])).routes
        self.assertTrue(route.idempotent)
        (route,) = settings(config_body(routes=[route_row(kind="upload")])).routes
        self.assertFalse(route.idempotent)

    def test_service_without_weight_is_left_out(self):
        parts = split(("s1", 0), ("s2", 5))
        body = config_body(routes=[route_row(traffic_split=parts, service=None)])
        (route,) = settings(body).routes
        self.assertEqual((route.service, route.split), ("s2", ()))

    def test_invalid_configurations_are_refused(self):
        keys = ["name", "api_keys"]
        shared = {"columns": keys, "rows": [["t1", ["k"]], ["t2", ["k"]]]}
        invalid = {
            "unknown service": config_body(routes=[route_row(service="s9")]),
            "no weight": config_body(
                routes=[route_row(traffic_split=split(("s1", 0)))]
            ),
            "negative weight": config_body(
                routes=[route_row(traffic_split=split(("s1", -1)))]
            ),
            "no timeout": config_body(routes=[route_row(timeout="0ms")]),
            "no attempts": config_body(routes=[route_row(max_attempts=0)]),
            "empty host": config_body(routes=[route_row(host="")]),
            "unknown kind": config_body(routes=[route_row(kind="other")]),
            "same place": config_body(routes=[route_row(), route_row(name="r2")]),
            "same name": config_body(
                routes=[route_row(), route_row(path_prefix="/y/")]
            ),
            "shared key": config_body(tenants=shared),
            "short row": config_body(routes=[["r1", "a.example"]]),
            "no limits": config_body(limits=None),
            "no number": config_body(version="7"),
            "bad prefix": config_body(routes=[route_row(path_prefix="x")]),
        }
        for name, body in invalid.items():
            with self.subTest(name), self.assertRaises(WireError):
                settings(body)

    def test_truncated_body_is_refused(self):
        data = encode_body(config_body())
        for end in (0, 1, len(data) // 2, len(data) - 1):
            with self.assertRaises(WireError):
                site_config.decode_config(data[:end])

    def test_stored_configuration_reads_back_unchanged(self):
        sent = config_body(
            routes=[route_row(), route_row(name="r2", path_prefix="/y/", service="s2")]
        )
        stored = site_config.dump(site_config.decode_config(encode_body(sent)))
        read = json.loads(site_config.encode_config(site_config.load(stored)))
        again = site_config.decode_config(encode_body(read | {"base_version": 0}))
        self.assertEqual(again, site_config.decode_config(encode_body(sent)))
        self.assertEqual((read["version"], read["limits"]), (7, LIMITS))

    def test_patch_changes_only_the_named_items(self):
        current = site_config.decode_config(encode_body(config_body()))
        new = {
            "columns": ROUTE_COLUMNS,
            "rows": [route_row(name="r2", path_prefix="/y/")],
        }
        patch = site_config.decode_patch(
            encode_body({
                "version": 9,
                "base_version": 7,
                "upsert": {"routes": new},
                "remove": {"routes": ["r1"]},
            })
        )
        changed = site_config.apply_patch(current, patch)
        self.assertEqual(list(changed.sections["routes"]), ["r2"])
        self.assertEqual(changed.sections["tenants"], current.sections["tenants"])
        self.assertEqual(changed.version, 9)

    def test_limits_with_tolerance_stay_within_the_bound_of_a_window(self):
        # Guards against limits that allow more requests per window than the platform.
        tolerance = site_config.RateTolerance(overage=0.1, slack=20)
        for rate, burst in ((100, 100), (3, 3), (12, 0)):
            body = config_body()
            body["tenants"]["rows"] = [["t1", ["key"], 1, rate, burst]]
            decoded = site_config.decode_config(encode_body(body))
            (found,) = site_config.to_settings(decoded, ["a"], tolerance).workspaces
            per_window = found.rate_per_s * 5.0 + found.burst
            self.assertLessEqual(per_window, (rate * 5.0 + burst) * 1.1 + 20)

    def test_tolerance_does_not_limit_a_tenant_without_a_limit(self):
        tolerance = site_config.RateTolerance(overage=0.1, slack=20)
        body = config_body()
        body["tenants"]["rows"] = [["t1", ["key"], 1, None, None]]
        decoded = site_config.decode_config(encode_body(body))
        (found,) = site_config.to_settings(decoded, ["a"], tolerance).workspaces
        self.assertEqual(found.rate_per_s, 0)

    def test_durations(self):
        self.assertEqual(duration_ms("1500ms"), 1500.0)
        self.assertEqual(duration_ms("2.5s"), 2500.0)
        for value in ("", "5", "-1ms", "1m", 5, None):
            with self.assertRaises(WireError):
                duration_ms(value)


class TenantsTests(unittest.TestCase):
    """Guards against 401 for callers that have no key, and against an opened site."""

    TENANTS: ClassVar[dict[str, list]] = {
        "columns": ["name", "api_keys"],
        "rows": [["t1", ["key-of-t1"]]],
    }

    def test_configuration_without_tenants_opens_all_routes(self):
        for body in (without_tenants(), config_body(tenants=None)):
            (route,) = settings(body).routes
            self.assertTrue(route.open)

    def test_removing_the_last_tenant_opens_no_route(self):
        empty = config_body(tenants={"columns": ["name"], "rows": []})
        (route,) = settings(empty).routes
        self.assertFalse(route.open)
        config = site_config.decode_config(encode_body(config_body()))
        (route,) = updated_settings(config, remove={"tenants": ["t1"]}).routes
        self.assertFalse(route.open)

    def test_first_tenant_closes_the_routes(self):
        config = site_config.decode_config(encode_body(without_tenants()))
        (route,) = updated_settings(config, upsert={"tenants": self.TENANTS}).routes
        self.assertFalse(route.open)

    def test_update_of_another_section_leaves_the_routes_open(self):
        config = site_config.decode_config(encode_body(without_tenants()))
        columns = {"columns": ROUTE_COLUMNS, "rows": [route_row(timeout="900ms")]}
        (route,) = updated_settings(config, upsert={"routes": columns}).routes
        self.assertTrue(route.open)

    def test_absent_and_empty_tenants_read_back_as_they_were_sent(self):
        # Otherwise a configuration that is read and sent again would close the site.
        for body, is_stated in (
            (without_tenants(), False),
            (config_body(tenants={"columns": ["name"], "rows": []}), True),
        ):
            stored = site_config.dump(site_config.decode_config(encode_body(body)))
            read = json.loads(site_config.encode_config(site_config.load(stored)))
            self.assertEqual("tenants" in read, is_stated)


class HeartbeatTests(unittest.TestCase):
    """Guards against malformed heartbeats that register an upstream."""

    def test_states(self):
        cases: tuple[tuple[dict, UpstreamState], ...] = (
            ({}, UpstreamState.READY),
            ({"warmup_left": "1200ms"}, UpstreamState.COLD),
            ({"state": "draining"}, UpstreamState.LEAVING),
            ({"state": "draining", "warmup_left": "1s"}, UpstreamState.LEAVING),
        )
        for changes, state in cases:
            item = decode_heartbeat("i1", encode_body(heartbeat_body(**changes)))
            self.assertEqual(item.state, state)

    def test_incarnation_is_the_start_time(self):
        item = decode_heartbeat("i1", encode_body(heartbeat_body(born=77)))
        self.assertEqual(
            (item.upstream, item.incarnation, item.born_ms), ("i1", "77", 77)
        )

    def test_malformed_heartbeats_are_refused(self):
        cases: tuple[dict, ...] = (
            {"state": "other"},
            {"state": None},
            {"state": ["ready"]},
            {"holds": {}},
            {"holds": [5]},
            {"holds": [[0, 9]]},
            {"holds": [[0, 9, 0]]},
            {"holds": [[9, 0, 5]]},
            {"holds": [[0, 65536, 5]]},
            {"holds": [[-1, 9, 5]]},
            {"holds": [[0, 9, "5"]]},
            {"released": [[0, 9, 7]]},
            {"released": [[0, 9, None]]},
            {"slots": "2"},
            {"slots": 0},
            {"seq": -1},
            {"service": 5},
            {"warmup_left": 3},
            {"born": 1.5},
        )
        for changes in cases:
            with self.subTest(changes), self.assertRaises(WireError):
                decode_heartbeat("i1", encode_body(heartbeat_body(**changes)))
        for body in (b"", b"[]", b"\xff", b"{"):
            with self.assertRaises(WireError):
                decode_heartbeat("i1", body)

    def test_held_and_released_ranges_are_decoded(self):
        fields = heartbeat_body(holds=[[0, 4095, 7]], released=[[4096, 8191, "t"]])
        item = decode_heartbeat("i1", encode_body(fields))
        self.assertEqual(item.held_ranges, [(0, 4095, 7)])
        self.assertEqual(item.released_ranges, [(4096, 8191, "t")])

    def test_deregistration_may_state_the_start_time(self):
        self.assertIsNone(decode_deregistration(b""))
        self.assertEqual(decode_deregistration(b'{"born": 5}'), 5)


class BootTests(unittest.TestCase):
    """Guards against misread settings of a process: its addresses, names and seeds."""

    fields = {
        "node": "core-a-1",
        "ip": "10.1.0.3",
        "zone": "a",
        "zones": {"a": "r"},
        "listen": {"control": "10.1.0.3:8783"},
        "port_range": [7340, 7355],
        "seeds": ["10.1.0.3:8783", "10.2.0.3:8783"],
        "bootstrap": True,
        "data_dir": "/data",
        "bounds": {"grace": "6s", "retry_budget_slack": 58, "budget_window": "10s"},
    }

    def test_bound_of_cold_upstreams_without_a_rate_is_refused(self):
        # Guards against a division by zero at the leader.
        for name, value in (("warmup_overage", 0), ("warmup_slack", -1)):
            bounds = {"bounds": {name: value}}
            with self.subTest(name), self.assertRaises(WireError):
                decode_boot(self.fields | bounds)

    def test_seeds_are_voters_only_on_the_first_start(self):
        cfg = control_settings(decode_boot(self.fields))
        self.assertIn(cfg.node.node, [voter.replica for voter in cfg.voters])
        self.assertEqual(cfg.node.control, ("10.1.0.3:7340", "10.2.0.3:7340"))
        after_first_start = control_settings(
            decode_boot(self.fields | {"bootstrap": False})
        )
        self.assertEqual(after_first_start.voters, ())
        self.assertEqual(after_first_start.node.control, cfg.node.control)

    def test_each_run_of_an_entry_gets_a_unique_node_name(self):
        boot = decode_boot(self.fields)
        first_run, second_run = entry_settings(boot), entry_settings(boot)
        self.assertNotEqual(first_run.node.node, second_run.node.node)
        self.assertLess(first_run.drain_s, 6.0)

    # Guards against requests that a planned stop breaks off before the last sixth of
    # the grace period, though their upstreams are at work, and against entries that are
    # killed at its end.
    def test_drain_reaches_into_the_last_sixth_of_the_grace_period(self):
        for grace_s in (3.0, 5.0, 6.0, 30.0):
            bounds = {"grace": f"{grace_s * 1000:.0f}ms"}
            cfg = entry_settings(decode_boot(self.fields | {"bounds": bounds}))
            self.assertGreater(cfg.drain_s, grace_s * 5 / 6)
            self.assertLess(cfg.drain_s, grace_s - 0.4)

    # Guards against entries that act longer than allowed on a state that a change, a
    # leaving upstream, an evacuation or a withdrawn key has replaced.
    def test_settings_age_stays_below_the_shortest_bound(self):
        bounds = {
            "config_apply": "2s",
            "drain": "1500ms",
            "evacuate": "5s",
            "revoke": "5s",
        }
        cfg = entry_settings(decode_boot(self.fields | {"bounds": bounds}))
        self.assertEqual(cfg.settings_max_age_ms, 1300)
        without_bounds = entry_settings(decode_boot(self.fields))
        self.assertLess(without_bounds.settings_max_age_ms, 2000)

    # Guards against entries and a leader that together exceed the bound of a cold
    # upstream, or that use only a part of it.
    def test_bound_of_cold_upstreams(self):
        bounds = {"warmup_overage": 1.5, "warmup_slack": 8}
        boot = decode_boot(self.fields | {"bounds": bounds})
        self.assertEqual(entry_settings(boot).cold_bound, ColdBound(1.5, 8.0))
        self.assertEqual(control_settings(boot).cold_bound, ColdBound(1.5, 8.0))
        without_bounds = decode_boot(self.fields)
        self.assertEqual(entry_settings(without_bounds).cold_bound, STATED_RATE)

    # Guards against orders that upstreams with grants by heartbeat do not know.
    def test_way_of_granting_ranges(self):
        cases = (
            ("request", RangeGrants.CALLED),
            ("heartbeat", RangeGrants.ANNOUNCED),
            (None, RangeGrants.CALLED),
        )
        for stated, expected in cases:
            boot = decode_boot(self.fields | {"grants": stated})
            self.assertEqual(control_settings(boot).range_grants, expected)

    def test_invalid_settings_are_refused(self):
        cases: tuple[dict, ...] = (
            {"ip": ""},
            {"port_range": None},
            {"node": 5},
            {"grants": "other"},
            {"grants": ["request"]},
        )
        for changes in cases:
            with self.assertRaises(WireError):
                decode_boot(self.fields | changes)


if __name__ == "__main__":
    unittest.main()
