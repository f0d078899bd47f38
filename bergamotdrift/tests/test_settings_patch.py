import random
import unittest

from bergamotdrift import control_commands as cmd
from bergamotdrift import messages
from bergamotdrift.config.schema import (
    RouteSettings,
    SiteSettings,
    WorkspaceSettings,
    ZoneSettings,
    ZoneState,
)
from bergamotdrift.control_state import ControlState
from bergamotdrift.feed_tables import FeedTables
from bergamotdrift.hashing import key_digest
from bergamotdrift.settings_patch import apply_patch, make_patch

ZONES = (ZoneSettings("a", ZoneState.IN),)


def route(name):
    return RouteSettings(
        f"/{name}/*", ("GET",), "pool", "", False, False, True, 1024, name
    )


def workspace(name, rate=10.0):
    return WorkspaceSettings(name, rate, 5, (key_digest(name),), ("*",))


def site(routes, workspaces):
    return SiteSettings("s", ZONES, (), tuple(routes), tuple(workspaces))


LARGE = site(
    (route(f"r{n}") for n in range(60)), (workspace(f"w{n}") for n in range(140))
)


class PatchTests(unittest.TestCase):
    """Guards against settings at a node that differ from those in the log."""

    def test_patched_settings_equal_the_new_ones(self):
        rng = random.Random(1)
        for _ in range(200):
            routes = [route(f"r{n}") for n in rng.sample(range(12), rng.randrange(9))]
            names = rng.sample(range(9), rng.randrange(7))
            spaces = [workspace(f"w{n}", rng.choice((1.0, 2.0))) for n in names]
            old, new = site(routes, spaces), site(routes[::-1], spaces)
            extra = site([*routes, route("new")], [workspace("w0", 7.0), *spaces[1:]])
            for target in (new, extra, site((), ()), LARGE):
                self.assertEqual(apply_patch(old, make_patch(3, old, target)), target)

    def test_patch_of_one_workspace_is_small(self):
        spaces = (workspace("w0", 3.0), *LARGE.workspaces[1:])
        patch = make_patch(3, LARGE, LARGE._replace(workspaces=spaces))
        size = len(messages.encode_unnamed(patch))
        self.assertLess(size, len(messages.encode_unnamed(LARGE)) / 20)


class FeedPatchTests(unittest.TestCase):
    """Guards nodes against a change of the settings that they can't apply."""

    def setUp(self):
        self.state = ControlState()
        self.index = 0
        self.tables = FeedTables()

    def change(self, settings):
        self.index += 1
        revision = self.state.settings.revision
        command = cmd.ApplySettings(
            f"r{self.index}", "ann", revision, 1, f"f{self.index}", settings, b"{}"
        )
        self.state.apply_command(self.index, command)

    def update(self):
        return self.state.update_since(self.tables.index)

    def test_change_is_sent_as_a_patch_to_a_node_that_has_settings(self):
        self.change(LARGE)
        first = self.update()
        self.assertEqual((first.settings, first.patch), (LARGE, None))
        self.assertTrue(self.tables.apply(first))
        changed = LARGE._replace(routes=(*LARGE.routes, route("new")))
        self.change(changed)
        update = self.update()
        self.assertIsNone(update.settings)
        self.assertTrue(self.tables.apply(update))
        self.assertEqual(self.tables.settings, changed)
        self.assertEqual(self.tables.revision, 2)
        # The same update may come twice.
        self.assertTrue(self.tables.apply(update))
        self.assertEqual(self.tables.settings, changed)

    def test_node_that_missed_several_changes_gets_one_patch(self):
        self.change(LARGE)
        self.tables.apply(self.update())
        for number in range(5):
            self.change(LARGE._replace(routes=(route(f"n{number}"), *LARGE.routes)))
        self.assertTrue(self.tables.apply(self.update()))
        self.assertEqual(self.tables.settings, self.state.settings.current)

    def test_node_behind_the_known_revisions_gets_all_settings(self):
        self.change(LARGE)
        self.tables.apply(self.update())
        for number in range(20):
            self.change(LARGE._replace(routes=(route(f"n{number}"),)))
        self.assertIsNotNone(self.update().settings)

    def test_leader_from_a_snapshot_patches_only_what_it_knows(self):
        self.change(LARGE)
        self.tables.apply(self.update())
        self.change(LARGE._replace(routes=(route("one"),)))
        restored = ControlState()
        restored.restore(self.state.snapshot())
        update = restored.update_since(self.tables.index)
        self.assertEqual(update.settings, self.state.settings.current)
        self.assertTrue(self.tables.apply(update))
        self.state = restored
        self.change(LARGE._replace(routes=(route("two"),)))
        update = self.update()
        self.assertIsNotNone(update.patch)
        self.assertTrue(self.tables.apply(update))
        self.assertEqual(self.tables.settings, restored.settings.current)

    # Guards against settings put together from two revisions.
    def test_node_with_another_revision_asks_for_everything(self):
        self.change(LARGE)
        self.tables.apply(self.update())
        self.change(LARGE._replace(routes=(route("one"),)))
        update = self.update()
        other = update.patch._replace(base_revision=9)
        self.assertFalse(self.tables.apply(update._replace(patch=other)))
        self.assertEqual(self.tables.settings, LARGE)
        self.assertEqual(self.tables.index, 0)
        self.assertTrue(self.tables.apply(self.update()))
        self.assertEqual(self.tables.settings, self.state.settings.current)

    def test_update_with_a_patch_is_decoded(self):
        self.change(LARGE)
        self.tables.apply(self.update())
        self.change(LARGE._replace(routes=(route("one"),)))
        update = self.update()
        self.assertEqual(messages.decode(messages.encode(update)), update)


if __name__ == "__main__":
    unittest.main()
