import unittest
from pathlib import Path

from bergamotdrift.config.loader import (
    load_arbiter,
    load_control,
    load_entry,
    load_site,
)
from bergamotdrift.config.schema import Fencing, ServiceKind
from bergamotdrift.hashing import key_digest

SITES = Path(__file__).resolve().parents[2] / "sites"
BASE = str(SITES / "base.jsonc")


class ShippedSettingsTests(unittest.TestCase):
    """Guards against shipped settings that fail the settings check."""

    def check_site(self, name, zones, services):
        site = load_site(BASE, str(SITES / f"{name}.jsonc")).unwrap()
        self.assertEqual(site.site, name)
        self.assertEqual(len(site.zones), zones)
        self.assertEqual({s.name for s in site.services}, services)
        self.assertEqual(len(site.workspaces), 8)
        for workspace in site.workspaces:
            expected = (key_digest(f"demo-{workspace.name}"),)
            self.assertEqual(workspace.key_digests, expected)
        return site

    def test_iroda(self):
        services = {"case-tracking", "submission-filing", "archive"}
        site = self.check_site("iroda", 3, services)
        tracking = site.service("case-tracking")
        self.assertEqual(tracking.kind, ServiceKind.KEYED)
        self.assertEqual(tracking.fencing, Fencing.EPOCH)
        self.assertEqual((tracking.slots, tracking.connections), (4, 110))

    def test_hollins_marr(self):
        services = {"stock-and-slots", "hire-contracts", "site-documents"}
        site = self.check_site("hollins-marr", 4, services)
        stock = site.service("stock-and-slots")
        self.assertEqual(stock.fencing, Fencing.NONE)
        self.assertLessEqual(stock.request_timeout_ms, 1000)
        self.assertEqual((stock.slots, stock.connections), (2, 40))
        self.assertTrue(any(route.urgent for route in site.routes))

    def test_process_settings(self):
        folder = SITES / "processes"
        self.assertEqual(
            load_entry(str(folder / "entry.jsonc")).unwrap().node.node, "entry-1"
        )
        self.assertEqual(
            load_arbiter(str(folder / "arbiter.jsonc")).unwrap().node.zone, "iroda-a"
        )
        for i in (1, 2, 3):
            cfg = load_control(str(folder / f"control-{i}.jsonc")).unwrap()
            self.assertEqual(len(cfg.voters), 3)
            self.assertEqual(cfg.operator_key_digests, (key_digest("demo-operator"),))
